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
	keySecretBytes         = 32 // random bytes in a key
	keyIDBytes             = 6  // random bytes in the ID of a key
	keyPrefix              = "trk_"
	maxKeysPerTeam         = 32
	maxIdempotencyKeyBytes = 128
)

// teamsVersion returns the version for the ETag of a response that contains
// teams. Handlers read it before the teams: with an ETag newer than the teams
// in the response, an operator could overwrite a change without having seen it.
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
	s.setETag(c, version)
	return c.JSON(http.StatusOK, views)
}

// team returns the team that the path of the request names.
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
	s.setETag(c, version)
	return c.JSON(http.StatusOK, admin.NewTeamView(t))
}

func (s *server) createTeam(c *echo.Context, operator string) error {
	var body admin.CreateTeamRequest
	if err := decodeBody(c, &body); err != nil {
		return err
	}
	result, err := s.change(c, configstore.AnyVersion, operator, func(change *configstore.Change) error {
		_, err := change.Team(body.Name)
		if err == nil {
			return errkind.New(errkind.Conflict, "team %q exists", body.Name)
		}
		if !errkind.Is(err, errkind.NotFound) {
			return err
		}
		change.SetTeam(withPermissions(policy.Team{Name: body.Name}, body.Permissions))
		return nil
	})
	if err != nil {
		return err
	}
	s.setETag(c, result.Version)
	return c.JSON(http.StatusCreated, result)
}

func withPermissions(t policy.Team, p admin.Permissions) policy.Team {
	t.Workloads, t.Models = p.Workloads, p.Models
	t.MaxConcurrent, t.RatePerSecond, t.Disabled = p.MaxConcurrent, p.RatePerSecond, p.Disabled
	return t
}

// setPermissions replaces all permissions of a team. It requires If-Match, so
// that a concurrent change is not overwritten.
func (s *server) setPermissions(c *echo.Context, operator string) error {
	expectedVersion, err := ifMatch(c.Request())
	if err != nil {
		return err
	}
	var body admin.Permissions
	if err := decodeBody(c, &body); err != nil {
		return err
	}
	result, err := s.change(c, expectedVersion, operator, func(change *configstore.Change) error {
		t, err := change.Team(c.Param("team"))
		if err != nil {
			return err
		}
		change.SetTeam(withPermissions(t, body))
		return nil
	})
	return s.respondChange(c, result, err)
}

// newKey returns a new random key and the record of it that is stored, which
// holds only its digest.
func newKey() (string, policy.TeamKey) {
	secret, id := make([]byte, keySecretBytes), make([]byte, keyIDBytes)
	rand.Read(secret) // never returns an error; crypto/rand aborts the process instead
	rand.Read(id)
	key := keyPrefix + base64.RawURLEncoding.EncodeToString(secret)
	return key, policy.TeamKey{
		ID: "k" + hex.EncodeToString(id), SHA256: policy.HashKey(key), CreatedUS: time.Now().UnixMicro(),
	}
}

// editTeamKeys commits a change that applies edit to the keys of the team that
// the path of the request names.
func (s *server) editTeamKeys(c *echo.Context, operator string, edit func([]policy.TeamKey) ([]policy.TeamKey, error)) (admin.ChangeResult, error) {
	return s.change(c, configstore.AnyVersion, operator, func(change *configstore.Change) error {
		t, err := change.Team(c.Param("team"))
		if err != nil {
			return err
		}
		if t.Keys, err = edit(t.Keys); err != nil {
			return err
		}
		change.SetTeam(t)
		return nil
	})
}

func removeKey(keys []policy.TeamKey, id string) ([]policy.TeamKey, error) {
	i := slices.IndexFunc(keys, func(k policy.TeamKey) bool { return k.ID == id })
	if i < 0 {
		return nil, errkind.New(errkind.NotFound, "no key %q", id)
	}
	return slices.Delete(keys, i, i+1), nil
}

func (s *server) addKey(c *echo.Context, operator string) error {
	key, stored := newKey()
	result, err := s.editTeamKeys(c, operator, func(keys []policy.TeamKey) ([]policy.TeamKey, error) {
		if len(keys) >= maxKeysPerTeam {
			return nil, errkind.New(errkind.Conflict, "the team has %d keys, the limit", len(keys))
		}
		return append(keys, stored), nil
	})
	return s.respondKey(c, result, err, key, stored)
}

// rotateKey replaces a key in a single configuration version. The old key
// becomes invalid immediately; operators who need an overlap add a key and
// revoke the old one later.
func (s *server) rotateKey(c *echo.Context, operator string) error {
	key, stored := newKey()
	result, err := s.editTeamKeys(c, operator, func(keys []policy.TeamKey) ([]policy.TeamKey, error) {
		rest, err := removeKey(keys, c.Param("key"))
		return append(rest, stored), err
	})
	return s.respondKey(c, result, err, key, stored)
}

// respondKey sends a new key. This is the only response that contains it.
func (s *server) respondKey(c *echo.Context, result admin.ChangeResult, err error, key string, stored policy.TeamKey) error {
	if err != nil {
		return err
	}
	s.setETag(c, result.Version)
	c.Response().Header().Set("Cache-Control", "no-store")
	return c.JSON(http.StatusCreated, admin.CreatedKey{ChangeResult: result, ID: stored.ID, Key: key})
}

func (s *server) revokeKey(c *echo.Context, operator string) error {
	result, err := s.editTeamKeys(c, operator, func(keys []policy.TeamKey) ([]policy.TeamKey, error) {
		return removeKey(keys, c.Param("key"))
	})
	return s.respondChange(c, result, err)
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
	if key == "" || len(key) > maxIdempotencyKeyBytes {
		return errkind.New(errkind.InvalidRequest, "%s of 1 to %d bytes is required, so that a repeat adds nothing",
			httpapi.HeaderIdempotencyKey, maxIdempotencyKeyBytes)
	}
	var body admin.TopUpRequest
	if err := decodeBody(c, &body); err != nil {
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
