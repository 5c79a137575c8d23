package cli

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"tarragonridge.example/tarragonridge/internal/dev"
	"tarragonridge.example/tarragonridge/internal/standin/crowd"
)

const (
	// openAIMemoryBytes bounds a process of dev with the limits that routers have by
	// default.
	openAIMemoryBytes = 256 << 20
	openAIDescriptors = 300
	// spareDescriptors of the process stay free for what it opens by itself.
	spareDescriptors = 30
)

// startDev starts a process of dev with a limit of descriptors and returns it, with the
// address of its router.
func startDev(t *testing.T, binary string, descriptors int) (process *os.Process, address string) {
	t.Helper()
	cmd := crowd.Limited(descriptors, binary, "dev", "--listen=127.0.0.1:0")
	out, err := cmd.StdoutPipe()
	assert.NilError(t, err)
	log, err := os.Create(filepath.Join(t.TempDir(), "dev.log"))
	assert.NilError(t, err)
	cmd.Stderr = log
	assert.NilError(t, cmd.Start())
	t.Cleanup(func() {
		_ = cmd.Process.Kill()
		_ = cmd.Wait() // the process was killed, so its exit status is of no use
		_ = log.Close()
		if data, err := os.ReadFile(log.Name()); err == nil && t.Failed() {
			t.Logf("end of the log, of %d bytes:\n%s", len(data), data[max(len(data)-3000, 0):])
		}
	})
	reader := bufio.NewReader(out)
	for {
		line, err := reader.ReadString('\n')
		assert.NilError(t, err)
		if rest, ok := strings.CutPrefix(line, "listening url=http://"); ok {
			go func() { _, _ = io.Copy(io.Discard, reader) }()
			return cmd.Process, strings.Fields(rest)[0]
		}
	}
}

// ordinaryCompletion asks for a completion on a connection of its own.
func ordinaryCompletion(address string) error {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 5 * time.Second}
	req, err := http.NewRequest(http.MethodPost, "http://"+address+"/v1/chat/completions", strings.NewReader(
		fmt.Sprintf(`{"model":%q,"max_tokens":4,"messages":[{"role":"user","content":"x"}]}`, dev.Model)))
	if err != nil {
		return err
	}
	req.Header.Set("Authorization", "Bearer "+dev.CallerKey)
	req.Header.Set("Content-Type", "application/json")
	answer, err := client.Do(req)
	if err != nil {
		return err
	}
	defer answer.Body.Close()
	body, err := io.ReadAll(answer.Body)
	if err == nil && answer.StatusCode != http.StatusOK {
		err = fmt.Errorf("status %d: %.300s", answer.StatusCode, body)
	}
	return err
}

// openAIKinds are the kinds of clients at the entry for completions.
func openAIKinds() []crowd.Kind {
	head := fmt.Sprintf("POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\nContent-Type: application/json\r\n", dev.CallerKey)
	const (
		chunked = "Transfer-Encoding: chunked\r\n\r\n"
		size    = 3_900_000
	)
	admin := strings.Replace(head, "/v1/chat/completions", "/admin/v1/config", 1)
	admin = strings.Replace(admin, dev.CallerKey, dev.OperatorKey, 1)
	fields := crowd.SmallFields(27_000)
	brackets, messages := strings.Repeat("[", size), `{"model":"m","messages":[`+strings.Repeat("{},", size/3)+"{}]}"
	line := "POST /none HTTP/1.1\r\nHost: x\r\nContent-Length: 1\r\n\r\n\n"
	stream := fmt.Sprintf(`{"model":%q,"stream":true,"max_tokens":4000,"messages":[{"role":"user","content":"x"}]}`, dev.Model)
	return []crowd.Kind{
		{Name: "body in chunks of 900 bytes that stops short", Connections: 100, Member: crowd.Unfinished(head+chunked, strings.Repeat(crowd.Chunk(900), 10), size/9000)},
		{Name: "chunks without end", Connections: 100, Member: crowd.Endlessly(head+chunked, crowd.Chunk(64<<10))},
		{Name: "head in small fields that stops short", Connections: 800, Member: crowd.Unfinished(head, fields, 1)},
		{Name: "whole head in small fields, without its body", Connections: 800, Member: crowd.Unfinished(head+fields+"Content-Length: 9\r\n\r\n", "x", 1)},
		{Name: "whole bodies of brackets", Connections: 100, Member: bodies(head, brackets)},
		{Name: "whole bodies of small messages", Connections: 50, Member: bodies(head, messages)},
		{Name: "whole bodies that name a model of 3.9 MB", Connections: 50, Member: bodies(head, `{"messages":[{}],"model":"`+strings.Repeat("\x7f", size)+`"}`)},
		{Name: "head in small fields after a body that ends a line", Connections: 200, Member: crowd.Second(line, crowd.Unfinished("\r\n"+head, fields, 10))},
		{Name: "streams that are not read", Connections: 300, Member: crowd.Unread(head + fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(stream), stream))},
		{Name: "body for operators that stops short", Connections: 100, Member: crowd.Unfinished(admin+chunked, strings.Repeat(crowd.Chunk(900), 10), size/9000)},
		{Name: "nothing sent", Connections: 600, Member: func(c *crowd.Conn) { c.Hold() }},
		{Name: "idle after an answer", Connections: 600, Member: crowd.Unfinished("GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n", "", 1)},
		{Name: "answers that are not read", Connections: 200, Member: crowd.Endlessly("", "GET /metrics HTTP/1.1\r\nHost: x\r\n\r\n")},
	}
}

// bodies returns a member that sends a whole request.
func bodies(head, body string) func(c *crowd.Conn) {
	return func(c *crowd.Conn) {
		if c.Send(head+fmt.Sprintf("Content-Length: %d\r\nConnection: close\r\n\r\n", len(body))) && c.Send(body) {
			c.Hold()
		}
	}
}

// Guards against a router whose memory or descriptors are used up by clients that do not
// behave, and that does not serve afterwards.
func TestCrowdAtTheEntryForCompletions(t *testing.T) {
	binary := filepath.Join(t.TempDir(), "tarragonridge")
	out, err := exec.Command("go", "build", "-o", binary, "../../cmd/tarragonridge").CombinedOutput()
	assert.NilError(t, err, "%s", out)
	bounds := crowd.Bounds{Memory: openAIMemoryBytes, Descriptors: openAIDescriptors - spareDescriptors}
	kinds := openAIKinds()
	all := crowd.Kind{Name: "all kinds", Connections: 600, Member: func(c *crowd.Conn) { kinds[c.Number%len(kinds)].Member(c) }}
	for _, kind := range append(kinds, all) {
		t.Run(kind.Name, func(t *testing.T) {
			process, address := startDev(t, binary, openAIDescriptors)
			p := crowd.Process{PID: process.Pid, Address: address, Ordinary: func() error { return ordinaryCompletion(address) }}
			report, err := p.Play(kind)
			assert.NilError(t, err)
			t.Log(report)
			assert.NilError(t, bounds.Check(report))
		})
	}
}
