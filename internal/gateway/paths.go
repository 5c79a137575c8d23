package gateway

import (
	"log/slog"
	"math/rand/v2"
	"net"
	"slices"
	"strconv"
	"sync"
	"time"

	"tarragonridge.example/tarragonridge/internal/core/storepath"
)

// StorePaths chooses the path of each call to the store. It is safe for
// concurrent use.
type StorePaths struct {
	relayPort int64 // 0 if there are no relays
	logger    *slog.Logger

	mu       sync.Mutex
	selector *storepath.Selector
}

// NewStorePaths returns the paths to the store with the given address: the direct
// one, and relays that listen on relayPort of the targets' hosts. Port 0 means that
// there are no relays.
func NewStorePaths(store string, relayPort int64, log *slog.Logger) *StorePaths {
	return &StorePaths{relayPort: relayPort, logger: log, selector: storepath.New(store, rand.IntN)}
}

// Pick returns the address for a call. probe says that the call may
// try a path that has failed, which happens from time to time.
func (p *StorePaths) Pick(probe bool) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.selector.Pick(time.Now(), probe)
}

// Report records the result of a call and logs a change of the path.
func (p *StorePaths) Report(address string, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	before := p.selector.UsesDirect()
	p.selector.Report(time.Now(), address, ok)
	if after := p.selector.UsesDirect(); after != before {
		p.logger.Info("path to the store", "direct", after)
	}
}

// setTargets derives the relays' addresses from those of the targets. If a host has
// no relay, its address is avoided after the first failed call.
func (p *StorePaths) setTargets(addresses []string) {
	if p.relayPort == 0 {
		return
	}
	var relays []string
	for _, address := range addresses {
		if host, _, err := net.SplitHostPort(address); err == nil {
			relays = append(relays, net.JoinHostPort(host, strconv.FormatInt(p.relayPort, 10)))
		}
	}
	slices.Sort(relays)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.selector.SetRelays(slices.Compact(relays))
}
