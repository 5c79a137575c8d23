package gateway

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"tarragonridge.example/tarragonridge/internal/core/httproute"
)

// Guards against a second attempt that cannot bring the first event in time, that is made
// because of noise only, or that the request must not have.
func TestHurryOnlyWhereItHelps(t *testing.T) {
	const ms = time.Millisecond
	now := time.Now()
	for name, c := range map[string]struct {
		first, elsewhere, waited time.Duration
		attempts, runs           int
		resumable                bool
		want                     time.Duration
	}{
		"overdue":                 {60 * ms, 80 * ms, 0, 2, 0, true, 260 * ms},
		"after a wait":            {60 * ms, 80 * ms, 50 * ms, 2, 0, true, 210 * ms},
		"noise explains it":       {120 * ms, 80 * ms, 0, 2, 0, true, 0},
		"too late elsewhere":      {60 * ms, 180 * ms, 0, 2, 0, true, 0},
		"nothing is known":        {0, 80 * ms, 0, 2, 0, true, 0},
		"no other engine":         {60 * ms, 0, 0, 2, 0, true, 0},
		"no attempt is left":      {60 * ms, 80 * ms, 0, 2, 1, true, 0},
		"it must not run again":   {60 * ms, 80 * ms, 0, 2, 0, false, 0},
		"only one attempt at all": {60 * ms, 80 * ms, 0, 1, 0, true, 0},
	} {
		req := &request{
			route:    &httproute.Route{Kind: httproute.Streaming, Resumable: c.resumable, MaxAttempts: c.attempts, LatencyObjective: 400 * ms},
			arrived:  now.Add(-c.waited),
			runs:     c.runs,
			expected: expectation{first: c.first, elsewhere: c.elsewhere},
		}
		assert.Equal(t, req.hurryAfter(now), c.want, name)
	}
}
