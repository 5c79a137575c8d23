package modelcheck

// Result of an exploration.
type Result struct {
	States      int
	FinalStates int    // states without successors
	Violation   string // the first violated invariant; empty if none
	Depth       int    // steps to the violation, or of the longest path explored
}

// Explore visits every reachable state breadth-first, so a violation is found
// on a shortest path. It stops at the first violation.
func Explore(c Config) Result {
	var result Result
	first := start(c)
	seen := map[string]struct{}{first.key(): {}}
	for layer := []state{first}; len(layer) > 0; result.Depth++ {
		var next []state
		for _, s := range layer {
			result.States++
			if result.Violation = s.check(c); result.Violation != "" {
				return result
			}
			after := c.successors(s)
			if len(after) == 0 {
				result.FinalStates++
				if result.Violation = s.checkLast(); result.Violation != "" {
					return result
				}
			}
			next = appendNew(next, after, seen)
		}
		layer = next
	}
	return result
}

func appendNew(layer, states []state, seen map[string]struct{}) []state {
	for _, s := range states {
		key := s.key()
		if _, ok := seen[key]; ok {
			continue
		}
		seen[key] = struct{}{}
		layer = append(layer, s)
	}
	return layer
}
