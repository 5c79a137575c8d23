package router

import (
	"context"
	"log/slog"
	"net/http"
	"sort"

	"github.com/labstack/echo/v5"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"tarragonridge.example/tarragonridge/internal/callers"
	"tarragonridge.example/tarragonridge/internal/core/errkind"
	"tarragonridge.example/tarragonridge/internal/httpapi"
)

// newHandler returns the HTTP handler for callers and operators.
func (r *Router) newHandler() http.Handler {
	e := echo.NewWithConfig(echo.Config{HTTPErrorHandler: httpapi.ErrorHandler})
	e.POST("/v1/chat/completions", r.chatCompletions)
	e.POST("/v1/completions", r.completions)
	e.GET("/v1/models", r.listModels)
	for _, method := range serviceMethods {
		e.Add(method, "/services/:name/*", r.serveService)
	}
	r.registerHealth(e)
	if r.listeners.Metrics == nil {
		r.registerMetrics(e)
	}
	r.registerAdmin(e)
	return e
}

// registerHealth registers the endpoints for load balancers and supervisors.
func (r *Router) registerHealth(e *echo.Echo) {
	e.GET("/healthz", func(c *echo.Context) error { return c.String(http.StatusOK, "ok\n") })
	e.GET("/readyz", r.readyz)
}

// registerMetrics registers the endpoint for Prometheus.
func (r *Router) registerMetrics(e *echo.Echo) {
	e.GET("/metrics", echo.WrapHandler(promhttp.HandlerFor(r.metrics.registry, promhttp.HandlerOpts{MaxRequestsInFlight: callers.MaxMetricsReads})))
}

// serveMetrics serves metrics and health checks at their own address until ctx
// is done. That is the case only after a graceful stop has ended.
func (r *Router) serveMetrics(ctx context.Context) error {
	e := echo.NewWithConfig(echo.Config{HTTPErrorHandler: httpapi.ErrorHandler})
	r.registerHealth(e)
	r.registerMetrics(e)
	server := callers.NewSideServer("metrics", e, 0, r.opts.Logger)
	r.metrics.registry.MustRegister(server.Pool)
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	return server.Serve(r.listeners.Metrics)
}

// serveRequest runs a request. With an idempotency key, it may be served from
// an earlier run.
func (r *Router) serveRequest(c *echo.Context, caller *caller, req *request) error {
	ctx := c.Request().Context()
	if !req.Resumable {
		return r.finishRequest(c, caller, req, r.submit(ctx, req))
	}
	return r.finishRequest(c, caller, req, r.submitWithKey(ctx, req))
}

// submitWithKey serves a request with an idempotency key from an earlier run of
// the same key or, if there is none, from a new run.
func (r *Router) submitWithKey(ctx context.Context, req *request) error {
	for {
		unlock, known, err := r.lockIdentity(ctx, req.Identity)
		if err != nil {
			return err
		}
		if known != nil {
			if handled, err := r.serveKnownRun(ctx, req, known); handled {
				return err
			}
			continue
		}
		defer unlock()
		if handled, err := r.resume(ctx, req); handled {
			return err
		}
		return r.submit(ctx, req)
	}
}

// finishRequest counts and logs the end of a request and reports an error to
// the caller. A stream that has started ends with an error event; otherwise the
// error is returned and becomes a problem document.
func (r *Router) finishRequest(_ *echo.Context, caller *caller, req *request, err error) error {
	r.metrics.countFinished(string(req.Kind), err)
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

// logRequest records the result of a request in the timeline.
func (r *Router) logRequest(caller *caller, req *request, err error) {
	kind := slog.String("kind", string(req.Kind))
	if err == nil {
		r.recordEvent("answered", caller.requestID, "", caller.team.Name, kind)
		return
	}
	r.recordEvent("refused", caller.requestID, "", caller.team.Name, kind, slog.String("error", string(errkind.Of(err))), slog.String("detail", err.Error()))
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

// listModels returns the models that the caller's team may use.
func (r *Router) listModels(c *echo.Context) error {
	caller, err := r.admitCaller(c)
	if err != nil {
		return err
	}
	defer caller.release()
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
	if reason := r.notReadyReason(); reason != "" {
		return c.String(http.StatusServiceUnavailable, reason+"\n")
	}
	return c.String(http.StatusOK, "ready\n")
}

// notReadyReason returns why the router is not ready, or "".
func (r *Router) notReadyReason() string {
	switch {
	case r.isUnready():
		return "stopping"
	case !r.config.Ready():
		return "no configuration"
	case !r.escrow.Ready():
		return "not registered"
	case !r.membersKnown.Load():
		return "targets not known"
	}
	return ""
}

// newServer returns the HTTP server with the limits from the settings. There is
// no deadline for a whole answer, because answers may stream for a long time;
// instead, each write has a deadline, which disconnects callers that stop
// reading.
func (r *Router) newServer() *http.Server {
	server := &http.Server{
		Handler:  callers.Handler(r.withConnectionClose(withWriteDeadline(r.newHandler()))),
		ErrorLog: slog.NewLogLogger(r.opts.Logger.Handler(), slog.LevelDebug),
	}
	r.callers.Configure(server)
	return server
}
