package load

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"time"
)

// Mixes of request kinds.
const (
	MixAssay = "assay"
	MixLeaf  = "leaf"
)

// form says how a kind is sent.
type form int

const (
	streamed form = iota // chat completion as a stream
	whole                // chat completion in one answer
	lookUp               // GET at a service
	submit               // POST at a service that must not run twice
)

// kind is a class of requests. Sizes of prompts are in bytes.
type kind struct {
	name      string
	share     int // percent of arrivals
	form      form
	prefix    int // bytes shared with other requests
	own       int // bytes of its own
	minTokens int // smallest max_tokens
	maxTokens int // largest max_tokens
	service   string
	path      string
}

var mixes = map[string][]kind{
	MixAssay: {
		{name: "dossier", share: 15, form: streamed, prefix: 16_000, own: 400, minTokens: 100, maxTokens: 300},
		{name: "note", share: 20, form: streamed, prefix: 3000, own: 800, minTokens: 150, maxTokens: 400},
		{name: "question", share: 45, form: streamed, prefix: 1200, own: 160, minTokens: 20, maxTokens: 80},
		{name: "submission", share: 20, form: submit, service: "submissions", path: "/registrations"},
	},
	MixLeaf: {
		{name: "appraisal", share: 12, form: streamed, prefix: 4000, own: 1500, minTokens: 300, maxTokens: 800},
		{name: "summary", share: 23, form: streamed, prefix: 1500, own: 2500, minTokens: 80, maxTokens: 200},
		{name: "grade", share: 30, form: whole, prefix: 800, own: 300, minTokens: 2, maxTokens: 8},
		{name: "price", share: 23, form: lookUp, service: "auction", path: "/prices"},
		{name: "bid", share: 12, form: submit, service: "auction", path: "/bids"},
	},
}

// Kinds returns the names of the kinds of a mix, which are also their workloads.
func Kinds(mix string) []string {
	var names []string
	for _, k := range mixes[mix] {
		names = append(names, k.name)
	}
	return names
}

// arrival is a planned request.
type arrival struct {
	at        time.Duration // since the start
	number    int64         // from 0
	kind      *kind
	team      int // index into Config.Teams
	prefix    int
	maxTokens int
	keyed     bool
	word      string // unique in the run; the answer has to repeat it
}

// planner draws arrivals. The same configuration gives the same arrivals; a
// surge adds arrivals and leaves the others as they are.
type planner struct {
	regular *process
	surge   *process
	waiting [2]*arrival // next of each process; nil after its end
	number  int64
	seed    uint64
}

func newPlanner(c Config) *planner {
	p := &planner{
		regular: newProcess(c, c.Rate, 1),
		surge:   newProcess(c, c.Surge.Rate, 2),
		seed:    c.Seed,
	}
	p.regular.end = c.Duration
	p.surge.clock = c.Surge.Start
	p.surge.end = min(c.Duration, c.Surge.Start+c.Surge.Length)
	p.surge.team = &c.Surge.Team
	p.waiting[0] = p.regular.next()
	p.waiting[1] = p.surge.next()
	return p
}

// next returns the next arrival of both processes; false after the end.
func (p *planner) next() (arrival, bool) {
	from := 0
	if p.waiting[0] == nil || p.waiting[1] != nil && p.waiting[1].at < p.waiting[0].at {
		from = 1
	}
	if p.waiting[from] == nil {
		return arrival{}, false
	}
	a := *p.waiting[from]
	p.waiting[from] = []*process{p.regular, p.surge}[from].next()
	a.number = p.number
	a.word = fmt.Sprintf("s%dn%d", p.seed, p.number)
	p.number++
	return a, true
}

// process is a Poisson process of arrivals.
type process struct {
	config   Config
	rate     float64
	kinds    []kind
	random   *rand.Rand
	teams    *rand.Zipf
	prefixes *rand.Zipf
	team     *int // the only team; nil draws one
	clock    time.Duration
	end      time.Duration
}

func newProcess(c Config, perSecond float64, stream uint64) *process {
	random := rand.New(rand.NewPCG(c.Seed, stream))
	return &process{
		config:   c,
		rate:     perSecond,
		kinds:    mixes[c.Mix],
		random:   random,
		teams:    rand.NewZipf(random, c.TeamSkew, 1, uint64(len(c.Teams)-1)),
		prefixes: rand.NewZipf(random, c.PrefixSkew, 1, uint64(c.Prefixes-1)),
	}
}

// next returns the next arrival, without number and word, or nil after the end.
func (p *process) next() *arrival {
	if p.rate <= 0 {
		return nil
	}
	gap := p.random.ExpFloat64() / p.rate
	p.clock += time.Duration(gap * float64(time.Second))
	if p.clock >= p.end {
		return nil
	}
	k := p.draw()
	a := &arrival{
		at:        p.clock,
		kind:      k,
		team:      int(p.teams.Uint64()),
		prefix:    int(p.prefixes.Uint64()),
		maxTokens: k.minTokens + p.random.IntN(k.maxTokens-k.minTokens+1),
		keyed:     p.random.Float64() < p.config.KeyShare || k.form == submit,
	}
	if p.team != nil {
		a.team = *p.team
	}
	return a
}

func (p *process) draw() *kind {
	at := p.random.IntN(100)
	for i := range p.kinds {
		at -= p.kinds[i].share
		if at < 0 {
			return &p.kinds[i]
		}
	}
	return &p.kinds[len(p.kinds)-1]
}

// prefixText returns the text that requests of a kind, team and prefix share.
func (a arrival) prefixText(team string) string {
	return filler(fmt.Sprintf("%s %s %d ", a.kind.name, team, a.prefix), a.kind.prefix)
}

func (a arrival) ownText() string {
	return filler(a.word+" ", a.kind.own) + " echo:" + a.word
}

// filler repeats a text up to a length in bytes.
func filler(text string, length int) string {
	return strings.Repeat(text, length/len(text)+1)[:length]
}
