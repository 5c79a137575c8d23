package forwarder

import (
	"errors"
	"net"
	"os"
	"sync"
	"time"
)

const (
	chunkBytes  = 32 << 10
	queueChunks = 256 // read ahead of the writer while bytes are delayed
)

// link is one relayed connection.
type link struct {
	forwarder *Forwarder
	toTarget  *pump
	toClient  *pump
	closed    chan struct{}
	closeOnce sync.Once
}

// pump moves the bytes of one direction.
type pump struct {
	link     *link
	src, dst *net.TCPConn
	reverse  *pump

	mu        sync.Mutex
	treatment treatment
	changed   chan struct{} // closed when the treatment is replaced
	ended     chan struct{} // closed at the end of the source
}

// chunk is a piece of the stream that is written when it is due.
type chunk struct {
	data []byte
	due  time.Time
}

func newLink(f *Forwarder, client, target *net.TCPConn, toTarget, toClient treatment) *link {
	l := &link{forwarder: f, closed: make(chan struct{})}
	l.toTarget = newPump(l, client, target, toTarget)
	l.toClient = newPump(l, target, client, toClient)
	l.toTarget.reverse = l.toClient
	l.toClient.reverse = l.toTarget
	if toTarget.mode == Close && toClient.mode == Close {
		l.close()
	}
	return l
}

func newPump(l *link, src, dst *net.TCPConn, t treatment) *pump {
	return &pump{
		link:      l,
		src:       src,
		dst:       dst,
		treatment: t,
		changed:   make(chan struct{}),
		ended:     make(chan struct{}),
	}
}

// run returns when both directions have ended.
func (l *link) run() {
	var pumps sync.WaitGroup
	pumps.Go(l.toTarget.run)
	pumps.Go(l.toClient.run)
	pumps.Wait()
	l.close()
}

func (l *link) close() {
	l.closeOnce.Do(func() {
		close(l.closed)
		_ = l.toTarget.src.Close()
		_ = l.toTarget.dst.Close()
	})
}

func (l *link) apply(s Setting) {
	toTarget, toClient := l.toTarget.current(), l.toClient.current()
	s.applyTo(&toTarget, &toClient)
	l.toTarget.set(toTarget)
	l.toClient.set(toClient)
	if toTarget.mode == Close && toClient.mode == Close {
		l.close()
	}
}

func (p *pump) current() treatment {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.treatment
}

// set replaces the treatment and wakes a blocked read.
func (p *pump) set(t treatment) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.treatment == t {
		return
	}
	p.treatment = t
	close(p.changed)
	p.changed = make(chan struct{})
	_ = p.src.SetReadDeadline(time.Unix(1, 0))
}

// rearm clears the deadline that set uses to wake a read. It returns the
// treatment that was in force at that moment.
func (p *pump) rearm() treatment {
	p.mu.Lock()
	defer p.mu.Unlock()
	_ = p.src.SetReadDeadline(time.Time{})
	return p.treatment
}

// run reads until the source ends and writes through a queue, so that a delay
// does not limit the throughput.
func (p *pump) run() {
	queue := make(chan chunk, queueChunks)
	var writer sync.WaitGroup
	writer.Go(func() { p.write(queue) })
	p.read(queue)
	close(queue)
	writer.Wait()
}

func (p *pump) read(queue chan<- chunk) {
	defer close(p.ended)
	buffer := make([]byte, chunkBytes)
	for {
		if p.rearm().mode == Close {
			return
		}
		n, err := p.src.Read(buffer)
		if n > 0 && !p.enqueue(queue, buffer[:n]) {
			return
		}
		if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
			return
		}
	}
}

// enqueue treats the bytes as the current mode demands. It reports whether to
// read on.
func (p *pump) enqueue(queue chan<- chunk, data []byte) bool {
	t := p.current()
	switch t.mode {
	case Close:
		return false
	case Discard:
		p.link.forwarder.discarded.Add(int64(len(data)))
		return true
	}
	piece := chunk{data: append([]byte(nil), data...), due: time.Now().Add(t.delay)}
	select {
	case queue <- piece:
		return true
	case <-p.link.closed:
		return false
	}
}

func (p *pump) write(queue <-chan chunk) {
	for piece := range queue {
		if !p.waitUntil(piece.due) {
			continue // the link is closed; drain the queue
		}
		p.deliver(piece.data)
	}
	p.finish()
}

func (p *pump) deliver(data []byte) {
	if p.current().mode == Discard {
		p.link.forwarder.discarded.Add(int64(len(data)))
		return
	}
	if _, err := p.dst.Write(data); err == nil {
		p.link.forwarder.forwarded.Add(int64(len(data)))
		return
	}
	// The receiver has gone. Its reset would travel in the reverse direction,
	// so the sender does not learn of it while that direction is discarded.
	p.link.forwarder.discarded.Add(int64(len(data)))
	if p.reverse.current().mode != Discard {
		p.link.close()
	}
}

func (p *pump) waitUntil(due time.Time) bool {
	wait := time.Until(due)
	if wait <= 0 {
		return true
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-p.link.closed:
		return false
	}
}

// finish passes on the end of the stream. While the mode is Discard the end is
// lost like the bytes, and the connection stays open until the mode changes or
// the other side ends as well.
func (p *pump) finish() {
	for {
		p.mu.Lock()
		mode, changed := p.treatment.mode, p.changed
		p.mu.Unlock()
		if mode != Discard {
			_ = p.dst.CloseWrite()
			return
		}
		select {
		case <-changed:
		case <-p.reverse.ended:
			return
		case <-p.link.closed:
			return
		}
	}
}
