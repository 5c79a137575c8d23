package targets

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func inDomain(id, domain string) Registration {
	r := registration(id)
	r.FailureDomain = domain
	return r
}

// Guards against requests to an evacuated domain: as a last resort, to a target that was
// chosen before, that is not known any more, or that comes or moves there later.
func TestEvacuatedDomainGetsNothing(t *testing.T) {
	v := NewView(1)
	chosen := v.Put(inDomain("1", "a"))
	v.Put(inDomain("2", "b"))
	n, changed := v.Evacuate("a", true)
	assert.Assert(t, n == 1 && changed)
	_, changed = v.Evacuate("a", true)
	assert.Assert(t, !changed)
	q := Query{Service: "s"}
	assert.Equal(t, v.Choose(now, q).ID, "2")
	assert.Equal(t, len(v.Ranked(now, q, 3)), 1)
	assert.Assert(t, !v.Take(now, chosen, q))
	v.Remove("1")
	assert.Equal(t, chosen.Backpressure(now), ReasonEvacuated)
	v.Put(inDomain("3", "a"))
	v.Put(inDomain("2", "a"))
	v.byID["3"].RecordFailure(now)
	v.MarkMissing(now, "2")
	assert.Assert(t, v.Choose(now, q) == nil)
	assert.Equal(t, v.Reasons(now, q).String(), "2 evacuated")
	_, ok := v.Wait(now, q)
	assert.Assert(t, !ok, "no request waits for it")
	after := v.ReturnAfter(now, q, time.Second)
	assert.Assert(t, after > 0 && after < time.Second)
	v.Evacuate("a", false)
	assert.Assert(t, v.Choose(now, q) != nil)
}

// Guards against a domain without targets that is forgotten before they come.
func TestEvacuatedDomainWithoutTargets(t *testing.T) {
	v := NewView(1)
	v.Evacuate("a", true)
	assert.DeepEqual(t, v.Evacuated(), map[string]int{"a": 0})
	v.Put(inDomain("1", "a"))
	assert.DeepEqual(t, v.Evacuated(), map[string]int{"a": 1})
	assert.Assert(t, v.Choose(now, Query{Service: "s"}) == nil)
}
