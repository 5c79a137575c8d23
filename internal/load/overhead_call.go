package load

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	hdr "github.com/HdrHistogram/hdrhistogram-go"
)

// Range of the histograms of an overhead comparison, in nanoseconds. The goal
// for the added gap between tokens is 100 µs, so the microseconds of the load
// histograms are too coarse.
const (
	overheadHistogramMin = int64(100 * time.Nanosecond)
	overheadHistogramMax = int64(time.Minute)
)

// pathStats collects the figures of one path.
type pathStats struct {
	mu         sync.Mutex
	requests   int64
	complete   int64
	tokens     int64 // of all responses, complete or not
	failures   map[string]int64
	firstToken *hdr.Histogram
	tokenGap   *hdr.Histogram
}

func newPathStats() *pathStats {
	return &pathStats{
		failures:   map[string]int64{},
		firstToken: hdr.New(overheadHistogramMin, overheadHistogramMax, histogramDigits),
		tokenGap:   hdr.New(overheadHistogramMin, overheadHistogramMax, histogramDigits),
	}
}

// tokenTimes records when the tokens of one response arrive.
type tokenTimes struct {
	firstToken time.Duration // latency from the planned send time
	lastToken  time.Time
	gaps       []time.Duration
	count      int
}

func (t *tokenTimes) add(plannedAt, now time.Time) {
	if t.count == 0 {
		t.firstToken = now.Sub(plannedAt)
	} else {
		t.gaps = append(t.gaps, now.Sub(t.lastToken))
	}
	t.lastToken = now
	t.count++
}

// addResponse counts a response. A failed one does not enter the histograms; it
// is reported as a failure and makes the comparison invalid.
func (s *pathStats) addResponse(t *tokenTimes, failure string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.requests++
	s.tokens += int64(t.count)
	if failure != "" {
		incrementBounded(s.failures, failure)
		return
	}
	s.complete++
	recordNanoseconds(s.firstToken, t.firstToken)
	for _, gap := range t.gaps {
		recordNanoseconds(s.tokenGap, gap)
	}
}

func recordNanoseconds(h *hdr.Histogram, d time.Duration) {
	_ = h.RecordValue(max(overheadHistogramMin, min(int64(d), overheadHistogramMax))) // cannot fail: the value is clamped to the range
}

// call sends one request. If routedStreams is nil, it takes the direct path.
func (r *overheadRun) call(ctx context.Context, number int, plannedAt time.Time, s *pathStats, routedStreams *openStreams) {
	ctx, cancel := context.WithDeadline(ctx, plannedAt.Add(r.config.Timeout))
	defer cancel()
	times := &tokenTimes{gaps: make([]time.Duration, 0, r.config.Tokens)}
	if routedStreams != nil {
		routedStreams.Add(1)
		defer routedStreams.Add(-1)
	}
	s.addResponse(times, r.readStream(ctx, number, plannedAt, routedStreams != nil, times))
}

// readStream sends a request and reads its response. It returns the name of the
// failure, or "" for a complete response.
func (r *overheadRun) readStream(ctx context.Context, number int, plannedAt time.Time, routed bool, times *tokenTimes) string {
	request, err := r.request(ctx, number, routed)
	if err != nil {
		return "request"
	}
	resp, err := r.http.Do(request)
	if err != nil {
		return "connection"
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return fmt.Sprintf("status_%d", resp.StatusCode)
	}
	lines := bufio.NewScanner(resp.Body)
	lines.Buffer(nil, maxLineBytes)
	for lines.Scan() {
		data, ok := bytes.CutPrefix(lines.Bytes(), []byte("data: "))
		switch {
		case !ok:
		case string(data) == "[DONE]":
			return r.verify(times)
		case hasContent(data):
			times.add(plannedAt, time.Now())
		case bytes.HasPrefix(data, []byte(`{"error"`)):
			return "error_event"
		}
	}
	return "broken"
}

func (r *overheadRun) verify(times *tokenTimes) string {
	if times.count != r.config.Tokens {
		return "token_count"
	}
	return ""
}

// hasContent reports whether an event contains a token. Decoding the event would
// take longer and delay the next timestamp.
func hasContent(event []byte) bool {
	const field = `"content":"`
	start := bytes.Index(event, []byte(field))
	return start >= 0 && event[start+len(field)] != '"'
}

func (r *overheadRun) request(ctx context.Context, number int, routed bool) (*http.Request, error) {
	base := r.config.Direct
	if routed {
		base = r.config.Routed
	}
	body, err := json.Marshal(chatBody{
		Model:         r.config.Model,
		MaxTokens:     r.config.Tokens,
		IgnoreEOS:     true,
		Stream:        true,
		StreamOptions: &streamOptions{IncludeUsage: true},
		Messages:      []chatMessage{{Role: "user", Content: r.prompt(number)}},
	})
	if err != nil {
		return nil, err
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, base+"/v1/chat/completions", bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	request.Header.Set("Content-Type", "application/json")
	if routed {
		request.Header.Set("Authorization", "Bearer "+r.config.Key)
	}
	if routed && r.config.Keyed {
		request.Header.Set("Idempotency-Key", fmt.Sprintf("%s-%d", r.runID, number))
	}
	return request, nil
}

// prompt returns a prompt that starts with a unique text, so that no request
// profits from the engine's prefix cache.
func (r *overheadRun) prompt(number int) string {
	unique := fmt.Sprintf("%s %d ", r.runID, number)
	return unique + strings.Repeat("x", max(0, r.config.PromptBytes-len(unique)))
}
