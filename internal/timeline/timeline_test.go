package timeline

import (
	"bytes"
	"log/slog"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"tarragonridge.example/tarragonridge/internal/core/hlc"
	"tarragonridge.example/tarragonridge/internal/wire"
)

func fixedClock(sec int64) func() time.Time { return func() time.Time { return time.Unix(sec, 0) } }

// Guards against an event preceding its cause when the wall clock of the
// process that received the message is behind.
func TestMergeIsCausalDespiteClockSkew(t *testing.T) {
	senderClock, receiverClock := &hlc.Clock{}, &hlc.Clock{}
	sender := New(Options{Process: "router-a", Clock: senderClock, Now: fixedClock(1000)})
	receiver := New(Options{Process: "sidecar-b", Clock: receiverClock, Now: fixedClock(10)})
	receiver.Record("idle")
	sender.Record("send", slog.String(AttrRequestID, "r1"))
	receiverClock.Observe(time.Unix(10, 0), senderClock.Now(time.Unix(1000, 0)))
	receiver.Record("receive", slog.String(AttrRequestID, "r1"), slog.Int("bytes", 5))
	merged := Merge([]wire.TimelineResult{receiver.Query(wire.TimelineQuery{}), sender.Query(wire.TimelineQuery{})}, 0)
	var names []string
	for _, e := range merged.Events {
		names = append(names, e.Name)
	}
	assert.DeepEqual(t, names, []string{"idle", "send", "receive"})
	var text bytes.Buffer
	assert.NilError(t, merged.WriteText(&text))
	assert.Assert(t, strings.Contains(text.String(), "process=sidecar-b event=receive request_id=r1 bytes=5\n"), text.String())
	assert.Equal(t, len(Merge([]wire.TimelineResult{sender.Query(wire.TimelineQuery{})}, 1).Events), 1)
}

// Guards against a full ring miscounting dropped events or returning events out
// of order, and against filters that match events of other requests.
func TestRingKeepsTheLatest(t *testing.T) {
	ring := New(Options{Process: "p", Capacity: 3, Now: fixedClock(5)})
	for _, id := range []string{"a", "b", "c", "a", "c"} {
		ring.Record("e", slog.String(AttrRequestID, id))
	}
	all := ring.Query(wire.TimelineQuery{})
	assert.Equal(t, all.Dropped, int64(2))
	assert.Equal(t, len(all.Events), 3)
	assert.Assert(t, all.Events[0].Stamp.Before(all.Events[2].Stamp))
	assert.Equal(t, len(ring.Query(wire.TimelineQuery{RequestID: "c"}).Events), 2)
	assert.DeepEqual(t, ring.Query(wire.TimelineQuery{RequestID: "c", Limit: 1}).Events, all.Events[2:])
	assert.Equal(t, len(ring.Query(wire.TimelineQuery{FromUS: 6e6}).Events), 0)
	assert.Equal(t, len(ring.Query(wire.TimelineQuery{ToUS: 4e6}).Events), 0)
}

// Guards against the log record and the recorded event having different contents,
// and against a line break in a value that splits an event into two lines of text.
func TestRecordWritesTheLine(t *testing.T) {
	var out bytes.Buffer
	ring := New(Options{Process: "p", Now: fixedClock(5), Logger: slog.New(slog.NewTextHandler(&out, nil))})
	ring.Record("run_end", slog.String(AttrRunID, "x"), slog.String("note", "two words\nand=more"))
	event := ring.Query(wire.TimelineQuery{}).Events[0]
	assert.Equal(t, event.RunID, "x")
	for _, part := range []string{"msg=run_end", "run_id=x", "hlc=" + event.Stamp.String()} {
		assert.Assert(t, strings.Contains(out.String(), part), out.String())
	}
	var text bytes.Buffer
	assert.NilError(t, Merge([]wire.TimelineResult{{Events: []wire.TimelineEvent{event}}}, 0).WriteText(&text))
	assert.Equal(t, strings.Count(text.String(), "\n"), 1)
}
