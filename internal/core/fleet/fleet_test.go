package fleet

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var start = time.Unix(1000, 0)

func hosts(n int) []string {
	var names []string
	for i := range n {
		names = append(names, fmt.Sprintf("host-%03d", i))
	}
	return names
}

func routerRow(host string) Row { return Row{Key: RouterKey(host), Value: []byte(`{"renewal":1}`)} }

func limitRow(target, value string) Row { return Row{Key: LimitKey(target), Value: []byte(value)} }

// newSyncedState returns the state of the first of the routers, all of which have just
// renewed their rows, and of a target that names a limit.
func newSyncedState(t *testing.T, routers []string) *State {
	t.Helper()
	s := NewState(routers[0])
	c := Changes{Complete: true, Rows: []Row{limitRow("t", `{"started":1,"per_second":1}`)}}
	for _, host := range routers {
		c.Rows = append(c.Rows, routerRow(host))
	}
	applied, err := s.Apply(start, c)
	assert.NilError(t, err)
	assert.DeepEqual(t, applied.Targets, []string{"t"})
	return s
}

// renew applies the renewals of routers every RenewInterval up to a time.
func renew(t *testing.T, s *State, until time.Duration, routers ...string) {
	t.Helper()
	for at := RenewInterval; at <= until; at += RenewInterval {
		for _, host := range routers {
			_, err := s.Apply(start.Add(at), Changes{Rows: []Row{routerRow(host)}})
			assert.NilError(t, err)
		}
	}
}

// Guards against shares that together exceed a limit or its bound in 4 s, or lose a part of it.
func TestSharesOfALimit(t *testing.T) {
	for _, n := range []int{1, 3, 23, 300} {
		for _, perSecond := range []float64{0.5, 1, 1.5, 4, 10, 100} {
			var sum, inWindow float64
			for _, self := range hosts(n) {
				share := Share(Rate{PerSecond: perSecond}, "t", hosts(n), self)
				sum += share
				if share > 0 {
					inWindow += max(1, share/4) + 4*share
				}
			}
			assert.Assert(t, sum > 0.999*perSecond && sum < 1.001*perSecond, "%d routers share %g as %g", n, perSecond, sum)
			assert.Assert(t, inWindow <= 1.5*4*perSecond+5, "%d routers send %g in 4 s under a limit of %g", n, inWindow, perSecond)
		}
	}
}

// Guards against a limit of 0 that is never asked about again.
func TestLimitOfZeroIsProbed(t *testing.T) {
	var sum float64
	for _, self := range hosts(23) {
		sum += Share(Rate{}, "t", hosts(23), self)
	}
	assert.Assert(t, sum > 0 && sum <= 5.0/4, "%g requests per second", sum)
}

// Guards against a dead router whose share nobody uses.
func TestShareOfASilentRouterIsUsed(t *testing.T) {
	s := newSyncedState(t, hosts(3))
	renew(t, s, routerTimeout+RenewInterval, "host-000", "host-001")
	now := start.Add(routerTimeout + RenewInterval)
	assert.DeepEqual(t, s.Routers(now), []string{"host-000", "host-001"})
	assert.DeepEqual(t, s.Gone(now), []string{"host-002"})
}

// Guards against routers that all take the whole limit while the table is down.
func TestRoutersStayDuringAnOutageOfTheTable(t *testing.T) {
	s := newSyncedState(t, hosts(3))
	assert.Equal(t, len(s.Routers(start.Add(time.Minute))), 3)
	_, err := s.Apply(start.Add(time.Minute), Changes{Rows: []Row{routerRow("host-000")}})
	assert.NilError(t, err)
	assert.Equal(t, len(s.Routers(start.Add(time.Minute+RenewInterval))), 3, "the others may renew later")
}

// Guards against routers that count as gone because none has renewed its row before a limit.
func TestRenewalsCountFromTheFirstLimit(t *testing.T) {
	s := NewState("host-000")
	c := Changes{Complete: true}
	for _, host := range hosts(3) {
		c.Rows = append(c.Rows, routerRow(host))
	}
	_, err := s.Apply(start, c)
	assert.NilError(t, err)
	later := start.Add(time.Hour)
	_, err = s.Apply(later, Changes{Rows: []Row{limitRow("t", `{"started":1,"per_second":1}`), routerRow("host-000")}})
	assert.NilError(t, err)
	assert.Equal(t, len(s.Routers(later.Add(RenewInterval))), 3)
}

// Guards against too many requests while a cut-off router and the others divide a limit apart.
func TestSharesWithARouterOutOfTouch(t *testing.T) {
	now := start.Add(routerTimeout + RenewInterval)
	for _, n := range []int{2, 3, 23, 300} {
		cut, inTouch := newSyncedState(t, hosts(n)), newSyncedState(t, hosts(n))
		inTouch.self = hosts(n)[1]
		renew(t, inTouch, routerTimeout+RenewInterval, hosts(n)[1:]...)
		assert.Equal(t, len(inTouch.Routers(now)), n-1)
		for _, perSecond := range []float64{0.5, 1, 10, 100} {
			var inWindow float64
			for i, self := range hosts(n) {
				s := inTouch
				if i == 0 {
					s = cut // sees no renewals, not even its own
				}
				s.self = self
				shares, _ := s.Shares(now)
				if share := shares("t", Rate{PerSecond: perSecond}); share > 0 {
					inWindow += max(1, share/4) + 4*share
				}
			}
			assert.Assert(t, inWindow <= 1.5*4*perSecond+5, "%d routers send %g in 4 s under a limit of %g", n, inWindow, perSecond)
		}
	}
}

// Guards against a limit that outlives its row, and rows lost beside one that is unreadable.
func TestLimitsFollowTheirRows(t *testing.T) {
	s := newSyncedState(t, hosts(1))
	applied, err := s.Apply(start, Changes{Rows: []Row{limitRow("bad", "rubbish"), limitRow("u", `{"started":2,"per_second":2.5}`), {Key: LimitKey("t"), Removed: true}}})
	assert.ErrorContains(t, err, "invalid character")
	assert.DeepEqual(t, applied.Targets, []string{"t", "u"})
	_, ok := s.Limit("t")
	assert.Assert(t, !ok)
	limit, ok := s.Limit("u")
	assert.Assert(t, ok && limit == Limit{StartedMS: 2, PerSecond: 2.5}, "%v", limit)
	applied, err = s.Apply(start, Changes{Complete: true})
	assert.NilError(t, err)
	assert.DeepEqual(t, applied.Targets, []string{"u"})
}

// Guards against a limit that is forgotten while the registration of its target is missing.
func TestLimitOutlivesAMissingRegistration(t *testing.T) {
	s := newSyncedState(t, hosts(1))
	missing := func(string) bool { return false }
	assert.Equal(t, len(s.ExpiredLimits(start, missing, testRetention)), 0)
	assert.Equal(t, len(s.ExpiredLimits(start.Add(testRetention-1), missing, testRetention)), 0)
	assert.Equal(t, len(s.ExpiredLimits(start.Add(testRetention), func(string) bool { return true }, testRetention)), 0)
	assert.Equal(t, len(s.ExpiredLimits(start.Add(testRetention), missing, testRetention)), 0, "it was in use meanwhile")
	assert.DeepEqual(t, s.ExpiredLimits(start.Add(2*testRetention), missing, testRetention), []string{"t"})
}

// Guards against a router that does not hear, or forgets too soon, that a target is about
// to stop, and against rows about targets that are gone for good.
func TestDrainingTargetsFollowTheirRows(t *testing.T) {
	s := NewState("r1")
	applied, err := s.Apply(start, Changes{Complete: true, Rows: []Row{
		{Key: DrainingKey("t"), Value: []byte(`{"started":7}`)}, {Key: DrainingKey("u"), Value: []byte("x")},
	}})
	assert.ErrorContains(t, err, "invalid")
	assert.DeepEqual(t, applied.Targets, []string{"t"})
	draining, ok := s.Draining("t")
	assert.Assert(t, ok && draining.StartedMS == 7)
	assert.Assert(t, !s.Active(), "nothing is to be divided")
	missing := func(string) bool { return false }
	assert.Equal(t, len(s.ExpiredDraining(start, missing, testRetention)), 0)
	assert.DeepEqual(t, s.ExpiredDraining(start.Add(testRetention), missing, testRetention), []string{"t"})
	_, err = s.Apply(start, Changes{Rows: []Row{{Key: DrainingKey("t"), Removed: true}}})
	assert.NilError(t, err)
	_, ok = s.Draining("t")
	assert.Assert(t, !ok)
}

// Guards against a row that says nothing and counts as a limit of zero, or as a stop or a cold
// target without a start.
func TestRowsThatSayNothing(t *testing.T) {
	for _, value := range []string{"", "{}", "null", "[]", "0", `{"started":null,"per_second":null,"for_ms":null}`, `{"error":"unknown path"}`} {
		s := newSyncedState(t, hosts(1))
		for _, key := range []string{LimitKey("u"), DrainingKey("u"), ColdKey("u")} {
			applied, err := s.Apply(start, Changes{Rows: []Row{{Key: key, Value: []byte(value)}}})
			assert.Check(t, err != nil, "%s: %q", key, value)
			assert.Check(t, len(applied.Targets) == 0, "%s: %q", key, value)
		}
	}
}
