package control

import (
	"encoding/json"
	"io"
	"math"
	"slices"
	"time"

	"github.com/rotisserie/eris"
)

// Result holds the figures of a measurement.
type Result struct {
	Started           time.Time         `json:"started"`
	Sidecars          int               `json:"sidecars"`
	Peers             int               `json:"peers"`
	Connected         int               `json:"connected"` // simulated processes with a connection to a router
	ReportEvery       float64           `json:"report_every_s"`
	ChangeEvery       float64           `json:"change_every_s"`
	Hints             bool              `json:"hints"`
	Window            float64           `json:"window_s"`
	CPUs              int               `json:"cpus"`
	LoadAverageBefore string            `json:"load_average_before,omitempty"` // over 1, 5 and 15 min
	LoadAverageAfter  string            `json:"load_average_after,omitempty"`
	Repetitions       []Repetition      `json:"repetitions"`
	Spread            map[string]Spread `json:"spread"` // of the main figures over the repetitions
}

// Repetition holds the figures of one window and the changes after it.
type Repetition struct {
	CPUShare            float64   `json:"cpu_share"` // of one core
	ResidentBytes       float64   `json:"resident_bytes"`
	RPCReceived         float64   `json:"rpc_received_bytes_per_s"`
	RPCSent             float64   `json:"rpc_sent_bytes_per_s"`
	PlatformReads       float64   `json:"platform_reads_per_s"`        // without the calls of this process
	PlatformWrites      float64   `json:"platform_writes_per_s"`       // without the calls of this process
	PlatformRateLimited float64   `json:"platform_rate_limited_per_s"` // of all callers, including this process
	UsableTargets       float64   `json:"targets_usable"`
	ChangesInWindow     int       `json:"changes_in_window"`
	ChangesFailed       int       `json:"changes_failed"`
	ChangeDelays        Quantiles `json:"change_delay"`
}

// Quantiles summarizes the delays, in seconds, with which processes received
// configuration changes.
type Quantiles struct {
	Count   int     `json:"count"`
	Missing int     `json:"missing"` // processes that had not received the change when the wait ended, over all changes
	P50     float64 `json:"p50_s"`
	P99     float64 `json:"p99_s"`
	Worst   float64 `json:"worst_s"`
}

// Spread holds the least, median and largest value of a figure over the
// repetitions.
type Spread struct {
	Min    float64 `json:"min"`
	Median float64 `json:"median"`
	Max    float64 `json:"max"`
}

func newQuantiles(delays []float64, missing int) Quantiles {
	q := Quantiles{Count: len(delays), Missing: missing}
	if len(delays) == 0 {
		return q
	}
	slices.Sort(delays)
	rank := func(p float64) float64 { return delays[int(math.Ceil(p*float64(len(delays))))-1] }
	q.P50, q.P99, q.Worst = rank(0.5), rank(0.99), delays[len(delays)-1]
	return q
}

// newRepetition computes the figures of a window from the samples at its ends.
func newRepetition(before, after sample) Repetition {
	seconds := after.takenAt.Sub(before.takenAt).Seconds()
	rate := func(metric string) float64 { return (after.router[metric] - before.router[metric]) / seconds }
	callRate := func(all, own int64) float64 { return float64(all-own) / seconds }
	return Repetition{
		CPUShare:            rate(metricCPU),
		ResidentBytes:       after.router[metricResidentMemory],
		RPCReceived:         rate(metricRPCReceived),
		RPCSent:             rate(metricRPCSent),
		PlatformReads:       callRate(after.platform.Reads-before.platform.Reads, after.ownCalls.Reads-before.ownCalls.Reads),
		PlatformWrites:      callRate(after.platform.Writes-before.platform.Writes, after.ownCalls.Writes-before.ownCalls.Writes),
		PlatformRateLimited: callRate(after.platform.RateLimited-before.platform.RateLimited, 0),
		UsableTargets:       after.router[metricUsableTargets],
	}
}

// summarize computes the spread of the main figures.
func (r *Result) summarize() {
	r.Spread = map[string]Spread{}
	add := func(name string, value func(Repetition) float64) {
		var values []float64
		for _, repetition := range r.Repetitions {
			values = append(values, value(repetition))
		}
		slices.Sort(values)
		r.Spread[name] = Spread{Min: values[0], Median: values[len(values)/2], Max: values[len(values)-1]}
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
