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

var conditionPattern = regexp.MustCompile(`^(.*?)(!=|>=|<=|=|~)(.*)$`)

// checkCondition checks a condition of the form PATH=VALUE, PATH!=VALUE,
// PATH>=NUMBER, PATH<=NUMBER or PATH~REGEXP. See valueAt for PATH.
func (r *response) checkCondition(condition string) error {
	match := conditionPattern.FindStringSubmatch(condition)
	if match == nil {
		return fmt.Errorf("malformed condition %q", condition)
	}
	got, err := r.valueAt(match[1])
	if err != nil {
		return err
	}
	ok, err := compare(got, match[2], match[3])
	if err == nil && !ok {
		err = fmt.Errorf("%s is %q, want %s%s", match[1], got, match[2], match[3])
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
	gotNumber, err := strconv.ParseFloat(got, 64)
	if err != nil {
		return false, err
	}
	wantNumber, err := strconv.ParseFloat(want, 64)
	if op == ">=" {
		return gotNumber >= wantNumber, err
	}
	return gotNumber <= wantNumber, err
}

// valueAt returns the status, body, duration or header of the response for the paths
// @status, @text, @took_ms and @header.NAME. Any other path, such as targets.0.id or
// pending.length, is one in the JSON body. Absent values are "".
func (r *response) valueAt(path string) (string, error) {
	switch {
	case path == "@status":
		return r.statusText(), nil
	case path == "@text":
		return string(r.body), nil
	case path == "@took_ms":
		return strconv.FormatInt(r.duration.Milliseconds(), 10), nil
	case strings.HasPrefix(path, "@header."):
		return r.header.Get(strings.TrimPrefix(path, "@header.")), nil
	}
	var doc any
	decoder := json.NewDecoder(bytes.NewReader(r.body))
	decoder.UseNumber()
	if err := decoder.Decode(&doc); err != nil {
		return "", fmt.Errorf("the body is not JSON: %w", err)
	}
	if path == "" || path == "." {
		return formatValue(doc), nil
	}
	for _, part := range strings.Split(path, ".") {
		doc = child(doc, part)
	}
	return formatValue(doc), nil
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

func formatValue(v any) string {
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

// cmdWant implements "want CONDITION...": it checks conditions on the last response.
func cmdWant(_ *testscript.TestScript, s *script, args []string) error {
	if s.lastResponse == nil || len(args) == 0 {
		return fmt.Errorf("usage: want CONDITION, after a call")
	}
	for _, condition := range args {
		if err := s.lastResponse.checkCondition(condition); err != nil {
			return fmt.Errorf("%w\n%s", err, s.lastResponse.body)
		}
	}
	return nil
}

// cmdCapture implements "capture VARIABLE PATH": it sets a variable to a value of the
// last response.
func cmdCapture(ts *testscript.TestScript, s *script, args []string) error {
	if s.lastResponse == nil || len(args) != 2 {
		return fmt.Errorf("usage: capture VARIABLE PATH, after a call")
	}
	value, err := s.lastResponse.valueAt(args[1])
	ts.Setenv(args[0], value)
	return err
}

// cmdStream implements "stream WORD TOKENS": it checks that the last response is a
// complete stream of the tokens WORD-0 to WORD-(TOKENS-1).
func cmdStream(_ *testscript.TestScript, s *script, args []string) error {
	if s.lastResponse == nil || len(args) != 2 {
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
	got, complete := streamText(s.lastResponse.body)
	if !complete {
		return fmt.Errorf("the stream is not complete\n%s", s.lastResponse.body)
	}
	if got != want.String() {
		return fmt.Errorf("the stream holds %q, want %q", got, want.String())
	}
	return nil
}

// streamText joins the tokens of a stream. The stream is complete if it ends with
// [DONE] and holds no error event.
func streamText(body []byte) (text string, complete bool) {
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
		complete = data == "[DONE]"
		b.WriteString(deltaText(data))
	}
	return b.String(), complete && !failed
}

func deltaText(data string) string {
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

// answerLog is the file that records for the audit what callers received.
type answerLog struct {
	mu   sync.Mutex
	path string
}

func (l *answerLog) create() error { return os.WriteFile(l.path, nil, 0o644) }

func (l *answerLog) add(c *call, r *response) error {
	if c.team == "" || r.status == 0 {
		return nil
	}
	line, err := json.Marshal(auditEntry(c, r))
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

func auditEntry(c *call, r *response) books.Answer {
	entry := books.Answer{Team: c.team, Key: c.idempotencyKey, RequestID: r.header.Get(httpapi.HeaderRequestID)}
	var problem httpapi.Problem
	if r.header.Get("Content-Type") == httpapi.ProblemMediaType && json.Unmarshal(r.body, &problem) == nil {
		entry.Ran = string(problem.Ran)
		return entry
	}
	if r.err != nil || r.status != http.StatusOK || strings.HasSuffix(c.url, "/v1/models") {
		return entry
	}
	entry.Complete = true
	if r.header.Get("Content-Type") == "text/event-stream" {
		_, entry.Complete = streamText(r.body)
	}
	return entry
}

var wordPattern = regexp.MustCompile(`'[^']*'|\S+`)

// cmdCalls implements "calls N CONCURRENCY FILE STATUS[,STATUS...]": it makes N calls,
// taking the lines of the file in turn and replacing {i} by the number of the call.
// It prints the number of responses per status, such as "200=3 402=1".
func cmdCalls(ts *testscript.TestScript, s *script, args []string) error {
	if len(args) != 4 {
		return fmt.Errorf("usage: calls N CONCURRENCY FILE STATUSES")
	}
	calls, err := s.prepareCalls(ts, args[0], args[2])
	if err != nil {
		return err
	}
	concurrency, err := strconv.Atoi(args[1])
	if err != nil {
		return err
	}
	counts := map[string]int{}
	var mu sync.Mutex
	var group errgroup.Group
	group.SetLimit(concurrency)
	for _, c := range calls {
		c.wantStatus = args[3]
		group.Go(func() error {
			r, err := c.sendWithRetries(&s.answers)
			mu.Lock()
			defer mu.Unlock()
			counts[r.statusText()]++
			return err
		})
	}
	if err := group.Wait(); err != nil {
		return err
	}
	var countLine []string
	for _, status := range strings.Split(args[3], ",") {
		countLine = append(countLine, fmt.Sprintf("%s=%d", status, counts[status]))
	}
	_, err = fmt.Fprintln(ts.Stdout(), strings.Join(countLine, " "))
	return err
}

func (s *script) prepareCalls(ts *testscript.TestScript, count, file string) ([]*call, error) {
	n, err := strconv.Atoi(count)
	if err != nil {
		return nil, err
	}
	lines := strings.Split(strings.TrimSpace(ts.ReadFile(file)), "\n")
	var calls []*call
	for i := range n {
		line := strings.ReplaceAll(lines[i%len(lines)], "{i}", strconv.Itoa(i))
		words := wordPattern.FindAllString(os.Expand(line, ts.Getenv), -1)
		for index, word := range words {
			words[index] = strings.Trim(word, "'")
		}
		prepare := s.prepareHTTP
		if words[0] == "chat" {
			prepare = s.prepareChat
		}
		c, err := prepare(words[1:])
		if err != nil {
			return nil, err
		}
		calls = append(calls, c)
	}
	return calls, nil
}
