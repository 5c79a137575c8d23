// Package forwarder is a TCP relay that closes connections, delays bytes,
// silently discards them or refuses connections.
package forwarder

import (
	"context"
	"log/slog"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"tarragonridge.example/tarragonridge/internal/core/errkind"
)

// Mode says what happens to the bytes of a direction.
type Mode string

// Modes.
const (
	Pass    Mode = "pass"
	Close   Mode = "close"   // the receiver sees the end of the stream; in both directions the connection closes
	Delay   Mode = "delay"   // each byte arrives after the delay, without a limit on throughput
	Discard Mode = "discard" // bytes and the end of the stream vanish while the connection stays open
	Refuse  Mode = "refuse"  // new connections are refused; existing ones are unaffected
)

// Direction of bytes.
type Direction string

// Directions.
const (
	ToTarget Direction = "to_target"
	ToClient Direction = "to_client"
	Both     Direction = "both"
)

// Scope says which connections a setting affects.
type Scope string

// Scopes.
const (
	All      Scope = "all"
	Existing Scope = "existing" // connections open at that moment; new ones keep the earlier setting
)

// Setting is the body of POST /control/mode.
type Setting struct {
	Mode      Mode      `json:"mode"`
	Direction Direction `json:"direction,omitempty"` // Both if empty
	Scope     Scope     `json:"scope,omitempty"`     // All if empty
	DelayMS   int64     `json:"delay_ms,omitempty"`
}

// Validate fills in the defaults and checks the setting.
func (s *Setting) Validate() error {
	if s.Direction == "" {
		s.Direction = Both
	}
	if s.Scope == "" {
		s.Scope = All
	}
	if s.Direction != Both && s.Direction != ToTarget && s.Direction != ToClient {
		return errkind.New(errkind.InvalidRequest, "unknown direction %q", s.Direction)
	}
	if s.Scope != All && s.Scope != Existing {
		return errkind.New(errkind.InvalidRequest, "unknown scope %q", s.Scope)
	}
	switch s.Mode {
	case Pass, Close, Discard:
	case Delay:
		if s.DelayMS <= 0 {
			return errkind.New(errkind.InvalidRequest, "mode delay needs a positive delay_ms")
		}
	case Refuse:
		if s.Scope != All || s.Direction != Both {
			return errkind.New(errkind.InvalidRequest, "mode refuse takes no direction or scope")
		}
	default:
		return errkind.New(errkind.InvalidRequest, "unknown mode %q", s.Mode)
	}
	return nil
}

func (s Setting) treatment() treatment {
	return treatment{mode: s.Mode, delay: time.Duration(s.DelayMS) * time.Millisecond}
}

// treatment is the setting of one direction.
type treatment struct {
	mode  Mode
	delay time.Duration
}

// Stats answers GET /control/stats.
type Stats struct {
	Open      int   `json:"open"`      // connections
	Accepted  int64 `json:"accepted"`  // connections since the start
	Forwarded int64 `json:"forwarded"` // bytes in both directions
	Discarded int64 `json:"discarded"` // bytes in both directions
}

const (
	dialTimeout   = 5 * time.Second
	acceptBackoff = 10 * time.Millisecond // a failed Accept would otherwise be repeated in a busy loop
)

// Forwarder relays TCP connections to a target.
type Forwarder struct {
	target string
	addr   string // listening address with the actual port
	log    *slog.Logger
	ctx    context.Context // ends with Close
	cancel context.CancelFunc
	work   sync.WaitGroup

	accepted, forwarded, discarded atomic.Int64

	mu       sync.Mutex
	listener net.Listener // nil while connections are refused
	toTarget treatment    // of new connections
	toClient treatment
	links    map[*link]struct{}
}

// Start listens on addr and relays each connection to target. log is
// slog.Default() if nil.
func Start(addr, target string, log *slog.Logger) (*Forwarder, error) {
	listener, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	if log == nil {
		log = slog.Default()
	}
	ctx, cancel := context.WithCancel(context.Background())
	f := &Forwarder{
		target:   target,
		addr:     listener.Addr().String(),
		log:      log,
		ctx:      ctx,
		cancel:   cancel,
		listener: listener,
		toTarget: treatment{mode: Pass},
		toClient: treatment{mode: Pass},
		links:    map[*link]struct{}{},
	}
	f.work.Go(func() { f.accept(listener) })
	return f, nil
}

// Addr returns the listening address.
func (f *Forwarder) Addr() string { return f.addr }

// Close closes the listener and all connections and waits for them.
func (f *Forwarder) Close() {
	f.cancel()
	f.mu.Lock()
	f.stopListening()
	for l := range f.links {
		l.close()
	}
	f.mu.Unlock()
	f.work.Wait()
}

// Apply does what POST /control/mode does. Any mode but Refuse for all
// connections accepts connections again.
func (f *Forwarder) Apply(s Setting) error {
	if err := s.Validate(); err != nil {
		return err
	}
	f.log.Info("mode set", "mode", s.Mode, "direction", s.Direction, "scope", s.Scope, "delay_ms", s.DelayMS)
	f.mu.Lock()
	defer f.mu.Unlock()
	if s.Mode == Refuse {
		f.stopListening()
		return nil
	}
	if s.Scope == All {
		s.applyTo(&f.toTarget, &f.toClient)
		if err := f.listen(); err != nil {
			return err
		}
	}
	for l := range f.links {
		l.apply(s)
	}
	return nil
}

func (s Setting) applyTo(toTarget, toClient *treatment) {
	if s.Direction != ToClient {
		*toTarget = s.treatment()
	}
	if s.Direction != ToTarget {
		*toClient = s.treatment()
	}
}

// Stats returns the counts.
func (f *Forwarder) Stats() Stats {
	f.mu.Lock()
	defer f.mu.Unlock()
	return Stats{
		Open:      len(f.links),
		Accepted:  f.accepted.Load(),
		Forwarded: f.forwarded.Load(),
		Discarded: f.discarded.Load(),
	}
}

// stopListening needs the lock.
func (f *Forwarder) stopListening() {
	if f.listener != nil {
		_ = f.listener.Close()
		f.listener = nil
	}
}

// listen needs the lock.
func (f *Forwarder) listen() error {
	if f.listener != nil || f.ctx.Err() != nil {
		return nil
	}
	listener, err := net.Listen("tcp", f.addr)
	if err != nil {
		return err
	}
	f.listener = listener
	f.work.Go(func() { f.accept(listener) })
	return nil
}

func (f *Forwarder) accept(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err == nil {
			f.accepted.Add(1)
			f.work.Go(func() { f.relay(conn.(*net.TCPConn)) })
			continue
		}
		if !f.listensOn(listener) {
			return
		}
		f.log.Warn("accept failed", "error", err)
		time.Sleep(acceptBackoff)
	}
}

func (f *Forwarder) listensOn(listener net.Listener) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.listener == listener
}

// relay connects one client to the target until both directions end.
func (f *Forwarder) relay(client *net.TCPConn) {
	ctx, cancel := context.WithTimeout(f.ctx, dialTimeout)
	defer cancel()
	target, err := (&net.Dialer{}).DialContext(ctx, "tcp", f.target)
	if err != nil {
		f.log.Warn("dial failed", "target", f.target, "error", err)
		_ = client.Close()
		return
	}
	l := f.register(client, target.(*net.TCPConn))
	l.run()
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.links, l)
}

// register adds the link under the setting for new connections.
func (f *Forwarder) register(client, target *net.TCPConn) *link {
	f.mu.Lock()
	defer f.mu.Unlock()
	l := newLink(f, client, target, f.toTarget, f.toClient)
	f.links[l] = struct{}{}
	if f.ctx.Err() != nil {
		l.close()
	}
	return l
}
