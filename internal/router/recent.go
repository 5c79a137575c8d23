package router

import "sync"

// recentRuns remembers the ids of the latest runs whose records are durable. If
// an acknowledgement is lost, the sidecar sends the record again, and the router
// recognizes it and repeats the acknowledgement.
type recentRuns struct {
	mu    sync.Mutex
	ids   map[string]bool
	order []string // ring buffer of the ids, in the order of their arrival
	next  int      // position of the oldest id once the buffer is full
}

// maxRecentRuns bounds the memory: at 64 bytes per entry it is about 2 MB.
const maxRecentRuns = 32 << 10

func newRecentRuns() *recentRuns {
	return &recentRuns{ids: map[string]bool{}}
}

// add remembers a run id and, if the buffer is full, drops the oldest.
func (r *recentRuns) add(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.ids[id] {
		return
	}
	r.ids[id] = true
	if len(r.order) < maxRecentRuns {
		r.order = append(r.order, id)
		return
	}
	delete(r.ids, r.order[r.next])
	r.order[r.next] = id
	r.next = (r.next + 1) % maxRecentRuns
}

func (r *recentRuns) has(id string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.ids[id]
}
