package rowkey_test

import (
	"strings"
	"testing"
	"unicode/utf8"

	"gotest.tools/v3/assert"

	"tarragonridge.example/tarragonridge/internal/core/rowkey"
)

// Guards against keys that the table refuses, and against two names with one key.
func TestNamesFitAndDiffer(t *testing.T) {
	const maxBytes = 90
	names := []string{
		"", "a", "a/b", "a%2Fb", strings.Repeat("a", maxBytes), strings.Repeat("a", maxBytes+1), strings.Repeat("a", maxBytes+2),
		strings.Repeat("é", maxBytes), strings.Repeat("é", maxBytes) + "e", strings.Repeat("/", 60_000), "\xff", "\xfe", strings.Repeat("\xff", maxBytes+1),
	}
	seen := map[string]string{}
	for _, name := range names {
		short := rowkey.Name(name, maxBytes)
		assert.Assert(t, len(short) <= maxBytes && utf8.ValidString(short), "%.100q: %q", name, short)
		other, taken := seen[short]
		assert.Assert(t, !taken, "%.100q and %.100q are %q", name, other, short)
		seen[short] = name
		assert.Equal(t, rowkey.Name(short, maxBytes), short, "a shortened name stands for itself")
		assert.Equal(t, rowkey.Hashed(short), short != name, "%q", short)
	}
}
