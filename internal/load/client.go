package load

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"mime"
	"net/http"
	"strconv"
	"time"

	"tarragonridge.example/tarragonridge/internal/timing"
)

// Backoff after a connection that ended without a complete response.
const (
	initialBackoff = 100 * time.Millisecond
	maxBackoff     = 2 * time.Second
)

// headerWorkload is the request header that names the workload.
const headerWorkload = "X-Workload"

// outcome is the result of a request or of one attempt.
type outcome struct {
	verdict   verdict
	refusal   refusal // set if verdict is refused
	tokens    int
	unchecked bool // the response contained no reference to verify
}

// refusal is an error response.
type refusal struct {
	kind       string
	ran        string        // whether the request ran, as the response states it
	retryAfter time.Duration // 0: the response does not ask for a retry
}

func (r refusal) name() string { return r.kind + "/" + r.ran }

// problem holds the fields of an RFC 9457 body that callers use.
type problem struct {
	Kind       string  `json:"kind"`
	Ran        string  `json:"ran"`
	RetryAfter float64 `json:"retry_after_s"`
}

// client sends the requests of a run.
type client struct {
	config Config
	http   *http.Client
	stats  *stats
	runID  string // makes idempotency keys unique across runs
}

// call is a request and the state shared by its attempts.
type call struct {
	arrival
	plannedAt      time.Time
	tokensReceived int       // largest number of tokens that any attempt has received
	lastTokenAt    time.Time // arrival time of the last of them
}

// do sends a request, retries it as its responses permit, and counts its
// outcome.
func (c *client) do(ctx context.Context, a arrival, plannedAt time.Time) {
	ctx, cancel := context.WithDeadline(ctx, plannedAt.Add(c.config.Timeout))
	defer cancel()
	call := &call{arrival: a, plannedAt: plannedAt}
	c.stats.addSent(a.kind, time.Since(plannedAt))
	var o outcome
	for attempt := 0; ; attempt++ {
		o = c.attempt(ctx, call, attempt)
		wait, retry := c.retryDelay(call, o, attempt)
		if !retry || !timing.Sleep(ctx, wait) {
			break
		}
		c.stats.addRetry(a.kind)
	}
	c.finish(call, o)
}

// finish counts the outcome of a request. A stream that expired before its
// first token enters the histogram with the time waited, because leaving it out
// would hide the worst delays.
func (c *client) finish(call *call, o outcome) {
	waited := time.Since(call.plannedAt)
	if o.verdict == expired && call.kind.protocol == streamedChat && call.tokensReceived == 0 {
		c.stats.recordFirstToken(call, waited)
	}
	c.stats.addOutcome(call.kind, o, waited)
}

// retryDelay decides whether to retry and after which delay. An error response
// is retried if it states a retry time, a broken connection only if the request
// has an idempotency key.
func (c *client) retryDelay(call *call, o outcome, attempt int) (time.Duration, bool) {
	if attempt >= c.config.MaxRetries {
		return 0, false
	}
	switch o.verdict {
	case refused:
		return o.refusal.retryAfter, o.refusal.retryAfter > 0
	case broken:
		return min(initialBackoff<<min(attempt, 10), maxBackoff), call.hasIdempotencyKey
	}
	return 0, false
}

func (c *client) attempt(ctx context.Context, call *call, attempt int) outcome {
	request, err := c.request(ctx, call, attempt)
	if err != nil {
		return outcome{verdict: broken}
	}
	resp, err := c.http.Do(request)
	if err != nil {
		return transportFailure(ctx)
	}
	defer resp.Body.Close()
	resp.Body = http.MaxBytesReader(nil, resp.Body, maxResponseBytes)
	o := c.readResponse(call, resp)
	if o.verdict == refused {
		c.stats.addRefusal(o.refusal)
	}
	if o.verdict == broken {
		return transportFailure(ctx)
	}
	return o
}

// transportFailure is the outcome of an attempt without a complete response.
func transportFailure(ctx context.Context) outcome {
	if ctx.Err() != nil {
		return outcome{verdict: expired}
	}
	return outcome{verdict: broken}
}

func (c *client) request(ctx context.Context, call *call, attempt int) (*http.Request, error) {
	target := c.config.Targets[(int(call.index)+attempt)%len(c.config.Targets)]
	method, path, body := c.requestParts(call)
	request, err := http.NewRequestWithContext(ctx, method, target+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	request.Header.Set("Authorization", "Bearer "+c.config.Teams[call.team].Key)
	request.Header.Set(headerWorkload, call.kind.name)
	if method == http.MethodPost {
		request.Header.Set("Content-Type", "application/json")
	}
	if call.hasIdempotencyKey {
		request.Header.Set("Idempotency-Key", c.runID+"-"+call.nonce)
	}
	return request, nil
}

// chatBody is a chat completion request.
type chatBody struct {
	Model         string         `json:"model"`
	Messages      []chatMessage  `json:"messages"`
	MaxTokens     int            `json:"max_tokens"`
	IgnoreEOS     bool           `json:"ignore_eos,omitempty"`
	Stream        bool           `json:"stream,omitempty"`
	StreamOptions *streamOptions `json:"stream_options,omitempty"`
}

type chatMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

type streamOptions struct {
	IncludeUsage bool `json:"include_usage"`
}

// serviceBody is the body of a submission or a bid.
type serviceBody struct {
	Ref  string `json:"ref"`
	Item string `json:"item"`
}

// requestParts returns the parts of a request that depend on its protocol.
func (c *client) requestParts(call *call) (method, path string, body []byte) {
	k := call.kind
	item := "item-" + strconv.Itoa(call.prefixIndex)
	servicePath := c.config.ServicePrefix + "/" + k.service + k.path
	switch k.protocol {
	case serviceGet:
		return http.MethodGet, servicePath + "/" + item + "?ref=" + call.nonce, nil
	case servicePost:
		body, _ = json.Marshal(serviceBody{Ref: call.nonce, Item: item})
		return http.MethodPost, servicePath, body
	}
	chat := chatBody{
		Model:     c.config.Model,
		MaxTokens: call.maxTokens,
		IgnoreEOS: c.config.ExactLength,
		Messages: []chatMessage{
			{Role: "system", Content: call.prefixText(c.config.Teams[call.team].Team)},
			{Role: "user", Content: call.uniqueText()},
		},
	}
	if k.protocol == streamedChat {
		chat.Stream = true
		chat.StreamOptions = &streamOptions{IncludeUsage: true}
	}
	body, _ = json.Marshal(chat)
	return http.MethodPost, "/v1/chat/completions", body
}

func (c *client) readResponse(call *call, resp *http.Response) outcome {
	if resp.StatusCode/100 != 2 {
		return outcome{verdict: refused, refusal: parseRefusal(resp)}
	}
	switch call.kind.protocol {
	case streamedChat:
		return c.readStream(call, resp.Body)
	case unaryChat:
		return c.readUnary(call, resp.Body)
	}
	return readService(call, resp.Body)
}

// parseRefusal reads the problem body of an error response. The kind of a
// response without such a body is its HTTP status.
func parseRefusal(resp *http.Response) refusal {
	r := refusal{
		kind:       fmt.Sprintf("status_%d", resp.StatusCode),
		ran:        "unknown",
		retryAfter: parseRetryAfter(resp.Header.Get("Retry-After"), time.Now()),
	}
	mediaType, _, _ := mime.ParseMediaType(resp.Header.Get("Content-Type"))
	if mediaType != "application/problem+json" {
		return r
	}
	var p problem
	if json.NewDecoder(resp.Body).Decode(&p) == nil && p.Kind != "" {
		r.kind, r.ran = p.Kind, p.Ran
	}
	if r.retryAfter == 0 {
		r.retryAfter = time.Duration(p.RetryAfter * float64(time.Second))
	}
	return r
}

// parseRetryAfter reads a Retry-After header, which holds seconds or a date. It
// returns 0 if the header is missing or invalid.
func parseRetryAfter(header string, now time.Time) time.Duration {
	if seconds, err := strconv.Atoi(header); err == nil {
		return time.Duration(seconds) * time.Second
	}
	if date, err := http.ParseTime(header); err == nil {
		return max(time.Millisecond, date.Sub(now))
	}
	return 0
}

func readService(call *call, body io.Reader) outcome {
	data, err := io.ReadAll(body)
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return outcome{verdict: incomplete}
	}
	if err != nil {
		return outcome{verdict: broken}
	}
	var response serviceBody
	_ = json.Unmarshal(data, &response) // a response without a reference is counted as unchecked
	return outcome{verdict: verifyServiceResponse(response.Ref, call.nonce), unchecked: response.Ref == ""}
}
