package service_test

import (
	"context"
	"encoding/json"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"tarragonridge.example/tarragonridge/internal/standin/service"
)

type fixture struct {
	server *service.Server
	url    string
	t      *testing.T
}

func start(t *testing.T) fixture {
	t.Helper()
	server := service.New(slog.New(slog.DiscardHandler))
	listener := httptest.NewServer(server)
	t.Cleanup(listener.Close)
	return fixture{server: server, url: listener.URL, t: t}
}

// post returns the status and the body of the response, or the error if there is
// none.
func (f fixture) post(ctx context.Context, key string) (int, string, error) {
	f.t.Helper()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, f.url+"/fees/pay", strings.NewReader(`{"ref":"lot-1"}`))
	assert.NilError(f.t, err)
	req.Header.Set(service.HeaderIdempotencyKey, key)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, "", err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(body), err
}

func (f fixture) get(path string, into any) {
	f.t.Helper()
	resp, err := http.Get(f.url + path)
	assert.NilError(f.t, err)
	defer resp.Body.Close()
	assert.Equal(f.t, resp.StatusCode, http.StatusOK)
	assert.NilError(f.t, json.NewDecoder(resp.Body).Decode(into))
}

func (f fixture) setFault(fault service.Fault) {
	f.t.Helper()
	assert.NilError(f.t, f.server.SetFault(fault))
}

// Guards against a service that recognizes a repeated Idempotency-Key and so hides
// from the audit that a call ran twice.
func TestRepeatIsCountedAsSecondEffect(t *testing.T) {
	f := start(t)
	_, first, err := f.post(context.Background(), "k1")
	assert.NilError(t, err)
	_, second, err := f.post(context.Background(), "k1")
	assert.NilError(t, err)
	assert.Assert(t, first != second, "the two effects must have different certificates")
	var effects service.Effects
	f.get("/control/effects", &effects)
	assert.DeepEqual(t, effects, service.Effects{
		Total: 2, List: []service.Effect{{Key: "k1"}, {Key: "k1"}},
		ByKey: map[string]int{"k1": 2}, ByRef: map[string]int{"lot-1": 2},
	})
	var lookup service.GetResponse
	f.get("/fees/pay?ref=lot-1", &lookup)
	assert.DeepEqual(t, lookup.Certificates, []string{"C-00000001", "C-00000002"})
	assert.Equal(t, f.server.Effects().Total, 2, "a GET must not have an effect")
}

// Guards against a crash that loses the effect or affects more calls than Count.
func TestCrashAfterEffect(t *testing.T) {
	f := start(t)
	f.setFault(service.Fault{Mode: service.CrashAfterEffect, Count: 1})
	_, _, err := f.post(context.Background(), "k1")
	assert.ErrorContains(t, err, "EOF")
	assert.Equal(t, f.server.Effects().ByKey["k1"], 1)
	status, _, err := f.post(context.Background(), "k2")
	assert.NilError(t, err)
	assert.Equal(t, status, http.StatusOK)
}

// Guards against a call that has a side effect although a fault made it fail or hang
// before the effect.
func TestFailAndHangHaveNoEffect(t *testing.T) {
	f := start(t)
	f.setFault(service.Fault{Mode: service.Fail})
	status, _, err := f.post(context.Background(), "k1")
	assert.NilError(t, err)
	assert.Equal(t, status, http.StatusInternalServerError)
	f.setFault(service.Fault{Mode: service.Hang})
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	_, _, err = f.post(ctx, "k1")
	assert.ErrorIs(t, err, context.DeadlineExceeded)
	f.setFault(service.Fault{Mode: service.Up})
	assert.Equal(t, f.server.Effects().Total, 0)
}
