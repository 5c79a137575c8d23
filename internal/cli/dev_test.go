package cli

import (
	"bufio"
	"bytes"
	"io"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a command that prints its lines before they work, and against
// one that does not end on SIGINT.
func TestDevServesAndStops(t *testing.T) {
	out, in := io.Pipe()
	exit := make(chan int, 1)
	go func() {
		exit <- Main([]string{"dev", "--listen=127.0.0.1:0"}, in, io.Discard)
		_ = in.Close()
	}()
	lines := bufio.NewScanner(out)
	printed := map[string]string{} // command lines by their first word
	for lines.Scan() && !strings.HasPrefix(lines.Text(), "Ctrl-C") {
		if line, ok := strings.CutPrefix(lines.Text(), "  "); ok {
			printed[strings.Fields(line)[1]] = line
		}
	}
	assert.Equal(t, len(printed), 3, "%v", printed)
	go func() { _, _ = io.Copy(io.Discard, out) }()

	status, body := post(t, printed["-sN"])
	assert.Equal(t, status, http.StatusOK)
	assert.Assert(t, strings.HasSuffix(body, "data: [DONE]\n\n"), "%s", body)
	_, first := post(t, printed["-s"])
	status, again := post(t, printed["-s"])
	assert.Equal(t, status, http.StatusOK)
	assert.Equal(t, first, again)
	assert.Assert(t, strings.Contains(again, "C-00000001"))

	assert.NilError(t, syscall.Kill(syscall.Getpid(), syscall.SIGINT))
	select {
	case code := <-exit:
		assert.Equal(t, code, ExitOK)
	case <-time.After(stopLimit):
		t.Fatal("dev did not stop")
	}
}

// post sends what a printed curl line sends.
func post(t *testing.T, line string) (int, string) {
	t.Helper()
	words := strings.Split(line, "'")
	fields := strings.Fields(words[0])
	req, err := http.NewRequest(http.MethodPost, fields[2], nil)
	assert.NilError(t, err)
	for i := 0; i+1 < len(words); i += 2 {
		switch option := strings.Fields(words[i]); option[len(option)-1] {
		case "-H":
			name, value, _ := strings.Cut(words[i+1], ": ")
			req.Header.Set(name, value)
		case "-d":
			req.Body = io.NopCloser(strings.NewReader(words[i+1]))
		}
	}
	resp, err := http.DefaultClient.Do(req)
	assert.NilError(t, err)
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	assert.NilError(t, err)
	return resp.StatusCode, string(body)
}

// Guards against published keys on an address that other hosts reach.
func TestDevRefusesOtherAddresses(t *testing.T) {
	var errOut bytes.Buffer
	assert.Equal(t, Main([]string{"dev", "--listen=0.0.0.0:0"}, io.Discard, &errOut), ExitUsage)
	assert.Assert(t, strings.Contains(errOut.String(), "loopback"), errOut.String())
}
