// Package hlc implements a hybrid logical clock. Its stamps order the events of
// several processes consistently with the messages between them, even if their
// wall clocks differ.
package hlc

import (
	"fmt"
	"sync"
	"time"
)

// Stamp is a time stamp of the clock. The zero Stamp precedes all others.
type Stamp struct {
	Wall    int64  `json:"w"` // Unix time in microseconds
	Logical uint32 `json:"l"` // orders stamps with the same Wall
}

// Before reports whether s precedes other.
func (s Stamp) Before(other Stamp) bool {
	if s.Wall != other.Wall {
		return s.Wall < other.Wall
	}
	return s.Logical < other.Logical
}

// String formats the stamp so that the strings sort in the order of the stamps.
func (s Stamp) String() string { return fmt.Sprintf("%016d.%06d", s.Wall, s.Logical) }

// Clock issues stamps. It is safe for concurrent use.
type Clock struct {
	mu   sync.Mutex
	last Stamp
}

// Now returns a stamp that is later than all stamps issued or observed before.
// wall is the current wall time.
func (c *Clock) Now(wall time.Time) Stamp {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.advance(wall.UnixMicro())
	return c.last
}

// Observe takes the stamp of a received message into account, so that all stamps
// issued later follow it.
func (c *Clock) Observe(wall time.Time, remote Stamp) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.last.Before(remote) {
		c.last = remote
	}
	c.advance(wall.UnixMicro())
}

// advance moves the clock to wall, in microseconds, or to the next logical time if
// the clock is there already or ahead of it.
func (c *Clock) advance(wall int64) {
	if wall > c.last.Wall {
		c.last = Stamp{Wall: wall}
		return
	}
	c.last.Logical++
}
