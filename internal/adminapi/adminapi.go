// Package adminapi serves the operators' API under /admin/v1.
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
	maxBodyBytes       = 1 << 20
	defaultConfirmWait = time.Second
	confirmPoll        = 10 * time.Millisecond
	changeTimeout      = 20 * time.Second // an uncertain commit is resolved within it or reported as unknown
)

// ConfigStore is the configuration store.
type ConfigStore interface {
	Current() *policy.Document
	TeamsVersion() int64
	Teams() []policy.Team
	Team(name string) (policy.Team, bool)
	TeamByKeyDigest(ctx context.Context, sha256hex string) (policy.Team, bool)
	Change(ctx context.Context, ifMatch int64, operator string, mutate func(*configstore.Change) error) (int64, error)
}

// Budgets reads accounts and adds prepaid tokens.
type Budgets interface {
	// Account returns the account of a team; a team without a top-up has a
	// zero account.
	Account(ctx context.Context, team string) (admin.Budget, error)
	// TopUp adds tokens once per key. The same key with another amount is
	// errkind.IdempotencyConflict.
	TopUp(ctx context.Context, team, key string, tokens int64, operator string) (admin.Budget, error)
	// Release asks all routers to return the share of the team's budget that no
	// request has reserved.
	Release(ctx context.Context, team string) (admin.Budget, error)
}

// LedgerReader reads run records, latest first.
type LedgerReader interface {
	Records(ctx context.Context, q LedgerQuery) ([]admin.LedgerEntry, error)
}

// LedgerQuery selects run records. Empty filters match all.
type LedgerQuery struct {
	Team      string
	RequestID string
	FromUS    int64          // earliest end of a run, unix time in microseconds
	ToUS      int64          // the end of a run is before it; 0 means no limit
	After     *ledger.Cursor // last record of the page before; nil starts with the latest record
	Limit     int
}

// Targets shows and changes targets.
type Targets interface {
	List(ctx context.Context) ([]admin.Target, error)
	Drain(ctx context.Context, id string, draining bool, operator string) error
	// Forget declares the sidecar of a target permanently gone.
	Forget(ctx context.Context, id, operator string) error
	// Order applies an order under a new fencing number, which it returns.
	Order(ctx context.Context, id string, order admin.Order, operator string) (fence int64, err error)
}

// Timeline asks all live processes for events.
type Timeline interface {
	Query(ctx context.Context, q wire.TimelineQuery) (results []wire.TimelineResult, unreachable []string)
}

// Deps are what the handlers work on. All fields but the last two are
// required.
type Deps struct {
	Config   ConfigStore
	Budgets  Budgets
	Ledger   LedgerReader
	Targets  Targets
	Timeline Timeline
	// Confirmations returns the live processes that have confirmed a version
	// or a later one, and those that have not.
	Confirmations func(version int64) (confirmed, pending []string)
	// PushConfig sends a document to peers and sidecars without waiting for them.
	PushConfig     func(doc policy.Document)
	ConfirmTimeout time.Duration // longest wait of an answer for confirmations; default 1 s
	Logger         *slog.Logger  // default slog.Default()
}

type server struct{ Deps }

// handler serves a request of an operator.
type handler func(c *echo.Context, operator string) error

// Register adds the routes. It does not touch the echo instance's error
// handler; errors of the handlers are answered here.
func Register(e *echo.Echo, deps Deps) {
	if deps.ConfirmTimeout <= 0 {
		deps.ConfirmTimeout = defaultConfirmWait
	}
	if deps.Logger == nil {
		deps.Logger = slog.Default()
	}
	s := &server{Deps: deps}
	methods := map[string][]string{}
	for _, r := range s.routes() {
		e.Add(r.method, admin.BasePath+r.path, s.guard(r.handler))
		methods[r.path] = append(methods[r.path], r.method)
	}
	for path, allowed := range methods {
		s.refuseOthers(e, admin.BasePath+path, allowed)
	}
	e.RouteNotFound(admin.BasePath+"/*", s.guard(func(*echo.Context, string) error {
		return errkind.New(errkind.NotFound, "no such path")
	}))
}

// refuseOthers answers the other methods of a path. The catch-all route would
// answer them as an unknown path.
func (s *server) refuseOthers(e *echo.Echo, path string, allowed []string) {
	allow := strings.Join(allowed, ", ")
	refuse := s.guard(func(c *echo.Context, _ string) error {
		c.Response().Header().Set("Allow", allow)
		return errkind.New(errkind.MethodNotAllowed, "allowed: %s", allow)
	})
	for _, m := range []string{http.MethodGet, http.MethodPost, http.MethodPut, http.MethodPatch, http.MethodDelete} {
		if !slices.Contains(allowed, m) {
			e.Add(m, path, refuse)
		}
	}
}

type route struct {
	method  string
	path    string
	handler handler
}

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

// guard admits operators only and answers errors.
func (s *server) guard(h handler) echo.HandlerFunc {
	return func(c *echo.Context) error {
		id := httpapi.RequestID(c)
		operator, err := s.operator(c.Request())
		if err == nil {
			err = h(c, operator)
		}
		if err != nil {
			s.logFailure(c, id, operator, err)
			httpapi.ErrorHandler(c, err)
		}
		return nil
	}
}

func (s *server) logFailure(c *echo.Context, id, operator string, err error) {
	s.Logger.Warn("admin_request_failed", "request_id", id, "operator", operator,
		"method", c.Request().Method, "route", c.Path(), "error", err)
}

// operator returns the operator whose key the request carries.
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

// change commits a mutation, spreads it and reports who has confirmed it.
func (s *server) change(c *echo.Context, ifMatch int64, operator string, mutate func(*configstore.Change) error) (admin.ChangeResult, error) {
	// A client that hangs up must not leave a commit half resolved.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(c.Request().Context()), changeTimeout)
	defer cancel()
	version, err := s.Config.Change(ctx, ifMatch, operator, mutate)
	if err != nil {
		return admin.ChangeResult{}, err
	}
	s.PushConfig(s.Config.Current().Clone())
	return s.awaitConfirmations(c.Request().Context(), version), nil
}

// awaitConfirmations waits a short time for all processes. The change is
// committed in any case.
func (s *server) awaitConfirmations(ctx context.Context, version int64) admin.ChangeResult {
	ctx, cancel := context.WithTimeout(ctx, s.ConfirmTimeout)
	defer cancel()
	ticker := time.NewTicker(confirmPoll)
	defer ticker.Stop()
	for {
		a := s.status(version)
		if len(a.Pending) == 0 {
			return a
		}
		select {
		case <-ctx.Done():
			return a
		case <-ticker.C:
		}
	}
}

func (s *server) status(version int64) admin.ChangeResult {
	confirmed, pending := s.Confirmations(version)
	return admin.ChangeResult{Version: version, Confirmed: orEmpty(confirmed), Pending: orEmpty(pending)}
}

// orEmpty makes a nil list appear as [] in JSON.
func orEmpty[T any](list []T) []T {
	if list == nil {
		return []T{}
	}
	return list
}

func decode(c *echo.Context, v any) error {
	return httpapi.DecodeJSON(c.Response(), c.Request(), maxBodyBytes, v)
}
