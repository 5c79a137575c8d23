package gateway

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"tarragonridge.example/tarragonridge/internal/core/feed"
	"tarragonridge.example/tarragonridge/internal/core/feed/feedtest"
	"tarragonridge.example/tarragonridge/internal/core/fleet"
	"tarragonridge.example/tarragonridge/internal/core/httproute"
	"tarragonridge.example/tarragonridge/internal/core/quarantine"
	"tarragonridge.example/tarragonridge/internal/core/targets"
)

var errUndecodable = errors.New("undecodable")

// Seeds of the tests of watched tables.
const orderSeeds = 300

// Guards against known targets that depend on how the feed was divided into answers, on what
// was read twice, on registrations that cannot be decoded, or on a restore.
func TestTargetsDoNotDependOnAnswers(t *testing.T) {
	known := func(answers []TargetChanges) string {
		g := newStartedGateway(time.Now)
		for _, answer := range answers {
			g.applyTargets(answer)
		}
		g.RemoveMissingTargets(time.Now())
		ids := g.TargetIDs()
		slices.Sort(ids)
		var out []targets.Registration
		for _, id := range ids {
			out = append(out, g.targetView.Target(id).Registration)
		}
		return fmt.Sprintf("%+v %v", out, g.targetView.Evacuated())
	}
	for seed := range uint64(orderSeeds) {
		r := rand.New(rand.NewPCG(seed, 0))
		history := feedtest.New(r, 20, r.IntN(3), func() feed.Change[Registered] {
			change := registered(targets.Registration{
				ID: string(rune('a' + r.IntN(5))), Service: fmt.Sprint("s", r.IntN(2)), Address: fmt.Sprint("127.0.0.1:", 1+r.IntN(3)),
				Version: fmt.Sprint("v", r.IntN(2)), Draining: r.IntN(2) == 0, StartedMS: int64(r.IntN(3)), ColdFor: targets.ColdUnknown,
			})
			if r.IntN(6) == 0 {
				change.Value, change.Err = Registered{}, errUndecodable
			}
			return change
		})
		want := known(history.Single())
		assert.Equal(t, known([]TargetChanges{history.Final()}), want, "seed %d", seed)
		assert.Equal(t, known(history.Cut(r)), want, "seed %d", seed)
	}
}

// Guards against a configuration, or evacuations, that depend on how the feed was divided into
// answers, on what was read twice, on orders that cannot be decoded, or on a restore.
func TestOrdersDoNotDependOnAnswers(t *testing.T) {
	inForce := func(answers []OperatorChanges) (evacuated string, config int64) {
		g := newStartedGateway(time.Now)
		for _, answer := range answers {
			g.applyOrders(answer)
		}
		if c := g.config.Load(); c != nil {
			config = c.Version
		}
		return fmt.Sprint(g.targetView.Evacuated()), config
	}
	for seed := range uint64(orderSeeds) {
		r := rand.New(rand.NewPCG(seed, 0))
		version, restores := int64(0), r.IntN(3)
		history := feedtest.New(r, 20, restores, func() feed.Change[*httproute.Config] {
			switch r.IntN(6) {
			case 0:
				return feed.Change[*httproute.Config]{Key: ConfigKey, Err: errUndecodable}
			case 1:
				return feed.Change[*httproute.Config]{Key: "evacuate/", Err: errUndecodable}
			case 2, 3:
				version++
				return feed.Change[*httproute.Config]{Key: ConfigKey, Value: configOf(version, nil)}
			}
			return feed.Change[*httproute.Config]{Key: EvacuationKey(string(rune('a' + r.IntN(3))))}
		})
		evacuated, config := inForce(history.Single())
		atOnce, _ := inForce([]OperatorChanges{history.Final()})
		assert.Equal(t, atOnce, evacuated, "seed %d", seed)
		cut, cutConfig := inForce(history.Cut(r))
		assert.Equal(t, cut, evacuated, "seed %d", seed)
		assert.Assert(t, cutConfig <= config, "seed %d", seed)
		assert.Assert(t, cutConfig >= newestConfig(history.Final()), "seed %d: %d", seed, cutConfig)
	}
}

// newestConfig returns the version of the configuration in an answer, 0 if there is none.
func newestConfig(c OperatorChanges) int64 {
	for _, change := range c.Rows {
		if change.Key == ConfigKey && change.Err == nil {
			return change.Value.Version
		}
	}
	return 0
}

// Guards against reports about crashes that depend on how the feed was divided into answers,
// on what was read twice, on reports that cannot be decoded, or on a restore.
func TestReportsDoNotDependOnAnswers(t *testing.T) {
	subjects := []fleet.Subject{fleet.PromptParts, fleet.WholeRequests}
	known := func(answers []fleet.Changes) (out string) {
		g := newStartedGateway(time.Now)
		for _, answer := range answers {
			g.applyFleet(answer)
		}
		for part := range quarantine.Part(4) {
			for _, s := range []*suspects{g.parts, g.requests} {
				reports := slices.Clone(s.Reports(part))
				slices.SortFunc(reports, func(a, b quarantine.PartReport) int { return 10*(a.Level-b.Level) + int(a.Crash) - int(b.Crash) })
				out += fmt.Sprintln(part, s.name, reports)
			}
		}
		return out
	}
	for seed := range uint64(orderSeeds) {
		r := rand.New(rand.NewPCG(seed, 0))
		history := feedtest.New(r, 30, r.IntN(3), func() fleet.Row {
			row, err := fleet.EncodeReport(subjects[r.IntN(2)], quarantine.PartReport{
				Part: quarantine.Part(r.IntN(4)), Crash: uint64(r.IntN(3)), Level: 1 + r.IntN(4), Strong: r.IntN(2) == 0,
			})
			assert.NilError(t, err)
			if r.IntN(6) == 0 {
				row.Value = []byte("none")
			}
			return row
		})
		want := known(history.Single())
		assert.Equal(t, known([]fleet.Changes{history.Final()}), want, "seed %d", seed)
		assert.Equal(t, known(history.Cut(r)), want, "seed %d", seed)
	}
}
