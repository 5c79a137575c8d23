package admit

import "time"

// demandMemory is the time constant of the measured demand.
const demandMemory = 3 * time.Second

// Ration decides which requests get the rest of a supply that does not come back, such as
// the tokens of a budget. The zero value is not usable; see NewRation. It is not safe for
// concurrent use.
type Ration struct {
	shares *shares
	demand map[demandClass]*decayed
}

// demandClass classifies demand by the order in which it is met.
type demandClass struct {
	rank  int
	large bool
}

func (c demandClass) before(o demandClass) bool {
	return c.rank < o.rank || c.rank == o.rank && !c.large && o.large
}

// NewRation returns a Ration that has seen no demand.
func NewRation() *Ration { return &Ration{shares: newShares(), demand: map[demandClass]*decayed{}} }

// Worthwhile reports whether a request that arrives may ask for its work, and counts the
// request. It may if what is left covers what requests that go before it will ask for
// within the horizon, as far as demand stays as it is: those of a lower rank, and those of
// its rank that are not large if it is. One that goes before all others always may, and so
// may one whose route or size gets less than its least part. left is the part of the supply
// that requests of this Ration may use.
func (r *Ration) Worthwhile(now time.Time, t *Ticket, left float64, horizon time.Duration) bool {
	t.large = r.shares.large(t)
	class := demandClass{t.Rank, t.large}
	d := r.demand[class]
	if d == nil {
		d = &decayed{}
		r.demand[class] = d
	}
	d.add(now, demandMemory, t.work())
	reserved := r.reserved(now, class, horizon)
	ok := reserved == 0 || r.shares.behind(t) || t.work()+reserved <= left
	r.shares.record(now, t, ok)
	return ok
}

// reserved returns the work that requests which go before a class will ask for.
func (r *Ration) reserved(now time.Time, class demandClass, horizon time.Duration) (work float64) {
	for c, d := range r.demand {
		if c.before(class) {
			work += d.of(now, demandMemory) * float64(horizon) / float64(demandMemory)
		}
	}
	return work
}
