package settings

import (
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

const invalidGateway = `{
  "role": "gateway",
  "host": "a b",
  "failure_domain": "z",
  "listen": {"callers": "10.0.0.1:80", "ready": "10.0.0.1:80"},
  "store": {"address": "store:1", "relay_port": 70000},
  "budgets": {"oldest_copy_s": -1},
  "retries": {"ratio": 2, "slack": "x", "window_s": 0},
  "limits": {"memory_mb": -1, "link_mbps": -0.5, "processor_share": -1, "descriptors": -1},
  "grace_s": 1,
}`

// Guards against invalid values, such as an address that two listeners share,
// that pass the check and make the gateway fail only once it runs.
func TestGatewayFaults(t *testing.T) {
	_, problems := parse("f", []byte(invalidGateway), RoleGateway)
	var keys []string
	for _, p := range problems {
		keys = append(keys, p.Key)
	}
	assert.DeepEqual(t, keys, []string{
		"host", "listen.ready", "store.address", "store.relay_port", "budgets.oldest_copy_s", "retries.ratio", "retries.slack", "retries.window_s",
		"limits.memory_mb", "limits.link_mbps", "limits.processor_share", "limits.descriptors", "grace_s",
	})
}

// placeholderValues holds a value for each placeholder that the platform fills
// into the templates.
var placeholderValues = map[string]string{
	"node": "front-1", "zone": "z", "ip": "10.1.0.40", "listen.front": "10.1.0.40:8227", "listen.ready": "10.1.0.40:8220",
	"internal-ports.0": "7340", "internal-ports.1": "7355", "platform.address": "10.200.1.7:8223",
	"platform.writes-per-s": "800", "platform.part-writes-s": "200",
	"bounds.retry-budget-ratio": "0.2", "bounds.budget-slack": "58.0", "bounds.budget-window-s": "10", "bounds.grace-s": "8.5",
	"limits.memory-mb": "284", "limits.link-mbps": "10.0", "limits.cpu-share": "0.144", "limits.max-fds": "4100",
}

// Guards against templates that render to settings which the process refuses,
// and against placeholders that the platform does not fill in.
func TestDeployTemplates(t *testing.T) {
	files, err := filepath.Glob("../../deploy/*.tmpl")
	assert.NilError(t, err)
	assert.Equal(t, len(files), 2)
	placeholderPattern := regexp.MustCompile(`\{\{[^}]*\}\}`)
	for _, file := range files {
		text, err := os.ReadFile(file)
		assert.NilError(t, err)
		filled := placeholderPattern.ReplaceAllStringFunc(string(text), func(placeholder string) string {
			value, known := placeholderValues[strings.Trim(placeholder, "{}")]
			assert.Assert(t, known, "%s: %s", file, placeholder)
			return value
		})
		_, problems := parse(file, []byte(filled), "")
		assert.Equal(t, len(problems), 0, "%v", problems)
	}
}
