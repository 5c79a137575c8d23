package room

import "time"

const (
	// tellAfter is how long the host must be full before it tells the other gateways that
	// it wants to leave the rotation, and tellSpread the greatest random time in addition.
	tellAfter  = 500 * time.Millisecond
	tellSpread = 250 * time.Millisecond
	// doubtAfter is how long the host must be full before it says that it is not ready. If
	// it does not stay full until leaveAfter, it is ready again: the load balancer takes it
	// out only after two checks in a row, which are one second apart. A burst of two
	// seconds, and what has piled up by its end, fills it for three.
	doubtAfter = 2250 * time.Millisecond
	leaveAfter = 3250 * time.Millisecond
	// confirmTimeout is how long the host waits to read back that others were told. A full
	// link may keep it from reading anything. It then leaves unconfirmed, turnTime after
	// the gateway whose turn is before its own. Until it leaves, ever more waits in front of
	// its link.
	confirmTimeout = 500 * time.Millisecond
	turnTime       = 200 * time.Millisecond
	// firstRetry and maxRetry bound the time after which the host tries again to leave.
	firstRetry = time.Second
	maxRetry   = 16 * time.Second
	// noticeTime is the time in which the load balancer notices a change of readiness: two
	// checks, which are one second apart, and a margin.
	noticeTime = 2500 * time.Millisecond
	// minStay and maxStay bound how long the host stays out of rotation at least. A return
	// after which the host is full again costs its callers doubtAfter and noticeTime, so
	// minStay is ten times that. A host that is full again soon stays out twice as long.
	minStay = 50 * time.Second
	maxStay = 10 * time.Minute
	// returnLoad is the load below which there is lasting room, and returnAfter how long.
	returnLoad  = 0.5
	returnAfter = 2 * time.Second
	// releaseInterval is the time between two decisions about how much load is let go. It
	// is longer than loadWindow, so that the load shows what the last one brought.
	releaseInterval = time.Second
	// maxReleasePause bounds how many decisions are left out while released callers come
	// back.
	maxReleasePause = 16
)

// state is the state of a host in the rotation of the load balancer.
type state int

const (
	in      state = iota // gets new connections
	leaving              // has told the other gateways that it wants to leave
	doubt                // says that it is not ready, and may take that back
	out                  // says that it is not ready for a while
)

// Peers is what is known of the gateways of the same failure domain.
type Peers struct {
	Members   int  // gateways of the domain, this one included
	Out       int  // those that are out of rotation or want to be, this one included if Confirmed
	Confirmed bool // this gateway's own wish was read back
	Turn      int  // place of this gateway in a fixed order of the domain, from 0
}

// allow reports whether so many gateways of the domain may be out of rotation: a third,
// rounded up, but not the only one.
func (p Peers) allow(out int) bool { return p.Members > 1 && out <= (p.Members+2)/3 }

// callerLoad is the load that ends with the connections of callers.
type callerLoad struct {
	load      float64 // as a fraction of the threshold for Full
	bytesPerS float64 // the way that has more
}

// Rotation decides whether the load balancer should send new connections, and which
// connections are let go.
type Rotation struct {
	random func(time.Duration) time.Duration // below its argument

	state     state
	fullSince time.Time     // zero while not full
	spread    time.Duration // in addition to tellAfter
	since     time.Time     // start of the state
	unready   time.Time     // when the host last said that it is not ready
	retry     time.Duration // pause after the last attempt to leave that failed
	notBefore time.Time     // no attempt to leave earlier
	returned  time.Time     // when the host last came back; zero if it never left
	stay      time.Duration // least time out of rotation
	roomSince time.Time     // zero while there is no lasting room

	releaseAt      time.Time // next decision
	quota          float64   // load to be let go, bytes per second
	released       int64     // connections since the last decision
	acceptedAt     int64     // connections accepted up to the last decision
	skip, skipNext int       // decisions to leave out, now and the next time
}

func newRotation(random func(time.Duration) time.Duration) Rotation {
	return Rotation{random: random, stay: minStay, retry: firstRetry, skipNext: 1}
}

// Ready reports whether the host should get new connections.
func (r *Rotation) Ready() bool { return r.state != out && r.state != doubt }

// Announced reports whether the other gateways are to be told that this host is out of
// rotation, or wants to be.
func (r *Rotation) Announced() bool { return r.state != in }

// Stay returns how long the host stays out of rotation at least.
func (r *Rotation) Stay() time.Duration { return r.stay }

func (r *Rotation) enter(now time.Time, s state) { r.state, r.since = s, now }

func (r *Rotation) observe(now time.Time, level Level, load callerLoad, accepted int64, peers Peers) {
	switch {
	case level != Full:
		r.fullSince = time.Time{}
	case r.fullSince.IsZero():
		r.fullSince, r.spread = now, r.random(tellSpread)
	}
	switch r.state {
	case in:
		if r.fullFor(now, tellAfter+r.spread) && !now.Before(r.notBefore) && peers.allow(peers.Out+1) {
			r.enter(now, leaving)
		}
	case leaving, doubt:
		r.observeLeaving(now, peers, accepted)
	case out:
		r.observeOut(now, load, accepted)
	}
}

func (r *Rotation) observeLeaving(now time.Time, peers Peers, accepted int64) {
	others := peers.Out
	if peers.Confirmed {
		others--
	}
	switch {
	case r.fullSince.IsZero():
		r.enter(now, in)
	case !peers.allow(others + 1):
		r.notBefore = now.Add(r.retry/2 + r.random(r.retry))
		r.retry = min(2*r.retry, maxRetry)
		r.enter(now, in)
	case r.state == leaving:
		inTurn := now.Sub(r.since) >= confirmTimeout && r.fullFor(now, doubtAfter+time.Duration(peers.Turn)*turnTime)
		if inTurn || peers.Confirmed && r.fullFor(now, doubtAfter) {
			r.unready = now
			r.enter(now, doubt)
		}
	case r.fullFor(now, leaveAfter) && now.Sub(r.since) >= leaveAfter-doubtAfter:
		if !r.returned.IsZero() && now.Sub(r.returned) < 2*r.stay {
			r.stay = min(2*r.stay, maxStay)
		} else {
			r.stay = minStay
		}
		r.retry = firstRetry
		r.leave(now, accepted)
	}
}

// fullFor reports whether the host has been full for a time.
func (r *Rotation) fullFor(now time.Time, d time.Duration) bool {
	return !r.fullSince.IsZero() && now.Sub(r.fullSince) >= d
}

// Relief returns the time after which callers who are told to come back reach another
// gateway, as far as is known: 0 if the host is out of rotation, or never will be.
func (r *Rotation) Relief(now time.Time) time.Duration {
	var at time.Time
	switch {
	case r.state == out || r.state == doubt:
		at = r.unready.Add(noticeTime)
	case r.fullSince.IsZero() || now.Before(r.notBefore):
		return 0
	default:
		at = r.fullSince.Add(doubtAfter + noticeTime)
	}
	return max(at.Sub(now), 0)
}

func (r *Rotation) leave(now time.Time, accepted int64) {
	r.enter(now, out)
	r.roomSince = time.Time{}
	r.releaseAt, r.quota, r.released, r.acceptedAt = r.unready.Add(noticeTime), 0, 0, accepted
	r.skip, r.skipNext = 0, 1
}

// Resume takes the host out of rotation at the start of a process, where the one before
// was out, or wanted to be, for at least stay.
func (r *Rotation) Resume(now time.Time, stay time.Duration, peers Peers) {
	if r.state != in || !peers.allow(peers.Out) {
		return
	}
	r.stay = min(max(stay, minStay), maxStay)
	r.unready = now
	r.leave(now, 0)
}

func (r *Rotation) observeOut(now time.Time, load callerLoad, accepted int64) {
	switch {
	case load.load >= returnLoad || !r.fullSince.IsZero():
		r.roomSince = time.Time{}
	case r.roomSince.IsZero():
		r.roomSince = now
	case now.Sub(r.roomSince) >= returnAfter && now.Sub(r.since) >= r.stay:
		r.quota, r.returned = 0, now
		r.enter(now, in)
		return
	}
	if now.Before(r.releaseAt) {
		return
	}
	r.releaseAt = now.Add(releaseInterval)
	r.decideRelease(load, accepted-r.acceptedAt)
	r.released, r.acceptedAt = 0, accepted
}

// decideRelease decides how much load is let go until the next decision. Callers that
// were let go and come back are not let go again for a while: the load balancer has no
// other gateway for them.
func (r *Rotation) decideRelease(load callerLoad, accepted int64) {
	r.quota = 0
	switch {
	case r.skip > 0:
		r.skip--
	case r.released > 0 && 2*accepted > r.released:
		r.skip, r.skipNext = r.skipNext, min(2*r.skipNext, maxReleasePause)
	case load.load > busyPart:
		r.quota = load.bytesPerS * (load.load - busyPart) / load.load
	}
}

// Release reports whether the connection of a whole answer is to be closed. bytesPerS is
// the load of the connection each way.
func (r *Rotation) Release(bytesPerS float64) bool {
	if r.state != out || r.quota <= 0 {
		return false
	}
	r.quota -= max(bytesPerS, 1)
	r.released++
	return true
}
