package cli

import (
	"bufio"
	"io"
	"net/http"
	"regexp"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const stopTimeout = 10 * time.Second

// Guards against a stand-in that reports an address before it serves there, or
// does not end on SIGTERM.
func TestStandinsServeAndStop(t *testing.T) {
	cases := map[string]struct {
		args  []string
		ready *regexp.Regexp // its group matches the address of the HTTP API
		path  string
	}{
		"platform":  {nil, regexp.MustCompile(`^listening addr=(127\.0\.0\.1:\d+)\n$`), "/control/stats"},
		"service":   {nil, regexp.MustCompile(`^listening addr=(127\.0\.0\.1:\d+)\n$`), "/control/effects"},
		"forwarder": {[]string{"--target=127.0.0.1:1"}, regexp.MustCompile(`^listening addr=127\.0\.0\.1:\d+ control=(\S+)\n$`), "/control/stats"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			outReader, outWriter := io.Pipe()
			exited := make(chan int, 1)
			go func() { exited <- Main(append([]string{"standin", name}, c.args...), outWriter, io.Discard) }()
			line, err := bufio.NewReader(outReader).ReadString('\n')
			assert.NilError(t, err)
			ready := c.ready.FindStringSubmatch(line)
			assert.Assert(t, ready != nil, "ready line %q", line)
			resp, err := http.Get("http://" + ready[1] + c.path)
			assert.NilError(t, err)
			assert.NilError(t, resp.Body.Close())
			assert.Equal(t, resp.StatusCode, http.StatusOK)

			assert.NilError(t, syscall.Kill(syscall.Getpid(), syscall.SIGTERM))
			select {
			case code := <-exited:
				assert.Equal(t, code, ExitOK)
			case <-time.After(stopTimeout):
				t.Fatal("the stand-in did not stop")
			}
		})
	}
}
