// Package platform is a stand-in for the platform, for tests and local runs: the
// table, object store, host list and weight store over HTTP, with rate limits and
// fault injection. docs/platform-protocol.md describes the protocol.
package platform

import (
	"context"
	"log/slog"
	"math"
	"net/http"
	"sync"
	"time"

	"github.com/labstack/echo/v5"
	"golang.org/x/time/rate"

	"tarragonridge.example/tarragonridge/internal/platform"
)

// Defaults of Options.
const (
	DefaultWritesPerSecond  = 500
	DefaultReadsPerSecond   = 2000
	DefaultWeightsPerSecond = 2
)

const (
	maxBodyBytes      = 16 << 20 // of a request
	maxScanRows       = 1000     // largest limit of a scan
	burstSeconds      = 0.1      // burst size of a rate limiter, as the number of seconds of its rate
	retryAfterSeconds = "1"
)

// Options configure a Server.
type Options struct {
	WritesPerSecond  float64               // limit of table commits and object puts; DefaultWritesPerSecond if 0
	ReadsPerSecond   float64               // limit of all other calls except weights; DefaultReadsPerSecond if 0
	WeightsPerSecond float64               // limit of weights calls; DefaultWeightsPerSecond if 0
	Hosts            []platform.Host       // initial host list
	HostLag          time.Duration         // delay until readers see an edit of the host list
	Weights          []platform.Weights    // contents of the weight store
	Table            *platform.MemoryTable // a new table if nil
	Log              *slog.Logger          // slog.Default() if nil
}

// Server is the platform stand-in.
type Server struct {
	table      *platform.MemoryTable
	objects    objectStore
	hosts      *hostList
	weights    map[string]platform.Weights
	faults     *faultTable
	stats      counters
	rateLimits rateLimits
	log        *slog.Logger
	echo       *echo.Echo
	ctx        context.Context // ends with Close
	cancel     context.CancelFunc
	lateWrites sync.WaitGroup // waiting for their delay or being applied
}

type rateLimits struct{ reads, writes, weights *rate.Limiter }

// New returns a server without an active fault.
func New(o Options) *Server {
	if o.Table == nil {
		o.Table = platform.NewMemoryTable()
	}
	if o.Log == nil {
		o.Log = slog.Default()
	}
	ctx, cancel := context.WithCancel(context.Background())
	s := &Server{
		table:   o.Table,
		objects: objectStore{data: map[string][]byte{}},
		hosts:   newHostList(o.Hosts, o.HostLag),
		weights: map[string]platform.Weights{},
		faults:  newFaultTable(),
		rateLimits: rateLimits{
			reads:   newLimiter(o.ReadsPerSecond, DefaultReadsPerSecond),
			writes:  newLimiter(o.WritesPerSecond, DefaultWritesPerSecond),
			weights: newLimiter(o.WeightsPerSecond, DefaultWeightsPerSecond),
		},
		log:    o.Log,
		ctx:    ctx,
		cancel: cancel,
	}
	for _, w := range o.Weights {
		s.weights[w.Model] = w
	}
	s.routes()
	return s
}

func newLimiter(perSecond, fallback float64) *rate.Limiter {
	if perSecond <= 0 {
		perSecond = fallback
	}
	return rate.NewLimiter(rate.Limit(perSecond), int(math.Ceil(perSecond*burstSeconds)))
}

func (s *Server) routes() {
	e := echo.New()
	e.Logger = s.log
	read := s.guard(false, s.rateLimits.reads)
	write := s.guard(true, s.rateLimits.writes)
	e.POST("/v1/table/get", s.tableGet, read)
	e.POST("/v1/table/scan", s.tableScan, read)
	e.POST("/v1/table/commit", s.tableCommit, write)
	e.GET("/v1/objects/*", s.objectGet, read)
	e.PUT("/v1/objects/*", s.objectPut, write)
	e.GET("/v1/hosts", s.hostList, read)
	e.GET("/v1/weights/:model", s.weightsGet, s.guard(false, s.rateLimits.weights))
	e.POST("/control/fault", s.controlFault)
	e.POST("/control/hosts", s.controlHosts)
	e.GET("/control/stats", s.controlStats)
	s.echo = e
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.echo.ServeHTTP(w, r) }

// SetFault sets a fault, as POST /control/fault does.
func (s *Server) SetFault(f Fault) error {
	if err := f.Validate(); err != nil {
		return err
	}
	s.faults.set(f)
	s.log.Info("fault set", "mode", f.Mode, "delay_ms", f.DelayMS, "count", f.Count, "hosts", f.Hosts)
	return nil
}

// Table returns the server's table. Calls of it are subject to neither faults nor
// rate limits.
func (s *Server) Table() *platform.MemoryTable { return s.table }

// Close cancels the late writes that are still waiting for their delay and waits
// for those that are being applied.
func (s *Server) Close() {
	s.cancel()
	s.lateWrites.Wait()
}
