package prepaid

import (
	"context"
	"slices"
	"time"

	"tarragonridge.example/tarragonridge/internal/core/errkind"
)

// maxWaiters bounds the requests that wait for one team's share.
const maxWaiters = 200

// busyRetryAfter is the time in which the shares that other routers do not use
// come back to the account.
const busyRetryAfter = 400 * time.Millisecond

// Reservation is the part of a share that one request may consume.
type Reservation struct {
	m      *Manager
	team   *team // nil for a team without a limit
	tokens int64
	ended  bool
}

// Reserve sets tokens aside for a request of a team. It waits for one exchange
// with the table if the share is short. Errors: BudgetExhausted if the prepaid
// total cannot cover the request; BudgetBusy if other requests or routers hold
// what it needs; PlatformUnavailable if the table cannot be reached.
func (m *Manager) Reserve(ctx context.Context, name string, tokens int64) (*Reservation, error) {
	m.mu.Lock()
	if _, limited := m.prepaid[name]; !limited {
		m.mu.Unlock()
		return &Reservation{m: m}, nil
	}
	t := m.team(name)
	t.holder.Demand(m.opt.Clock(), tokens)
	if len(t.waiters) == 0 && t.holder.Reserve(tokens) {
		m.mu.Unlock()
		return &Reservation{m: m, team: t, tokens: tokens}, nil
	}
	if len(t.waiters) >= maxWaiters {
		m.mu.Unlock()
		return nil, busy("too many requests wait for the budget")
	}
	w := &waiter{tokens: tokens, done: make(chan error, 1)}
	t.waiters = append(t.waiters, w)
	m.wake()
	m.mu.Unlock()
	select {
	case err := <-w.done:
		if err != nil {
			return nil, err
		}
		return &Reservation{m: m, team: t, tokens: tokens}, nil
	case <-ctx.Done():
		return nil, m.abandon(t, w)
	}
}

func (m *Manager) abandon(t *team, w *waiter) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if at := slices.Index(t.waiters, w); at >= 0 {
		t.waiters = slices.Delete(t.waiters, at, at+1)
	} else if err := <-w.done; err == nil {
		t.holder.Cancel(w.tokens) // granted at the same moment
	}
	e := errkind.New(errkind.Canceled, "ended while waiting for budget")
	e.Ran = errkind.RanNo
	return e
}

func busy(detail string) error {
	e := errkind.New(errkind.BudgetBusy, "%s", detail)
	e.RetryAfter = busyRetryAfter
	return e
}

// answerWaiters ends the waits of a round.
func (m *Manager) answerWaiters() {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, t := range m.teams {
		t.admit()
		var later []*waiter
		for _, w := range t.waiters {
			if !w.seen {
				later = append(later, w)
				continue
			}
			w.done <- m.refusal(t, w.tokens)
		}
		if t.waiters = later; len(later) > 0 {
			m.wake()
		}
	}
}

// refusal says why a request gets no tokens. m.mu is held.
func (m *Manager) refusal(t *team, tokens int64) error {
	if !m.reached || !m.loaded {
		e := errkind.New(errkind.PlatformUnavailable, "the share is short and the table cannot be reached")
		e.RetryAfter = busyRetryAfter
		return e
	}
	// What ended routers may have spent is not known to be spent: a refusal for
	// good needs proof.
	spent := t.account.Settled() - t.account.Lost
	if m.prepaid[t.name]-spent < tokens {
		return errkind.New(errkind.BudgetExhausted, "%d tokens needed", tokens)
	}
	return busy("the rest of the budget is held for other requests")
}

// Settle ends the reservation and charges what was consumed.
func (r *Reservation) Settle(charged int64) {
	if r.team == nil {
		return
	}
	r.m.mu.Lock()
	defer r.m.mu.Unlock()
	if r.ended {
		return
	}
	r.ended = true
	if got := r.team.holder.Settle(r.tokens, charged); got != charged {
		r.m.opt.Logger.Error("charge exceeds its reservation", "team", r.team.name, "charged", charged, "reserved", r.tokens)
	}
	if len(r.team.waiters) > 0 {
		r.team.admit()
	}
}
