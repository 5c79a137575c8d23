package adminapi

import (
	"encoding/csv"
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/labstack/echo/v5"

	"tarragonridge.example/tarragonridge/internal/admin"
	"tarragonridge.example/tarragonridge/internal/core/errkind"
	"tarragonridge.example/tarragonridge/internal/core/ledger"
	"tarragonridge.example/tarragonridge/internal/httpapi"
	"tarragonridge.example/tarragonridge/internal/timeline"
	"tarragonridge.example/tarragonridge/internal/wire"
)

const (
	defaultLedgerLimit   = 1000
	maxLedgerLimit       = 100_000
	defaultTimelineLimit = 1000
	maxTimelineLimit     = 10_000
)

// intParam returns an integer query parameter from minValue to maxValue, or
// defaultValue if the parameter is absent.
func intParam(c *echo.Context, name string, defaultValue, minValue, maxValue int64) (int64, error) {
	raw := c.QueryParam(name)
	if raw == "" {
		return defaultValue, nil
	}
	n, err := strconv.ParseInt(raw, 10, 64)
	if err != nil || n < minValue || n > maxValue {
		return 0, errkind.New(errkind.InvalidRequest, "%s must be an integer from %d to %d", name, minValue, maxValue)
	}
	return n, nil
}

// formatParam returns the query parameter "format", which must be one of the
// allowed values. The first of them is the default.
func formatParam(c *echo.Context, allowed ...string) (string, error) {
	value := c.QueryParamOr("format", allowed[0])
	if !slices.Contains(allowed, value) {
		return "", errkind.New(errkind.InvalidRequest, "format must be one of %s", strings.Join(allowed, ", "))
	}
	return value, nil
}

func (s *server) showLedger(c *echo.Context, _ string) error {
	q, err := ledgerQuery(c)
	if err != nil {
		return err
	}
	outputFormat, err := formatParam(c, "json", "csv", "jsonl")
	if err != nil {
		return err
	}
	// One record beyond the limit shows whether there are more.
	limit := q.Limit
	q.Limit++
	entries, err := s.Ledger.Records(c.Request().Context(), q)
	if err != nil {
		return err
	}
	return writeLedgerPage(c, outputFormat, newLedgerPage(entries, limit))
}

func ledgerQuery(c *echo.Context) (LedgerQuery, error) {
	q := LedgerQuery{Team: c.QueryParam("team"), RequestID: c.QueryParam("request_id")}
	if q.Team == "" && q.RequestID == "" {
		return q, errkind.New(errkind.InvalidRequest, "team or request_id is required")
	}
	var err error
	if q.FromUS, err = timeParam(c, "from"); err != nil {
		return q, err
	}
	if q.ToUS, err = timeParam(c, "to"); err != nil {
		return q, err
	}
	if cursor := c.QueryParam("cursor"); cursor != "" {
		after, err := ledger.ParseCursor(cursor)
		if err != nil {
			return q, errkind.New(errkind.InvalidRequest, "cursor must be the next of an earlier answer")
		}
		q.After = &after
	}
	limit, err := intParam(c, "limit", defaultLedgerLimit, 1, maxLedgerLimit)
	q.Limit = int(limit)
	return q, err
}

// timeParam returns an RFC 3339 query parameter as Unix time in microseconds,
// or 0 if the parameter is absent.
func timeParam(c *echo.Context, name string) (int64, error) {
	raw := c.QueryParam(name)
	if raw == "" {
		return 0, nil
	}
	t, err := time.Parse(time.RFC3339, raw)
	if err != nil || t.UnixMicro() <= 0 {
		return 0, errkind.New(errkind.InvalidRequest, "%s must be a time such as 2026-01-31T12:00:00Z", name)
	}
	return t.UnixMicro(), nil
}

// newLedgerPage returns the first limit entries with their totals. More and
// Next are set if there are further entries.
func newLedgerPage(entries []admin.LedgerEntry, limit int) admin.LedgerPage {
	page := admin.LedgerPage{More: len(entries) > limit}
	page.Entries = nonNil(entries[:min(limit, len(entries))])
	for _, e := range page.Entries {
		page.Billed += e.Billed
		page.Lost += e.Lost
	}
	if page.More {
		page.Next = ledger.CursorOf(page.Entries[limit-1].Record).String()
	}
	return page
}

func writeLedgerPage(c *echo.Context, outputFormat string, page admin.LedgerPage) error {
	w := c.Response()
	if page.Next != "" {
		w.Header().Set(admin.HeaderNextCursor, page.Next)
	}
	switch outputFormat {
	case "csv":
		w.Header().Set("Content-Type", "text/csv; charset=utf-8")
		return writeCSV(w, page.Entries)
	case "jsonl":
		w.Header().Set("Content-Type", "application/jsonl")
		encoder := json.NewEncoder(w)
		for _, e := range page.Entries {
			if err := encoder.Encode(e); err != nil {
				return err
			}
		}
		return nil
	}
	return c.JSON(http.StatusOK, page)
}

var csvHeader = []string{
	"team", "key", "request_id", "run_id", "holder", "target", "sidecar", "model", "service", "workload",
	"outcome", "prompt_tokens", "output_tokens", "reserved", "charged", "billed", "lost", "started_us", "ended_us",
}

func writeCSV(w http.ResponseWriter, entries []admin.LedgerEntry) error {
	writer := csv.NewWriter(w)
	if err := writer.Write(csvHeader); err != nil {
		return err
	}
	for _, e := range entries {
		if err := writer.Write(csvRecord(e)); err != nil {
			return err
		}
	}
	writer.Flush()
	return writer.Error()
}

func csvRecord(e admin.LedgerEntry) []string {
	row := []string{
		e.Team, e.Key, e.RequestID, e.RunID, e.Holder, e.Target, e.Sidecar, e.Model, e.Service, e.Workload,
		string(e.Outcome),
	}
	for i, text := range row {
		row[i] = escapeFormula(text)
	}
	for _, n := range []int64{
		e.PromptTokens, e.OutputTokens, e.Reserved, e.Charged, e.Billed, e.Lost, e.StartedUS, e.EndedUS,
	} {
		row = append(row, strconv.FormatInt(n, 10))
	}
	return row
}

// escapeFormula prefixes text that a spreadsheet would evaluate as a formula
// with a quote. Callers control some of the text, such as the idempotency key.
func escapeFormula(text string) string {
	if text != "" && strings.ContainsRune("=+-@\t\r", rune(text[0])) {
		return "'" + text
	}
	return text
}

func (s *server) listTargets(c *echo.Context, _ string) error {
	targets, err := s.Targets.List(c.Request().Context())
	if err != nil {
		return err
	}
	return c.JSON(http.StatusOK, nonNil(targets))
}

func (s *server) drainTarget(c *echo.Context, operator string) error {
	var body admin.DrainRequest
	if err := decodeBody(c, &body); err != nil {
		return err
	}
	err := s.Targets.Drain(c.Request().Context(), c.Param("target"), body.Draining, operator)
	return s.respondTarget(c, operator, "target_drain", err)
}

func (s *server) forgetTarget(c *echo.Context, operator string) error {
	err := s.Targets.Forget(c.Request().Context(), c.Param("target"), operator)
	return s.respondTarget(c, operator, "target_forget", err)
}

// respondTarget logs a successful operation on a target and sends an empty
// response, or returns its error.
func (s *server) respondTarget(c *echo.Context, operator, event string, err error) error {
	if err != nil {
		return err
	}
	s.Logger.Info(event, "request_id", httpapi.RequestID(c), "operator", operator, "target", c.Param("target"))
	return c.NoContent(http.StatusNoContent)
}

func (s *server) orderTarget(c *echo.Context, operator string) error {
	var order admin.Order
	if err := decodeBody(c, &order); err != nil {
		return err
	}
	if err := validateOrder(order); err != nil {
		return err
	}
	fence, err := s.Targets.Order(c.Request().Context(), c.Param("target"), order, operator)
	if err != nil {
		return err
	}
	s.Logger.Info("target_order", "request_id", httpapi.RequestID(c), "operator", operator,
		"target", c.Param("target"), "action", order.Action, "fence", fence)
	return c.JSON(http.StatusOK, admin.OrderResult{Fence: fence})
}

// validateOrder checks the action and the field that the action requires.
func validateOrder(order admin.Order) error {
	requiredFields := map[string]struct{ field, value string }{
		"load_model":     {"model", order.Model},
		"load_adapter":   {"adapter", order.Adapter},
		"unload_adapter": {"adapter", order.Adapter},
		"set_role":       {"role", order.Role},
	}
	required, ok := requiredFields[order.Action]
	if !ok {
		return errkind.New(errkind.InvalidRequest, "action must be load_model, load_adapter, unload_adapter or set_role")
	}
	if required.value == "" {
		return errkind.New(errkind.InvalidRequest, "%s requires %s", order.Action, required.field)
	}
	if order.Action == "set_role" && !slices.Contains([]string{"prefill", "decode", "mixed"}, order.Role) {
		return errkind.New(errkind.InvalidRequest, "role must be prefill, decode or mixed")
	}
	return nil
}

func (s *server) showTimeline(c *echo.Context, _ string) error {
	q, err := timelineQuery(c)
	if err != nil {
		return err
	}
	outputFormat, err := formatParam(c, "json", "text")
	if err != nil {
		return err
	}
	results, unreachable := s.Timeline.Query(c.Request().Context(), q)
	merged := timeline.Merge(results, q.Limit)
	merged.Unreachable = unreachable
	if outputFormat == "json" {
		return c.JSON(http.StatusOK, merged)
	}
	c.Response().Header().Set("Content-Type", "text/plain; charset=utf-8")
	return merged.WriteText(c.Response())
}

func timelineQuery(c *echo.Context) (wire.TimelineQuery, error) {
	const maxUS = 1 << 62
	q := wire.TimelineQuery{RequestID: c.QueryParam("request_id")}
	var err error
	if q.FromUS, err = intParam(c, "from_us", 0, 0, maxUS); err != nil {
		return q, err
	}
	if q.ToUS, err = intParam(c, "to_us", 0, 0, maxUS); err != nil {
		return q, err
	}
	limit, err := intParam(c, "limit", defaultTimelineLimit, 1, maxTimelineLimit)
	q.Limit = int(limit)
	return q, err
}
