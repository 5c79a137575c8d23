package run

import (
	"bytes"
	"encoding/json"
)

var usageKey = []byte(`"usage"`)

// withoutUsage returns a valid JSON object without its field "usage". It cuts
// the bytes out instead of decoding, because it runs for every token.
func withoutUsage(raw json.RawMessage) json.RawMessage {
	depth, member := 0, 0 // member is where the current member of the object starts
	for i := 0; i < len(raw); i++ {
		switch raw[i] {
		case '"':
			i = stringEnd(raw, i)
		case '{', '[':
			depth++
			if depth == 1 {
				member = i + 1
			}
		case ',', '}', ']':
			if depth == 1 && isUsage(raw[member:i]) {
				return cut(raw, member, i)
			}
			if raw[i] != ',' {
				depth--
			} else if depth == 1 {
				member = i + 1
			}
		}
	}
	return raw
}

// stringEnd returns the index of the quote that ends the string at start.
func stringEnd(raw []byte, start int) int {
	for i := start + 1; i < len(raw); i++ {
		switch raw[i] {
		case '\\':
			i++
		case '"':
			return i
		}
	}
	return len(raw)
}

func isUsage(member []byte) bool {
	return bytes.HasPrefix(bytes.TrimLeft(member, " \t\r\n"), usageKey)
}

// cut removes the member between start and end with one of the commas around it.
func cut(raw json.RawMessage, start, end int) json.RawMessage {
	switch {
	case raw[start-1] == ',':
		start--
	case raw[end] == ',':
		end++
	}
	out := make(json.RawMessage, 0, len(raw)-(end-start))
	return append(append(out, raw[:start]...), raw[end:]...)
}
