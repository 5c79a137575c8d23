package control

import (
	"context"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"tarragonridge.example/tarragonridge/internal/admin"
	"tarragonridge.example/tarragonridge/internal/configstore"
	"tarragonridge.example/tarragonridge/internal/core/policy"
	"tarragonridge.example/tarragonridge/internal/timing"
)

const (
	watchEvery    = 20 * time.Millisecond // resolution of the times of the routers
	changeTimeout = 20 * time.Second
)

// spread notes when each process has a version of the configuration.
type spread struct {
	mu   sync.Mutex
	seen map[string]arrival
}

type arrival struct {
	version int64
	at      time.Time
}

func (s *spread) note(name string, version int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.seen[name] = arrival{version: version, at: time.Now()}
}

// since returns the delays of the processes that have the version, and how
// many processes lack it.
func (s *spread) since(version int64, start time.Time, processes int) (delays []float64, missing int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, a := range s.seen {
		if a.version >= version {
			delays = append(delays, max(0, a.at.Sub(start).Seconds()))
		}
	}
	return delays, processes - len(delays)
}

// changer makes configuration changes and follows the routers' versions.
type changer struct {
	config Config
	spread *spread
	admin  *admin.Client
	store  *configstore.Store
	toggle bool
}

func newChanger(c Config, table *countingTable, s *spread) *changer {
	out := &changer{config: c, spread: s, store: configstore.New(configstore.Options{Table: table})}
	if c.Admin != "" {
		out.admin = admin.New(admin.Options{ServerURL: c.Admin, OperatorKey: c.OperatorKey})
	}
	return out
}

// change puts the other preset in force. Without hints it writes the change as
// a router would whose pushes are all lost.
func (c *changer) change(ctx context.Context) (int64, error) {
	c.toggle = !c.toggle
	preset := policy.PresetOrdinary
	if c.toggle {
		preset = policy.PresetPeak
	}
	if !c.config.Hints {
		return c.store.Change(ctx, configstore.AnyVersion, hostName, func(change *configstore.Change) error {
			change.Document.ActivePreset = preset
			return nil
		})
	}
	status, err := c.admin.ConfigStatus(ctx)
	if err != nil {
		return 0, err
	}
	accepted, err := c.admin.SetActivePreset(ctx, preset, status.Version)
	return accepted.Version, err
}

// timed makes one change and waits until every process has it.
func (c *changer) timed(ctx context.Context, processes int) ([]float64, int, error) {
	start := time.Now()
	version, err := c.change(ctx)
	if err != nil {
		return nil, 0, eris.Wrap(err, "change")
	}
	ctx, cancel := context.WithTimeout(ctx, changeTimeout)
	defer cancel()
	for {
		delays, missing := c.spread.since(version, start, processes)
		if missing == 0 || !timing.Sleep(ctx, watchEvery) {
			return delays, missing, nil
		}
	}
}

// watchRouters notes the versions of the routers until ctx ends.
func (c *changer) watchRouters(ctx context.Context) {
	known := map[string]int64{}
	for timing.Sleep(ctx, watchEvery) {
		for _, url := range c.config.Metrics {
			values, err := scrape(ctx, url)
			if err != nil {
				continue
			}
			version := int64(values[metricVersion])
			if version > known[url] {
				known[url] = version
				c.spread.note(url, version)
			}
		}
	}
}

// churn changes the configuration in each period until ctx ends.
func (c *changer) churn(ctx context.Context) (changes, failures int) {
	for timing.Sleep(ctx, c.config.ChangeEvery) {
		if _, err := c.change(ctx); err != nil {
			if ctx.Err() == nil {
				failures++
			}
			continue
		}
		changes++
	}
	return changes, failures
}
