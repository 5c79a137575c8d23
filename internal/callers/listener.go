package callers

import (
	"net"

	"tarragonridge.example/tarragonridge/internal/netcount"
)

// listener accepts the connections of a pool.
type listener struct {
	net.Listener
	pool *Pool
}

// Accept implements net.Listener. It waits for a connection that the pool admits.
func (l listener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		counted, _ := c.(*netcount.Conn)
		tcp, ok := c.(*net.TCPConn)
		if counted != nil {
			tcp, ok = counted.TCP(), true
		}
		if !ok {
			return c, nil
		}
		raw, err := tcp.SyscallConn()
		if err != nil {
			return c, nil // an error would end the server
		}
		if conn := l.pool.newConn(c, tcp, counted, raw); l.pool.add(conn) {
			return conn, nil
		}
	}
}

// Listener returns a listener, from listen.TCP, whose connections are those of the pool. A
// server has to be configured for it.
func (p *Pool) Listener(l net.Listener) net.Listener { return listener{l, p} }
