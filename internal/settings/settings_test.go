package settings

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against example files that the check no longer accepts because a key or
// a rule has changed.
func TestExamplesAreValid(t *testing.T) {
	files, err := filepath.Glob("../../examples/*.jsonc")
	assert.NilError(t, err)
	assert.Equal(t, len(files), 8)
	for _, f := range files {
		assert.Equal(t, len(Check(f)), 0, "%v", Check(f))
	}
}

const invalidRouter = `// comment
{
  "role": "router",
  "host": 7,
  "failure_domain": "fd-a",
  "color": "red",
  "listen": {"callers": "localhost:80", "peers": "0.0.0.0:7400"},
  "platform": {},
  "peers": ["10.0.0.1:7400", "10.0.0.2"],
  "operators": [{"name": "a", "key_sha256": "xyz"}],
  "limits": {"read_header_timeout_ms": 9000, "read_timeout_ms": 100, "body_bytes": 1.5},
}`

// Guards against a check that stops at the first problem of a file, or reports a
// wrong position for an unknown key, a missing key or an invalid value.
func TestCheckReportsAllFaultsWithPositions(t *testing.T) {
	_, problems := parse("f", []byte(invalidRouter), "")
	var got []string
	for _, p := range problems {
		assert.Assert(t, p.Expected != "" && p.Message != "", "%v", p)
		got = append(got, strings.Join([]string{fmt.Sprint(p.Line), fmt.Sprint(p.Column), p.Key}, " "))
	}
	assert.DeepEqual(t, got, []string{
		"4 11 host",
		"6 3 color",
		"7 25 listen.callers",
		"7 50 listen.peers",
		"8 15 platform.url",
		"9 30 peers[1]",
		"10 45 operators[0].key_sha256",
		"11 40 limits.read_header_timeout_ms",
		"11 84 limits.body_bytes",
	})
}

// Guards against accepting a sidecar's file whose keys contradict each other,
// such as a target of kind engine that names a service.
func TestSidecarContradictions(t *testing.T) {
	_, problems := parse("f", []byte(`{"role": "sidecar", "host": "h", "failure_domain": "d",
"listen": {"rpc": "127.0.0.1:1", "metrics": "127.0.0.1:1"},
"platform": {"url": "http://platform:9000"},
"target": {"id": "t", "kind": "engine", "url": "http://127.0.0.1:1", "service": "s", "order_secret_env": "X"},
"limits": {"runs": 10, "buffer_bytes": 5000, "retain_s": 10}, "limits": {}}`), "")
	keys := map[string]bool{}
	for _, p := range problems {
		keys[p.Key] = true
	}
	for _, want := range []string{"listen.metrics", "platform.url", "target.model", "target.service",
		"target.order_secret_env", "limits.buffer_bytes", "limits.retain_s", "limits"} {
		assert.Assert(t, keys[want], "no problem reported for %s in %v", want, problems)
	}
	assert.Equal(t, len(problems), 8, "%v", problems)
}

// Guards against reporting every key of a missing object in addition to the
// object itself.
func TestMissingObjectIsOneFault(t *testing.T) {
	_, problems := parse("f", []byte(`{"role": "router", "host": "h", "failure_domain": "d", "operators": []}`), "")
	var got []string
	for _, p := range problems {
		got = append(got, p.Key)
	}
	assert.DeepEqual(t, got, []string{"listen", "platform", "operators"})
}

// Guards against loading the file of one role as that of another, and against
// defaults that are not applied.
func TestLoad(t *testing.T) {
	r, err := LoadRouter("../../examples/assay-router.jsonc")
	assert.NilError(t, err)
	assert.Equal(t, r.Limits.BodyBytes, int64(4<<20))
	s, err := LoadSidecar("../../examples/assay-sidecar-engine.jsonc")
	assert.NilError(t, err)
	assert.Equal(t, s.Platform.TimeoutMS, int64(2000))
	_, err = LoadRouter("../../examples/assay-sidecar-engine.jsonc")
	var validationErr *ValidationError
	assert.Assert(t, errors.As(err, &validationErr))
	assert.ErrorContains(t, err, `assay-sidecar-engine.jsonc:3:10: role: wrong role; expected "router"`)
	_, err = LoadSidecar(filepath.Join(t.TempDir(), "absent"))
	assert.ErrorContains(t, err, "cannot read")
}

// Guards against inputs that make the parser panic or report a problem without
// a valid position.
func FuzzParse(f *testing.F) {
	f.Add([]byte(invalidRouter))
	example, err := os.ReadFile("../../examples/leaf-sidecar-service.jsonc")
	assert.NilError(f, err)
	f.Add(example)
	f.Add([]byte(`{"role":"router",}`))
	f.Add([]byte(`{`))
	f.Fuzz(func(t *testing.T, data []byte) {
		settings, problems := parse("f", data, "")
		if settings == nil && len(problems) == 0 {
			t.Fatal("neither settings nor problems")
		}
		for _, p := range problems {
			if p.Line < 1 || p.Column < 1 || p.Line > 1+strings.Count(string(data), "\n") {
				t.Fatalf("position out of range: %v", p)
			}
		}
	})
}
