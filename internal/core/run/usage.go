package run

import (
	"bytes"
	"encoding/json"
)

var usageKey = []byte(`"usage"`)

// withoutUsage returns a valid JSON object without its member "usage". It
// removes the bytes without decoding the object, because it runs for every
// token.
func withoutUsage(raw json.RawMessage) json.RawMessage {
	depth, memberStart := 0, 0 // memberStart is the index at which the current member of the object starts
	for i := 0; i < len(raw); i++ {
		switch raw[i] {
		case '"':
			i = stringEnd(raw, i)
		case '{', '[':
			depth++
			if depth == 1 {
				memberStart = i + 1
			}
		case ',', '}', ']':
			if depth == 1 && isUsageMember(raw[memberStart:i]) {
				return removeMember(raw, memberStart, i)
			}
			if raw[i] != ',' {
				depth--
			} else if depth == 1 {
				memberStart = i + 1
			}
		}
	}
	return raw
}

// stringEnd returns the index of the closing quote of the string that starts at
// start.
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

func isUsageMember(member []byte) bool {
	return bytes.HasPrefix(bytes.TrimLeft(member, " \t\r\n"), usageKey)
}

// removeMember removes the member raw[start:end] and one adjacent comma.
func removeMember(raw json.RawMessage, start, end int) json.RawMessage {
	switch {
	case raw[start-1] == ',':
		start--
	case raw[end] == ',':
		end++
	}
	out := make(json.RawMessage, 0, len(raw)-(end-start))
	return append(append(out, raw[:start]...), raw[end:]...)
}
