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

// target is a target as this router sees it. The scheduler's mutex guards the
// fields below it.
type target struct {
	id     string
	addr   string
	pool   string // fixed; "model:" or "service:" and the name
	domain string
	host   string
	link   *rpc.Link
	open   atomic.Int32 // runs of this router that have not ended
	stop   context.CancelFunc

	incarnation string // of the connected sidecar
	conn        *rpc.Conn
	inFlight    int
	suspects    int
	report      wire.LoadReport
	reported    bool
	active      int       // runs of all routers at the target, as last told by its sidecar
	ownThen     int       // runs of this router at that moment
	draining    bool      // said by the sidecar
	leaving     bool      // said by the host list
	coolUntil   time.Time // refuses connections; gets nothing until then
	failures    int       // errors of the target in a row
	failedUntil time.Time // gets work only if no other target can take it
}

// usable reports whether new work may go to the target.
func (t *target) usable(now time.Time) bool {
	if t.conn == nil || t.draining || t.leaving || now.Before(t.coolUntil) {
		return false
	}
	return !t.reported || t.report.Healthy
}

// waiter is a request that waits for a slot at a target.
type waiter struct {
	admit.Ticket
	query route.Query
	avoid map[string]bool // targets that failed this request before
	ready chan *target
	fail  chan error
}

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

// slot is a started run's place at a target.
type slot struct {
	s       *scheduler
	w       *waiter
	target  *target
	conn    *rpc.Conn
	sidecar string
	once    sync.Once
}

// release frees the place and starts waiting requests.
func (sl *slot) release() {
	sl.once.Do(func() {
		sl.s.mu.Lock()
		defer sl.s.mu.Unlock()
		sl.target.inFlight--
		if sl.w.query.Suspect {
			sl.target.suspects--
		}
		sl.s.queue.Done(&sl.w.Ticket)
		sl.s.pump()
	})
}

// acquire waits for a slot until ctx ends.
func (s *scheduler) acquire(ctx context.Context, w *waiter) (*slot, error) {
	w.ready = make(chan *target, 1)
	w.fail = make(chan error, 1)
	if err := s.enqueue(w); err != nil {
		return nil, err
	}
	select {
	case t := <-w.ready:
		return s.slotFor(w, t), nil
	case err := <-w.fail:
		return nil, err
	case <-ctx.Done():
		return s.abandon(ctx, w)
	}
}

func (s *scheduler) slotFor(w *waiter, t *target) *slot {
	s.mu.Lock()
	defer s.mu.Unlock()
	return &slot{s: s, w: w, target: t, conn: t.conn, sidecar: t.incarnation}
}

func (s *scheduler) enqueue(w *waiter) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.poolKnown(w) {
		return errkind.New(errkind.NoTarget, "no target serves %s", w.Pool)
	}
	evicted, err := s.queue.Push(&w.Ticket, s.preset().QueueLimit)
	if err != nil {
		return err
	}
	if evicted != nil {
		s.refuse(evicted, errkind.New(errkind.Overloaded, "displaced by a request of higher priority"))
	}
	s.waiters[&w.Ticket] = w
	s.pump()
	return nil
}

func (s *scheduler) poolKnown(w *waiter) bool {
	for _, t := range s.pools[w.Pool] {
		if !t.leaving && !t.draining && !w.avoid[t.id] {
			return true
		}
	}
	return false
}

func (s *scheduler) refuse(t *admit.Ticket, err error) {
	if w := s.waiters[t]; w != nil {
		delete(s.waiters, t)
		w.fail <- err
	}
}

// abandon ends the wait of a request whose context is done.
func (s *scheduler) abandon(ctx context.Context, w *waiter) (*slot, error) {
	s.mu.Lock()
	removed := s.queue.Remove(&w.Ticket)
	delete(s.waiters, &w.Ticket)
	live := s.anyUsable(w.Pool)
	s.mu.Unlock()
	if !removed {
		select {
		case t := <-w.ready:
			s.slotFor(w, t).release()
		default:
		}
	}
	if errors.Is(context.Cause(ctx), context.Canceled) {
		return nil, &errkind.Error{Kind: errkind.Canceled, Detail: "the caller left before a run started", Ran: errkind.RanNo}
	}
	if !live {
		return nil, errkind.New(errkind.NoTarget, "no target of %s could be reached", w.Pool)
	}
	return nil, errkind.New(errkind.Overloaded, "no target of %s became free in time", w.Pool)
}

func (s *scheduler) anyUsable(pool string) bool {
	now := s.now()
	for _, t := range s.pools[pool] {
		if t.usable(now) {
			return true
		}
	}
	return false
}

// pump starts every request that can start. The caller holds mu.
func (s *scheduler) pump() {
	for {
		var chosen *target
		ticket := s.queue.Next(func(t *admit.Ticket) bool {
			chosen = s.place(s.waiters[t])
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
		w.ready <- chosen
	}
}

func (s *scheduler) place(w *waiter) *target {
	if w == nil {
		return nil
	}
	now := s.now()
	var good, failing []*target
	for _, t := range s.pools[w.Pool] {
		switch {
		case w.avoid[t.id] || !t.usable(now):
		case now.Before(t.failedUntil):
			failing = append(failing, t)
		default:
			good = append(good, t)
		}
	}
	if t := s.choose(w, good); t != nil {
		return t
	}
	return s.choose(w, failing)
}

func (s *scheduler) choose(w *waiter, targets []*target) *target {
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

// noteEnd takes the end of a run. The sidecar no longer counts it, while this
// router does until the run's slot is released.
func (t *target) noteEnd(now time.Time, run *run, end wire.RunEnd) {
	active := end.Active
	if run != nil && run.res != nil {
		active++
	}
	t.noteActive(active)
	switch end.Record.Outcome {
	case ledger.Complete, ledger.Capped:
		t.noteOutcome(now, false)
	case ledger.Failed:
		if end.Kind == errkind.TargetFailed {
			t.noteOutcome(now, true)
		}
	}
}

// Delays until a target that has answered with an error gets work again although
// others could take it. They double with each error in a row.
const (
	firstFailureDelay = 500 * time.Millisecond
	lastFailureDelay  = 8 * time.Second
)

// noteOutcome takes the outcome of a run at the target. A target that answers
// errors at once has few runs in progress, so a choice by load alone would send
// it ever more.
func (t *target) noteOutcome(now time.Time, failed bool) {
	if !failed {
		t.failures = 0
		t.failedUntil = time.Time{}
		return
	}
	delay := min(firstFailureDelay<<min(t.failures, 10), lastFailureDelay)
	t.failures++
	t.failedUntil = now.Add(delay)
}

// noteActive takes the number of runs that a message of the sidecar states.
func (t *target) noteActive(active int) {
	t.active = active
	t.ownThen = t.inFlight
}

func (t *target) candidate() route.Candidate {
	return route.Candidate{
		Target:      t.id,
		InFlight:    t.inFlight,
		Reported:    t.active,
		OwnAtReport: t.ownThen,
		Suspects:    t.suspects,
	}
}

// update changes a target under the mutex and starts what can start.
func (s *scheduler) update(t *target, change func(t *target)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change(t)
	s.pump()
}

// list returns the targets that satisfy keep.
func (s *scheduler) list(keep func(t *target) bool) []*target {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []*target
	for _, t := range s.targets {
		if keep(t) {
			out = append(out, t)
		}
	}
	return out
}

// target returns a target by its id, or nil.
func (s *scheduler) target(id string) *target {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.targets[id]
}

func (s *scheduler) add(t *target) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.targets[t.id] = t
	s.pools[t.pool] = insertSorted(s.pools[t.pool], t)
}

func (s *scheduler) remove(t *target) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.targets, t.id)
	s.pools[t.pool] = slices.DeleteFunc(s.pools[t.pool], func(o *target) bool { return o == t })
}

// insertSorted keeps a pool in the order of target ids, which round robin
// relies on.
func insertSorted(pool []*target, t *target) []*target {
	i, _ := slices.BinarySearchFunc(pool, t, func(a, b *target) int { return strings.Compare(a.id, b.id) })
	return slices.Insert(pool, i, t)
}

func (s *scheduler) waiting() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.queue.Len()
}

func (s *scheduler) usable() int {
	now := s.now()
	return len(s.list(func(t *target) bool { return t.usable(now) }))
}
