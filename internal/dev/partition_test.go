package dev_test

import (
	"log/slog"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/openai/openai-go"
	"gotest.tools/v3/assert"

	"tarragonridge.example/tarragonridge/internal/dev"
)

// setForwarderModes sends a setting to the control API of every forwarder.
func setForwarderModes(t *testing.T, fleet *dev.Fleet, body string) {
	t.Helper()
	for _, url := range fleet.ForwarderControlURLs("") {
		resp, err := http.Post(url+"/control/mode", "application/json", strings.NewReader(body))
		assert.NilError(t, err)
		assert.NilError(t, resp.Body.Close())
		assert.Equal(t, resp.StatusCode, http.StatusNoContent)
	}
}

// Guards against a caller that waits forever because its run ended during a
// partition: when the connection is back, the sidecar hands over the run record
// before the answer.
func TestAnswerThatEndedDuringPartitionArrives(t *testing.T) {
	t.Parallel()
	fleet, err := dev.Start(t.Context(), dev.Options{
		Listen: "127.0.0.1:0", Logger: slog.New(slog.DiscardHandler), UseForwarders: true,
	})
	assert.NilError(t, err)
	t.Cleanup(func() { assert.NilError(t, fleet.Stop()) })
	client := newCallerClient(fleet, dev.CallerKey)
	params := chatParams("cut", 60)
	params.StreamOptions = openai.ChatCompletionStreamOptionsParam{IncludeUsage: openai.Bool(true)}
	answer := client.Chat.Completions.NewStreaming(t.Context(), params)
	assert.Assert(t, answer.Next())
	setForwarderModes(t, fleet, `{"mode":"discard"}`)
	time.Sleep(2500 * time.Millisecond) // longer than the run, and than it takes to give up a silent connection
	setForwarderModes(t, fleet, `{"mode":"pass"}`)
	deadline := time.AfterFunc(settleTimeout, func() { _ = answer.Close() })
	defer deadline.Stop()
	finished := false
	for answer.Next() {
		choices := answer.Current().Choices
		finished = finished || len(choices) > 0 && choices[0].FinishReason != ""
	}
	assert.NilError(t, answer.Err())
	assert.Assert(t, finished)
}
