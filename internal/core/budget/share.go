package budget

import "time"

// Bounds of the share that a router keeps of a budget when it alone decides
// what may be spent of it, with no process beside the targets.
const (
	// shareHorizon is the demand that a share covers. The platform's table is
	// down for up to 6.5 s on ordinary days.
	shareHorizon = 12 * time.Second
	// shareDivisor bounds a share, times the number of holders, to this part of
	// what nobody else holds: half of what is left stays free, so that the shares
	// shrink as a budget runs out.
	shareDivisor = 2
	// shareLeastDivisor does the same for the share that a router with any demand
	// holds, because a demand that has just begun says little.
	shareLeastDivisor = 8
	// rateWeight is the weight of a new second in the average demand, which then
	// looks back about 6 s.
	rateWeight = 0.16
)

// Average follows the demand of a team over several seconds.
type Average struct {
	perSecond float64
	second    float64 // tokens asked for in the present second
	started   time.Time
}

// Add counts tokens that a request has asked for.
func (a *Average) Add(now time.Time, tokens int64) {
	a.roll(now)
	a.second += float64(tokens)
}

// PerSecond returns the average demand. In its first second that is what was
// asked for so far.
func (a *Average) PerSecond(now time.Time) float64 {
	a.roll(now)
	if a.perSecond == 0 {
		return a.second
	}
	return a.perSecond
}

func (a *Average) roll(now time.Time) {
	if a.started.IsZero() {
		a.started = now
	}
	for range 60 {
		if now.Sub(a.started) < time.Second {
			return
		}
		if a.perSecond == 0 {
			a.perSecond = a.second
		} else {
			a.perSecond += rateWeight * (a.second - a.perSecond)
		}
		a.second = 0
		a.started = a.started.Add(time.Second)
	}
	*a = Average{started: now} // idle for a minute
}

// ShareTarget returns the share that a router aims to hold, given its average
// demand, what is left and the number of holders.
func (h *Holder) ShareTarget(perSecond float64, left int64, holders int) int64 {
	if perSecond == 0 {
		return 0
	}
	each := (left + max(h.Available(), 0)) / int64(max(holders, leastHolders))
	return min(max(int64(perSecond*shareHorizon.Seconds()), each/shareLeastDivisor), each/shareDivisor)
}

// leastHolders is the number of holders that is assumed before others have
// drawn.
const leastHolders = 4

// ShareChange returns by how much the grant should grow, or shrink if it is
// negative. need is what the waiting requests lack. Small changes are left out,
// so that a steady demand draws rarely.
func (h *Holder) ShareChange(perSecond float64, need, left int64, holders int) int64 {
	target := h.ShareTarget(perSecond, left, holders)
	available := h.Available()
	switch {
	case need > 0 && need > left:
		return 0
	case need > 0:
		return max(need, min(target-available, left))
	case available < target/2:
		return min(target-available, left)
	case available > target+target/2 && available > 0:
		return target - available
	}
	return 0
}

// Bounds of what a router pledges to spend at most between two operations.
const (
	// pledgeFactor is the pledged rate in multiples of the average demand. What
	// is pledged is lost if the router dies, so the margin is small: a demand
	// that rises faster waits for the next operation, some 10 ms.
	pledgeFactor = 1.2
	// pledgeBurst is the demand that may come at once.
	pledgeBurst = 500 * time.Millisecond
)

// NewPledge returns the pledge for an operation, given the average demand, the
// largest request that waits and the table's clock.
func (h *Holder) NewPledge(perSecond float64, need, nowMS int64) Pledge {
	return Pledge{
		Base:      h.consumed + h.reserved + need + int64(perSecond*pledgeBurst.Seconds()),
		PerSecond: int64(perSecond * pledgeFactor),
		AtMS:      nowMS,
	}
}

// Within reports whether a reservation keeps the pledges, both the stored one
// and that of an operation in flight.
func (h *Holder) Within(tokens, nowMS int64) bool {
	after := h.consumed + h.reserved + tokens
	for _, p := range []Pledge{h.stored.Pledge, h.pending.Pledge} {
		if p != (Pledge{}) && after > p.Limit(nowMS) {
			return false
		}
	}
	return true
}
