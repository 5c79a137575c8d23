package prepaid

import (
	"cmp"
	"time"

	"tarragonridge.example/tarragonridge/internal/core/budget"
	"tarragonridge.example/tarragonridge/internal/platform"
)

// team is the state of one team's budget at this router.
type team struct {
	name    string
	share   budget.LocalShare
	history budget.GrantHistory // of the share, in a table that reports eras
	demand  budget.DemandAverage
	stripes []stripeRow
	sent    []budget.GrantHistory // tokens sent to the home stripe by each stripe, in a table that reports eras
	waiters []*waiter             // in the order of waiter.compare

	// shortOf is the least number of tokens that a round found neither here nor in the
	// stripes, at shortAt.
	shortOf int64
	shortAt time.Time

	scarceAt     time.Time // when few tokens were last left
	drawnAheadAt time.Time // when a round was last started because the share runs dry
}

// isShort reports whether a round has just failed to get that many tokens.
func (t *team) isShort(now time.Time, tokens int64) bool {
	return tokens >= t.shortOf && now.Sub(t.shortAt) < busyRetryAfter
}

// recordShortage records that a round could not get a number of tokens.
func (t *team) recordShortage(now time.Time, tokens int64) {
	if t.isShort(now, tokens) {
		return // a smaller number is known to be too many
	}
	t.shortOf, t.shortAt = tokens, now
}

// holderCount returns the number of routers that hold a share. It is called for
// each attempt, so it avoids the cost of teamTotal.
func (t *team) holderCount() (n int) {
	for _, stripe := range t.stripes {
		n += stripe.total.Holders
	}
	return n
}

// otherStripe is how a stripe other than the home stripe was last read.
type otherStripe struct {
	readAt   time.Time // start of the last attempt to read its totals
	readable bool      // whether that attempt, and any transfer since, succeeded
}

// stripeRow is the row of one stripe of a team's budget as it was last read.
type stripeRow struct {
	total   budget.Total
	version platform.Version // of the row; zero if there is none
}

// predecessor is the holding of an earlier process of this host.
type predecessor struct {
	key     string
	version platform.Version
	holding budget.Holding
}

// waiter is a request that waits for tokens.
type waiter struct {
	tokens  int64
	rank    int
	until   time.Time  // end of the longest wait
	done    chan error // receives nil once the tokens are reserved, or the refusal
	inRound bool       // the round in progress answers this waiter when it ends
}

// compare orders waiters: what costs callers most to lose gets tokens first. Among equals
// it returns 1, so that the later one follows.
func (w *waiter) compare(o *waiter) int {
	if c := cmp.Or(cmp.Compare(w.rank, o.rank), w.until.Compare(o.until), cmp.Compare(w.tokens, o.tokens)); c != 0 {
		return c
	}
	return 1
}

// waitingTokens returns the tokens that all waiters together ask for.
func (t *team) waitingTokens() int64 {
	var sum int64
	for _, w := range t.waiters {
		sum += w.tokens
	}
	return sum
}

// coveredWaiters returns the tokens of the waiters that the given tokens cover, in order. If
// they do not cover the first one, it returns what that one asks for.
func (t *team) coveredWaiters(tokens int64) (sum int64) {
	for _, w := range t.waiters {
		if sum+w.tokens <= tokens {
			sum += w.tokens
		}
	}
	if sum == 0 && len(t.waiters) > 0 {
		return t.waiters[0].tokens
	}
	return sum
}
