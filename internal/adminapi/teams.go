package adminapi

import (
	"crypto/rand"
	"encoding/base64"
	"encoding/hex"
	"net/http"
	"slices"
	"time"

	"github.com/labstack/echo/v5"

	"tarragonridge.example/tarragonridge/internal/admin"
	"tarragonridge.example/tarragonridge/internal/configstore"
	"tarragonridge.example/tarragonridge/internal/core/errkind"
	"tarragonridge.example/tarragonridge/internal/core/policy"
	"tarragonridge.example/tarragonridge/internal/httpapi"
)

const (
	keyBytes            = 32 // entropy of a key
	keyIDBytes          = 6
	keyPrefix           = "trk_"
	maxKeysPerTeam      = 32
	maxIdempotencyBytes = 128
)

// teamsVersion returns the version for the ETag of an answer with teams. It is
// read before the teams: an ETag newer than the teams shown would let an
// operator overwrite a change without having seen it.
func (s *server) teamsVersion() int64 {
	return min(s.Config.TeamsVersion(), s.Config.Current().Version)
}

func (s *server) listTeams(c *echo.Context, _ string) error {
	version := s.teamsVersion()
	teams := s.Config.Teams()
	views := make([]admin.TeamView, 0, len(teams))
	for _, t := range teams {
		views = append(views, admin.NewTeamView(t))
	}
	s.tag(c, version)
	return c.JSON(http.StatusOK, views)
}

func (s *server) team(c *echo.Context) (policy.Team, error) {
	name := c.Param("team")
	t, ok := s.Config.Team(name)
	if !ok {
		return t, errkind.New(errkind.NotFound, "no team %q", name)
	}
	return t, nil
}

func (s *server) showTeam(c *echo.Context, _ string) error {
	version := s.teamsVersion()
	t, err := s.team(c)
	if err != nil {
		return err
	}
	s.tag(c, version)
	return c.JSON(http.StatusOK, admin.NewTeamView(t))
}

func (s *server) createTeam(c *echo.Context, operator string) error {
	var body admin.CreateTeamRequest
	if err := decode(c, &body); err != nil {
		return err
	}
	a, err := s.change(c, configstore.AnyVersion, operator, func(ch *configstore.Change) error {
		_, err := ch.Team(body.Name)
		if err == nil {
			return errkind.New(errkind.Conflict, "team %q exists", body.Name)
		}
		if !errkind.Is(err, errkind.NotFound) {
			return err
		}
		ch.SetTeam(withPermissions(policy.Team{Name: body.Name}, body.Permissions))
		return nil
	})
	if err != nil {
		return err
	}
	s.tag(c, a.Version)
	return c.JSON(http.StatusCreated, a)
}

func withPermissions(t policy.Team, p admin.Permissions) policy.Team {
	t.Workloads, t.Models = p.Workloads, p.Models
	t.MaxConcurrent, t.RatePerSecond, t.Disabled = p.MaxConcurrent, p.RatePerSecond, p.Disabled
	return t
}

// setPermissions replaces the permissions and so requires a version.
func (s *server) setPermissions(c *echo.Context, operator string) error {
	version, err := ifMatch(c.Request())
	if err != nil {
		return err
	}
	var body admin.Permissions
	if err := decode(c, &body); err != nil {
		return err
	}
	a, err := s.change(c, version, operator, func(ch *configstore.Change) error {
		t, err := ch.Team(c.Param("team"))
		if err != nil {
			return err
		}
		ch.SetTeam(withPermissions(t, body))
		return nil
	})
	return s.answerChange(c, a, err)
}

// newKey returns a key and the form in which it is stored.
func newKey() (string, policy.TeamKey) {
	secret, id := make([]byte, keyBytes), make([]byte, keyIDBytes)
	rand.Read(secret) // never fails: crypto/rand aborts the process instead
	rand.Read(id)
	key := keyPrefix + base64.RawURLEncoding.EncodeToString(secret)
	return key, policy.TeamKey{
		ID: "k" + hex.EncodeToString(id), SHA256: policy.HashKey(key), CreatedUS: time.Now().UnixMicro(),
	}
}

// changeKeys applies edit to the keys of the team.
func (s *server) changeKeys(c *echo.Context, operator string, edit func([]policy.TeamKey) ([]policy.TeamKey, error)) (admin.ChangeResult, error) {
	return s.change(c, configstore.AnyVersion, operator, func(ch *configstore.Change) error {
		t, err := ch.Team(c.Param("team"))
		if err != nil {
			return err
		}
		if t.Keys, err = edit(t.Keys); err != nil {
			return err
		}
		ch.SetTeam(t)
		return nil
	})
}

func withoutKey(keys []policy.TeamKey, id string) ([]policy.TeamKey, error) {
	i := slices.IndexFunc(keys, func(k policy.TeamKey) bool { return k.ID == id })
	if i < 0 {
		return nil, errkind.New(errkind.NotFound, "no key %q", id)
	}
	return slices.Delete(keys, i, i+1), nil
}

func (s *server) addKey(c *echo.Context, operator string) error {
	key, stored := newKey()
	a, err := s.changeKeys(c, operator, func(keys []policy.TeamKey) ([]policy.TeamKey, error) {
		if len(keys) >= maxKeysPerTeam {
			return nil, errkind.New(errkind.Conflict, "the team has %d keys, the limit", len(keys))
		}
		return append(keys, stored), nil
	})
	return s.answerKey(c, a, err, key, stored)
}

// rotateKey replaces a key in one version. The old key ends at once; operators
// who need both for a while add a key and revoke the old one later.
func (s *server) rotateKey(c *echo.Context, operator string) error {
	key, stored := newKey()
	a, err := s.changeKeys(c, operator, func(keys []policy.TeamKey) ([]policy.TeamKey, error) {
		rest, err := withoutKey(keys, c.Param("key"))
		return append(rest, stored), err
	})
	return s.answerKey(c, a, err, key, stored)
}

func (s *server) answerKey(c *echo.Context, a admin.ChangeResult, err error, key string, stored policy.TeamKey) error {
	if err != nil {
		return err
	}
	s.tag(c, a.Version)
	c.Response().Header().Set("Cache-Control", "no-store")
	return c.JSON(http.StatusCreated, admin.CreatedKey{ChangeResult: a, ID: stored.ID, Key: key})
}

func (s *server) revokeKey(c *echo.Context, operator string) error {
	a, err := s.changeKeys(c, operator, func(keys []policy.TeamKey) ([]policy.TeamKey, error) {
		return withoutKey(keys, c.Param("key"))
	})
	return s.answerChange(c, a, err)
}

func (s *server) showBudget(c *echo.Context, _ string) error {
	t, err := s.team(c)
	if err != nil {
		return err
	}
	budget, err := s.Budgets.Account(c.Request().Context(), t.Name)
	if err != nil {
		return err
	}
	return c.JSON(http.StatusOK, budget)
}

func (s *server) releaseBudget(c *echo.Context, operator string) error {
	t, err := s.team(c)
	if err != nil {
		return err
	}
	budget, err := s.Budgets.Release(c.Request().Context(), t.Name)
	if err != nil {
		return err
	}
	s.Logger.Info("budget_released", "request_id", httpapi.RequestID(c), "operator", operator, "team", t.Name, "held", budget.Held)
	return c.JSON(http.StatusOK, budget)
}

func (s *server) topUp(c *echo.Context, operator string) error {
	t, err := s.team(c)
	if err != nil {
		return err
	}
	key := c.Request().Header.Get(httpapi.HeaderIdempotencyKey)
	if key == "" || len(key) > maxIdempotencyBytes {
		return errkind.New(errkind.InvalidRequest, "%s of 1 to %d bytes is required, so that a repeat adds nothing",
			httpapi.HeaderIdempotencyKey, maxIdempotencyBytes)
	}
	var body admin.TopUpRequest
	if err := decode(c, &body); err != nil {
		return err
	}
	if body.Tokens <= 0 {
		return errkind.New(errkind.InvalidRequest, "tokens must be positive")
	}
	budget, err := s.Budgets.TopUp(c.Request().Context(), t.Name, key, body.Tokens, operator)
	if err != nil {
		return err
	}
	s.Logger.Info("budget_topped_up", "request_id", httpapi.RequestID(c), "operator", operator,
		"team", t.Name, "tokens", body.Tokens, "key", key)
	return c.JSON(http.StatusOK, budget)
}
