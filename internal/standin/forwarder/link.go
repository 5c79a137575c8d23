package forwarder

import (
	"errors"
	"net"
	"os"
	"sync"
	"time"
)

const (
	chunkBytes  = 32 << 10 // size of the read buffer
	queueChunks = 256      // largest number of chunks read ahead of the writer while bytes are delayed
)

// connection is a relayed connection: one TCP connection to the client and one to
// the target.
type connection struct {
	forwarder *Forwarder
	toTarget  *copier
	toClient  *copier
	closed    chan struct{}
	closeOnce sync.Once
}

// copier copies the bytes of one direction.
type copier struct {
	conn     *connection
	src, dst *net.TCPConn
	reverse  *copier // of the other direction

	mu             sync.Mutex
	setting        directionSetting
	settingChanged chan struct{} // closed when the setting is replaced
	sourceEnded    chan struct{} // closed when reading from src has ended
}

// chunk is a part of the stream, to be written when it is due.
type chunk struct {
	data []byte
	due  time.Time
}

func newConnection(f *Forwarder, client, target *net.TCPConn, toTarget, toClient directionSetting) *connection {
	c := &connection{forwarder: f, closed: make(chan struct{})}
	c.toTarget = newCopier(c, client, target, toTarget)
	c.toClient = newCopier(c, target, client, toClient)
	c.toTarget.reverse = c.toClient
	c.toClient.reverse = c.toTarget
	if toTarget.mode == Close && toClient.mode == Close {
		c.close()
	}
	return c
}

func newCopier(conn *connection, src, dst *net.TCPConn, setting directionSetting) *copier {
	return &copier{
		conn:           conn,
		src:            src,
		dst:            dst,
		setting:        setting,
		settingChanged: make(chan struct{}),
		sourceEnded:    make(chan struct{}),
	}
}

// run copies both directions and returns when both have ended.
func (c *connection) run() {
	var copiers sync.WaitGroup
	copiers.Go(c.toTarget.run)
	copiers.Go(c.toClient.run)
	copiers.Wait()
	c.close()
}

func (c *connection) close() {
	c.closeOnce.Do(func() {
		close(c.closed)
		_ = c.toTarget.src.Close()
		_ = c.toTarget.dst.Close()
	})
}

func (c *connection) applySetting(s Setting) {
	toTarget, toClient := c.toTarget.currentSetting(), c.toClient.currentSetting()
	s.applyTo(&toTarget, &toClient)
	c.toTarget.replaceSetting(toTarget)
	c.toClient.replaceSetting(toClient)
	if toTarget.mode == Close && toClient.mode == Close {
		c.close()
	}
}

func (c *copier) currentSetting() directionSetting {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.setting
}

// replaceSetting replaces the setting and interrupts a blocked read by an expired
// deadline.
func (c *copier) replaceSetting(setting directionSetting) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.setting == setting {
		return
	}
	c.setting = setting
	close(c.settingChanged)
	c.settingChanged = make(chan struct{})
	_ = c.src.SetReadDeadline(time.Unix(1, 0))
}

// clearReadDeadline removes the deadline that replaceSetting uses to interrupt a
// read. It returns the setting in effect at that moment.
func (c *copier) clearReadDeadline() directionSetting {
	c.mu.Lock()
	defer c.mu.Unlock()
	_ = c.src.SetReadDeadline(time.Time{})
	return c.setting
}

// run copies until the source ends. Reader and writer are connected by a queue, so
// that a delay does not limit the throughput.
func (c *copier) run() {
	queue := make(chan chunk, queueChunks)
	var writer sync.WaitGroup
	writer.Go(func() { c.writeLoop(queue) })
	c.readLoop(queue)
	close(queue)
	writer.Wait()
}

func (c *copier) readLoop(queue chan<- chunk) {
	defer close(c.sourceEnded)
	buffer := make([]byte, chunkBytes)
	for {
		if c.clearReadDeadline().mode == Close {
			return
		}
		n, err := c.src.Read(buffer)
		if n > 0 && !c.enqueue(queue, buffer[:n]) {
			return
		}
		if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
			return
		}
	}
}

// enqueue queues or discards the bytes, depending on the current mode. It reports
// whether to continue reading.
func (c *copier) enqueue(queue chan<- chunk, data []byte) bool {
	setting := c.currentSetting()
	switch setting.mode {
	case Close:
		return false
	case Discard:
		c.conn.forwarder.discarded.Add(int64(len(data)))
		return true
	}
	next := chunk{data: append([]byte(nil), data...), due: time.Now().Add(setting.delay)}
	select {
	case queue <- next:
		return true
	case <-c.conn.closed:
		return false
	}
}

func (c *copier) writeLoop(queue <-chan chunk) {
	for next := range queue {
		if !c.sleepUntil(next.due) {
			continue // the connection is closed; drain the queue
		}
		c.writeChunk(next.data)
	}
	c.closeDestination()
}

func (c *copier) writeChunk(data []byte) {
	if c.currentSetting().mode == Discard {
		c.conn.forwarder.discarded.Add(int64(len(data)))
		return
	}
	if _, err := c.dst.Write(data); err == nil {
		c.conn.forwarder.forwarded.Add(int64(len(data)))
		return
	}
	// The receiver has closed its connection. Its reset would travel in the
	// reverse direction, so while that direction is discarded the sender must
	// not see it.
	c.conn.forwarder.discarded.Add(int64(len(data)))
	if c.reverse.currentSetting().mode != Discard {
		c.conn.close()
	}
}

// sleepUntil returns false if the connection is closed before due.
func (c *copier) sleepUntil(due time.Time) bool {
	wait := time.Until(due)
	if wait <= 0 {
		return true
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-c.conn.closed:
		return false
	}
}

// closeDestination passes on the end of the stream. While the mode is Discard the
// end is dropped like the bytes: the connection stays open until the mode changes or
// the other direction ends as well.
func (c *copier) closeDestination() {
	for {
		c.mu.Lock()
		mode, changed := c.setting.mode, c.settingChanged
		c.mu.Unlock()
		if mode != Discard {
			_ = c.dst.CloseWrite()
			return
		}
		select {
		case <-changed:
		case <-c.reverse.sourceEnded:
			return
		case <-c.conn.closed:
			return
		}
	}
}
