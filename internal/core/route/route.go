// Package route chooses a target for a request.
package route

import (
	"cmp"
	"encoding/binary"
	"math/rand/v2"
	"slices"

	"github.com/cespare/xxhash/v2"

	"tarragonridge.example/tarragonridge/internal/core/policy"
)

// Candidate is a target that may run the request.
type Candidate struct {
	Target          string // id
	InFlight        int    // runs of this router at the target
	ReportedRuns    int    // runs of all routers at the target, by its last report
	OwnRunsAtReport int    // runs of this router at the target when the report arrived
	Suspects        int    // runs of this router at the target whose requests may crash targets
}

// Load estimates the current runs at the target. Reports lag, so only the runs of
// other routers are taken from the report; the router's own are known exactly.
func (c Candidate) Load() int {
	others := c.ReportedRuns - c.OwnRunsAtReport
	if others < 0 {
		others = 0
	}
	return c.InFlight + others
}

// Query describes a request that needs a target.
type Query struct {
	PrefixHash uint64 // hash of the model and the start of the prompt
	Suspect    bool   // the request may crash targets, so it must not share a target with another suspect
}

// Settings are the parameters of the target choice.
type Settings struct {
	Choice            policy.TargetChoice
	AffinityLoadBound float64 // for Affinity, as a multiple of the mean load; at least 1
	AffinitySlack     int     // runs added to the load that AffinityLoadBound permits
	MaxRunsPerTarget  int     // 0 means no limit
}

// Chooser chooses targets by a policy. It is not safe for concurrent use.
type Chooser struct {
	rng               *rand.Rand
	roundRobinChoices int // number of round-robin choices so far
}

// NewChooser returns a Chooser whose random choices depend only on seed.
func NewChooser(seed uint64) *Chooser {
	return &Chooser{rng: rand.New(rand.NewPCG(seed, seed))}
}

// Choose returns the index of the chosen candidate, or -1 if none is eligible.
func (ch *Chooser) Choose(q Query, s Settings, candidates []Candidate) int {
	eligible := eligibleCandidates(q, s, candidates)
	if len(eligible) == 0 {
		return -1
	}
	if q.Suspect {
		return leastLoaded(eligible, candidates)
	}
	switch s.Choice {
	case policy.RoundRobin:
		ch.roundRobinChoices++
		return eligible[ch.roundRobinChoices%len(eligible)]
	case policy.PowerOfTwo:
		return ch.powerOfTwo(eligible, candidates)
	case policy.Affinity:
		return affinity(q, s, eligible, candidates)
	default:
		return ch.leastLoadedRandomTie(eligible, candidates)
	}
}

// eligibleCandidates returns the indexes of the candidates that may run the request.
func eligibleCandidates(q Query, s Settings, candidates []Candidate) []int {
	eligible := make([]int, 0, len(candidates))
	for i, c := range candidates {
		if s.MaxRunsPerTarget > 0 && c.InFlight >= s.MaxRunsPerTarget {
			continue
		}
		if q.Suspect && c.Suspects > 0 {
			continue
		}
		eligible = append(eligible, i)
	}
	return eligible
}

func leastLoaded(eligible []int, candidates []Candidate) int {
	best := eligible[0]
	for _, i := range eligible[1:] {
		if candidates[i].Load() < candidates[best].Load() {
			best = i
		}
	}
	return best
}

// leastLoadedRandomTie breaks ties at random, so that routers which see the same
// reports do not all choose the same target.
func (ch *Chooser) leastLoadedRandomTie(eligible []int, candidates []Candidate) int {
	best, ties := eligible[0], 1
	for _, i := range eligible[1:] {
		switch load, lowest := candidates[i].Load(), candidates[best].Load(); {
		case load < lowest:
			best, ties = i, 1
		case load == lowest:
			ties++
			if ch.rng.IntN(ties) == 0 {
				best = i
			}
		}
	}
	return best
}

// powerOfTwo returns the less loaded of two random candidates.
func (ch *Chooser) powerOfTwo(eligible []int, candidates []Candidate) int {
	a := eligible[ch.rng.IntN(len(eligible))]
	b := eligible[ch.rng.IntN(len(eligible))]
	if candidates[b].Load() < candidates[a].Load() {
		return b
	}
	return a
}

// affinity ranks the targets by rendezvous hashing of the prompt's prefix and
// returns the first whose load would stay within the bound. All routers thus send a
// prefix to the same target without shared state. An idle target is always within
// the bound.
func affinity(q Query, s Settings, eligible []int, candidates []Candidate) int {
	total := 0
	for _, i := range eligible {
		total += candidates[i].Load()
	}
	bound := s.AffinityLoadBound*float64(total+1)/float64(len(eligible)) + float64(s.AffinitySlack)
	best, bestScore := -1, uint64(0)
	for _, i := range eligible {
		load := candidates[i].Load()
		if load > 0 && float64(load+1) > bound {
			continue
		}
		score := rendezvousScore(q.PrefixHash, candidates[i].Target)
		if best == -1 || score > bestScore {
			best, bestScore = i, score
		}
	}
	if best == -1 {
		return leastLoaded(eligible, candidates)
	}
	return best
}

// Ranked returns the indexes of the n targets that come first for a prefix, the first one
// first. All routers rank the same targets in the same order.
func Ranked(prefix uint64, targets []string, n int) []int {
	scores := make([]uint64, len(targets))
	indexes := make([]int, len(targets))
	for i, target := range targets {
		scores[i], indexes[i] = rendezvousScore(prefix, target), i
	}
	slices.SortFunc(indexes, func(a, b int) int { return cmp.Compare(scores[b], scores[a]) })
	return indexes[:min(n, len(indexes))]
}

func rendezvousScore(prefix uint64, target string) uint64 {
	var buf [8]byte
	binary.LittleEndian.PutUint64(buf[:], prefix)
	var d xxhash.Digest
	d.Reset()
	_, _ = d.Write(buf[:])
	_, _ = d.WriteString(target)
	return d.Sum64()
}

// affinityPrefixBytes is the length of the prompt's prefix that determines affinity.
// It covers the system prompt and the beginning of a shared document.
const affinityPrefixBytes = 1024

// PrefixHash returns a hash of the model and the start of the prompt.
func PrefixHash(model, prompt string) uint64 {
	if len(prompt) > affinityPrefixBytes {
		prompt = prompt[:affinityPrefixBytes]
	}
	return xxhash.Sum64String(model + "\x00" + prompt)
}
