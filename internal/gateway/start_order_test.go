package gateway

import (
	"context"
	"log/slog"
	"slices"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"gotest.tools/v3/assert"

	"tarragonridge.example/tarragonridge/internal/core/feed"
	"tarragonridge.example/tarragonridge/internal/core/fleet"
	"tarragonridge.example/tarragonridge/internal/core/httproute"
	"tarragonridge.example/tarragonridge/internal/core/targets"
	"tarragonridge.example/tarragonridge/internal/prepaid"
)

// newStartedGateway returns a gateway that has read nothing yet.
func newStartedGateway(clock func() time.Time) *Gateway {
	logger := slog.New(slog.DiscardHandler)
	budgets := prepaid.New(prepaid.Options{Host: "a", Incarnation: "1", Logger: logger, Clock: clock, TableClock: unreadClock{}, Metrics: prepaid.NewMetrics(prometheus.NewRegistry())})
	return New(Options{Budgets: budgets, Logger: logger, Metrics: NewMetrics(), Host: "a", Incarnation: "1"})
}

// unreadClock is the clock of a table that has not answered.
type unreadClock struct{}

// LastReading implements prepaid.TableClock.
func (unreadClock) LastReading() (ms int64, sent, received time.Time) { return 0, sent, received }

func configOf(version int64, prepaidTotals map[string]int64) *httproute.Config {
	config := &httproute.Config{
		Version: version, Routes: []httproute.Route{{Name: "r", Resumable: true, Timeout: time.Minute}},
		Services: map[string]httproute.Service{"s": {Name: "s"}}, Teams: map[string]httproute.Team{},
	}
	for name, total := range prepaidTotals {
		config.Teams[name] = httproute.Team{Name: name, Prepaid: total}
	}
	return config
}

// Guards against requests that run without a charge, because the configuration that brings
// their team is in force before the team's budget.
func TestConfigurationIsNotInForceBeforeItsBudgets(t *testing.T) {
	var blocks atomic.Bool
	locked, release := make(chan struct{}), make(chan struct{})
	g := newStartedGateway(func() time.Time { // called while the budgets are locked
		if blocks.CompareAndSwap(true, false) {
			close(locked)
			<-release
		}
		return time.Now()
	})
	g.SetConfig(configOf(1, map[string]int64{"old": 1000}))
	blocks.Store(true)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go func() { _, _ = g.opt.Budgets.ReserveWithin(ctx, "old", prepaid.Need{Tokens: 1}) }()
	<-locked
	done := make(chan struct{})
	go func() { defer close(done); g.SetConfig(configOf(2, map[string]int64{"old": 1000, "new": 0})) }()
	time.Sleep(100 * time.Millisecond)
	version := g.config.Load().Version
	close(release)
	<-done
	assert.Equal(t, version, int64(1), "in force before the budget of the new team")
	assert.Equal(t, g.config.Load().Version, int64(2))
	assert.Assert(t, g.opt.Budgets.Inspect("new", 1).Limited)
}

// Guards against decisions from what was not read yet, in every order in which a gateway
// reads the configuration, the registrations and the fleet's rows: rows of others that are
// removed as if nobody needed them, and streams at two versions that are not recorded, because
// the versions came before the services.
func TestStartReadsInEveryOrder(t *testing.T) {
	const configuration, registrations, rows = "configuration", "registrations", "rows"
	reads := map[string]func(g *Gateway){
		configuration: func(g *Gateway) { g.SetConfig(configOf(1, nil)) },
		registrations: func(g *Gateway) {
			g.applyTargets(TargetChanges{Complete: true, Rows: []feed.Change[Registered]{
				registered(targets.Registration{ID: "1", Service: "s", Address: "127.0.0.1:1", Version: "v1"}),
				registered(targets.Registration{ID: "2", Service: "s", Address: "127.0.0.1:2", Version: "v2"}),
			}})
			g.recordTargetsRead(time.Now())
		},
		rows: func(g *Gateway) {
			g.applyFleet(fleet.Changes{Complete: true, Rows: []fleet.Row{{Key: fleet.LimitKey("other"), Value: []byte(`{"per_second":1}`)}}})
		},
	}
	for _, order := range [][]string{
		{configuration, registrations, rows}, {configuration, rows, registrations}, {registrations, configuration, rows},
		{registrations, rows, configuration}, {rows, configuration, registrations}, {rows, registrations, configuration},
	} {
		synctest.Test(t, func(t *testing.T) {
			g := newStartedGateway(time.Now)
			for i, next := range order {
				g.inspectFleet()
				time.Sleep(2 * minStreamRetention) // rows that seem unused would be removed
				if slices.Contains(order[:i], registrations) {
					g.recordTargetsRead(time.Now())
				}
				g.inspectFleet()
				assert.Assert(t, !g.mayRemoveRecords(), "after %q", order[:i])
				assert.Assert(t, !slices.Contains(g.removals(), fleet.LimitKey("other")), "after %q", order[:i])
				reads[next](g)
			}
			g.recordTargetsRead(time.Now())
			assert.Assert(t, g.mayRemoveRecords(), "%q", order)
			assert.Assert(t, g.severalVersions["s"], "%q", order)
		})
	}
}

// registered returns the change that registers a target.
func registered(r targets.Registration) feed.Change[Registered] {
	return feed.Change[Registered]{Key: r.ID, Value: Registered{Registration: r}}
}

// removals returns the keys of the rows that the gateway is about to remove.
func (g *Gateway) removals() (keys []string) {
	g.publications.mu.Lock()
	defer g.publications.mu.Unlock()
	for key, value := range g.publications.values {
		if value == nil {
			keys = append(keys, key)
		}
	}
	return keys
}
