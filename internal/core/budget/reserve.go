package budget

import "time"

// A table that may be restored from an older copy loses the draws since the copy while
// their tokens are spent. Two rules keep budgets from being overspent by that:
//
//   - Drawn tokens are spent only once every copy from which the table may be restored
//     includes the draw (GrantHistory).
//   - Tokens of the Reserve may be spent at once. They are set aside for that long
//     before, so that every copy still has them, and a restore writes them off.
//
// So whatever copy the table is restored from, the tokens that a router has spent are
// in its grant there or in a reserve, and the other routers can go on drawing.

// LateWriteMargin is how long after its planning a write may take effect.
const LateWriteMargin = 5 * time.Second

const (
	// reserveDivisor gives the size of a reserve as a part of the prepaid amount. A
	// restore writes that part off.
	reserveDivisor = 128
	// minLeftPerReserve is the least part of a stripe that must be left for its reserve
	// to be filled, in multiples of the reserve. A budget is used to its end.
	minLeftPerReserve = 8
)

// Reserve is the part of a stripe's tokens that may be spent as soon as they are drawn.
type Reserve struct {
	Ready      int64 `json:"ready,omitempty" cbor:"1,keyasint,omitempty"`        // every copy includes that they are set aside
	Filling    int64 `json:"filling,omitempty" cbor:"2,keyasint,omitempty"`      // will be ready later
	FilledAtMS int64 `json:"filled_at_ms,omitempty" cbor:"3,keyasint,omitempty"` // time of the table's clock, not later than Filling was planned
}

// Size returns the tokens that are set aside.
func (r Reserve) Size() int64 { return r.Ready + r.Filling }

// Restored returns the total as it counts in an era of the table. If the row is from
// an earlier era, its reserve is written off, because the tokens may have been drawn
// and spent since the copy.
func (t Total) Restored(era int64) Total {
	if t.Era == era {
		return t
	}
	lost := t.Reserve.Size()
	t.ClosedSpent += lost
	t.Lost += lost
	t.Reserve, t.Era = Reserve{}, era
	return t
}

// FillReserve makes the tokens ready that were set aside longer ago than the age of the
// oldest copy, and sets further ones aside. nowMS is a time of the table's clock.
func (t Total) FillReserve(nowMS int64, oldestCopy time.Duration) Total {
	r := t.Reserve
	if r.Filling > 0 && nowMS-r.FilledAtMS >= (oldestCopy+LateWriteMargin).Milliseconds() {
		r = Reserve{Ready: r.Ready + r.Filling}
	}
	size := t.ToppedUp / reserveDivisor
	if missing := size - r.Size(); r.Filling == 0 && missing > size/2 && t.Left() >= minLeftPerReserve*size {
		r.Filling, r.FilledAtMS = missing, nowMS
	}
	t.Reserve = r
	return t
}

// TakeReserve returns tokens that are ready in the reserve to what is left, for a draw
// in the same transaction.
func (t Total) TakeReserve(tokens int64) Total {
	t.Reserve.Ready -= min(tokens, t.Reserve.Ready)
	return t
}

// grantPoint is the size of a grant from a time on.
type grantPoint struct {
	at      time.Time
	granted int64
}

// GrantHistory tells how much of a grant every copy includes from which the table may
// be restored. The zero value includes nothing.
type GrantHistory struct {
	points  []grantPoint // stored sizes, oldest first
	reserve []grantPoint // tokens drawn from the reserve
}

// Record records the size of a grant that was found stored at a time, and how many
// tokens of the draw came from the reserve.
func (h *GrantHistory) Record(at time.Time, granted, fromReserve int64) {
	if n := len(h.points); n > 0 && h.points[n-1].granted == granted && fromReserve == 0 {
		return // as before
	}
	h.points = append(h.points, grantPoint{at, granted})
	if fromReserve > 0 {
		h.reserve = append(h.reserve, grantPoint{at, fromReserve})
	}
}

// RecordRestored records the size of a grant that was found after a restore of the
// table. What was drawn from the reserve before is written off there.
func (h *GrantHistory) RecordRestored(at time.Time, granted int64) {
	h.reserve = nil
	h.Record(at, granted, 0)
}

// RecordInherited records a grant that another process has drawn, all but its young
// tokens longer ago than the age of the oldest copy. youngAt is a time at which the
// young tokens were stored.
func (h *GrantHistory) RecordInherited(youngAt time.Time, g Grant) {
	h.points = append(h.points, grantPoint{granted: g.Granted - g.Young}, grantPoint{at: youngAt, granted: g.Granted})
}

// Limit returns the tokens of the grant that may be spent in all: the least size that
// was stored at any time since the oldest copy, and what was drawn from the reserve
// since then. confirmed is the time at which the table is last known not to have been
// restored. Limit forgets what is older than the oldest copy of that time.
func (h *GrantHistory) Limit(confirmed time.Time, oldestCopy time.Duration) int64 {
	since := confirmed.Add(-oldestCopy)
	for len(h.points) > 1 && !h.points[1].at.After(since) {
		h.points = h.points[1:]
	}
	for len(h.reserve) > 0 && !h.reserve[0].at.After(since) {
		h.reserve = h.reserve[1:]
	}
	if len(h.points) == 0 || h.points[0].at.After(since) {
		return h.fromReserve()
	}
	limit := h.points[0].granted
	for _, p := range h.points[1:] {
		limit = min(limit, p.granted)
	}
	return limit + h.fromReserve()
}

func (h *GrantHistory) fromReserve() (sum int64) {
	for _, p := range h.reserve {
		sum += p.granted
	}
	return sum
}
