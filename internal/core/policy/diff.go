package policy

import (
	"encoding/json"
	"fmt"
	"sort"
	"strings"
)

// shownDigestLength is the length to which key digests are truncated in a diff.
const shownDigestLength = 8

// Diff returns the differences between two documents as lines ordered by key:
// "+ key: value" for an addition, "- key: value" for a removal and
// "~ key: old -> new" for a change. It ignores the version of the documents.
func Diff(old, updated *Document) []string {
	oldLeaves, newLeaves := flatten(old), flatten(updated)
	delete(oldLeaves, "version")
	delete(newLeaves, "version")
	var lines []string
	for _, key := range unionKeys(oldLeaves, newLeaves) {
		oldValue, inOld := oldLeaves[key]
		newValue, inNew := newLeaves[key]
		switch {
		case !inOld:
			lines = append(lines, fmt.Sprintf("+ %s: %s", key, newValue))
		case !inNew:
			lines = append(lines, fmt.Sprintf("- %s: %s", key, oldValue))
		case oldValue != newValue:
			lines = append(lines, fmt.Sprintf("~ %s: %s -> %s", key, oldValue, newValue))
		}
	}
	return lines
}

// flatten returns the leaf values of the document's JSON form by key path.
func flatten(d *Document) map[string]string {
	data, err := json.Marshal(d)
	if err != nil {
		panic(err)
	}
	var tree any
	decoder := json.NewDecoder(strings.NewReader(string(data)))
	decoder.UseNumber()
	if err := decoder.Decode(&tree); err != nil {
		panic(err)
	}
	out := map[string]string{}
	flattenInto(out, "", tree)
	return out
}

// flattenInto adds the leaf values of v to out. The key path of v is key.
func flattenInto(out map[string]string, key string, v any) {
	switch v := v.(type) {
	case map[string]any:
		for name, child := range v {
			flattenInto(out, strings.TrimPrefix(key+"."+name, "."), child)
		}
	case []any:
		for i, child := range v {
			flattenInto(out, fmt.Sprintf("%s[%d]", key, i), child)
		}
	case nil:
	case string:
		if strings.HasSuffix(key, "_sha256") && len(v) > shownDigestLength {
			v = v[:shownDigestLength] + "…"
		}
		out[key] = fmt.Sprintf("%q", v)
	default:
		out[key] = fmt.Sprint(v)
	}
}

// unionKeys returns the keys of both maps, sorted.
func unionKeys(a, b map[string]string) []string {
	keys := make([]string, 0, len(a)+len(b))
	for k := range a {
		keys = append(keys, k)
	}
	for k := range b {
		if _, ok := a[k]; !ok {
			keys = append(keys, k)
		}
	}
	sort.Strings(keys)
	return keys
}
