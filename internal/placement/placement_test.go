package placement

import (
	"context"
	"log/slog"
	"math"
	"net"
	"net/netip"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/prometheus/client_golang/prometheus"
	"gotest.tools/v3/assert"

	"tarragonridge.example/tarragonridge/internal/core/placement"
)

// startRelay starts a server on an address, with the queue of its engine.
func startRelay(t *testing.T, address string) (*placement.Queue, int) {
	t.Helper()
	udp, err := net.ResolveUDPAddr("udp4", address)
	assert.NilError(t, err)
	conn, err := net.ListenUDP("udp4", udp)
	assert.NilError(t, err)
	s := &Server{Queue: placement.NewQueue(), Logger: slog.New(slog.DiscardHandler)}
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- s.Serve(ctx, conn) }()
	t.Cleanup(func() { stop(); assert.NilError(t, <-done) })
	return s.Queue, conn.LocalAddr().(*net.UDPAddr).Port
}

func startClient(t *testing.T, port int) *Client {
	t.Helper()
	c, err := NewClient(port, slog.New(slog.DiscardHandler), prometheus.NewRegistry())
	assert.NilError(t, err)
	go c.Run()
	t.Cleanup(c.Close)
	return c
}

const testTimeout = 200 * time.Millisecond

// Guards against loads that are not told, or not attributed to their engine, and against
// requests that count after their end.
func TestLoadsOfEngines(t *testing.T) {
	_, port := startRelay(t, "127.0.0.2:0")
	startRelay(t, "127.0.0.3:"+strconv.Itoa(port))
	c := startClient(t, port)
	engines := []string{"127.0.0.2:80", "127.0.0.3:80"}
	p := placement.Prompt{Tokens: 900, Parts: []placement.Part{{Hash: 1, Tokens: 400}, {Hash: 2, Tokens: 700}}}
	r := c.Begin(engines[1], 10_000, p)
	loads := func() []*placement.Load { return c.Loads(context.Background(), engines, p, testTimeout) }
	got := loads()
	assert.DeepEqual(t, got, []*placement.Load{{}, {WaitingTokens: 900, CachedTokens: 700, Running: 1, HeldTokens: 900, MemoryTokens: 10_000}})
	r.FirstEvent()
	r.FirstEvent()
	assert.DeepEqual(t, loads()[1], &placement.Load{CachedTokens: 700, Running: 1, HeldTokens: 900, MemoryTokens: 10_000})
	r.End()
	assert.DeepEqual(t, loads()[1], &placement.Load{CachedTokens: 700, MemoryTokens: 10_000})
	var none *Request
	none.FirstEvent()
	none.End()
}

// Guards against requests that wait each time for a relay that does not answer, and
// against one that is not asked again when it is back.
func TestSilentRelayIsAskedRarely(t *testing.T) {
	_, port := startRelay(t, "127.0.0.2:0")
	c := startClient(t, port)
	engines := []string{"127.0.0.2:80", "127.0.0.4:80", "no address"}
	waitForLoads := func() ([]*placement.Load, time.Duration) {
		began := time.Now()
		return c.Loads(context.Background(), engines, placement.Prompt{Tokens: 1}, testTimeout), time.Since(began)
	}
	loads, took := waitForLoads()
	assert.Assert(t, loads[0] != nil && loads[1] == nil && loads[2] == nil && took >= testTimeout)
	loads, took = waitForLoads()
	assert.Assert(t, loads[0] != nil && loads[1] == nil && took < testTimeout, "%v", took)
	startRelay(t, "127.0.0.4:"+strconv.Itoa(port))
	time.Sleep(firstSilence)
	loads, _ = waitForLoads()
	assert.Assert(t, loads[1] != nil)
}

// Guards against messages that are acted on though they are too long, of another version,
// repeated, out of range or from a host that was not asked.
func TestInvalidMessagesAreDropped(t *testing.T) {
	s := &Server{Queue: placement.NewQueue(), Logger: slog.New(slog.DiscardHandler)}
	now := time.Now()
	for name, m := range map[string]message{
		"kind": {Kind: 99, ID: 1}, "tokens": {Kind: kindBegin, ID: 1, Tokens: -1}, "huge": {Kind: kindBegin, ID: 1, Tokens: maxTokens + 1},
		"parts out of order": {Kind: kindBegin, ID: 1, Parts: [][2]uint64{{1, 5}, {2, 4}}}, "memory": {Kind: kindBegin, ID: 1, Memory: -1},
		"output": {Kind: kindBegin, ID: 1, Output: -1}, "read": {Kind: kindLoad, ID: 1, Read: -1}, "wait": {Kind: kindLoad, ID: 1, Wait: maxDuration + 1},
	} {
		data, err := encode(m)
		assert.NilError(t, err)
		_, answered := s.handle(now, data, netip.AddrPort{})
		assert.Assert(t, !answered && s.Queue.Load(now, placement.Prompt{}).Running == 0, name)
	}
	for name, data := range map[string][]byte{"empty": nil, "rubbish": []byte("rubbish"), "long": []byte(strings.Repeat("x", maxMessageBytes+1)), "version": {0xa2, 1, 9, 2, 3}} {
		_, answered := s.handle(now, data, netip.AddrPort{})
		assert.Assert(t, !answered, name)
	}
	c := startClient(t, 1)
	answers := make(chan result, 1)
	id, ok := c.ask("127.0.0.2:80", placement.Prompt{}, 0, answers)
	assert.Assert(t, ok)
	data, err := encode(message{Kind: kindLoad, ID: id, Waiting: 7})
	assert.NilError(t, err)
	asked := netip.AddrPortFrom(netip.MustParseAddr("127.0.0.2"), 1)
	c.receive(data, netip.AddrPortFrom(netip.MustParseAddr("127.0.0.3"), 1))
	c.receive(data, netip.AddrPortFrom(asked.Addr(), 2))
	assert.Equal(t, len(answers), 0)
	c.receive(data, asked)
	c.receive(data, asked) // repeated
	assert.Equal(t, (<-answers).load.WaitingTokens, int64(7))
	assert.Equal(t, len(answers), 0)
}

// firstMessage is a message as processes without estimates know it.
type firstMessage struct {
	Version uint8       `cbor:"1,keyasint"`
	Kind    kind        `cbor:"2,keyasint"`
	ID      uint64      `cbor:"3,keyasint"`
	Tokens  int64       `cbor:"4,keyasint,omitempty"`
	Parts   [][2]uint64 `cbor:"5,keyasint,omitempty"`
	Waiting int64       `cbor:"6,keyasint,omitempty"`
	Cached  int64       `cbor:"7,keyasint,omitempty"`
	Running int         `cbor:"8,keyasint,omitempty"`
	Memory  int64       `cbor:"9,keyasint,omitempty"`
}

// Guards against relays and gateways of different age that do not understand each other
// during a rolling restart.
func TestOlderProcessesAreUnderstood(t *testing.T) {
	load := message{Kind: kindLoad, ID: 7}
	load.setLoad(placement.Load{WaitingTokens: 5, CachedTokens: 4, Running: 3, HeldTokens: 2, MemoryTokens: 9, Wait: time.Second, Pace: placement.Pace{Read: time.Second}})
	data, err := encode(load)
	assert.NilError(t, err)
	var old firstMessage
	assert.NilError(t, decoding.Unmarshal(data, &old))
	assert.DeepEqual(t, old, firstMessage{Version: 1, Kind: kindLoad, ID: 7, Waiting: 5, Cached: 4, Running: 3, Memory: 9})
	data, err = cbor.Marshal(firstMessage{Version: 1, Kind: kindLoad, ID: 7, Waiting: 5, Cached: 4, Running: 3})
	assert.NilError(t, err)
	m, err := decode(data)
	assert.NilError(t, err)
	assert.Equal(t, m.load(), placement.Load{WaitingTokens: 5, CachedTokens: 4, Running: 3})
	server := &Server{Queue: placement.NewQueue(), Logger: slog.New(slog.DiscardHandler)}
	for _, old := range []firstMessage{{Kind: kindBegin, ID: 1, Tokens: 900}, {Kind: kindFirstEvent, ID: 1}, {Kind: kindEnd, ID: 1}} {
		old.Version = 1
		data, err := cbor.Marshal(old)
		assert.NilError(t, err)
		server.handle(time.Now(), data, netip.AddrPort{})
	}
	assert.Equal(t, server.invalid, 0)
	assert.Equal(t, server.Queue.Load(time.Now(), placement.Prompt{}).Running, 0)
}

// Guards against bytes of another host that crash a process or are taken for a message
// with values out of range.
func FuzzDecode(f *testing.F) {
	m := message{Kind: kindBegin, ID: 1, Memory: 5}
	m.setPrompt(placement.Prompt{Tokens: 9, Parts: []placement.Part{{Hash: 1, Tokens: 4}, {Hash: 2, Tokens: 8}}})
	data, err := encode(m)
	assert.NilError(f, err)
	f.Add(data)
	f.Fuzz(func(t *testing.T, data []byte) {
		m, err := decode(data)
		if err != nil {
			return
		}
		again, err := encode(m)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := decode(again); err != nil {
			t.Fatalf("%+v is encoded as something that is invalid: %v", m, err)
		}
		q := placement.NewQueue()
		q.Begin(time.Now(), m.ID, m.prompt())
		if load := q.Load(time.Now(), m.prompt()); load.WaitingTokens < 0 || load.CachedTokens < 0 {
			t.Fatalf("%+v makes the load %+v", m, load)
		}
	})
}

// Guards against a caller that states parts of a nonsensical size, so that relays drop the
// messages about its prompt and count as silent for the requests of all callers.
func TestPromptWithNonsensicalPartsIsAskedAbout(t *testing.T) {
	_, port := startRelay(t, "127.0.0.2:0")
	for name, parts := range map[string][]placement.Part{
		"huge":      {{Hash: 1, Tokens: 100}, {Hash: 2, Tokens: maxTokens + 1}},
		"overflown": {{Hash: 1, Tokens: math.MaxInt64}, {Hash: 2, Tokens: math.MinInt64}},
	} {
		c := startClient(t, port)
		ask := func(p placement.Prompt) *placement.Load {
			return c.Loads(context.Background(), []string{"127.0.0.2:80"}, p, testTimeout)[0]
		}
		assert.Check(t, ask(placement.Prompt{Tokens: 900, Parts: parts}) != nil, name)
		assert.Check(t, ask(placement.Prompt{Tokens: 900}) != nil, "%s: the next caller", name)
	}
}
