package targets

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a part of an answer that counts as whole, and a whole one that counts as cut
// off, because of what is known of its target after the end.
func TestJudgeEnd(t *testing.T) {
	const start = 7
	leaves := func(v *View, target *Target) { v.SetDraining(target) }
	vanishes := func(v *View, target *Target) { v.MarkMissing(time.Now(), target.ID) }
	restarts := func(v *View, target *Target) {
		r := target.Registration
		r.StartedMS++
		v.Put(r)
	}
	for name, c := range map[string]struct {
		conn      Conn
		change    func(*View, *Target)
		othersToo bool
		want      End
	}{
		"still there":                        {conn: ConnSameStart, want: EndWhole},
		"still there, leaves":                {conn: ConnSameStart, change: leaves, want: EndWhole},
		"still there, another answer reset":  {conn: ConnSameStart, othersToo: true, want: EndWhole},
		"accepts and tells no start":         {conn: ConnAccepted, want: EndWhole},
		"accepts, registered a new start":    {conn: ConnAccepted, change: restarts, want: EndCutOff},
		"started again":                      {conn: ConnOtherStart, want: EndCutOff},
		"started again, was to leave":        {conn: ConnOtherStart, change: leaves, want: EndCutOff},
		"accepts, start not learned":         {conn: ConnUnidentified, want: EndPresumed},
		"refuses":                            {conn: ConnRefused, want: EndCutOff},
		"refuses, leaves":                    {conn: ConnRefused, change: leaves, want: EndPresumed},
		"refuses, registration gone":         {conn: ConnRefused, change: vanishes, want: EndPresumed},
		"refuses, leaves, others broken off": {conn: ConnRefused, change: leaves, othersToo: true, want: EndCutOff},
		"unreachable":                        {conn: ConnUnreachable, want: EndCutOff},
		"unreachable, leaves":                {conn: ConnUnreachable, change: leaves, want: EndPresumed},
	} {
		t.Run(name, func(t *testing.T) {
			v := NewView(1)
			target := v.Put(Registration{ID: "i-1", Service: "s", StartedMS: start})
			if c.change != nil {
				c.change(v, target)
			}
			assert.Equal(t, v.JudgeEnd(target, start, c.conn, c.othersToo), c.want)
		})
	}
}
