package cli

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"tarragonridge.example/tarragonridge/internal/load"
	"tarragonridge.example/tarragonridge/internal/standin/engine"
)

// Guards against flags that have no effect on the run, and against result files
// that the report cannot read.
func TestLoadWritesResultAndReport(t *testing.T) {
	server, err := engine.Start(engine.DefaultConfig())
	assert.NilError(t, err)
	defer server.Close()
	dir := t.TempDir()
	result, plot := filepath.Join(dir, "a.json"), filepath.Join(dir, "report.svg")
	var out, errOut bytes.Buffer
	code := Main([]string{"load", "--target=" + server.URL(), "--mix=leaf", "--rate=20",
		"--duration=1200ms", "--drain=100ms", "--out=" + result}, &out, &errOut)
	assert.Equal(t, code, ExitOK, errOut.String())
	assert.Assert(t, strings.Contains(errOut.String(), "load elapsed="), errOut.String())
	loaded, err := load.Open(result)
	assert.NilError(t, err)
	assert.Equal(t, loaded.Mix, load.MixLeaf)
	assert.Assert(t, loaded.Kinds["grade"].Counts.Complete > 0)
	assert.Equal(t, loaded.All.Counts.Wrong+loaded.All.Counts.Incomplete, int64(0))
	code = Main([]string{"load", "report", result, result, "--out=" + plot}, &out, &errOut)
	assert.Equal(t, code, ExitOK, errOut.String())
	svg, err := os.ReadFile(plot)
	assert.NilError(t, err)
	assert.Assert(t, bytes.Contains(svg, []byte("<svg")))
}

// Guards against a load run that starts although a flag is invalid, such as the
// URL of a target.
func TestLoadRejectsFaultySettings(t *testing.T) {
	var out, errOut bytes.Buffer
	code := Main([]string{"load", "--target=ftp://127.0.0.1"}, &out, &errOut)
	assert.Equal(t, code, ExitError)
	assert.Assert(t, strings.Contains(errOut.String(), "not an http URL"))
}
