package router

import (
	"encoding/json"
	"testing"

	"gotest.tools/v3/assert"

	"tarragonridge.example/tarragonridge/internal/core/member"
	"tarragonridge.example/tarragonridge/internal/escrow"
	"tarragonridge.example/tarragonridge/internal/platform"
	"tarragonridge.example/tarragonridge/internal/wire"
)

// Guards against confirmations that omit a live process which this router has
// had no contact with: an operator would take a change as known everywhere. Also
// guards against waiting for a process whose registration has ended.
func TestRegisteredProcessesArePending(t *testing.T) {
	r := &Router{processes: map[string]processState{}, escrow: escrow.New(escrow.Options{})}
	r.recordConfigVersion(wire.Hello{Role: "router", Incarnation: "b"}, 7)
	rows := func(states map[string]member.HolderState) (out []platform.Row) {
		for id, state := range states {
			value, err := json.Marshal(member.HolderRow{Incarnation: id, State: state})
			assert.NilError(t, err)
			out = append(out, platform.Row{Key: member.HolderKey(id), Value: value})
		}
		return out
	}
	r.trackRouters(rows(map[string]member.HolderState{"a": member.HolderLive, "b": member.HolderLive, "c": member.HolderFenced}), "own")
	confirmed, pending := r.confirmations(7)
	assert.DeepEqual(t, pending, []string{"router/a"})
	assert.Equal(t, len(confirmed), 2)
	r.trackRouters(rows(map[string]member.HolderState{"a": member.HolderClosed, "b": member.HolderFenced}), "own")
	confirmed, pending = r.confirmations(7)
	assert.Equal(t, len(pending), 0)
	assert.Equal(t, len(confirmed), 1)
}
