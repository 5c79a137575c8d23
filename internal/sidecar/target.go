package sidecar

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strings"
	"time"

	"tarragonridge.example/tarragonridge/internal/answers"
	"tarragonridge.example/tarragonridge/internal/core/errkind"
	"tarragonridge.example/tarragonridge/internal/readlimit"
	"tarragonridge.example/tarragonridge/internal/timing"
	"tarragonridge.example/tarragonridge/internal/wire"
)

const (
	dialTimeout         = 1 * time.Second
	controlTimeout      = 500 * time.Millisecond // of polls and connection checks
	orderTimeout        = 30 * time.Second
	maxControlBodyBytes = 4 << 20 // of a response to a poll or an order
)

// Headers that identify a run to the target.
const (
	headerTeam           = "X-Team"
	headerRunID          = "X-Run-Id"
	headerRequestID      = "X-Request-Id"
	headerIdempotencyKey = "Idempotency-Key"
)

// target is the HTTP client of the engine or service.
type target struct {
	baseURL       string
	addr          string // host:port
	orderSecret   string
	runClient     *http.Client
	controlClient *http.Client
}

func newTarget(opts Options) *target {
	u, _ := url.Parse(opts.TargetURL) // checked by Validate
	dialer := net.Dialer{Timeout: dialTimeout}
	// Each run uses a new connection. On a reused connection, net/http resends
	// a request that has an idempotency key when the connection breaks, but a
	// run must reach the target at most once.
	runTransport := answers.Check(&http.Transport{DialContext: dialer.DialContext, DisableKeepAlives: true, DisableCompression: true, MaxResponseHeaderBytes: readlimit.HeaderBytes})
	controlTransport := answers.Check(&http.Transport{DialContext: dialer.DialContext, MaxIdleConnsPerHost: 1, IdleConnTimeout: time.Minute, MaxResponseHeaderBytes: readlimit.HeaderBytes})
	return &target{
		baseURL:       strings.TrimSuffix(opts.TargetURL, "/"),
		addr:          hostPort(u),
		orderSecret:   opts.OrderSecret,
		runClient:     &http.Client{Transport: runTransport, CheckRedirect: noRedirect},
		controlClient: &http.Client{Transport: controlTransport, CheckRedirect: noRedirect},
	}
}

func noRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

func hostPort(u *url.URL) string {
	if u.Port() != "" {
		return u.Host
	}
	if u.Scheme == "https" {
		return net.JoinHostPort(u.Hostname(), "443")
	}
	return net.JoinHostPort(u.Hostname(), "80")
}

// sendRun sends a run to the target. It fails with errkind.NoTarget if nothing
// was sent.
func (t *target) sendRun(ctx context.Context, start wire.StartRun, body []byte) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, start.Method, t.baseURL+start.Path, bytes.NewReader(body))
	if err != nil {
		return nil, errkind.Wrap(err, errkind.NoTarget, "request cannot be built")
	}
	if start.ContentType != "" {
		req.Header.Set("Content-Type", start.ContentType)
	}
	req.Header.Set(headerTeam, start.Team)
	req.Header.Set(headerRunID, start.RunID)
	req.Header.Set(headerRequestID, start.RequestID)
	req.Header.Set(headerIdempotencyKey, start.Key)
	resp, err := t.runClient.Do(req)
	if err == nil {
		return resp, nil
	}
	var opErr *net.OpError
	if errors.As(err, &opErr) && opErr.Op == "dial" {
		return nil, errkind.Wrap(err, errkind.NoTarget, "target does not accept connections")
	}
	return nil, errkind.Wrap(err, errkind.TargetCrashed, "connection to the target broke")
}

// isAlive reports whether the target accepts connections. It checks twice,
// because a crashing target may close its connections before its listener.
func (t *target) isAlive() bool {
	ctx := context.Background() // a canceled run must not make the target look dead
	return t.acceptsConnections(ctx) && timing.Sleep(ctx, 50*time.Millisecond) && t.acceptsConnections(ctx)
}

func (t *target) acceptsConnections(ctx context.Context) bool {
	dialer := net.Dialer{Timeout: controlTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", t.addr)
	if err != nil {
		return false
	}
	_ = conn.Close()
	return true
}

// getJSON decodes the response of a control endpoint into out.
func (t *target) getJSON(ctx context.Context, path string, out any) error {
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, t.baseURL+path, nil)
	if err != nil {
		return err
	}
	resp, err := t.controlClient.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("%s: status %d", path, resp.StatusCode)
	}
	return json.NewDecoder(io.LimitReader(resp.Body, maxControlBodyBytes)).Decode(out)
}

// targetOrder is the request body of an order, which tells the engine to load a
// model, to load or unload an adapter, or to change its role.
type targetOrder struct {
	Fence   int64  `json:"fence"`
	Action  string `json:"action"`
	Model   string `json:"model,omitempty"`
	Adapter string `json:"adapter,omitempty"`
	Version string `json:"version,omitempty"`
	Role    string `json:"role,omitempty"`
}

// sendOrder sends an order with its fencing number to the target.
func (t *target) sendOrder(ctx context.Context, order wire.Order) error {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	body, err := json.Marshal(targetOrder{order.Fence, order.Action, order.Model, order.Adapter, order.Version, order.Role})
	if err != nil {
		return err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, t.baseURL+"/control/orders", bytes.NewReader(body))
	if err != nil {
		return err
	}
	req.Header.Set("Content-Type", "application/json")
	if t.orderSecret != "" {
		req.Header.Set("Authorization", "Bearer "+t.orderSecret)
	}
	resp, err := t.controlClient.Do(req)
	if err != nil {
		return errkind.Wrap(err, errkind.TargetFailed, "order %d", order.Fence)
	}
	defer resp.Body.Close()
	_, _ = io.Copy(io.Discard, io.LimitReader(resp.Body, maxControlBodyBytes))
	return orderStatusError(resp.StatusCode, order.Fence)
}

func orderStatusError(status int, fence int64) error {
	switch {
	case status < 300:
		return nil
	case status == http.StatusConflict:
		return errkind.New(errkind.VersionConflict, "target rejects order %d as old", fence)
	case status == http.StatusBadRequest:
		return errkind.New(errkind.InvalidRequest, "target rejects order %d", fence)
	case status == http.StatusUnauthorized || status == http.StatusForbidden:
		return errkind.New(errkind.Forbidden, "target does not accept the order secret")
	}
	return errkind.New(errkind.TargetFailed, "order %d: status %d", fence, status)
}

func (t *target) close() {
	t.runClient.CloseIdleConnections()
	t.controlClient.CloseIdleConnections()
}
