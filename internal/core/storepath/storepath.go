// Package storepath chooses the path of calls to the platform's store: directly, or
// through a relay on another host while the direct path fails.
package storepath

import (
	"slices"
	"time"
)

// Timing of the choice.
const (
	// probeInterval is the least time between two calls that probe the direct path.
	probeInterval = time.Second
	// relayRetryDelay is how long a relay is not chosen after a failed call.
	relayRetryDelay = 3 * time.Second
)

// Selector chooses between the direct path and the relays. It is not safe for
// concurrent use.
type Selector struct {
	direct    string               // address of the store
	relays    []string             // addresses
	current   string               // direct or the address of a relay
	lastProbe time.Time            // last probe or failure of the direct path
	failedAt  map[string]time.Time // last failure by address, unless a call succeeded since
	randIntN  func(n int) int      // returns a random number below n
}

// New returns a selector that uses the direct path. randIntN must return a random
// number below n.
func New(direct string, randIntN func(n int) int) *Selector {
	return &Selector{direct: direct, current: direct, failedAt: map[string]time.Time{}, randIntN: randIntN}
}

// SetRelays replaces the relays. If the relay in use is not among them, the selector
// returns to the direct path.
func (s *Selector) SetRelays(addresses []string) {
	s.relays = addresses
	if s.current != s.direct && !slices.Contains(addresses, s.current) {
		s.current = s.direct
	}
}

// UsesDirect reports whether calls use the direct path.
func (s *Selector) UsesDirect() bool { return s.current == s.direct }

// Pick returns the address for a call. While a relay is in use, calls with mayProbe
// set try the direct path at most once per probeInterval.
func (s *Selector) Pick(now time.Time, mayProbe bool) string {
	if mayProbe && s.current != s.direct && now.Sub(s.lastProbe) >= probeInterval {
		s.lastProbe = now
		return s.direct
	}
	return s.current
}

// Report records the result of a call and switches to another path if the current
// one failed, or back to the direct path if that succeeded.
func (s *Selector) Report(now time.Time, address string, ok bool) {
	if ok {
		delete(s.failedAt, address)
		if address == s.direct {
			s.current = s.direct
		}
		return
	}
	s.failedAt[address] = now
	if address != s.current {
		return
	}
	if address == s.direct {
		s.lastProbe = now
	}
	if next := s.nextRelay(now); next != "" {
		s.current = next
		return
	}
	s.current = s.direct
}

// nextRelay returns a relay that has not failed recently, or "" if there is none.
func (s *Selector) nextRelay(now time.Time) string {
	var usable []string
	for _, r := range s.relays {
		if at, ok := s.failedAt[r]; !ok || now.Sub(at) >= relayRetryDelay {
			usable = append(usable, r)
		}
	}
	if len(usable) == 0 {
		return ""
	}
	return usable[s.randIntN(len(usable))]
}
