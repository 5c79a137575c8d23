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

// Guards against examples that the parser no longer accepts.
func TestExamplesAreValid(t *testing.T) {
	files, err := filepath.Glob("../../examples/*.jsonc")
	assert.NilError(t, err)
	assert.Equal(t, len(files), 8)
	for _, f := range files {
		assert.Equal(t, len(Check(f)), 0, "%v", Check(f))
	}
}

const faultyRouter = `// comment
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

// Guards against a check that stops at the first fault or points at the wrong
// place.
func TestCheckReportsAllFaultsWithPositions(t *testing.T) {
	_, faults := parse("f", []byte(faultyRouter), "")
	var got []string
	for _, f := range faults {
		assert.Assert(t, f.Expected != "" && f.Message != "", "%v", f)
		got = append(got, strings.Join([]string{fmt.Sprint(f.Line), fmt.Sprint(f.Column), f.Key}, " "))
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

// Guards against contradictions between the keys of a sidecar's target and its
// limits passing the check.
func TestSidecarContradictions(t *testing.T) {
	_, faults := parse("f", []byte(`{"role": "sidecar", "host": "h", "failure_domain": "d",
"listen": {"rpc": "127.0.0.1:1", "metrics": "127.0.0.1:1"},
"platform": {"url": "http://platform:9000"},
"target": {"id": "t", "kind": "engine", "url": "http://127.0.0.1:1", "service": "s", "order_secret_env": "X"},
"limits": {"runs": 10, "buffer_bytes": 5000, "retain_s": 10}, "limits": {}}`), "")
	keys := map[string]bool{}
	for _, f := range faults {
		keys[f.Key] = true
	}
	for _, want := range []string{"listen.metrics", "platform.url", "target.model", "target.service",
		"target.order_secret_env", "limits.buffer_bytes", "limits.retain_s", "limits"} {
		assert.Assert(t, keys[want], "no fault for %s in %v", want, faults)
	}
	assert.Equal(t, len(faults), 8, "%v", faults)
}

// Guards against a missing object hiding among faults of the keys inside it.
func TestMissingObjectIsOneFault(t *testing.T) {
	_, faults := parse("f", []byte(`{"role": "router", "host": "h", "failure_domain": "d", "operators": []}`), "")
	var got []string
	for _, f := range faults {
		got = append(got, f.Key)
	}
	assert.DeepEqual(t, got, []string{"listen", "platform", "operators"})
}

// Guards against one role's file being loaded as the other's, and against
// defaults that are lost.
func TestLoad(t *testing.T) {
	r, err := LoadRouter("../../examples/assay-router.jsonc")
	assert.NilError(t, err)
	assert.Equal(t, r.Limits.BodyBytes, int64(4<<20))
	s, err := LoadSidecar("../../examples/assay-sidecar-engine.jsonc")
	assert.NilError(t, err)
	assert.Equal(t, s.Platform.TimeoutMS, int64(2000))
	_, err = LoadRouter("../../examples/assay-sidecar-engine.jsonc")
	var faults *ValidationError
	assert.Assert(t, errors.As(err, &faults))
	assert.ErrorContains(t, err, `assay-sidecar-engine.jsonc:3:10: role: wrong role; expected "router"`)
	_, err = LoadSidecar(filepath.Join(t.TempDir(), "absent"))
	assert.ErrorContains(t, err, "cannot read")
}

// Guards against a panic or a fault without a usable position on any input.
func FuzzParse(f *testing.F) {
	f.Add([]byte(faultyRouter))
	example, err := os.ReadFile("../../examples/leaf-sidecar-service.jsonc")
	assert.NilError(f, err)
	f.Add(example)
	f.Add([]byte(`{"role":"router",}`))
	f.Add([]byte(`{`))
	f.Fuzz(func(t *testing.T, data []byte) {
		settings, faults := parse("f", data, "")
		if settings == nil && len(faults) == 0 {
			t.Fatal("neither settings nor faults")
		}
		for _, x := range faults {
			if x.Line < 1 || x.Column < 1 || x.Line > 1+strings.Count(string(data), "\n") {
				t.Fatalf("position of %v", x)
			}
		}
	})
}
