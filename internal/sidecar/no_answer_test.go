package sidecar_test

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"tarragonridge.example/tarragonridge/internal/core/ledger"
	"tarragonridge.example/tarragonridge/internal/sidecar"
	"tarragonridge.example/tarragonridge/internal/wire"
)

// Guards against bytes of a service that are no answer, or a part of one, and count as a whole
// run.
func TestWhatIsNoAnswerOfAServiceIsNoCompleteRun(t *testing.T) {
	const chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n"
	for name, c := range map[string]struct {
		text   string
		resets bool // while the request is being sent
		body   int  // bytes of the request
	}{
		"status 000":             {text: "HTTP/1.1 000 No\r\nContent-Length: 2\r\n\r\nok"},
		"status 600":             {text: "HTTP/1.1 600 No\r\nContent-Length: 2\r\n\r\nok"},
		"another protocol":       {text: "HTTP/2.0 200 OK\r\nContent-Length: 2\r\n\r\nok"},
		"blank in a name":        {text: "HTTP/1.1 200 OK\r\nX Field: y\r\nContent-Length: 2\r\n\r\nok"},
		"blank behind a length":  {text: "HTTP/1.1 200 OK\r\nContent-Length : 1\r\n\r\nok"},
		"blank in an early head": {text: "HTTP/1.1 103 Early Hints\r\nX Field: y\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"},
		"NUL in the reason":      {text: "HTTP/1.1 200 O\x00K\r\nContent-Length: 2\r\n\r\nok"},
		"blank in the trailer":   {text: chunked + "0\r\nX Field: y\r\n\r\n"},
		"reset of a long upload": {text: "HTTP/1.1 200 OK\r\n\r\npart", resets: true, body: 3 << 20},
	} {
		t.Run(name, func(t *testing.T) {
			service := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if r.URL.Path != "/x" {
					return
				}
				conn, _, err := w.(http.Hijacker).Hijack()
				assert.Check(t, err)
				_, err = io.WriteString(conn, c.text)
				assert.Check(t, err)
				if c.resets {
					assert.Check(t, conn.(*net.TCPConn).SetLinger(0))
				}
				assert.Check(t, conn.Close())
			}))
			t.Cleanup(service.Close)
			opts := testOptions(service.URL)
			opts.Kind, opts.Model, opts.Service = sidecar.Service, "", "fees"
			r := dialRouter(t, startSidecar(t, opts).addr, "h1", nil)
			for range 3 {
				m := completionRun("r" + time.Now().String())
				m.Kind, m.Service, m.Model, m.Path, m.Body = wire.ServiceRun, "fees", "", "/x", make([]byte, c.body)
				r.start(t, m)
				assert.Assert(t, receive(t, r.ends).Record.Outcome != ledger.Complete)
			}
		})
	}
}
