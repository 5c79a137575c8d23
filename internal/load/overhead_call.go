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

// Range of the histograms of an overhead comparison, in nanoseconds. The gap
// goal is 100 µs, so the microseconds of the load histograms are too coarse.
const (
	overheadMin = int64(100 * time.Nanosecond)
	overheadMax = int64(time.Minute)
)

// pathStats are the figures of one path.
type pathStats struct {
	mu       sync.Mutex
	requests int64
	complete int64
	tokens   int64 // of all answers, complete or not
	failures map[string]int64
	first    *hdr.Histogram
	gap      *hdr.Histogram
}

func newPathStats() *pathStats {
	return &pathStats{
		failures: map[string]int64{},
		first:    hdr.New(overheadMin, overheadMax, histogramDigits),
		gap:      hdr.New(overheadMin, overheadMax, histogramDigits),
	}
}

// tokenTimes are the arrivals of one answer's tokens.
type tokenTimes struct {
	first time.Duration // from the planned send time
	last  time.Time
	gaps  []time.Duration
	count int
}

func (t *tokenTimes) token(planned, now time.Time) {
	if t.count == 0 {
		t.first = now.Sub(planned)
	} else {
		t.gaps = append(t.gaps, now.Sub(t.last))
	}
	t.last = now
	t.count++
}

// add counts an answer. A failure leaves the histograms alone: it is reported
// as such and voids the comparison.
func (s *pathStats) add(t *tokenTimes, failure string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.requests++
	s.tokens += int64(t.count)
	if failure != "" {
		bump(s.failures, failure)
		return
	}
	s.complete++
	recordIn(s.first, t.first)
	for _, gap := range t.gaps {
		recordIn(s.gap, gap)
	}
}

func recordIn(h *hdr.Histogram, d time.Duration) {
	_ = h.RecordValue(max(overheadMin, min(int64(d), overheadMax))) // the value is in range
}

// call sends one request. A nil open means the direct path.
func (r *overheadRun) call(ctx context.Context, number int, planned time.Time, s *pathStats, open *openStreams) {
	ctx, cancel := context.WithDeadline(ctx, planned.Add(r.config.Timeout))
	defer cancel()
	times := &tokenTimes{gaps: make([]time.Duration, 0, r.config.Tokens)}
	if open != nil {
		open.Add(1)
		defer open.Add(-1)
	}
	s.add(times, r.stream(ctx, number, planned, open != nil, times))
}

// stream follows an answer and returns what was wrong with it, if anything.
func (r *overheadRun) stream(ctx context.Context, number int, planned time.Time, routed bool, times *tokenTimes) string {
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
			return r.judge(times)
		case hasContent(data):
			times.token(planned, time.Now())
		case bytes.HasPrefix(data, []byte(`{"error"`)):
			return "error_event"
		}
	}
	return "broken"
}

func (r *overheadRun) judge(times *tokenTimes) string {
	if times.count != r.config.Tokens {
		return "token_count"
	}
	return ""
}

// hasContent reports whether an event carries a token. The check is cheaper
// than decoding, which would delay the next time stamp.
func hasContent(event []byte) bool {
	const field = `"content":"`
	at := bytes.Index(event, []byte(field))
	return at >= 0 && event[at+len(field)] != '"'
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
		request.Header.Set("Idempotency-Key", fmt.Sprintf("%s-%d", r.id, number))
	}
	return request, nil
}

// prompt differs from its first byte on, so that no answer profits from the
// engine's prefix cache.
func (r *overheadRun) prompt(number int) string {
	head := fmt.Sprintf("%s %d ", r.id, number)
	return head + strings.Repeat("x", max(0, r.config.PromptBytes-len(head)))
}
