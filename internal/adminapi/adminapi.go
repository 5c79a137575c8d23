// Package adminapi implements the HTTP API for operators under /admin/v1.
package adminapi

import (
	"context"
	"log/slog"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/labstack/echo/v5"

	"tarragonridge.example/tarragonridge/internal/admin"
	"tarragonridge.example/tarragonridge/internal/configstore"
	"tarragonridge.example/tarragonridge/internal/core/errkind"
	"tarragonridge.example/tarragonridge/internal/core/ledger"
	"tarragonridge.example/tarragonridge/internal/core/policy"
	"tarragonridge.example/tarragonridge/internal/httpapi"
	"tarragonridge.example/tarragonridge/internal/wire"
)

const (
	maxBodyBytes          = 1 << 20
	defaultConfirmTimeout = time.Second
	confirmPollInterval   = 10 * time.Millisecond
	changeTimeout         = 20 * time.Second // a commit still uncertain by then is reported as errkind.OutcomeUnknown
)

// ConfigStore reads and changes the configuration. See configstore.Store.
type ConfigStore interface {
	Current() *policy.Document
	TeamsVersion() int64
	Teams() []policy.Team
	Team(name string) (policy.Team, bool)
	TeamByKeyDigest(ctx context.Context, sha256Hex string) (policy.Team, bool)
	Change(ctx context.Context, expectedVersion int64, operator string, mutate func(*configstore.Change) error) (int64, error)
}

// Budgets reads and changes the prepaid token budgets of teams.
type Budgets interface {
	// Account returns the budget of a team. All amounts are zero if the team
	// has never been topped up.
	Account(ctx context.Context, team string) (admin.Budget, error)
	// TopUp adds tokens, once for each idempotency key. Reusing a key with
	// another amount returns errkind.IdempotencyConflict.
	TopUp(ctx context.Context, team, key string, tokens int64, operator string) (admin.Budget, error)
	// Release makes all routers return the tokens they hold for the team that
	// no request has reserved.
	Release(ctx context.Context, team string) (admin.Budget, error)
}

// LedgerReader returns the run records that match a query, latest first.
type LedgerReader interface {
	Records(ctx context.Context, q LedgerQuery) ([]admin.LedgerEntry, error)
}

// LedgerQuery selects run records. Empty filters match all.
type LedgerQuery struct {
	Team      string
	RequestID string
	FromUS    int64          // runs that ended at or after it; Unix time in microseconds
	ToUS      int64          // runs that ended before it; 0 means no limit
	After     *ledger.Cursor // last record of the previous page; nil starts with the latest record
	Limit     int
}

// Targets lists targets and sends commands to them.
type Targets interface {
	List(ctx context.Context) ([]admin.Target, error)
	Drain(ctx context.Context, id string, draining bool, operator string) error
	// Forget declares that the sidecar of a target is gone permanently.
	Forget(ctx context.Context, id, operator string) error
	// Order applies an order at the target under a new fencing number and
	// returns that number.
	Order(ctx context.Context, id string, order admin.Order, operator string) (fence int64, err error)
}

// Timeline queries all live processes for events.
type Timeline interface {
	// Query returns the result of each process that responded, and the names of
	// the processes that did not.
	Query(ctx context.Context, q wire.TimelineQuery) (results []wire.TimelineResult, unreachable []string)
}

// Deps are the dependencies of the handlers. All fields except ConfirmTimeout
// and Logger are required.
type Deps struct {
	Config   ConfigStore
	Budgets  Budgets
	Ledger   LedgerReader
	Targets  Targets
	Timeline Timeline
	// Confirmations returns the live processes that have confirmed the given
	// version or a later one, and those that have not.
	Confirmations func(version int64) (confirmed, pending []string)
	// PushConfig sends a document to the other routers and the sidecars without
	// waiting for them.
	PushConfig     func(doc policy.Document)
	ConfirmTimeout time.Duration // how long a response waits for confirmations at most; default 1 s
	Logger         *slog.Logger  // default slog.Default()
}

type server struct{ Deps }

// handler serves a request that the named operator has sent.
type handler func(c *echo.Context, operator string) error

// Register adds the routes of the API. Errors of the handlers are written to
// the response here; the error handler of the echo instance is neither used nor
// changed.
func Register(e *echo.Echo, deps Deps) {
	if deps.ConfirmTimeout <= 0 {
		deps.ConfirmTimeout = defaultConfirmTimeout
	}
	if deps.Logger == nil {
		deps.Logger = slog.Default()
	}
	s := &server{Deps: deps}
	methods := map[string][]string{}
	for _, r := range s.routes() {
		e.Add(r.method, admin.BasePath+r.path, s.requireOperator(r.handler))
		methods[r.path] = append(methods[r.path], r.method)
	}
	for path, allowed := range methods {
		s.rejectOtherMethods(e, admin.BasePath+path, allowed)
	}
	e.RouteNotFound(admin.BasePath+"/*", s.requireOperator(func(*echo.Context, string) error {
		return errkind.New(errkind.NotFound, "no such path")
	}))
}

// rejectOtherMethods adds routes that respond with "method not allowed" to the
// methods that a path does not support. Without them the catch-all route would
// report an unknown path.
func (s *server) rejectOtherMethods(e *echo.Echo, path string, allowed []string) {
	allow := strings.Join(allowed, ", ")
	reject := s.requireOperator(func(c *echo.Context, _ string) error {
		c.Response().Header().Set("Allow", allow)
		return errkind.New(errkind.MethodNotAllowed, "allowed: %s", allow)
	})
	for _, method := range []string{http.MethodGet, http.MethodPost, http.MethodPut, http.MethodPatch, http.MethodDelete} {
		if !slices.Contains(allowed, method) {
			e.Add(method, path, reject)
		}
	}
}

type route struct {
	method  string
	path    string
	handler handler
}

// routes returns the routes below admin.BasePath.
func (s *server) routes() []route {
	return []route{
		{http.MethodGet, "/teams", s.listTeams},
		{http.MethodPost, "/teams", s.createTeam},
		{http.MethodGet, "/teams/:team", s.showTeam},
		{http.MethodPut, "/teams/:team/permissions", s.setPermissions},
		{http.MethodPost, "/teams/:team/keys", s.addKey},
		{http.MethodPost, "/teams/:team/keys/:key/rotate", s.rotateKey},
		{http.MethodDelete, "/teams/:team/keys/:key", s.revokeKey},
		{http.MethodGet, "/teams/:team/budget", s.showBudget},
		{http.MethodPost, "/teams/:team/topups", s.topUp},
		{http.MethodPost, "/teams/:team/budget/release", s.releaseBudget},
		{http.MethodGet, "/presets", s.listPresets},
		{http.MethodGet, "/presets/:preset", s.showPreset},
		{http.MethodGet, "/presets/active", s.showActivePreset},
		{http.MethodPut, "/presets/active", s.setActivePreset},
		{http.MethodGet, "/config", s.showConfig},
		{http.MethodPut, "/config", s.putConfig},
		{http.MethodPost, "/config/diff", s.diffConfig},
		{http.MethodGet, "/config/status", s.configStatus},
		{http.MethodGet, "/ledger", s.showLedger},
		{http.MethodGet, "/targets", s.listTargets},
		{http.MethodPost, "/targets/:target/drain", s.drainTarget},
		{http.MethodPost, "/targets/:target/orders", s.orderTarget},
		{http.MethodDelete, "/targets/:target", s.forgetTarget},
		{http.MethodGet, "/timeline", s.showTimeline},
	}
}

// requireOperator returns an echo handler that runs next only for requests with
// an operator's key, and writes errors to the response.
func (s *server) requireOperator(next handler) echo.HandlerFunc {
	return func(c *echo.Context) error {
		requestID := httpapi.RequestID(c)
		operator, err := s.operator(c.Request())
		if err == nil {
			err = next(c, operator)
		}
		if err != nil {
			s.logError(c, requestID, operator, err)
			httpapi.ErrorHandler(c, err)
		}
		return nil
	}
}

func (s *server) logError(c *echo.Context, requestID, operator string, err error) {
	s.Logger.Warn("admin_request_failed", "request_id", requestID, "operator", operator,
		"method", c.Request().Method, "route", c.Path(), "error", err)
}

// operator returns the name of the operator whose key the request carries.
func (s *server) operator(r *http.Request) (string, error) {
	doc := s.Config.Current()
	if doc == nil {
		return "", errkind.New(errkind.PlatformUnavailable, "no configuration yet")
	}
	key, ok := httpapi.BearerKey(r)
	if !ok {
		return "", errkind.New(errkind.Unauthenticated, "an operator key is required as bearer token")
	}
	digest := policy.HashKey(key)
	if name, ok := doc.OperatorByKey(digest); ok {
		return name, nil
	}
	if _, ok := s.Config.TeamByKeyDigest(r.Context(), digest); ok {
		return "", errkind.New(errkind.Forbidden, "a team's key does not permit administration")
	}
	return "", errkind.New(errkind.Unauthenticated, "unknown key")
}

// change commits a mutation of the configuration, pushes the new document to
// the other processes and waits for confirmations.
func (s *server) change(c *echo.Context, expectedVersion int64, operator string, mutate func(*configstore.Change) error) (admin.ChangeResult, error) {
	// Continue if the client disconnects, so that the outcome of an uncertain
	// commit is still determined.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(c.Request().Context()), changeTimeout)
	defer cancel()
	version, err := s.Config.Change(ctx, expectedVersion, operator, mutate)
	if err != nil {
		return admin.ChangeResult{}, err
	}
	s.PushConfig(s.Config.Current().Clone())
	return s.awaitConfirmations(c.Request().Context(), version), nil
}

// awaitConfirmations waits up to ConfirmTimeout until all live processes have
// confirmed the version, and returns the status at that point. The change is
// committed in any case.
func (s *server) awaitConfirmations(ctx context.Context, version int64) admin.ChangeResult {
	ctx, cancel := context.WithTimeout(ctx, s.ConfirmTimeout)
	defer cancel()
	ticker := time.NewTicker(confirmPollInterval)
	defer ticker.Stop()
	for {
		status := s.confirmationStatus(version)
		if len(status.Pending) == 0 {
			return status
		}
		select {
		case <-ctx.Done():
			return status
		case <-ticker.C:
		}
	}
}

func (s *server) confirmationStatus(version int64) admin.ChangeResult {
	confirmed, pending := s.Confirmations(version)
	return admin.ChangeResult{Version: version, Confirmed: nonNil(confirmed), Pending: nonNil(pending)}
}

// nonNil replaces a nil list by an empty one, which JSON encodes as [] instead
// of null.
func nonNil[T any](list []T) []T {
	if list == nil {
		return []T{}
	}
	return list
}

func decodeBody(c *echo.Context, v any) error {
	return httpapi.DecodeJSON(c.Response(), c.Request(), maxBodyBytes, v)
}
