package cli

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"net"
	"net/http"
	"os"
	"os/signal"
	"runtime/debug"
	"sync"
	"syscall"
	"time"

	"github.com/oklog/ulid/v2"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"tarragonridge.example/tarragonridge/internal/core/retry"
	"tarragonridge.example/tarragonridge/internal/gateway"
	"tarragonridge.example/tarragonridge/internal/logqueue"
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
	// memoryShare is the part of the platform's memory limit that the runtime
	// may use. The rest is for bytes in sockets and the binary itself.
	memoryShare = 0.6
	// exitMargin is left of the grace when the hand-over of the budgets is given
	// up.
	exitMargin = 200 * time.Millisecond
)

// Run runs the gateway.
func (c *gatewayCmd) Run(s *Streams) error {
	cfg, err := c.load()
	if err != nil {
		return err
	}
	queue := logqueue.New(s.Err)
	defer queue.Close()
	log, level := newLeveledLogger(queue, cfg.LogLevel)
	limitMemory(cfg.Limits.MemoryMB)
	ctx, stop := signalContext()
	defer stop()
	go c.reloadOnHangup(ctx, log, level)
	return runGateway(ctx, *cfg, log, queue)
}

func (c *gatewayCmd) load() (*settings.Gateway, error) {
	overrides, err := c.overrides()
	if err != nil {
		return nil, err
	}
	return settings.LoadGateway(c.Config, overrides...)
}

// newLeveledLogger writes one line of key=value pairs per event. The level can
// change.
func newLeveledLogger(w io.Writer, name string) (*slog.Logger, *slog.LevelVar) {
	level := &slog.LevelVar{}
	setLevel(level, name)
	return slog.New(slog.NewTextHandler(w, &slog.HandlerOptions{Level: level})), level
}

// limitMemory keeps the runtime below the platform's limit.
func limitMemory(megabytes int64) {
	if megabytes > 0 {
		debug.SetMemoryLimit(int64(memoryShare * float64(megabytes<<20)))
	}
}

func setLevel(v *slog.LevelVar, name string) {
	var l slog.Level
	if err := l.UnmarshalText([]byte(name)); err == nil { // the check of the settings admits known names only
		v.Set(l)
	}
}

// reloadOnHangup reads the settings again at SIGHUP. The log level is taken
// over at once; addresses and limits need a restart.
func (c *gatewayCmd) reloadOnHangup(ctx context.Context, log *slog.Logger, level *slog.LevelVar) {
	hangup := make(chan os.Signal, 1)
	signal.Notify(hangup, syscall.SIGHUP)
	defer signal.Stop(hangup)
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangup:
		}
		cfg, err := c.load()
		if err != nil {
			log.Error("settings not reloaded", "err", err)
			continue
		}
		setLevel(level, cfg.LogLevel)
		log.Info("settings reloaded")
	}
}

func runGateway(ctx context.Context, cfg settings.Gateway, log *slog.Logger, queue *logqueue.Writer) error {
	started := time.Now()
	paths := gateway.NewStorePaths(cfg.Store.Address, cfg.Store.RelayPort, log)
	store := adapter.NewStore(paths)
	metrics := gateway.NewMetrics()
	metrics.CountDroppedLines(queue.Dropped)
	table := platform.NewInstrumentedTable(store, metrics.Registry)
	budgets := prepaid.New(prepaid.Options{
		Table: table, Host: cfg.Host, Incarnation: ulid.Make().String(), Logger: log, Clock: time.Now,
		TableClock: store, Started: started, Sleep: time.Sleep,
		Metrics: prepaid.NewMetrics(metrics.Registry),
	})
	budgets.Export(metrics.Registry)
	g := gateway.New(gateway.Options{
		Codec: adapter.Headers{}, Budgets: budgets, Paths: paths, Table: table, Logger: log, Metrics: metrics, GracePeriod: cfg.GracePeriod(),
		Retries: retry.Limits{Ratio: cfg.Retries.Ratio, Slack: cfg.Retries.Slack, Window: cfg.Retries.Window()},
	})
	callers, err := net.Listen("tcp", cfg.Listen.Callers)
	if err != nil {
		return err
	}
	sides := []side{{cfg.Listen.Ready, http.HandlerFunc(g.ServeReady)}}
	if cfg.Listen.Metrics != "" {
		sides = append(sides, side{cfg.Listen.Metrics, promhttp.HandlerFor(metrics.Registry, promhttp.HandlerOpts{})})
	}
	for _, s := range sides {
		if err := s.serve(log); err != nil {
			return err
		}
	}
	work, stopWork := context.WithCancel(context.Background())
	defer stopWork()
	var tasks sync.WaitGroup
	tasks.Go(func() { g.WatchConfig(work, store) })
	tasks.Go(func() { g.WatchTargets(work, store) })
	tasks.Go(func() { g.WatchCrashes(work, store) })
	tasks.Go(func() { budgets.Run(work) })
	log.Info("started", "host", cfg.Host, "callers", cfg.Listen.Callers)
	stopBy := make(chan time.Time, 1)
	context.AfterFunc(ctx, func() { stopBy <- time.Now().Add(cfg.GracePeriod() - exitMargin) })
	if err := g.Serve(ctx, callers); err != nil {
		return err
	}
	stopWork()
	tasks.Wait()
	closing, cancel := context.WithDeadline(context.Background(), <-stopBy)
	defer cancel()
	budgets.Close(closing)
	log.Info("stopped")
	return nil
}

// side is a listener beside the callers'.
type side struct {
	address string
	handler http.Handler
}

// sideTimeout bounds the reading of a header on a side listener.
const sideTimeout = 5 * time.Second

func (s side) serve(log *slog.Logger) error {
	ln, err := net.Listen("tcp", s.address)
	if err != nil {
		return err
	}
	server := &http.Server{Handler: s.handler, ReadHeaderTimeout: sideTimeout}
	go func() {
		if err := server.Serve(ln); err != nil && !errors.Is(err, http.ErrServerClosed) {
			log.Error("side listener ended", "address", s.address, "err", err)
		}
	}()
	return nil
}
