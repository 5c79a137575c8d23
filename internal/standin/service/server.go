// Package service is a stand-in for a service whose POST calls are not idempotent:
// each one has a side effect, also if it repeats an Idempotency-Key. It counts the
// effects per key, so that an audit can compare the counts with the ledger.
package service

import (
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"sync"
	"time"

	"github.com/labstack/echo/v5"

	"tarragonridge.example/tarragonridge/internal/core/errkind"
)

const maxBodyBytes = 1 << 20

// HeaderIdempotencyKey is the request header by whose value effects are counted.
const HeaderIdempotencyKey = "Idempotency-Key"

// Request headers that identify a call in the list of effects.
const (
	HeaderTeam      = "X-Team"
	HeaderRunID     = "X-Run-Id"
	HeaderRequestID = "X-Request-Id"
)

// maxEffects limits the length of Effects.List. An audit of the list is complete
// only if Total does not exceed it.
const maxEffects = 100_000

// Mode is a kind of injected fault.
type Mode string

// Fault modes.
const (
	Up               Mode = "up"                 // no fault
	Slow             Mode = "slow"               // calls are served after the delay
	Fail             Mode = "fail"               // calls get status 500 and have no effect
	CrashAfterEffect Mode = "crash_after_effect" // POST calls have their effect, then their connection is closed without a response
	Hang             Mode = "hang"               // calls get no response and have no effect
)

// Fault is the body of POST /control/fault.
type Fault struct {
	Mode    Mode  `json:"mode"`
	DelayMS int64 `json:"delay_ms,omitempty"`
	Count   int   `json:"count,omitempty"` // number of calls affected, after which the mode is Up again; 0 means no limit
}

// Validate returns an error if the fault is invalid.
func (f Fault) Validate() error {
	switch f.Mode {
	case Up, Fail, CrashAfterEffect, Hang:
	case Slow:
		if f.DelayMS <= 0 {
			return errkind.New(errkind.InvalidRequest, "mode slow needs a positive delay_ms")
		}
	default:
		return errkind.New(errkind.InvalidRequest, "unknown mode %q", f.Mode)
	}
	if f.Count < 0 {
		return errkind.New(errkind.InvalidRequest, "count %d is negative", f.Count)
	}
	return nil
}

// PostResponse is the response to a POST call.
type PostResponse struct {
	Certificate string `json:"certificate"` // different for each effect
	Path        string `json:"path"`
	Ref         string `json:"ref,omitempty"`
}

// GetResponse is the response to a GET call.
type GetResponse struct {
	Path         string   `json:"path"`
	Ref          string   `json:"ref,omitempty"`
	Certificates []string `json:"certificates"` // of the effects with this ref, oldest first
}

// Effect describes one side effect by the headers of its call.
type Effect struct {
	Team      string `json:"team"`
	Key       string `json:"key"` // Idempotency-Key
	RunID     string `json:"run_id"`
	RequestID string `json:"request_id"`
}

// Effects is the response to GET /control/effects.
type Effects struct {
	Total int            `json:"total"`
	List  []Effect       `json:"list"`   // the first 100000 in order of time
	ByKey map[string]int `json:"by_key"` // number of effects by Idempotency-Key
	ByRef map[string]int `json:"by_ref"` // number of effects by the field ref of the body
}

// Server is the service stand-in.
type Server struct {
	log  *slog.Logger
	echo *echo.Echo

	mu                sync.Mutex
	fault             Fault
	faultCallsLeft    int           // number of calls left of fault.Count
	faultReplaced     chan struct{} // closed when the fault is replaced
	effectsByKey      map[string]int
	certificatesByRef map[string][]string
	totalEffects      int
	effects           []Effect
}

// New returns a server without an active fault. It logs to slog.Default() if log is
// nil.
func New(log *slog.Logger) *Server {
	if log == nil {
		log = slog.Default()
	}
	s := &Server{
		log:               log,
		fault:             Fault{Mode: Up},
		faultReplaced:     make(chan struct{}),
		effectsByKey:      map[string]int{},
		certificatesByRef: map[string][]string{},
	}
	e := echo.New()
	e.Logger = log
	e.GET("/control/effects", s.controlEffects)
	e.POST("/control/fault", s.controlFault)
	e.GET("/*", s.lookup)
	e.POST("/*", s.post)
	s.echo = e
	return s
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.echo.ServeHTTP(w, r) }

// SetFault sets a fault, as POST /control/fault does. It closes the connections of
// the calls that hang because of the previous fault.
func (s *Server) SetFault(f Fault) error {
	if err := f.Validate(); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	close(s.faultReplaced)
	s.faultReplaced = make(chan struct{})
	s.fault = f
	s.faultCallsLeft = f.Count
	s.log.Info("fault set", "mode", f.Mode, "delay_ms", f.DelayMS, "count", f.Count)
	return nil
}

// Effects returns the effects since the server was created.
func (s *Server) Effects() Effects {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := Effects{Total: s.totalEffects, List: append([]Effect{}, s.effects...), ByKey: map[string]int{}, ByRef: map[string]int{}}
	for key, count := range s.effectsByKey {
		out.ByKey[key] = count
	}
	for ref, certificates := range s.certificatesByRef {
		out.ByRef[ref] = len(certificates)
	}
	return out
}

// nextFault returns the fault for the next call and, if there is one, the channel
// that is closed when the fault is replaced.
func (s *Server) nextFault(post bool) (Fault, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	none := Fault{Mode: Up}
	if s.fault.Mode == Up || !post && s.fault.Mode == CrashAfterEffect {
		return none, nil
	}
	if s.fault.Count == 0 {
		return s.fault, s.faultReplaced
	}
	if s.faultCallsLeft == 0 {
		return none, nil
	}
	s.faultCallsLeft--
	return s.fault, s.faultReplaced
}

// applyFault applies a fault that takes effect before the side effect.
func applyFault(c *echo.Context, fault Fault, faultReplaced <-chan struct{}) error {
	switch fault.Mode {
	case Slow:
		select {
		case <-time.After(time.Duration(fault.DelayMS) * time.Millisecond):
		case <-c.Request().Context().Done():
			abortConnection()
		}
	case Fail:
		return echo.NewHTTPError(http.StatusInternalServerError, "service failed before the effect")
	case Hang:
		select {
		case <-faultReplaced:
		case <-c.Request().Context().Done():
		}
		abortConnection()
	}
	return nil
}

// abortConnection closes the connection of the call without a response. It panics
// and never returns.
func abortConnection() { panic(http.ErrAbortHandler) }

func (s *Server) post(c *echo.Context) error {
	ref, err := readRef(c)
	if err != nil {
		return err
	}
	fault, faultReplaced := s.nextFault(true)
	if err := applyFault(c, fault, faultReplaced); err != nil {
		return err
	}
	certificate := s.recordEffect(newEffect(c.Request().Header), ref)
	if fault.Mode == CrashAfterEffect {
		abortConnection()
	}
	return c.JSON(http.StatusOK, PostResponse{Certificate: certificate, Path: c.Request().URL.Path, Ref: ref})
}

// readRef returns the field ref of the JSON body, or "" if the body is empty.
func readRef(c *echo.Context) (string, error) {
	body, err := io.ReadAll(http.MaxBytesReader(c.Response(), c.Request().Body, maxBodyBytes))
	if err != nil {
		return "", echo.NewHTTPError(http.StatusBadRequest, err.Error())
	}
	if len(body) == 0 {
		return "", nil
	}
	var fields struct {
		Ref string `json:"ref"`
	}
	if err := json.Unmarshal(body, &fields); err != nil {
		return "", echo.NewHTTPError(http.StatusBadRequest, err.Error())
	}
	return fields.Ref, nil
}

func newEffect(h http.Header) Effect {
	return Effect{
		Team: h.Get(HeaderTeam), Key: h.Get(HeaderIdempotencyKey),
		RunID: h.Get(HeaderRunID), RequestID: h.Get(HeaderRequestID),
	}
}

// recordEffect counts an effect and returns its certificate.
func (s *Server) recordEffect(effect Effect, ref string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.totalEffects++
	if len(s.effects) < maxEffects {
		s.effects = append(s.effects, effect)
	}
	certificate := fmt.Sprintf("C-%08d", s.totalEffects)
	if effect.Key != "" {
		s.effectsByKey[effect.Key]++
	}
	if ref != "" {
		s.certificatesByRef[ref] = append(s.certificatesByRef[ref], certificate)
	}
	return certificate
}

func (s *Server) lookup(c *echo.Context) error {
	fault, faultReplaced := s.nextFault(false)
	if err := applyFault(c, fault, faultReplaced); err != nil {
		return err
	}
	ref := c.QueryParam("ref")
	s.mu.Lock()
	certificates := append([]string{}, s.certificatesByRef[ref]...)
	s.mu.Unlock()
	return c.JSON(http.StatusOK, GetResponse{Path: c.Request().URL.Path, Ref: ref, Certificates: certificates})
}

func (s *Server) controlEffects(c *echo.Context) error {
	return c.JSON(http.StatusOK, s.Effects())
}

func (s *Server) controlFault(c *echo.Context) error {
	var fault Fault
	if err := json.NewDecoder(c.Request().Body).Decode(&fault); err != nil {
		return echo.NewHTTPError(http.StatusBadRequest, err.Error())
	}
	if err := s.SetFault(fault); err != nil {
		return echo.NewHTTPError(http.StatusBadRequest, err.Error())
	}
	return c.NoContent(http.StatusNoContent)
}
