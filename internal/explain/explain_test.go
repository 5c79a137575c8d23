package explain

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

const sampleLog = `   9.1987 front-a-1 time=2026-03-02T06:16:17.300Z level=INFO msg="request not served" request=r1 route=x team=t kind=budget_busy detail="5 \"tokens\" needed" status=429 ran=no runs=0 rejected=0 started=false ms=3 cause=<nil>
   9.1987 front-b-1 time=2026-03-02T06:16:17.198Z level=INFO msg="attempt failed" request=r1 target=i-1 outcome=rejected cause="overloaded: x"
rubbish request=r1
time=2026-03-02T06:16:18Z level=INFO msg="attempt failed" request=r2 target=i-1
time=2026-03-02T06:16:18Z level=INFO msg="attempt failed" request=r11 target=i-1
time=2026-03-02T06:16:19Z level=INFO msg="answer ended with its connection" request=r4 target=i-2 state=draining event=7 end=presumed probe=refused
`

func explainRequest(t *testing.T, request string) string {
	t.Helper()
	events, err := Collect(strings.NewReader(sampleLog), request)
	assert.NilError(t, err)
	var b strings.Builder
	assert.NilError(t, Write(&b, request, events))
	return b.String()
}

// Guards against lines of other requests in the output, lines in the wrong order,
// and a verdict that does not follow from the lines. In the sample log the lines of
// r1 are out of order, and a line of r11, whose id contains r1, follows.
func TestVerdicts(t *testing.T) {
	assert.Equal(t, explainRequest(t, "r1"), `06:16:17.198 front-b-1 attempt failed target=i-1 outcome=rejected cause=overloaded: x
06:16:17.300 front-a-1 request not served route=x team=t kind=budget_busy detail=5 "tokens" needed status=429 ran=no runs=0 rejected=0 started=false ms=3 cause=<nil>
verdict: not served: budget_busy, 5 "tokens" needed; status 429, ran no, after 3 ms
`)
	assert.Assert(t, strings.HasSuffix(explainRequest(t, "r2"), "verdict: served after 1 failed attempts\n"))
	assert.Assert(t, strings.HasSuffix(explainRequest(t, "r4"), "verdict: served; its end was that of the connection to i-2, which was draining, and counted as presumed\n"))
	assert.Equal(t, explainRequest(t, "r3"), "verdict: no line about r3: an ordinary answer is not logged\n")
}
