package load

import (
	"sync"
	"time"

	hdr "github.com/HdrHistogram/hdrhistogram-go"
)

// Range and precision of the histograms, in microseconds.
const (
	histogramMin    = 1
	histogramMax    = int64(10 * time.Minute / time.Microsecond)
	histogramDigits = 3
	maxRefusalKinds = 64 // more kinds are counted as "other"
	maxTeamFigures  = 64 // histograms by team; later teams have none
)

// Counts are the outcomes of requests.
type Counts struct {
	Planned    int64 `json:"planned"`
	Skipped    int64 `json:"skipped"` // not sent, too many requests were in flight
	Sent       int64 `json:"sent"`
	Complete   int64 `json:"complete"`
	Unchecked  int64 `json:"unchecked"` // complete, but the answer of the service named no reference
	Wrong      int64 `json:"wrong"`
	Incomplete int64 `json:"incomplete"`
	Refused    int64 `json:"refused"`
	Broken     int64 `json:"broken"`
	Expired    int64 `json:"expired"`
	Retries    int64 `json:"retries"` // attempts after the first
	Tokens     int64 `json:"tokens"`  // of complete answers
}

// group holds the figures of one kind, or of all.
type group struct {
	counts Counts
	first  *hdr.Histogram
	gap    *hdr.Histogram
	total  *hdr.Histogram
}

func newGroup() *group {
	return &group{first: newHistogram(), gap: newHistogram(), total: newHistogram()}
}

func newHistogram() *hdr.Histogram {
	return hdr.New(histogramMin, histogramMax, histogramDigits)
}

// stats collects the figures of a run in memory that does not grow with it.
type stats struct {
	mu       sync.Mutex
	all      *group
	kinds    map[string]*group
	teams    map[int]*hdr.Histogram // time to first token by index of the team
	sendLag  *hdr.Histogram
	refusals map[string]int64 // final refusals by "kind/ran"
	answers  map[string]int64 // all refusals, including those that were retried
}

func newStats(kinds []kind) *stats {
	s := &stats{
		all:      newGroup(),
		kinds:    make(map[string]*group),
		teams:    make(map[int]*hdr.Histogram),
		sendLag:  newHistogram(),
		refusals: make(map[string]int64),
		answers:  make(map[string]int64),
	}
	for _, k := range kinds {
		s.kinds[k.name] = newGroup()
	}
	return s
}

func record(h *hdr.Histogram, d time.Duration) {
	us := max(histogramMin, min(d.Microseconds(), histogramMax))
	_ = h.RecordValue(us) // the value is in range
}

// each calls f for the group of a kind and for that of all kinds.
func (s *stats) each(k *kind, f func(g *group)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f(s.all)
	f(s.kinds[k.name])
}

func (s *stats) planned(k *kind) { s.each(k, func(g *group) { g.counts.Planned++ }) }
func (s *stats) skipped(k *kind) { s.each(k, func(g *group) { g.counts.Skipped++ }) }
func (s *stats) retried(k *kind) { s.each(k, func(g *group) { g.counts.Retries++ }) }

func (s *stats) sent(k *kind, lag time.Duration) {
	s.each(k, func(g *group) { g.counts.Sent++ })
	s.mu.Lock()
	defer s.mu.Unlock()
	record(s.sendLag, lag)
}

func (s *stats) firstToken(call *call, d time.Duration) {
	s.each(call.kind, func(g *group) { record(g.first, d) })
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.teams[call.team] == nil && len(s.teams) < maxTeamFigures {
		s.teams[call.team] = newHistogram()
	}
	if h := s.teams[call.team]; h != nil {
		record(h, d)
	}
}

func (s *stats) tokenGap(k *kind, d time.Duration) {
	s.each(k, func(g *group) { record(g.gap, d) })
}

// ended counts the end of a request.
func (s *stats) ended(k *kind, o outcome, d time.Duration) {
	s.each(k, func(g *group) {
		g.count(o)
		if o.verdict == complete {
			record(g.total, d)
		}
	})
	if o.verdict == refused {
		s.mu.Lock()
		defer s.mu.Unlock()
		bump(s.refusals, o.refusal.name())
	}
}

func (s *stats) refusal(r refusal) {
	s.mu.Lock()
	defer s.mu.Unlock()
	bump(s.answers, r.name())
}

func bump(m map[string]int64, name string) {
	if _, known := m[name]; !known && len(m) >= maxRefusalKinds {
		name = "other"
	}
	m[name]++
}

func (g *group) count(o outcome) {
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

// counts returns the figures of all kinds.
func (s *stats) counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.all.counts
}
