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

// Guards against a dev command that prints example commands before they work, or
// does not end on SIGINT.
func TestDevServesAndStops(t *testing.T) {
	outReader, outWriter := io.Pipe()
	exited := make(chan int, 1)
	go func() {
		exited <- Main([]string{"dev", "--listen=127.0.0.1:0"}, outWriter, io.Discard)
		_ = outWriter.Close()
	}()
	lines := bufio.NewScanner(outReader)
	commandLines := map[string]string{} // by their second word: -sN, -s or tarragonridge
	for lines.Scan() && !strings.HasPrefix(lines.Text(), "Ctrl-C") {
		if line, ok := strings.CutPrefix(lines.Text(), "  "); ok {
			commandLines[strings.Fields(line)[1]] = line
		}
	}
	assert.Equal(t, len(commandLines), 3, "%v", commandLines)
	go func() { _, _ = io.Copy(io.Discard, outReader) }()

	status, body := postCurlLine(t, commandLines["-sN"])
	assert.Equal(t, status, http.StatusOK)
	assert.Assert(t, strings.HasSuffix(body, "data: [DONE]\n\n"), "%s", body)
	_, first := postCurlLine(t, commandLines["-s"])
	status, again := postCurlLine(t, commandLines["-s"])
	assert.Equal(t, status, http.StatusOK)
	assert.Equal(t, first, again)
	assert.Assert(t, strings.Contains(again, "C-00000001"))

	assert.NilError(t, syscall.Kill(syscall.Getpid(), syscall.SIGINT))
	select {
	case code := <-exited:
		assert.Equal(t, code, ExitOK)
	case <-time.After(stopTimeout):
		t.Fatal("dev did not stop")
	}
}

// postCurlLine sends the request of a printed curl command.
func postCurlLine(t *testing.T, line string) (int, string) {
	t.Helper()
	quoteParts := strings.Split(line, "'")
	curlArgs := strings.Fields(quoteParts[0])
	req, err := http.NewRequest(http.MethodPost, curlArgs[2], nil)
	assert.NilError(t, err)
	for i := 0; i+1 < len(quoteParts); i += 2 {
		switch option := strings.Fields(quoteParts[i]); option[len(option)-1] {
		case "-H":
			name, value, _ := strings.Cut(quoteParts[i+1], ": ")
			req.Header.Set(name, value)
		case "-d":
			req.Body = io.NopCloser(strings.NewReader(quoteParts[i+1]))
		}
	}
	resp, err := http.DefaultClient.Do(req)
	assert.NilError(t, err)
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	assert.NilError(t, err)
	return resp.StatusCode, string(body)
}

// Guards against serving the well-known keys on an address that other hosts can
// reach.
func TestDevRefusesOtherAddresses(t *testing.T) {
	var errOut bytes.Buffer
	assert.Equal(t, Main([]string{"dev", "--listen=0.0.0.0:0"}, io.Discard, &errOut), ExitUsage)
	assert.Assert(t, strings.Contains(errOut.String(), "loopback"), errOut.String())
}
