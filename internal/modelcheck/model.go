// Package modelcheck is an explicit-state model checker for the grant and claim
// protocols. It explores every interleaving of a small instance: two routers,
// one sidecar and one team, with a bounded number of crashes, lost answers and
// fences. It uses the state machines of the core packages and checks the
// invariants in every reachable state.
package modelcheck

import (
	"slices"
	"strings"

	"tarragonridge.example/tarragonridge/internal/core/budget"
	"tarragonridge.example/tarragonridge/internal/core/claim"
)

const numRouters = 2

// liveVersion is the version of a holder row until the holder is fenced. It is
// the only version that the holder's router knows.
const liveVersion = 1

// Bug is a protocol error that can be injected, to show that the exploration
// finds it.
type Bug string

// Bugs that can be injected.
const (
	NoBug                Bug = ""
	CountUnconfirmedDraw Bug = "count_unconfirmed" // tokens are used although the answer to their draw was lost
	NoHolderFence        Bug = "no_holder_fence"   // writes to the account do not depend on the version of the holder row
	RunUnconfirmedClaim  Bug = "run_unread"        // a run starts although the answer to its claim was lost
	NoTombstone          Bug = "no_tombstone"      // a claim is taken over without a tombstone for the other attempt
	NoSidecarFence       Bug = "no_promise"        // a grant is closed before the sidecar has fenced the holder
)

// Config describes the instance to explore. Each router handles one request,
// which consumes one token.
type Config struct {
	ToppedUp            int64 // prepaid tokens of the team
	Claims              bool  // both requests have the same idempotency key and may run only once
	MaxCrashes          int   // number of routers that may crash
	MaxLostAnswers      int   // number of answers that may be lost; their writes may be applied late
	MaxFences           int   // number of holders that may be fenced, whether they are alive or not
	MaxConcurrentCloses int   // number of routers that may recover the same holder at the same time
	Bug                 Bug
}

// stage is the progress of a router with its request.
type stage string

const (
	drawing  stage = "drawing"
	claiming stage = "claiming"
	starting stage = "starting"
	running  stage = "running"
	flushing stage = "flushing"
	finished stage = "finished" // answered, or left to the run of the other router
	refused  stage = "refused"  // answered that the request did not run
	givenUp  stage = "given_up" // fenced or tombstoned; sends no answer
	crashed  stage = "crashed"
)

// isFinal reports whether the router takes no further steps.
func (s stage) isFinal() bool {
	return s == finished || s == refused || s == givenUp || s == crashed
}

// router is the state of a router.
type router struct {
	Stage       stage
	Share       budget.LocalShare
	Waiting     bool // for the answer to its message in flight
	Uncertain   bool // the answer to its latest claim write was lost
	DrawVersion int  // account version that the unconfirmed draw was based on; -1 if none
}

// messageKind is the kind of a message in flight.
type messageKind string

const (
	drawWrite  messageKind = "draw"
	claimWrite messageKind = "claim"
	startRun   messageKind = "start"
	flushWrite messageKind = "flush"
	closeWrite messageKind = "close"
)

// message is a message in flight to the table or the sidecar. Its version fields
// are the conditions of a write.
type message struct {
	Kind           messageKind
	From           int  // the sending router, or the holder that a close recovers
	Orphaned       bool // no router waits for the answer
	AccountVersion int
	HolderVersion  int
	ClaimVersion   int
	Account        budget.Account
	Claim          claim.Claim
	RunIDs         string // ids of the runs in the ledger segment that a close adds
}

// sidecar is the state of the sidecar. Its arrays are indexed by router.
type sidecar struct {
	HolderFenced [numRouters]bool // the sidecar starts no more runs of the holder
	Tombstoned   [numRouters]bool // the attempt must not start any more
	Started      [numRouters]int  // number of times the router's attempt has started
	Ended        [numRouters]bool // the run has ended
}

// state is a state of the whole system. It is copied by value; slices and maps
// are never modified in place.
type state struct {
	Account         budget.Account
	AccountVersion  int
	HolderVersion   [numRouters]int
	HolderFenced    [numRouters]bool // in the holder row
	Claim           claim.Claim
	ClaimVersion    int
	HolderClosed    [numRouters]bool // in the holder row; the recovery is complete
	Ledger          string           // ids of the stored runs, in the order of their segments
	SegmentStored   [numRouters]bool // the router has stored its own segment
	Routers         [numRouters]router
	Sidecar         sidecar
	InFlight        []message
	CrashesLeft     int
	LostAnswersLeft int
	FencesLeft      int
}

func initialState(c Config) state {
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

// routerID returns the incarnation of router i, which is also the id of its run.
func routerID(i int) string { return string(rune('a' + i)) }

// routerIndex is the inverse of routerID.
func routerIndex(id string) int { return int(id[0] - 'a') }

// send adds a message to those in flight.
func (s *state) send(m message) {
	s.InFlight = append(slices.Clone(s.InFlight), m)
}

// checkInvariants describes an invariant that the state violates. It returns ""
// if there is none.
func (s state) checkInvariants(c Config) string {
	if err := s.Account.Check(); err != nil {
		return err.Error()
	}
	totalStarted := int64(0)
	for i, n := range s.Sidecar.Started {
		totalStarted += int64(n)
		if _, held := s.Account.Grants[routerID(i)]; held && s.HolderClosed[i] {
			return "a closed holder has a grant, which nobody would recover"
		}
		if n > 1 {
			return "an attempt started more than once"
		}
		if n > 0 && s.Routers[i].Stage == refused {
			return "a request that was answered as not run has run"
		}
		if strings.Count(s.Ledger, routerID(i)) > 1 {
			return "the ledger contains a run more than once"
		}
	}
	if totalStarted > s.Account.ToppedUp {
		return "consumption exceeds the prepaid amount"
	}
	if c.Claims && totalStarted > 1 {
		return "a non-idempotent request ran more than once"
	}
	if s.Account.Settled() != int64(len(s.Ledger)) {
		return "settled tokens differ from the ledger"
	}
	return ""
}

// checkFinal describes the invariant that a state without successors violates.
// It returns "" if there is none. It skips the run of a crashed holder that is
// not fenced, because that run still awaits recovery.
func (s state) checkFinal() string {
	for i, n := range s.Sidecar.Started {
		if s.Routers[i].Stage == crashed && !s.HolderFenced[i] {
			continue
		}
		if n != strings.Count(s.Ledger, routerID(i)) {
			return "the starts of a run differ from its records in the ledger"
		}
	}
	return ""
}
