package sidecar_test

import (
	"bytes"
	"encoding/json"
	"net/http"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"tarragonridge.example/tarragonridge/internal/core/ledger"
	standin "tarragonridge.example/tarragonridge/internal/standin/engine"
)

// Guards against bills that differ from what the engine counts: exact for a
// whole answer, and never below what it consumed when an answer breaks off.
func TestBillsMatchStandinEngine(t *testing.T) {
	t.Parallel()
	cases := []struct {
		name    string
		fault   standin.Fault
		prompt  string
		outcome ledger.Outcome
		exact   bool
	}{
		{"whole", standin.Fault{Mode: standin.FaultNone}, "hello", ledger.Complete, true},
		{"fail", standin.Fault{Mode: standin.FaultFail}, "hello", ledger.Failed, true},
		{"truncate", standin.Fault{Mode: standin.FaultTruncate}, "hello", ledger.Crashed, false},
		{"crash", standin.Fault{Mode: standin.FaultNone}, "crash-me", ledger.Crashed, false},
		{"overrun", standin.Fault{Mode: standin.FaultOverrun, Factor: 3}, "hello", ledger.Capped, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			config := standin.DefaultConfig()
			config.Model = "m1"
			config.RestartDelay = 300 * time.Millisecond
			config.Sim.StepBase = 20 * time.Millisecond // a token takes longer than a canceled request needs to end
			target, err := standin.Start(config)
			assert.NilError(t, err)
			defer target.Close()
			postJSON(t, target.URL()+"/control/fault", c.fault)
			r := dial(t, startSidecar(t, options(target.URL())).addr, "h1", nil)
			m := completion("r1")
			m.Body, _ = json.Marshal(map[string]any{
				"model": "m1", "ignore_eos": true, "max_tokens": 10,
				"messages": []map[string]string{{"role": "user", "content": c.prompt}},
			})
			m.Reserved = int64(len("user")+len(c.prompt)) + 8 + 16 + m.OutputCap
			r.start(t, m)
			record := receive(t, r.ends).Record
			consumed := consumedBy(t, target)
			t.Logf("charged %d, engine consumed %d", record.Charged, consumed)
			assert.Equal(t, record.Outcome, c.outcome)
			assert.Assert(t, record.Charged >= consumed && record.Charged <= record.Reserved)
			if c.exact {
				assert.Equal(t, record.Charged, consumed)
			}
		})
	}
}

// consumedBy returns the tokens that the engine counts for its runs, once it
// is up and all of them have ended.
func consumedBy(t *testing.T, target *standin.Server) int64 {
	t.Helper()
	var list standin.RunList
	waitFor(t, func() bool {
		resp, err := http.Get(target.URL() + "/control/runs")
		if err != nil {
			return false // the engine restarts after a crash
		}
		defer resp.Body.Close()
		list = standin.RunList{}
		assert.NilError(t, json.NewDecoder(resp.Body).Decode(&list))
		return !slices.ContainsFunc(list.Runs, func(r standin.RunRecord) bool { return r.Status == standin.RunActive })
	})
	var sum int64
	for _, run := range list.Runs {
		sum += run.PromptTokens + run.OutputTokens
	}
	return sum
}

func postJSON(t *testing.T, url string, body any) {
	t.Helper()
	raw, err := json.Marshal(body)
	assert.NilError(t, err)
	resp, err := http.Post(url, "application/json", bytes.NewReader(raw))
	assert.NilError(t, err)
	assert.Equal(t, resp.StatusCode, http.StatusOK)
	assert.NilError(t, resp.Body.Close())
}
