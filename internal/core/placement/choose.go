package placement

import "time"

// Candidates is the number of engines whose load a router asks before it places a prompt.
const Candidates = 3

// Request is a request that is to be placed at an engine.
type Request struct {
	Prompt
	Slots     int           // requests that an engine runs at once; 0 means no limit
	Objective time.Duration // of its route, for the first event; 0 if there is none
	Usual     Pace          // of an engine whose pace is unknown
}

// Choose returns the index of the engine that reads the prompt with the least delay to it
// and to others. The
// engines are in the order of their affinity to the prompt, which decides between equals,
// and between times that hardly differ.
// The load of an engine that did not answer is nil; it is chosen only if none answered.
// An engine that already runs as many requests as it has slots, or whose memory the
// request does not fit into beside them, is chosen only if all are like that.
func Choose(r Request, loads []*Load) int {
	best := 0
	for i := 1; i < len(loads); i++ {
		if better(r, loads[i], loads[best]) {
			best = i
		}
	}
	return best
}

const (
	// rereadWeight is what a token costs that an engine reads although another one holds
	// it, in tokens that wait: it delays this request and all that come after it.
	rereadWeight = 2
	// rereadTimeWeight is the same in time. It is more, because the expected times of equal
	// engines differ by chance, and that is no reason to leave what one of them holds.
	rereadTimeWeight = 3
	// memoryMargin is the part of an engine's memory that is not planned for: what runs
	// there may hold more than its router told.
	memoryMargin = 0.1
)

// negligible is a difference between expected times that says nothing: they are estimates.
const negligible = 5 * time.Millisecond

// better reports whether an engine is better than one with more affinity.
func better(r Request, a, b *Load) bool {
	if a == nil || b == nil {
		return a != nil
	}
	if r.Slots > 0 && (a.Running >= r.Slots || b.Running >= r.Slots) && a.Running != b.Running {
		return a.Running < b.Running
	}
	if fits := r.fits(a); fits != r.fits(b) {
		return fits
	}
	costA, costB := r.cost(a), r.cost(b)
	if r.pace(a).Read > 0 {
		costA += float64(negligible)
	}
	return costA < costB
}

// fits reports whether the engine has memory for the request beside those that run.
func (r Request) fits(l *Load) bool {
	own := r.uncached(l) + r.Output
	return l.MemoryTokens == 0 || l.HeldTokens == 0 || float64(l.HeldTokens+own) <= (1-memoryMargin)*float64(l.MemoryTokens)
}

// alike is the factor by which the paces of engines differ by chance: prompts differ, and
// engines read several of them at once.
const alike = 1.3

// pace returns the engine's pace, or the usual one if it is unknown or hardly differs.
func (r Request) pace(l *Load) Pace {
	own, usual := float64(l.Pace.Read), float64(r.Usual.Read)
	if own == 0 || own < alike*usual && usual < alike*own {
		return r.Usual
	}
	return l.Pace
}

// wait returns the time until the engine has read what waits there.
func (r Request) wait(l *Load) time.Duration {
	if l.Pace.Read == 0 {
		return r.Usual.readTime(float64(l.WaitingTokens))
	}
	return l.Wait
}

// FirstEvent returns the time that the engine is expected to need for the first event, 0
// if no pace is known.
func (r Request) FirstEvent(l *Load) time.Duration {
	return r.wait(l) + r.pace(l).readTime(work(r.uncached(l)))
}

// NextFirstEvent returns the shortest time that an engine other than the chosen one is
// expected to need for the first event, 0 if there is none.
func (r Request) NextFirstEvent(loads []*Load, chosen int) (shortest time.Duration) {
	for i, l := range loads {
		if i == chosen || l == nil {
			continue
		}
		if first := r.FirstEvent(l); shortest == 0 || first < shortest {
			shortest = first
		}
	}
	return shortest
}

func (r Request) uncached(l *Load) int64 { return max(r.Tokens-l.CachedTokens, 0) }

// lateDivisor is the part of the objective that the first event is expected to need at
// most. Noise may double it.
const lateDivisor = 2

// Late reports whether the first event is likely to be late because of what waits at the
// engine, so that it is worth asking for the loads of further engines.
func (r Request) Late(l *Load) bool {
	if l == nil || r.Objective == 0 {
		return false
	}
	first := r.FirstEvent(l)
	return first > r.Objective/lateDivisor && r.wait(l) > first/2
}

// overdueMargin is what the expected wait of an engine exceeds that for the tokens that
// wait by, beyond alike, if it is as fast as usual and overdue with the prompt that it
// reads.
const overdueMargin = 20 * time.Millisecond

// minGain is what an engine with less affinity has to gain, as a part of the time to the
// first event: prompts of the same kind will be read there again, too.
const minGain = 0.25

// Wider returns the choice once further engines have been asked: the one of before, unless
// another one is expected to be sooner by minGain.
func (r Request) Wider(loads []*Load, before int) int {
	i := Choose(r, loads)
	if l := loads[i]; l != nil && float64(r.FirstEvent(l)) < (1-minGain)*float64(r.FirstEvent(loads[before])) {
		return i
	}
	return before
}

// cost returns the time that the engine needs for what waits and, weighted, for the
// prompt. What it has already read of the oldest prompt counts too: the streams there have
// paused meanwhile, and would go on to.
func (r Request) cost(l *Load) float64 {
	pace := r.pace(l)
	if pace.Read == 0 { // of no engine
		return float64(l.WaitingTokens) + rereadWeight*float64(r.uncached(l))
	}
	wait := pace.readTime(float64(l.WaitingTokens))
	if pace == l.Pace || l.Wait > time.Duration(alike*float64(wait))+overdueMargin {
		wait = max(wait, r.wait(l))
	}
	return float64(wait + pace.readTime(rereadTimeWeight*float64(r.uncached(l))+promptOverhead))
}
