package forwarder

import (
	"encoding/json"
	"net/http"

	"github.com/labstack/echo/v5"
)

// Control returns the handler of the control endpoints, POST /control/mode and
// GET /control/stats.
func (f *Forwarder) Control() http.Handler {
	e := echo.New()
	e.Logger = f.log
	e.POST("/control/mode", f.controlMode)
	e.GET("/control/stats", f.controlStats)
	return e
}

func (f *Forwarder) controlMode(c *echo.Context) error {
	var setting Setting
	if err := json.NewDecoder(c.Request().Body).Decode(&setting); err != nil {
		return echo.NewHTTPError(http.StatusBadRequest, err.Error())
	}
	if err := setting.Validate(); err != nil {
		return echo.NewHTTPError(http.StatusBadRequest, err.Error())
	}
	if err := f.Apply(setting); err != nil {
		return err
	}
	return c.NoContent(http.StatusNoContent)
}

func (f *Forwarder) controlStats(c *echo.Context) error {
	return c.JSON(http.StatusOK, f.Stats())
}
