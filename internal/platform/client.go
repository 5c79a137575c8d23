package platform

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"tarragonridge.example/tarragonridge/internal/answers"
	"tarragonridge.example/tarragonridge/internal/core/errkind"
	"tarragonridge.example/tarragonridge/internal/readlimit"
)

// Headers of the platform's HTTP protocol.
const (
	// HeaderHost names the calling host.
	HeaderHost = "X-Host"
	// HeaderNotApplied is "1" in a 503 or 429 response if the platform refused
	// the call before it had any effect.
	HeaderNotApplied = "X-Not-Applied"
)

// Defaults of Options.
const (
	DefaultTimeout          = time.Second
	DefaultMaxResponseBytes = 16 << 20
)

const (
	maxIdleConnections = 64
	idleConnTimeout    = 30 * time.Second
	contentTypeJSON    = "application/json"
)

// Options configures a Client.
type Options struct {
	BaseURL          string        // scheme and address of the platform; required
	Host             string        // sent as X-Host if not empty
	Timeout          time.Duration // per call; DefaultTimeout if 0
	MaxResponseBytes int64         // DefaultMaxResponseBytes if 0
	// HTTPClient replaces the default HTTP client. It must not resend a POST or
	// PUT after a byte of it was written, and must not follow redirects.
	HTTPClient *http.Client
}

// Client calls the platform with JSON over HTTP. It implements Table and gives
// access to the object store, the host list and the weight store.
//
// Reads fail with errkind.PlatformUnavailable. Writes fail with
// errkind.PlatformUnavailable if they are known not to have been applied, and
// with errkind.PlatformUncertain otherwise.
type Client struct {
	options    Options
	httpClient *http.Client
}

var _ Table = (*Client)(nil)

// NewClient returns a client. Zero options get their defaults.
func NewClient(o Options) *Client {
	o.BaseURL = strings.TrimRight(o.BaseURL, "/")
	if o.Timeout <= 0 {
		o.Timeout = DefaultTimeout
	}
	if o.MaxResponseBytes <= 0 {
		o.MaxResponseBytes = DefaultMaxResponseBytes
	}
	client := o.HTTPClient
	if client == nil {
		client = newHTTPClient()
	}
	return &Client{options: o, httpClient: client}
}

func newHTTPClient() *http.Client {
	return &http.Client{
		Transport: answers.Check(&http.Transport{
			MaxResponseHeaderBytes: readlimit.HeaderBytes,
			MaxIdleConns:           maxIdleConnections,
			MaxIdleConnsPerHost:    maxIdleConnections,
			IdleConnTimeout:        idleConnTimeout,
		}),
		// A redirect would send a write a second time.
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// Close closes idle connections.
func (c *Client) Close() { c.httpClient.CloseIdleConnections() }

// StatusError is a response of the platform with a status other than 200. The
// error that a call returns wraps it.
type StatusError struct {
	Status     int
	NotApplied bool // the platform states that the call had no effect
}

// Error implements error.
func (e *StatusError) Error() string {
	return fmt.Sprintf("platform answered with status %d", e.Status)
}

// RateLimited reports whether the platform refused the call because of a rate
// limit. Such a response shows that the platform is reachable.
func RateLimited(err error) bool {
	var status *StatusError
	return errors.As(err, &status) && status.Status == http.StatusTooManyRequests
}

// call is an HTTP call to the platform.
type call struct {
	name        string // for error messages
	method      string
	path        string
	contentType string
	body        []byte
	isWrite     bool
}

// do sends the call and returns the body of a 200 response.
func (c *Client) do(ctx context.Context, call call) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, c.options.Timeout)
	defer cancel()
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	req, err := c.newRequest(httptrace.WithClientTrace(ctx, trace), call)
	if err != nil {
		return nil, errkind.Wrap(err, errkind.PlatformUnavailable, "%s", call.name)
	}
	resp, err := c.httpClient.Do(req)
	if err != nil {
		c.dropSilentConnections(ctx)
		return nil, transportError(err, call, connected.Load())
	}
	defer resp.Body.Close()
	body, err := readlimit.All(resp.Body, c.options.MaxResponseBytes)
	if err != nil {
		c.dropSilentConnections(ctx)
		return nil, transportError(err, call, true)
	}
	if resp.StatusCode != http.StatusOK {
		return nil, statusError(resp, call)
	}
	return body, nil
}

func (c *Client) newRequest(ctx context.Context, call call) (*http.Request, error) {
	req, err := http.NewRequestWithContext(ctx, call.method, c.options.BaseURL+call.path, bytes.NewReader(call.body))
	if err != nil {
		return nil, err
	}
	if call.contentType != "" {
		req.Header.Set("Content-Type", call.contentType)
	}
	if c.options.Host != "" {
		req.Header.Set(HeaderHost, c.options.Host)
	}
	return req, nil
}

// dropSilentConnections closes the idle connections after a timeout. They may
// have stopped delivering data together with the connection that timed out, and
// each of them would cost a later call its full timeout.
func (c *Client) dropSilentConnections(ctx context.Context) {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		c.httpClient.CloseIdleConnections()
	}
}

// transportError classifies a call without a usable response. A call that got
// no connection was not sent. The same is true for a dial error after an attempt
// on an idle connection, because net/http resends a write only if no byte of it
// was written.
func transportError(err error, call call, connected bool) error {
	if !call.isWrite || !connected || isDialError(err) {
		return errkind.Wrap(err, errkind.PlatformUnavailable, "%s", call.name)
	}
	return errkind.Wrap(err, errkind.PlatformUncertain, "%s", call.name)
}

func isDialError(err error) bool {
	var opErr *net.OpError
	return errors.As(err, &opErr) && opErr.Op == "dial"
}

// statusError classifies a response with a status other than 200.
func statusError(resp *http.Response, call call) error {
	cause := &StatusError{Status: resp.StatusCode}
	refused := resp.StatusCode == http.StatusServiceUnavailable || resp.StatusCode == http.StatusTooManyRequests
	cause.NotApplied = refused && resp.Header.Get(HeaderNotApplied) == "1"
	kind := errkind.PlatformUnavailable
	if call.isWrite && !cause.NotApplied {
		kind = errkind.PlatformUncertain
	}
	err := errkind.Wrap(cause, kind, "%s", call.name)
	if seconds, parseErr := strconv.Atoi(resp.Header.Get("Retry-After")); parseErr == nil && seconds > 0 {
		err.RetryAfter = time.Duration(seconds) * time.Second
	}
	return err
}

// postJSON posts params as JSON and decodes the response into result.
func (c *Client) postJSON(ctx context.Context, call call, params, result any) error {
	var err error
	if call.body, err = json.Marshal(params); err != nil {
		return errkind.Wrap(err, errkind.InvalidRequest, "%s", call.name)
	}
	call.method = http.MethodPost
	call.contentType = contentTypeJSON
	body, err := c.do(ctx, call)
	if err != nil {
		return err
	}
	if err := json.Unmarshal(body, result); err != nil {
		return transportError(err, call, true)
	}
	return nil
}
