// Package crowd plays clients that do not behave, at the address of a real process, and
// measures what the process uses.
package crowd

import (
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Kind is what the members of a crowd do with a connection until it is closed, or until
// the crowd ends, which closes it too.
type Kind struct {
	Name        string
	Connections int // at a time
	Member      func(c *Conn)
}

// Conn is a connection of a member of a crowd.
type Conn struct {
	net.Conn
	Number int // of the connection among all of its crowd
}

// maxWrite is the most bytes that are written at once.
const maxWrite = 64 << 10

// Send sends a text, and reports whether it could.
func (c *Conn) Send(text string) bool {
	for len(text) > 0 {
		n, err := c.Write([]byte(text[:min(len(text), maxWrite)]))
		if err != nil {
			return false
		}
		text = text[n:]
	}
	return true
}

// Hold waits until the connection is closed, reading what arrives.
func (c *Conn) Hold() {
	buf := make([]byte, 512)
	for {
		if _, err := c.Read(buf); err != nil {
			return
		}
	}
}

// HoldUnread waits until the connection is closed, reading nothing.
func (c *Conn) HoldUnread() {
	raw, err := c.Conn.(*net.TCPConn).SyscallConn()
	for err == nil && established(raw) {
		time.Sleep(10 * time.Millisecond)
	}
}

// established reports whether neither side has closed the connection.
func established(raw syscall.RawConn) (ok bool) {
	const tcpEstablished = 1
	err := raw.Control(func(fd uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		ok = err == nil && info.State == tcpEstablished
	})
	return ok && err == nil
}

// Crowd keeps a number of connections of each kind open at an address.
type Crowd struct {
	address string
	members sync.WaitGroup
	ended   chan struct{}
	opened  atomic.Int64
	mu      sync.Mutex
	conns   map[net.Conn]struct{}
}

// Start starts a crowd. factor multiplies the connections of its kinds.
func Start(address string, factor int, kinds ...Kind) *Crowd {
	c := &Crowd{address: address, ended: make(chan struct{}), conns: map[net.Conn]struct{}{}}
	for _, kind := range kinds {
		for range kind.Connections * factor {
			c.members.Go(func() { c.run(kind) })
		}
	}
	return c
}

// run opens the connection of one member again whenever it is closed.
func (c *Crowd) run(kind Kind) {
	for {
		select {
		case <-c.ended:
			return
		default:
		}
		conn, err := net.DialTimeout("tcp", c.address, time.Second)
		if err != nil {
			time.Sleep(10 * time.Millisecond)
			continue
		}
		if !c.add(conn) {
			_ = conn.Close()
			return
		}
		kind.Member(&Conn{Conn: conn, Number: int(c.opened.Add(1))})
		c.mu.Lock()
		delete(c.conns, conn)
		c.mu.Unlock()
		_ = conn.Close()
	}
}

func (c *Crowd) add(conn net.Conn) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	select {
	case <-c.ended:
		return false
	default:
		c.conns[conn] = struct{}{}
		return true
	}
}

// End closes all connections and waits for the members.
func (c *Crowd) End() {
	c.mu.Lock()
	close(c.ended)
	for conn := range c.conns {
		_ = conn.Close()
	}
	c.mu.Unlock()
	c.members.Wait()
}
