package escrow

import (
	"context"
	"errors"
	"slices"

	"tarragonridge.example/tarragonridge/internal/core/errkind"
	"tarragonridge.example/tarragonridge/internal/core/ledger"
)

// Reservation is a part of the local share that one run may consume. It ends
// with Cancel or Settle, or with its incarnation; later calls have no effect.
type Reservation struct {
	m      *Manager
	team   *team
	tokens int64 // guarded by m.mu
	ended  bool
}

// waiter is a request that waits until its team's local share covers it.
type waiter struct {
	tokens      int64
	done        chan struct{} // closed once reservation or err is set
	reservation *Reservation
	err         error
}

// Reserve takes tokens out of the local share. If the share is too small, it
// waits while a draw is in progress or reservations in flight may still release
// enough tokens. It also waits for the first attempt to register. Errors:
//   - InvalidRequest if tokens is negative
//   - BudgetExhausted, before the deadline, if reservations in flight cannot
//     release enough
//   - BudgetBusy if reservations still hold the tokens at the deadline, or if too
//     many requests wait
//   - PlatformUnavailable if the table cannot be reached or does not answer
//     before the deadline, or if the router is not registered
//   - Canceled if the context is canceled
//   - Stopping if the router is stopping
//
// A request that gets one of these errors has not run.
func (m *Manager) Reserve(ctx context.Context, team string, tokens int64) (*Reservation, error) {
	if tokens < 0 {
		return nil, errkind.New(errkind.InvalidRequest, "reservation is negative")
	}
	for {
		if err := m.awaitRegistration(ctx); err != nil {
			return nil, err
		}
		m.mu.Lock()
		reservation, w, err := m.reserveOrQueue(team, tokens)
		m.mu.Unlock()
		if w == nil {
			return reservation, err
		}
		select {
		case <-w.done:
		case <-ctx.Done():
			m.mu.Lock()
			m.expireWaiter(team, w, ctx.Err())
			m.mu.Unlock()
		}
		if !errors.Is(w.err, errReregistering) {
			return w.reservation, w.err
		}
	}
}

// errReregistering is the error of a waiter whose incarnation has ended. It
// makes Reserve try again with the next incarnation.
var errReregistering = errkind.New(errkind.PlatformUnavailable, "router is registering again")

// awaitRegistration waits until the current incarnation is registered or its
// first attempt to register has failed. A router that has just given up an
// incarnation registers again within milliseconds if it can reach the table;
// requests must not be refused during this time.
func (m *Manager) awaitRegistration(ctx context.Context) error {
	for {
		m.mu.Lock()
		inc := m.inc
		decided := m.draining || m.stopped || !inc.rowVersion.IsZero()
		m.mu.Unlock()
		if decided {
			return nil
		}
		select {
		case <-inc.registrationTried:
		case <-ctx.Done():
			return deadlineError(errkind.PlatformUnavailable, ctx.Err())
		}
		m.mu.Lock()
		current := m.inc == inc
		m.mu.Unlock()
		if current {
			return nil // registered, or refused by reserveOrQueue
		}
	}
}

// reserveOrQueue returns a reservation, an error, or a waiter that it has
// queued. m.mu is held.
func (m *Manager) reserveOrQueue(name string, tokens int64) (*Reservation, *waiter, error) {
	if m.draining || m.stopped {
		return nil, nil, errkind.New(errkind.Stopping, "router is stopping")
	}
	if m.inc.rowVersion.IsZero() {
		return nil, nil, errkind.New(errkind.PlatformUnavailable, "router is not registered")
	}
	t := m.inc.team(name)
	t.share.RecordDemand(m.opt.Clock(), tokens)
	if len(t.waiters) == 0 && t.share.Reserve(tokens) {
		return &Reservation{m: m, team: t, tokens: tokens}, nil, nil
	}
	if t.unresolved && !m.lastReadAt.After(t.unresolvedAt) {
		return nil, nil, errkind.New(errkind.PlatformUnavailable, "local share is short and the table cannot be reached")
	}
	if len(t.waiters) >= maxWaitersPerTeam {
		return nil, nil, errkind.New(errkind.BudgetBusy, "too many requests wait for the budget")
	}
	w := &waiter{tokens: tokens, done: make(chan struct{})}
	t.waiters = append(t.waiters, w)
	if !t.serving {
		t.serving = m.spawn(func() { m.serveWaiters(t) })
	}
	return nil, w, nil
}

// expireWaiter fails a waiter whose context has ended, unless it was answered
// just before. m.mu is held.
func (m *Manager) expireWaiter(name string, w *waiter, cause error) {
	select {
	case <-w.done:
		return
	default:
	}
	t := m.inc.team(name)
	w.err = deadlineError(t.deadlineKind, cause)
	if i := slices.Index(t.waiters, w); i >= 0 {
		t.waiters = slices.Delete(t.waiters, i, i+1)
		m.admitWaiters(t)
	}
}

// deadlineError returns the error of a waiter whose context has ended. kind
// says what the waiter was waiting for.
func deadlineError(kind errkind.Kind, cause error) error {
	if errors.Is(cause, context.Canceled) {
		canceled := errkind.Wrap(cause, errkind.Canceled, "canceled while waiting for budget")
		canceled.Ran = errkind.RanNo
		return canceled
	}
	if kind == errkind.BudgetBusy {
		return errkind.Wrap(cause, kind, "requests in progress hold the budget")
	}
	return errkind.Wrap(cause, kind, "the table did not answer before the deadline")
}

// admitWaiters gives the waiters their reservations, in order, as long as the
// share covers the first one. m.mu is held.
func (m *Manager) admitWaiters(t *team) {
	if t.inc.ended {
		return
	}
	for len(t.waiters) > 0 && t.share.Reserve(t.waiters[0].tokens) {
		w := t.waiters[0]
		t.waiters = t.waiters[1:]
		w.reservation = &Reservation{m: m, team: t, tokens: w.tokens}
		close(w.done)
	}
}

// failWaiters ends every selected waiter with an error. m.mu is held.
func (t *team) failWaiters(err error, selects func(*waiter) bool) {
	remaining := t.waiters[:0:0]
	for _, w := range t.waiters {
		if !selects(w) {
			remaining = append(remaining, w)
			continue
		}
		w.err = err
		close(w.done)
	}
	t.waiters = remaining
}

func everyWaiter(*waiter) bool { return true }

// failAllWaiters ends all waiters of an incarnation with an error. m.mu is
// held.
func (m *Manager) failAllWaiters(inc *incarnation, err error) {
	for _, t := range inc.teams {
		t.failWaiters(err, everyWaiter)
	}
}

// Holder returns the id of the incarnation whose grant is charged.
func (r *Reservation) Holder() string { return r.team.inc.id }

// Tokens returns the size of the reservation.
func (r *Reservation) Tokens() int64 {
	r.m.mu.Lock()
	defer r.m.mu.Unlock()
	return r.tokens
}

// inert reports whether calls on the reservation have no effect any more. m.mu
// is held.
func (r *Reservation) inert() bool { return r.ended || r.team.inc.ended }

// LowerTo reduces the reservation to the given size, and never increases it.
func (r *Reservation) LowerTo(tokens int64) {
	r.m.mu.Lock()
	defer r.m.mu.Unlock()
	if r.inert() {
		return
	}
	r.tokens = r.team.share.Lower(r.tokens, tokens)
	r.m.admitWaiters(r.team)
}

// Cancel releases the whole reservation because the run did not start.
func (r *Reservation) Cancel() {
	r.m.mu.Lock()
	defer r.m.mu.Unlock()
	if r.inert() {
		return
	}
	r.ended = true
	r.team.share.Cancel(r.tokens)
	r.m.admitWaiters(r.team)
}

// Settle ends the reservation, charges the local share with the charge of the
// record, and queues the record for the next flush. The charge is limited to
// the size of the reservation.
func (r *Reservation) Settle(rec ledger.Record) {
	r.m.mu.Lock()
	defer r.m.mu.Unlock()
	if r.inert() {
		return
	}
	r.ended = true
	charged := r.team.share.Settle(r.tokens, rec.Charged)
	if charged != rec.Charged {
		r.m.opt.Logger.Error("charge exceeds its reservation", "run", rec.RunID, "charged", rec.Charged, "reserved", r.tokens)
	}
	rec.Team = r.team.name
	rec.Holder = r.team.inc.id
	rec.Reserved = r.tokens
	rec.Charged = charged
	r.team.inc.queuedRecords = append(r.team.inc.queuedRecords, rec)
	r.m.admitWaiters(r.team)
}
