package load

import (
	"sync"
	"time"

	hdr "github.com/HdrHistogram/hdrhistogram-go"
)

// Histogram range in microseconds and number of significant digits, and limits
// of the figures that are kept.
const (
	histogramMin      = 1
	histogramMax      = int64(10 * time.Minute / time.Microsecond)
	histogramDigits   = 3
	maxRefusalKinds   = 64 // further kinds are counted as "other"
	maxTeamHistograms = 64 // teams that appear later have no histogram
)

// Counts holds the number of requests by outcome.
type Counts struct {
	Planned    int64 `json:"planned"`
	Skipped    int64 `json:"skipped"` // not sent because MaxInFlight requests were in flight
	Sent       int64 `json:"sent"`
	Complete   int64 `json:"complete"`
	Unchecked  int64 `json:"unchecked"` // complete, but the service's response contained no reference
	Wrong      int64 `json:"wrong"`
	Incomplete int64 `json:"incomplete"`
	Refused    int64 `json:"refused"`
	Broken     int64 `json:"broken"`
	Expired    int64 `json:"expired"`
	Retries    int64 `json:"retries"` // attempts after the first
	Tokens     int64 `json:"tokens"`  // of complete responses
}

// requestStats holds the figures of one request kind, or of all kinds.
type requestStats struct {
	counts     Counts
	firstToken *hdr.Histogram
	tokenGap   *hdr.Histogram
	total      *hdr.Histogram
}

func newRequestStats() *requestStats {
	return &requestStats{firstToken: newHistogram(), tokenGap: newHistogram(), total: newHistogram()}
}

func newHistogram() *hdr.Histogram {
	return hdr.New(histogramMin, histogramMax, histogramDigits)
}

// stats collects the figures of a run. Its memory does not grow with the number
// of requests.
type stats struct {
	mu             sync.Mutex
	all            *requestStats
	kinds          map[string]*requestStats
	teamFirstToken map[int]*hdr.Histogram // time to first token by team index
	sendLag        *hdr.Histogram
	finalRefusals  map[string]int64 // error responses that were not retried, by "kind/ran"
	allRefusals    map[string]int64 // all error responses, by "kind/ran"
}

func newStats(kinds []requestKind) *stats {
	s := &stats{
		all:            newRequestStats(),
		kinds:          make(map[string]*requestStats),
		teamFirstToken: make(map[int]*hdr.Histogram),
		sendLag:        newHistogram(),
		finalRefusals:  make(map[string]int64),
		allRefusals:    make(map[string]int64),
	}
	for _, k := range kinds {
		s.kinds[k.name] = newRequestStats()
	}
	return s
}

func recordMicroseconds(h *hdr.Histogram, d time.Duration) {
	us := max(histogramMin, min(d.Microseconds(), histogramMax))
	_ = h.RecordValue(us) // cannot fail: the value is clamped to the range
}

// update calls f with the figures of all kinds and with those of kind k.
func (s *stats) update(k *requestKind, f func(g *requestStats)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f(s.all)
	f(s.kinds[k.name])
}

func (s *stats) addPlanned(k *requestKind) { s.update(k, func(g *requestStats) { g.counts.Planned++ }) }
func (s *stats) addSkipped(k *requestKind) { s.update(k, func(g *requestStats) { g.counts.Skipped++ }) }
func (s *stats) addRetry(k *requestKind)   { s.update(k, func(g *requestStats) { g.counts.Retries++ }) }

func (s *stats) addSent(k *requestKind, lag time.Duration) {
	s.update(k, func(g *requestStats) { g.counts.Sent++ })
	s.mu.Lock()
	defer s.mu.Unlock()
	recordMicroseconds(s.sendLag, lag)
}

func (s *stats) recordFirstToken(call *call, d time.Duration) {
	s.update(call.kind, func(g *requestStats) { recordMicroseconds(g.firstToken, d) })
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.teamFirstToken[call.team] == nil && len(s.teamFirstToken) < maxTeamHistograms {
		s.teamFirstToken[call.team] = newHistogram()
	}
	if h := s.teamFirstToken[call.team]; h != nil {
		recordMicroseconds(h, d)
	}
}

func (s *stats) recordTokenGap(k *requestKind, d time.Duration) {
	s.update(k, func(g *requestStats) { recordMicroseconds(g.tokenGap, d) })
}

// addOutcome counts a request that has ended after d.
func (s *stats) addOutcome(k *requestKind, o outcome, d time.Duration) {
	s.update(k, func(g *requestStats) {
		g.countOutcome(o)
		if o.verdict == complete {
			recordMicroseconds(g.total, d)
		}
	})
	if o.verdict == refused {
		s.mu.Lock()
		defer s.mu.Unlock()
		incrementBounded(s.finalRefusals, o.refusal.name())
	}
}

func (s *stats) addRefusal(r refusal) {
	s.mu.Lock()
	defer s.mu.Unlock()
	incrementBounded(s.allRefusals, r.name())
}

func incrementBounded(m map[string]int64, name string) {
	if _, known := m[name]; !known && len(m) >= maxRefusalKinds {
		name = "other"
	}
	m[name]++
}

func (g *requestStats) countOutcome(o outcome) {
	c := &g.counts
	switch o.verdict {
	case complete:
		c.Complete++
		c.Tokens += int64(o.tokens)
	case wrong:
		c.Wrong++
	case incomplete:
		c.Incomplete++
	case refused:
		c.Refused++
	case broken:
		c.Broken++
	case expired:
		c.Expired++
	}
	if o.unchecked && o.verdict == complete {
		c.Unchecked++
	}
}

// counts returns the counts of all kinds.
func (s *stats) counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.all.counts
}
