package admin

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"tarragonridge.example/tarragonridge/internal/core/errkind"
	"tarragonridge.example/tarragonridge/internal/core/policy"
	"tarragonridge.example/tarragonridge/internal/httpapi"
	"tarragonridge.example/tarragonridge/internal/readlimit"
	"tarragonridge.example/tarragonridge/internal/timeline"
	"tarragonridge.example/tarragonridge/internal/wire"
)

const (
	defaultTimeout   = 30 * time.Second
	maxResponseBytes = 256 << 20
)

// Options configure a Client.
type Options struct {
	ServerURL   string       // base URL of a router's listener for callers
	OperatorKey string       // sent as bearer token
	HTTPClient  *http.Client // default: a client with a timeout of 30 s
}

// Client calls the admin API of one router. Its methods return the error in the
// router's response as an *errkind.Error, and errkind.Unreachable if no
// response was received.
type Client struct {
	baseURL     string
	operatorKey string
	httpClient  *http.Client
}

// New returns a Client.
func New(o Options) *Client {
	if o.HTTPClient == nil {
		o.HTTPClient = &http.Client{Timeout: defaultTimeout}
	}
	return &Client{baseURL: strings.TrimRight(o.ServerURL, "/") + BasePath, operatorKey: o.OperatorKey, httpClient: o.HTTPClient}
}

// apiCall describes a request to the API.
type apiCall struct {
	method         string
	path           string // below BasePath, escaped
	query          url.Values
	body           any   // encoded as JSON; nil sends no body
	ifMatch        int64 // version for the If-Match header; 0 sends none
	idempotencyKey string
}

func (c *Client) newRequest(ctx context.Context, call apiCall) (*http.Request, error) {
	var body io.Reader
	if call.body != nil {
		encoded, err := json.Marshal(call.body)
		if err != nil {
			return nil, eris.Wrap(err, "encode request body")
		}
		body = bytes.NewReader(encoded)
	}
	requestURL := c.baseURL + call.path
	if len(call.query) > 0 {
		requestURL += "?" + call.query.Encode()
	}
	req, err := http.NewRequestWithContext(ctx, call.method, requestURL, body)
	if err != nil {
		return nil, eris.Wrap(err, "build HTTP request")
	}
	req.Header.Set("Authorization", "Bearer "+c.operatorKey)
	if call.body != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	if call.ifMatch > 0 {
		req.Header.Set("If-Match", strconv.Quote(strconv.FormatInt(call.ifMatch, 10)))
	}
	if call.idempotencyKey != "" {
		req.Header.Set(httpapi.HeaderIdempotencyKey, call.idempotencyKey)
	}
	return req, nil
}

// send sends a request and returns the body and the ETag version of a
// successful response.
func (c *Client) send(ctx context.Context, call apiCall) ([]byte, int64, error) {
	req, err := c.newRequest(ctx, call)
	if err != nil {
		return nil, 0, err
	}
	response, err := c.httpClient.Do(req)
	if err != nil {
		return nil, 0, errkind.Wrap(err, errkind.Unreachable, "%s %s", call.method, call.path)
	}
	defer response.Body.Close()
	data, err := readlimit.All(response.Body, maxResponseBytes)
	if err != nil {
		return nil, 0, errkind.Wrap(err, errkind.Unreachable, "read response to %s %s", call.method, call.path)
	}
	if response.StatusCode/100 != 2 {
		return nil, 0, errorFromProblem(response.StatusCode, data)
	}
	// A response without an ETag yields version 0, which no change accepts.
	version, _ := strconv.ParseInt(strings.Trim(response.Header.Get("ETag"), `"`), 10, 64)
	return data, version, nil
}

// errorFromProblem returns the error described by the body of an error
// response.
func errorFromProblem(status int, data []byte) error {
	var problem httpapi.Problem
	if err := json.Unmarshal(data, &problem); err != nil || problem.Kind == "" {
		return errkind.New(errkind.Internal, "status %d without a problem body", status)
	}
	return problem.Err()
}

// callJSON sends a request, decodes the JSON response and returns it with its
// ETag version.
func callJSON[T any](ctx context.Context, c *Client, call apiCall) (T, int64, error) {
	var result T
	data, version, err := c.send(ctx, call)
	if err != nil {
		return result, 0, err
	}
	if err := json.Unmarshal(data, &result); err != nil {
		return result, 0, eris.Wrapf(err, "decode response to %s %s", call.method, call.path)
	}
	return result, version, nil
}

// escapedPath escapes the segments and joins them to a path.
func escapedPath(segments ...string) string {
	var path strings.Builder
	for _, segment := range segments {
		path.WriteString("/" + url.PathEscape(segment))
	}
	return path.String()
}

// Teams returns all teams, sorted by name.
func (c *Client) Teams(ctx context.Context) ([]TeamView, error) {
	teams, _, err := callJSON[[]TeamView](ctx, c, apiCall{method: http.MethodGet, path: "/teams"})
	return teams, err
}

// Team returns a team and the configuration version to pass to SetPermissions.
func (c *Client) Team(ctx context.Context, team string) (TeamView, int64, error) {
	return callJSON[TeamView](ctx, c, apiCall{method: http.MethodGet, path: escapedPath("teams", team)})
}

// CreateTeam creates a team that has no keys yet.
func (c *Client) CreateTeam(ctx context.Context, team CreateTeamRequest) (ChangeResult, error) {
	result, _, err := callJSON[ChangeResult](ctx, c, apiCall{method: http.MethodPost, path: "/teams", body: team})
	return result, err
}

// SetPermissions replaces the permissions of a team. It fails with
// errkind.VersionConflict if version is not the current configuration version.
func (c *Client) SetPermissions(ctx context.Context, team string, permissions Permissions, version int64) (ChangeResult, error) {
	result, _, err := callJSON[ChangeResult](ctx, c, apiCall{
		method: http.MethodPut, path: escapedPath("teams", team, "permissions"), body: permissions, ifMatch: version,
	})
	return result, err
}

// AddKey generates a key for a team.
func (c *Client) AddKey(ctx context.Context, team string) (CreatedKey, error) {
	created, _, err := callJSON[CreatedKey](ctx, c, apiCall{method: http.MethodPost, path: escapedPath("teams", team, "keys")})
	return created, err
}

// RotateKey replaces a key of a team by a new one. The old key becomes invalid
// immediately.
func (c *Client) RotateKey(ctx context.Context, team, key string) (CreatedKey, error) {
	created, _, err := callJSON[CreatedKey](ctx, c, apiCall{method: http.MethodPost, path: escapedPath("teams", team, "keys", key, "rotate")})
	return created, err
}

// RevokeKey removes a key of a team.
func (c *Client) RevokeKey(ctx context.Context, team, key string) (ChangeResult, error) {
	result, _, err := callJSON[ChangeResult](ctx, c, apiCall{method: http.MethodDelete, path: escapedPath("teams", team, "keys", key)})
	return result, err
}

// Budget returns the prepaid budget of a team.
func (c *Client) Budget(ctx context.Context, team string) (Budget, error) {
	budget, _, err := callJSON[Budget](ctx, c, apiCall{method: http.MethodGet, path: escapedPath("teams", team, "budget")})
	return budget, err
}

// Release makes all routers return the tokens they hold for a team that no
// request has reserved.
func (c *Client) Release(ctx context.Context, team string) (Budget, error) {
	budget, _, err := callJSON[Budget](ctx, c, apiCall{method: http.MethodPost, path: escapedPath("teams", team, "budget", "release")})
	return budget, err
}

// TopUp adds tokens to a team's budget, once for each idempotency key.
func (c *Client) TopUp(ctx context.Context, team, key string, tokens int64) (Budget, error) {
	budget, _, err := callJSON[Budget](ctx, c, apiCall{
		method: http.MethodPost, path: escapedPath("teams", team, "topups"),
		body: TopUpRequest{Tokens: tokens}, idempotencyKey: key,
	})
	return budget, err
}

// Presets returns the presets and the configuration version.
func (c *Client) Presets(ctx context.Context) (Presets, int64, error) {
	return callJSON[Presets](ctx, c, apiCall{method: http.MethodGet, path: "/presets"})
}

// Preset returns the preset with the given name.
func (c *Client) Preset(ctx context.Context, name string) (policy.Preset, error) {
	preset, _, err := callJSON[policy.Preset](ctx, c, apiCall{method: http.MethodGet, path: escapedPath("presets", name)})
	return preset, err
}

// SetActivePreset activates a preset. It fails with errkind.VersionConflict if
// version is not the current configuration version.
func (c *Client) SetActivePreset(ctx context.Context, name string, version int64) (ChangeResult, error) {
	result, _, err := callJSON[ChangeResult](ctx, c, apiCall{
		method: http.MethodPut, path: "/presets/active", body: ActivePreset{Preset: name}, ifMatch: version,
	})
	return result, err
}

// Config returns the policy document and its version.
func (c *Client) Config(ctx context.Context) (policy.Document, int64, error) {
	return callJSON[policy.Document](ctx, c, apiCall{method: http.MethodGet, path: "/config"})
}

// PutConfig replaces the policy document. It fails with errkind.VersionConflict
// if version is not the current configuration version.
func (c *Client) PutConfig(ctx context.Context, doc policy.Document, version int64) (ChangeResult, error) {
	result, _, err := callJSON[ChangeResult](ctx, c, apiCall{method: http.MethodPut, path: "/config", body: doc, ifMatch: version})
	return result, err
}

// DiffConfig validates a document and compares it with the current one.
func (c *Client) DiffConfig(ctx context.Context, doc policy.Document) (Diff, error) {
	diff, _, err := callJSON[Diff](ctx, c, apiCall{method: http.MethodPost, path: "/config/diff", body: doc})
	return diff, err
}

// ConfigStatus returns which live processes have confirmed the current version.
func (c *Client) ConfigStatus(ctx context.Context) (ChangeResult, error) {
	status, _, err := callJSON[ChangeResult](ctx, c, apiCall{method: http.MethodGet, path: "/config/status"})
	return status, err
}

// LedgerQuery selects run records. Team or RequestID is required.
type LedgerQuery struct {
	Team      string
	RequestID string
	From      time.Time // runs that ended at or after it; zero means no limit
	To        time.Time // runs that ended before it; zero means no limit
	Cursor    string    // LedgerPage.Next of the previous page; empty starts with the latest record
	Limit     int       // 0 means the router's default
}

func (q LedgerQuery) values(format string) url.Values {
	values := url.Values{"format": {format}}
	for name, value := range map[string]string{
		"team": q.Team, "request_id": q.RequestID, "cursor": q.Cursor, "from": formatTime(q.From), "to": formatTime(q.To),
	} {
		if value != "" {
			values.Set(name, value)
		}
	}
	if q.Limit > 0 {
		values.Set("limit", strconv.Itoa(q.Limit))
	}
	return values
}

func formatTime(t time.Time) string {
	if t.IsZero() {
		return ""
	}
	return t.Format(time.RFC3339Nano)
}

// Ledger returns a page of run records, latest first.
func (c *Client) Ledger(ctx context.Context, q LedgerQuery) (LedgerPage, error) {
	page, _, err := callJSON[LedgerPage](ctx, c, apiCall{method: http.MethodGet, path: "/ledger", query: q.values("json")})
	return page, err
}

// LedgerExport returns a page of run records in the format "csv" or "jsonl".
func (c *Client) LedgerExport(ctx context.Context, q LedgerQuery, format string) ([]byte, error) {
	data, _, err := c.send(ctx, apiCall{method: http.MethodGet, path: "/ledger", query: q.values(format)})
	return data, err
}

// Targets returns all targets with their state as known to the router.
func (c *Client) Targets(ctx context.Context) ([]Target, error) {
	targets, _, err := callJSON[[]Target](ctx, c, apiCall{method: http.MethodGet, path: "/targets"})
	return targets, err
}

// DrainTarget sets whether a target refuses new work.
func (c *Client) DrainTarget(ctx context.Context, id string, draining bool) error {
	_, _, err := c.send(ctx, apiCall{
		method: http.MethodPost, path: escapedPath("targets", id, "drain"), body: DrainRequest{Draining: draining},
	})
	return err
}

// ForgetTarget declares that a target's sidecar is gone permanently.
func (c *Client) ForgetTarget(ctx context.Context, id string) error {
	_, _, err := c.send(ctx, apiCall{method: http.MethodDelete, path: escapedPath("targets", id)})
	return err
}

// OrderTarget sends an order to a target and returns when the target has
// applied it.
func (c *Client) OrderTarget(ctx context.Context, id string, order Order) (OrderResult, error) {
	result, _, err := callJSON[OrderResult](ctx, c, apiCall{method: http.MethodPost, path: escapedPath("targets", id, "orders"), body: order})
	return result, err
}

// Timeline returns the events of all live processes in causal order.
func (c *Client) Timeline(ctx context.Context, q wire.TimelineQuery) (timeline.Merged, error) {
	values := url.Values{}
	if q.RequestID != "" {
		values.Set("request_id", q.RequestID)
	}
	for name, n := range map[string]int64{"from_us": q.FromUS, "to_us": q.ToUS, "limit": int64(q.Limit)} {
		if n > 0 {
			values.Set(name, strconv.FormatInt(n, 10))
		}
	}
	merged, _, err := callJSON[timeline.Merged](ctx, c, apiCall{method: http.MethodGet, path: "/timeline", query: values})
	return merged, err
}
