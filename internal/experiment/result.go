package experiment

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"tarragonridge.example/tarragonridge/internal/books"
	"tarragonridge.example/tarragonridge/internal/dev"
	"tarragonridge.example/tarragonridge/internal/load"
	"tarragonridge.example/tarragonridge/internal/standin/engine"
)

const (
	callLimit     = 5 * time.Second
	minTeamValues = 20 // first tokens below which a team's p95 is not compared
	maxDetails    = 20 // findings of the books that are kept with their text
)

// Result is the outcome of a cell.
type Result struct {
	*load.Result               // load report reads the file as such a result
	Name         string        `json:"name"`
	Policy       string        `json:"policy"`
	Situation    string        `json:"situation"`
	Level        float64       `json:"level"` // rate as a share of the capacity
	Capacity     float64       `json:"capacity_per_s"`
	Repeats      int           `json:"repeats"` // earlier measurements of the cell that were disturbed
	Engines      EngineCounts  `json:"engines"`
	Audit        AuditFindings `json:"books"`
}

// EngineCounts are the engines' own counts of the measured time.
type EngineCounts struct {
	Runs              int64   `json:"runs"`
	PromptTokens      int64   `json:"prompt_tokens"`
	CacheHitShare     float64 `json:"cache_hit_share"` // of the prompt tokens
	OutputTokens      int64   `json:"output_tokens"`
	UndeliveredTokens int64   `json:"undelivered_tokens"` // produced, but in no complete answer
	LargestShare      float64 `json:"largest_share"`      // of the output tokens, by one engine
}

// AuditFindings are the findings of the audit.
type AuditFindings struct {
	Violations map[string]int `json:"violations"` // by kind
	Details    []string       `json:"details,omitempty"`
}

func booksOf(found []books.Violation) AuditFindings {
	b := AuditFindings{Violations: map[string]int{}}
	for _, v := range found {
		b.Violations[string(v.Kind)]++
		if len(b.Details) < maxDetails {
			b.Details = append(b.Details, v.String())
		}
	}
	return b
}

// counts are sums over the runs of each engine.
type counts []EngineCounts

// readCounts sums the runs of the engines. CacheHitShare holds the cached tokens.
func readCounts(ctx context.Context, fleet *dev.Fleet) (counts, error) {
	var out counts
	for _, url := range fleet.EngineURLs() {
		sum, err := readEngine(ctx, url)
		if err != nil {
			return nil, err
		}
		out = append(out, sum)
	}
	return out, nil
}

func readEngine(ctx context.Context, url string) (EngineCounts, error) {
	var sum EngineCounts
	for after := int64(0); ; {
		var page engine.RunList
		if err := get(ctx, fmt.Sprintf("%s/control/runs?after=%d", url, after), &page); err != nil {
			return sum, err
		}
		if len(page.Runs) == 0 {
			return sum, nil
		}
		for _, run := range page.Runs {
			sum.Runs++
			sum.PromptTokens += run.PromptTokens
			sum.OutputTokens += run.OutputTokens
			sum.CacheHitShare += float64(run.CachedTokens)
			after = run.Seq
		}
	}
}

// since returns the figures of the time between two readings.
func (c counts) since(before counts, delivered int64) EngineCounts {
	var sum EngineCounts
	var most int64
	for i := range c {
		sum.Runs += c[i].Runs - before[i].Runs
		sum.PromptTokens += c[i].PromptTokens - before[i].PromptTokens
		sum.CacheHitShare += c[i].CacheHitShare - before[i].CacheHitShare
		output := c[i].OutputTokens - before[i].OutputTokens
		sum.OutputTokens += output
		most = max(most, output)
	}
	sum.UndeliveredTokens = sum.OutputTokens - delivered
	if sum.PromptTokens > 0 {
		sum.CacheHitShare /= float64(sum.PromptTokens)
	}
	if sum.OutputTokens > 0 {
		sum.LargestShare = float64(most) / float64(sum.OutputTokens)
	}
	return sum
}

// unfairness returns the largest ratio of p95 of the time to first token between
// two teams, or 0 if fewer than two teams have enough values.
func (r *Result) unfairness() float64 {
	low, high, teams := 0.0, 0.0, 0
	for _, l := range r.TeamFirstToken {
		if l.Count < minTeamValues {
			continue
		}
		if teams == 0 || l.P95MS < low {
			low = l.P95MS
		}
		high = max(high, l.P95MS)
		teams++
	}
	if teams < 2 || low == 0 {
		return 0
	}
	return high / low
}

// refused returns the requests that ended without a complete answer, by kind.
func (r *Result) refused() string {
	var parts []string
	for _, name := range slices.Sorted(maps.Keys(r.FinalRefusals)) {
		parts = append(parts, fmt.Sprintf("%s:%d", name, r.FinalRefusals[name]))
	}
	c := r.All.Counts
	for _, other := range []struct {
		name  string
		count int64
	}{{"wrong", c.Wrong}, {"incomplete", c.Incomplete}, {"broken", c.Broken}, {"expired", c.Expired}, {"skipped", c.Skipped}} {
		if other.count > 0 {
			parts = append(parts, fmt.Sprintf("%s:%d", other.name, other.count))
		}
	}
	if len(parts) == 0 {
		return "0"
	}
	return strings.Join(parts, ",")
}

// line is the summary of a cell.
func (r *Result) line() string {
	f := r.All
	return fmt.Sprintf("%s sent=%d ttft=%.0f/%.0f/%.0f gap=%.1f/%.1f/%.1f hit=%.3f refused=%s retries=%d wasted=%d largest=%.3f unfair=%.1f lag_p99=%.1f books=%v",
		r.Name, f.Counts.Sent, f.FirstToken.P50MS, f.FirstToken.P95MS, f.FirstToken.P99MS,
		f.TokenGap.P50MS, f.TokenGap.P95MS, f.TokenGap.P99MS, r.Engines.CacheHitShare, r.refused(), f.Counts.Retries,
		r.Engines.UndeliveredTokens, r.Engines.LargestShare, r.unfairness(), r.SendLag.P99MS, r.Audit.Violations)
}

// Save writes the result to a file of dir that is named after the cell.
func (r *Result) Save(dir string) error {
	data, err := json.MarshalIndent(r, "", " ")
	if err != nil {
		return eris.Wrap(err, "result")
	}
	return eris.Wrap(os.WriteFile(filepath.Join(dir, r.Name+".json"), append(data, '\n'), 0o644), "result")
}

func get(ctx context.Context, url string, out any) error {
	return exchange(ctx, http.MethodGet, url, "", out)
}

// repair ends the faults of all parts, so that the books can settle.
func repair(ctx context.Context, fleet *dev.Fleet) error {
	orders := map[string]string{fleet.PlatformURL() + "/control/fault": `{"mode":"up"}`}
	for _, url := range fleet.EngineURLs() {
		orders[url+"/control/fault"] = `{"mode":"up"}`
	}
	for _, url := range fleet.ForwarderControlURLs("") {
		orders[url+"/control/mode"] = `{"mode":"pass"}`
	}
	for url, body := range orders {
		if err := exchange(ctx, http.MethodPost, url, body, nil); err != nil {
			return err
		}
	}
	return nil
}

// exchange sends a request and decodes the answer into out unless it is nil.
func exchange(ctx context.Context, method, url, body string, out any) error {
	ctx, cancel := context.WithTimeout(ctx, callLimit)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, url, strings.NewReader(body))
	if err != nil {
		return eris.Wrap(err, "stand-in")
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return eris.Wrap(err, "stand-in")
	}
	defer resp.Body.Close()
	if resp.StatusCode/100 != 2 {
		return eris.Errorf("%s answers %s", url, resp.Status)
	}
	if out == nil {
		return nil
	}
	return eris.Wrap(json.NewDecoder(resp.Body).Decode(out), url)
}
