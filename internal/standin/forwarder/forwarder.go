// Package forwarder is a TCP proxy for tests. It relays connections to a target and
// can close them, delay their bytes, silently discard their bytes, or refuse new
// connections.
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

// Mode says what happens to the bytes of one direction, or to new connections.
type Mode string

// Modes.
const (
	Pass    Mode = "pass"
	Close   Mode = "close"   // the receiver sees the end of the stream; with both directions the connection is closed
	Delay   Mode = "delay"   // each byte arrives late by the delay; throughput is not limited
	Discard Mode = "discard" // bytes and the end of the stream are dropped while the connection stays open
	Refuse  Mode = "refuse"  // new connections are refused; existing ones are unaffected
)

// Direction is the direction of the bytes that a setting affects.
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
	Existing Scope = "existing" // connections that are open now; new ones get the earlier setting
)

// Setting is the body of POST /control/mode.
type Setting struct {
	Mode      Mode      `json:"mode"`
	Direction Direction `json:"direction,omitempty"` // Both if empty
	Scope     Scope     `json:"scope,omitempty"`     // All if empty
	DelayMS   int64     `json:"delay_ms,omitempty"`
}

// Validate fills in the defaults and returns an error if the setting is invalid.
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

func (s Setting) directionSetting() directionSetting {
	return directionSetting{mode: s.Mode, delay: time.Duration(s.DelayMS) * time.Millisecond}
}

// directionSetting is the part of a setting that applies to one direction.
type directionSetting struct {
	mode  Mode
	delay time.Duration
}

// Stats is the response to GET /control/stats.
type Stats struct {
	Open      int   `json:"open"`      // connections open now
	Accepted  int64 `json:"accepted"`  // connections accepted since Start
	Forwarded int64 `json:"forwarded"` // bytes written, both directions together
	Discarded int64 `json:"discarded"` // bytes dropped, both directions together
}

const (
	dialTimeout   = 5 * time.Second
	acceptBackoff = 10 * time.Millisecond // prevents a busy loop while Accept fails
)

// Forwarder relays TCP connections to a target.
type Forwarder struct {
	target string
	addr   string // listening address with the port that was chosen
	log    *slog.Logger
	ctx    context.Context // ends with Close
	cancel context.CancelFunc
	tasks  sync.WaitGroup

	accepted, forwarded, discarded atomic.Int64

	mu          sync.Mutex
	listener    net.Listener     // nil while connections are refused
	toTarget    directionSetting // for new connections
	toClient    directionSetting
	connections map[*connection]struct{}
}

// Start listens on addr and relays each connection to target. It logs to
// slog.Default() if log is nil.
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
		target:      target,
		addr:        listener.Addr().String(),
		log:         log,
		ctx:         ctx,
		cancel:      cancel,
		listener:    listener,
		toTarget:    directionSetting{mode: Pass},
		toClient:    directionSetting{mode: Pass},
		connections: map[*connection]struct{}{},
	}
	f.tasks.Go(func() { f.acceptLoop(listener) })
	return f, nil
}

// Addr returns the listening address.
func (f *Forwarder) Addr() string { return f.addr }

// Close closes the listener and all connections and waits for their goroutines.
func (f *Forwarder) Close() {
	f.cancel()
	f.mu.Lock()
	f.stopListening()
	for c := range f.connections {
		c.close()
	}
	f.mu.Unlock()
	f.tasks.Wait()
}

// Apply applies a setting, as POST /control/mode does. With the scope
// All, any mode except Refuse makes the forwarder accept connections again.
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
		if err := f.resumeListening(); err != nil {
			return err
		}
	}
	for c := range f.connections {
		c.applySetting(s)
	}
	return nil
}

// applyTo replaces the settings of the directions that s affects.
func (s Setting) applyTo(toTarget, toClient *directionSetting) {
	if s.Direction != ToClient {
		*toTarget = s.directionSetting()
	}
	if s.Direction != ToTarget {
		*toClient = s.directionSetting()
	}
}

// Stats returns the counts of connections and bytes.
func (f *Forwarder) Stats() Stats {
	f.mu.Lock()
	defer f.mu.Unlock()
	return Stats{
		Open:      len(f.connections),
		Accepted:  f.accepted.Load(),
		Forwarded: f.forwarded.Load(),
		Discarded: f.discarded.Load(),
	}
}

// stopListening must be called with the lock held.
func (f *Forwarder) stopListening() {
	if f.listener != nil {
		_ = f.listener.Close()
		f.listener = nil
	}
}

// resumeListening must be called with the lock held.
func (f *Forwarder) resumeListening() error {
	if f.listener != nil || f.ctx.Err() != nil {
		return nil
	}
	listener, err := net.Listen("tcp", f.addr)
	if err != nil {
		return err
	}
	f.listener = listener
	f.tasks.Go(func() { f.acceptLoop(listener) })
	return nil
}

func (f *Forwarder) acceptLoop(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err == nil {
			f.accepted.Add(1)
			f.tasks.Go(func() { f.relay(conn.(*net.TCPConn)) })
			continue
		}
		if !f.isCurrentListener(listener) {
			return
		}
		f.log.Warn("accept failed", "error", err)
		time.Sleep(acceptBackoff)
	}
}

func (f *Forwarder) isCurrentListener(listener net.Listener) bool {
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
	c := f.register(client, target.(*net.TCPConn))
	c.run()
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.connections, c)
}

// register adds a connection with the settings for new connections.
func (f *Forwarder) register(client, target *net.TCPConn) *connection {
	f.mu.Lock()
	defer f.mu.Unlock()
	c := newConnection(f, client, target, f.toTarget, f.toClient)
	f.connections[c] = struct{}{}
	if f.ctx.Err() != nil {
		c.close()
	}
	return c
}
