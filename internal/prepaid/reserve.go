package prepaid

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"tarragonridge.example/tarragonridge/internal/core/errkind"
)

// maxWaiters bounds the requests that wait for one team's share.
const maxWaiters = 200

// MinMaxWait bounds the wait of a request that states no other bound, and is the least
// bound at a router that has just started, which needs several calls for its first share.
const MinMaxWait = 400 * time.Millisecond

// Pace of the reads that show that tokens are short.
const (
	// shortageValidFor is how long, at least, requests are refused at once after a read
	// showed that too few tokens are left, and totals are not read again. Otherwise each
	// request to a nearly exhausted budget would cause an exchange with the table.
	shortageValidFor = 100 * time.Millisecond
	// shortageReadInterval is the mean pause between two such reads of a stripe by all
	// routers.
	shortageReadInterval = 5 * time.Millisecond
)

// maxDelayFraction bounds the expected duration of an exchange that a request waits for,
// as a fraction of its longest wait. With a longer one the wait would end without an
// answer, so the request is refused at once, with a time to retry after.
const maxDelayFraction = 0.5

// busyRetryAfter is the time after which a refused request may be retried. By then
// other routers have returned unused tokens to the budget.
const busyRetryAfter = 400 * time.Millisecond

// Reservation holds the tokens of a share that one request may consume.
type Reservation struct {
	manager *Manager
	team    *team // nil for a team without a limit
	tokens  int64
	settled bool
}

// Reserve reserves tokens for a request of a team. If the local share does not
// cover them, it waits for a round of exchanges with the table, up to MinMaxWait.
// Errors: BudgetExhausted if the prepaid total cannot cover the request; BudgetBusy
// if other requests or routers hold the tokens, or too many requests wait;
// PlatformUnavailable if the table or a stripe cannot be reached, the table is too
// slow, the deadline of ctx passes first, the team's budget is not known, or another
// process has closed the holding;
// Canceled if ctx is canceled first.
func (m *Manager) Reserve(ctx context.Context, name string, tokens int64) (*Reservation, error) {
	return m.ReserveWithin(ctx, name, Need{Tokens: tokens, Wait: MinMaxWait})
}

// Need is what a request needs of its team's budget.
type Need struct {
	Tokens int64         // the most that it may consume
	Rank   int           // requests of a lower rank get tokens first
	Wait   time.Duration // the longest wait
	// Unlimited says that the configuration gives the team no budget. A request of any other
	// team is refused while its budget is not known here.
	Unlimited bool
}

// ReserveWithin is Reserve with an order among the requests that wait: by rank, then by the
// end of the wait, then by tokens.
func (m *Manager) ReserveWithin(ctx context.Context, name string, need Need) (*Reservation, error) {
	r, err := m.reserveOrWait(ctx, name, need)
	m.opt.Metrics.countReservation(err)
	return r, err
}

// reserveOrWait implements ReserveWithin without its metrics.
func (m *Manager) reserveOrWait(ctx context.Context, team string, need Need) (*Reservation, error) {
	name, tokens, maxWait := teamName(team), need.Tokens, need.Wait
	m.mu.Lock()
	if _, limited := m.prepaidTotals[name]; !limited {
		m.mu.Unlock()
		if !need.Unlimited {
			e := errkind.New(errkind.PlatformUnavailable, "the budget of the team is not known yet")
			e.RetryAfter = busyRetryAfter
			return nil, e
		}
		return &Reservation{manager: m}, nil
	}
	t := m.team(name)
	now := m.opt.Clock()
	t.demand.Add(now, tokens)
	if len(t.waiters) == 0 && m.tryReserve(t, tokens) {
		m.drawAhead(t, now)
		m.mu.Unlock()
		return &Reservation{manager: m, team: t, tokens: tokens}, nil
	}
	if m.holdingsReadAt.IsZero() {
		maxWait = max(maxWait, MinMaxWait)
	}
	w := &waiter{tokens: tokens, rank: need.Rank, until: now.Add(maxWait), done: make(chan error, 1)}
	if len(t.waiters) >= maxWaiters && w.compare(t.waiters[len(t.waiters)-1]) >= 0 {
		m.mu.Unlock()
		return nil, busyError("too many requests wait for the budget")
	}
	if !m.holdingsReadAt.IsZero() && !m.tableReachable && !m.triesAgain {
		// The next call may take its whole timeout, and the refusal is already known.
		err := m.refusalError(t, tokens)
		m.mu.Unlock()
		return nil, err
	}
	if m.tableReachable && m.otherStripesReadable() && m.coverableTokens(t) < tokens && (m.totalsShowShortage() || m.isSpent(t, tokens)) {
		err := m.refusalError(t, tokens)
		m.mu.Unlock()
		return nil, err
	}
	if m.tableReachable && t.isShort(m.opt.Clock(), tokens) {
		err := m.refusalError(t, tokens)
		m.mu.Unlock()
		return nil, err
	}
	if !m.homeReadAt.IsZero() && tokens > m.spendableSoon(t) {
		err := m.refusalError(t, tokens)
		m.wake() // draws tokens, for later requests
		m.mu.Unlock()
		return nil, err
	}
	if delay := m.expectedDelay(); !m.triesAgain && float64(delay) >= maxDelayFraction*float64(maxWait) && !m.holdingsReadAt.IsZero() {
		m.wake()
		err := m.unavailableError(t, tokens)
		err.RetryAfter = max(err.RetryAfter, delay)
		m.mu.Unlock()
		return nil, err
	}
	if len(t.waiters) >= maxWaiters {
		last := t.waiters[len(t.waiters)-1]
		t.waiters = t.waiters[:len(t.waiters)-1]
		last.done <- busyError("more urgent requests wait for the budget")
	}
	at, _ := slices.BinarySearchFunc(t.waiters, w, (*waiter).compare)
	t.waiters = slices.Insert(t.waiters, at, w)
	m.wake()
	m.mu.Unlock()
	timeout := time.NewTimer(maxWait)
	defer timeout.Stop()
	select {
	case err := <-w.done:
		if err != nil {
			return nil, err
		}
		return &Reservation{manager: m, team: t, tokens: tokens}, nil
	case <-ctx.Done():
		m.removeWaiter(t, w)
		if errors.Is(ctx.Err(), context.DeadlineExceeded) {
			m.mu.Lock()
			defer m.mu.Unlock()
			return nil, m.unavailableError(t, tokens) // the caller is still there
		}
		e := errkind.New(errkind.Canceled, "ended while waiting for budget")
		e.Ran = errkind.RanNo
		return nil, e
	case <-timeout.C:
		m.removeWaiter(t, w)
		m.mu.Lock()
		defer m.mu.Unlock()
		return nil, m.unavailableError(t, tokens)
	}
}

// removeWaiter removes a waiter that gives up from the queue.
func (m *Manager) removeWaiter(t *team, w *waiter) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if i := slices.Index(t.waiters, w); i >= 0 {
		t.waiters = slices.Delete(t.waiters, i, i+1)
	} else if err := <-w.done; err == nil {
		t.share.Cancel(w.tokens) // its tokens were reserved just before
	}
}

// unavailableError returns the error for a request that the local share does not
// cover while the table does not answer in time. m.mu is held.
func (m *Manager) unavailableError(t *team, tokens int64) *errkind.Error {
	e := errkind.New(errkind.PlatformUnavailable, "the table does not answer in time; %s", m.describeBudget(t, tokens))
	e.RetryAfter = busyRetryAfter
	return e
}

// busyError returns a BudgetBusy error with a time to retry after.
func busyError(detail string) error {
	e := errkind.New(errkind.BudgetBusy, "%s", detail)
	e.RetryAfter = busyRetryAfter
	return e
}

// resolveWaiters answers the waiters that the round took into account: it reserves
// their tokens or refuses them. Later waiters start another round.
func (m *Manager) resolveWaiters() {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, t := range m.teams {
		m.grantWaiters(t)
		var remaining []*waiter
		for _, w := range t.waiters {
			if !w.inRound {
				remaining = append(remaining, w)
				continue
			}
			switch {
			case len(remaining) > 0 && m.coverableTokens(t) >= w.tokens:
				remaining = append(remaining, w) // behind more urgent requests of the next round
				continue
			case len(remaining) == 0 && m.tryReserve(t, w.tokens):
				w.done <- nil // those before it did not fit and are refused
				continue
			}
			if m.tableReachable && m.coverableTokens(t) < w.tokens {
				t.recordShortage(m.opt.Clock(), w.tokens)
			}
			w.done <- m.refusalError(t, w.tokens)
		}
		if t.waiters = remaining; len(remaining) > 0 {
			m.wake()
		}
	}
}

// refusalError returns the error that says why a request gets no tokens. m.mu is
// held.
func (m *Manager) refusalError(t *team, tokens int64) error {
	if !m.tableReachable || !m.otherStripesReadable() || m.holdingsReadAt.IsZero() || m.fenced {
		return m.unavailableError(t, tokens)
	}
	if m.isSpent(t, tokens) {
		return errkind.New(errkind.BudgetExhausted, "%s, %d known to be spent", m.describeBudget(t, tokens), m.teamTotal(t).Spent())
	}
	if tokens <= t.share.Available() {
		return busyError("the table may lose the latest draws; " + m.describeBudget(t, tokens))
	}
	return busyError("the rest of the budget is held; " + m.describeBudget(t, tokens))
}

// isSpent reports whether too much of a budget is spent for a request. It requires that
// the tokens are known to be spent, which is not so for those that were written off when
// routers ended. m.mu is held.
func (m *Manager) isSpent(t *team, tokens int64) bool {
	return m.prepaidTotals[t.name]-m.teamTotal(t).Spent() < tokens
}

// describeBudget describes the state of a budget for the log and for the caller.
// m.mu is held.
func (m *Manager) describeBudget(t *team, need int64) string {
	sum := m.teamTotal(t)
	return fmt.Sprintf("%d tokens needed, %d free here, %d of %d left, %d held by all routers, %d lost",
		need, t.share.Available(), sum.Left(), sum.ToppedUp, sum.Held(), sum.Lost)
}

// Settle ends the reservation and charges the tokens that were consumed. Further
// calls do nothing.
func (r *Reservation) Settle(charged int64) {
	if r.team == nil {
		return
	}
	r.manager.mu.Lock()
	defer r.manager.mu.Unlock()
	if r.settled {
		return
	}
	r.settled = true
	accepted := r.team.share.Settle(r.tokens, charged)
	r.manager.opt.Metrics.spentTokens.Add(float64(accepted))
	if accepted != charged {
		r.manager.opt.Logger.Error("charge exceeds its reservation", "team", r.team.name, "charged", charged, "reserved", r.tokens)
	}
	if len(r.team.waiters) > 0 {
		r.manager.grantWaiters(r.team)
	}
}
