package router

import "sync"

// recentRuns remembers the latest runs whose records are durable, so that a
// record that a sidecar sends again after a lost acknowledgement is
// acknowledged again.
type recentRuns struct {
	mu    sync.Mutex
	known map[string]bool
	order []string
	next  int
}

// recentLimit bounds the memory; at 64 bytes per entry it is about 2 MB.
const recentLimit = 32 << 10

func newRecentRuns() *recentRuns {
	return &recentRuns{known: map[string]bool{}}
}

func (r *recentRuns) add(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.known[id] {
		return
	}
	r.known[id] = true
	if len(r.order) < recentLimit {
		r.order = append(r.order, id)
		return
	}
	delete(r.known, r.order[r.next])
	r.order[r.next] = id
	r.next = (r.next + 1) % recentLimit
}

func (r *recentRuns) has(id string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.known[id]
}
