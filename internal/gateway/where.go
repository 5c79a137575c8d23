package gateway

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"tarragonridge.example/tarragonridge/internal/callers"
	"tarragonridge.example/tarragonridge/internal/core/errkind"
	coreplacement "tarragonridge.example/tarragonridge/internal/core/placement"
	"tarragonridge.example/tarragonridge/internal/core/targets"
	"tarragonridge.example/tarragonridge/internal/httpapi"
)

// WherePath is the path of WhereHandler on the metrics address.
const WherePath = "/where"

// maxWhereBytes bounds the description of a request.
const maxWhereBytes = 1 << 20

// WhereRequest describes a request that a caller might send.
type WhereRequest struct {
	Host   string              `json:"host"`
	URI    string              `json:"uri"` // path and query
	Header map[string][]string `json:"header"`
	Body   string              `json:"body"` // decides only whether the request is quarantined
}

// Decision is what would become of a request.
type Decision string

// Decisions.
const (
	DecisionSend   Decision = "send"   // to the first of the targets
	DecisionWait   Decision = "wait"   // until a target or the budget has room
	DecisionRefuse Decision = "refuse" // with the status and kind
)

// Where tells where a request would go now, and why.
type Where struct {
	Decision Decision          `json:"decision"`
	Reasons  []string          `json:"reasons"` // in the order in which they were examined
	Status   int               `json:"status,omitempty"`
	Kind     errkind.Kind      `json:"kind,omitempty"`
	RetryMS  int64             `json:"retry_after_ms,omitempty"`
	Host     string            `json:"host"` // of the gateway
	Config   int64             `json:"config_version"`
	Route    string            `json:"route,omitempty"`
	Team     string            `json:"team,omitempty"`
	Service  string            `json:"service,omitempty"`
	Tokens   int64             `json:"tokens,omitempty"` // that would be reserved
	Targets  []targets.Preview `json:"targets,omitempty"`
}

func (w *Where) because(reason string) { w.Reasons = append(w.Reasons, reason) }

func (w *Where) refuse(err *errkind.Error) *Where {
	answer := err.Response()
	w.Decision, w.Status, w.Kind, w.RetryMS = DecisionRefuse, answer.Status, err.Kind, err.RetryAfter.Milliseconds()
	w.because(err.Detail)
	return w
}

// Where returns what would become of a request now. It sends nothing and takes neither
// tokens nor a permit nor a probe of a target.
func (g *Gateway) Where(wr WhereRequest) *Where {
	where := &Where{Decision: DecisionSend, Host: g.opt.Host}
	if config := g.config.Load(); config != nil {
		where.Config = config.Version
	}
	req := newRequest(time.Now())
	r := &http.Request{Host: wr.Host, RequestURI: wr.URI, Header: http.Header{}}
	for name, values := range wr.Header {
		r.Header[http.CanonicalHeaderKey(name)] = values
	}
	err := g.identify(r, req)
	if req.route != nil {
		where.Route, where.Team = req.route.Name, req.team.Name
		where.because("route " + req.route.Name + " has the longest prefix of the path")
	}
	if err != nil {
		return where.refuse(errkind.From(err))
	}
	req.body = callers.Body{[]byte(wr.Body)}
	g.classify(r, req)
	where.Service = req.service.Name
	if err := g.checkQuarantine(req); err != nil {
		return where.refuse(errkind.From(err))
	}
	if refusal := g.inspectRoom(req, int64(len(wr.Body)), where); refusal != nil {
		return where.refuse(refusal)
	}
	g.inspectBudget(req, where)
	return g.inspectTargets(req, where)
}

// inspectRoom tells whether this host has room for the request, and returns the refusal if
// it has none.
func (g *Gateway) inspectRoom(req *request, bodyBytes int64, where *Where) *errkind.Error {
	if g.room == nil {
		return nil
	}
	e := g.newEntry(req, bodyBytes)
	g.room.mu.Lock()
	fit := g.room.fit(time.Now(), e)
	g.room.mu.Unlock()
	switch {
	case fit.Refuse:
		return errkind.New(errkind.NoRoom, "%s of this host: %d ms to wait", fit.Resource, fit.Wait.Milliseconds())
	case fit.Wait > 0:
		where.because(fmt.Sprintf("waits %d ms for the link of this host", fit.Wait.Milliseconds()))
	default:
		where.because("this host has room")
	}
	return nil
}

// inspectBudget tells whether the budget covers the request.
func (g *Gateway) inspectBudget(req *request, where *Where) {
	where.Tokens = req.reservedTokens()
	if where.Tokens == 0 {
		where.because("no tokens are reserved")
		return
	}
	switch coverage := g.opt.Budgets.Inspect(req.team.Name, where.Tokens); {
	case !coverage.Limited:
		where.because("the team has no budget")
	case coverage.Covered:
		where.because("the share covers it: " + coverage.Detail)
	default:
		where.Decision = DecisionWait
		where.because("the share does not cover it: " + coverage.Detail)
	}
}

// inspectTargets tells which targets the request would find.
func (g *Gateway) inspectTargets(req *request, where *Where) *Where {
	now, q := time.Now(), g.targetQuery(req)
	g.mu.Lock()
	where.Targets = g.targetView.Preview(now, q)
	reasons := g.targetView.Reasons(now, q)
	wait, waits := g.targetView.Wait(now, q)
	g.mu.Unlock()
	where.because("targets: " + reasons.String())
	switch {
	case len(where.Targets) > 0 && where.Targets[0].Reason.Choosable():
		switch {
		case q.PrefixHash != 0 && g.placeable(req) && reasons[targets.ReasonNone] > 1:
			where.because(fmt.Sprintf("the relays of the first %d are asked which engine reads the prompt first", coreplacement.Candidates))
		case q.PrefixHash != 0:
			where.because("the first has the most affinity to the prompt")
		default:
			where.because("the first has the fewest requests of this gateway")
		}
		return where
	case waits && wait <= req.route.LatencyObjective/targetWaitDivisor:
		where.Decision, where.RetryMS = DecisionWait, wait.Milliseconds()
		where.because("a target takes it in " + wait.Round(time.Millisecond).String())
		return where
	}
	e := errkind.New(errkind.NoTarget, "no target of %s takes it", req.service.Name)
	if waits {
		e.RetryAfter = wait
	}
	return where.refuse(e)
}

// WhereHandler returns the handler of WherePath, for operators only.
func (g *Gateway) WhereHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc(WherePath, g.serveWhere)
	return mux
}

// serveWhere answers with a Where for the WhereRequest in the body.
func (g *Gateway) serveWhere(w http.ResponseWriter, r *http.Request) {
	if r.Method != http.MethodPost {
		httpapi.WriteProblem(w, errkind.New(errkind.MethodNotAllowed, "use POST"), "")
		return
	}
	var wr WhereRequest
	err := httpapi.DecodeJSON(w, r, maxWhereBytes, &wr)
	if err == nil && (wr.Host == "" || wr.URI == "" || wr.URI[0] != '/') {
		err = errkind.New(errkind.InvalidRequest, "host and uri are required; uri begins with a slash")
	}
	if err != nil {
		httpapi.WriteProblem(w, errkind.From(err), "")
		return
	}
	body, err := json.MarshalIndent(g.Where(wr), "", "  ")
	if err != nil {
		httpapi.WriteProblem(w, errkind.From(err), "")
		return
	}
	w.Header().Set("Content-Type", "application/json")
	if _, err := w.Write(body); err != nil {
		g.opt.Logger.Debug("asker left before its answer was sent", "err", err)
	}
}
