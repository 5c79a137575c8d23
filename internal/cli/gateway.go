package cli

import (
	"context"
	"io"
	"log/slog"
	"net/http"
	"os"
	"os/signal"
	"runtime/debug"
	"sync"
	"syscall"
	"time"

	"github.com/oklog/ulid/v2"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"tarragonridge.example/tarragonridge/internal/callers"
	"tarragonridge.example/tarragonridge/internal/core/intake"
	"tarragonridge.example/tarragonridge/internal/core/retry"
	"tarragonridge.example/tarragonridge/internal/core/room"
	"tarragonridge.example/tarragonridge/internal/gateway"
	"tarragonridge.example/tarragonridge/internal/listen"
	"tarragonridge.example/tarragonridge/internal/logqueue"
	"tarragonridge.example/tarragonridge/internal/netcount"
	"tarragonridge.example/tarragonridge/internal/placement"
	"tarragonridge.example/tarragonridge/internal/platform"
	"tarragonridge.example/tarragonridge/internal/prepaid"
	"tarragonridge.example/tarragonridge/internal/settings"
	adapter "tarragonridge.example/tarragonridge/platform"
)

// gatewayCmd runs a gateway until SIGTERM or SIGINT.
type gatewayCmd struct {
	settingsFlags
}

const (
	// memoryLimitFraction is the fraction of the platform's memory limit that the
	// Go runtime may use. The rest is for socket buffers and the binary itself.
	memoryLimitFraction = 0.6
	// callersDivisor gives the part of the process's memory that callers may make it hold:
	// connections, requests, and answers that they have not read. The soft limit of the
	// runtime has room for it and for what the process needs by itself.
	callersDivisor = 3
	// backlogDivisor gives the part that may be held for callers that read slowly.
	backlogDivisor = 4
	// budgetCloseMargin is how long before the end of the grace period the process
	// gives up handing back its budgets.
	budgetCloseMargin = 200 * time.Millisecond
)

// Run runs the gateway.
func (c *gatewayCmd) Run(s *Streams) error {
	surviveBrokenLog()
	// SIGHUP stays caught until the process ends: its default action would end a gateway
	// that starts or stops.
	reloads := make(chan os.Signal, 1)
	signal.Notify(reloads, syscall.SIGHUP)
	cfg, err := c.load()
	if err != nil {
		return err
	}
	queue := logqueue.New(s.Err)
	defer queue.Close()
	log, level := newAdjustableLogger(queue, cfg.LogLevel)
	setMemoryLimit(cfg.Limits.MemoryMB)
	ctx, stop := signalContext()
	defer stop()
	go c.reloadOn(reloads, log, level)
	return runGateway(ctx, *cfg, log, queue)
}

func (c *gatewayCmd) load() (*settings.Gateway, error) {
	overrides, err := c.overrides()
	if err != nil {
		return nil, err
	}
	return settings.LoadGateway(c.Config, overrides...)
}

// newAdjustableLogger returns a logger that writes one line of key=value pairs
// per event, and the variable that sets its level.
func newAdjustableLogger(w io.Writer, levelName string) (*slog.Logger, *slog.LevelVar) {
	level := &slog.LevelVar{}
	setLogLevel(level, levelName)
	return slog.New(slog.NewTextHandler(w, &slog.HandlerOptions{Level: level})), level
}

// setMemoryLimit sets the Go runtime's soft memory limit below the platform's
// limit. 0 megabytes mean no limit.
func setMemoryLimit(megabytes int64) {
	if megabytes > 0 {
		debug.SetMemoryLimit(int64(memoryLimitFraction * float64(megabytes<<20)))
	}
}

// setLogLevel sets the level by its name.
func setLogLevel(level *slog.LevelVar, levelName string) {
	var parsed slog.Level
	if err := parsed.UnmarshalText([]byte(levelName)); err == nil { // validated settings have a known name
		level.Set(parsed)
	}
}

// reloadOn reads the settings again at each signal and applies the log level, also while
// the gateway stops. All other settings need a restart.
func (c *gatewayCmd) reloadOn(signals <-chan os.Signal, log *slog.Logger, level *slog.LevelVar) {
	for range signals {
		cfg, err := c.load()
		if err != nil {
			log.Error("settings could not be reloaded", "err", err)
			continue
		}
		setLogLevel(level, cfg.LogLevel)
		log.Info("settings reloaded")
	}
}

// runGateway serves until ctx ends, and then hands back the budgets within the
// grace period.
func runGateway(ctx context.Context, cfg settings.Gateway, log *slog.Logger, queue *logqueue.Writer) error {
	started := time.Now()
	storePaths := gateway.NewStorePaths(cfg.Store.Address, cfg.Store.RelayPort, log)
	store := adapter.NewStore(storePaths)
	storeBytes := &netcount.Counter{}
	store.CountBytes(storeBytes)
	metrics := gateway.NewMetrics()
	metrics.CountDroppedLines(queue.Dropped)
	instrumented := platform.NewInstrumentedTable(store, metrics.Registry)
	table := platform.NewContentGuard(instrumented, store.Era)
	incarnation := ulid.Make().String()
	budgets := prepaid.New(prepaid.Options{
		Table: table, Host: cfg.Host, Incarnation: incarnation, Stripes: cfg.Store.Stripes(), Logger: log, Clock: time.Now,
		TableClock: store, Eras: store, OldestCopy: cfg.Budgets.OldestCopy(), Started: started, Sleep: time.Sleep,
		Metrics: prepaid.NewMetrics(metrics.Registry),
	})
	budgets.Export(metrics.Registry)
	var placements *placement.Client
	if cfg.Store.RelayPort > 0 && !cfg.Placement.Disabled {
		var err error
		if placements, err = placement.NewClient(int(cfg.Store.RelayPort), log, metrics.Registry); err != nil {
			return err
		}
		defer placements.Close()
		go placements.Run()
	}
	descriptors := intake.Descriptors{Limit: openFiles(cfg.Limits.Descriptors), SideListeners: 2}
	g := gateway.New(gateway.Options{
		Codec: adapter.Headers{}, Budgets: budgets, Paths: storePaths, Logger: log, Metrics: metrics, GracePeriod: cfg.GracePeriod(),
		FleetTable: instrumented, TableClock: store, Placement: placements, Host: cfg.Host, Incarnation: incarnation,
		Room: roomLimits(cfg.Limits), FailureDomain: cfg.FailureDomain, StoreBytes: storeBytes, BacklogBytes: cfg.Limits.MemoryMB << 20 / backlogDivisor,
		CallerBytes: cfg.Limits.MemoryMB << 20 / callersDivisor, Descriptors: descriptors,
		Retries: retry.Limits{Ratio: cfg.Retries.Ratio, Slack: cfg.Retries.Slack, Window: cfg.Retries.Window()},
	})
	listener, err := listen.TCP(cfg.Listen.Callers, listen.CallerBuffer)
	if err != nil {
		return err
	}
	sideListeners := []sideListener{{"ready", cfg.Listen.Ready, http.HandlerFunc(g.ServeReady)}}
	if cfg.Listen.Metrics != "" {
		operators := http.NewServeMux()
		operators.Handle("/", promhttp.HandlerFor(metrics.Registry, promhttp.HandlerOpts{MaxRequestsInFlight: callers.MaxMetricsReads}))
		operators.Handle(gateway.WherePath, g.WhereHandler())
		sideListeners = append(sideListeners, sideListener{"metrics", cfg.Listen.Metrics, operators})
	}
	for _, l := range sideListeners {
		if err := l.serve(descriptors, log, metrics.Registry); err != nil {
			return err
		}
	}
	tasksCtx, stopTasks := context.WithCancel(context.Background())
	defer stopTasks()
	var tasks sync.WaitGroup
	tasks.Go(func() { g.WatchConfig(tasksCtx, store) })
	tasks.Go(func() { g.WatchTargets(tasksCtx, store) })
	tasks.Go(func() { g.WatchFleet(tasksCtx, store) })
	tasks.Go(func() { g.PublishFleet(tasksCtx) })
	tasks.Go(func() { g.RecordStreams(tasksCtx) })
	tasks.Go(func() { g.WatchRoom(tasksCtx) })
	tasks.Go(func() { budgets.Run(tasksCtx) })
	log.Info("started", "host", cfg.Host, "callers", cfg.Listen.Callers)
	closeDeadline := make(chan time.Time, 1)
	context.AfterFunc(ctx, func() { closeDeadline <- time.Now().Add(cfg.GracePeriod() - budgetCloseMargin) })
	if err := g.Serve(ctx, listener); err != nil {
		return err
	}
	stopTasks()
	closeCtx, cancel := context.WithDeadline(context.Background(), <-closeDeadline)
	defer cancel()
	ended := make(chan struct{})
	go func() { tasks.Wait(); close(ended) }()
	select {
	case <-ended:
	case <-closeCtx.Done():
		log.Warn("stopped without returning the budget shares: the store does not answer")
		return nil
	}
	g.LeaveFleet(closeCtx)
	budgets.Close(closeCtx)
	log.Info("stopped")
	return nil
}

// roomLimits returns the limits that the gateway watches: none unless a limit other than
// that of the memory is set.
func roomLimits(l settings.GatewayLimits) room.Limits {
	if l.LinkMbps == 0 && l.ProcessorShare == 0 && l.Descriptors == 0 {
		return room.Limits{}
	}
	return room.Limits{
		LinkBytesPerS: l.LinkBytesPerS(), Processor: l.ProcessorShare, Descriptors: l.Descriptors,
		MemoryBytes: int64(memoryLimitFraction * float64(l.MemoryMB<<20)),
	}
}
