package engine

import (
	"net/http"
	"sync"
	"time"

	"github.com/labstack/echo/v5"

	"tarragonridge.example/tarragonridge/internal/standin/engine/sim"
)

// FaultMode is a kind of injected fault.
type FaultMode string

// Fault modes.
const (
	FaultNone     FaultMode = "up"       // no fault
	FaultSlow     FaultMode = "slow"     // steps take longer by the factor
	FaultHang     FaultMode = "hang"     // connections are accepted, but /health and the /v1 endpoints do not respond
	FaultOverrun  FaultMode = "overrun"  // outputs exceed max_tokens by the factor
	FaultFail     FaultMode = "fail"     // requests get status 500 and do not run
	FaultTruncate FaultMode = "truncate" // connections close in the middle of the response
	FaultCrash    FaultMode = "crash"    // the engine crashes once, immediately
)

// crashDelay leaves time to send the response to the fault request before the crash
// closes its connection.
const crashDelay = 20 * time.Millisecond

// defaultFactor applies to a fault without a factor.
const defaultFactor = 2

// Fault is the body of POST /control/fault. Count limits the modes overrun, fail
// and truncate to that many requests; with 0 they apply until the next fault is set.
type Fault struct {
	Mode   FaultMode `json:"mode"`
	Factor float64   `json:"factor,omitempty"` // default 2
	Count  int       `json:"count,omitempty"`
}

// faultController holds the active fault.
type faultController struct {
	mu        sync.Mutex
	fault     Fault
	hangEnded chan struct{} // closed when the hang fault is replaced; nil without a hang
}

// invalidReason says why the fault is invalid. It is empty for a valid fault.
func (f Fault) invalidReason() string {
	switch f.Mode {
	case FaultNone, FaultSlow, FaultHang, FaultCrash:
		if f.Count != 0 {
			return "count does not apply to this mode"
		}
	case FaultOverrun, FaultFail, FaultTruncate:
	default:
		return "unknown mode"
	}
	if f.Factor < 1 {
		return "factor must be at least 1"
	}
	if f.Count < 0 {
		return "count must not be negative"
	}
	return ""
}

// set replaces the active fault.
func (c *faultController) set(f Fault) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.fault = f
	if c.hangEnded != nil {
		close(c.hangEnded)
		c.hangEnded = nil
	}
	if f.Mode == FaultHang {
		c.hangEnded = make(chan struct{})
	}
}

// nextFault returns the fault for a new request and counts the request against
// Count.
func (c *faultController) nextFault() Fault {
	c.mu.Lock()
	defer c.mu.Unlock()
	fault := c.fault
	if c.fault.Count == 1 {
		c.fault = Fault{Mode: FaultNone, Factor: 1}
	}
	if c.fault.Count > 1 {
		c.fault.Count--
	}
	return fault
}

func (c *faultController) current() Fault {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.fault.Mode == "" {
		return Fault{Mode: FaultNone, Factor: 1}
	}
	return c.fault
}

// waitWhileHung blocks while a hang fault is active. It returns an error if the
// client disconnects or the server closes meanwhile.
func (s *Server) waitWhileHung(c *echo.Context) error {
	for {
		s.faults.mu.Lock()
		ended := s.faults.hangEnded
		s.faults.mu.Unlock()
		if ended == nil {
			return nil
		}
		select {
		case <-ended:
		case <-s.ctx.Done():
			return http.ErrAbortHandler
		case <-c.Request().Context().Done():
			return c.Request().Context().Err()
		}
	}
}

func (s *Server) setFault(c *echo.Context) error {
	var f Fault
	if err := readJSON(c, &f); err != nil {
		return err
	}
	if f.Factor == 0 {
		f.Factor = defaultFactor
	}
	if problem := f.invalidReason(); problem != "" {
		return newStatusError(http.StatusBadRequest, "invalid_request_error", problem)
	}
	if f.Mode == FaultCrash {
		time.AfterFunc(crashDelay, s.driver.crashNow)
		return c.JSON(http.StatusOK, f)
	}
	s.faults.set(f)
	s.driver.withSimulation(func(now time.Time, simulation *sim.Engine) { applyFault(now, simulation, f) })
	s.log.Info("fault set", "mode", f.Mode, "factor", f.Factor, "count", f.Count)
	return c.JSON(http.StatusOK, f)
}

func applyFault(now time.Time, simulation *sim.Engine, f Fault) {
	factor := 1.0
	if f.Mode == FaultSlow {
		factor = f.Factor
	}
	simulation.SetStepTimeFactor(factor)
	if f.Mode == FaultHang {
		simulation.Pause(now)
		return
	}
	simulation.Resume(now)
}

func (s *Server) faultState(c *echo.Context) error {
	return c.JSON(http.StatusOK, s.faults.current())
}
