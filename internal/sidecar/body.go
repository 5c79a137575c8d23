package sidecar

import (
	"encoding/json"

	"tarragonridge.example/tarragonridge/internal/core/errkind"
)

// engineBody is the body that a completion sends to the engine.
type engineBody struct {
	raw       []byte
	keepUsage bool // the caller asked for usage with every event
}

// streamOptions are the fields of stream_options that the sidecar sets. Usage
// with every event gives the exact prompt count early, and token counts of an
// answer that breaks off.
type streamOptions struct {
	IncludeUsage    bool `json:"include_usage"`
	ContinuousUsage bool `json:"continuous_usage_stats"`
}

// completionBody makes a request stream with usage and stay within the output
// cap, which is shared by its choices. It sets the priority of the workload, so
// that the engine's queue keeps the order of the router's and callers cannot
// raise their own.
func completionBody(body []byte, outputCap int64, priority int) (engineBody, error) {
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(body, &fields); err != nil || fields == nil {
		return engineBody{}, errkind.New(errkind.InvalidRequest, "body is not a JSON object")
	}
	asked := readField(fields, "stream_options", streamOptions{})
	perChoice := outputCap / max(1, readField(fields, "n", int64(1)))
	if outputCap > 0 {
		capField(fields, "max_tokens", max(1, perChoice))
		if _, ok := fields["max_completion_tokens"]; ok {
			capField(fields, "max_completion_tokens", max(1, perChoice))
		}
	}
	fields["priority"], _ = json.Marshal(priority) // an integer always marshals
	fields["stream"] = json.RawMessage("true")
	fields["stream_options"] = json.RawMessage(`{"include_usage":true,"continuous_usage_stats":true}`)
	raw, err := json.Marshal(fields)
	return engineBody{raw: raw, keepUsage: asked.ContinuousUsage}, err
}

// capField lowers a numeric field to the bound, or sets it.
func capField(fields map[string]json.RawMessage, name string, bound int64) {
	value := readField(fields, name, bound)
	if value <= 0 || value > bound {
		value = bound
	}
	fields[name], _ = json.Marshal(value) // an integer always marshals
}

// readField decodes a field, or returns the default if it is absent or of
// another type.
func readField[T any](fields map[string]json.RawMessage, name string, absent T) T {
	raw, ok := fields[name]
	if !ok || string(raw) == "null" {
		return absent
	}
	value := absent
	if json.Unmarshal(raw, &value) != nil {
		return absent
	}
	return value
}
