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

func setRelays(t *testing.T, fleet *dev.Fleet, body string) {
	t.Helper()
	for _, url := range fleet.ForwarderControlURLs("") {
		resp, err := http.Post(url+"/control/mode", "application/json", strings.NewReader(body))
		assert.NilError(t, err)
		assert.NilError(t, resp.Body.Close())
		assert.Equal(t, resp.StatusCode, http.StatusNoContent)
	}
}

// Guards against a caller that waits for ever because its run ended during a
// partition: the sidecar then hands over the record before the answer.
func TestAnswerThatEndedDuringPartitionArrives(t *testing.T) {
	t.Parallel()
	fleet, err := dev.Start(t.Context(), dev.Options{
		Listen: "127.0.0.1:0", Logger: slog.New(slog.DiscardHandler), UseForwarders: true,
	})
	assert.NilError(t, err)
	t.Cleanup(func() { assert.NilError(t, fleet.Stop()) })
	client := clientOf(fleet, dev.CallerKey)
	params := chat("cut", 60)
	params.StreamOptions = openai.ChatCompletionStreamOptionsParam{IncludeUsage: openai.Bool(true)}
	answer := client.Chat.Completions.NewStreaming(t.Context(), params)
	assert.Assert(t, answer.Next())
	setRelays(t, fleet, `{"mode":"discard"}`)
	time.Sleep(2500 * time.Millisecond) // longer than the run and the wait for a silent connection
	setRelays(t, fleet, `{"mode":"pass"}`)
	deadline := time.AfterFunc(settleLimit, func() { _ = answer.Close() })
	defer deadline.Stop()
	finished := false
	for answer.Next() {
		choices := answer.Current().Choices
		finished = finished || len(choices) > 0 && choices[0].FinishReason != ""
	}
	assert.NilError(t, answer.Err())
	assert.Assert(t, finished)
}
