package budget

import (
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"tarragonridge.example/tarragonridge/internal/core/errkind"
)

// attempt is a write in flight.
type attempt struct {
	version int
	account Account
}

// node is a router in the simulation.
type node struct {
	name     string
	holder   LocalShare
	tried    int
	late     []attempt // writes that may still arrive
	runs     []int64   // reservations in flight
	unstored int64     // consumed and not settled
	dead     bool
}

// world is an account with several routers. Answers may be lost and writes may
// arrive late.
type world struct {
	t        *rapid.T
	account  Account
	version  int
	now      time.Time
	nodes    []*node
	consumed int64
}

func newWorld(t *rapid.T) *world {
	w := &world{t: t, version: 1, now: time.Unix(1000, 0)}
	for range rapid.IntRange(2, 3).Draw(t, "routers") {
		w.join()
	}
	return w
}

func (w *world) join() {
	w.nodes = append(w.nodes, &node{name: string(rune('a' + len(w.nodes))), tried: -1})
}

func (w *world) pick() *node { return rapid.SampledFrom(w.nodes).Draw(w.t, "router") }

// write delivers an attempt and reports whether it applied.
func (w *world) write(a attempt) bool {
	if a.version != w.version {
		return false
	}
	w.account = a.account
	w.version++
	return true
}

// operate performs one step of a router's operation as escrow does: read back,
// then write with the same or with new values.
func (w *world) operate(n *node, delta, settle int64) {
	if pending, ok := n.holder.Pending(); ok {
		if w.account.Grants[n.name].Seq == pending.Seq {
			w.confirm(n)
			return
		}
		if w.version != n.tried {
			n.holder.Drop()
		}
	}
	next := n.holder.Begin(delta, settle)
	account, err := w.account.SetGrant(n.name, next.Seq, next.Granted, next.Settled)
	if err != nil {
		assert.Assert(w.t, errkind.Is(err, errkind.BudgetExhausted), "%v", err)
		n.holder.Drop()
		return
	}
	n.tried = w.version
	a := attempt{version: w.version, account: account}
	switch rapid.SampledFrom([]string{"answered", "lost", "late", "refused"}).Draw(w.t, "fate") {
	case "answered":
		assert.Assert(w.t, w.write(a))
		w.confirm(n)
	case "lost":
		w.write(a)
	case "late":
		n.late = append(n.late, a)
	}
}

func (w *world) confirm(n *node) {
	before := n.holder.Stored().Settled
	n.holder.Confirm()
	n.unstored -= n.holder.Stored().Settled - before
}

func (w *world) actions() map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"top up": func(t *rapid.T) {
			next, err := w.account.TopUp(rapid.Int64Range(1, 500).Draw(t, "tokens"))
			assert.NilError(t, err)
			w.write(attempt{w.version, next})
		},
		"draw": func(t *rapid.T) {
			n := w.pick()
			need := rapid.Int64Range(1, 100).Draw(t, "need")
			size := n.holder.DrawSize(w.now, need, w.account.Left())
			if !n.dead && size > 0 {
				w.operate(n, size, 0)
			}
		},
		"return": func(t *rapid.T) {
			n := w.pick()
			if n.holder.ReturnSize(w.now); !n.dead && n.holder.Available() > 0 {
				w.operate(n, -n.holder.Available(), 0)
			}
		},
		"reserve": func(t *rapid.T) {
			n := w.pick()
			tokens := rapid.Int64Range(0, 100).Draw(t, "tokens")
			n.holder.RecordDemand(w.now, tokens)
			if !n.dead && n.holder.Reserve(tokens) {
				n.runs = append(n.runs, tokens)
			}
		},
		"settle": func(t *rapid.T) {
			n := w.pick()
			if n.dead || len(n.runs) == 0 {
				return
			}
			reserved := n.holder.Lower(n.runs[0], rapid.Int64Range(0, 100).Draw(t, "exact"))
			charged := n.holder.Settle(reserved, rapid.Int64Range(0, 200).Draw(t, "charge"))
			n.runs = n.runs[1:]
			n.unstored += charged
			w.consumed += charged
		},
		"flush": func(*rapid.T) {
			if n := w.pick(); !n.dead && n.unstored > 0 {
				w.operate(n, 0, n.unstored)
			}
		},
		"late write": func(*rapid.T) {
			if n := w.pick(); len(n.late) > 0 {
				w.write(n.late[0])
				n.late = n.late[1:]
			}
		},
		"crash and recover": func(t *rapid.T) {
			n := w.pick()
			if n.dead || len(n.runs) > 0 || len(w.nodes) > 8 {
				return
			}
			n.dead = true
			extra := n.holder.Consumed() - w.account.Grants[n.name].Settled
			next, err := w.account.CloseGrant(n.name, extra)
			assert.NilError(t, err)
			w.write(attempt{w.version, next})
			w.join()
		},
		"time passes": func(t *rapid.T) {
			w.now = w.now.Add(time.Duration(rapid.IntRange(1, 3000).Draw(t, "ms")) * time.Millisecond)
		},
		"": func(t *rapid.T) { w.check(t) },
	}
}

func (w *world) check(t *rapid.T) {
	a := w.account
	assert.NilError(t, a.Check())
	assert.Equal(t, a.ToppedUp, a.Settled()+a.Held()+a.Left())
	assert.Assert(t, w.consumed <= a.ToppedUp, "overspend")
	assert.Assert(t, a.Settled() <= w.consumed, "settled more than was consumed")
	for _, n := range w.nodes {
		if n.dead {
			_, held := a.Grants[n.name]
			assert.Assert(t, !held, "a late write revived a closed grant")
			continue
		}
		assert.Assert(t, n.holder.Available() >= 0)
		spent := n.holder.Consumed() + n.holder.Reserved()
		assert.Assert(t, spent <= a.Grants[n.name].Granted, "the local share exceeds the grant")
	}
}

// Guards against any order of draws, returns, flushes, lost answers, late
// writes, top-ups and crashes that overspends or breaks the equation.
func TestInterleavings(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) { t.Repeat(newWorld(t).actions()) })
}

// Guards against a retry with other numbers than the first attempt.
func TestRetryRepeatsTheSameValues(t *testing.T) {
	var h LocalShare
	first := h.Begin(100, 0)
	assert.Equal(t, h.Begin(40, 7), first)
	assert.Equal(t, h.Available(), int64(0), "an unconfirmed draw counts")
	h.Confirm()
	assert.Equal(t, h.Available(), int64(100))
	h.Begin(-60, 0)
	assert.Equal(t, h.Available(), int64(40), "a return must lower the share first")
}

// Guards against sizes that leave too little for other routers or give back
// share that is in use.
func TestSizes(t *testing.T) {
	now := time.Unix(1000, 0)
	var h LocalShare
	h.RecordDemand(now, 100)
	assert.Equal(t, h.DrawSize(now, 100, 100_000), int64(400), "the standing share, 4 times the largest request")
	assert.Equal(t, h.DrawSize(now, 100, 10000), int64(312), "the standing share is at most 1/32 of left")
	assert.Equal(t, h.DrawSize(now, 100, 2000), int64(200), "twice the demand")
	assert.Equal(t, h.DrawSize(now, 100, 400), int64(100), "at most a quarter of left")
	assert.Equal(t, h.DrawSize(now, 100, 99), int64(0), "left does not cover the need")
	h.Begin(300, 0)
	h.Confirm()
	assert.Equal(t, h.ReturnSize(now), int64(0), "not idle long enough")
	assert.Equal(t, h.ReturnSize(now.Add(1900*time.Millisecond)), int64(0))
	assert.Equal(t, h.ReturnSize(now.Add(IdlePeriod)), int64(288), "all but the standing share")
	assert.Equal(t, h.ReturnSize(now.Add(MinSharePeriod)), int64(288))
	assert.Equal(t, h.ReturnSize(now.Add(MinSharePeriod+1)), int64(300))
}

// Guards against an outage of the table that begins when the standing share has
// been used up.
func TestStandingShareIsFilledUp(t *testing.T) {
	now := time.Unix(1000, 0)
	var h LocalShare
	assert.Equal(t, h.RefillSize(now, 100_000), int64(0), "no request so far")
	h.RecordDemand(now, 100)
	h.Begin(h.DrawSize(now, 100, 100_000), 0)
	h.Confirm()
	assert.Assert(t, h.Reserve(300))
	h.Settle(300, 300)
	assert.Equal(t, h.RefillSize(now.Add(time.Second), 100_000), int64(300))
	assert.Equal(t, h.RefillSize(now.Add(time.Second), 3200), int64(0), "the budget is small")
	assert.Equal(t, h.RefillSize(now.Add(MinSharePeriod+1), 100_000), int64(0))
}

// Guards against operations that an account must reject.
func TestAccountRejects(t *testing.T) {
	a, err := Account{}.TopUp(100)
	assert.NilError(t, err)
	a, err = a.SetGrant("a", 1, 60, 0)
	assert.NilError(t, err)
	_, err = a.SetGrant("a", 1, 70, 0)
	assert.Equal(t, errkind.Of(err), errkind.Conflict, "same number, other values")
	_, err = a.SetGrant("b", 1, 41, 0)
	assert.Equal(t, errkind.Of(err), errkind.BudgetExhausted)
	_, err = a.SetGrant("a", 2, 60, 61)
	assert.Equal(t, errkind.Of(err), errkind.Internal)
	_, err = a.CloseGrant("a", 61)
	assert.Equal(t, errkind.Of(err), errkind.Internal)
	_, err = a.TopUp(math.MaxInt64)
	assert.Equal(t, errkind.Of(err), errkind.InvalidRequest)
	_, err = a.TopUp(0)
	assert.Equal(t, errkind.Of(err), errkind.InvalidRequest)
}
