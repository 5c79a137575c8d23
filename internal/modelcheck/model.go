// Package modelcheck explores every interleaving of a small instance of the
// grant and claim protocols: two routers, one sidecar, one team, with a bounded
// number of crashes, lost answers and fences. It uses the state machines of
// the core packages and checks the invariants in every state.
package modelcheck

import (
	"slices"
	"strings"

	"tarragonridge.example/tarragonridge/internal/core/budget"
	"tarragonridge.example/tarragonridge/internal/core/claim"
)

const routers = 2

// liveVersion is the version of a holder row until it is fenced. It is the
// only one that its router knows.
const liveVersion = 1

// Bug plants a fault, to show that the exploration finds it.
type Bug string

// Bugs.
const (
	NoBug                Bug = ""
	CountUnconfirmedDraw Bug = "count_unconfirmed" // a draw counts although its answer was lost
	NoHolderFence        Bug = "no_holder_fence"   // account writes ignore the holder row
	RunUnconfirmedClaim  Bug = "run_unread"        // a claim counts although its answer was lost
	NoTombstone          Bug = "no_tombstone"      // a claim is taken over without a tombstone
	NoSidecarFence       Bug = "no_promise"        // a grant is closed without the sidecar's promise
)

// Config is the instance to explore. Each router handles one request of one
// token.
type Config struct {
	ToppedUp            int64
	Claims              bool // both requests have the same key and must not run twice
	MaxCrashes          int  // routers that may crash
	MaxLostAnswers      int  // answers that may be lost; their writes may be applied late
	MaxFences           int  // holders that may be fenced, whether they are alive or not
	MaxConcurrentCloses int  // routers that may recover the same holder at once
	Bug                 Bug
}

// stage is a router's progress with its request.
type stage string

const (
	drawing  stage = "drawing"
	claiming stage = "claiming"
	starting stage = "starting"
	running  stage = "running"
	flushing stage = "flushing"
	finished stage = "finished" // answered, or the other router's run answers
	refused  stage = "refused"  // answered as not run
	givenUp  stage = "given_up" // fenced or tombstoned; answers nothing
	crashed  stage = "crashed"
)

// over reports whether the router does nothing more.
func (s stage) over() bool {
	return s == finished || s == refused || s == givenUp || s == crashed
}

// router is the state of one router.
type router struct {
	Stage       stage
	Holder      budget.LocalShare
	Waiting     bool // for the answer to its message
	Uncertain   bool // the answer to its claim was lost
	DrawVersion int  // account version in the latest draw; -1 if none
}

// kind of a message in flight.
type kind string

const (
	drawWrite  kind = "draw"
	claimWrite kind = "claim"
	startRun   kind = "start"
	flushWrite kind = "flush"
	closeWrite kind = "close"
)

// message is in flight to the table or the sidecar. Version fields are the
// conditions of a write.
type message struct {
	Kind           kind
	From           int // the router, or the holder that a close is about
	Orphaned       bool
	AccountVersion int
	HolderVersion  int
	ClaimVersion   int
	Account        budget.Account
	Claim          claim.Claim
	RunIDs         string // run ids in the segment that a close adds
}

// sidecar is the state of the sidecar.
type sidecar struct {
	HolderFenced [routers]bool
	Tombstoned   [routers]bool
	Started      [routers]int // times the attempt has started
	Ended        [routers]bool
}

// state is one state of the system. It is copied by value; slices and maps are
// never changed in place.
type state struct {
	Account         budget.Account
	AccountVersion  int
	HolderVersion   [routers]int
	HolderFenced    [routers]bool // holder row
	Claim           claim.Claim
	ClaimVersion    int
	HolderClosed    [routers]bool // holder row; its recovery is complete
	Ledger          string        // run ids in the order of their segments
	SegmentStored   [routers]bool // the router's own segment exists
	Routers         [routers]router
	Sidecar         sidecar
	InFlight        []message
	CrashesLeft     int // left
	LostAnswersLeft int // left
	FencesLeft      int // left
}

func start(c Config) state {
	s := state{
		Account:        budget.Account{ToppedUp: c.ToppedUp},
		AccountVersion: 1,
		CrashesLeft:    c.MaxCrashes, LostAnswersLeft: c.MaxLostAnswers, FencesLeft: c.MaxFences,
	}
	for i := range s.Routers {
		s.HolderVersion[i] = liveVersion
		s.Routers[i] = router{Stage: drawing, DrawVersion: -1}
	}
	return s
}

// name returns the incarnation, and at the same time the run id, of router i.
func name(i int) string { return string(rune('a' + i)) }

func index(run string) int { return int(run[0] - 'a') }

// send puts a message in flight.
func (s *state) send(m message) {
	s.InFlight = append(slices.Clone(s.InFlight), m)
}

// check returns the invariant that the state violates, or "".
func (s state) check(c Config) string {
	if err := s.Account.Check(); err != nil {
		return err.Error()
	}
	started := int64(0)
	for i, n := range s.Sidecar.Started {
		started += int64(n)
		if _, held := s.Account.Grants[name(i)]; held && s.HolderClosed[i] {
			return "a closed holder has a grant that nobody recovers"
		}
		if n > 1 {
			return "an attempt started twice"
		}
		if n > 0 && s.Routers[i].Stage == refused {
			return "a request answered as not run has run"
		}
		if strings.Count(s.Ledger, name(i)) > 1 {
			return "a run is stored twice"
		}
	}
	if started > s.Account.ToppedUp {
		return "consumption exceeds the prepaid amount"
	}
	if c.Claims && started > 1 {
		return "a request that must not be repeated ran twice"
	}
	if s.Account.Settled() != int64(len(s.Ledger)) {
		return "settled tokens differ from the ledger"
	}
	return ""
}

// checkLast returns the invariant that a state without successors violates.
// The run of a crashed holder that is not fenced still awaits recovery.
func (s state) checkLast() string {
	for i, n := range s.Sidecar.Started {
		if s.Routers[i].Stage == crashed && !s.HolderFenced[i] {
			continue
		}
		if n != strings.Count(s.Ledger, name(i)) {
			return "a run is not billed"
		}
	}
	return ""
}
