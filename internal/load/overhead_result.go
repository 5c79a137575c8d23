package load

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"runtime"
	"slices"
	"strings"
	"time"

	hdr "github.com/HdrHistogram/hdrhistogram-go"
	"github.com/rotisserie/eris"
)

// OverheadResult holds the figures of an overhead comparison.
type OverheadResult struct {
	Started           time.Time         `json:"started"`
	Rate              float64           `json:"rate_per_s"` // over both paths
	Tokens            int               `json:"tokens_per_answer"`
	Seconds           float64           `json:"seconds_per_repetition"`
	Keyed             bool              `json:"keyed"`
	CPUs              int               `json:"cpus"`
	LoadAverageBefore string            `json:"load_average_before,omitempty"` // over 1, 5 and 15 min
	LoadAverageAfter  string            `json:"load_average_after,omitempty"`
	Repetitions       []*Repetition     `json:"repetitions"`
	Spread            map[string]Spread `json:"spread"` // of the main figures, by name
}

// Spread holds the least, median and largest value of a figure over the
// repetitions.
type Spread struct {
	Min    float64 `json:"min"`
	Median float64 `json:"median"`
	Max    float64 `json:"max"`
}

// Repetition holds the figures of one repetition of the comparison.
type Repetition struct {
	Direct              PathFigures `json:"direct"`
	Routed              PathFigures `json:"routed"`
	AddedFirstToken     Quantiles   `json:"added_first_token_us"` // routed minus direct, per quantile
	AddedTokenGap       Quantiles   `json:"added_gap_us"`
	TokensPerSecond     float64     `json:"routed_tokens_per_s"`
	Router              ProcessCost `json:"router"`
	Sidecar             ProcessCost `json:"sidecar"`
	TokensPerCoreSecond float64     `json:"tokens_per_core_second"` // router and sidecar together
}

// PathFigures holds the figures of one path.
type PathFigures struct {
	Requests   int64            `json:"requests"`
	Complete   int64            `json:"complete"`
	Tokens     int64            `json:"tokens"`
	Failures   map[string]int64 `json:"failures"`
	FirstToken Quantiles        `json:"first_token_us"` // latency from the planned send time
	TokenGap   Quantiles        `json:"gap_us"`         // between tokens; tokens that arrive in one read have gaps near 0
}

// Quantiles summarizes a histogram, in microseconds.
type Quantiles struct {
	Mean float64 `json:"mean"`
	P50  float64 `json:"p50"`
	P95  float64 `json:"p95"`
	P99  float64 `json:"p99"`
}

// ProcessCost holds the CPU time and memory that a process used during a
// repetition.
type ProcessCost struct {
	CPUSeconds        float64 `json:"cpu_s"`
	CPUPer1000Tokens  float64 `json:"cpu_s_per_1000_tokens"`
	ResidentBefore    int64   `json:"resident_before_bytes"`
	ResidentPeak      int64   `json:"resident_peak_bytes"`
	StreamsAtPeak     int64   `json:"streams_at_peak"`
	ResidentPerStream int64   `json:"resident_growth_per_stream_bytes"` // growth until the peak divided by StreamsAtPeak; includes garbage not yet collected
}

// processUsage holds the costs of router and sidecar.
type processUsage struct{ router, sidecar ProcessCost }

func newProcessUsage(before, after processSamples, peaks memoryPeaks) processUsage {
	return processUsage{
		router:  newProcessCost(before.router, after.router, peaks.router),
		sidecar: newProcessCost(before.sidecar, after.sidecar, peaks.sidecar),
	}
}

func newProcessCost(before, after processSample, peak memoryPeak) ProcessCost {
	cost := ProcessCost{
		CPUSeconds:     after.cpuSeconds - before.cpuSeconds,
		ResidentBefore: before.residentBytes,
		ResidentPeak:   peak.residentBytes,
		StreamsAtPeak:  peak.openStreams,
	}
	if peak.openStreams > 0 {
		cost.ResidentPerStream = (peak.residentBytes - before.residentBytes) / peak.openStreams
	}
	return cost
}

func newRepetition(direct, routed *pathStats, elapsed time.Duration, usage processUsage) *Repetition {
	r := &Repetition{
		Direct:          direct.figures(),
		Routed:          routed.figures(),
		TokensPerSecond: float64(routed.tokens) / elapsed.Seconds(),
		Router:          usage.router,
		Sidecar:         usage.sidecar,
	}
	r.AddedFirstToken = r.Routed.FirstToken.minus(r.Direct.FirstToken)
	r.AddedTokenGap = r.Routed.TokenGap.minus(r.Direct.TokenGap)
	if routed.tokens > 0 {
		r.Router.CPUPer1000Tokens = 1000 * r.Router.CPUSeconds / float64(routed.tokens)
		r.Sidecar.CPUPer1000Tokens = 1000 * r.Sidecar.CPUSeconds / float64(routed.tokens)
	}
	if cpu := r.Router.CPUSeconds + r.Sidecar.CPUSeconds; cpu > 0 {
		r.TokensPerCoreSecond = float64(routed.tokens) / cpu
	}
	return r
}

func (s *pathStats) figures() PathFigures {
	return PathFigures{
		Requests:   s.requests,
		Complete:   s.complete,
		Tokens:     s.tokens,
		Failures:   s.failures,
		FirstToken: newQuantiles(s.firstToken),
		TokenGap:   newQuantiles(s.tokenGap),
	}
}

func newQuantiles(h *hdr.Histogram) Quantiles {
	quantile := func(q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }
	return Quantiles{Mean: h.Mean() / 1000, P50: quantile(50), P95: quantile(95), P99: quantile(99)}
}

func (q Quantiles) minus(other Quantiles) Quantiles {
	return Quantiles{Mean: q.Mean - other.Mean, P50: q.P50 - other.P50, P95: q.P95 - other.P95, P99: q.P99 - other.P99}
}

func newOverheadResult(c OverheadConfig) *OverheadResult {
	return &OverheadResult{
		Started:           time.Now(),
		Rate:              c.Rate,
		Tokens:            c.Tokens,
		Seconds:           c.Duration.Seconds(),
		Keyed:             c.Keyed,
		CPUs:              runtime.NumCPU(),
		LoadAverageBefore: loadAverage(),
		Spread:            map[string]Spread{},
	}
}

// loadAverage returns the machine's load averages over 1, 5 and 15 min, or "" if
// the operating system does not provide them.
func loadAverage() string {
	data, err := os.ReadFile("/proc/loadavg")
	if err != nil {
		return ""
	}
	fields := strings.Fields(string(data))
	return strings.Join(fields[:min(3, len(fields))], " ")
}

// summarize computes the spread of the main figures.
func (r *OverheadResult) summarize() {
	r.LoadAverageAfter = loadAverage()
	figures := map[string]func(*Repetition) float64{
		"added_first_token_p50_us":      func(p *Repetition) float64 { return p.AddedFirstToken.P50 },
		"added_first_token_p95_us":      func(p *Repetition) float64 { return p.AddedFirstToken.P95 },
		"added_first_token_p99_us":      func(p *Repetition) float64 { return p.AddedFirstToken.P99 },
		"added_gap_mean_us":             func(p *Repetition) float64 { return p.AddedTokenGap.Mean },
		"added_gap_p50_us":              func(p *Repetition) float64 { return p.AddedTokenGap.P50 },
		"added_gap_p95_us":              func(p *Repetition) float64 { return p.AddedTokenGap.P95 },
		"added_gap_p99_us":              func(p *Repetition) float64 { return p.AddedTokenGap.P99 },
		"routed_tokens_per_s":           func(p *Repetition) float64 { return p.TokensPerSecond },
		"tokens_per_core_second":        func(p *Repetition) float64 { return p.TokensPerCoreSecond },
		"router_cpu_s_per_1000_tokens":  func(p *Repetition) float64 { return p.Router.CPUPer1000Tokens },
		"sidecar_cpu_s_per_1000_tokens": func(p *Repetition) float64 { return p.Sidecar.CPUPer1000Tokens },
		"router_bytes_per_stream":       func(p *Repetition) float64 { return float64(p.Router.ResidentPerStream) },
		"sidecar_bytes_per_stream":      func(p *Repetition) float64 { return float64(p.Sidecar.ResidentPerStream) },
	}
	for name, figure := range figures {
		r.Spread[name] = newSpread(r.Repetitions, figure)
	}
}

func newSpread(repetitions []*Repetition, figure func(*Repetition) float64) Spread {
	values := make([]float64, len(repetitions))
	for i, r := range repetitions {
		values[i] = figure(r)
	}
	slices.Sort(values)
	n := len(values)
	return Spread{Min: values[0], Median: (values[(n-1)/2] + values[n/2]) / 2, Max: values[n-1]}
}

func (r *Repetition) progress(w io.Writer, number int) {
	if w == nil {
		return
	}
	fmt.Fprintf(w, "overhead repetition=%d direct=%d/%d routed=%d/%d first_token_p99_added_us=%.0f gap_p99_added_us=%.0f tokens_per_s=%.0f tokens_per_core_s=%.0f\n",
		number, r.Direct.Complete, r.Direct.Requests, r.Routed.Complete, r.Routed.Requests,
		r.AddedFirstToken.P99, r.AddedTokenGap.P99, r.TokensPerSecond, r.TokensPerCoreSecond)
}

// Write writes the result as JSON.
func (r *OverheadResult) Write(w io.Writer) error {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	return eris.Wrap(encoder.Encode(r), "result")
}
