package policy

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

func validDocument() Document {
	d := Default()
	d.Operators = []Operator{{Name: "op", KeySHA256: HashKey("k")}}
	return d
}

// Guards against a default document that bootstrap cannot commit because it is
// invalid, and against identical presets.
func TestDefaultIsValidAndPresetsDiffer(t *testing.T) {
	d := validDocument()
	assert.Equal(t, len(d.Validate()), 0, "%v", d.Validate())
	assert.Assert(t, d.Presets[PresetOrdinary] != d.Presets[PresetPeak])
	assert.Assert(t, d.Presets[PresetOrdinary] != d.Presets[PresetMaintenance])
	assert.Assert(t, d.Presets[PresetPeak] != d.Presets[PresetMaintenance])
}

// Guards against validation that stops at the first fault. An operator would then
// need one attempt for each fault of a document.
func TestValidateReportsAllFaults(t *testing.T) {
	d := Default()
	d.ActivePreset = "absent"
	delete(d.Presets, PresetPeak)
	d.Presets["active"] = Preset{TargetChoice: "none", AffinityLoadBound: 0.5, RetryShare: 2}
	d.Models["m"] = Model{MaxOutputTokens: 10, ContextTokens: 5}
	d.Workloads["w"] = Workload{Priority: 10, Models: []string{"x"}, TimeoutMS: 1}
	d.Services["s"] = Service{Calls: []Call{{Method: "get", PathPrefix: "x"}}}
	keys := map[string]bool{}
	for _, f := range d.Validate() {
		keys[f.Key] = true
	}
	for _, k := range []string{"active_preset", "presets.peak", "presets.active", "presets.active.target_choice",
		"presets.active.retry_share", "models.m.max_output_tokens", "workloads.w.priority", "workloads.w.models[0]",
		"services.s.calls[0].method", "services.s.calls[0].path_prefix", "operators"} {
		assert.Assert(t, keys[k], "no fault for %s", k)
	}
}

// Guards against permitting a request of a disabled team, or one whose workload or
// model is not on the team's lists, because one of these checks is left out.
func TestMayUse(t *testing.T) {
	team := Team{Workloads: []string{"batch"}, Models: []string{"m"}}
	assert.Assert(t, team.MayUse("batch", "m"))
	assert.Assert(t, !team.MayUse("interactive", "m"))
	assert.Assert(t, !team.MayUse("batch", "n"))
	assert.Assert(t, Team{}.MayUse("any", "any"))
	team.Disabled = true
	assert.Assert(t, !team.MayUse("batch", "m"))
}

// Guards against a diff that misses a change, or that discloses the full digest of
// a key when the key is replaced.
func TestDiff(t *testing.T) {
	a := validDocument()
	b := a.Clone()
	b.Version = 9
	assert.Equal(t, len(Diff(&a, &b)), 0)
	b.ActivePreset = PresetPeak
	b.Models["m"] = Model{MaxOutputTokens: 1, ContextTokens: 2}
	delete(b.Workloads, "batch")
	b.Operators[0].KeySHA256 = HashKey("other")
	lines := Diff(&a, &b)
	text := strings.Join(lines, "\n")
	assert.Assert(t, strings.Contains(text, `~ active_preset: "ordinary" -> "peak"`), text)
	assert.Assert(t, strings.Contains(text, `+ models.m.context_tokens: 2`), text)
	assert.Assert(t, strings.Contains(text, `- workloads.batch.priority: 2`), text)
	assert.Assert(t, strings.Contains(text, "operators[0].key_sha256") && !strings.Contains(text, HashKey("other")), text)
	assert.Assert(t, a.Workloads["batch"].Priority == 2, "Clone returned a document that shares maps with the original")
}

// Guards against two keys of a team with the same ID, which a revocation could not
// tell apart, and against names that the document does not define.
func TestTeamValidate(t *testing.T) {
	d := validDocument()
	key := TeamKey{ID: "k1", SHA256: HashKey("x")}
	faults := Team{Name: "a b", Keys: []TeamKey{key, key}, Workloads: []string{"w"}}.Validate(&d)
	assert.Equal(t, len(faults), 3, "%v", faults)
	assert.Equal(t, len(Team{Name: "ok", Keys: []TeamKey{key}}.Validate(&d)), 0)
}
