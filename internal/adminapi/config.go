package adminapi

import (
	"net/http"
	"strconv"
	"strings"

	"github.com/labstack/echo/v5"

	"tarragonridge.example/tarragonridge/internal/admin"
	"tarragonridge.example/tarragonridge/internal/configstore"
	"tarragonridge.example/tarragonridge/internal/core/errkind"
	"tarragonridge.example/tarragonridge/internal/core/policy"
)

func etag(version int64) string { return strconv.Quote(strconv.FormatInt(version, 10)) }

// ifMatch returns the version of the If-Match header. "*" is refused: it would
// let an operator overwrite a change without having seen it.
func ifMatch(r *http.Request) (int64, error) {
	raw := strings.TrimSpace(r.Header.Get("If-Match"))
	if raw == "" {
		return 0, errkind.New(errkind.VersionRequired, "send the ETag of GET %s/config as If-Match", admin.BasePath)
	}
	digits, ok := strings.CutPrefix(raw, `"`)
	digits, closed := strings.CutSuffix(digits, `"`)
	version, err := strconv.ParseInt(digits, 10, 64)
	if !ok || !closed || err != nil || version < 1 {
		return 0, errkind.New(errkind.InvalidRequest, `If-Match must be one ETag such as "42"`)
	}
	return version, nil
}

func (s *server) tag(c *echo.Context, version int64) {
	c.Response().Header().Set("ETag", etag(version))
}

// answerChange answers with an accepted change.
func (s *server) answerChange(c *echo.Context, a admin.ChangeResult, err error) error {
	if err != nil {
		return err
	}
	s.tag(c, a.Version)
	return c.JSON(http.StatusOK, a)
}

func (s *server) showConfig(c *echo.Context, _ string) error {
	doc := s.Config.Current()
	s.tag(c, doc.Version)
	return c.JSON(http.StatusOK, doc)
}

func (s *server) putConfig(c *echo.Context, operator string) error {
	version, err := ifMatch(c.Request())
	if err != nil {
		return err
	}
	var doc policy.Document
	if err := decode(c, &doc); err != nil {
		return err
	}
	a, err := s.change(c, version, operator, func(ch *configstore.Change) error {
		ch.Document = doc.Clone()
		return nil
	})
	return s.answerChange(c, a, err)
}

func (s *server) diffConfig(c *echo.Context, _ string) error {
	var doc policy.Document
	if err := decode(c, &doc); err != nil {
		return err
	}
	current := s.Config.Current()
	if faults := doc.Validate(); len(faults) > 0 {
		return errkind.New(errkind.InvalidRequest, "%s", policy.FormatFaults(faults))
	}
	s.tag(c, current.Version)
	return c.JSON(http.StatusOK, admin.Diff{Version: current.Version, Lines: orEmpty(policy.Diff(current, &doc))})
}

func (s *server) configStatus(c *echo.Context, _ string) error {
	a := s.status(s.Config.Current().Version)
	s.tag(c, a.Version)
	return c.JSON(http.StatusOK, a)
}

func (s *server) listPresets(c *echo.Context, _ string) error {
	doc := s.Config.Current()
	s.tag(c, doc.Version)
	return c.JSON(http.StatusOK, admin.Presets{Active: doc.ActivePreset, Presets: doc.Presets})
}

func (s *server) showPreset(c *echo.Context, _ string) error {
	doc := s.Config.Current()
	name := c.Param("preset")
	preset, ok := doc.Presets[name]
	if !ok {
		return errkind.New(errkind.NotFound, "no preset %q", name)
	}
	s.tag(c, doc.Version)
	return c.JSON(http.StatusOK, preset)
}

func (s *server) showActivePreset(c *echo.Context, _ string) error {
	doc := s.Config.Current()
	s.tag(c, doc.Version)
	return c.JSON(http.StatusOK, admin.ActivePreset{Preset: doc.ActivePreset})
}

func (s *server) setActivePreset(c *echo.Context, operator string) error {
	version, err := ifMatch(c.Request())
	if err != nil {
		return err
	}
	var body admin.ActivePreset
	if err := decode(c, &body); err != nil {
		return err
	}
	a, err := s.change(c, version, operator, func(ch *configstore.Change) error {
		ch.Document.ActivePreset = body.Preset
		return nil
	})
	return s.answerChange(c, a, err)
}
