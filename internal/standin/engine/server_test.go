package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/openai/openai-go"
	"github.com/openai/openai-go/option"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"tarragonridge.example/tarragonridge/internal/standin/engine/sim"
)

func startEngine(t *testing.T, change func(*Config)) *Server {
	config := DefaultConfig()
	config.Model = "m1"
	config.RestartDelay = 200 * time.Millisecond
	config.LoadDelay = 100 * time.Millisecond
	config.Sim.StepBase = 2 * time.Millisecond
	config.Sim.EventDropRate = 0
	if change != nil {
		change(&config)
	}
	s, err := Start(config)
	assert.NilError(t, err)
	t.Cleanup(s.Close)
	return s
}

func post(t *testing.T, s *Server, path, body string, header ...string) (int, string) {
	r, err := http.NewRequest(http.MethodPost, s.URL()+path, strings.NewReader(body))
	assert.NilError(t, err)
	for i := 0; i < len(header); i += 2 {
		r.Header.Set(header[i], header[i+1])
	}
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0, ""
	}
	defer resp.Body.Close()
	response, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, string(response)
	}
	return resp.StatusCode, string(response)
}

func get(t *testing.T, s *Server, path string, v any) {
	resp, err := http.Get(s.URL() + path)
	assert.NilError(t, err)
	defer resp.Body.Close()
	assert.NilError(t, json.NewDecoder(resp.Body).Decode(v))
}

// waitRun waits until the first run has the status and returns its record.
func waitRun(t *testing.T, s *Server, status RunStatus) RunRecord {
	var list RunList
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		get(t, s, "/control/runs", &list)
		if len(list.Runs) > 0 && list.Runs[0].Status == status {
			return poll.Success()
		}
		return poll.Continue("runs: %+v", list.Runs)
	}, poll.WithTimeout(5*time.Second), poll.WithDelay(5*time.Millisecond))
	return list.Runs[0]
}

// Guards against responses, streamed or whole, that an OpenAI client library cannot
// read.
func TestPublishedClientReadsAnswers(t *testing.T) {
	s := startEngine(t, nil)
	client := openai.NewClient(option.WithBaseURL(s.URL()+"/v1"), option.WithAPIKey("none"))
	params := openai.ChatCompletionNewParams{
		Model:         "m1",
		Messages:      []openai.ChatCompletionMessageParamUnion{openai.UserMessage("echo:abc")},
		MaxTokens:     openai.Int(5),
		StreamOptions: openai.ChatCompletionStreamOptionsParam{IncludeUsage: openai.Bool(true)},
	}
	want := "abc-0 abc-1 abc-2 abc-3 abc-4 "
	whole, err := client.Chat.Completions.New(t.Context(), params)
	assert.NilError(t, err)
	assert.Equal(t, whole.Choices[0].Message.Content, want)
	assert.Equal(t, whole.Usage.PromptTokens, int64(4)) // "user\necho:abc\n" has 14 bytes
	stream := client.Chat.Completions.NewStreaming(t.Context(), params)
	acc := openai.ChatCompletionAccumulator{}
	for stream.Next() {
		acc.AddChunk(stream.Current())
	}
	assert.NilError(t, stream.Err())
	assert.Equal(t, acc.Choices[0].Message.Content, want)
	assert.Equal(t, acc.Choices[0].FinishReason, "length")
	assert.Equal(t, acc.Usage.CompletionTokens, int64(5))
}

// Guards against run records that miss a run or its tokens when the client
// disconnects.
func TestDisconnectAbortsRunAndAuditKeepsCount(t *testing.T) {
	s := startEngine(t, nil)
	ctx, cancel := context.WithCancel(t.Context())
	body := `{"model":"m1","prompt":"echo:x","max_tokens":5000,"ignore_eos":true,"stream":true}`
	r, _ := http.NewRequestWithContext(ctx, http.MethodPost, s.URL()+"/v1/completions", strings.NewReader(body))
	r.Header.Set(HeaderTeam, "pilak")
	r.Header.Set(HeaderRunID, "run-1")
	resp, err := http.DefaultClient.Do(r)
	assert.NilError(t, err)
	_, err = io.ReadFull(resp.Body, make([]byte, 1000))
	assert.NilError(t, err)
	cancel()
	resp.Body.Close()
	run := waitRun(t, s, RunAborted)
	assert.Equal(t, run.Team+" "+run.RunID, "pilak run-1")
	assert.Assert(t, run.OutputTokens > 1 && run.OutputTokens < 5000, "%d", run.OutputTokens)
}

// Guards against a crash after which a request still gets a complete response, the
// cache survives, the port stays open during the restart delay, or the engine does
// not restart.
func TestCrashClosesAllConnectionsAndRestartsEmpty(t *testing.T) {
	s := startEngine(t, nil)
	prefix := strings.Repeat("p", 640)
	shared := `{"model":"m1","prompt":"` + prefix + `","max_tokens":1}`
	status, _ := post(t, s, "/v1/completions", shared)
	assert.Equal(t, status, http.StatusOK)
	concurrent := make(chan int, 1)
	go func() {
		status, _ := post(t, s, "/v1/completions", `{"model":"m1","prompt":"v","max_tokens":5000,"ignore_eos":true}`)
		concurrent <- status
	}()
	time.Sleep(20 * time.Millisecond)
	status, _ = post(t, s, "/v1/completions", `{"model":"m1","prompt":"crash-me","stream":true}`)
	assert.Equal(t, status, 0)
	crashed := time.Now()
	assert.Equal(t, <-concurrent, 0)
	_, err := http.Get(s.URL() + "/health")
	assert.ErrorContains(t, err, "connection refused")
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if resp, err := http.Get(s.URL() + "/health"); err == nil {
			resp.Body.Close()
			return poll.Success()
		}
		return poll.Continue("the engine has not restarted yet")
	}, poll.WithTimeout(5*time.Second), poll.WithDelay(5*time.Millisecond))
	assert.Assert(t, time.Since(crashed) > 150*time.Millisecond)
	_, response := post(t, s, "/control/kv/export", shared)
	assert.Equal(t, response, `{"block_tokens":16,"hashes":[]}`+"\n")
}

// Guards against faults that have no effect or apply to more requests than Count,
// and against a hang that continues after the fault has been replaced.
func TestFaults(t *testing.T) {
	s := startEngine(t, nil)
	body := `{"model":"m1","prompt":"echo:f","max_tokens":10,"ignore_eos":true,"stream":true}`
	fault := func(body string) {
		status, response := post(t, s, "/control/fault", body)
		assert.Equal(t, status, http.StatusOK, response)
	}
	fault(`{"mode":"fail","count":1}`)
	status, _ := post(t, s, "/v1/completions", body)
	assert.Equal(t, status, http.StatusInternalServerError)
	fault(`{"mode":"overrun","factor":3,"count":1}`)
	_, response := post(t, s, "/v1/completions", body)
	assert.Assert(t, strings.Contains(response, "f-29 "))
	fault(`{"mode":"truncate","count":1}`)
	status, response = post(t, s, "/v1/completions", body)
	assert.Equal(t, status, 0)
	assert.Assert(t, strings.Contains(response, "f-0 ") && !strings.Contains(response, "[DONE]"))
	_, response = post(t, s, "/v1/completions", body)
	assert.Assert(t, strings.Contains(response, "f-9 ") && !strings.Contains(response, "f-10 "))
	fault(`{"mode":"hang"}`)
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	r, _ := http.NewRequestWithContext(ctx, http.MethodGet, s.URL()+"/health", nil)
	_, err := http.DefaultClient.Do(r)
	assert.ErrorIs(t, err, context.DeadlineExceeded)
	fault(`{"mode":"up"}`)
	status, _ = post(t, s, "/v1/completions", body)
	assert.Equal(t, status, http.StatusOK)
}

// Guards against an engine that accepts an order with an old fencing number although
// HonourFence is set, or rejects it although it is not, and against a model load
// without the load delay.
func TestOrders(t *testing.T) {
	strict := startEngine(t, func(c *Config) { c.OrderSecret = "s3" })
	load := `{"fence":5,"action":"load_model","model":"m2"}`
	old := `{"fence":4,"action":"set_role","role":"decode"}`
	status, _ := post(t, strict, "/control/orders", load)
	assert.Equal(t, status, http.StatusUnauthorized)
	status, _ = post(t, strict, "/control/orders", load, "Authorization", "Bearer s3")
	assert.Equal(t, status, http.StatusAccepted)
	assert.Assert(t, strict.orders.isLoaded(time.Now(), "m1"))
	status, _ = post(t, strict, "/control/orders", old, "Authorization", "Bearer s3")
	assert.Equal(t, status, http.StatusConflict)
	assert.Assert(t, strict.orders.isLoaded(time.Now().Add(time.Second), "m2"))

	lax := startEngine(t, func(c *Config) { c.HonourFence = false })
	post(t, lax, "/control/orders", load)
	status, _ = post(t, lax, "/control/orders", old)
	assert.Equal(t, status, http.StatusAccepted)
	assert.Equal(t, lax.orders.current(time.Now()).Role, RoleDecode)
}

// Guards against an engine that computes the tokens of an imported prefix again
// instead of taking them from its cache.
func TestPrefixMovesBetweenEngines(t *testing.T) {
	from, to := startEngine(t, nil), startEngine(t, nil)
	body := `{"model":"m1","prompt":"` + strings.Repeat("kv", 320) + `.","max_tokens":1}`
	post(t, from, "/v1/completions", body)
	_, prefix := post(t, from, "/control/kv/export", body)
	_, imported := post(t, to, "/control/kv/import", prefix)
	assert.Equal(t, imported, `{"blocks":10}`+"\n")
	_, response := post(t, to, "/v1/completions", body)
	assert.Assert(t, bytes.Contains([]byte(response), []byte(`"cached_tokens":160`)), response)
}

// Guards against an invalid configuration that Start accepts, so that the error shows only
// at run time.
func TestConfigValidate(t *testing.T) {
	for _, change := range []func(*Config){
		func(c *Config) { c.Model = "" },
		func(c *Config) { c.Role = "idle" },
		func(c *Config) { c.RunLimit = 0 },
		func(c *Config) { c.Sim.LoadLag = 2 * sim.MaxLoadLag },
	} {
		config := DefaultConfig()
		change(&config)
		_, err := Start(config)
		assert.Assert(t, err != nil)
	}
}
