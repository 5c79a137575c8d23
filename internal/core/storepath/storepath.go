// Package storepath chooses the path of a call to the platform's store: direct,
// or through a relay on another host while the direct path fails.
package storepath

import (
	"slices"
	"time"
)

// Times of the choice.
const (
	// probePause is the pause between two calls that try the direct path again.
	probePause = time.Second
	// avoidFailed is how long a path that failed is left out.
	avoidFailed = 3 * time.Second
)

// Selector chooses among the direct path and relays. It is not safe for
// concurrent use.
type Selector struct {
	direct  string
	relays  []string
	current string
	probed  time.Time // last call that tried the direct path
	failed  map[string]time.Time
	pick    func(n int) int // random number below n
}

// New returns a selector that uses the direct path. pick returns a random
// number below n.
func New(direct string, pick func(n int) int) *Selector {
	return &Selector{direct: direct, current: direct, failed: map[string]time.Time{}, pick: pick}
}

// SetRelays replaces the known relays.
func (s *Selector) SetRelays(addresses []string) {
	s.relays = addresses
	if s.current != s.direct && !slices.Contains(addresses, s.current) {
		s.current = s.direct
	}
}

// UsesDirect reports whether the direct path is in use.
func (s *Selector) UsesDirect() bool { return s.current == s.direct }

// Pick returns the address for a call. While a relay is in use, a call that may
// probe tries the direct path now and then.
func (s *Selector) Pick(now time.Time, probe bool) string {
	if probe && s.current != s.direct && now.Sub(s.probed) >= probePause {
		s.probed = now
		return s.direct
	}
	return s.current
}

// Report notes the result of a call.
func (s *Selector) Report(now time.Time, address string, ok bool) {
	if ok {
		delete(s.failed, address)
		if address == s.direct {
			s.current = s.direct
		}
		return
	}
	s.failed[address] = now
	if address != s.current {
		return
	}
	if address == s.direct {
		s.probed = now
	}
	if next := s.next(now); next != "" {
		s.current = next
		return
	}
	s.current = s.direct
}

// next returns a relay that has not failed lately, "" if there is none.
func (s *Selector) next(now time.Time) string {
	var open []string
	for _, r := range s.relays {
		if at, ok := s.failed[r]; !ok || now.Sub(at) >= avoidFailed {
			open = append(open, r)
		}
	}
	if len(open) == 0 {
		return ""
	}
	return open[s.pick(len(open))]
}
