package router

import (
	"cmp"
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/labstack/echo/v5"

	"tarragonridge.example/tarragonridge/internal/callers"
	"tarragonridge.example/tarragonridge/internal/core/admit"
	"tarragonridge.example/tarragonridge/internal/core/errkind"
	"tarragonridge.example/tarragonridge/internal/core/ledger"
	"tarragonridge.example/tarragonridge/internal/core/policy"
	"tarragonridge.example/tarragonridge/internal/httpapi"
	"tarragonridge.example/tarragonridge/internal/logqueue"
)

// Request headers that callers set.
const (
	idempotencyKeyHeader = httpapi.HeaderIdempotencyKey
	workloadHeader       = "X-Workload"
)

const (
	maxIdempotencyKeyBytes = 255
	// defaultWorkload is used if neither the request nor the team names one.
	defaultWorkload = "interactive"
)

// caller is the authenticated sender of one request.
type caller struct {
	r              *Router
	team           policy.Team
	workload       string
	requestID      string
	idempotencyKey string // empty if the request has none
	limits         *teamLimits
}

// teamLimits holds the state of a team's rate and concurrency limits at this
// router.
type teamLimits struct {
	bucket             admit.Bucket
	requestsInProgress int
}

// admitCaller authenticates a request and applies the team's limits. The caller
// must be released at the end of the request.
func (r *Router) admitCaller(c *echo.Context) (*caller, error) {
	httpReq := c.Request()
	cl := &caller{r: r, requestID: httpapi.RequestID(c)}
	if r.isStopping() {
		return nil, errkind.New(errkind.Stopping, "this router is stopping")
	}
	if !r.config.Ready() {
		return nil, errkind.New(errkind.PlatformUnavailable, "this router has no configuration yet")
	}
	team, err := r.authenticate(httpReq)
	if err != nil {
		return nil, err
	}
	cl.team = team
	cl.workload = requestedWorkload(httpReq, team)
	if cl.idempotencyKey, err = parseIdempotencyKey(httpReq); err != nil {
		return nil, err
	}
	return cl, r.applyLimits(cl)
}

// authenticate returns the team whose key the request carries.
func (r *Router) authenticate(httpReq *http.Request) (policy.Team, error) {
	key, ok := httpapi.BearerKey(httpReq)
	if !ok {
		return policy.Team{}, errkind.New(errkind.Unauthenticated, "Authorization must carry a bearer key")
	}
	team, ok := r.config.TeamByKeyDigest(httpReq.Context(), policy.HashKey(key))
	if !ok {
		return policy.Team{}, errkind.New(errkind.Unauthenticated, "the key is unknown")
	}
	if team.Disabled {
		return policy.Team{}, errkind.New(errkind.Forbidden, "the team is disabled")
	}
	return team, nil
}

// requestedWorkload returns the workload that the request names, or else the
// first workload that the team is permitted.
func requestedWorkload(httpReq *http.Request, team policy.Team) string {
	if name := httpReq.Header.Get(workloadHeader); name != "" {
		return name
	}
	if len(team.Workloads) > 0 {
		return team.Workloads[0]
	}
	return defaultWorkload
}

// parseIdempotencyKey returns the request's idempotency key, or "" if it has
// none.
func parseIdempotencyKey(httpReq *http.Request) (string, error) {
	key := httpReq.Header.Get(idempotencyKeyHeader)
	if len(key) > maxIdempotencyKeyBytes {
		return "", errkind.New(errkind.InvalidRequest, "%s is longer than %d bytes", idempotencyKeyHeader, maxIdempotencyKeyBytes)
	}
	for _, b := range []byte(key) {
		if b < 0x21 || b > 0x7e {
			return "", errkind.New(errkind.InvalidRequest, "%s may hold visible ASCII characters only", idempotencyKeyHeader)
		}
	}
	return key, nil
}

// applyLimits counts the request against the team's limits or refuses it.
func (r *Router) applyLimits(cl *caller) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	limits := r.limitsByTeam[cl.team.Name]
	if limits == nil {
		limits = &teamLimits{}
		r.limitsByTeam[cl.team.Name] = limits
	}
	if n := cl.team.MaxConcurrent; n > 0 && limits.requestsInProgress >= n {
		return errkind.New(errkind.RateLimited, "the team has %d requests in progress", limits.requestsInProgress)
	}
	if rate := cl.team.RatePerSecond; rate > 0 {
		ok, wait := limits.bucket.Take(time.Now(), rate, max(1, rate))
		if !ok {
			return &errkind.Error{Kind: errkind.RateLimited, Detail: "the team's rate limit is exceeded", RetryAfter: wait}
		}
	}
	limits.requestsInProgress++
	cl.limits = limits
	return nil
}

// release ends the request's use of the team's concurrency limit.
func (cl *caller) release() {
	cl.r.mu.Lock()
	defer cl.r.mu.Unlock()
	cl.limits.requestsInProgress--
}

// newRequest returns a request with the fields that are common to all kinds. A
// request without an idempotency key is identified by its request id.
func (cl *caller) newRequest(doc *policy.Document, preset policy.Preset) *request {
	workload := doc.Workloads[cl.workload]
	req := &request{timeout: time.Duration(preset.AdmissionTimeoutMS) * time.Millisecond}
	if workloadTimeout := time.Duration(workload.TimeoutMS) * time.Millisecond; workloadTimeout > 0 && workloadTimeout < req.timeout {
		req.timeout = workloadTimeout
		req.timeoutFromWorkload = true
	}
	req.Identity = ledger.Identity{Team: cl.team.Name, Key: cl.idempotencyKey}
	if cl.idempotencyKey == "" {
		req.Key = cl.requestID
	}
	req.RequestID = cl.requestID
	req.Workload = cl.workload
	req.Priority = workload.Priority
	req.Resumable = cl.idempotencyKey != ""
	return req
}

// checkWorkloadAllowed returns the caller's workload, or an error if the team
// may not use it or the active preset does not serve it.
func (cl *caller) checkWorkloadAllowed(doc *policy.Document) (policy.Workload, error) {
	workload, ok := doc.Workloads[cl.workload]
	if !ok {
		return workload, errkind.New(errkind.Forbidden, "workload %q does not exist", cl.workload)
	}
	if !cl.team.MayUseWorkload(cl.workload) {
		return workload, errkind.New(errkind.Forbidden, "the team may not use workload %q", cl.workload)
	}
	if workload.Priority < doc.CurrentPreset().MinPriority {
		return workload, errkind.New(errkind.Overloaded, "preset %s does not serve workload %q", doc.ActivePreset, cl.workload)
	}
	return workload, nil
}

// checkModelAllowed returns an error if the caller may not use the model.
func (cl *caller) checkModelAllowed(doc *policy.Document, model string) error {
	if _, ok := doc.Models[model]; !ok {
		return errkind.New(errkind.UnknownModel, "model %q is not served here", logqueue.Text(model))
	}
	workload, err := cl.checkWorkloadAllowed(doc)
	if err != nil {
		return err
	}
	if !cl.team.PermitsModel(model) || !workload.PermitsModel(model) {
		return errkind.New(errkind.Forbidden, "team and workload do not permit model %q", logqueue.Text(model))
	}
	return nil
}

// checkServiceAllowed returns an error if the caller may not use the service.
func (cl *caller) checkServiceAllowed(doc *policy.Document, service string) error {
	if _, ok := doc.Services[service]; !ok {
		return errkind.New(errkind.NotFound, "no service %q", service)
	}
	workload, err := cl.checkWorkloadAllowed(doc)
	if err != nil {
		return err
	}
	if !workload.PermitsService(service) {
		return errkind.New(errkind.Forbidden, "workload %q does not permit service %q", cl.workload, service)
	}
	return nil
}

// readBody reads the request body up to the size limit and then removes the read
// deadline of the connection. What it costs is counted until the end of the request.
func (r *Router) readBody(c *echo.Context) ([]byte, error) {
	limit := r.opts.Settings.Limits.BodyBytes
	httpReq := c.Request()
	if httpReq.ContentLength > limit {
		return nil, errkind.New(errkind.BodyTooLarge, "the body is larger than %d bytes", limit)
	}
	take := func(bytes int64) error { return countBytes(httpReq.Context(), bytes) }
	blocks, err := callers.ReadBody(http.MaxBytesReader(c.Response(), httpReq.Body, limit), httpReq.ContentLength, take)
	var tooLarge *http.MaxBytesError
	var noRoom *errkind.Error
	switch {
	case errors.As(err, &tooLarge):
		return nil, errkind.New(errkind.BodyTooLarge, "the body is larger than %d bytes", limit)
	case errors.As(err, &noRoom):
		return nil, noRoom
	case err != nil:
		return nil, errkind.New(errkind.InvalidRequest, "the body could not be read: %v", err)
	}
	if conn := callers.FromContext(httpReq.Context()); conn != nil {
		if err := conn.Received(); err != nil {
			return nil, errkind.From(err)
		}
	}
	if err := take(sentCopies * blocks.Len()); err != nil {
		return nil, err
	}
	body := blocks.Join()
	// The server's read timeout is meant for the request only. If it stayed in
	// force, it would end a long answer as if the caller had disconnected.
	if err := http.NewResponseController(c.Response()).SetReadDeadline(time.Time{}); err != nil {
		return nil, errkind.Wrap(err, errkind.Internal, "read deadline")
	}
	return body, nil
}

// parseCounted parses the body of a completion request. What that costs is counted.
func parseCounted(ctx context.Context, body []byte, chat bool) (*completionBody, error) {
	size := int64(len(body))
	if err := countBytes(ctx, parseCopies*size); err != nil {
		return nil, err
	}
	parsed, err := parseCompletion(body, chat)
	return parsed, cmp.Or(err, countBytes(ctx, -parseCopies*size))
}
