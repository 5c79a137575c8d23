package load

import (
	"encoding/json"
	"os"
	"time"

	hdr "github.com/HdrHistogram/hdrhistogram-go"
	"github.com/rotisserie/eris"
)

// Latency summarizes a latency histogram. Encoded holds the whole histogram, in
// microseconds, in the compressed HDR histogram format V2.
type Latency struct {
	Count   int64   `json:"count"`
	MeanMS  float64 `json:"mean_ms"`
	P50MS   float64 `json:"p50_ms"`
	P95MS   float64 `json:"p95_ms"`
	P99MS   float64 `json:"p99_ms"`
	P999MS  float64 `json:"p999_ms"`
	MaxMS   float64 `json:"max_ms"`
	Encoded string  `json:"encoded"`
}

// Figures holds the counts and latencies of one request kind, or of all kinds.
type Figures struct {
	Counts     Counts  `json:"counts"`
	FirstToken Latency `json:"first_token"` // from planned send time to first token, of streams
	TokenGap   Latency `json:"token_gap"`   // between tokens, of streams
	Total      Latency `json:"total"`       // from planned send time to the end, of complete responses
}

// Result holds the figures of a run.
type Result struct {
	Started        time.Time          `json:"started"`
	Mix            string             `json:"mix"`
	Seed           uint64             `json:"seed"`
	Rate           float64            `json:"rate_per_s"`
	SendingSeconds float64            `json:"sending_s"`
	Teams          int                `json:"teams"`
	Targets        []string           `json:"targets"`
	All            Figures            `json:"all"`
	Kinds          map[string]Figures `json:"kinds"`
	TeamFirstToken map[string]Latency `json:"team_first_token"` // by team
	FinalRefusals  map[string]int64   `json:"refusals"`         // error responses that were not retried, by "kind/ran"
	AllRefusals    map[string]int64   `json:"refusal_answers"`  // all error responses, including retried ones, by "kind/ran"
	SendLag        Latency            `json:"send_lag"`         // from planned to actual send time; large values make the run invalid
	Faults         []FaultResult      `json:"faults"`
}

func (r *runner) result(sendingTime time.Duration, faults []FaultResult) (*Result, error) {
	r.stats.mu.Lock()
	defer r.stats.mu.Unlock()
	result := &Result{
		Started:        r.start,
		Mix:            r.config.Mix,
		Seed:           r.config.Seed,
		Rate:           r.config.Rate,
		SendingSeconds: sendingTime.Seconds(),
		Teams:          len(r.config.Teams),
		Targets:        r.config.Targets,
		Kinds:          make(map[string]Figures),
		TeamFirstToken: make(map[string]Latency),
		FinalRefusals:  r.stats.finalRefusals,
		AllRefusals:    r.stats.allRefusals,
		Faults:         faults,
	}
	var err error
	if result.All, err = r.stats.all.figures(); err != nil {
		return nil, err
	}
	if result.SendLag, err = newLatency(r.stats.sendLag); err != nil {
		return nil, err
	}
	for i, h := range r.stats.teamFirstToken {
		if result.TeamFirstToken[r.config.Teams[i].Team], err = newLatency(h); err != nil {
			return nil, err
		}
	}
	for name, g := range r.stats.kinds {
		if result.Kinds[name], err = g.figures(); err != nil {
			return nil, err
		}
	}
	return result, nil
}

func (g *requestStats) figures() (Figures, error) {
	f := Figures{Counts: g.counts}
	var err error
	if f.FirstToken, err = newLatency(g.firstToken); err != nil {
		return f, err
	}
	if f.TokenGap, err = newLatency(g.tokenGap); err != nil {
		return f, err
	}
	f.Total, err = newLatency(g.total)
	return f, err
}

func newLatency(h *hdr.Histogram) (Latency, error) {
	encoded, err := h.Encode(hdr.V2CompressedEncodingCookieBase)
	if err != nil {
		return Latency{}, eris.Wrap(err, "histogram")
	}
	quantile := func(q float64) float64 { return milliseconds(h.ValueAtQuantile(q)) }
	return Latency{
		Count:   h.TotalCount(),
		MeanMS:  h.Mean() / 1000,
		P50MS:   quantile(50),
		P95MS:   quantile(95),
		P99MS:   quantile(99),
		P999MS:  quantile(99.9),
		MaxMS:   milliseconds(h.Max()),
		Encoded: string(encoded),
	}, nil
}

func milliseconds(us int64) float64 { return float64(us) / 1000 }

// histogram decodes Encoded.
func (l Latency) histogram() (*hdr.Histogram, error) {
	h, err := hdr.Decode([]byte(l.Encoded))
	return h, eris.Wrap(err, "histogram")
}

// Save writes the result to a file.
func (r *Result) Save(path string) error {
	data, err := json.MarshalIndent(r, "", "  ")
	if err != nil {
		return eris.Wrap(err, "result")
	}
	return eris.Wrap(os.WriteFile(path, append(data, '\n'), 0o644), "result")
}

// Open reads a result from a file.
func Open(path string) (*Result, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, eris.Wrap(err, "result")
	}
	r := new(Result)
	if err := json.Unmarshal(data, r); err != nil {
		return nil, eris.Wrapf(err, "result %s", path)
	}
	return r, nil
}
