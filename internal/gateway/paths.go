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
	port   int64 // of the relays
	logger *slog.Logger

	mu       sync.Mutex
	selector *storepath.Selector
}

// NewStorePaths returns the paths to a store, with relays that listen on a port
// of the targets' hosts. Port 0 means that there are none.
func NewStorePaths(store string, relayPort int64, log *slog.Logger) *StorePaths {
	return &StorePaths{port: relayPort, logger: log, selector: storepath.New(store, rand.IntN)}
}

// Pick returns the address for a call. One that may probe tries a failed path
// now and then.
func (p *StorePaths) Pick(probe bool) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.selector.Pick(time.Now(), probe)
}

// Report notes the result of a call.
func (p *StorePaths) Report(address string, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	before := p.selector.UsesDirect()
	p.selector.Report(time.Now(), address, ok)
	if after := p.selector.UsesDirect(); after != before {
		p.logger.Info("path to the store", "direct", after)
	}
}

// setTargets derives the relays from the addresses of the targets. A target
// without a relay on its host drops out when a call to it fails.
func (p *StorePaths) setTargets(addresses []string) {
	if p.port == 0 {
		return
	}
	var relays []string
	for _, address := range addresses {
		if host, _, err := net.SplitHostPort(address); err == nil {
			relays = append(relays, net.JoinHostPort(host, strconv.FormatInt(p.port, 10)))
		}
	}
	slices.Sort(relays)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.selector.SetRelays(slices.Compact(relays))
}
