// Package hlc implements a hybrid logical clock. Stamps order events of
// several processes consistently with the messages between them, whatever
// their wall clocks say.
package hlc

import (
	"fmt"
	"sync"
	"time"
)

// Stamp is a point on the clock. The zero Stamp precedes all others.
type Stamp struct {
	Wall    int64  `json:"w"` // unix time in microseconds
	Logical uint32 `json:"l"` // orders stamps with equal Wall
}

// Before reports whether s precedes o.
func (s Stamp) Before(other Stamp) bool {
	if s.Wall != other.Wall {
		return s.Wall < other.Wall
	}
	return s.Logical < other.Logical
}

// String formats the stamp so that text order equals stamp order.
func (s Stamp) String() string { return fmt.Sprintf("%016d.%06d", s.Wall, s.Logical) }

// Clock issues stamps. It is safe for concurrent use.
type Clock struct {
	mu   sync.Mutex
	last Stamp
}

// Now returns a stamp later than every stamp issued or observed before.
func (c *Clock) Now(wall time.Time) Stamp {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.advance(wall.UnixMicro())
	return c.last
}

// Observe takes in the stamp of a received message, so that later stamps
// follow it.
func (c *Clock) Observe(wall time.Time, remote Stamp) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.last.Before(remote) {
		c.last = remote
	}
	c.advance(wall.UnixMicro())
}

func (c *Clock) advance(wall int64) {
	if wall > c.last.Wall {
		c.last = Stamp{Wall: wall}
		return
	}
	c.last.Logical++
}
