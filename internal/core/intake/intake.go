// Package intake decides which connections of callers may take memory and descriptors of a
// process, and which are closed for others. It does no I/O and has no clock.
//
// It answers the load of clients that send without end, stop before the end, or do not read:
// nobody can tell them from others by their address, and a process that refuses whoever
// comes next serves only those that hold what there is. So the connection that holds most
// for longest is closed instead. One whose request has come in whole keeps what it holds,
// as it may have been passed on.
package intake

import (
	"slices"
	"time"
)

// State says what a connection does.
type State int

// States.
const (
	Quiet     State = iota // nothing of a request was read since the last answer
	Receiving              // a part of a request was read
	Whole                  // a request in progress has come in whole
	Stalled                // Whole, and the caller does not read its answer, or sends on meanwhile
	Ending                 // closed, and not done yet
	stateCount
)

func (s State) String() string {
	return [stateCount]string{"quiet", "receiving", "whole", "stalled", "ending"}[s]
}

// Holding is what one connection holds.
type Holding struct {
	State  State
	Since  time.Time // when it began to hold it
	Bytes  int64
	Served bool // a request on the connection was answered
}

// Limits bound what all connections hold together. 0 means no limit.
type Limits struct {
	Bytes int64
}

const (
	// SmallBytes is the size up to which a request is small: it has a share of the memory
	// for itself, so that large ones cannot take all of it.
	SmallBytes = 64 << 10
	// smallShareDivisor gives the share of small requests as a fraction of the memory.
	smallShareDivisor = 4
	// servedPatience is how much longer a connection may be quiet that has brought a
	// request than one that has not.
	servedPatience = 4
	// minAge is the least time for which a connection counts to have held something.
	minAge = time.Millisecond
)

// Excess returns by how many bytes a connection would exceed the limit that holds bytes and
// asks for more, if all together hold used.
func (l Limits) Excess(used, holds, more int64) int64 {
	if l.Bytes <= 0 {
		return 0
	}
	limit := l.Bytes
	if holds+more > SmallBytes {
		limit -= l.Bytes / smallShareDivisor
	}
	return max(used+more-limit, 0)
}

// weight orders connections by what they hold and for how long.
func (h Holding) weight(now time.Time, bytes int64) float64 {
	age := max(now.Sub(h.Since), minAge).Seconds()
	if h.Served && h.State == Quiet {
		age /= servedPatience
	}
	return float64(bytes) * age
}

// closable reports whether a connection may be closed for others. One whose caller has
// stalled is closed only if there is no other.
func (h Holding) closable(stalled bool) bool {
	switch h.State {
	case Quiet, Receiving:
		return !stalled
	case Stalled:
		return stalled
	default:
		return false
	}
}

// ForBytes returns the indexes of connections that are to be closed, so that a number of
// bytes becomes free: those first that hold most for longest. If they do not hold as much,
// none is closed, and ok is false.
func ForBytes(now time.Time, holdings []Holding, need int64) (closed []int, ok bool) {
	left := need
	for _, h := range holdings {
		if h.closable(false) || h.closable(true) {
			left -= h.Bytes
		}
	}
	if left > 0 {
		return nil, false
	}
	for need > 0 {
		i := heaviest(holdings, closed, func(h Holding) float64 { return h.weight(now, h.Bytes) })
		closed = append(closed, i)
		need -= holdings[i].Bytes
	}
	return closed, true
}

// ForConnection returns the index of the connection that is to be closed for a new one: that
// which has held its descriptor for longest without a whole request.
func ForConnection(now time.Time, holdings []Holding) (closed int, ok bool) {
	closed = heaviest(holdings, nil, func(h Holding) float64 { return h.weight(now, 1) })
	return max(closed, 0), closed >= 0
}

// heaviest returns the index of the connection with the largest weight, besides those that
// are closed already, -1 if there is none. Connections whose callers have stalled come last.
func heaviest(holdings []Holding, closed []int, weight func(Holding) float64) int {
	for _, stalled := range []bool{false, true} {
		found, largest := -1, 0.0
		for i, h := range holdings {
			if !h.closable(stalled) || slices.Contains(closed, i) {
				continue
			}
			if w := weight(h); found < 0 || w > largest {
				found, largest = i, w
			}
		}
		if found >= 0 {
			return found
		}
	}
	return -1
}

// Costs of what callers make the process hold, in bytes.
const (
	// ConnectionBytes is what an open connection costs: buffers and the stack of its
	// goroutine.
	ConnectionBytes = 18 << 10
	// requestBytes is what a request in progress costs besides its head and body: buffers,
	// goroutines and the connection to its target.
	requestBytes = 16 << 10
	// lineBytes is what a line of a head costs besides its text: an entry of a map, with
	// the strings and the slice that it holds.
	lineBytes = 160
	// headCopies are the copies of a head that there are at a time: the one that was read,
	// and the one that is sent on.
	headCopies = 2
	// textCopies are the copies of its text in each.
	textCopies = 2
)

// RequestBytes returns what a request costs whose head has a number of bytes and lines.
func RequestBytes(headBytes, lines int64) int64 {
	return requestBytes + headCopies*(textCopies*headBytes+lineBytes*lines)
}
