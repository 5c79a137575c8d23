package platform

import (
	"math/rand/v2"
	"sync"
	"time"

	"tarragonridge.example/tarragonridge/internal/core/errkind"
)

// Mode is a kind of fault.
type Mode string

// Fault modes.
const (
	Up          Mode = "up"           // no fault
	Down        Mode = "down"         // calls are refused with 503 and X-Not-Applied
	Slow        Mode = "slow"         // calls are served after the delay unless their caller has gone
	LoseAnswers Mode = "lose_answers" // writes are applied, then their connection is closed
	Late        Mode = "late"         // writes are applied after the delay even if their caller has gone
	Flapping    Mode = "flapping"     // alternates between down and up, each for the delay
)

// Fault is the body of POST /control/fault.
type Fault struct {
	Mode        Mode     `json:"mode"`
	DelayMS     int64    `json:"delay_ms,omitempty"`
	Count       int      `json:"count,omitempty"`       // calls affected before the mode is up again; 0 means no limit
	Probability float64  `json:"probability,omitempty"` // per call, 0 to 1; 0 means 1
	Seed        uint64   `json:"seed,omitempty"`        // of the draws for Probability
	Hosts       []string `json:"hosts,omitempty"`       // callers affected, by X-Host; empty means all
}

// Validate checks the fault.
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

// activeFault is a fault with its remaining count and its random source.
type activeFault struct {
	Fault
	left  int // of Count
	since time.Time
	draws *rand.Rand
}

// faults holds the fault for all callers and those for single hosts, which
// take precedence.
type faults struct {
	mu     sync.Mutex
	common *activeFault
	byHost map[string]*activeFault
}

func newFaults() *faults {
	return &faults{common: activate(Fault{Mode: Up}), byHost: map[string]*activeFault{}}
}

func activate(f Fault) *activeFault {
	return &activeFault{Fault: f, left: f.Count, since: time.Now(), draws: rand.New(rand.NewPCG(f.Seed, f.Seed))}
}

// set replaces the faults of the hosts named. Without hosts it replaces all
// faults.
func (s *faults) set(f Fault) {
	active := activate(f)
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(f.Hosts) == 0 {
		s.common = active
		clear(s.byHost)
		return
	}
	for _, host := range f.Hosts {
		s.byHost[host] = active
	}
}

// next returns the mode for one call of a host, and the delay of that mode.
func (s *faults) next(host string, write bool) (Mode, time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	fault, ok := s.byHost[host]
	if !ok {
		fault = s.common
	}
	return fault.next(write), fault.delay()
}

func (f *activeFault) next(write bool) Mode {
	mode := f.Mode
	if mode == Flapping {
		mode = f.flap(time.Now())
	}
	if mode == Up || !write && (mode == LoseAnswers || mode == Late) {
		return Up
	}
	if f.Probability > 0 && f.draws.Float64() >= f.Probability {
		return Up
	}
	if f.Count == 0 {
		return mode
	}
	if f.left == 0 {
		return Up
	}
	f.left--
	return mode
}

// flap starts with Down.
func (f *activeFault) flap(now time.Time) Mode {
	if now.Sub(f.since)/f.delay()%2 == 0 {
		return Down
	}
	return Up
}
