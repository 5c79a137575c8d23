package modelcheck

import (
	"slices"
	"strings"

	"tarragonridge.example/tarragonridge/internal/core/claim"
)

// successors returns all states that can be reached in one step.
func (c Config) successors(s state) []state {
	var out []state
	for i, r := range s.Routers {
		if r.Stage == crashed {
			continue
		}
		if !r.Stage.isFinal() {
			out = append(out, c.routerSteps(s, i)...)
		}
		if s.CrashesLeft > 0 {
			out = append(out, crashRouter(s, i))
		}
	}
	for index := range s.InFlight {
		out = append(out, c.deliverySteps(s, index)...)
	}
	for i := range s.Routers {
		out = append(out, c.recoverySteps(s, i)...)
	}
	return append(out, s.runEndSteps()...)
}

// crashRouter returns the state after a crash of router i. Its messages stay in
// flight, but nobody receives their answers.
func crashRouter(s state, i int) state {
	s.CrashesLeft--
	s.Routers[i] = router{Stage: crashed, DrawVersion: -1}
	s.InFlight = slices.Clone(s.InFlight)
	for index := range s.InFlight {
		if s.InFlight[index].From == i && s.InFlight[index].Kind != closeWrite {
			s.InFlight[index].Orphaned = true
		}
	}
	return s
}

// runEndSteps returns the states after the end of a run at the sidecar.
func (s state) runEndSteps() []state {
	var out []state
	for i, n := range s.Sidecar.Started {
		if n > 0 && !s.Sidecar.Ended[i] {
			next := s
			next.Sidecar.Ended[i] = true
			out = append(out, next)
		}
	}
	return out
}

// routerSteps returns the states after a step that router i takes by itself.
func (c Config) routerSteps(s state, i int) []state {
	if s.Routers[i].Waiting {
		return c.timeoutSteps(s, i)
	}
	switch s.Routers[i].Stage {
	case drawing:
		return []state{c.draw(s, i)}
	case claiming:
		return c.claimSteps(s, i)
	case starting:
		s.Routers[i].Waiting = true
		s.send(message{Kind: startRun, From: i})
		return []state{s}
	case running:
		return settleRun(s, i)
	case flushing:
		return []state{c.flushSegment(s, i)}
	}
	return nil
}

// timeoutSteps returns the state in which router i has stopped waiting for an
// answer while its message stays in flight.
func (c Config) timeoutSteps(s state, i int) []state {
	if s.LostAnswersLeft == 0 {
		return nil
	}
	s.LostAnswersLeft--
	s.InFlight = slices.Clone(s.InFlight)
	for index, m := range s.InFlight {
		if m.From == i && m.Kind != closeWrite {
			s.InFlight[index].Orphaned = true
		}
	}
	c.loseAnswer(&s, i)
	return []state{s}
}

// loseAnswer makes router i continue without knowing whether its message took
// effect.
func (c Config) loseAnswer(s *state, i int) {
	r := &s.Routers[i]
	r.Waiting = false
	r.Uncertain = r.Stage == claiming
	if c.Bug == CountUnconfirmedDraw && r.Stage == drawing {
		c.confirmDraw(s, i)
	}
	if c.Bug == RunUnconfirmedClaim && r.Stage == claiming {
		r.Stage = starting
	}
}

// draw reads the account back and draws one token, like the operation of package
// escrow.
func (c Config) draw(s state, i int) state {
	r := &s.Routers[i]
	pending, ok := r.Share.Pending()
	if ok && s.Account.Grants[routerID(i)].Seq == pending.Seq {
		c.confirmDraw(&s, i)
		return s
	}
	if ok && s.AccountVersion != r.DrawVersion {
		r.Share.Drop()
		ok = false
	}
	if !ok && s.Account.Left() < 1 {
		r.Stage = refused
		return s
	}
	next := r.Share.Begin(1, 0)
	account, err := s.Account.SetGrant(routerID(i), next.Seq, next.Granted, next.Settled)
	if err != nil {
		r.Stage = givenUp
		return s
	}
	r.DrawVersion = s.AccountVersion
	r.Waiting = true
	s.send(message{Kind: drawWrite, From: i, AccountVersion: s.AccountVersion, HolderVersion: liveVersion, Account: account})
	return s
}

// confirmDraw records a draw as stored and reserves its token.
func (c Config) confirmDraw(s *state, i int) {
	r := &s.Routers[i]
	r.Share.Confirm()
	r.Share.Reserve(1)
	r.DrawVersion = -1
	r.Stage = starting
	if c.Claims {
		r.Stage = claiming
	}
}

// claimSteps reads the claim and returns the states after the router's decision
// about it.
func (c Config) claimSteps(s state, i int) []state {
	var out []state
	if s.Routers[i].Uncertain { // reading the claim back may fail
		next := s
		next.Routers[i].Stage = refused
		next.Routers[i].Share.Cancel(1)
		out = append(out, next)
	}
	r := &s.Routers[i]
	attempt := claim.Attempt{ID: routerID(i)}
	if s.ClaimVersion == 0 {
		r.Waiting = true
		s.send(message{Kind: claimWrite, From: i, Claim: claim.New("t", "k", "h", attempt, 0)})
		return append(out, s)
	}
	action, err := s.Claim.Decide("h", attempt.ID)
	if err != nil {
		return out
	}
	other := routerIndex(s.Claim.Attempt.ID)
	switch {
	case action == claim.Run:
		r.Stage = starting
		r.Uncertain = false
	case s.Sidecar.Started[other] > 0:
		r.Stage = finished
		r.Share.Cancel(1)
	default:
		s.Sidecar.Tombstoned[other] = s.Sidecar.Tombstoned[other] || c.Bug != NoTombstone
		next, err := s.Claim.TakeOver(s.Claim.Attempt.ID, attempt)
		if err != nil {
			return out
		}
		r.Waiting = true
		s.send(message{Kind: claimWrite, From: i, ClaimVersion: s.ClaimVersion, Claim: next})
	}
	return append(out, s)
}

// settleRun returns the state in which the router has passed on the end of the
// run and settled it, if the run has ended.
func settleRun(s state, i int) []state {
	if !s.Sidecar.Ended[i] {
		return nil
	}
	s.Routers[i].Share.Settle(1, 1)
	s.Routers[i].Stage = flushing
	return []state{s}
}

// flushSegment reads the ledger segment of router i back and, unless it is
// stored already, writes it together with the account.
func (c Config) flushSegment(s state, i int) state {
	r := &s.Routers[i]
	if s.SegmentStored[i] {
		r.Share.Confirm()
		r.Stage = finished
		return s
	}
	next := r.Share.Begin(0, 1)
	account, err := s.Account.SetGrant(routerID(i), next.Seq, next.Granted, next.Settled)
	if s.HolderFenced[i] || err != nil {
		r.Stage = givenUp
		return s
	}
	r.Waiting = true
	s.send(message{Kind: flushWrite, From: i, AccountVersion: s.AccountVersion, HolderVersion: liveVersion, Account: account})
	return s
}

// recoverySteps returns the states after a step of any router that recovers
// holder i.
func (c Config) recoverySteps(s state, i int) []state {
	var out []state
	if !s.HolderFenced[i] && s.FencesLeft > 0 {
		next := s
		next.FencesLeft--
		next.HolderFenced[i] = true
		next.HolderVersion[i]++
		out = append(out, next)
	}
	if s.HolderFenced[i] && !s.Sidecar.HolderFenced[i] {
		next := s
		next.Sidecar.HolderFenced[i] = true
		out = append(out, next)
	}
	sidecarFenced := s.Sidecar.HolderFenced[i] || (c.Bug == NoSidecarFence && s.HolderFenced[i])
	active := s.Sidecar.Started[i] > 0 && !s.Sidecar.Ended[i]
	_, held := s.Account.Grants[routerID(i)]
	if sidecarFenced && !active && !held && !s.HolderClosed[i] {
		next := s
		next.HolderClosed[i] = true
		next.HolderVersion[i]++
		out = append(out, next)
	}
	if sidecarFenced && !active && held && !s.HolderClosed[i] && s.countClosesInFlight(i) < c.MaxConcurrentCloses {
		out = append(out, closeGrantSteps(s, i)...)
	}
	return out
}

// countClosesInFlight counts the writes in flight that close the grant of holder
// i.
func (s state) countClosesInFlight(i int) int {
	n := 0
	for _, m := range s.InFlight {
		if m.Kind == closeWrite && m.From == i {
			n++
		}
	}
	return n
}

// closeGrantSteps sends the write that closes the grant of holder i and stores
// the run that the holder did not store.
func closeGrantSteps(s state, i int) []state {
	runIDs := ""
	if s.Sidecar.Ended[i] && !strings.Contains(s.Ledger, routerID(i)) {
		runIDs = routerID(i)
	}
	account, err := s.Account.CloseGrant(routerID(i), int64(len(runIDs)))
	if err != nil {
		return nil
	}
	s.send(message{
		Kind: closeWrite, From: i, Orphaned: true,
		AccountVersion: s.AccountVersion, HolderVersion: s.HolderVersion[i], Account: account, RunIDs: runIDs,
	})
	return []state{s}
}

// deliverySteps returns the states after the delivery of a message, whose answer
// arrives or is lost.
func (c Config) deliverySteps(s state, index int) []state {
	m := s.InFlight[index]
	s.InFlight = slices.Delete(slices.Clone(s.InFlight), index, index+1)
	applied := c.apply(&s, m)
	if m.Orphaned {
		return []state{s}
	}
	var out []state
	if s.LostAnswersLeft > 0 {
		next := s
		next.LostAnswersLeft--
		c.loseAnswer(&next, m.From)
		out = append(out, next)
	}
	s.Routers[m.From].Waiting = false
	if applied {
		c.advance(&s, m)
	} else if m.Kind == startRun || (s.HolderFenced[m.From] && m.HolderVersion != 0) {
		s.Routers[m.From].Stage = givenUp
	}
	return append(out, s)
}

// apply processes a message at the table or the sidecar and reports whether it
// took effect.
func (c Config) apply(s *state, m message) bool {
	switch m.Kind {
	case startRun:
		return s.startRun(m.From)
	case claimWrite:
		if m.ClaimVersion != s.ClaimVersion {
			return false
		}
		s.Claim = m.Claim
		s.ClaimVersion++
		return true
	}
	holderMatches := m.HolderVersion == s.HolderVersion[m.From] || (c.Bug == NoHolderFence && m.Kind != closeWrite)
	if m.AccountVersion != s.AccountVersion || !holderMatches || (m.Kind == flushWrite && s.SegmentStored[m.From]) {
		return false
	}
	s.Account = m.Account
	s.AccountVersion++
	s.Ledger += m.RunIDs
	if m.Kind == flushWrite {
		s.SegmentStored[m.From] = true
		s.Ledger += routerID(m.From)
	}
	return true
}

// startRun processes a start at the sidecar and reports whether the run of
// router i has been started.
func (s *state) startRun(i int) bool {
	if s.Sidecar.Started[i] > 0 {
		return true // a repeated start attaches to the run
	}
	if s.Sidecar.HolderFenced[i] || s.Sidecar.Tombstoned[i] {
		return false
	}
	s.Sidecar.Started[i]++
	return true
}

// advance moves router m.From to its next stage after the answer to a message
// that took effect.
func (c Config) advance(s *state, m message) {
	r := &s.Routers[m.From]
	r.Uncertain = false
	switch m.Kind {
	case drawWrite:
		c.confirmDraw(s, m.From)
	case claimWrite:
		r.Stage = starting
	case startRun:
		r.Stage = running
	case flushWrite:
		r.Share.Confirm()
		r.Stage = finished
	}
}
