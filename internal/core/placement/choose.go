package placement

// Candidates is the number of engines whose load a router asks before it places a prompt.
const Candidates = 3

// Choose returns the index of the engine that reads the prompt with the least delay to it
// and to others. The
// engines are in the order of their affinity to the prompt, which decides between equals.
// The load of an engine that did not answer is nil; it is chosen only if none answered.
// An engine that already runs as many requests as it has slots is chosen only if all do,
// or if slots is 0, which means no limit.
func Choose(p Prompt, slots int, loads []*Load) int {
	best := 0
	for i := 1; i < len(loads); i++ {
		if better(p, slots, loads[i], loads[best]) {
			best = i
		}
	}
	return best
}

// rereadWeight is what a token costs that an engine reads although another one holds it,
// in tokens that wait: it delays this request and all that come after it.
const rereadWeight = 2

func better(p Prompt, slots int, a, b *Load) bool {
	if a == nil || b == nil {
		return a != nil
	}
	if slots > 0 && (a.Running >= slots || b.Running >= slots) && a.Running != b.Running {
		return a.Running < b.Running
	}
	return a.cost(p) < b.cost(p)
}

// cost returns the tokens that the engine has to read first and, weighted, those of the
// prompt.
func (l *Load) cost(p Prompt) int64 { return l.WaitingTokens + rereadWeight*(p.Tokens-l.CachedTokens) }
