package platform

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/labstack/echo/v5"
	"golang.org/x/time/rate"

	"tarragonridge.example/tarragonridge/internal/platform"
)

// Stats is the answer of GET /control/stats.
type Stats struct {
	Reads       int64 `json:"reads"`        // served
	Writes      int64 `json:"writes"`       // applied, with or without an answer
	Failures    int64 `json:"failures"`     // calls refused or abandoned, and answers lost, because of a fault
	RateLimited int64 `json:"rate_limited"` // calls refused with 429
}

type counters struct{ reads, writes, failures, rateLimited atomic.Int64 }

// Stats returns the counts since the start.
func (s *Server) Stats() Stats {
	return Stats{
		Reads:       s.stats.reads.Load(),
		Writes:      s.stats.writes.Load(),
		Failures:    s.stats.failures.Load(),
		RateLimited: s.stats.rateLimited.Load(),
	}
}

// guard applies the rate limit and the fault of the calling host to a call.
// The handler behind it must not write its answer before its effect is done.
func (s *Server) guard(write bool, limit *rate.Limiter) echo.MiddlewareFunc {
	return func(next echo.HandlerFunc) echo.HandlerFunc {
		return func(c *echo.Context) error {
			mode, delay := s.faults.next(c.Request().Header.Get(platform.HeaderHost), write)
			if mode == Down {
				s.stats.failures.Add(1)
				return refuse(c, http.StatusServiceUnavailable)
			}
			if !limit.Allow() {
				s.stats.rateLimited.Add(1)
				c.Response().Header().Set("Retry-After", retryAfterSecond)
				return refuse(c, http.StatusTooManyRequests)
			}
			if err := bufferBody(c); err != nil {
				return err
			}
			return s.serve(c, next, mode, delay)
		}
	}
}

// bufferBody reads the body into memory. net/http notices that a caller has
// gone only after the body was read.
func bufferBody(c *echo.Context) error {
	body, err := io.ReadAll(http.MaxBytesReader(c.Response(), c.Request().Body, maxBodyBytes))
	if err != nil {
		return echo.NewHTTPError(http.StatusBadRequest, err.Error())
	}
	c.Request().Body = io.NopCloser(bytes.NewReader(body))
	return nil
}

func refuse(c *echo.Context, status int) error {
	c.Response().Header().Set(platform.HeaderNotApplied, "1")
	return c.NoContent(status)
}

func (s *Server) serve(c *echo.Context, next echo.HandlerFunc, mode Mode, delay time.Duration) error {
	switch mode {
	case Slow:
		if !s.sleep(c.Request().Context(), delay) {
			return s.abandon()
		}
	case Late:
		c.Set(lateKey, delay)
	case LoseAnswers:
		c.Set(loseAnswerKey, true)
	}
	return next(c)
}

// Keys of the context values that guard sets for a write.
const (
	lateKey       = "late"
	loseAnswerKey = "lose_answer"
)

// apply runs the effect of a write as the fault of the call demands. It
// returns only if the call is to be answered. A late effect outlives its call;
// only Close ends it.
func (s *Server) apply(c *echo.Context, effect func()) {
	if delay, ok := c.Get(lateKey).(time.Duration); ok {
		s.applyLate(c.Request().Context(), delay, effect)
	} else {
		effect()
		s.stats.writes.Add(1)
	}
	if lose, _ := c.Get(loseAnswerKey).(bool); lose {
		_ = s.abandon()
	}
}

func (s *Server) applyLate(ctx context.Context, delay time.Duration, effect func()) {
	done := make(chan struct{})
	s.late.Go(func() {
		if !s.sleep(context.Background(), delay) {
			return // the server is closing; the handler abandons its call
		}
		effect()
		s.stats.writes.Add(1)
		close(done)
	})
	select {
	case <-done:
	case <-ctx.Done():
		_ = s.abandon()
	case <-s.ctx.Done():
		_ = s.abandon()
	}
}

// abandon closes the connection of the call without an answer. It does not
// return.
func (s *Server) abandon() error {
	s.stats.failures.Add(1)
	panic(http.ErrAbortHandler)
}

// sleep reports whether the delay passed before ctx or the server ended.
func (s *Server) sleep(ctx context.Context, delay time.Duration) bool {
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
	case <-s.ctx.Done():
	}
	return false
}
