package placement

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"tarragonridge.example/tarragonridge/internal/core/placement"
)

// Pauses after which a relay that did not answer is asked again. They double.
const (
	firstSilence = 500 * time.Millisecond
	maxSilence   = 8 * time.Second
)

// Client asks relays for the load of their engines and tells them what it places there.
// It is safe for concurrent use.
type Client struct {
	conn   *net.UDPConn
	port   uint16 // of all relays
	logger *slog.Logger

	queries *prometheus.CounterVec

	mu      sync.Mutex
	waiting map[uint64]*query // by id
	silent  map[netip.Addr]silence
	known   placement.Known
}

// query is a question to a relay that has not been answered.
type query struct {
	to     netip.Addr
	answer chan<- result // with room for the answers of all relays that are asked
	index  int
}

type result struct {
	index int
	load  placement.Load
}

// silence is the state of a relay that did not answer.
type silence struct {
	until time.Time // it is not asked before
	pause time.Duration
}

// NewClient opens a socket for the relays, all of which listen on one port.
func NewClient(relayPort int, logger *slog.Logger, r prometheus.Registerer) (*Client, error) {
	conn, err := net.ListenUDP("udp4", nil)
	if err != nil {
		return nil, err
	}
	c := &Client{
		conn: conn, port: uint16(relayPort), logger: logger, waiting: map[uint64]*query{}, silent: map[netip.Addr]silence{},
		queries: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "tarragonridge_placement_queries_total",
			Help: "Questions to relays about the load of their engines, by result: answered, late, skipped (silent before) or invalid.",
		}, []string{"result"}),
	}
	r.MustRegister(c.queries)
	return c, nil
}

// Close closes the socket and ends Run.
func (c *Client) Close() { _ = c.conn.Close() }

// Run receives answers until Close.
func (c *Client) Run() {
	buf := make([]byte, maxMessageBytes+1)
	for {
		n, from, err := c.conn.ReadFromUDPAddrPort(buf)
		if err != nil {
			return // only Close makes it fail
		}
		c.receive(buf[:n], from)
	}
}

func (c *Client) receive(data []byte, from netip.AddrPort) {
	m, err := decode(data)
	c.mu.Lock()
	defer c.mu.Unlock()
	q := c.waiting[m.ID]
	if err != nil || m.Kind != kindLoad || q == nil || q.to != from.Addr().Unmap() || from.Port() != c.port {
		c.queries.WithLabelValues("invalid").Inc() // or the answer comes too late
		return
	}
	delete(c.waiting, m.ID)
	delete(c.silent, q.to)
	c.queries.WithLabelValues("answered").Inc()
	load := m.load()
	c.known.Add(time.Now(), q.to.String(), load.Pace)
	q.answer <- result{q.index, load}
}

// Usual returns the pace that an engine of unknown pace is taken to have.
func (c *Client) Usual() placement.Pace {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.known.Median(time.Now())
}

// Loads asks the relays on the hosts of some engines and waits up to timeout. The load of
// an engine whose relay does not answer is nil.
func (c *Client) Loads(ctx context.Context, engines []string, p placement.Prompt, timeout time.Duration) []*placement.Load {
	loads := make([]*placement.Load, len(engines))
	answers := make(chan result, len(engines))
	var asked []uint64
	for i, engine := range engines {
		if id, ok := c.ask(engine, p, i, answers); ok {
			asked = append(asked, id)
		}
	}
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	for range asked {
		select {
		case r := <-answers:
			loads[r.index] = &r.load
			continue
		case <-timer.C:
		case <-ctx.Done():
		}
		break
	}
	c.giveUp(asked, ctx.Err() == nil)
	return loads
}

// ask sends a query and reports whether an answer may come.
func (c *Client) ask(engine string, p placement.Prompt, index int, answers chan<- result) (id uint64, ok bool) {
	to, err := netip.ParseAddrPort(engine)
	if err != nil {
		return 0, false
	}
	c.mu.Lock()
	if time.Now().Before(c.silent[to.Addr()].until) {
		c.mu.Unlock()
		c.queries.WithLabelValues("skipped").Inc()
		return 0, false
	}
	id = rand.Uint64()
	c.waiting[id] = &query{to.Addr(), answers, index}
	c.mu.Unlock()
	m := message{Kind: kindQuery, ID: id}
	m.setPrompt(p)
	c.send(to.Addr(), m)
	return id, true
}

// giveUp ends the queries that are not answered. Unless their request has ended, the
// relays count as silent.
func (c *Client) giveUp(asked []uint64, silent bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, id := range asked {
		q := c.waiting[id]
		if q == nil {
			continue
		}
		delete(c.waiting, id)
		if !silent {
			continue
		}
		c.queries.WithLabelValues("late").Inc()
		pause := min(max(2*c.silent[q.to].pause, firstSilence), maxSilence)
		c.silent[q.to] = silence{time.Now().Add(pause), pause}
	}
}

// send sends a message. What is lost costs a worse placement.
func (c *Client) send(to netip.Addr, m message) {
	data, err := encode(m)
	if err == nil {
		_, err = c.conn.WriteToUDPAddrPort(data, netip.AddrPortFrom(to, c.port))
	}
	if err != nil {
		c.logger.Debug("failed to send a message about placement", "to", to, "err", err)
	}
}

// Request is a request that was placed at an engine. A nil Request was placed without
// the help of relays.
type Request struct {
	client     *Client
	relay      netip.Addr
	id         uint64
	firstEvent bool
}

// Begin tells the relay of an engine with memory for a number of tokens that a request is
// sent there.
func (c *Client) Begin(engine string, memoryTokens int64, p placement.Prompt) *Request {
	to, err := netip.ParseAddrPort(engine)
	if err != nil {
		return nil
	}
	r := &Request{client: c, relay: to.Addr(), id: rand.Uint64()}
	m := message{Kind: kindBegin, ID: r.id, Memory: min(memoryTokens, maxTokens)}
	m.setPrompt(p)
	c.send(r.relay, m)
	return r
}

// FirstEvent tells the relay, once, that the engine has read the prompt.
func (r *Request) FirstEvent() {
	if r != nil && !r.firstEvent {
		r.firstEvent = true
		r.client.send(r.relay, message{Kind: kindFirstEvent, ID: r.id})
	}
}

// End tells the relay that the request has ended.
func (r *Request) End() {
	if r != nil {
		r.client.send(r.relay, message{Kind: kindEnd, ID: r.id})
	}
}
