package engine

import (
	"errors"
	"net/http"
	"strconv"
	"time"

	"github.com/labstack/echo/v5"

	"tarragonridge.example/tarragonridge/internal/standin/engine/sim"
)

// maxEventPage is the default and largest number of cache events in a response.
const maxEventPage = 4096

// CacheEventList is the response to GET /control/cache_events.
type CacheEventList struct {
	Events []sim.CacheEvent `json:"events"`
}

// CachedPrefix is the response to POST /control/kv/export and the body of
// POST /control/kv/import.
type CachedPrefix struct {
	BlockTokens int      `json:"block_tokens"`
	Hashes      []uint64 `json:"hashes"` // of the blocks of the prefix, in order
}

// ImportResult is the response to POST /control/kv/import.
type ImportResult struct {
	Blocks int `json:"blocks"` // number of leading blocks of the prefix that are cached now
}

func (s *Server) load(c *echo.Context) error {
	var report sim.Load
	s.driver.withSimulation(func(now time.Time, simulation *sim.Engine) { report = simulation.Load(now) })
	return c.JSON(http.StatusOK, report)
}

func (s *Server) cacheEvents(c *echo.Context) error {
	after, limit, err := pageParams(c, maxEventPage)
	if err != nil {
		return err
	}
	var list CacheEventList
	s.driver.withSimulation(func(now time.Time, simulation *sim.Engine) {
		list.Events = simulation.CacheEvents(now, after, limit)
	})
	return c.JSON(http.StatusOK, list)
}

// exportKV accepts the body of a completion or chat completion request and returns
// the cached prefix of its prompt.
func (s *Server) exportKV(c *echo.Context) error {
	var request completionRequest
	if err := readJSON(c, &request); err != nil {
		return err
	}
	prompt, err := request.text()
	if err != nil {
		return err
	}
	prefix := CachedPrefix{BlockTokens: sim.BlockTokens}
	s.driver.withSimulation(func(_ time.Time, simulation *sim.Engine) { prefix.Hashes = simulation.ExportPrefix(prompt) })
	if err := s.waitTransfer(c, len(prefix.Hashes)); err != nil {
		return err
	}
	return c.JSON(http.StatusOK, prefix)
}

func (s *Server) importKV(c *echo.Context) error {
	var prefix CachedPrefix
	if err := readJSON(c, &prefix); err != nil {
		return err
	}
	if prefix.BlockTokens != sim.BlockTokens {
		return newStatusError(http.StatusBadRequest, "invalid_request_error", "block size differs")
	}
	if len(prefix.Hashes) > s.config.Sim.KVTransferBlocks {
		return newStatusError(http.StatusRequestEntityTooLarge, "invalid_request_error", "too many blocks")
	}
	if err := s.waitTransfer(c, len(prefix.Hashes)); err != nil {
		return err
	}
	var result ImportResult
	s.driver.withSimulation(func(now time.Time, simulation *sim.Engine) {
		result.Blocks = simulation.ImportPrefix(now, prefix.Hashes)
	})
	return c.JSON(http.StatusOK, result)
}

// waitTransfer simulates the time that a transfer of the blocks takes.
func (s *Server) waitTransfer(c *echo.Context, blocks int) error {
	select {
	case <-time.After(time.Duration(blocks) * s.config.KVTransferPerBlock):
		return nil
	case <-c.Request().Context().Done():
		return c.Request().Context().Err()
	}
}

// pageParams reads the query parameters after, 0 by default, and limit, maxLimit by
// default.
func pageParams(c *echo.Context, maxLimit int) (after int64, limit int, err error) {
	limit = maxLimit
	if text := c.QueryParam("after"); text != "" {
		if after, err = strconv.ParseInt(text, 10, 64); err != nil {
			return 0, 0, newStatusError(http.StatusBadRequest, "invalid_request_error", "after is not a number")
		}
	}
	if text := c.QueryParam("limit"); text != "" {
		if limit, err = strconv.Atoi(text); err != nil || limit < 1 || limit > maxLimit {
			return 0, 0, newStatusError(http.StatusBadRequest, "invalid_request_error", "limit is out of range")
		}
	}
	return after, limit, nil
}

// statusError is an error response in the OpenAI format.
type statusError struct {
	status int
	Body   errorBody `json:"error"`
}

type errorBody struct {
	Message string `json:"message"`
	Type    string `json:"type"`
	Code    string `json:"code"`
}

// Error implements error.
func (e *statusError) Error() string { return e.Body.Type + ": " + e.Body.Message }

func newStatusError(status int, kind, message string) *statusError {
	return &statusError{status: status, Body: errorBody{Message: message, Type: kind, Code: kind}}
}

// writeError writes an error response, unless the response has begun or the client
// has disconnected. For http.ErrAbortHandler it panics, which closes the connection.
func writeError(c *echo.Context, err error) {
	if errors.Is(err, http.ErrAbortHandler) {
		panic(http.ErrAbortHandler)
	}
	response, unwrapErr := echo.UnwrapResponse(c.Response())
	if unwrapErr == nil && response.Committed {
		return
	}
	if c.Request().Context().Err() != nil {
		return
	}
	apiErr := new(statusError)
	if !errors.As(err, &apiErr) {
		apiErr = newStatusError(statusOf(err), "server_error", "the request failed")
	}
	_ = c.JSON(apiErr.status, apiErr)
}

func statusOf(err error) int {
	var coder echo.HTTPStatusCoder
	if errors.As(err, &coder) && coder.StatusCode() != 0 {
		return coder.StatusCode()
	}
	return http.StatusInternalServerError
}
