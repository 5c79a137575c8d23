package engine

import (
	"errors"
	"net/http"
	"strconv"
	"time"

	"github.com/labstack/echo/v5"

	"tarragonridge.example/tarragonridge/internal/standin/engine/sim"
)

// maxEventPage is the largest and default number of cache events in an answer.
const maxEventPage = 4096

// CacheEventList answers GET /control/cache_events.
type CacheEventList struct {
	Events []sim.CacheEvent `json:"events"`
}

// CachedPrefix is a cached prefix as export returns it and import takes it.
type CachedPrefix struct {
	BlockTokens int      `json:"block_tokens"`
	Hashes      []uint64 `json:"hashes"` // of its blocks, from the first
}

// ImportResult answers an import.
type ImportResult struct {
	Blocks int `json:"blocks"` // leading blocks that are cached now
}

func (s *Server) load(c *echo.Context) error {
	var report sim.Load
	s.driver.with(func(now time.Time, model *sim.Engine) { report = model.Load(now) })
	return c.JSON(http.StatusOK, report)
}

func (s *Server) cacheEvents(c *echo.Context) error {
	after, limit, err := pageOf(c, maxEventPage)
	if err != nil {
		return err
	}
	var list CacheEventList
	s.driver.with(func(now time.Time, model *sim.Engine) {
		list.Events = model.CacheEvents(now, after, limit)
	})
	return c.JSON(http.StatusOK, list)
}

// exportKV takes the body of a completion or chat completion and returns the
// cached prefix of its prompt.
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
	s.driver.with(func(_ time.Time, model *sim.Engine) { prefix.Hashes = model.ExportPrefix(prompt) })
	if err := s.transfer(c, len(prefix.Hashes)); err != nil {
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
		return apiError(http.StatusBadRequest, "invalid_request_error", "block size differs")
	}
	if len(prefix.Hashes) > s.config.Sim.KVTransferBlocks {
		return apiError(http.StatusRequestEntityTooLarge, "invalid_request_error", "too many blocks")
	}
	if err := s.transfer(c, len(prefix.Hashes)); err != nil {
		return err
	}
	var answer ImportResult
	s.driver.with(func(now time.Time, model *sim.Engine) { answer.Blocks = model.ImportPrefix(now, prefix.Hashes) })
	return c.JSON(http.StatusOK, answer)
}

// transfer waits for as long as the blocks take to move.
func (s *Server) transfer(c *echo.Context, blocks int) error {
	select {
	case <-time.After(time.Duration(blocks) * s.config.KVTransferPerBlock):
		return nil
	case <-c.Request().Context().Done():
		return c.Request().Context().Err()
	}
}

// pageOf reads the query parameters after and limit.
func pageOf(c *echo.Context, most int) (after int64, limit int, err error) {
	limit = most
	if text := c.QueryParam("after"); text != "" {
		if after, err = strconv.ParseInt(text, 10, 64); err != nil {
			return 0, 0, apiError(http.StatusBadRequest, "invalid_request_error", "after is not a number")
		}
	}
	if text := c.QueryParam("limit"); text != "" {
		if limit, err = strconv.Atoi(text); err != nil || limit < 1 || limit > most {
			return 0, 0, apiError(http.StatusBadRequest, "invalid_request_error", "limit is out of range")
		}
	}
	return after, limit, nil
}

// statusError is an answer in the published error format.
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

func apiError(status int, kind, message string) *statusError {
	return &statusError{status: status, Body: errorBody{Message: message, Type: kind, Code: kind}}
}

// answerError writes an error, unless the answer has begun or the client left.
func answerError(c *echo.Context, err error) {
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
	answer := new(statusError)
	if !errors.As(err, &answer) {
		answer = apiError(statusOf(err), "server_error", "the request failed")
	}
	_ = c.JSON(answer.status, answer)
}

func statusOf(err error) int {
	var coder echo.HTTPStatusCoder
	if errors.As(err, &coder) && coder.StatusCode() != 0 {
		return coder.StatusCode()
	}
	return http.StatusInternalServerError
}
