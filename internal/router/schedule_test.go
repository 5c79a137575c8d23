package router

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"tarragonridge.example/tarragonridge/internal/core/admit"
	"tarragonridge.example/tarragonridge/internal/core/errkind"
	"tarragonridge.example/tarragonridge/internal/core/ledger"
	"tarragonridge.example/tarragonridge/internal/core/policy"
	"tarragonridge.example/tarragonridge/internal/rpc"
	"tarragonridge.example/tarragonridge/internal/wire"
)

func failedEnd() wire.RunEnd {
	return wire.RunEnd{Kind: errkind.TargetFailed, Record: ledger.Record{Outcome: ledger.Failed}}
}

// Guards against a target that answers errors at once and therefore looks idle
// attracting all requests.
func TestFailingTargetGetsWorkLast(t *testing.T) {
	now := time.Unix(1000, 0)
	preset := policy.Preset{TargetChoice: policy.LeastLoad}
	s := newScheduler(1, func() policy.Preset { return preset }, func() time.Time { return now })
	bad := &target{id: "bad", pool: "p", conn: &rpc.Conn{}}
	good := &target{id: "good", pool: "p", conn: &rpc.Conn{}, inFlight: 5}
	s.add(bad)
	s.add(good)
	w := &waiter{Ticket: admit.Ticket{Pool: "p"}}
	assert.Equal(t, s.place(w), bad)
	bad.noteEnd(now, nil, failedEnd())
	assert.Equal(t, s.place(w), good)
	good.draining = true
	assert.Equal(t, s.place(w), bad, "the only target is tried")
	good.draining = false
	bad.noteEnd(now, nil, failedEnd())
	now = now.Add(firstFailureDelay + 1)
	assert.Equal(t, s.place(w), good, "the delay doubles")
	now = now.Add(firstFailureDelay)
	assert.Equal(t, s.place(w), bad)
	bad.noteEnd(now, nil, wire.RunEnd{Record: ledger.Record{Outcome: ledger.Complete}})
	assert.Equal(t, bad.failures, 0)
}

// Guards against a load that reads one too low between the end of a run and the
// release of its slot.
func TestLoadAfterTheEndOfAnOwnRun(t *testing.T) {
	own := &run{res: inertReservation{}}
	tg := &target{inFlight: 2}
	tg.noteEnd(time.Unix(1000, 0), own, wire.RunEnd{Active: 4}) // 1 of this router, 3 of others
	assert.Equal(t, tg.candidate().Load(), 5)
	tg.inFlight--
	assert.Equal(t, tg.candidate().Load(), 4)
}

type inertReservation struct{}

func (inertReservation) Holder() string       { return "" }
func (inertReservation) Tokens() int64        { return 0 }
func (inertReservation) Lower(int64)          {}
func (inertReservation) Cancel()              {}
func (inertReservation) Settle(ledger.Record) {}
