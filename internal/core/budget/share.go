package budget

import "time"

// Bounds of the share that a router keeps of a budget when it alone decides
// what may be spent of it, with no process beside the targets.
const (
	// shareHorizon is the demand that a share covers. Entry hosts lose the
	// platform's table for up to 9 s on ordinary days.
	shareHorizon = 12 * time.Second
	// shareDivisor bounds a share to this part of what nobody else holds, so
	// that the shares shrink as a budget runs out.
	shareDivisor = 8
)

// ShareTarget returns the share that a router aims to hold, given the account's
// Left.
func (h *Holder) ShareTarget(now time.Time, left int64) int64 {
	free := left + max(h.Available(), 0)
	return min(int64(h.Rate(now)*shareHorizon.Seconds()), free/shareDivisor)
}

// ShareChange returns by how much the grant should grow, or shrink if it is
// negative. need is what the waiting requests lack. Changes of less than half
// of the target are left out, so that a steady demand writes rarely.
func (h *Holder) ShareChange(now time.Time, need, left int64) int64 {
	target := h.ShareTarget(now, left)
	available := h.Available()
	switch {
	case need > 0 && need > left:
		return 0
	case need > 0:
		return max(need, min(target-available, left))
	case available < target/2:
		return min(target-available, left)
	case available > 2*target && available > 0:
		return target - available
	}
	return 0
}
