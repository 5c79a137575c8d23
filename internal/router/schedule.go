package router

import (
	"context"
	"errors"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"tarragonridge.example/tarragonridge/internal/core/admit"
	"tarragonridge.example/tarragonridge/internal/core/errkind"
	"tarragonridge.example/tarragonridge/internal/core/ledger"
	"tarragonridge.example/tarragonridge/internal/core/policy"
	"tarragonridge.example/tarragonridge/internal/core/route"
	"tarragonridge.example/tarragonridge/internal/rpc"
	"tarragonridge.example/tarragonridge/internal/wire"
)

// target is this router's view of a target. The scheduler's mutex guards the
// fields after the blank line.
type target struct {
	id       string
	addr     string
	pool     string // targets of one model or service: "model:" or "service:" and its name; never changes
	domain   string
	host     string
	link     *rpc.Link
	openRuns atomic.Int32       // runs at the target that this router has registered, including those it only relays
	stop     context.CancelFunc // ends the link

	incarnation         string // of the connected sidecar
	conn                *rpc.Conn
	inFlight            int // slots in use, each by a run of this router
	suspects            int // slots in use by requests that are suspected of crashing targets
	loadReport          wire.LoadReport
	hasReport           bool      // loadReport was received on this connection
	reportedActive      int       // runs of all routers at the target, by the sidecar's last message
	ownAtReport         int       // inFlight when that message arrived
	draining            bool      // according to the sidecar
	leaving             bool      // according to the host list
	coolDownUntil       time.Time // gets no work until then, because it refused a connection
	consecutiveFailures int       // consecutive runs that the target answered with an error
	deprioritizedUntil  time.Time // until then, gets work only if no other target can take it
}

// usable reports whether new work may go to the target.
func (t *target) usable(now time.Time) bool {
	if t.conn == nil || t.draining || t.leaving || now.Before(t.coolDownUntil) {
		return false
	}
	return !t.hasReport || t.loadReport.Healthy
}

// waiter is a request that waits for a slot at a target.
type waiter struct {
	admit.Ticket
	query    route.Query
	avoid    map[string]bool // targets that this request must not use again
	busy     map[string]bool // targets that refused this request as busy; used only if no other target can take it
	assigned chan *target    // receives the target once the request has a slot
	rejected chan error      // receives the error if the request is evicted from the queue
}

// rankOf returns the rank of a workload's priority, of which the highest goes first.
func rankOf(priority int) int { return policy.MaxPriority - priority }

// scheduler assigns waiting requests to targets.
type scheduler struct {
	mu      sync.Mutex
	queue   *admit.Queue
	waiters map[*admit.Ticket]*waiter
	targets map[string]*target
	pools   map[string][]*target // sorted by target id
	chooser *route.Chooser
	preset  func() policy.Preset
	now     func() time.Time
}

func newScheduler(seed uint64, preset func() policy.Preset, now func() time.Time) *scheduler {
	return &scheduler{
		queue:   admit.NewQueue(),
		waiters: map[*admit.Ticket]*waiter{},
		targets: map[string]*target{},
		pools:   map[string][]*target{},
		chooser: route.NewChooser(seed),
		preset:  preset,
		now:     now,
	}
}

// slot is the place that a run occupies at a target while it is in flight.
type slot struct {
	scheduler *scheduler
	waiter    *waiter
	target    *target
	conn      *rpc.Conn
	sidecar   string // incarnation
	once      sync.Once
}

// release frees the slot and dispatches waiting requests.
func (sl *slot) release() {
	sl.once.Do(func() {
		sl.scheduler.mu.Lock()
		defer sl.scheduler.mu.Unlock()
		sl.target.inFlight--
		if sl.waiter.query.Suspect {
			sl.target.suspects--
		}
		sl.scheduler.queue.Done(sl.scheduler.now(), &sl.waiter.Ticket)
		sl.scheduler.dispatch()
	})
}

// acquire waits for a slot until ctx is done.
func (s *scheduler) acquire(ctx context.Context, w *waiter) (*slot, error) {
	w.assigned = make(chan *target, 1)
	w.rejected = make(chan error, 1)
	if err := s.enqueue(w); err != nil {
		return nil, err
	}
	select {
	case t := <-w.assigned:
		return s.slotFor(w, t), nil
	case err := <-w.rejected:
		return nil, err
	case <-ctx.Done():
		return s.cancelWait(ctx, w)
	}
}

// slotFor returns the slot of a request to which dispatch has assigned a
// target.
func (s *scheduler) slotFor(w *waiter, t *target) *slot {
	s.mu.Lock()
	defer s.mu.Unlock()
	return &slot{scheduler: s, waiter: w, target: t, conn: t.conn, sidecar: t.incarnation}
}

// enqueue adds a request to the queue and dispatches the requests that can start.
// A full queue evicts a request that goes after this one. enqueue fails if the queue is
// full and has none, or if the pool has no eligible target.
func (s *scheduler) enqueue(w *waiter) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.hasEligibleTarget(w) {
		return errkind.New(errkind.NoTarget, "no target serves %s", w.Pool)
	}
	evicted, err := s.queue.Push(s.now(), &w.Ticket, admit.Limits{Waiting: s.preset().QueueLimit})
	if err != nil {
		return err
	}
	if evicted != nil {
		s.reject(evicted, errkind.New(errkind.Overloaded, "displaced by a request that goes before it"))
	}
	s.waiters[&w.Ticket] = w
	s.dispatch()
	return nil
}

// hasEligibleTarget reports whether the request's pool has a target that it can
// wait for. The target may be disconnected or unhealthy at the moment. The
// caller holds mu.
func (s *scheduler) hasEligibleTarget(w *waiter) bool {
	for _, t := range s.pools[w.Pool] {
		if !t.leaving && !t.draining && !w.avoid[t.id] {
			return true
		}
	}
	return false
}

// reject ends the wait of a queued request with an error. The caller holds mu.
func (s *scheduler) reject(t *admit.Ticket, err error) {
	if w := s.waiters[t]; w != nil {
		delete(s.waiters, t)
		w.rejected <- err
	}
}

// cancelWait ends the wait of a request whose context is done. If a target was
// assigned in the meantime, its slot is released. The error says why the wait
// ended: the caller left, no target of the pool is usable, or none became free.
func (s *scheduler) cancelWait(ctx context.Context, w *waiter) (*slot, error) {
	s.mu.Lock()
	removed := s.queue.Remove(s.now(), &w.Ticket)
	delete(s.waiters, &w.Ticket)
	reachable := s.anyUsableTarget(w.Pool)
	s.mu.Unlock()
	if !removed {
		select {
		case t := <-w.assigned:
			s.slotFor(w, t).release()
		default:
		}
	}
	if errors.Is(context.Cause(ctx), context.Canceled) {
		return nil, &errkind.Error{Kind: errkind.Canceled, Detail: "the caller left before a run started", Ran: errkind.RanNo}
	}
	if !reachable {
		return nil, errkind.New(errkind.NoTarget, "no target of %s could be reached", w.Pool)
	}
	return nil, errkind.New(errkind.Overloaded, "no target of %s became free in time", w.Pool)
}

// anyUsableTarget reports whether new work may go to any target of the pool.
// The caller holds mu.
func (s *scheduler) anyUsableTarget(pool string) bool {
	now := s.now()
	for _, t := range s.pools[pool] {
		if t.usable(now) {
			return true
		}
	}
	return false
}

// dispatch assigns a target to every queued request that can start. The caller
// holds mu.
func (s *scheduler) dispatch() {
	for {
		var chosen *target
		ticket := s.queue.Next(s.now(), func(t *admit.Ticket) bool {
			chosen = s.pickTarget(s.waiters[t])
			return chosen != nil
		})
		if ticket == nil {
			return
		}
		w := s.waiters[ticket]
		delete(s.waiters, ticket)
		chosen.inFlight++
		if w.query.Suspect {
			chosen.suspects++
		}
		w.assigned <- chosen
	}
}

// pickTarget returns a target for the request, or nil. Targets that refused the
// request as busy, and after them targets whose last runs failed, are used only
// if no other target can take it. The caller holds mu.
func (s *scheduler) pickTarget(w *waiter) *target {
	if w == nil {
		return nil
	}
	now := s.now()
	var preferred, busy, failing []*target
	for _, t := range s.pools[w.Pool] {
		switch {
		case w.avoid[t.id] || !t.usable(now):
		case now.Before(t.deprioritizedUntil):
			failing = append(failing, t)
		case w.busy[t.id]:
			busy = append(busy, t)
		default:
			preferred = append(preferred, t)
		}
	}
	for _, targets := range [][]*target{preferred, busy, failing} {
		if t := s.chooseAmong(w, targets); t != nil {
			return t
		}
	}
	return nil
}

// chooseAmong applies the target choice of the preset to the targets. It returns
// nil if none of them can take the request. The caller holds mu.
func (s *scheduler) chooseAmong(w *waiter, targets []*target) *target {
	candidates := make([]route.Candidate, len(targets))
	for i, t := range targets {
		candidates[i] = t.candidate()
	}
	preset := s.preset()
	settings := route.Settings{
		Choice:            preset.TargetChoice,
		AffinityLoadBound: preset.AffinityLoadBound,
		MaxRunsPerTarget:  preset.MaxRunsPerTarget,
	}
	i := s.chooser.Choose(w.query, settings, candidates)
	if i < 0 {
		return nil
	}
	return targets[i]
}

// recordEnd processes the end of a run at the target. The sidecar no longer
// counts the run. If this router started the run (it has a reservation), the run
// still uses a slot here until the slot is released, so it is added to the
// sidecar's count. run is nil if it is not registered here.
func (t *target) recordEnd(now time.Time, run *run, end wire.RunEnd) {
	active := end.Active
	if run != nil && run.reservation != nil {
		active++
	}
	t.recordActive(active)
	switch end.Record.Outcome {
	case ledger.Complete, ledger.Capped:
		t.recordOutcome(now, false)
	case ledger.Failed:
		if end.Kind == errkind.TargetFailed {
			t.recordOutcome(now, true)
		}
	}
}

// Bounds of the time for which a target that answered with an error is
// deprioritized, that is, gets work only if no other target can take it. The
// time doubles with each consecutive error.
const (
	minFailureBackoff = 500 * time.Millisecond
	maxFailureBackoff = 8 * time.Second
)

// recordOutcome deprioritizes a target after a failed run and ends that after a
// successful one. A target that answers errors immediately has few runs in
// progress, so that a choice by load alone would send it more and more
// requests.
func (t *target) recordOutcome(now time.Time, failed bool) {
	if !failed {
		t.consecutiveFailures = 0
		t.deprioritizedUntil = time.Time{}
		return
	}
	delay := min(minFailureBackoff<<min(t.consecutiveFailures, 10), maxFailureBackoff)
	t.consecutiveFailures++
	t.deprioritizedUntil = now.Add(delay)
}

// recordActive stores the number of runs in progress that a message of the
// sidecar states, and how many slots this router has in use at that time.
func (t *target) recordActive(active int) {
	t.reportedActive = active
	t.ownAtReport = t.inFlight
}

// candidate returns the target as input of the target choice.
func (t *target) candidate() route.Candidate {
	return route.Candidate{
		Target:          t.id,
		InFlight:        t.inFlight,
		ReportedRuns:    t.reportedActive,
		OwnRunsAtReport: t.ownAtReport,
		Suspects:        t.suspects,
	}
}

// update changes a target under the mutex and dispatches the requests that can
// start then.
func (s *scheduler) update(t *target, change func(t *target)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change(t)
	s.dispatch()
}

// targetsWhere returns the targets that satisfy match.
func (s *scheduler) targetsWhere(match func(t *target) bool) []*target {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []*target
	for _, t := range s.targets {
		if match(t) {
			out = append(out, t)
		}
	}
	return out
}

// target returns the target with the id, or nil.
func (s *scheduler) target(id string) *target {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.targets[id]
}

func (s *scheduler) add(t *target) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.targets[t.id] = t
	s.pools[t.pool] = insertByID(s.pools[t.pool], t)
}

func (s *scheduler) remove(t *target) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.targets, t.id)
	s.pools[t.pool] = slices.DeleteFunc(s.pools[t.pool], func(other *target) bool { return other == t })
}

// insertByID inserts a target into a pool. Pools are sorted by target id,
// because round robin relies on a stable order.
func insertByID(pool []*target, t *target) []*target {
	i, _ := slices.BinarySearchFunc(pool, t, func(a, b *target) int { return strings.Compare(a.id, b.id) })
	return slices.Insert(pool, i, t)
}

// waitingCount returns the number of queued requests.
func (s *scheduler) waitingCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.queue.Len()
}

// usableCount returns the number of targets to which new work may go.
func (s *scheduler) usableCount() int {
	now := s.now()
	return len(s.targetsWhere(func(t *target) bool { return t.usable(now) }))
}
