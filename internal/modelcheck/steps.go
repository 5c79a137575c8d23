package modelcheck

import (
	"slices"
	"strings"

	"tarragonridge.example/tarragonridge/internal/core/claim"
)

// successors returns every state that one step leads to.
func (c Config) successors(s state) []state {
	var out []state
	for i, r := range s.Routers {
		if r.Stage == crashed {
			continue
		}
		if !r.Stage.over() {
			out = append(out, c.act(s, i)...)
		}
		if s.CrashesLeft > 0 {
			out = append(out, crash(s, i))
		}
	}
	for at := range s.InFlight {
		out = append(out, c.deliver(s, at)...)
	}
	for i := range s.Routers {
		out = append(out, c.recovery(s, i)...)
	}
	return append(out, s.runEnds()...)
}

func crash(s state, i int) state {
	s.CrashesLeft--
	s.Routers[i] = router{Stage: crashed, DrawVersion: -1}
	s.InFlight = slices.Clone(s.InFlight)
	for at := range s.InFlight {
		if s.InFlight[at].From == i && s.InFlight[at].Kind != closeWrite {
			s.InFlight[at].Orphaned = true
		}
	}
	return s
}

func (s state) runEnds() []state {
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

// act returns the steps of router i on its own.
func (c Config) act(s state, i int) []state {
	if s.Routers[i].Waiting {
		return c.timeOut(s, i)
	}
	switch s.Routers[i].Stage {
	case drawing:
		return []state{c.draw(s, i)}
	case claiming:
		return c.claim(s, i)
	case starting:
		s.Routers[i].Waiting = true
		s.send(message{Kind: startRun, From: i})
		return []state{s}
	case running:
		return answer(s, i)
	case flushing:
		return []state{c.flush(s, i)}
	}
	return nil
}

// timeOut gives up waiting while the message stays in flight.
func (c Config) timeOut(s state, i int) []state {
	if s.LostAnswersLeft == 0 {
		return nil
	}
	s.LostAnswersLeft--
	s.InFlight = slices.Clone(s.InFlight)
	for at, m := range s.InFlight {
		if m.From == i && m.Kind != closeWrite {
			s.InFlight[at].Orphaned = true
		}
	}
	c.answerLost(&s, i)
	return []state{s}
}

// answerLost tells router i that the fate of its message is unknown.
func (c Config) answerLost(s *state, i int) {
	r := &s.Routers[i]
	r.Waiting = false
	r.Uncertain = r.Stage == claiming
	if c.Bug == CountUnconfirmedDraw && r.Stage == drawing {
		c.drawn(s, i)
	}
	if c.Bug == RunUnconfirmedClaim && r.Stage == claiming {
		r.Stage = starting
	}
}

// draw reads the account back and draws one token, as escrow's operation does.
func (c Config) draw(s state, i int) state {
	r := &s.Routers[i]
	pending, ok := r.Holder.Pending()
	if ok && s.Account.Grants[name(i)].Seq == pending.Seq {
		c.drawn(&s, i)
		return s
	}
	if ok && s.AccountVersion != r.DrawVersion {
		r.Holder.Drop()
		ok = false
	}
	if !ok && s.Account.Left() < 1 {
		r.Stage = refused
		return s
	}
	next := r.Holder.Begin(1, 0)
	account, err := s.Account.SetGrant(name(i), next.Seq, next.Granted, next.Settled)
	if err != nil {
		r.Stage = givenUp
		return s
	}
	r.DrawVersion = s.AccountVersion
	r.Waiting = true
	s.send(message{Kind: drawWrite, From: i, AccountVersion: s.AccountVersion, HolderVersion: liveVersion, Account: account})
	return s
}

// drawn counts a draw and reserves it.
func (c Config) drawn(s *state, i int) {
	r := &s.Routers[i]
	r.Holder.Confirm()
	r.Holder.Reserve(1)
	r.DrawVersion = -1
	r.Stage = starting
	if c.Claims {
		r.Stage = claiming
	}
}

// claim reads the claim and decides.
func (c Config) claim(s state, i int) []state {
	var out []state
	if s.Routers[i].Uncertain { // the read-back may be impossible
		next := s
		next.Routers[i].Stage = refused
		next.Routers[i].Holder.Cancel(1)
		out = append(out, next)
	}
	r := &s.Routers[i]
	mine := claim.Attempt{ID: name(i)}
	if s.ClaimVersion == 0 {
		r.Waiting = true
		s.send(message{Kind: claimWrite, From: i, Claim: claim.New("t", "k", "h", mine, 0)})
		return append(out, s)
	}
	action, err := s.Claim.Decide("h", mine.ID)
	if err != nil {
		return out
	}
	other := index(s.Claim.Attempt.ID)
	switch {
	case action == claim.Run:
		r.Stage = starting
		r.Uncertain = false
	case s.Sidecar.Started[other] > 0:
		r.Stage = finished
		r.Holder.Cancel(1)
	default:
		s.Sidecar.Tombstoned[other] = s.Sidecar.Tombstoned[other] || c.Bug != NoTombstone
		next, err := s.Claim.TakeOver(s.Claim.Attempt.ID, mine)
		if err != nil {
			return out
		}
		r.Waiting = true
		s.send(message{Kind: claimWrite, From: i, ClaimVersion: s.ClaimVersion, Claim: next})
	}
	return append(out, s)
}

// answer relays the end of the run and settles it.
func answer(s state, i int) []state {
	if !s.Sidecar.Ended[i] {
		return nil
	}
	s.Routers[i].Holder.Settle(1, 1)
	s.Routers[i].Stage = flushing
	return []state{s}
}

// flush reads its segment back and stores it together with the account.
func (c Config) flush(s state, i int) state {
	r := &s.Routers[i]
	if s.SegmentStored[i] {
		r.Holder.Confirm()
		r.Stage = finished
		return s
	}
	next := r.Holder.Begin(0, 1)
	account, err := s.Account.SetGrant(name(i), next.Seq, next.Granted, next.Settled)
	if s.HolderFenced[i] || err != nil {
		r.Stage = givenUp
		return s
	}
	r.Waiting = true
	s.send(message{Kind: flushWrite, From: i, AccountVersion: s.AccountVersion, HolderVersion: liveVersion, Account: account})
	return s
}

// recovery returns the steps of any observer that recovers holder i.
func (c Config) recovery(s state, i int) []state {
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
	promised := s.Sidecar.HolderFenced[i] || (c.Bug == NoSidecarFence && s.HolderFenced[i])
	active := s.Sidecar.Started[i] > 0 && !s.Sidecar.Ended[i]
	_, held := s.Account.Grants[name(i)]
	if promised && !active && !held && !s.HolderClosed[i] {
		next := s
		next.HolderClosed[i] = true
		next.HolderVersion[i]++
		out = append(out, next)
	}
	if promised && !active && held && !s.HolderClosed[i] && s.closesInFlight(i) < c.MaxConcurrentCloses {
		out = append(out, closing(s, i)...)
	}
	return out
}

func (s state) closesInFlight(i int) int {
	n := 0
	for _, m := range s.InFlight {
		if m.Kind == closeWrite && m.From == i {
			n++
		}
	}
	return n
}

func closing(s state, i int) []state {
	records := ""
	if s.Sidecar.Ended[i] && !strings.Contains(s.Ledger, name(i)) {
		records = name(i)
	}
	account, err := s.Account.CloseGrant(name(i), int64(len(records)))
	if err != nil {
		return nil
	}
	s.send(message{
		Kind: closeWrite, From: i, Orphaned: true,
		AccountVersion: s.AccountVersion, HolderVersion: s.HolderVersion[i], Account: account, RunIDs: records,
	})
	return []state{s}
}

// deliver hands over one message. Its answer arrives or is lost.
func (c Config) deliver(s state, at int) []state {
	m := s.InFlight[at]
	s.InFlight = slices.Delete(slices.Clone(s.InFlight), at, at+1)
	applied := c.apply(&s, m)
	if m.Orphaned {
		return []state{s}
	}
	var out []state
	if s.LostAnswersLeft > 0 {
		next := s
		next.LostAnswersLeft--
		c.answerLost(&next, m.From)
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

// apply makes the table or the sidecar act on a message and reports whether it
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
	holderOK := m.HolderVersion == s.HolderVersion[m.From] || (c.Bug == NoHolderFence && m.Kind != closeWrite)
	if m.AccountVersion != s.AccountVersion || !holderOK || (m.Kind == flushWrite && s.SegmentStored[m.From]) {
		return false
	}
	s.Account = m.Account
	s.AccountVersion++
	s.Ledger += m.RunIDs
	if m.Kind == flushWrite {
		s.SegmentStored[m.From] = true
		s.Ledger += name(m.From)
	}
	return true
}

func (s *state) startRun(i int) bool {
	if s.Sidecar.Started[i] > 0 {
		return true // a repeat attaches to the run
	}
	if s.Sidecar.HolderFenced[i] || s.Sidecar.Tombstoned[i] {
		return false
	}
	s.Sidecar.Started[i]++
	return true
}

// advance moves router m.From on after a confirmed message.
func (c Config) advance(s *state, m message) {
	r := &s.Routers[m.From]
	r.Uncertain = false
	switch m.Kind {
	case drawWrite:
		c.drawn(s, m.From)
	case claimWrite:
		r.Stage = starting
	case startRun:
		r.Stage = running
	case flushWrite:
		r.Holder.Confirm()
		r.Stage = finished
	}
}
