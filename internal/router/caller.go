package router

import (
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/labstack/echo/v5"

	"tarragonridge.example/tarragonridge/internal/core/admit"
	"tarragonridge.example/tarragonridge/internal/core/errkind"
	"tarragonridge.example/tarragonridge/internal/core/ledger"
	"tarragonridge.example/tarragonridge/internal/core/policy"
	"tarragonridge.example/tarragonridge/internal/httpapi"
)

// Headers of callers.
const (
	keyHeader      = httpapi.HeaderIdempotencyKey
	workloadHeader = "X-Workload"
)

const (
	maxKeyBytes = 255
	// defaultWorkload applies if neither the request nor the team names one.
	defaultWorkload = "interactive"
)

// caller is the authenticated origin of a request.
type caller struct {
	r         *Router
	team      policy.Team
	workload  string
	requestID string
	key       string // idempotency key, empty if none was given
	limits    *teamLimits
}

// teamLimits holds the rate and concurrency of a team at this router.
type teamLimits struct {
	bucket admit.Bucket
	open   int
}

// admitCaller authenticates a request and applies the team's limits.
func (r *Router) admitCaller(c *echo.Context) (*caller, error) {
	in := c.Request()
	cl := &caller{r: r, requestID: httpapi.RequestID(c)}
	if r.isStopping() {
		return nil, errkind.New(errkind.Stopping, "this router is stopping")
	}
	if !r.config.Ready() {
		return nil, errkind.New(errkind.PlatformUnavailable, "this router has no configuration yet")
	}
	team, err := r.authenticate(in)
	if err != nil {
		return nil, err
	}
	cl.team = team
	cl.workload = workloadOf(in, team)
	if cl.key, err = idempotencyKey(in); err != nil {
		return nil, err
	}
	return cl, r.applyLimits(cl)
}

func (r *Router) authenticate(in *http.Request) (policy.Team, error) {
	key, ok := httpapi.BearerKey(in)
	if !ok {
		return policy.Team{}, errkind.New(errkind.Unauthenticated, "Authorization must carry a bearer key")
	}
	team, ok := r.config.TeamByKeyDigest(in.Context(), policy.HashKey(key))
	if !ok {
		return policy.Team{}, errkind.New(errkind.Unauthenticated, "the key is unknown")
	}
	if team.Disabled {
		return policy.Team{}, errkind.New(errkind.Forbidden, "the team is disabled")
	}
	return team, nil
}

// workloadOf returns the workload that the request names, or else the first
// that the team is permitted.
func workloadOf(in *http.Request, team policy.Team) string {
	if name := in.Header.Get(workloadHeader); name != "" {
		return name
	}
	if len(team.Workloads) > 0 {
		return team.Workloads[0]
	}
	return defaultWorkload
}

func idempotencyKey(in *http.Request) (string, error) {
	key := in.Header.Get(keyHeader)
	if len(key) > maxKeyBytes {
		return "", errkind.New(errkind.InvalidRequest, "%s is longer than %d bytes", keyHeader, maxKeyBytes)
	}
	for _, b := range []byte(key) {
		if b < 0x21 || b > 0x7e {
			return "", errkind.New(errkind.InvalidRequest, "%s may hold visible ASCII characters only", keyHeader)
		}
	}
	return key, nil
}

func (r *Router) applyLimits(cl *caller) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	limits := r.teams[cl.team.Name]
	if limits == nil {
		limits = &teamLimits{}
		r.teams[cl.team.Name] = limits
	}
	if n := cl.team.MaxConcurrent; n > 0 && limits.open >= n {
		return errkind.New(errkind.RateLimited, "the team has %d requests in progress", limits.open)
	}
	if rate := cl.team.RatePerSecond; rate > 0 {
		ok, wait := limits.bucket.Take(time.Now(), rate, max(1, rate))
		if !ok {
			return &errkind.Error{Kind: errkind.RateLimited, Detail: "the team's rate limit is exceeded", RetryAfter: wait}
		}
	}
	limits.open++
	cl.limits = limits
	return nil
}

// done ends the request's share of the team's limits.
func (cl *caller) done() {
	cl.r.mu.Lock()
	defer cl.r.mu.Unlock()
	cl.limits.open--
}

// request returns a request with the fields that do not depend on its kind.
func (cl *caller) request(doc *policy.Document, preset policy.Preset) *request {
	workload := doc.Workloads[cl.workload]
	req := &request{timeout: time.Duration(preset.AdmissionTimeoutMS) * time.Millisecond}
	if own := time.Duration(workload.TimeoutMS) * time.Millisecond; own > 0 && own < req.timeout {
		req.timeout = own
		req.ownTimeout = true
	}
	req.Identity = ledger.Identity{Team: cl.team.Name, Key: cl.key}
	if cl.key == "" {
		req.Key = cl.requestID
	}
	req.RequestID = cl.requestID
	req.Workload = cl.workload
	req.Priority = workload.Priority
	req.Resumable = cl.key != ""
	return req
}

func (cl *caller) checkWorkload(doc *policy.Document) (policy.Workload, error) {
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

func (cl *caller) mayUseModel(doc *policy.Document, model string) error {
	if _, ok := doc.Models[model]; !ok {
		return errkind.New(errkind.UnknownModel, "model %q is not served here", model)
	}
	workload, err := cl.checkWorkload(doc)
	if err != nil {
		return err
	}
	if !cl.team.PermitsModel(model) || !workload.PermitsModel(model) {
		return errkind.New(errkind.Forbidden, "team and workload do not permit model %q", model)
	}
	return nil
}

func (cl *caller) mayUseService(doc *policy.Document, service string) error {
	if _, ok := doc.Services[service]; !ok {
		return errkind.New(errkind.NotFound, "no service %q", service)
	}
	workload, err := cl.checkWorkload(doc)
	if err != nil {
		return err
	}
	if !workload.PermitsService(service) {
		return errkind.New(errkind.Forbidden, "workload %q does not permit service %q", cl.workload, service)
	}
	return nil
}

// readBody reads the body up to the limit.
func (r *Router) readBody(c *echo.Context) ([]byte, error) {
	limit := r.opts.Settings.Limits.BodyBytes
	body, err := io.ReadAll(http.MaxBytesReader(c.Response(), c.Request().Body, limit))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, errkind.New(errkind.BodyTooLarge, "the body is larger than %d bytes", limit)
	}
	if err != nil {
		return nil, errkind.New(errkind.InvalidRequest, "the body could not be read: %v", err)
	}
	// The server's read timeout covers the request only. Left in force it would
	// also end the wait for a long answer, as if the caller had gone.
	if err := http.NewResponseController(c.Response()).SetReadDeadline(time.Time{}); err != nil {
		return nil, errkind.Wrap(err, errkind.Internal, "read deadline")
	}
	return body, nil
}
