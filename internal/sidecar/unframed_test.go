package sidecar_test

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"gotest.tools/v3/assert"

	"tarragonridge.example/tarragonridge/internal/core/ledger"
	"tarragonridge.example/tarragonridge/internal/sidecar"
	"tarragonridge.example/tarragonridge/internal/wire"
)

// Guards against a part of a service's answer that counts as whole, because only the end of its
// connection ends it and the service has crashed.
func TestUnframedAnswerOfACrashedServiceIsNotWhole(t *testing.T) {
	for name, c := range map[string]struct {
		crashes bool
		want    ledger.Outcome
	}{"crashed": {true, ledger.Crashed}, "alive": {false, ledger.Complete}} {
		t.Run(name, func(t *testing.T) {
			var service *httptest.Server
			service = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if r.URL.Path != "/x" {
					return
				}
				conn, _, err := w.(http.Hijacker).Hijack()
				assert.Check(t, err)
				_, err = conn.Write([]byte("HTTP/1.1 200 OK\r\n\r\nhalf"))
				assert.Check(t, err)
				if c.crashes {
					assert.Check(t, service.Listener.Close())
				}
				assert.Check(t, conn.Close())
			}))
			t.Cleanup(service.Close)
			opts := testOptions(service.URL)
			opts.Kind, opts.Model, opts.Service = sidecar.Service, "", "fees"
			r := dialRouter(t, startSidecar(t, opts).addr, "h1", nil)
			m := completionRun("r1")
			m.Kind, m.Service, m.Model, m.Path = wire.ServiceRun, "fees", "", "/x"
			r.start(t, m)
			assert.Equal(t, receive(t, r.ends).Record.Outcome, c.want)
		})
	}
}
