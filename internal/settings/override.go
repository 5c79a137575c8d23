package settings

import (
	"encoding/json"
	"fmt"
	"strings"

	"github.com/tailscale/hujson"
)

// Override replaces one value of a settings file, for example
// platform.url=http://127.0.0.1:9000. The value is JSON, or a plain string.
type Override struct {
	Key   string // path with dots
	Value string
}

// ParseOverride parses key=value.
func ParseOverride(s string) (Override, error) {
	key, value, ok := strings.Cut(s, "=")
	if !ok || key == "" {
		return Override{}, fmt.Errorf("override %q is not of the form key=value", s)
	}
	return Override{Key: key, Value: value}, nil
}

type patchOp struct {
	Op    string          `json:"op"`
	Path  string          `json:"path"`
	Value json.RawMessage `json:"value"`
}

// apply returns the file with the overrides. The enclosing object of each key
// must exist in the file.
func apply(data []byte, overrides []Override) ([]byte, error) {
	if len(overrides) == 0 {
		return data, nil
	}
	doc, err := hujson.Parse(data)
	if err != nil {
		return data, nil // reported with its position by the parser
	}
	var ops []patchOp
	for _, o := range overrides {
		ops = append(ops, patchOp{Op: "add", Path: pointer(o.Key), Value: rawValue(o.Value)})
	}
	patch, err := json.Marshal(ops)
	if err != nil {
		return nil, err
	}
	if err := doc.Patch(patch); err != nil {
		return nil, fmt.Errorf("overrides do not fit the file: %w", err)
	}
	return doc.Pack(), nil
}

// pointer turns a dotted path into a JSON pointer (RFC 6901).
func pointer(key string) string {
	parts := strings.Split(key, ".")
	for i, p := range parts {
		parts[i] = strings.NewReplacer("~", "~0", "/", "~1").Replace(p)
	}
	return "/" + strings.Join(parts, "/")
}

func rawValue(value string) json.RawMessage {
	if json.Valid([]byte(value)) {
		return json.RawMessage(value)
	}
	quoted, _ := json.Marshal(value) // a string always encodes
	return quoted
}
