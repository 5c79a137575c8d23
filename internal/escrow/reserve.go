package escrow

import (
	"context"
	"errors"
	"slices"

	"tarragonridge.example/tarragonridge/internal/core/errkind"
	"tarragonridge.example/tarragonridge/internal/core/ledger"
)

// Reservation is a part of the local share that one run may consume. It ends
// with Cancel or Settle; later calls do nothing.
type Reservation struct {
	m      *Manager
	team   *team
	tokens int64 // guarded by m.mu
	ended  bool
}

// waiter is a request that waits for budget.
type waiter struct {
	tokens int64
	done   chan struct{} // closed once granted or err is set
	got    *Reservation
	err    error
}

// Reserve takes tokens out of the local share. If the share is short, it waits
// while a draw is under way or reservations in flight may still release
// enough, and while the first attempt to register is under way. Errors: BudgetExhausted at once if they cannot; BudgetBusy if they
// still hold the budget at the deadline; PlatformUnavailable if the table
// cannot be reached or the router is not registered; Stopping. None of these
// requests ran.
func (m *Manager) Reserve(ctx context.Context, team string, tokens int64) (*Reservation, error) {
	if tokens < 0 {
		return nil, errkind.New(errkind.InvalidRequest, "reservation is negative")
	}
	for {
		if err := m.awaitRegistration(ctx); err != nil {
			return nil, err
		}
		m.mu.Lock()
		got, w, err := m.reserveOrQueue(team, tokens)
		m.mu.Unlock()
		if w == nil {
			return got, err
		}
		select {
		case <-w.done:
		case <-ctx.Done():
			m.mu.Lock()
			m.abandon(team, w, ctx.Err())
			m.mu.Unlock()
		}
		if !errors.Is(w.err, errRegistersAgain) {
			return w.got, w.err
		}
	}
}

// errRegistersAgain sends a waiter to the next incarnation.
var errRegistersAgain = errkind.New(errkind.PlatformUnavailable, "router registers again")

// awaitRegistration waits until the current incarnation is registered or its
// first attempt to register has failed. A router that has just given up an
// incarnation registers within milliseconds if it reaches the table, and a
// request must not be refused for that.
func (m *Manager) awaitRegistration(ctx context.Context) error {
	for {
		m.mu.Lock()
		inc := m.inc
		over := m.draining || m.stopped || inc.version > 0
		m.mu.Unlock()
		if over {
			return nil
		}
		select {
		case <-inc.tried:
		case <-ctx.Done():
			return deadlineError(errkind.PlatformUnavailable, ctx.Err())
		}
		m.mu.Lock()
		same := m.inc == inc
		m.mu.Unlock()
		if same {
			return nil // registered, or refused by reserveOrQueue
		}
	}
}

// reserveOrQueue returns a reservation, an error, or a waiter. m.mu is held.
func (m *Manager) reserveOrQueue(name string, tokens int64) (*Reservation, *waiter, error) {
	if m.draining || m.stopped {
		return nil, nil, errkind.New(errkind.Stopping, "router is stopping")
	}
	if m.inc.version == 0 {
		return nil, nil, errkind.New(errkind.PlatformUnavailable, "router is not registered")
	}
	t := m.inc.team(name)
	t.holder.RecordDemand(m.opt.Clock(), tokens)
	if len(t.waiters) == 0 && t.holder.Reserve(tokens) {
		return &Reservation{m: m, team: t, tokens: tokens}, nil, nil
	}
	if t.unresolved {
		return nil, nil, errkind.New(errkind.PlatformUnavailable, "local share is short and the table cannot be reached")
	}
	if len(t.waiters) >= maxWaiters {
		return nil, nil, errkind.New(errkind.BudgetBusy, "too many requests wait for the budget")
	}
	w := &waiter{tokens: tokens, done: make(chan struct{})}
	t.waiters = append(t.waiters, w)
	if !t.serving {
		t.serving = m.spawn(func() { m.serve(t) })
	}
	return nil, w, nil
}

// abandon ends a waiter at its deadline, unless it was answered just before.
// m.mu is held.
func (m *Manager) abandon(name string, w *waiter, cause error) {
	select {
	case <-w.done:
		return
	default:
	}
	t := m.inc.team(name)
	w.err = deadlineError(t.waitKind, cause)
	if at := slices.Index(t.waiters, w); at >= 0 {
		t.waiters = slices.Delete(t.waiters, at, at+1)
		m.admit(t)
	}
}

func deadlineError(kind errkind.Kind, cause error) error {
	if errors.Is(cause, context.Canceled) {
		e := errkind.Wrap(cause, errkind.Canceled, "canceled while waiting for budget")
		e.Ran = errkind.RanNo
		return e
	}
	if kind == errkind.BudgetBusy {
		return errkind.Wrap(cause, kind, "requests in progress hold the budget")
	}
	return errkind.Wrap(cause, kind, "the table did not answer before the deadline")
}

// admit grants waiters in order as long as the share covers the first. m.mu is
// held.
func (m *Manager) admit(t *team) {
	if t.inc.dead {
		return
	}
	for len(t.waiters) > 0 && t.holder.Reserve(t.waiters[0].tokens) {
		w := t.waiters[0]
		t.waiters = t.waiters[1:]
		w.got = &Reservation{m: m, team: t, tokens: w.tokens}
		close(w.done)
	}
}

// fail answers every waiter that the condition selects. m.mu is held.
func (t *team) fail(err error, selects func(*waiter) bool) {
	kept := t.waiters[:0:0]
	for _, w := range t.waiters {
		if !selects(w) {
			kept = append(kept, w)
			continue
		}
		w.err = err
		close(w.done)
	}
	t.waiters = kept
}

func everyWaiter(*waiter) bool { return true }

// failAll answers all waiters of an incarnation. m.mu is held.
func (m *Manager) failAll(inc *incarnation, err error) {
	for _, t := range inc.teams {
		t.fail(err, everyWaiter)
	}
}

// Holder returns the incarnation whose grant pays.
func (r *Reservation) Holder() string { return r.team.inc.id }

// Tokens returns the size of the reservation.
func (r *Reservation) Tokens() int64 {
	r.m.mu.Lock()
	defer r.m.mu.Unlock()
	return r.tokens
}

// inert reports whether the reservation no longer counts. m.mu is held.
func (r *Reservation) inert() bool { return r.ended || r.team.inc.dead }

// Lower reduces the reservation to tokens. It never raises it.
func (r *Reservation) Lower(tokens int64) {
	r.m.mu.Lock()
	defer r.m.mu.Unlock()
	if r.inert() {
		return
	}
	r.tokens = r.team.holder.Lower(r.tokens, tokens)
	r.m.admit(r.team)
}

// Cancel gives the reservation back: the run did not start.
func (r *Reservation) Cancel() {
	r.m.mu.Lock()
	defer r.m.mu.Unlock()
	if r.inert() {
		return
	}
	r.ended = true
	r.team.holder.Cancel(r.tokens)
	r.m.admit(r.team)
}

// Settle turns the reservation into the charge of the record and queues the
// record for the next flush. The charge is limited to the reservation.
func (r *Reservation) Settle(rec ledger.Record) {
	r.m.mu.Lock()
	defer r.m.mu.Unlock()
	if r.inert() {
		return
	}
	r.ended = true
	charged := r.team.holder.Settle(r.tokens, rec.Charged)
	if charged != rec.Charged {
		r.m.opt.Logger.Error("charge exceeds its reservation", "run", rec.RunID, "charged", rec.Charged, "reserved", r.tokens)
	}
	rec.Team = r.team.name
	rec.Holder = r.team.inc.id
	rec.Reserved = r.tokens
	rec.Charged = charged
	r.team.inc.records = append(r.team.inc.records, rec)
	r.m.admit(r.team)
}
