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
	versionPollInterval = 20 * time.Millisecond // resolution of the delays measured at routers
	changeTimeout       = 20 * time.Second      // longest wait until every process has received a change
)

// versionTracker records the latest configuration version of each process and
// when it was received.
type versionTracker struct {
	mu              sync.Mutex
	latestByProcess map[string]receivedVersion
}

type receivedVersion struct {
	version    int64
	receivedAt time.Time
}

func (t *versionTracker) record(name string, version int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.latestByProcess[name] = receivedVersion{version: version, receivedAt: time.Now()}
}

// delaysSince returns the delays in seconds, counted from start, of the processes
// that have received the version or a later one, and the number of the other
// processes.
func (t *versionTracker) delaysSince(version int64, start time.Time, totalProcesses int) (delays []float64, missing int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, received := range t.latestByProcess {
		if received.version >= version {
			delays = append(delays, max(0, received.receivedAt.Sub(start).Seconds()))
		}
	}
	return delays, totalProcesses - len(delays)
}

// configChanger changes the configuration and watches the versions of the
// routers.
type configChanger struct {
	config     Config
	versions   *versionTracker
	admin      *admin.Client
	store      *configstore.Store
	peakActive bool
}

func newConfigChanger(c Config, table *countingTable, versions *versionTracker) *configChanger {
	changer := &configChanger{config: c, versions: versions, store: configstore.New(configstore.Options{Table: table})}
	if c.Admin != "" {
		changer.admin = admin.New(admin.Options{ServerURL: c.Admin, OperatorKey: c.OperatorKey})
	}
	return changer
}

// applyChange switches between the presets ordinary and peak and returns the new
// configuration version. Without hints it writes to the table directly, as if a
// router had made the change and all its pushes were lost.
func (c *configChanger) applyChange(ctx context.Context) (int64, error) {
	c.peakActive = !c.peakActive
	preset := policy.PresetOrdinary
	if c.peakActive {
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

// measureChange makes one change and waits until every process has received it
// or changeTimeout has passed. It returns the delays of the processes that have
// received the change and the number of the others.
func (c *configChanger) measureChange(ctx context.Context, totalProcesses int) ([]float64, int, error) {
	start := time.Now()
	version, err := c.applyChange(ctx)
	if err != nil {
		return nil, 0, eris.Wrap(err, "change")
	}
	ctx, cancel := context.WithTimeout(ctx, changeTimeout)
	defer cancel()
	for {
		delays, missing := c.versions.delaysSince(version, start, totalProcesses)
		if missing == 0 || !timing.Sleep(ctx, versionPollInterval) {
			return delays, missing, nil
		}
	}
}

// watchRouters polls and records the configuration versions of the routers until
// ctx ends.
func (c *configChanger) watchRouters(ctx context.Context) {
	knownVersions := map[string]int64{}
	for timing.Sleep(ctx, versionPollInterval) {
		for _, url := range c.config.Metrics {
			values, err := scrape(ctx, url)
			if err != nil {
				continue
			}
			version := int64(values[metricConfigVersion])
			if version > knownVersions[url] {
				knownVersions[url] = version
				c.versions.record(url, version)
			}
		}
	}
}

// changePeriodically changes the configuration every ChangeEvery until ctx ends.
func (c *configChanger) changePeriodically(ctx context.Context) (changes, failures int) {
	for timing.Sleep(ctx, c.config.ChangeEvery) {
		if _, err := c.applyChange(ctx); err != nil {
			if ctx.Err() == nil {
				failures++
			}
			continue
		}
		changes++
	}
	return changes, failures
}
