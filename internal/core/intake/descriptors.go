package intake

const (
	// ownDescriptors is what a process opens besides callers and targets: files, the log,
	// connections to the store. It is at least the ownDivisor-th part of all.
	ownDescriptors = 48
	ownDivisor     = 16
	// targetsDivisor gives the part of the rest that is kept for connections to targets.
	targetsDivisor = 4
	// Connections at a listener for the load balancer or operators: the sideDivisor-th part
	// of all, within bounds.
	minSideConnections = 8
	maxSideConnections = 64
	sideDivisor        = 16
	// minCallerConnections are allowed whatever the limit is.
	minCallerConnections = 8
)

// Descriptors divides the descriptors of a process. The zero value stands for no limit.
type Descriptors struct {
	Limit         int
	SideListeners int // for the load balancer and operators
}

// Side returns how many connections each of the side listeners may have, 0 for no limit.
func (d Descriptors) Side() int {
	if d.Limit <= 0 {
		return 0
	}
	return min(max(d.Limit/sideDivisor, minSideConnections), maxSideConnections)
}

// Callers returns how many connections callers may have beside a number of connections to
// targets, 0 for no limit.
func (d Descriptors) Callers(targets int) int {
	if d.Limit <= 0 {
		return 0
	}
	return max(d.rest()-max(d.rest()/targetsDivisor, targets), minCallerConnections)
}

// Whole returns how many requests may be in progress, each of which needs a connection of its
// caller and one to its target, 0 for no limit.
func (d Descriptors) Whole() int {
	if d.Limit <= 0 {
		return 0
	}
	return max(d.rest()*2/5, minCallerConnections)
}

// rest returns the descriptors for callers and targets.
func (d Descriptors) rest() int {
	return d.Limit - max(ownDescriptors, d.Limit/ownDivisor) - d.SideListeners*d.Side()
}
