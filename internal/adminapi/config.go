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

// ifMatch returns the version in the If-Match header. It rejects "*", with
// which an operator could overwrite a change without having seen it.
func ifMatch(r *http.Request) (int64, error) {
	header := strings.TrimSpace(r.Header.Get("If-Match"))
	if header == "" {
		return 0, errkind.New(errkind.VersionRequired, "send the ETag of GET %s/config as If-Match", admin.BasePath)
	}
	digits, hasOpeningQuote := strings.CutPrefix(header, `"`)
	digits, hasClosingQuote := strings.CutSuffix(digits, `"`)
	version, err := strconv.ParseInt(digits, 10, 64)
	if !hasOpeningQuote || !hasClosingQuote || err != nil || version < 1 {
		return 0, errkind.New(errkind.InvalidRequest, `If-Match must be one ETag such as "42"`)
	}
	return version, nil
}

func (s *server) setETag(c *echo.Context, version int64) {
	c.Response().Header().Set("ETag", etag(version))
}

// respondChange sends the result of a change, or returns its error.
func (s *server) respondChange(c *echo.Context, result admin.ChangeResult, err error) error {
	if err != nil {
		return err
	}
	s.setETag(c, result.Version)
	return c.JSON(http.StatusOK, result)
}

func (s *server) showConfig(c *echo.Context, _ string) error {
	doc := s.Config.Current()
	s.setETag(c, doc.Version)
	return c.JSON(http.StatusOK, doc)
}

func (s *server) putConfig(c *echo.Context, operator string) error {
	expectedVersion, err := ifMatch(c.Request())
	if err != nil {
		return err
	}
	var doc policy.Document
	if err := decodeBody(c, &doc); err != nil {
		return err
	}
	result, err := s.change(c, expectedVersion, operator, func(change *configstore.Change) error {
		change.Document = doc.Clone()
		return nil
	})
	return s.respondChange(c, result, err)
}

func (s *server) diffConfig(c *echo.Context, _ string) error {
	var doc policy.Document
	if err := decodeBody(c, &doc); err != nil {
		return err
	}
	current := s.Config.Current()
	if faults := doc.Validate(); len(faults) > 0 {
		return errkind.New(errkind.InvalidRequest, "%s", policy.FormatFaults(faults))
	}
	s.setETag(c, current.Version)
	return c.JSON(http.StatusOK, admin.Diff{Version: current.Version, Lines: nonNil(policy.Diff(current, &doc))})
}

func (s *server) configStatus(c *echo.Context, _ string) error {
	status := s.confirmationStatus(s.Config.Current().Version)
	s.setETag(c, status.Version)
	return c.JSON(http.StatusOK, status)
}

func (s *server) listPresets(c *echo.Context, _ string) error {
	doc := s.Config.Current()
	s.setETag(c, doc.Version)
	return c.JSON(http.StatusOK, admin.Presets{Active: doc.ActivePreset, Presets: doc.Presets})
}

func (s *server) showPreset(c *echo.Context, _ string) error {
	doc := s.Config.Current()
	name := c.Param("preset")
	preset, ok := doc.Presets[name]
	if !ok {
		return errkind.New(errkind.NotFound, "no preset %q", name)
	}
	s.setETag(c, doc.Version)
	return c.JSON(http.StatusOK, preset)
}

func (s *server) showActivePreset(c *echo.Context, _ string) error {
	doc := s.Config.Current()
	s.setETag(c, doc.Version)
	return c.JSON(http.StatusOK, admin.ActivePreset{Preset: doc.ActivePreset})
}

func (s *server) setActivePreset(c *echo.Context, operator string) error {
	expectedVersion, err := ifMatch(c.Request())
	if err != nil {
		return err
	}
	var body admin.ActivePreset
	if err := decodeBody(c, &body); err != nil {
		return err
	}
	result, err := s.change(c, expectedVersion, operator, func(change *configstore.Change) error {
		change.Document.ActivePreset = body.Preset
		return nil
	})
	return s.respondChange(c, result, err)
}
