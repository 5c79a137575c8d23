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
	directAddress     string // address of the store
	relayAddresses    []string
	currentAddress    string               // directAddress or the address of a relay
	lastDirectProbeAt time.Time            // last probe or failure of the direct path
	failedAt          map[string]time.Time // last failure by address, unless a call succeeded since
	randIntN          func(n int) int      // returns a random number below n
}

// New returns a selector that uses the direct path. randIntN must return a random
// number below n.
func New(direct string, randIntN func(n int) int) *Selector {
	return &Selector{directAddress: direct, currentAddress: direct, failedAt: map[string]time.Time{}, randIntN: randIntN}
}

// SetRelays replaces the relays. If the relay in use is not among them, the selector
// returns to the direct path.
func (s *Selector) SetRelays(addresses []string) {
	s.relayAddresses = addresses
	if s.currentAddress != s.directAddress && !slices.Contains(addresses, s.currentAddress) {
		s.currentAddress = s.directAddress
	}
}

// UsesDirect reports whether calls use the direct path.
func (s *Selector) UsesDirect() bool { return s.currentAddress == s.directAddress }

// Pick returns the address for a call. While a relay is in use, calls with mayProbe
// set try the direct path at most once per probeInterval.
func (s *Selector) Pick(now time.Time, mayProbe bool) string {
	if mayProbe && s.currentAddress != s.directAddress && now.Sub(s.lastDirectProbeAt) >= probeInterval {
		s.lastDirectProbeAt = now
		return s.directAddress
	}
	return s.currentAddress
}

// Report records the result of a call and switches to another path if the current
// one failed, or back to the direct path if that succeeded.
func (s *Selector) Report(now time.Time, address string, ok bool) {
	if ok {
		delete(s.failedAt, address)
		if address == s.directAddress {
			s.currentAddress = s.directAddress
		}
		return
	}
	s.failedAt[address] = now
	if address != s.currentAddress {
		return
	}
	if address == s.directAddress {
		s.lastDirectProbeAt = now
	}
	if next := s.nextRelay(now); next != "" {
		s.currentAddress = next
		return
	}
	s.currentAddress = s.directAddress
}

// nextRelay returns a relay that has not failed recently, or "" if there is none.
func (s *Selector) nextRelay(now time.Time) string {
	var usable []string
	for _, r := range s.relayAddresses {
		if at, ok := s.failedAt[r]; !ok || now.Sub(at) >= relayRetryDelay {
			usable = append(usable, r)
		}
	}
	if len(usable) == 0 {
		return ""
	}
	return usable[s.randIntN(len(usable))]
}
