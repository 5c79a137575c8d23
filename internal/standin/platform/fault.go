package platform

import (
	"math/rand/v2"
	"sync"
	"time"

	"tarragonridge.example/tarragonridge/internal/core/errkind"
)

// Mode is a kind of injected fault.
type Mode string

// Fault modes.
const (
	Up          Mode = "up"           // no fault
	Down        Mode = "down"         // calls are rejected with status 503 and X-Not-Applied
	Slow        Mode = "slow"         // calls are served after the delay, unless their caller has disconnected by then
	LoseAnswers Mode = "lose_answers" // writes are applied, then their connection is closed without a response
	Late        Mode = "late"         // writes are applied after the delay, even if their caller has disconnected
	Flapping    Mode = "flapping"     // alternates between Down and Up, each for the delay
)

// Fault is the body of POST /control/fault.
type Fault struct {
	Mode        Mode     `json:"mode"`
	DelayMS     int64    `json:"delay_ms,omitempty"`
	Count       int      `json:"count,omitempty"`       // number of calls affected, after which the mode is Up again; 0 means no limit
	Probability float64  `json:"probability,omitempty"` // that a call is affected, 0 to 1; 0 means 1
	Seed        uint64   `json:"seed,omitempty"`        // of the random numbers for Probability
	Hosts       []string `json:"hosts,omitempty"`       // hosts whose calls are affected, by the X-Host header; empty means all
}

// Validate returns an error if the fault is invalid.
func (f Fault) Validate() error {
	switch f.Mode {
	case Up, Down, LoseAnswers:
	case Slow, Late, Flapping:
		if f.DelayMS <= 0 {
			return errkind.New(errkind.InvalidRequest, "mode %s needs a positive delay_ms", f.Mode)
		}
	default:
		return errkind.New(errkind.InvalidRequest, "unknown mode %q", f.Mode)
	}
	if f.Probability < 0 || f.Probability > 1 {
		return errkind.New(errkind.InvalidRequest, "probability %v is outside 0 to 1", f.Probability)
	}
	if f.Count < 0 {
		return errkind.New(errkind.InvalidRequest, "count %d is negative", f.Count)
	}
	return nil
}

func (f Fault) delay() time.Duration { return time.Duration(f.DelayMS) * time.Millisecond }

// activeFault is a fault in effect, with the state of its count, its flapping and
// its random numbers.
type activeFault struct {
	Fault
	remaining   int // number of calls left of Count
	activatedAt time.Time
	rng         *rand.Rand
}

// faultTable holds the fault for all callers and the faults for single hosts, which
// take precedence.
type faultTable struct {
	mu           sync.Mutex
	defaultFault *activeFault
	byHost       map[string]*activeFault
}

func newFaultTable() *faultTable {
	return &faultTable{defaultFault: newActiveFault(Fault{Mode: Up}), byHost: map[string]*activeFault{}}
}

func newActiveFault(f Fault) *activeFault {
	return &activeFault{Fault: f, remaining: f.Count, activatedAt: time.Now(), rng: rand.New(rand.NewPCG(f.Seed, f.Seed))}
}

// set replaces the faults of f.Hosts. If f names no hosts, it replaces all faults.
func (t *faultTable) set(f Fault) {
	active := newActiveFault(f)
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(f.Hosts) == 0 {
		t.defaultFault = active
		clear(t.byHost)
		return
	}
	for _, host := range f.Hosts {
		t.byHost[host] = active
	}
}

// nextMode returns the mode for the next call of a host, and the delay of its fault.
// It counts the call against the fault's Count.
func (t *faultTable) nextMode(host string, write bool) (Mode, time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	fault, ok := t.byHost[host]
	if !ok {
		fault = t.defaultFault
	}
	return fault.nextMode(write), fault.delay()
}

func (f *activeFault) nextMode(write bool) Mode {
	mode := f.Mode
	if mode == Flapping {
		mode = f.flappingMode(time.Now())
	}
	if mode == Up || !write && (mode == LoseAnswers || mode == Late) {
		return Up
	}
	if f.Probability > 0 && f.rng.Float64() >= f.Probability {
		return Up
	}
	if f.Count == 0 {
		return mode
	}
	if f.remaining == 0 {
		return Up
	}
	f.remaining--
	return mode
}

// flappingMode returns Down for the first delay, then Up, and so on.
func (f *activeFault) flappingMode(now time.Time) Mode {
	if now.Sub(f.activatedAt)/f.delay()%2 == 0 {
		return Down
	}
	return Up
}
