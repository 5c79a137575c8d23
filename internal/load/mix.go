package load

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"time"
)

// Names of the mixes of request kinds.
const (
	MixAssay = "assay"
	MixLeaf  = "leaf"
)

// protocol is how requests of a kind are sent and answered.
type protocol int

const (
	streamedChat protocol = iota // chat completion with a streamed response
	unaryChat                    // chat completion with a single response body
	serviceGet                   // GET request to a service
	servicePost                  // non-idempotent POST request to a service
)

// requestKind is a class of requests of a mix.
type requestKind struct {
	name        string
	percent     int // of all arrivals
	protocol    protocol
	sharedBytes int // size of the prompt prefix shared with other requests
	uniqueBytes int // size of the rest of the prompt
	minTokens   int // smallest max_tokens
	maxTokens   int // largest max_tokens
	service     string
	path        string
}

var mixes = map[string][]requestKind{
	MixAssay: {
		{name: "dossier", percent: 15, protocol: streamedChat, sharedBytes: 16_000, uniqueBytes: 400, minTokens: 100, maxTokens: 300},
		{name: "note", percent: 20, protocol: streamedChat, sharedBytes: 3000, uniqueBytes: 800, minTokens: 150, maxTokens: 400},
		{name: "question", percent: 45, protocol: streamedChat, sharedBytes: 1200, uniqueBytes: 160, minTokens: 20, maxTokens: 80},
		{name: "submission", percent: 20, protocol: servicePost, service: "submissions", path: "/registrations"},
	},
	MixLeaf: {
		{name: "appraisal", percent: 12, protocol: streamedChat, sharedBytes: 4000, uniqueBytes: 1500, minTokens: 300, maxTokens: 800},
		{name: "summary", percent: 23, protocol: streamedChat, sharedBytes: 1500, uniqueBytes: 2500, minTokens: 80, maxTokens: 200},
		{name: "grade", percent: 30, protocol: unaryChat, sharedBytes: 800, uniqueBytes: 300, minTokens: 2, maxTokens: 8},
		{name: "price", percent: 23, protocol: serviceGet, service: "auction", path: "/prices"},
		{name: "bid", percent: 12, protocol: servicePost, service: "auction", path: "/bids"},
	},
}

// Kinds returns the names of the request kinds of a mix. Each is also the name
// of the workload under which the kind is sent.
func Kinds(mix string) []string {
	var names []string
	for _, k := range mixes[mix] {
		names = append(names, k.name)
	}
	return names
}

// arrival is a planned request.
type arrival struct {
	offset            time.Duration // since the start of the run
	index             int64         // position in the plan, from 0
	kind              *requestKind
	team              int // index into Config.Teams
	prefixIndex       int // which of the team's shared prompt prefixes it uses
	maxTokens         int
	hasIdempotencyKey bool
	nonce             string // unique within the run; the response must contain it
}

// planner generates arrivals at random. The same configuration gives the same
// arrivals; a surge adds arrivals and does not change the others.
type planner struct {
	regular   *poissonProcess
	surge     *poissonProcess
	pending   [2]*arrival // next arrival of each process; nil after its end
	nextIndex int64
	seed      uint64
}

func newPlanner(c Config) *planner {
	p := &planner{
		regular: newPoissonProcess(c, c.Rate, 1),
		surge:   newPoissonProcess(c, c.Surge.Rate, 2),
		seed:    c.Seed,
	}
	p.regular.end = c.Duration
	p.surge.elapsed = c.Surge.Start
	p.surge.end = min(c.Duration, c.Surge.Start+c.Surge.Length)
	p.surge.onlyTeam = &c.Surge.Team
	p.pending[0] = p.regular.next()
	p.pending[1] = p.surge.next()
	return p
}

// next returns the earliest pending arrival of both processes. It reports false
// after the last one.
func (p *planner) next() (arrival, bool) {
	source := 0
	if p.pending[0] == nil || p.pending[1] != nil && p.pending[1].offset < p.pending[0].offset {
		source = 1
	}
	if p.pending[source] == nil {
		return arrival{}, false
	}
	a := *p.pending[source]
	p.pending[source] = []*poissonProcess{p.regular, p.surge}[source].next()
	a.index = p.nextIndex
	a.nonce = fmt.Sprintf("s%dn%d", p.seed, p.nextIndex)
	p.nextIndex++
	return a, true
}

// poissonProcess generates arrivals with exponentially distributed gaps.
type poissonProcess struct {
	config   Config
	rate     float64
	kinds    []requestKind
	random   *rand.Rand
	teams    *rand.Zipf    // team indexes, by popularity
	prefixes *rand.Zipf    // prefix indexes, by popularity
	onlyTeam *int          // team of all arrivals; nil picks one at random for each
	elapsed  time.Duration // time of the latest arrival, since the start of the run
	end      time.Duration // since the start of the run; later arrivals are dropped
}

func newPoissonProcess(c Config, rate float64, rngStream uint64) *poissonProcess {
	random := rand.New(rand.NewPCG(c.Seed, rngStream))
	return &poissonProcess{
		config:   c,
		rate:     rate,
		kinds:    mixes[c.Mix],
		random:   random,
		teams:    rand.NewZipf(random, c.TeamSkew, 1, uint64(len(c.Teams)-1)),
		prefixes: rand.NewZipf(random, c.PrefixSkew, 1, uint64(c.Prefixes-1)),
	}
}

// next returns the next arrival, without index and nonce, or nil after the end.
func (p *poissonProcess) next() *arrival {
	if p.rate <= 0 {
		return nil
	}
	gap := p.random.ExpFloat64() / p.rate
	p.elapsed += time.Duration(gap * float64(time.Second))
	if p.elapsed >= p.end {
		return nil
	}
	k := p.pickKind()
	a := &arrival{
		offset:            p.elapsed,
		kind:              k,
		team:              int(p.teams.Uint64()),
		prefixIndex:       int(p.prefixes.Uint64()),
		maxTokens:         k.minTokens + p.random.IntN(k.maxTokens-k.minTokens+1),
		hasIdempotencyKey: p.random.Float64() < p.config.KeyShare || k.protocol == servicePost,
	}
	if p.onlyTeam != nil {
		a.team = *p.onlyTeam
	}
	return a
}

func (p *poissonProcess) pickKind() *requestKind {
	remaining := p.random.IntN(100)
	for i := range p.kinds {
		remaining -= p.kinds[i].percent
		if remaining < 0 {
			return &p.kinds[i]
		}
	}
	return &p.kinds[len(p.kinds)-1]
}

// prefixText returns the prompt prefix shared by requests with the same kind,
// team and prefix index.
func (a arrival) prefixText(team string) string {
	return repeatToLength(fmt.Sprintf("%s %s %d ", a.kind.name, team, a.prefixIndex), a.kind.sharedBytes)
}

func (a arrival) uniqueText() string {
	return repeatToLength(a.nonce+" ", a.kind.uniqueBytes) + " echo:" + a.nonce
}

// repeatToLength repeats a text and cuts the result to a length in bytes.
func repeatToLength(text string, length int) string {
	return strings.Repeat(text, length/len(text)+1)[:length]
}
