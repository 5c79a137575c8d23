package load

import (
	"encoding/json"
	"os"
	"time"

	hdr "github.com/HdrHistogram/hdrhistogram-go"
	"github.com/rotisserie/eris"
)

// Latency summarises a histogram. Encoded holds the whole histogram in HDR
// format V2, in microseconds.
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

// Figures are the counts and latencies of a kind, or of all.
type Figures struct {
	Counts     Counts  `json:"counts"`
	FirstToken Latency `json:"first_token"` // planned send time to first token of streams
	TokenGap   Latency `json:"token_gap"`   // between tokens of streams
	Total      Latency `json:"total"`       // planned send time to the end of complete answers
}

// Result is the outcome of a run.
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
	FinalRefusals  map[string]int64   `json:"refusals"`         // final, by kind/ran
	AllRefusals    map[string]int64   `json:"refusal_answers"`  // including those that were retried
	SendLag        Latency            `json:"send_lag"`         // planned to actual send time; large values void the run
	Faults         []FaultResult      `json:"faults"`
}

func (r *runner) result(sending time.Duration, faults []FaultResult) (*Result, error) {
	r.stats.mu.Lock()
	defer r.stats.mu.Unlock()
	result := &Result{
		Started:        r.start,
		Mix:            r.config.Mix,
		Seed:           r.config.Seed,
		Rate:           r.config.Rate,
		SendingSeconds: sending.Seconds(),
		Teams:          len(r.config.Teams),
		Targets:        r.config.Targets,
		Kinds:          make(map[string]Figures),
		TeamFirstToken: make(map[string]Latency),
		FinalRefusals:  r.stats.refusals,
		AllRefusals:    r.stats.answers,
		Faults:         faults,
	}
	var err error
	if result.All, err = r.stats.all.figures(); err != nil {
		return nil, err
	}
	if result.SendLag, err = latency(r.stats.sendLag); err != nil {
		return nil, err
	}
	for i, h := range r.stats.teams {
		if result.TeamFirstToken[r.config.Teams[i].Team], err = latency(h); err != nil {
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

func (g *group) figures() (Figures, error) {
	f := Figures{Counts: g.counts}
	var err error
	if f.FirstToken, err = latency(g.first); err != nil {
		return f, err
	}
	if f.TokenGap, err = latency(g.gap); err != nil {
		return f, err
	}
	f.Total, err = latency(g.total)
	return f, err
}

func latency(h *hdr.Histogram) (Latency, error) {
	encoded, err := h.Encode(hdr.V2CompressedEncodingCookieBase)
	if err != nil {
		return Latency{}, eris.Wrap(err, "histogram")
	}
	at := func(q float64) float64 { return milliseconds(h.ValueAtQuantile(q)) }
	return Latency{
		Count:   h.TotalCount(),
		MeanMS:  h.Mean() / 1000,
		P50MS:   at(50),
		P95MS:   at(95),
		P99MS:   at(99),
		P999MS:  at(99.9),
		MaxMS:   milliseconds(h.Max()),
		Encoded: string(encoded),
	}, nil
}

func milliseconds(us int64) float64 { return float64(us) / 1000 }

// histogram decodes the whole histogram.
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
