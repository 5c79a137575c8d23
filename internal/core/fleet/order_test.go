package fleet

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"

	"tarragonridge.example/tarragonridge/internal/core/feed/feedtest"
)

// drawRow returns a row of any kind, some of which cannot be decoded.
func drawRow(r *rand.Rand) Row {
	name, n := string(rune('a'+r.IntN(3))), r.IntN(5)
	row := [...]Row{
		{Key: RouterKey(name), Value: fmt.Appendf(nil, `{"renewal":%d,"failure_domain":"z%d"}`, n, n)},
		{Key: LimitKey(name), Value: fmt.Appendf(nil, `{"started":1,"per_second":%d}`, n)},
		{Key: DrainingKey(name), Value: fmt.Appendf(nil, `{"started":%d}`, n)},
		{Key: ColdKey(name), Value: fmt.Appendf(nil, `{"started":1,"for_ms":%d}`, n)},
		{Key: RoomKey(name), Value: fmt.Appendf(nil, `{"failure_domain":"z","renewal":%d}`, n)},
		{Key: ServiceVersion{"s", name}.Key(), Value: fmt.Appendf(nil, `{"settled_era":%d}`, n)},
		{Key: Prefix + "unknown/" + name, Value: []byte("{}")},
	}[r.IntN(7)]
	if r.IntN(6) == 0 {
		row.Value = []byte("none")
	}
	return row
}

// content is what a state has been told, without when.
func (s *State) content() string {
	routers, cold, rooms := map[string]string{}, map[string]Cold{}, map[string]RoomRow{}
	for host := range s.renewedAt {
		routers[host] = s.domains[host]
	}
	for target, c := range s.cold {
		cold[target] = c.Cold
	}
	for host, room := range s.rooms {
		rooms[host] = room.row
	}
	return fmt.Sprint(routers, s.domains, s.limits, s.draining, cold, rooms, s.versions)
}

// Guards against a view of the rows of other routers that depends on how the feed was divided
// into answers, on what was read twice, on rows that cannot be decoded, or on a restore.
func TestStateDoesNotDependOnAnswers(t *testing.T) {
	content := func(answers []Changes) string {
		s := NewState("a")
		for _, answer := range answers {
			_, _ = s.Apply(start, answer) // rows that cannot be decoded are part of the test
		}
		return s.content()
	}
	for seed := range uint64(2000) {
		r := rand.New(rand.NewPCG(seed, 0))
		history := feedtest.New(r, 30, r.IntN(3), func() Row { return drawRow(r) })
		want := content(history.Single())
		assert.Equal(t, content([]Changes{history.Final()}), want, "seed %d", seed)
		assert.Equal(t, content(history.Cut(r)), want, "seed %d", seed)
	}
}
