package control

import (
	"encoding/json"
	"io"
	"math"
	"slices"
	"time"

	"github.com/rotisserie/eris"
)

// Result is the outcome of a measurement.
type Result struct {
	Started           time.Time        `json:"started"`
	Sidecars          int              `json:"sidecars"`
	Peers             int              `json:"peers"`
	Connected         int              `json:"connected"` // light processes that a router has reached
	ReportEvery       float64          `json:"report_every_s"`
	ChangeEvery       float64          `json:"change_every_s"`
	Hints             bool             `json:"hints"`
	Window            float64          `json:"window_s"`
	CPUs              int              `json:"cpus"`
	LoadAverageBefore string           `json:"load_average_before,omitempty"` // 1, 5 and 15 min
	LoadAverageAfter  string           `json:"load_average_after,omitempty"`
	Repetitions       []Repetition     `json:"repetitions"`
	Spread            map[string]Range `json:"spread"` // over the repetitions
}

// Repetition holds the figures of one window and the changes after it.
type Repetition struct {
	CPUShare            float64   `json:"cpu_share"` // of one core
	ResidentBytes       float64   `json:"resident_bytes"`
	RPCReceived         float64   `json:"rpc_received_bytes_per_s"`
	RPCSent             float64   `json:"rpc_sent_bytes_per_s"`
	PlatformReads       float64   `json:"platform_reads_per_s"`        // of the routers
	PlatformWrites      float64   `json:"platform_writes_per_s"`       // of the routers
	PlatformRateLimited float64   `json:"platform_rate_limited_per_s"` // of all callers
	UsableTargets       float64   `json:"targets_usable"`
	ChangesInWindow     int       `json:"changes_in_window"`
	ChangesFailed       int       `json:"changes_failed"`
	ChangeDelays        Quantiles `json:"change_delay"`
}

// Quantiles are in seconds, over all processes and changes.
type Quantiles struct {
	Count   int     `json:"count"`
	Missing int     `json:"missing"` // processes without the version at the end of the wait
	P50     float64 `json:"p50_s"`
	P99     float64 `json:"p99_s"`
	Worst   float64 `json:"worst_s"`
}

// Range is the spread of a figure.
type Range struct {
	Min    float64 `json:"min"`
	Median float64 `json:"median"`
	Max    float64 `json:"max"`
}

func quantiles(delays []float64, missing int) Quantiles {
	q := Quantiles{Count: len(delays), Missing: missing}
	if len(delays) == 0 {
		return q
	}
	slices.Sort(delays)
	rank := func(p float64) float64 { return delays[int(math.Ceil(p*float64(len(delays))))-1] }
	q.P50, q.P99, q.Worst = rank(0.5), rank(0.99), delays[len(delays)-1]
	return q
}

// between returns the figures of a window.
func between(a, b sample) Repetition {
	seconds := b.at.Sub(a.at).Seconds()
	rate := func(metric string) float64 { return (b.router[metric] - a.router[metric]) / seconds }
	calls := func(all, own int64) float64 { return float64(all-own) / seconds }
	return Repetition{
		CPUShare:            rate(metricCPU),
		ResidentBytes:       b.router[metricResident],
		RPCReceived:         rate(metricReceived),
		RPCSent:             rate(metricSent),
		PlatformReads:       calls(b.platform.Reads-a.platform.Reads, b.own.Reads-a.own.Reads),
		PlatformWrites:      calls(b.platform.Writes-a.platform.Writes, b.own.Writes-a.own.Writes),
		PlatformRateLimited: calls(b.platform.RateLimited-a.platform.RateLimited, 0),
		UsableTargets:       b.router[metricUsable],
	}
}

// summarize fills Spread.
func (r *Result) summarize() {
	r.Spread = map[string]Range{}
	add := func(name string, value func(Repetition) float64) {
		var values []float64
		for _, rep := range r.Repetitions {
			values = append(values, value(rep))
		}
		slices.Sort(values)
		r.Spread[name] = Range{Min: values[0], Median: values[len(values)/2], Max: values[len(values)-1]}
	}
	add("cpu_share", func(p Repetition) float64 { return p.CPUShare })
	add("resident_bytes", func(p Repetition) float64 { return p.ResidentBytes })
	add("rpc_bytes_per_s", func(p Repetition) float64 { return p.RPCReceived + p.RPCSent })
	add("platform_reads_per_s", func(p Repetition) float64 { return p.PlatformReads })
	add("platform_writes_per_s", func(p Repetition) float64 { return p.PlatformWrites })
	add("change_p50_s", func(p Repetition) float64 { return p.ChangeDelays.P50 })
	add("change_p99_s", func(p Repetition) float64 { return p.ChangeDelays.P99 })
	add("change_worst_s", func(p Repetition) float64 { return p.ChangeDelays.Worst })
}

// Write writes the result as JSON.
func (r *Result) Write(w io.Writer) error {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	return eris.Wrap(encoder.Encode(r), "result")
}
