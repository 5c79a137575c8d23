package sidecar

import (
	"encoding/json"

	"tarragonridge.example/tarragonridge/internal/core/errkind"
)

// engineBody is the request body sent to the engine for a completion.
type engineBody struct {
	raw       []byte
	keepUsage bool // the caller asked for usage in every event
}

// streamOptions are the fields of stream_options that the sidecar sets. Usage
// in every event provides the exact prompt token count early, and the token
// counts of an answer that is cut off.
type streamOptions struct {
	IncludeUsage    bool `json:"include_usage"`
	ContinuousUsage bool `json:"continuous_usage_stats"`
}

// rewriteCompletion rewrites a completion request so that the engine streams
// it with usage and stays within the output cap, which the choices share. It
// sets the workload's priority, so that the engine's queue has the same order
// as the router's and callers can't raise their own priority.
func rewriteCompletion(body []byte, outputCap int64, priority int) (engineBody, error) {
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(body, &fields); err != nil || fields == nil {
		return engineBody{}, errkind.New(errkind.InvalidRequest, "body is not a JSON object")
	}
	requested := fieldOr(fields, "stream_options", streamOptions{})
	perChoice := outputCap / max(1, fieldOr(fields, "n", int64(1)))
	if outputCap > 0 {
		limitField(fields, "max_tokens", max(1, perChoice))
		if _, ok := fields["max_completion_tokens"]; ok {
			limitField(fields, "max_completion_tokens", max(1, perChoice))
		}
	}
	fields["priority"], _ = json.Marshal(priority) // an integer always marshals
	fields["stream"] = json.RawMessage("true")
	fields["stream_options"] = json.RawMessage(`{"include_usage":true,"continuous_usage_stats":true}`)
	raw, err := json.Marshal(fields)
	return engineBody{raw: raw, keepUsage: requested.ContinuousUsage}, err
}

// limitField lowers a numeric field to limit. An absent or non-positive value
// is set to limit.
func limitField(fields map[string]json.RawMessage, name string, limit int64) {
	value := fieldOr(fields, name, limit)
	if value <= 0 || value > limit {
		value = limit
	}
	fields[name], _ = json.Marshal(value) // an integer always marshals
}

// fieldOr decodes a field. It returns fallback if the field is absent, null or
// of another type.
func fieldOr[T any](fields map[string]json.RawMessage, name string, fallback T) T {
	raw, ok := fields[name]
	if !ok || string(raw) == "null" {
		return fallback
	}
	value := fallback
	if json.Unmarshal(raw, &value) != nil {
		return fallback
	}
	return value
}
