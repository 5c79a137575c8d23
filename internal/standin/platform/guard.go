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

// Stats is the response to GET /control/stats.
type Stats struct {
	Reads       int64 `json:"reads"`        // served
	Writes      int64 `json:"writes"`       // applied, whether or not a response was sent
	Failures    int64 `json:"failures"`     // calls that a fault rejected, or whose connection was closed without a response
	RateLimited int64 `json:"rate_limited"` // calls rejected with status 429
}

type counters struct{ reads, writes, failures, rateLimited atomic.Int64 }

// Stats returns the counts since the server was created.
func (s *Server) Stats() Stats {
	return Stats{
		Reads:       s.stats.reads.Load(),
		Writes:      s.stats.writes.Load(),
		Failures:    s.stats.failures.Load(),
		RateLimited: s.stats.rateLimited.Load(),
	}
}

// guard returns a middleware that applies the rate limit and the fault of the
// calling host. The handler behind it must not write its response before the write
// is applied.
func (s *Server) guard(write bool, limit *rate.Limiter) echo.MiddlewareFunc {
	return func(next echo.HandlerFunc) echo.HandlerFunc {
		return func(c *echo.Context) error {
			mode, delay := s.faults.nextMode(c.Request().Header.Get(platform.HeaderHost), write)
			if mode == Down {
				s.stats.failures.Add(1)
				return reject(c, http.StatusServiceUnavailable)
			}
			if !limit.Allow() {
				s.stats.rateLimited.Add(1)
				c.Response().Header().Set("Retry-After", retryAfterSeconds)
				return reject(c, http.StatusTooManyRequests)
			}
			if err := bufferBody(c); err != nil {
				return err
			}
			return s.serveWithFault(c, next, mode, delay)
		}
	}
}

// bufferBody reads the body into memory: net/http detects that a caller has
// disconnected only after the body has been read.
func bufferBody(c *echo.Context) error {
	body, err := io.ReadAll(http.MaxBytesReader(c.Response(), c.Request().Body, maxBodyBytes))
	if err != nil {
		return echo.NewHTTPError(http.StatusBadRequest, err.Error())
	}
	c.Request().Body = io.NopCloser(bytes.NewReader(body))
	return nil
}

// reject responds with the header that says that the call had no effect.
func reject(c *echo.Context, status int) error {
	c.Response().Header().Set(platform.HeaderNotApplied, "1")
	return c.NoContent(status)
}

func (s *Server) serveWithFault(c *echo.Context, next echo.HandlerFunc, mode Mode, delay time.Duration) error {
	switch mode {
	case Slow:
		if !s.sleepUnlessDone(c.Request().Context(), delay) {
			return s.abortConnection()
		}
	case Late:
		c.Set(lateWriteKey, delay)
	case LoseAnswers:
		c.Set(loseAnswerKey, true)
	}
	return next(c)
}

// Keys of the context values that tell applyWrite about the fault of the call.
const (
	lateWriteKey  = "late"
	loseAnswerKey = "lose_answer"
)

// applyWrite calls apply according to the fault of the call. It returns only if a
// response is to be sent; otherwise it panics to close the connection. A late write
// continues after its call has ended; only Close cancels it.
func (s *Server) applyWrite(c *echo.Context, apply func()) {
	if delay, ok := c.Get(lateWriteKey).(time.Duration); ok {
		s.applyLate(c.Request().Context(), delay, apply)
	} else {
		apply()
		s.stats.writes.Add(1)
	}
	if lose, _ := c.Get(loseAnswerKey).(bool); lose {
		_ = s.abortConnection()
	}
}

func (s *Server) applyLate(ctx context.Context, delay time.Duration, apply func()) {
	applied := make(chan struct{})
	s.lateWrites.Go(func() {
		if !s.sleepUnlessDone(context.Background(), delay) {
			return // the server is closing; the select below closes the connection
		}
		apply()
		s.stats.writes.Add(1)
		close(applied)
	})
	select {
	case <-applied:
	case <-ctx.Done():
		_ = s.abortConnection()
	case <-s.ctx.Done():
		_ = s.abortConnection()
	}
}

// abortConnection closes the connection of the call without a response. It panics
// and never returns.
func (s *Server) abortConnection() error {
	s.stats.failures.Add(1)
	panic(http.ErrAbortHandler)
}

// sleepUnlessDone waits for the delay. It returns false as soon as ctx ends or the
// server closes.
func (s *Server) sleepUnlessDone(ctx context.Context, delay time.Duration) bool {
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
