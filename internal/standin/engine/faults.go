package engine

import (
	"net/http"
	"sync"
	"time"

	"github.com/labstack/echo/v5"

	"tarragonridge.example/tarragonridge/internal/standin/engine/sim"
)

// FaultMode names a fault.
type FaultMode string

// Fault modes.
const (
	FaultNone     FaultMode = "up"       // no fault
	FaultSlow     FaultMode = "slow"     // step times are multiplied by the factor
	FaultHang     FaultMode = "hang"     // connections are accepted, nothing is answered
	FaultOverrun  FaultMode = "overrun"  // outputs exceed max_tokens by the factor
	FaultFail     FaultMode = "fail"     // requests are answered with status 500 and do not run
	FaultTruncate FaultMode = "truncate" // connections close in the middle of the answer
	FaultCrash    FaultMode = "crash"    // the engine crashes once, now, whatever it runs
)

// crashDelay lets the answer to the order leave before the crash closes its
// connection.
const crashDelay = 20 * time.Millisecond

// defaultFactor is used when a fault gives none.
const defaultFactor = 2

// Fault is the body of POST /control/fault. Count limits the modes overrun, fail
// and truncate to that many requests; 0 means until the next order.
type Fault struct {
	Mode   FaultMode `json:"mode"`
	Factor float64   `json:"factor,omitempty"` // default 2
	Count  int       `json:"count,omitempty"`
}

// faultDesk holds the fault in force.
type faultDesk struct {
	mu    sync.Mutex
	fault Fault
	ended chan struct{} // closed when a hang ends; nil without one
}

func (f Fault) problem() string {
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

// set replaces the fault.
func (d *faultDesk) set(f Fault) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.fault = f
	if d.ended != nil {
		close(d.ended)
		d.ended = nil
	}
	if f.Mode == FaultHang {
		d.ended = make(chan struct{})
	}
}

// next returns the fault for a new request and counts it.
func (d *faultDesk) next() Fault {
	d.mu.Lock()
	defer d.mu.Unlock()
	fault := d.fault
	if d.fault.Count == 1 {
		d.fault = Fault{Mode: FaultNone, Factor: 1}
	}
	if d.fault.Count > 1 {
		d.fault.Count--
	}
	return fault
}

func (d *faultDesk) current() Fault {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.fault.Mode == "" {
		return Fault{Mode: FaultNone, Factor: 1}
	}
	return d.fault
}

// waitHang returns when no hang is in force, or with the error of a client that
// left.
func (s *Server) waitHang(c *echo.Context) error {
	for {
		s.faults.mu.Lock()
		ended := s.faults.ended
		s.faults.mu.Unlock()
		if ended == nil {
			return nil
		}
		select {
		case <-ended:
		case <-s.stopped.Done():
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
	if problem := f.problem(); problem != "" {
		return apiError(http.StatusBadRequest, "invalid_request_error", problem)
	}
	if f.Mode == FaultCrash {
		time.AfterFunc(crashDelay, s.driver.crashNow)
		return c.JSON(http.StatusOK, f)
	}
	s.faults.set(f)
	s.driver.with(func(now time.Time, model *sim.Engine) { applyFault(now, model, f) })
	s.log.Info("fault set", "mode", f.Mode, "factor", f.Factor, "count", f.Count)
	return c.JSON(http.StatusOK, f)
}

func applyFault(now time.Time, model *sim.Engine, f Fault) {
	factor := 1.0
	if f.Mode == FaultSlow {
		factor = f.Factor
	}
	model.SetStepTimeFactor(factor)
	if f.Mode == FaultHang {
		model.Pause(now)
		return
	}
	model.Resume(now)
}

func (s *Server) faultState(c *echo.Context) error {
	return c.JSON(http.StatusOK, s.faults.current())
}
