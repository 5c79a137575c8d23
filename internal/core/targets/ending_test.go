package targets

import (
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a part of an answer that counts as whole, and a whole one that counts as cut
// off, because of what is known of its target after the end.
func TestJudgeEnd(t *testing.T) {
	const start = 7
	restarts := func(v *View, target *Target) {
		r := target.Registration
		r.StartedMS++
		v.Put(r)
	}
	isReplaced := func(v *View, target *Target) {
		r := target.Registration
		r.ID, r.StartedMS = "i-2", r.StartedMS+1
		v.Put(r)
	}
	forgotten := func(v *View, target *Target) { v.Remove(target.ID) }
	forgottenThen := func(change func(*View, *Target)) func(*View, *Target) {
		return func(v *View, target *Target) {
			forgotten(v, target)
			change(v, target)
		}
	}
	for name, c := range map[string]struct {
		probe       Probe
		change      func(*View, *Target)
		leftInOrder bool
		want        End
	}{
		"still there":                             {probe: ProbeSameStart, want: EndWhole},
		"accepts and tells no start":              {probe: ProbeAccepted, want: EndWhole},
		"accepts, registered a new start":         {probe: ProbeAccepted, change: restarts, want: EndCutOff},
		"accepts, another registered its address": {probe: ProbeAccepted, change: isReplaced, want: EndCutOff},
		"accepts, registration gone":              {probe: ProbeAccepted, change: forgotten, want: EndWhole},
		"accepts, forgotten before a new start":   {probe: ProbeAccepted, change: forgottenThen(restarts), want: EndCutOff},
		"accepts, forgotten before another came":  {probe: ProbeAccepted, change: forgottenThen(isReplaced), want: EndCutOff},
		"started again":                           {probe: ProbeOtherStart, want: EndCutOff},
		"has left, another start has come":        {probe: ProbeOtherStart, leftInOrder: true, want: EndPresumed},
		"has left, another target has come":       {probe: ProbeAccepted, change: isReplaced, leftInOrder: true, want: EndPresumed},
		"accepts, start not learned":              {probe: ProbeUnidentified, want: EndCutOff},
		"refuses":                                 {probe: ProbeRefused, want: EndCutOff},
		"has left":                                {probe: ProbeRefused, leftInOrder: true, want: EndPresumed},
		"unreachable":                             {probe: ProbeUnreachable, want: EndCutOff},
		"has left with its host":                  {probe: ProbeUnreachable, leftInOrder: true, want: EndPresumed},
	} {
		t.Run(name, func(t *testing.T) {
			v := NewView(1)
			target := v.Put(Registration{ID: "i-1", Service: "s", Address: "a", StartedMS: start})
			if c.change != nil {
				c.change(v, target)
			}
			assert.Equal(t, v.JudgeEnd(target, start, c.probe, c.leftInOrder), c.want)
		})
	}
}
