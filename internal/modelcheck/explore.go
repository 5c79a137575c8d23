package modelcheck

// Result is the result of an exploration.
type Result struct {
	States      int
	FinalStates int    // states without successors
	Violation   string // description of the first violated invariant; empty if none
	Depth       int    // number of steps to the violation; without one, number of layers explored
}

// Explore visits every reachable state in breadth-first order, so that it finds
// a violation on a shortest path. It stops at the first violation.
func Explore(c Config) Result {
	var result Result
	initial := initialState(c)
	seen := map[string]struct{}{initial.encode(): {}}
	for frontier := []state{initial}; len(frontier) > 0; result.Depth++ {
		var next []state
		for _, s := range frontier {
			result.States++
			if result.Violation = s.checkInvariants(c); result.Violation != "" {
				return result
			}
			successors := c.successors(s)
			if len(successors) == 0 {
				result.FinalStates++
				if result.Violation = s.checkFinal(); result.Violation != "" {
					return result
				}
			}
			next = appendNew(next, successors, seen)
		}
		frontier = next
	}
	return result
}

// appendNew appends the states that have not been seen before to the frontier.
func appendNew(frontier, states []state, seen map[string]struct{}) []state {
	for _, s := range states {
		key := s.encode()
		if _, ok := seen[key]; ok {
			continue
		}
		seen[key] = struct{}{}
		frontier = append(frontier, s)
	}
	return frontier
}
