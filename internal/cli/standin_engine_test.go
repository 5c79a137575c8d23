package cli

import (
	"bufio"
	"io"
	"net/http"
	"strings"
	"syscall"
	"testing"

	"github.com/alecthomas/kong"
	"gotest.tools/v3/assert"
)

// Guards against flags that do not parse, a reported address that is not served,
// and a SIGTERM that cuts off a request in progress or does not end the command.
func TestStandinEngineServesUntilSIGTERM(t *testing.T) {
	var cmd standinEngineCmd
	parser, err := kong.New(&cmd)
	assert.NilError(t, err)
	_, err = parser.Parse([]string{"--model=m1", "--no-honour-fence", "--step-base=2ms"})
	assert.NilError(t, err)
	outReader, outWriter := io.Pipe()
	done := make(chan error, 1)
	go func() { done <- cmd.Run(&Streams{Out: outWriter, Err: io.Discard}) }()
	line, err := bufio.NewReader(outReader).ReadString('\n')
	assert.NilError(t, err)
	addr := strings.TrimSpace(strings.TrimPrefix(line, "listening addr="))

	body := `{"model":"m1","prompt":"echo:sig","max_tokens":60,"ignore_eos":true,"stream":true}`
	resp, err := http.Post("http://"+addr+"/v1/completions", "application/json", strings.NewReader(body))
	assert.NilError(t, err)
	defer resp.Body.Close()
	assert.NilError(t, syscall.Kill(syscall.Getpid(), syscall.SIGTERM))
	answer, err := io.ReadAll(resp.Body)
	assert.NilError(t, err)
	assert.Assert(t, strings.Contains(string(answer), "sig-59 "))
	assert.Assert(t, strings.HasSuffix(string(answer), "data: [DONE]\n\n"))
	assert.NilError(t, <-done)
}
