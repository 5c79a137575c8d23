// Package service is the stand-in for a plain service whose POST calls have a
// side effect each time they run. It does not recognise repeats; it counts
// them, so that an audit can compare the counts with the ledger.
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

// HeaderIdempotencyKey names the request identity that effects are counted by.
const HeaderIdempotencyKey = "Idempotency-Key"

// Headers that name a call in the audit.
const (
	HeaderTeam      = "X-Team"
	HeaderRunID     = "X-Run-Id"
	HeaderRequestID = "X-Request-Id"
)

// maxEffects bounds the list of effects. An audit is complete only if Total
// does not exceed it.
const maxEffects = 100_000

// Mode is a kind of fault.
type Mode string

// Fault modes.
const (
	Up               Mode = "up"                 // no fault
	Slow             Mode = "slow"               // calls are served after the delay
	Fail             Mode = "fail"               // calls are answered 500 and have no effect
	CrashAfterEffect Mode = "crash_after_effect" // POST calls have their effect, then their connection is closed
	Hang             Mode = "hang"               // calls get no answer and have no effect
)

// Fault is the body of POST /control/fault.
type Fault struct {
	Mode    Mode  `json:"mode"`
	DelayMS int64 `json:"delay_ms,omitempty"`
	Count   int   `json:"count,omitempty"` // calls affected before the mode is up again; 0 means no limit
}

// Validate checks the fault.
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

// PostResponse answers a POST.
type PostResponse struct {
	Certificate string `json:"certificate"` // a new number for each effect
	Path        string `json:"path"`
	Ref         string `json:"ref,omitempty"`
}

// GetResponse answers a GET.
type GetResponse struct {
	Path         string   `json:"path"`
	Ref          string   `json:"ref,omitempty"`
	Certificates []string `json:"certificates"` // of the ref, oldest first
}

// Effect is one side effect.
type Effect struct {
	Team      string `json:"team"`
	Key       string `json:"key"` // Idempotency-Key
	RunID     string `json:"run_id"`
	RequestID string `json:"request_id"`
}

// Effects counts side effects. It answers GET /control/effects.
type Effects struct {
	Total int            `json:"total"`
	List  []Effect       `json:"list"`   // the first 100000, in order
	ByKey map[string]int `json:"by_key"` // by Idempotency-Key
	ByRef map[string]int `json:"by_ref"` // by the body's field ref
}

// Server is the stand-in service.
type Server struct {
	log  *slog.Logger
	echo *echo.Echo

	mu     sync.Mutex
	fault  Fault
	left   int           // of fault.Count
	lifted chan struct{} // closed when the fault is replaced
	byKey  map[string]int
	byRef  map[string][]string // certificates
	total  int
	list   []Effect
}

// New returns a server without faults. log is slog.Default() if nil.
func New(log *slog.Logger) *Server {
	if log == nil {
		log = slog.Default()
	}
	s := &Server{
		log:    log,
		fault:  Fault{Mode: Up},
		lifted: make(chan struct{}),
		byKey:  map[string]int{},
		byRef:  map[string][]string{},
	}
	e := echo.New()
	e.Logger = log
	e.GET("/control/effects", s.controlEffects)
	e.POST("/control/fault", s.controlFault)
	e.GET("/*", s.lookup)
	e.POST("/*", s.run)
	s.echo = e
	return s
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.echo.ServeHTTP(w, r) }

// SetFault does what POST /control/fault does. It ends the calls that hang
// because of the previous fault.
func (s *Server) SetFault(f Fault) error {
	if err := f.Validate(); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	close(s.lifted)
	s.lifted = make(chan struct{})
	s.fault = f
	s.left = f.Count
	s.log.Info("fault set", "mode", f.Mode, "delay_ms", f.DelayMS, "count", f.Count)
	return nil
}

// Effects returns the counts since the start.
func (s *Server) Effects() Effects {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := Effects{Total: s.total, List: append([]Effect{}, s.list...), ByKey: map[string]int{}, ByRef: map[string]int{}}
	for key, count := range s.byKey {
		out.ByKey[key] = count
	}
	for ref, certificates := range s.byRef {
		out.ByRef[ref] = len(certificates)
	}
	return out
}

// next returns the fault for one call and the channel that ends a hang.
func (s *Server) next(post bool) (Fault, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	none := Fault{Mode: Up}
	if s.fault.Mode == Up || !post && s.fault.Mode == CrashAfterEffect {
		return none, nil
	}
	if s.fault.Count == 0 {
		return s.fault, s.lifted
	}
	if s.left == 0 {
		return none, nil
	}
	s.left--
	return s.fault, s.lifted
}

// hinder applies the part of a fault that comes before the effect.
func hinder(c *echo.Context, fault Fault, lifted <-chan struct{}) error {
	switch fault.Mode {
	case Slow:
		select {
		case <-time.After(time.Duration(fault.DelayMS) * time.Millisecond):
		case <-c.Request().Context().Done():
			abort()
		}
	case Fail:
		return echo.NewHTTPError(http.StatusInternalServerError, "service failed before the effect")
	case Hang:
		select {
		case <-lifted:
		case <-c.Request().Context().Done():
		}
		abort()
	}
	return nil
}

// abort closes the connection of the call without an answer.
func abort() { panic(http.ErrAbortHandler) }

func (s *Server) run(c *echo.Context) error {
	ref, err := readRef(c)
	if err != nil {
		return err
	}
	fault, lifted := s.next(true)
	if err := hinder(c, fault, lifted); err != nil {
		return err
	}
	certificate := s.record(effectOf(c.Request().Header), ref)
	if fault.Mode == CrashAfterEffect {
		abort()
	}
	return c.JSON(http.StatusOK, PostResponse{Certificate: certificate, Path: c.Request().URL.Path, Ref: ref})
}

// readRef returns the field ref of the body, "" if the body is empty.
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

func effectOf(h http.Header) Effect {
	return Effect{
		Team: h.Get(HeaderTeam), Key: h.Get(HeaderIdempotencyKey),
		RunID: h.Get(HeaderRunID), RequestID: h.Get(HeaderRequestID),
	}
}

// record counts one effect and returns its certificate number.
func (s *Server) record(effect Effect, ref string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.total++
	if len(s.list) < maxEffects {
		s.list = append(s.list, effect)
	}
	certificate := fmt.Sprintf("C-%08d", s.total)
	if effect.Key != "" {
		s.byKey[effect.Key]++
	}
	if ref != "" {
		s.byRef[ref] = append(s.byRef[ref], certificate)
	}
	return certificate
}

func (s *Server) lookup(c *echo.Context) error {
	fault, lifted := s.next(false)
	if err := hinder(c, fault, lifted); err != nil {
		return err
	}
	ref := c.QueryParam("ref")
	s.mu.Lock()
	certificates := append([]string{}, s.byRef[ref]...)
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
