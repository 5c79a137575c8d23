package crowd

import (
	"fmt"
	"net"
	"strings"
	"time"
)

const (
	// smallReadBuffer is the receive buffer in bytes of a member that does not read.
	smallReadBuffer = 4 << 10
	// sipInterval is the pause of a member that reads byte by byte.
	sipInterval = 100 * time.Millisecond
)

// Chunk returns a chunk of a body.
func Chunk(size int) string { return fmt.Sprintf("%x\r\n%s\r\n", size, strings.Repeat("x", size)) }

// SmallFields returns the fields of a head, of 7 bytes each, that have a number of bytes
// together.
func SmallFields(size int) string {
	var b strings.Builder
	for i := 0; b.Len() < size; i++ {
		fmt.Fprintf(&b, "%03x:\r\n", i%0x1000)
	}
	return b.String()
}

// SendAll sends a text a number of times, and reports whether it could.
func (c *Conn) SendAll(text string, times int) bool {
	for range times {
		if !c.Send(text) {
			return false
		}
	}
	return true
}

// Unfinished returns a member that sends a head, a part of its body and nothing more.
func Unfinished(head, part string, parts int) func(c *Conn) {
	return func(c *Conn) {
		if c.Send(head) && c.SendAll(part, parts) {
			c.Hold()
		}
	}
}

// Second returns a member that sends a whole request, and does something else once it is
// answered.
func Second(first string, then func(c *Conn)) func(c *Conn) {
	return func(c *Conn) {
		if c.Send(first) {
			if _, err := c.Read(make([]byte, 4<<10)); err == nil {
				then(c)
			}
		}
	}
}

// Endlessly returns a member that sends a start and then a text without end.
func Endlessly(start, text string) func(c *Conn) {
	text = strings.Repeat(text, 4096/len(text)+1)
	return func(c *Conn) {
		for ok := c.Send(start); ok; ok = c.Send(text) {
		}
	}
}

// Whole returns a member that sends whole requests one after the other.
func Whole(head string, size int) func(c *Conn) {
	body := strings.Repeat("x", size)
	return func(c *Conn) {
		if c.Send(head+fmt.Sprintf("Content-Length: %d\r\nConnection: close\r\n\r\n", size)) && c.Send(body) {
			c.Hold()
		}
	}
}

// Unread returns a member that sends a request and does not read the answer.
func Unread(request string) func(c *Conn) {
	return func(c *Conn) {
		c.receiveLittle()
		if c.Send(request) {
			c.HoldUnread()
		}
	}
}

// Sipped returns a member that sends a request and reads the answer byte by byte.
func Sipped(request string) func(c *Conn) {
	return func(c *Conn) {
		c.receiveLittle()
		ok := c.Send(request)
		for buf := make([]byte, 1); ok; time.Sleep(sipInterval) {
			_, err := c.Read(buf)
			ok = err == nil
		}
	}
}

// Abandoned returns a member that sends a start and a part a number of times, and resets the
// connection.
func Abandoned(start, part string, parts int) func(c *Conn) {
	return func(c *Conn) {
		if c.Send(start) && c.SendAll(part, parts) {
			_ = c.Conn.(*net.TCPConn).SetLinger(0) // without it, the connection is closed all the same
		}
	}
}

// receiveLittle makes the system receive little that is not read. Without it, the crowd is
// weaker.
func (c *Conn) receiveLittle() {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		_ = tcp.SetReadBuffer(smallReadBuffer)
	}
}
