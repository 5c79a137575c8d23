// Package storepath chooses the path of calls to the platform's store, the server
// that holds the platform's table: directly, or through a relay on another host
// while the direct path fails.
package storepath

import (
	"slices"
	"time"
)

// Timing of the choice.
const (
	// probeInterval is the least time between two calls that probe the direct path,
	// and between a failure of the direct path and the first such call.
	probeInterval = time.Second
	// relayRetryDelay is how long a relay is not chosen after a failed call.
	relayRetryDelay = 3 * time.Second
)

// Selector chooses between the direct path and the relays. It is not safe for
// concurrent use.
type Selector struct {
	directAddress  string // address of the store
	relayAddresses []string
	currentAddress string               // directAddress or the address of a relay
	directTriedAt  time.Time            // when the direct path was last probed or, while in use, last failed
	failedAt       map[string]time.Time // last failure by address, unless a call succeeded since
	randIntN       func(n int) int      // returns a random number below n
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

// Pick returns the address for a call. While a relay is in use, at most one call per
// probeInterval is sent over the direct path, to test it; only calls with mayProbe
// set are chosen for this.
func (s *Selector) Pick(now time.Time, mayProbe bool) string {
	if mayProbe && s.currentAddress != s.directAddress && now.Sub(s.directTriedAt) >= probeInterval {
		s.directTriedAt = now
		return s.directAddress
	}
	return s.currentAddress
}

// Report records the result of a call. If the current path failed, it switches to a
// usable relay, or to the direct path if there is none. If a call on the direct path
// succeeded, it switches back to the direct path.
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
		s.directTriedAt = now
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
