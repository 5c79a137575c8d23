package answers

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"

	"tarragonridge.example/tarragonridge/internal/core/answer"
)

// DialFunc opens a connection.
type DialFunc = func(ctx context.Context, network, address string) (net.Conn, error)

// Dial returns a function that dials connections on which answers are checked.
func Dial(dial DialFunc, limits answer.Limits) DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return NewConn(c, limits), nil
	}
}

// Check makes a transport of HTTP/1.1 check the answers on all its connections. Its limit on
// the bytes of a head, and how it dials, must be set before. Requests with the method HEAD
// must not share connections with others.
func Check(t *http.Transport) *http.Transport {
	dial := t.DialContext
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	limits := answer.Limits{HeadBytes: int(t.MaxResponseHeaderBytes)}
	t.DialContext = Dial(dial, limits)
	t.DialTLSContext = Dial(func(ctx context.Context, network, address string) (net.Conn, error) {
		return dialTLS(ctx, dial, t.TLSClientConfig, network, address)
	}, limits)
	return t
}

// dialTLS opens a connection below TLS, so that what is checked are answers and not records.
func dialTLS(ctx context.Context, dial DialFunc, config *tls.Config, network, address string) (net.Conn, error) {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return nil, err
	}
	c, err := dial(ctx, network, address)
	if err != nil {
		return nil, err
	}
	if config = config.Clone(); config == nil {
		config = &tls.Config{MinVersion: tls.VersionTLS12}
	}
	if config.ServerName == "" {
		config.ServerName = host
	}
	secured := tls.Client(c, config)
	if err := secured.HandshakeContext(ctx); err != nil {
		_ = c.Close() // the error of the handshake says what is wrong
		return nil, err
	}
	return secured, nil
}
