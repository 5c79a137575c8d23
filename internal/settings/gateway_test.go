package settings

import (
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

const faultyGateway = `{
  "role": "gateway",
  "host": "a b",
  "failure_domain": "z",
  "listen": {"callers": "10.0.0.1:80", "ready": "10.0.0.1:80"},
  "store": {"address": "store:1", "relay_port": 70000},
  "retries": {"ratio": 2, "slack": "x", "window_s": 0},
  "grace_s": 1,
}`

// Guards against faults that stop a gateway only once it runs.
func TestGatewayFaults(t *testing.T) {
	_, faults := parse("f", []byte(faultyGateway), RoleGateway)
	var keys []string
	for _, f := range faults {
		keys = append(keys, f.Key)
	}
	assert.DeepEqual(t, keys, []string{
		"host", "listen.ready", "store.address", "store.relay_port", "retries.ratio", "retries.slack", "retries.window_s", "grace_s",
	})
}

// placeholders are the values that the platform fills into the templates.
var placeholders = map[string]string{
	"node": "front-1", "zone": "z", "ip": "10.1.0.40", "listen.front": "10.1.0.40:8227", "listen.ready": "10.1.0.40:8220",
	"internal-ports.0": "7340", "internal-ports.1": "7355", "platform.address": "10.200.1.7:8223",
	"bounds.retry-budget-ratio": "0.2", "bounds.budget-slack": "58.0", "bounds.budget-window-s": "10", "bounds.grace-s": "8.5",
	"limits.memory-mb": "284",
}

// Guards against templates whose result the process would refuse, and against
// placeholders that the platform does not fill in.
func TestDeployTemplates(t *testing.T) {
	files, err := filepath.Glob("../../deploy/*.tmpl")
	assert.NilError(t, err)
	assert.Equal(t, len(files), 2)
	placeholder := regexp.MustCompile(`\{\{[^}]*\}\}`)
	for _, file := range files {
		text, err := os.ReadFile(file)
		assert.NilError(t, err)
		filled := placeholder.ReplaceAllStringFunc(string(text), func(p string) string {
			value, known := placeholders[strings.Trim(p, "{}")]
			assert.Assert(t, known, "%s: %s", file, p)
			return value
		})
		_, faults := parse(file, []byte(filled), "")
		assert.Equal(t, len(faults), 0, "%v", faults)
	}
}
