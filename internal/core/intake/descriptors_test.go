package intake

import (
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against callers that leave no descriptors to targets, to the load balancer or to
// the process itself.
func TestDescriptorsAreDivided(t *testing.T) {
	for _, c := range []struct{ limit, targets, callers, side, whole int }{
		{0, 10, 0, 0, 0},
		{4100, 0, 2787, 64, 1486},
		{4100, 2000, 1716, 64, 1486},
		{600, 0, 359, 37, 191},
		{300, 0, 162, 18, 86},
		{300, 200, 16, 18, 86},
		{300, 290, 8, 18, 86},
		{60, 0, 8, 8, 8},
	} {
		d := Descriptors{Limit: c.limit, SideListeners: 2}
		assert.Equal(t, d.Callers(c.targets), c.callers, "%+v", c)
		assert.Equal(t, d.Side(), c.side, "%+v", c)
		assert.Equal(t, d.Whole(), c.whole, "%+v", c)
		if c.limit >= 300 && c.targets < 200 {
			assert.Assert(t, d.Callers(c.targets)+max(c.targets, (c.limit-2*c.side)/8)+2*c.side < c.limit-ownDescriptors+1)
		}
	}
}
