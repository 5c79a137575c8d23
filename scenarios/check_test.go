package scenarios

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"regexp"
	"strconv"
	"strings"
	"sync"

	"github.com/rogpeppe/go-internal/testscript"
	"golang.org/x/sync/errgroup"

	"tarragonridge.example/tarragonridge/internal/books"
	"tarragonridge.example/tarragonridge/internal/httpapi"
)

var wantPattern = regexp.MustCompile(`^(.*?)(!=|>=|<=|=|~)(.*)$`)

// expect checks PATH=VALUE, PATH!=VALUE, PATH>=NUMBER, PATH<=NUMBER or
// PATH~REGEXP.
func (a *answer) expect(want string) error {
	m := wantPattern.FindStringSubmatch(want)
	if m == nil {
		return fmt.Errorf("malformed condition %q", want)
	}
	got, err := a.value(m[1])
	if err != nil {
		return err
	}
	ok, err := compare(got, m[2], m[3])
	if err == nil && !ok {
		err = fmt.Errorf("%s is %q, want %s%s", m[1], got, m[2], m[3])
	}
	return err
}

func compare(got, op, want string) (bool, error) {
	switch op {
	case "=":
		return got == want, nil
	case "!=":
		return got != want, nil
	case "~":
		return regexp.MatchString(want, got)
	}
	g, err := strconv.ParseFloat(got, 64)
	if err != nil {
		return false, err
	}
	n, err := strconv.ParseFloat(want, 64)
	if op == ">=" {
		return g >= n, err
	}
	return g <= n, err
}

// value returns @status, @text, @took_ms, @header.NAME, or the value at a path
// of a JSON body such as targets.0.id or pending.length. Absent values are "".
func (a *answer) value(path string) (string, error) {
	switch {
	case path == "@status":
		return a.statusOf(), nil
	case path == "@text":
		return string(a.body), nil
	case path == "@took_ms":
		return strconv.FormatInt(a.took.Milliseconds(), 10), nil
	case strings.HasPrefix(path, "@header."):
		return a.header.Get(strings.TrimPrefix(path, "@header.")), nil
	}
	var doc any
	decoder := json.NewDecoder(bytes.NewReader(a.body))
	decoder.UseNumber()
	if err := decoder.Decode(&doc); err != nil {
		return "", fmt.Errorf("the body is not JSON: %w", err)
	}
	if path == "" || path == "." {
		return text(doc), nil
	}
	for _, part := range strings.Split(path, ".") {
		doc = child(doc, part)
	}
	return text(doc), nil
}

func child(doc any, part string) any {
	switch v := doc.(type) {
	case map[string]any:
		return v[part]
	case []any:
		if part == "length" {
			return len(v)
		}
		if i, err := strconv.Atoi(part); err == nil && i >= 0 && i < len(v) {
			return v[i]
		}
	}
	return nil
}

func text(v any) string {
	switch v := v.(type) {
	case nil:
		return ""
	case string:
		return v
	}
	out, err := json.Marshal(v)
	if err != nil {
		return err.Error()
	}
	return string(out)
}

// cmdWant implements "want CONDITION..." on the last answer.
func cmdWant(_ *testscript.TestScript, w *world, args []string) error {
	if w.last == nil || len(args) == 0 {
		return fmt.Errorf("usage: want CONDITION, after a call")
	}
	for _, want := range args {
		if err := w.last.expect(want); err != nil {
			return fmt.Errorf("%w\n%s", err, w.last.body)
		}
	}
	return nil
}

// cmdCapture implements "capture VARIABLE PATH" on the last answer.
func cmdCapture(ts *testscript.TestScript, w *world, args []string) error {
	if w.last == nil || len(args) != 2 {
		return fmt.Errorf("usage: capture VARIABLE PATH, after a call")
	}
	value, err := w.last.value(args[1])
	ts.Setenv(args[0], value)
	return err
}

// cmdStream implements "stream WORD TOKENS": the last answer is a whole stream
// of the tokens WORD-0 to WORD-(TOKENS-1).
func cmdStream(_ *testscript.TestScript, w *world, args []string) error {
	if w.last == nil || len(args) != 2 {
		return fmt.Errorf("usage: stream WORD TOKENS, after a call")
	}
	n, err := strconv.Atoi(args[1])
	if err != nil {
		return err
	}
	var want strings.Builder
	for i := range n {
		fmt.Fprintf(&want, "%s-%d ", args[0], i)
	}
	got, whole := streamText(w.last.body)
	if !whole {
		return fmt.Errorf("the stream has no end\n%s", w.last.body)
	}
	if got != want.String() {
		return fmt.Errorf("the stream holds %q, want %q", got, want.String())
	}
	return nil
}

// streamText joins the tokens of a stream. whole is false unless the stream
// ends with [DONE] and holds no error event.
func streamText(body []byte) (text string, whole bool) {
	var b strings.Builder
	failed := false
	scanner := bufio.NewScanner(bytes.NewReader(body))
	scanner.Buffer(nil, 1<<20)
	for scanner.Scan() {
		line := scanner.Text()
		data, isData := strings.CutPrefix(line, "data: ")
		failed = failed || strings.HasPrefix(line, "event: error")
		if !isData {
			continue
		}
		whole = data == "[DONE]"
		b.WriteString(delta(data))
	}
	return b.String(), whole && !failed
}

func delta(data string) string {
	var event struct {
		Choices []struct {
			Text  string `json:"text"`
			Delta struct {
				Content string `json:"content"`
			} `json:"delta"`
		} `json:"choices"`
	}
	if json.Unmarshal([]byte(data), &event) != nil || len(event.Choices) == 0 {
		return ""
	}
	return event.Choices[0].Text + event.Choices[0].Delta.Content
}

// answerLog records for the audit what callers received.
type answerLog struct {
	mu   sync.Mutex
	path string
}

func (l *answerLog) create() error { return os.WriteFile(l.path, nil, 0o644) }

func (l *answerLog) add(c *call, a *answer) error {
	if c.team == "" || a.status == 0 {
		return nil
	}
	line, err := json.Marshal(received(c, a))
	if err != nil {
		return err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	file, err := os.OpenFile(l.path, os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	defer file.Close()
	_, err = file.Write(append(line, '\n'))
	return err
}

func received(c *call, a *answer) books.Answer {
	out := books.Answer{Team: c.team, Key: c.key, RequestID: a.header.Get(httpapi.HeaderRequestID)}
	var problem httpapi.Problem
	if a.header.Get("Content-Type") == httpapi.ProblemMediaType && json.Unmarshal(a.body, &problem) == nil {
		out.Ran = string(problem.Ran)
		return out
	}
	if a.err != nil || a.status != http.StatusOK || strings.HasSuffix(c.url, "/v1/models") {
		return out
	}
	out.Complete = true
	if a.header.Get("Content-Type") == "text/event-stream" {
		_, out.Complete = streamText(a.body)
	}
	return out
}

var wordPattern = regexp.MustCompile(`'[^']*'|\S+`)

// cmdCalls implements "calls N CONCURRENCY FILE STATUS[,STATUS...]": N calls
// whose lines come from the file in turn, {i} being the number of the call. It
// prints the number of answers of each status named, such as "200=3 402=1".
func cmdCalls(ts *testscript.TestScript, w *world, args []string) error {
	if len(args) != 4 {
		return fmt.Errorf("usage: calls N CONCURRENCY FILE STATUSES")
	}
	calls, err := w.prepareCalls(ts, args[0], args[2])
	if err != nil {
		return err
	}
	limit, err := strconv.Atoi(args[1])
	if err != nil {
		return err
	}
	counts := map[string]int{}
	var mu sync.Mutex
	var group errgroup.Group
	group.SetLimit(limit)
	for _, c := range calls {
		c.status = args[3]
		group.Go(func() error {
			a, err := c.run(&w.answers)
			mu.Lock()
			defer mu.Unlock()
			counts[a.statusOf()]++
			return err
		})
	}
	if err := group.Wait(); err != nil {
		return err
	}
	var line []string
	for _, status := range strings.Split(args[3], ",") {
		line = append(line, fmt.Sprintf("%s=%d", status, counts[status]))
	}
	_, err = fmt.Fprintln(ts.Stdout(), strings.Join(line, " "))
	return err
}

func (w *world) prepareCalls(ts *testscript.TestScript, count, file string) ([]*call, error) {
	n, err := strconv.Atoi(count)
	if err != nil {
		return nil, err
	}
	lines := strings.Split(strings.TrimSpace(ts.ReadFile(file)), "\n")
	var calls []*call
	for i := range n {
		line := strings.ReplaceAll(lines[i%len(lines)], "{i}", strconv.Itoa(i))
		words := wordPattern.FindAllString(os.Expand(line, ts.Getenv), -1)
		for at, word := range words {
			words[at] = strings.Trim(word, "'")
		}
		prepare := w.prepareHTTP
		if words[0] == "chat" {
			prepare = w.prepareChat
		}
		c, err := prepare(words[1:])
		if err != nil {
			return nil, err
		}
		calls = append(calls, c)
	}
	return calls, nil
}
