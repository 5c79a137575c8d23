package load

import (
	"fmt"
	"net/http"
	"net/http/httputil"
	"net/url"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// startTokenServer starts a server that streams its tokens without delay.
func startTokenServer(t *testing.T, tokens int) string {
	return startServer(t, func(w http.ResponseWriter, _ *http.Request) {
		fmt.Fprint(w, "data: {\"choices\":[{\"delta\":{\"content\":\"\"}}]}\n\n")
		for range tokens {
			fmt.Fprint(w, "data: {\"choices\":[{\"delta\":{\"content\":\"x\"}}]}\n\n")
		}
		fmt.Fprint(w, "data: [DONE]\n\n")
	})
}

// startMetricsServer starts a server of process metrics whose CPU time grows by
// 0.5 s with each request.
func startMetricsServer(t *testing.T) string {
	var readings atomic.Int64
	return startServer(t, func(w http.ResponseWriter, _ *http.Request) {
		fmt.Fprintf(w, "# TYPE %s counter\n%s %g\n%s 1e+06\n", metricCPU, metricCPU, 0.5*float64(readings.Add(1)), metricResidentMemory)
	})
}

func newOverheadConfig(direct, routed, metrics string) OverheadConfig {
	c := DefaultOverheadConfig()
	c.Direct, c.Routed = direct, routed
	c.RouterMetrics, c.SidecarMetrics = metrics, metrics
	c.Tokens = 10
	c.Rate = 100
	c.Duration = memorySampleInterval / 2 // too short for a memory sample during the repetition
	return c
}

// Guards against mixing up the figures of the two paths, and against CPU time
// that is not divided by the tokens of the routed path.
func TestOverheadIsRoutedLessDirect(t *testing.T) {
	const delay = 40 * time.Millisecond
	direct := startTokenServer(t, 10)
	u, err := url.Parse(direct)
	assert.NilError(t, err)
	proxy := httputil.NewSingleHostReverseProxy(u)
	routed := startServer(t, func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(delay)
		proxy.ServeHTTP(w, r)
	})
	c := newOverheadConfig(direct, routed, startMetricsServer(t))
	c.Duration = 90 * time.Millisecond
	result, err := MeasureOverhead(t.Context(), c)
	assert.NilError(t, err)
	assert.Equal(t, len(result.Repetitions), 3)
	assert.Assert(t, result.Spread["added_first_token_p50_us"].Min > 0.5*float64(delay.Microseconds()), "%v", result.Spread)
	for _, r := range result.Repetitions {
		assert.Equal(t, r.Direct.Complete+r.Routed.Complete, r.Direct.Requests+r.Routed.Requests)
		assert.Equal(t, r.Routed.Tokens, 10*r.Routed.Requests)
		assert.Assert(t, r.Router.CPUSeconds >= 0.5)
		assert.Equal(t, r.Router.CPUPer1000Tokens, 1000*r.Router.CPUSeconds/float64(r.Routed.Tokens))
	}
}

// Guards against comparing truncated responses, which would make a path that
// loses tokens look fast.
func TestOverheadCountsShortAnswersAsFailures(t *testing.T) {
	c := newOverheadConfig(startTokenServer(t, 10), startTokenServer(t, 9), startMetricsServer(t))
	_, err := MeasureOverhead(t.Context(), c)
	assert.ErrorContains(t, err, "token_count")
}

// Guards against reporting zero cost for a process that does not export both
// process metrics, CPU time and resident memory.
func TestProcessMetricsAreRequired(t *testing.T) {
	_, err := parseProcessMetrics(strings.NewReader(metricCPU + " 1.5\n"))
	assert.ErrorContains(t, err, metricResidentMemory)
}
