// Package gateway is the router's second entry point. It routes HTTP requests by
// host and path prefix and forwards them unchanged to the targets of a service. It
// holds the sockets and timers; the decisions are made in internal/core.
package gateway

import (
	"cmp"
	"context"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"tarragonridge.example/tarragonridge/internal/callers"
	"tarragonridge.example/tarragonridge/internal/core/admit"
	"tarragonridge.example/tarragonridge/internal/core/backlog"
	"tarragonridge.example/tarragonridge/internal/core/feed"
	"tarragonridge.example/tarragonridge/internal/core/fleet"
	"tarragonridge.example/tarragonridge/internal/core/httproute"
	"tarragonridge.example/tarragonridge/internal/core/intake"
	"tarragonridge.example/tarragonridge/internal/core/quarantine"
	"tarragonridge.example/tarragonridge/internal/core/retry"
	"tarragonridge.example/tarragonridge/internal/core/room"
	"tarragonridge.example/tarragonridge/internal/core/targets"
	"tarragonridge.example/tarragonridge/internal/logqueue"
	"tarragonridge.example/tarragonridge/internal/netcount"
	"tarragonridge.example/tarragonridge/internal/placement"
	"tarragonridge.example/tarragonridge/internal/platform"
	"tarragonridge.example/tarragonridge/internal/prepaid"
	"tarragonridge.example/tarragonridge/internal/upstream"
)

// RequestMeta is the information in a request's headers that the router uses.
type RequestMeta struct {
	RequestID         string
	TeamKey           string        // authenticates the team
	Model             string        // that the caller wants
	Deadline          time.Duration // how long the caller waits; 0 if not stated
	PromptTokens      int64
	OutputTokens      int64        // the most that the answer may have
	SharedPromptParts []PromptPart // prompt parts that others may share; excludes the request's own part
	LastEventID       int64        // -1 if the request does not resume a stream
	BegunBy           string       // ID of the request that brought the first event of a resumed stream, if the caller names it
}

// PromptPart is a part of a prompt.
type PromptPart struct {
	ID     string
	Tokens int64
}

// AttemptInfo is the information about an attempt that the target receives.
type AttemptInfo struct {
	Target      string // ID of the target that is to run it
	Team        string
	Priority    int // 0 to 9, 0 is the most urgent; -1 if not set
	TimeLeft    time.Duration
	ResumeAfter int64 // ID of the last event that the caller has; -1 to keep the caller's header
}

// AnswerInfo is the information about an attempt in the head of an answer.
type AnswerInfo struct {
	NotRun bool // the target states that it did not run the request
	Signed bool // the answer carries the target's signature
	// Unnamed says that the answer does not name the request that it answers. A copy of it
	// that comes late could not be told from the answer to another request.
	Unnamed bool
	// RequestLimit is the number of requests a second that the target accepts from all
	// routers together, targets.NoRequestLimit if it names none.
	RequestLimit float64
	Draining     bool          // the target is about to stop
	ColdFor      time.Duration // the target stays cold for so long; targets.ColdUnknown if it does not say
	TurnedAway   time.Duration // the target wants no request from this router for so long; 0 if it does not say so
	Invalid      int           // headers about the target whose values make no sense
}

// Codec translates headers between the gateway and the deployment platform.
type Codec interface {
	// ParseRequest decodes a caller's headers.
	ParseRequest(h http.Header) (RequestMeta, error)
	// AttemptHeaders returns the headers of an attempt, given those of the caller.
	AttemptHeaders(caller http.Header, a AttemptInfo) http.Header
	// ParseAnswer decodes the head of an answer. matches reports whether it answers
	// the request with the given ID.
	ParseAnswer(r *http.Response, requestID string) (info AnswerInfo, matches bool)
	// CallerHeaders returns the headers for the caller, given those of an answer.
	CallerHeaders(h http.Header) http.Header
	// StartRequest returns the head of the request that asks an engine for its start.
	StartRequest(address string) []byte
	// ParseStart decodes the answer: the Unix milliseconds of the start, 0 if the engine
	// does not tell them.
	ParseStart(status int, body []byte) (startedMS int64, err error)
}

// Options configures a Gateway.
type Options struct {
	Codec       Codec
	Budgets     *prepaid.Manager
	Paths       *StorePaths        // nil if the path to the store is fixed
	FleetTable  platform.Table     // for the rows of internal/core/fleet
	TableClock  prepaid.TableClock // orders crashes that different gateways see; nil if there is none
	Host        string             // this gateway's, unique in the fleet
	Incarnation string             // of this process
	Placement   *placement.Client  // nil if no relays tell the load of engines
	Retries     retry.Limits
	Logger      *slog.Logger
	Metrics     *Metrics
	Room        room.Limits // of the host; the zero value if nothing is watched
	// FailureDomain of this gateway. Too few gateways of one stay in rotation if all give
	// up their readiness at once.
	FailureDomain string
	StoreBytes    *netcount.Counter // of the connections to the store; nil if not counted
	GracePeriod   time.Duration     // from the stop signal to the end of the process
	// BacklogBytes bounds what is held for all callers that read slowly; 0 means
	// DefaultBacklogBytes.
	BacklogBytes int64
	// CallerBytes bounds what all callers make the process hold, with BacklogBytes; 0 means
	// DefaultCallerBytes.
	CallerBytes int64
	Descriptors intake.Descriptors // of the process
}

// DefaultBacklogBytes bounds what is held for callers that read slowly, unless the memory
// of the process is known.
const DefaultBacklogBytes = 64 << 20

// DefaultCallerBytes bounds what callers make the process hold, unless its memory is known.
const DefaultCallerBytes = 256 << 20

// Gateway serves callers. Create one with New.
type Gateway struct {
	opt          Options
	pool         *upstream.Pool
	room         *hostRoom // nil if nothing is watched
	backlogs     *backlog.Pool
	configMu     sync.Mutex                       // held while config is replaced
	config       atomic.Pointer[httproute.Config] // nil until the first one is read
	phase        atomic.Int32
	inProgress   atomic.Int64 // requests in progress
	stop         stopSchedule // set before phase becomes phaseDraining
	callers      *callers.Pool
	openRequests openRequests
	// Bounds of the log lines about requests that were not served.
	strangerLines, callerLines logqueue.Limit

	mu           sync.Mutex
	targetView   *targets.View
	turns        *turns
	retryBudgets map[string]*retry.Budget // by service
	parts        *suspects                // prompt parts that were in flight at crashes
	requests     *suspects                // whole requests
	background   quarantine.Background    // crashes of targets whatever was in flight
	brokenRuns   map[string]*brokenRuns   // by target
	leaveWatches map[*targets.Target]*leaveWatch
	fleet        *fleet.State
	streams      *fleet.Streams
	// severalVersions are the services whose streams are recorded, because targets of
	// several versions serve or served lately.
	severalVersions map[string]bool

	returnsMu sync.Mutex
	returns   admit.Returns // of refused callers

	orders        feed.Fold[*httproute.Config] // used by WatchConfig alone
	registrations feed.Fold[Registered]        // used by WatchTargets alone
	publications  publications
	activated     chan struct{} // signals that the fleet has become active
	records       streamRecords
	recordsDue    chan struct{} // signals that streams are to be recorded
	// versionsWritten is closed and replaced when the table has further rows of versions.
	versionsWritten chan struct{}
	targetsReadAt   time.Time // when the registrations were last known to be up to date
}

// Phases of the process.
const (
	phaseServing int32 = iota
	phaseDraining
	phaseClosing // the grace period is over; what is in progress is cut off
)

// New returns a gateway without a configuration. It answers requests with status
// 503 until it has one.
func New(o Options) *Gateway {
	hostRoom := newHostRoom(o.Room, o.StoreBytes)
	g := &Gateway{
		opt:          o,
		pool:         upstream.NewPool(upstream.Options{Bytes: hostRoom.targetBytes(), Dialed: hostRoom.observeDial}),
		room:         hostRoom,
		backlogs:     backlog.NewPool(cmp.Or(o.BacklogBytes, DefaultBacklogBytes)),
		targetView:   targets.NewView(rand.Uint64()),
		turns:        newTurns(),
		retryBudgets: map[string]*retry.Budget{},
		parts:        &suspects{PartTracker: quarantine.NewPartTracker(), subject: fleet.PromptParts, name: "prompt part"},
		requests:     &suspects{PartTracker: quarantine.NewRequestTracker(), subject: fleet.WholeRequests, name: "request"},
		brokenRuns:   map[string]*brokenRuns{},
		leaveWatches: map[*targets.Target]*leaveWatch{},
		fleet:        fleet.NewState(o.Host),
		streams:      fleet.NewStreams(o.Host, o.Incarnation),

		strangerLines:   logqueue.Limit{PerSecond: strangerLinesPerS, Burst: strangerLinesBurst},
		callerLines:     logqueue.Limit{PerSecond: callerLinesPerS, Burst: callerLinesBurst},
		severalVersions: map[string]bool{},
		publications:    newPublications(),
		activated:       make(chan struct{}, 1),
		recordsDue:      make(chan struct{}, 1),
		versionsWritten: make(chan struct{}),
	}
	g.callers = callers.NewPool(g.callerOptions())
	o.Metrics.Registry.MustRegister(g, g.callers)
	if hostRoom != nil {
		o.Metrics.Registry.MustRegister(hostRoom)
	}
	return g
}

// SetConfig applies a version of the configuration. Versions that are not newer
// than the current one are ignored. What requests are decided by besides the
// configuration is in force before it.
func (g *Gateway) SetConfig(config *httproute.Config) {
	g.configMu.Lock()
	defer g.configMu.Unlock()
	if old := g.config.Load(); old != nil && old.Version >= config.Version {
		return
	}
	totals := map[string]int64{}
	for name, t := range config.Teams {
		if t.Prepaid != httproute.Unlimited {
			totals[name] = t.Prepaid
		}
	}
	g.opt.Budgets.SetPrepaid(totals)
	g.setServices(config)
	g.config.Store(config)
	g.mu.Lock()
	g.recordStreams() // the versions may have been read before the services
	g.mu.Unlock()
	g.opt.Metrics.configVersion.Set(float64(config.Version))
	g.opt.Logger.Info("configuration in force", "version", config.Version, "routes", len(config.Routes), "teams", len(config.Teams))
}

// PutTarget adds or updates a target from its registration.
func (g *Gateway) PutTarget(registration targets.Registration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	restarted := g.targetView.Restarted(registration)
	newVersion := !g.targetView.HasVersion(registration.ServiceVersion())
	t := g.targetView.Put(registration)
	if g.fleetDraining(t) {
		g.setDraining(t, toldToOther)
	}
	if limit, ok := g.fleetLimit(t); ok {
		g.setLimit(t, limit, toldToOther)
	}
	g.setRegisteredCold(now, t, registration.ColdFor, restarted)
	if newVersion {
		g.fleet.ForgetUnusedVersion(registration.ServiceVersion())
		g.publishVersions()
		g.recordStreams()
	}
}

// MarkTargetMissing records that the registration of a target is gone.
func (g *Gateway) MarkTargetMissing(id string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.targetView.MarkMissing(time.Now(), id)
}

// RemoveMissingTargets removes the targets whose registration has been gone since
// before the given time.
func (g *Gateway) RemoveMissingTargets(before time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.targetView.SweepMissing(before)
}

// TargetIDs returns the IDs of the known targets.
func (g *Gateway) TargetIDs() []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.targetView.IDs()
}

// engineAddresses returns the addresses of the targets that are engines. Only
// hosts of engines run processes of this system, such as relays. Without a
// configuration all targets count as engines.
func (g *Gateway) engineAddresses() []string {
	config := g.config.Load()
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.targetView.Addresses(func(service string) bool { return config == nil || config.Services[service].Slots > 0 })
}

// Ready reports whether the gateway should get new connections.
func (g *Gateway) Ready() bool {
	return g.phase.Load() == phaseServing && g.config.Load() != nil && g.room.inRotation()
}

// ServeReady answers the readiness check of the load balancer.
func (g *Gateway) ServeReady(w http.ResponseWriter, _ *http.Request) {
	if !g.Ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

const (
	// idleCloseInterval is the pause between two scans that close the connections to
	// targets which have been idle for too long.
	idleCloseInterval = time.Second
)

// Serve serves callers until ctx ends, and then until the requests in progress
// have ended or the grace period is over.
func (g *Gateway) Serve(ctx context.Context, listener net.Listener) error {
	server := &http.Server{
		Handler:  http.HandlerFunc(g.ServeHTTP),
		ErrorLog: slog.NewLogLogger(g.opt.Logger.Handler(), slog.LevelDebug),
	}
	g.callers.Configure(server)
	done := make(chan error, 1)
	go func() { done <- server.Serve(g.callers.Listener(g.room.listen(listener))) }()
	idleTicker := time.NewTicker(idleCloseInterval)
	defer idleTicker.Stop()
	for {
		select {
		case err := <-done:
			return err
		case <-idleTicker.C:
			g.pool.CloseExpired()
			continue
		case <-ctx.Done():
		}
		break
	}
	g.drain(server, listener, done)
	return nil
}
