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
	"tarragonridge.example/tarragonridge/internal/timeline"
	"tarragonridge.example/tarragonridge/internal/wire"
)

const (
	defaultTimeout = 30 * time.Second
	maxAnswerBytes = 256 << 20
)

// Options configure a Client.
type Options struct {
	ServerURL   string       // base URL of a router's callers address
	OperatorKey string       // operator key
	HTTPClient  *http.Client // default: a client with a timeout of 30 s
}

// Client calls the admin API of one router. Its errors are *errkind.Error: of
// the router's answer, or errkind.Unreachable if there was none.
type Client struct {
	base string
	key  string
	http *http.Client
}

// New returns a Client.
func New(o Options) *Client {
	if o.HTTPClient == nil {
		o.HTTPClient = &http.Client{Timeout: defaultTimeout}
	}
	return &Client{base: strings.TrimRight(o.ServerURL, "/") + BasePath, key: o.OperatorKey, http: o.HTTPClient}
}

// call is one request.
type call struct {
	method         string
	path           string
	query          url.Values
	body           any
	ifMatch        int64 // 0 sends none
	idempotencyKey string
}

func (c *Client) request(ctx context.Context, in call) (*http.Request, error) {
	var body io.Reader
	if in.body != nil {
		data, err := json.Marshal(in.body)
		if err != nil {
			return nil, eris.Wrap(err, "encode body")
		}
		body = bytes.NewReader(data)
	}
	target := c.base + in.path
	if len(in.query) > 0 {
		target += "?" + in.query.Encode()
	}
	req, err := http.NewRequestWithContext(ctx, in.method, target, body)
	if err != nil {
		return nil, eris.Wrap(err, "build request")
	}
	req.Header.Set("Authorization", "Bearer "+c.key)
	if in.body != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	if in.ifMatch > 0 {
		req.Header.Set("If-Match", strconv.Quote(strconv.FormatInt(in.ifMatch, 10)))
	}
	if in.idempotencyKey != "" {
		req.Header.Set(httpapi.HeaderIdempotencyKey, in.idempotencyKey)
	}
	return req, nil
}

// send returns the body and ETag version of a successful answer.
func (c *Client) send(ctx context.Context, in call) ([]byte, int64, error) {
	req, err := c.request(ctx, in)
	if err != nil {
		return nil, 0, err
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, 0, errkind.Wrap(err, errkind.Unreachable, "%s %s", in.method, in.path)
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	if err != nil {
		return nil, 0, errkind.Wrap(err, errkind.Unreachable, "answer to %s %s", in.method, in.path)
	}
	if resp.StatusCode/100 != 2 {
		return nil, 0, problemError(resp.StatusCode, data)
	}
	// An answer without an ETag has version 0, which no change accepts.
	version, _ := strconv.ParseInt(strings.Trim(resp.Header.Get("ETag"), `"`), 10, 64)
	return data, version, nil
}

func problemError(status int, data []byte) error {
	var p httpapi.Problem
	if err := json.Unmarshal(data, &p); err != nil || p.Kind == "" {
		return errkind.New(errkind.Internal, "status %d without a problem body", status)
	}
	return p.Err()
}

// fetch sends a call and decodes the answer.
func fetch[T any](ctx context.Context, c *Client, in call) (T, int64, error) {
	var out T
	data, version, err := c.send(ctx, in)
	if err != nil {
		return out, 0, err
	}
	if err := json.Unmarshal(data, &out); err != nil {
		return out, 0, eris.Wrapf(err, "answer to %s %s", in.method, in.path)
	}
	return out, version, nil
}

func segment(parts ...string) string {
	var b strings.Builder
	for _, p := range parts {
		b.WriteString("/" + url.PathEscape(p))
	}
	return b.String()
}

// Teams lists the teams.
func (c *Client) Teams(ctx context.Context) ([]TeamView, error) {
	v, _, err := fetch[[]TeamView](ctx, c, call{method: http.MethodGet, path: "/teams"})
	return v, err
}

// Team returns a team and the configuration version to send with a change.
func (c *Client) Team(ctx context.Context, team string) (TeamView, int64, error) {
	return fetch[TeamView](ctx, c, call{method: http.MethodGet, path: segment("teams", team)})
}

// CreateTeam creates a team without keys.
func (c *Client) CreateTeam(ctx context.Context, team CreateTeamRequest) (ChangeResult, error) {
	a, _, err := fetch[ChangeResult](ctx, c, call{method: http.MethodPost, path: "/teams", body: team})
	return a, err
}

// SetPermissions replaces the permissions of a team.
func (c *Client) SetPermissions(ctx context.Context, team string, p Permissions, version int64) (ChangeResult, error) {
	a, _, err := fetch[ChangeResult](ctx, c, call{
		method: http.MethodPut, path: segment("teams", team, "permissions"), body: p, ifMatch: version,
	})
	return a, err
}

// AddKey adds a key to a team.
func (c *Client) AddKey(ctx context.Context, team string) (CreatedKey, error) {
	k, _, err := fetch[CreatedKey](ctx, c, call{method: http.MethodPost, path: segment("teams", team, "keys")})
	return k, err
}

// RotateKey replaces a key of a team; the old one ends at once.
func (c *Client) RotateKey(ctx context.Context, team, key string) (CreatedKey, error) {
	k, _, err := fetch[CreatedKey](ctx, c, call{method: http.MethodPost, path: segment("teams", team, "keys", key, "rotate")})
	return k, err
}

// RevokeKey removes a key of a team.
func (c *Client) RevokeKey(ctx context.Context, team, key string) (ChangeResult, error) {
	a, _, err := fetch[ChangeResult](ctx, c, call{method: http.MethodDelete, path: segment("teams", team, "keys", key)})
	return a, err
}

// Budget returns the account of a team.
func (c *Client) Budget(ctx context.Context, team string) (Budget, error) {
	b, _, err := fetch[Budget](ctx, c, call{method: http.MethodGet, path: segment("teams", team, "budget")})
	return b, err
}

// Release makes the routers return the share of a team's budget that no request
// has reserved.
func (c *Client) Release(ctx context.Context, team string) (Budget, error) {
	b, _, err := fetch[Budget](ctx, c, call{method: http.MethodPost, path: segment("teams", team, "budget", "release")})
	return b, err
}

// TopUp adds tokens to a team's budget once per key.
func (c *Client) TopUp(ctx context.Context, team, key string, tokens int64) (Budget, error) {
	b, _, err := fetch[Budget](ctx, c, call{
		method: http.MethodPost, path: segment("teams", team, "topups"),
		body: TopUpRequest{Tokens: tokens}, idempotencyKey: key,
	})
	return b, err
}

// Presets lists the presets and the configuration version.
func (c *Client) Presets(ctx context.Context) (Presets, int64, error) {
	return fetch[Presets](ctx, c, call{method: http.MethodGet, path: "/presets"})
}

// Preset returns a preset.
func (c *Client) Preset(ctx context.Context, name string) (policy.Preset, error) {
	p, _, err := fetch[policy.Preset](ctx, c, call{method: http.MethodGet, path: segment("presets", name)})
	return p, err
}

// SetActivePreset puts a preset in force.
func (c *Client) SetActivePreset(ctx context.Context, name string, version int64) (ChangeResult, error) {
	a, _, err := fetch[ChangeResult](ctx, c, call{
		method: http.MethodPut, path: "/presets/active", body: ActivePreset{Preset: name}, ifMatch: version,
	})
	return a, err
}

// Config returns the policy document and its version.
func (c *Client) Config(ctx context.Context) (policy.Document, int64, error) {
	return fetch[policy.Document](ctx, c, call{method: http.MethodGet, path: "/config"})
}

// PutConfig replaces the policy document.
func (c *Client) PutConfig(ctx context.Context, doc policy.Document, version int64) (ChangeResult, error) {
	a, _, err := fetch[ChangeResult](ctx, c, call{method: http.MethodPut, path: "/config", body: doc, ifMatch: version})
	return a, err
}

// DiffConfig compares a document with the current one.
func (c *Client) DiffConfig(ctx context.Context, doc policy.Document) (Diff, error) {
	d, _, err := fetch[Diff](ctx, c, call{method: http.MethodPost, path: "/config/diff", body: doc})
	return d, err
}

// ConfigStatus tells which processes have the current version.
func (c *Client) ConfigStatus(ctx context.Context) (ChangeResult, error) {
	a, _, err := fetch[ChangeResult](ctx, c, call{method: http.MethodGet, path: "/config/status"})
	return a, err
}

// LedgerQuery selects run records. Team or RequestID is required.
type LedgerQuery struct {
	Team      string
	RequestID string
	From      time.Time // earliest end of a run; zero means no limit
	To        time.Time // the end of a run is before it; zero means no limit
	Cursor    string    // Ledger.Next of the page before; empty starts with the latest record
	Limit     int       // 0 means the router's default
}

func (q LedgerQuery) values(format string) url.Values {
	v := url.Values{"format": {format}}
	for name, value := range map[string]string{
		"team": q.Team, "request_id": q.RequestID, "cursor": q.Cursor, "from": timeText(q.From), "to": timeText(q.To),
	} {
		if value != "" {
			v.Set(name, value)
		}
	}
	if q.Limit > 0 {
		v.Set("limit", strconv.Itoa(q.Limit))
	}
	return v
}

func timeText(t time.Time) string {
	if t.IsZero() {
		return ""
	}
	return t.Format(time.RFC3339Nano)
}

// Ledger lists run records, latest first.
func (c *Client) Ledger(ctx context.Context, q LedgerQuery) (LedgerPage, error) {
	l, _, err := fetch[LedgerPage](ctx, c, call{method: http.MethodGet, path: "/ledger", query: q.values("json")})
	return l, err
}

// LedgerExport returns run records as csv or jsonl.
func (c *Client) LedgerExport(ctx context.Context, q LedgerQuery, format string) ([]byte, error) {
	data, _, err := c.send(ctx, call{method: http.MethodGet, path: "/ledger", query: q.values(format)})
	return data, err
}

// Targets lists the targets as the router sees them.
func (c *Client) Targets(ctx context.Context) ([]Target, error) {
	t, _, err := fetch[[]Target](ctx, c, call{method: http.MethodGet, path: "/targets"})
	return t, err
}

// DrainTarget sets whether a target refuses new work.
func (c *Client) DrainTarget(ctx context.Context, id string, draining bool) error {
	_, _, err := c.send(ctx, call{
		method: http.MethodPost, path: segment("targets", id, "drain"), body: DrainRequest{Draining: draining},
	})
	return err
}

// ForgetTarget declares a target's sidecar permanently gone.
func (c *Client) ForgetTarget(ctx context.Context, id string) error {
	_, _, err := c.send(ctx, call{method: http.MethodDelete, path: segment("targets", id)})
	return err
}

// OrderTarget sends an order to a target.
func (c *Client) OrderTarget(ctx context.Context, id string, o Order) (OrderResult, error) {
	r, _, err := fetch[OrderResult](ctx, c, call{method: http.MethodPost, path: segment("targets", id, "orders"), body: o})
	return r, err
}

// Timeline returns the events of all live processes in causal order.
func (c *Client) Timeline(ctx context.Context, q wire.TimelineQuery) (timeline.Merged, error) {
	v := url.Values{}
	if q.RequestID != "" {
		v.Set("request_id", q.RequestID)
	}
	for name, n := range map[string]int64{"from_us": q.FromUS, "to_us": q.ToUS, "limit": int64(q.Limit)} {
		if n > 0 {
			v.Set(name, strconv.FormatInt(n, 10))
		}
	}
	m, _, err := fetch[timeline.Merged](ctx, c, call{method: http.MethodGet, path: "/timeline", query: v})
	return m, err
}
