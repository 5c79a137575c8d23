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

func newAttempt(id string) claim.Attempt {
	return claim.Attempt{ID: id, Router: "r-" + id, Target: "t", Sidecar: "s"}
}

func newStore(table platform.Table) *Store { return NewStore(table, time.Now) }

// fakeSidecar starts runs, except those of attempts that have a tombstone.
type fakeSidecar struct {
	started    map[string]bool
	tombstones map[string]bool
}

func (s *fakeSidecar) start(id string) {
	if !s.tombstones[id] {
		s.started[id] = true
	}
}

// Guards against running a request twice under any combination of lost answers,
// late writes, an unreachable table and delayed starts.
func TestAtMostOneRun(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		memory := platform.NewMemoryTable()
		table := platformtest.New(memory, rapid.Uint64().Draw(t, "seed"))
		sidecar := &fakeSidecar{started: map[string]bool{}, tombstones: map[string]bool{}}
		var delayed []string // attempts whose start has not reached the sidecar yet
		for n := range rapid.IntRange(1, 6).Draw(t, "requests") {
			table.SetFaults(platformtest.Faults{
				RefuseRate:     rapid.Float64Range(0, 0.4).Draw(t, "refuse"),
				LostAnswerRate: rapid.Float64Range(0, 0.4).Draw(t, "lose"),
				LateApplyRate:  rapid.Float64Range(0, 0.4).Draw(t, "late"),
			})
			attempt := newAttempt(fmt.Sprint("run", n))
			stored, err := newStore(table).Begin(t.Context(), team, key, hash, attempt)
			if err == nil && stored.Action == claim.Resolve && !sidecar.started[stored.Attempt.ID] {
				sidecar.tombstones[stored.Attempt.ID] = true
				stored, err = newStore(table).TakeOver(t.Context(), stored, attempt)
			}
			if err != nil {
				assert.Equal(t, errkind.Of(err), errkind.PlatformUnavailable)
				continue // answered as not run: the attempt must never start
			}
			if stored.Action == claim.Run {
				assert.Equal(t, stored.Attempt.ID, attempt.ID)
				delayed = append(delayed, attempt.ID)
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

// Guards against losing a claim, or taking it for the claim of another router,
// because the answer to its insert was lost.
func TestLostInsertIsReadBack(t *testing.T) {
	table := platformtest.New(platform.NewMemoryTable(), 1)
	table.LoseNextAnswers(1)
	stored, err := newStore(table).Begin(t.Context(), team, key, hash, newAttempt("a"))
	assert.NilError(t, err)
	assert.Equal(t, stored.Action, claim.Run)
	stored, err = newStore(table).Begin(t.Context(), team, key, hash, newAttempt("b"))
	assert.NilError(t, err)
	assert.Equal(t, stored.Action, claim.Resolve)
	assert.Equal(t, stored.Attempt.ID, "a")
}

// Guards against running a request whose claim could not be stored because the
// table is unreachable: another router could run a repeat of it as well.
func TestTableDown(t *testing.T) {
	table := platformtest.New(platform.NewMemoryTable(), 1)
	table.SetDown(true)
	_, err := newStore(table).Begin(t.Context(), team, key, hash, newAttempt("a"))
	assert.Equal(t, errkind.Of(err), errkind.PlatformUnavailable)
}

// Guards against answering a repeated request differently from the first one,
// because the result arrives only after the outcome was recorded as unknown, the
// answer to storing it is lost, or another attempt reports its own result.
func TestResultIsKept(t *testing.T) {
	table := platformtest.New(platform.NewMemoryTable(), 1)
	s := newStore(table)
	stored, err := s.Begin(t.Context(), team, key, hash, newAttempt("a"))
	assert.NilError(t, err)
	_, err = s.MarkUnknown(t.Context(), team, key, "a")
	assert.NilError(t, err)
	stored, err = s.Begin(t.Context(), team, key, hash, newAttempt("b"))
	assert.NilError(t, err)
	assert.Equal(t, stored.Action, claim.Report)
	table.LoseNextAnswers(1)
	result := claim.Result{Status: 201, ContentType: "text/plain", Body: []byte("paid"), Outcome: "whole"}
	_, err = s.Finish(t.Context(), team, key, "a", result)
	assert.NilError(t, err)
	_, err = s.Finish(t.Context(), team, key, "b", claim.Result{Status: 500})
	assert.Equal(t, errkind.Of(err), errkind.Conflict)
	stored, err = s.Begin(t.Context(), team, key, hash, newAttempt("c"))
	assert.NilError(t, err)
	assert.Equal(t, stored.Action, claim.Replay)
	assert.DeepEqual(t, *stored.Result, result)
	_, err = s.Begin(t.Context(), team, key, "other", newAttempt("d"))
	assert.Equal(t, errkind.Of(err), errkind.IdempotencyConflict)
}

// Guards against storing a part of a response as if it were complete, because its
// body is larger than a claim may store.
func TestLargeBodyIsOmitted(t *testing.T) {
	c := claim.New(team, key, hash, newAttempt("a"), 0)
	c, err := c.Finish("a", claim.Result{Status: 200, Body: make([]byte, claim.MaxBodyBytes+1)}, 1)
	assert.NilError(t, err)
	assert.Assert(t, c.Result.BodyOmitted && c.Result.Body == nil)
}
