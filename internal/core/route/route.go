// Package route chooses a target for a request.
package route

import (
	"encoding/binary"
	"math/rand/v2"

	"github.com/cespare/xxhash/v2"

	"tarragonridge.example/tarragonridge/internal/core/policy"
)

// Candidate is a target that may take the request.
type Candidate struct {
	Target      string
	InFlight    int // runs of this router at the target
	Reported    int // runs at the target by its last report, of all routers
	OwnAtReport int // runs of this router at the target when the report arrived
	Suspects    int // runs of this router at the target that are suspected of crashing targets
}

// Load estimates the runs at the target now. The report lags, so the router's
// own runs are counted exactly and only the rest is taken from the report.
func (c Candidate) Load() int {
	others := c.Reported - c.OwnAtReport
	if others < 0 {
		others = 0
	}
	return c.InFlight + others
}

// Query describes the request.
type Query struct {
	PrefixHash uint64 // of the model and the start of the prompt
	Suspect    bool   // only targets without other suspects qualify
}

// Settings are the parameters of the choice.
type Settings struct {
	Choice            policy.TargetChoice
	AffinityLoadBound float64 // multiple of the mean load, at least 1
	AffinitySlack     int     // runs beyond that bound
	MaxRunsPerTarget  int     // 0 means no limit
}

// Chooser chooses targets. It is not safe for concurrent use.
type Chooser struct {
	rng  *rand.Rand
	next int
}

// NewChooser returns a Chooser with a seeded source of randomness.
func NewChooser(seed uint64) *Chooser {
	return &Chooser{rng: rand.New(rand.NewPCG(seed, seed))}
}

// Choose returns the index of the chosen candidate, or -1 if none qualifies.
func (ch *Chooser) Choose(q Query, s Settings, all []Candidate) int {
	open := qualified(q, s, all)
	if len(open) == 0 {
		return -1
	}
	if q.Suspect {
		return leastLoaded(open, all)
	}
	switch s.Choice {
	case policy.RoundRobin:
		ch.next++
		return open[ch.next%len(open)]
	case policy.PowerOfTwo:
		return ch.powerOfTwo(open, all)
	case policy.Affinity:
		return affinity(q, s, open, all)
	default:
		return ch.leastLoadedFair(open, all)
	}
}

func qualified(q Query, s Settings, all []Candidate) []int {
	open := make([]int, 0, len(all))
	for i, c := range all {
		if s.MaxRunsPerTarget > 0 && c.InFlight >= s.MaxRunsPerTarget {
			continue
		}
		if q.Suspect && c.Suspects > 0 {
			continue
		}
		open = append(open, i)
	}
	return open
}

func leastLoaded(open []int, all []Candidate) int {
	best := open[0]
	for _, i := range open[1:] {
		if all[i].Load() < all[best].Load() {
			best = i
		}
	}
	return best
}

// leastLoadedFair breaks ties at random, so that routers that see the same
// reports do not all pick the same target.
func (ch *Chooser) leastLoadedFair(open []int, all []Candidate) int {
	best, ties := open[0], 1
	for _, i := range open[1:] {
		switch load, low := all[i].Load(), all[best].Load(); {
		case load < low:
			best, ties = i, 1
		case load == low:
			ties++
			if ch.rng.IntN(ties) == 0 {
				best = i
			}
		}
	}
	return best
}

func (ch *Chooser) powerOfTwo(open []int, all []Candidate) int {
	a := open[ch.rng.IntN(len(open))]
	b := open[ch.rng.IntN(len(open))]
	if all[b].Load() < all[a].Load() {
		return b
	}
	return a
}

// affinity ranks the targets by rendezvous hash of the prompt's prefix, so
// that every router sends a prefix to the same target without shared state,
// and takes the first whose load is within the bound. A load of one run is
// always within it.
func affinity(q Query, s Settings, open []int, all []Candidate) int {
	total := 0
	for _, i := range open {
		total += all[i].Load()
	}
	bound := s.AffinityLoadBound*float64(total+1)/float64(len(open)) + float64(s.AffinitySlack)
	best, bestScore := -1, uint64(0)
	for _, i := range open {
		load := all[i].Load()
		if load > 0 && float64(load+1) > bound {
			continue
		}
		score := rendezvous(q.PrefixHash, all[i].Target)
		if best == -1 || score > bestScore {
			best, bestScore = i, score
		}
	}
	if best == -1 {
		return leastLoaded(open, all)
	}
	return best
}

func rendezvous(prefix uint64, target string) uint64 {
	var buf [8]byte
	binary.LittleEndian.PutUint64(buf[:], prefix)
	var d xxhash.Digest
	d.Reset()
	_, _ = d.Write(buf[:])
	_, _ = d.WriteString(target)
	return d.Sum64()
}

// prefixBytes is the length of the prompt's start that decides affinity. It
// covers the system prompt and the head of a shared document.
const prefixBytes = 1024

// PrefixHash hashes the model and the start of a prompt.
func PrefixHash(model, prompt string) uint64 {
	if len(prompt) > prefixBytes {
		prompt = prompt[:prefixBytes]
	}
	return xxhash.Sum64String(model + "\x00" + prompt)
}
