package router

import (
	"context"
	"log/slog"
	"net/http"
	"sort"
	"time"

	"github.com/labstack/echo/v5"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"tarragonridge.example/tarragonridge/internal/core/errkind"
	"tarragonridge.example/tarragonridge/internal/httpapi"
)

// handler returns the HTTP handler for callers and operators.
func (r *Router) handler() http.Handler {
	e := echo.NewWithConfig(echo.Config{HTTPErrorHandler: httpapi.ErrorHandler})
	e.POST("/v1/chat/completions", r.chatCompletions)
	e.POST("/v1/completions", r.completions)
	e.GET("/v1/models", r.models)
	for _, method := range serviceMethods {
		e.Add(method, "/services/:name/*", r.service)
	}
	r.registerHealth(e)
	if r.listeners.Metrics == nil {
		r.registerMetrics(e)
	}
	r.registerAdmin(e)
	return e
}

// registerHealth mounts the checks of a load balancer or supervisor.
func (r *Router) registerHealth(e *echo.Echo) {
	e.GET("/healthz", func(c *echo.Context) error { return c.String(http.StatusOK, "ok\n") })
	e.GET("/readyz", r.readyz)
}

func (r *Router) registerMetrics(e *echo.Echo) {
	e.GET("/metrics", echo.WrapHandler(promhttp.HandlerFor(r.metrics.registry, promhttp.HandlerOpts{})))
}

// serveMetrics serves metrics and health on their own address until ctx is
// done, which is after a graceful stop has ended.
func (r *Router) serveMetrics(ctx context.Context) error {
	e := echo.NewWithConfig(echo.Config{HTTPErrorHandler: httpapi.ErrorHandler})
	r.registerHealth(e)
	r.registerMetrics(e)
	limits := r.opts.Settings.Limits
	srv := &http.Server{
		Handler:           e,
		ReadHeaderTimeout: time.Duration(limits.ReadHeaderTimeoutMS) * time.Millisecond,
		ReadTimeout:       time.Duration(limits.ReadTimeoutMS) * time.Millisecond,
	}
	stop := context.AfterFunc(ctx, func() { _ = srv.Close() })
	defer stop()
	return serveHTTP(srv, r.listeners.Metrics)
}

// run serves a request that may have an earlier run of the same identity.
func (r *Router) run(c *echo.Context, caller *caller, req *request) error {
	ctx := c.Request().Context()
	if !req.Resumable {
		return r.fail(c, caller, req, r.submit(ctx, req))
	}
	return r.fail(c, caller, req, r.submitKeyed(ctx, req))
}

// submitKeyed serves a request with an idempotency key from an earlier run of
// the same key or, if there is none, from a new one.
func (r *Router) submitKeyed(ctx context.Context, req *request) error {
	for {
		leave, running, err := r.enter(ctx, req.Identity)
		if err != nil {
			return err
		}
		if running != nil {
			if handled, err := r.join(ctx, req, running); handled {
				return err
			}
			continue
		}
		defer leave()
		if handled, err := r.resume(ctx, req); handled {
			return err
		}
		return r.submit(ctx, req)
	}
}

// fail reports the end of a request. A stream that has started ends with an
// error event; anything else becomes a problem document.
func (r *Router) fail(_ *echo.Context, caller *caller, req *request, err error) error {
	r.metrics.finished(string(req.Kind), err)
	r.logRequest(caller, req, err)
	if err == nil {
		return nil
	}
	if s, ok := req.sink.(*sseSink); ok && s.started() {
		s.fail(errkind.From(err))
		return nil
	}
	return err
}

func (r *Router) logRequest(caller *caller, req *request, err error) {
	kind := slog.String("kind", string(req.Kind))
	if err == nil {
		r.event("answered", caller.requestID, "", caller.team.Name, kind)
		return
	}
	r.event("refused", caller.requestID, "", caller.team.Name, kind, slog.String("error", string(errkind.Of(err))), slog.String("detail", err.Error()))
}

type modelList struct {
	Object string      `json:"object"`
	Data   []modelItem `json:"data"`
}

type modelItem struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Created int64  `json:"created"`
	OwnedBy string `json:"owned_by"`
}

// models lists the models that the caller's team may use.
func (r *Router) models(c *echo.Context) error {
	caller, err := r.admitCaller(c)
	if err != nil {
		return err
	}
	defer caller.done()
	list := modelList{Object: "list", Data: []modelItem{}}
	for name := range r.config.Current().Models {
		if caller.team.PermitsModel(name) {
			list.Data = append(list.Data, modelItem{ID: name, Object: "model", OwnedBy: "tarragonridge"})
		}
	}
	sort.Slice(list.Data, func(i, j int) bool { return list.Data[i].ID < list.Data[j].ID })
	return c.JSON(http.StatusOK, list)
}

func (r *Router) readyz(c *echo.Context) error {
	if reason := r.notReady(); reason != "" {
		return c.String(http.StatusServiceUnavailable, reason+"\n")
	}
	return c.String(http.StatusOK, "ready\n")
}

func (r *Router) notReady() string {
	switch {
	case r.isUnready():
		return "stopping"
	case !r.config.Ready():
		return "no configuration"
	case !r.escrow.Ready():
		return "not registered"
	}
	return ""
}

// server returns the HTTP server with the limits of the settings. Writes have
// no overall deadline, because answers may stream for long; a slow reader is
// bounded by the deadline that each write sets.
func (r *Router) server() *http.Server {
	limits := r.opts.Settings.Limits
	return &http.Server{
		Handler:           r.withClose(withWriteDeadline(r.handler())),
		ReadHeaderTimeout: time.Duration(limits.ReadHeaderTimeoutMS) * time.Millisecond,
		ReadTimeout:       time.Duration(limits.ReadTimeoutMS) * time.Millisecond,
		IdleTimeout:       time.Duration(limits.IdleTimeoutMS) * time.Millisecond,
		MaxHeaderBytes:    int(limits.HeaderBytes),
	}
}
