package platform

import (
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strings"
	"sync"
	"time"

	"github.com/labstack/echo/v5"

	"tarragonridge.example/tarragonridge/internal/core/errkind"
	"tarragonridge.example/tarragonridge/internal/platform"
)

// decodeBody decodes the JSON body of a request. It rejects unknown fields.
func decodeBody(c *echo.Context, into any) error {
	decoder := json.NewDecoder(http.MaxBytesReader(c.Response(), c.Request().Body, maxBodyBytes))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(into); err != nil {
		return echo.NewHTTPError(http.StatusBadRequest, err.Error())
	}
	return nil
}

func (s *Server) tableGet(c *echo.Context) error {
	var in platform.GetRequest
	if err := decodeBody(c, &in); err != nil {
		return err
	}
	var out platform.GetResponse
	row, err := s.table.Get(c.Request().Context(), in.Key)
	switch {
	case err == nil:
		out.Row = &row
	case !errkind.Is(err, errkind.NotFound):
		return err
	}
	s.stats.reads.Add(1)
	return c.JSON(http.StatusOK, out)
}

func (s *Server) tableScan(c *echo.Context) error {
	var in platform.ScanRequest
	if err := decodeBody(c, &in); err != nil {
		return err
	}
	if in.Limit < 1 || in.Limit > maxScanRows {
		return echo.NewHTTPError(http.StatusBadRequest, "limit is out of range")
	}
	rows, err := s.table.Scan(c.Request().Context(), in.Prefix, in.After, in.Limit)
	if err != nil {
		return err
	}
	s.stats.reads.Add(1)
	return c.JSON(http.StatusOK, platform.ScanResponse{Rows: rows})
}

func (s *Server) tableCommit(c *echo.Context) error {
	var txn platform.Txn
	if err := decodeBody(c, &txn); err != nil {
		return err
	}
	ctx := c.Request().Context()
	var result platform.TxnResult
	var err error
	s.applyWrite(c, func() { result, err = s.table.Commit(ctx, txn) })
	if err != nil {
		return err
	}
	return c.JSON(http.StatusOK, result)
}

type objectStore struct {
	mu   sync.Mutex
	data map[string][]byte
}

func objectKey(c *echo.Context) (string, error) {
	escaped := strings.TrimPrefix(c.Request().URL.EscapedPath(), "/v1/objects/")
	key, err := url.PathUnescape(escaped)
	if err != nil || key == "" {
		return "", echo.NewHTTPError(http.StatusBadRequest, "object key is missing or malformed")
	}
	return key, nil
}

func (s *Server) objectGet(c *echo.Context) error {
	key, err := objectKey(c)
	if err != nil {
		return err
	}
	s.objects.mu.Lock()
	data, ok := s.objects.data[key]
	s.objects.mu.Unlock()
	s.stats.reads.Add(1)
	if !ok {
		return c.NoContent(http.StatusNotFound)
	}
	return c.Blob(http.StatusOK, echo.MIMEOctetStream, data)
}

func (s *Server) objectPut(c *echo.Context) error {
	key, err := objectKey(c)
	if err != nil {
		return err
	}
	data, err := io.ReadAll(c.Request().Body)
	if err != nil {
		return echo.NewHTTPError(http.StatusBadRequest, err.Error())
	}
	s.applyWrite(c, func() {
		s.objects.mu.Lock()
		defer s.objects.mu.Unlock()
		s.objects.data[key] = data
	})
	return c.NoContent(http.StatusOK)
}

func (s *Server) hostList(c *echo.Context) error {
	s.stats.reads.Add(1)
	return c.JSON(http.StatusOK, s.hosts.list(time.Now()))
}

func (s *Server) weightsGet(c *echo.Context) error {
	model, err := url.PathUnescape(c.Param("model"))
	if err != nil {
		return echo.NewHTTPError(http.StatusBadRequest, err.Error())
	}
	weights, ok := s.weights[model]
	s.stats.reads.Add(1)
	if !ok {
		return c.NoContent(http.StatusNotFound)
	}
	return c.JSON(http.StatusOK, weights)
}

func (s *Server) controlFault(c *echo.Context) error {
	var fault Fault
	if err := decodeBody(c, &fault); err != nil {
		return err
	}
	if err := s.SetFault(fault); err != nil {
		return echo.NewHTTPError(http.StatusBadRequest, err.Error())
	}
	return c.NoContent(http.StatusNoContent)
}

func (s *Server) controlHosts(c *echo.Context) error {
	var edit HostEdit
	if err := decodeBody(c, &edit); err != nil {
		return err
	}
	if err := edit.Validate(); err != nil {
		return echo.NewHTTPError(http.StatusBadRequest, err.Error())
	}
	s.hosts.applyEdit(edit, time.Now())
	return c.NoContent(http.StatusNoContent)
}

func (s *Server) controlStats(c *echo.Context) error {
	return c.JSON(http.StatusOK, s.Stats())
}
