package budget

import (
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"tarragonridge.example/tarragonridge/internal/core/errkind"
)

// attempt is a write that may be applied if the account still has its version.
type attempt struct {
	version int
	account Account
}

// simRouter is a simulated router.
type simRouter struct {
	name         string
	share        LocalShare
	triedVersion int       // account version of the latest attempt; -1 if none
	lateWrites   []attempt // attempts that may still arrive
	reservations []int64   // tokens reserved for each request in progress
	unsettled    int64     // tokens consumed but not settled
	dead         bool
}

// simulation is an account that several routers change. Responses may be lost and
// writes may arrive late.
type simulation struct {
	t        *rapid.T
	account  Account
	version  int
	now      time.Time
	routers  []*simRouter
	consumed int64
}

func newSimulation(t *rapid.T) *simulation {
	s := &simulation{t: t, version: 1, now: time.Unix(1000, 0)}
	for range rapid.IntRange(2, 3).Draw(t, "routers") {
		s.addRouter()
	}
	return s
}

func (s *simulation) addRouter() {
	s.routers = append(s.routers, &simRouter{name: string(rune('a' + len(s.routers))), triedVersion: -1})
}

func (s *simulation) pickRouter() *simRouter { return rapid.SampledFrom(s.routers).Draw(s.t, "router") }

// deliver applies an attempt unless the account has changed meanwhile, and reports
// whether it did.
func (s *simulation) deliver(a attempt) bool {
	if a.version != s.version {
		return false
	}
	s.account = a.account
	s.version++
	return true
}

// runOperation performs one step of a router's operation as package escrow does:
// it reads the account back, then writes the same values again or new ones.
func (s *simulation) runOperation(r *simRouter, delta, settle int64) {
	if pending, ok := r.share.Pending(); ok {
		if s.account.Grants[r.name].Seq == pending.Seq {
			s.confirm(r)
			return
		}
		if s.version != r.triedVersion {
			r.share.Drop()
		}
	}
	next := r.share.Begin(delta, settle)
	account, err := s.account.SetGrant(r.name, next.Seq, next.Granted, next.Settled)
	if err != nil {
		assert.Assert(s.t, errkind.Is(err, errkind.BudgetExhausted), "%v", err)
		r.share.Drop()
		return
	}
	r.triedVersion = s.version
	a := attempt{version: s.version, account: account}
	switch rapid.SampledFrom([]string{"answered", "lost", "late", "refused"}).Draw(s.t, "fate") {
	case "answered":
		assert.Assert(s.t, s.deliver(a))
		s.confirm(r)
	case "lost":
		s.deliver(a)
	case "late":
		r.lateWrites = append(r.lateWrites, a)
	}
}

func (s *simulation) confirm(r *simRouter) {
	before := r.share.Stored().Settled
	r.share.Confirm()
	r.unsettled -= r.share.Stored().Settled - before
}

func (s *simulation) actions() map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"top up": func(t *rapid.T) {
			next, err := s.account.TopUp(rapid.Int64Range(1, 500).Draw(t, "tokens"))
			assert.NilError(t, err)
			s.deliver(attempt{s.version, next})
		},
		"draw": func(t *rapid.T) {
			r := s.pickRouter()
			need := rapid.Int64Range(1, 100).Draw(t, "need")
			size := r.share.DrawSize(s.now, need, s.account.Left())
			if !r.dead && size > 0 {
				s.runOperation(r, size, 0)
			}
		},
		"return": func(t *rapid.T) {
			r := s.pickRouter()
			if r.share.ReturnSize(s.now); !r.dead && r.share.Available() > 0 {
				s.runOperation(r, -r.share.Available(), 0)
			}
		},
		"reserve": func(t *rapid.T) {
			r := s.pickRouter()
			tokens := rapid.Int64Range(0, 100).Draw(t, "tokens")
			r.share.RecordDemand(s.now, tokens)
			if !r.dead && r.share.Reserve(tokens) {
				r.reservations = append(r.reservations, tokens)
			}
		},
		"settle": func(t *rapid.T) {
			r := s.pickRouter()
			if r.dead || len(r.reservations) == 0 {
				return
			}
			reserved := r.share.Lower(r.reservations[0], rapid.Int64Range(0, 100).Draw(t, "exact"))
			charged := r.share.Settle(reserved, rapid.Int64Range(0, 200).Draw(t, "charge"))
			r.reservations = r.reservations[1:]
			r.unsettled += charged
			s.consumed += charged
		},
		"flush": func(*rapid.T) {
			if r := s.pickRouter(); !r.dead && r.unsettled > 0 {
				s.runOperation(r, 0, r.unsettled)
			}
		},
		"late write": func(*rapid.T) {
			if r := s.pickRouter(); len(r.lateWrites) > 0 {
				s.deliver(r.lateWrites[0])
				r.lateWrites = r.lateWrites[1:]
			}
		},
		"crash and recover": func(t *rapid.T) {
			r := s.pickRouter()
			if r.dead || len(r.reservations) > 0 || len(s.routers) > 8 {
				return
			}
			r.dead = true
			unsettled := r.share.Consumed() - s.account.Grants[r.name].Settled
			next, err := s.account.CloseGrant(r.name, unsettled)
			assert.NilError(t, err)
			s.deliver(attempt{s.version, next})
			s.addRouter()
		},
		"time passes": func(t *rapid.T) {
			s.now = s.now.Add(time.Duration(rapid.IntRange(1, 3000).Draw(t, "ms")) * time.Millisecond)
		},
		"": func(t *rapid.T) { s.checkInvariants(t) },
	}
}

func (s *simulation) checkInvariants(t *rapid.T) {
	a := s.account
	assert.NilError(t, a.Check())
	assert.Equal(t, a.ToppedUp, a.Settled()+a.Held()+a.Left())
	assert.Assert(t, s.consumed <= a.ToppedUp, "overspend")
	assert.Assert(t, a.Settled() <= s.consumed, "more tokens settled than consumed")
	for _, r := range s.routers {
		if r.dead {
			_, held := a.Grants[r.name]
			assert.Assert(t, !held, "a late write restored a closed grant")
			continue
		}
		assert.Assert(t, r.share.Available() >= 0)
		spent := r.share.Consumed() + r.share.Reserved()
		assert.Assert(t, spent <= a.Grants[r.name].Granted, "tokens spent under the local share exceed the grant")
	}
}

// Guards against overspending, or tokens that appear or disappear, in any order of
// draws, returns, flushes, lost responses, late writes, top-ups and crashes.
func TestInterleavings(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) { t.Repeat(newSimulation(t).actions()) })
}

// Guards against a retry that writes other values than the first attempt, which
// could change the account twice.
func TestRetryRepeatsTheSameValues(t *testing.T) {
	var share LocalShare
	first := share.Begin(100, 0)
	assert.Equal(t, share.Begin(40, 7), first)
	assert.Equal(t, share.Available(), int64(0), "an unconfirmed draw must not be available")
	share.Confirm()
	assert.Equal(t, share.Available(), int64(100))
	share.Begin(-60, 0)
	assert.Equal(t, share.Available(), int64(40), "a pending return must reduce the share at once")
}

// Guards against draws that leave too little for other routers, because a router
// draws more than it needs from a small budget, and against returning tokens
// that recent demand or the minimum share still needs.
func TestSizes(t *testing.T) {
	now := time.Unix(1000, 0)
	var share LocalShare
	share.RecordDemand(now, 100)
	assert.Equal(t, share.DrawSize(now, 100, 100_000), int64(400), "the minimum share is 4 times the largest request")
	assert.Equal(t, share.DrawSize(now, 100, 10000), int64(312), "the minimum share is at most 1/32 of left")
	assert.Equal(t, share.DrawSize(now, 100, 2000), int64(200), "twice the demand")
	assert.Equal(t, share.DrawSize(now, 100, 400), int64(100), "at most a quarter of left")
	assert.Equal(t, share.DrawSize(now, 100, 99), int64(0), "left does not cover the need")
	share.Begin(300, 0)
	share.Confirm()
	assert.Equal(t, share.ReturnSize(now), int64(0), "there was demand within IdlePeriod")
	assert.Equal(t, share.ReturnSize(now.Add(1900*time.Millisecond)), int64(0))
	assert.Equal(t, share.ReturnSize(now.Add(IdlePeriod)), int64(288), "all but the minimum share")
	assert.Equal(t, share.ReturnSize(now.Add(MinSharePeriod)), int64(288))
	assert.Equal(t, share.ReturnSize(now.Add(MinSharePeriod+1)), int64(300))
}

// Guards against starting an outage of the table without a minimum share because
// earlier requests have used it up.
func TestMinShareIsRefilled(t *testing.T) {
	now := time.Unix(1000, 0)
	var share LocalShare
	assert.Equal(t, share.RefillSize(now, 100_000), int64(0), "no request yet")
	share.RecordDemand(now, 100)
	share.Begin(share.DrawSize(now, 100, 100_000), 0)
	share.Confirm()
	assert.Assert(t, share.Reserve(300))
	share.Settle(300, 300)
	assert.Equal(t, share.RefillSize(now.Add(time.Second), 100_000), int64(300))
	assert.Equal(t, share.RefillSize(now.Add(time.Second), 3200), int64(0), "the budget is small")
	assert.Equal(t, share.RefillSize(now.Add(MinSharePeriod+1), 100_000), int64(0))
}

// Guards against accepting operations that would violate the account's invariants,
// such as a draw beyond what is left or a settlement beyond the grant.
func TestAccountRejects(t *testing.T) {
	a, err := Account{}.TopUp(100)
	assert.NilError(t, err)
	a, err = a.SetGrant("a", 1, 60, 0)
	assert.NilError(t, err)
	_, err = a.SetGrant("a", 1, 70, 0)
	assert.Equal(t, errkind.Of(err), errkind.Conflict, "same sequence number, other values")
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
