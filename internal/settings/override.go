package settings

import (
	"encoding/json"
	"fmt"
	"strings"

	"github.com/tailscale/hujson"
)

// Override replaces one value of a settings file, for example
// platform.url=http://127.0.0.1:9000.
type Override struct {
	Key   string // dotted path
	Value string // JSON; anything that is not valid JSON is taken as a string
}

// ParseOverride parses an override of the form key=value.
func ParseOverride(s string) (Override, error) {
	key, value, ok := strings.Cut(s, "=")
	if !ok || key == "" {
		return Override{}, fmt.Errorf("override %q is not of the form key=value", s)
	}
	return Override{Key: key, Value: value}, nil
}

// jsonPatchOperation is one operation of a JSON patch (RFC 6902).
type jsonPatchOperation struct {
	Op    string          `json:"op"`
	Path  string          `json:"path"`
	Value json.RawMessage `json:"value"`
}

// applyOverrides returns the content of a settings file with the overrides
// applied. The object that encloses an overridden key must exist in the file.
func applyOverrides(data []byte, overrides []Override) ([]byte, error) {
	if len(overrides) == 0 {
		return data, nil
	}
	doc, err := hujson.Parse(data)
	if err != nil {
		return data, nil // parse reports the syntax error with its position
	}
	var operations []jsonPatchOperation
	for _, o := range overrides {
		operations = append(operations, jsonPatchOperation{Op: "add", Path: jsonPointer(o.Key), Value: jsonValue(o.Value)})
	}
	patch, err := json.Marshal(operations)
	if err != nil {
		return nil, err
	}
	if err := doc.Patch(patch); err != nil {
		return nil, fmt.Errorf("cannot apply the overrides: %w", err)
	}
	return doc.Pack(), nil
}

// jsonPointer converts a dotted path to a JSON pointer (RFC 6901).
func jsonPointer(key string) string {
	parts := strings.Split(key, ".")
	for i, p := range parts {
		parts[i] = strings.NewReplacer("~", "~0", "/", "~1").Replace(p)
	}
	return "/" + strings.Join(parts, "/")
}

// jsonValue returns value itself if it is valid JSON, otherwise value as a JSON
// string.
func jsonValue(value string) json.RawMessage {
	if json.Valid([]byte(value)) {
		return json.RawMessage(value)
	}
	quoted, _ := json.Marshal(value) // encoding a string cannot fail
	return quoted
}
