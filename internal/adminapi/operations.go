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

// queryInt returns an integer parameter in the range, or def if it is absent.
func queryInt(c *echo.Context, name string, def, low, high int64) (int64, error) {
	raw := c.QueryParam(name)
	if raw == "" {
		return def, nil
	}
	n, err := strconv.ParseInt(raw, 10, 64)
	if err != nil || n < low || n > high {
		return 0, errkind.New(errkind.InvalidRequest, "%s must be an integer from %d to %d", name, low, high)
	}
	return n, nil
}

// format returns the format parameter, which must be one of the allowed.
func format(c *echo.Context, allowed ...string) (string, error) {
	f := c.QueryParamOr("format", allowed[0])
	if !slices.Contains(allowed, f) {
		return "", errkind.New(errkind.InvalidRequest, "format must be one of %s", strings.Join(allowed, ", "))
	}
	return f, nil
}

func (s *server) showLedger(c *echo.Context, _ string) error {
	q, err := ledgerQuery(c)
	if err != nil {
		return err
	}
	form, err := format(c, "json", "csv", "jsonl")
	if err != nil {
		return err
	}
	// One more than asked for tells whether the limit cuts the list.
	limit := q.Limit
	q.Limit++
	entries, err := s.Ledger.Records(c.Request().Context(), q)
	if err != nil {
		return err
	}
	return writeLedger(c, form, ledgerOf(entries, limit))
}

func ledgerQuery(c *echo.Context) (LedgerQuery, error) {
	q := LedgerQuery{Team: c.QueryParam("team"), RequestID: c.QueryParam("request_id")}
	if q.Team == "" && q.RequestID == "" {
		return q, errkind.New(errkind.InvalidRequest, "team or request_id is required")
	}
	var err error
	if q.FromUS, err = queryTime(c, "from"); err != nil {
		return q, err
	}
	if q.ToUS, err = queryTime(c, "to"); err != nil {
		return q, err
	}
	if text := c.QueryParam("cursor"); text != "" {
		after, err := ledger.ParseCursor(text)
		if err != nil {
			return q, errkind.New(errkind.InvalidRequest, "cursor must be the next of an earlier answer")
		}
		q.After = &after
	}
	limit, err := queryInt(c, "limit", defaultLedgerLimit, 1, maxLedgerLimit)
	q.Limit = int(limit)
	return q, err
}

// queryTime returns a parameter as unix time in microseconds, 0 if it is absent.
func queryTime(c *echo.Context, name string) (int64, error) {
	raw := c.QueryParam(name)
	if raw == "" {
		return 0, nil
	}
	at, err := time.Parse(time.RFC3339, raw)
	if err != nil || at.UnixMicro() <= 0 {
		return 0, errkind.New(errkind.InvalidRequest, "%s must be a time such as 2026-01-31T12:00:00Z", name)
	}
	return at.UnixMicro(), nil
}

func ledgerOf(entries []admin.LedgerEntry, limit int) admin.LedgerPage {
	l := admin.LedgerPage{More: len(entries) > limit}
	l.Entries = orEmpty(entries[:min(limit, len(entries))])
	for _, e := range l.Entries {
		l.Billed += e.Billed
		l.Lost += e.Lost
	}
	if l.More {
		l.Next = ledger.CursorOf(l.Entries[limit-1].Record).String()
	}
	return l
}

func writeLedger(c *echo.Context, form string, l admin.LedgerPage) error {
	w := c.Response()
	if l.Next != "" {
		w.Header().Set(admin.HeaderNextCursor, l.Next)
	}
	switch form {
	case "csv":
		w.Header().Set("Content-Type", "text/csv; charset=utf-8")
		return writeCSV(w, l.Entries)
	case "jsonl":
		w.Header().Set("Content-Type", "application/jsonl")
		encoder := json.NewEncoder(w)
		for _, e := range l.Entries {
			if err := encoder.Encode(e); err != nil {
				return err
			}
		}
		return nil
	}
	return c.JSON(http.StatusOK, l)
}

var csvHeader = []string{
	"team", "key", "request_id", "run_id", "holder", "target", "sidecar", "model", "service", "workload",
	"outcome", "prompt_tokens", "output_tokens", "reserved", "charged", "billed", "lost", "started_us", "ended_us",
}

func writeCSV(w http.ResponseWriter, entries []admin.LedgerEntry) error {
	out := csv.NewWriter(w)
	if err := out.Write(csvHeader); err != nil {
		return err
	}
	for _, e := range entries {
		if err := out.Write(csvRow(e)); err != nil {
			return err
		}
	}
	out.Flush()
	return out.Error()
}

func csvRow(e admin.LedgerEntry) []string {
	row := []string{
		e.Team, e.Key, e.RequestID, e.RunID, e.Holder, e.Target, e.Sidecar, e.Model, e.Service, e.Workload,
		string(e.Outcome),
	}
	for i, v := range row {
		row[i] = csvText(v)
	}
	for _, n := range []int64{
		e.PromptTokens, e.OutputTokens, e.Reserved, e.Charged, e.Billed, e.Lost, e.StartedUS, e.EndedUS,
	} {
		row = append(row, strconv.FormatInt(n, 10))
	}
	return row
}

// csvText keeps a spreadsheet from running a caller's idempotency key as a
// formula.
func csvText(v string) string {
	if v != "" && strings.ContainsRune("=+-@\t\r", rune(v[0])) {
		return "'" + v
	}
	return v
}

func (s *server) listTargets(c *echo.Context, _ string) error {
	targets, err := s.Targets.List(c.Request().Context())
	if err != nil {
		return err
	}
	return c.JSON(http.StatusOK, orEmpty(targets))
}

func (s *server) drainTarget(c *echo.Context, operator string) error {
	var body admin.DrainRequest
	if err := decode(c, &body); err != nil {
		return err
	}
	err := s.Targets.Drain(c.Request().Context(), c.Param("target"), body.Draining, operator)
	return s.answerTarget(c, operator, "target_drain", err)
}

func (s *server) forgetTarget(c *echo.Context, operator string) error {
	err := s.Targets.Forget(c.Request().Context(), c.Param("target"), operator)
	return s.answerTarget(c, operator, "target_forget", err)
}

func (s *server) answerTarget(c *echo.Context, operator, event string, err error) error {
	if err != nil {
		return err
	}
	s.Logger.Info(event, "request_id", httpapi.RequestID(c), "operator", operator, "target", c.Param("target"))
	return c.NoContent(http.StatusNoContent)
}

func (s *server) orderTarget(c *echo.Context, operator string) error {
	var order admin.Order
	if err := decode(c, &order); err != nil {
		return err
	}
	if err := checkOrder(order); err != nil {
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

// checkOrder requires the field that each action works on.
func checkOrder(o admin.Order) error {
	needs := map[string]struct{ field, value string }{
		"load_model":     {"model", o.Model},
		"load_adapter":   {"adapter", o.Adapter},
		"unload_adapter": {"adapter", o.Adapter},
		"set_role":       {"role", o.Role},
	}
	need, ok := needs[o.Action]
	if !ok {
		return errkind.New(errkind.InvalidRequest, "action must be load_model, load_adapter, unload_adapter or set_role")
	}
	if need.value == "" {
		return errkind.New(errkind.InvalidRequest, "%s requires %s", o.Action, need.field)
	}
	if o.Action == "set_role" && !slices.Contains([]string{"prefill", "decode", "mixed"}, o.Role) {
		return errkind.New(errkind.InvalidRequest, "role must be prefill, decode or mixed")
	}
	return nil
}

func (s *server) showTimeline(c *echo.Context, _ string) error {
	q, err := timelineQuery(c)
	if err != nil {
		return err
	}
	form, err := format(c, "json", "text")
	if err != nil {
		return err
	}
	results, unreachable := s.Timeline.Query(c.Request().Context(), q)
	merged := timeline.Merge(results, q.Limit)
	merged.Unreachable = unreachable
	if form == "json" {
		return c.JSON(http.StatusOK, merged)
	}
	c.Response().Header().Set("Content-Type", "text/plain; charset=utf-8")
	return merged.WriteText(c.Response())
}

func timelineQuery(c *echo.Context) (wire.TimelineQuery, error) {
	const latest = 1 << 62
	q := wire.TimelineQuery{RequestID: c.QueryParam("request_id")}
	var err error
	if q.FromUS, err = queryInt(c, "from_us", 0, 0, latest); err != nil {
		return q, err
	}
	if q.ToUS, err = queryInt(c, "to_us", 0, 0, latest); err != nil {
		return q, err
	}
	limit, err := queryInt(c, "limit", defaultTimelineLimit, 1, maxTimelineLimit)
	q.Limit = int(limit)
	return q, err
}
