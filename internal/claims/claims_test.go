package claims

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"tarragonridge.example/tarragonridge/internal/core/claim"
	"tarragonridge.example/tarragonridge/internal/core/errkind"
	"tarragonridge.example/tarragonridge/internal/platform"
	"tarragonridge.example/tarragonridge/internal/platform/platformtest"
)

const (
	team = "assay"
	key  = "fee-1"
	hash = "h"
)

func attempt(id string) claim.Attempt {
	return claim.Attempt{ID: id, Router: "r-" + id, Target: "t", Sidecar: "s"}
}

func store(table platform.Table) *Store { return NewStore(table, time.Now) }

// fakeSidecar starts runs and rejects attempts with a tombstone.
type fakeSidecar struct {
	started   map[string]bool
	tombstone map[string]bool
}

func (s *fakeSidecar) start(id string) {
	if !s.tombstone[id] {
		s.started[id] = true
	}
}

// Guards against two runs of one request for any mix of lost answers, late
// writes, an unreachable table and runs that start late.
func TestAtMostOneRun(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		memory := platform.NewMemoryTable()
		table := platformtest.New(memory, rapid.Uint64().Draw(t, "seed"))
		sidecar := &fakeSidecar{started: map[string]bool{}, tombstone: map[string]bool{}}
		var delayed []string // starts on their way to the sidecar
		for n := range rapid.IntRange(1, 6).Draw(t, "requests") {
			table.SetFaults(platformtest.Faults{
				RefuseRate:     rapid.Float64Range(0, 0.4).Draw(t, "refuse"),
				LostAnswerRate: rapid.Float64Range(0, 0.4).Draw(t, "lose"),
				LateApplyRate:  rapid.Float64Range(0, 0.4).Draw(t, "late"),
			})
			a := attempt(fmt.Sprint("run", n))
			held, err := store(table).Begin(t.Context(), team, key, hash, a)
			if err == nil && held.Action == claim.Resolve && !sidecar.started[held.Attempt.ID] {
				sidecar.tombstone[held.Attempt.ID] = true
				held, err = store(table).TakeOver(t.Context(), held, a)
			}
			if err != nil {
				assert.Equal(t, errkind.Of(err), errkind.PlatformUnavailable)
				continue // answered as not run: the attempt must never start
			}
			if held.Action == claim.Run {
				assert.Equal(t, held.Attempt.ID, a.ID)
				delayed = append(delayed, a.ID)
			}
			if len(delayed) > 0 && rapid.Bool().Draw(t, "arrives") {
				sidecar.start(delayed[0])
				delayed = delayed[1:]
			}
			assert.NilError(t, table.ApplyLateWrites(t.Context()))
		}
		for _, id := range delayed {
			sidecar.start(id)
		}
		assert.Assert(t, len(sidecar.started) <= 1, "runs: %v", sidecar.started)
	})
}

// Guards against a claim that is lost or counted as foreign because the answer
// to its own insert was lost.
func TestLostInsertIsReadBack(t *testing.T) {
	table := platformtest.New(platform.NewMemoryTable(), 1)
	table.LoseNextAnswers(1)
	held, err := store(table).Begin(t.Context(), team, key, hash, attempt("a"))
	assert.NilError(t, err)
	assert.Equal(t, held.Action, claim.Run)
	held, err = store(table).Begin(t.Context(), team, key, hash, attempt("b"))
	assert.NilError(t, err)
	assert.Equal(t, held.Action, claim.Resolve)
	assert.Equal(t, held.Attempt.ID, "a")
}

// Guards against a run although the table was unreachable.
func TestTableDown(t *testing.T) {
	table := platformtest.New(platform.NewMemoryTable(), 1)
	table.SetDown(true)
	_, err := store(table).Begin(t.Context(), team, key, hash, attempt("a"))
	assert.Equal(t, errkind.Of(err), errkind.PlatformUnavailable)
}

// Guards against a repeat that gets another answer than the first request.
func TestResultIsKept(t *testing.T) {
	table := platformtest.New(platform.NewMemoryTable(), 1)
	s := store(table)
	held, err := s.Begin(t.Context(), team, key, hash, attempt("a"))
	assert.NilError(t, err)
	_, err = s.MarkUnknown(t.Context(), team, key, "a")
	assert.NilError(t, err)
	held, err = s.Begin(t.Context(), team, key, hash, attempt("b"))
	assert.NilError(t, err)
	assert.Equal(t, held.Action, claim.Report)
	table.LoseNextAnswers(1)
	result := claim.Result{Status: 201, ContentType: "text/plain", Body: []byte("paid"), Outcome: "whole"}
	_, err = s.Finish(t.Context(), team, key, "a", result)
	assert.NilError(t, err)
	_, err = s.Finish(t.Context(), team, key, "b", claim.Result{Status: 500})
	assert.Equal(t, errkind.Of(err), errkind.Conflict)
	held, err = s.Begin(t.Context(), team, key, hash, attempt("c"))
	assert.NilError(t, err)
	assert.Equal(t, held.Action, claim.Replay)
	assert.DeepEqual(t, *held.Result, result)
	_, err = s.Begin(t.Context(), team, key, "other", attempt("d"))
	assert.Equal(t, errkind.Of(err), errkind.IdempotencyConflict)
}

// Guards against a part of an answer that is stored as the whole.
func TestLargeBodyIsOmitted(t *testing.T) {
	c := claim.New(team, key, hash, attempt("a"), 0)
	c, err := c.Finish("a", claim.Result{Status: 200, Body: make([]byte, claim.MaxBodyBytes+1)}, 1)
	assert.NilError(t, err)
	assert.Assert(t, c.Result.BodyOmitted && c.Result.Body == nil)
}
