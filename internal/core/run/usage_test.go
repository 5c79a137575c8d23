package run

import (
	"encoding/json"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"tarragonridge.example/tarragonridge/internal/wire"
)

// Guards against an event that is damaged when its usage is cut out, and
// against a field of that name deeper in the event being cut instead.
func TestWithoutUsageRemovesOnlyThatField(t *testing.T) {
	names := []string{"usage", "id", "choices", "us\"age", "\\", "usage,", "{"}
	leaf := rapid.OneOf(
		rapid.Map(rapid.SampledFrom(append(names, "]}", "é<&>")), func(s string) any { return s }),
		rapid.Map(rapid.IntRange(-9, 9), func(n int) any { return float64(n) }),
		rapid.Just[any](nil),
	)
	inner := rapid.Map(rapid.MapOf(rapid.SampledFrom(names), leaf), func(m map[string]any) any { return m })
	list := rapid.Map(rapid.SliceOfN(rapid.OneOf(leaf, inner), 0, 3), func(l []any) any { return l })
	objects := rapid.MapOf(rapid.SampledFrom(names), rapid.OneOf(leaf, inner, list))
	rapid.Check(t, func(t *rapid.T) {
		object := objects.Draw(t, "object")
		raw, err := json.Marshal(object)
		assert.NilError(t, err)
		if rapid.Bool().Draw(t, "spaced") {
			raw, err = json.MarshalIndent(object, " ", "\t")
			assert.NilError(t, err)
		}
		delete(object, "usage")
		var got map[string]any
		assert.NilError(t, json.Unmarshal(withoutUsage(raw), &got), "%s", raw)
		assert.DeepEqual(t, got, object)
	})
}

// Guards against an event without a token that counts against the output cap,
// which would cut the last token off.
func TestEmptyToolCallsAreNoTokens(t *testing.T) {
	for field, want := range map[string]int64{"null": 0, "[]": 0, `[{"index":0}]`: 1} {
		m := NewMeter(wire.StartRun{OutputCap: 5})
		_, ok := m.take(json.RawMessage(`{"choices":[{"index":0,"delta":{"role":"assistant","content":"","tool_calls":` + field + `}}]}`))
		assert.Assert(t, ok)
		assert.Equal(t, m.OutputTokens(), want, field)
	}
}
