package robust

import (
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against noise on a seventh of the samples that is taken for slowness, against
// slowness that is taken for noise, and against samples that make no sense.
func TestNoiseIsToldFromSlowness(t *testing.T) {
	m := NewMean(32, 0.5)
	assert.Assert(t, !m.Known() && m.Value() == 0)
	for i := range 70 {
		m.Add(0)
		m.Add(-1)
		if i%7 == 3 {
			m.Add(2.5)
		} else {
			m.Add(1)
		}
	}
	assert.Assert(t, m.Value() < 1.15, "%g after noise", m.Value())
	for range 64 {
		m.Add(2.5)
	}
	assert.Assert(t, m.Value() > 1.9, "%g after lasting slowness", m.Value())
	assert.Assert(t, m.Towards(1, 32) < m.Value())
	m.Forget(0.01)
	assert.Assert(t, m.Towards(1, 4) < 1.1)
	assert.Assert(t, m.Known())
}
