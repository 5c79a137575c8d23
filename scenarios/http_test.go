package scenarios

import (
	"bytes"
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
)

const (
	defaultCallTimeout = 60 * time.Second
	pollInterval       = 50 * time.Millisecond
	operatorKey        = "scenario-operator"
)

// httpClient opens a new connection for each call, so that no call uses a connection
// to a router that has stopped, and the transport never retries a call by itself.
var httpClient = &http.Client{Transport: &http.Transport{
	DisableKeepAlives:  true,
	DisableCompression: true,
	DialContext:        (&net.Dialer{Timeout: 5 * time.Second}).DialContext,
}}

// call is a prepared HTTP call and, once it has run in the background, its result.
type call struct {
	method, url          string
	team, idempotencyKey string // of the caller; empty for calls to operator and stand-in endpoints
	bearer               string
	headers              []string
	body                 []byte
	timeout              time.Duration
	abortAfter           int           // number of response bytes after which the caller disconnects; 0 means never
	wantStatus           string        // comma-separated statuses, or "any"; "error" is a status too, see statusText
	conditions           []string      // see checkCondition
	retryFor             time.Duration // repeat the call for this long until it meets the conditions
	background           string        // name of the background call; empty for one in the foreground
	done                 chan struct{} // closed when a background call is complete
	result               *response
	failure              error // why the result does not meet the conditions
}

// response is what a caller received.
type response struct {
	status   int
	header   http.Header
	body     []byte
	err      error // transport error or abort
	duration time.Duration
}

type stringList []string

func (l *stringList) String() string     { return strings.Join(*l, " ") }
func (l *stringList) Set(s string) error { *l = append(*l, s); return nil }

// callFlags declares the options that the commands http and chat share.
func callFlags(c *call) *flag.FlagSet {
	f := flag.NewFlagSet("call", flag.ContinueOnError)
	f.SetOutput(io.Discard)
	f.StringVar(&c.team, "team", "", "")
	f.StringVar(&c.idempotencyKey, "key", "", "")
	f.StringVar(&c.bearer, "bearer", "", "")
	f.Var((*stringList)(&c.headers), "H", "")
	f.Var((*stringList)(&c.conditions), "want", "")
	f.StringVar(&c.wantStatus, "status", "200", "")
	f.DurationVar(&c.timeout, "timeout", defaultCallTimeout, "")
	f.DurationVar(&c.retryFor, "until", 0, "")
	f.IntVar(&c.abortAfter, "abort", 0, "")
	f.StringVar(&c.background, "bg", "", "")
	return f
}

// prepareHTTP parses "http [options] METHOD PROCESS/PATH|URL".
func (s *script) prepareHTTP(args []string) (*call, error) {
	c := &call{}
	f := callFlags(c)
	op := f.Bool("op", false, "")
	body := f.String("d", "", "")
	if err := f.Parse(args); err != nil {
		return nil, err
	}
	if f.NArg() != 2 {
		return nil, fmt.Errorf("usage: http [options] METHOD PROCESS/PATH|URL")
	}
	c.method, c.url, c.body = f.Arg(0), f.Arg(1), []byte(*body)
	if name, ok := strings.CutPrefix(*body, "@"); ok {
		data, err := os.ReadFile(s.dir + "/" + name)
		if err != nil {
			return nil, err
		}
		c.body = data
	}
	if *op {
		c.bearer = operatorKey
	}
	return c, s.resolve(c)
}

// prepareChat parses "chat [options] ROUTER WORD TOKENS".
func (s *script) prepareChat(args []string) (*call, error) {
	c := &call{method: http.MethodPost}
	f := callFlags(c)
	noStream := f.Bool("whole", false, "")
	model := f.String("model", "m1", "")
	system := f.String("system", "", "")
	if err := f.Parse(args); err != nil {
		return nil, err
	}
	if f.NArg() != 3 {
		return nil, fmt.Errorf("usage: chat [options] ROUTER WORD TOKENS")
	}
	c.url = f.Arg(0) + "/v1/chat/completions"
	systemMessage := ""
	if *system != "" {
		systemMessage = fmt.Sprintf(`{"role":"system","content":%q},`, *system)
	}
	c.body = fmt.Appendf(nil, `{"model":%q,"stream":%t,"ignore_eos":true,"max_tokens":%s,"messages":[%s{"role":"user","content":"echo:%s"}]}`,
		*model, !*noStream, f.Arg(2), systemMessage, f.Arg(1))
	return c, s.resolve(c)
}

// resolve replaces the process name in the URL by its address and sets the API key
// of the team.
func (s *script) resolve(c *call) error {
	if !strings.HasPrefix(c.url, "http://") {
		name, path, _ := strings.Cut(c.url, "/")
		p, err := s.requireProcess(name)
		if err != nil {
			return err
		}
		c.url = "http://" + p.readyValue("addr") + "/" + path
	}
	if c.team == "" || c.bearer != "" {
		return nil
	}
	if c.bearer = s.teamKeys[c.team]; c.bearer == "" {
		return fmt.Errorf("there is no API key of team %q", c.team)
	}
	return nil
}

// send makes the call once. A transport error or an abort is stored in the
// response's err field.
func (c *call) send() *response {
	ctx, cancel := context.WithTimeout(context.Background(), c.timeout)
	defer cancel()
	start := time.Now()
	r := &response{header: http.Header{}}
	defer func() { r.duration = time.Since(start) }()
	req, err := http.NewRequestWithContext(ctx, c.method, c.url, bytes.NewReader(c.body))
	if err != nil {
		r.err = err
		return r
	}
	c.setHeaders(req)
	resp, err := httpClient.Do(req)
	if err != nil {
		r.err = err
		return r
	}
	defer resp.Body.Close()
	r.status, r.header = resp.StatusCode, resp.Header
	if c.abortAfter > 0 {
		r.body, _ = io.ReadAll(io.LimitReader(resp.Body, int64(c.abortAfter)))
		r.err = fmt.Errorf("the caller disconnected after %d bytes", len(r.body))
		return r
	}
	r.body, r.err = io.ReadAll(resp.Body)
	return r
}

func (c *call) setHeaders(req *http.Request) {
	if c.bearer != "" {
		req.Header.Set("Authorization", "Bearer "+c.bearer)
	}
	if c.idempotencyKey != "" {
		req.Header.Set("Idempotency-Key", c.idempotencyKey)
	}
	if len(c.body) > 0 {
		req.Header.Set("Content-Type", "application/json")
	}
	for _, header := range c.headers {
		name, value, _ := strings.Cut(header, ":")
		req.Header.Set(name, strings.TrimSpace(value))
	}
}

// sendWithRetries makes the call, and repeats it until its conditions hold or
// retryFor has passed. It records each response in the answer log, which the audit
// reads.
func (c *call) sendWithRetries(answers *answerLog) (*response, error) {
	deadline := time.Now().Add(c.retryFor)
	for {
		r := c.send()
		if err := answers.add(c, r); err != nil {
			return r, err
		}
		err := c.checkResponse(r)
		if err == nil || time.Now().After(deadline) {
			return r, err
		}
		time.Sleep(pollInterval)
	}
}

// statusText returns the status in the form that the option -status uses: the number,
// or "error" if the caller did not receive a complete response.
func (r *response) statusText() string {
	if r.err != nil {
		return "error"
	}
	return fmt.Sprint(r.status)
}

func (c *call) checkResponse(r *response) error {
	if got := r.statusText(); c.wantStatus != "any" && !slices.Contains(strings.Split(c.wantStatus, ","), got) {
		return fmt.Errorf("%s %s: status %s, want %s\n%v\n%s", c.method, c.url, got, c.wantStatus, r.err, r.body)
	}
	for _, want := range c.conditions {
		if err := r.checkCondition(want); err != nil {
			return fmt.Errorf("%s %s: %w\n%s", c.method, c.url, err, r.body)
		}
	}
	return nil
}

// startOrRun starts a background call, or makes a foreground call and stores its
// response in lastResponse.
func (s *script) startOrRun(c *call) error {
	if c.background == "" {
		r, err := c.sendWithRetries(&s.answers)
		s.lastResponse = r
		return err
	}
	if s.backgroundCalls[c.background] != nil {
		return fmt.Errorf("background call %q has not been waited for yet", c.background)
	}
	c.done = make(chan struct{})
	s.backgroundCalls[c.background] = c
	go func() {
		defer close(c.done)
		c.result, c.failure = c.sendWithRetries(&s.answers)
	}()
	return nil
}

func cmdHTTP(_ *testscript.TestScript, s *script, args []string) error {
	c, err := s.prepareHTTP(args)
	if err != nil {
		return err
	}
	return s.startOrRun(c)
}

func cmdChat(_ *testscript.TestScript, s *script, args []string) error {
	c, err := s.prepareChat(args)
	if err != nil {
		return err
	}
	return s.startOrRun(c)
}

// cmdWaitFor implements "wait-for NAME...": it waits for the background calls. The
// response of the last one becomes the last response.
func cmdWaitFor(_ *testscript.TestScript, s *script, args []string) error {
	for _, name := range args {
		c := s.backgroundCalls[name]
		if c == nil {
			return fmt.Errorf("there is no background call %q", name)
		}
		delete(s.backgroundCalls, name)
		<-c.done
		s.lastResponse = c.result
		if c.failure != nil {
			return c.failure
		}
	}
	return nil
}

// cmdFault implements "fault PROCESS JSON": it sets a fault of a stand-in or the mode
// of a forwarder.
func cmdFault(_ *testscript.TestScript, s *script, args []string) error {
	if len(args) != 2 || !json.Valid([]byte(args[1])) {
		return fmt.Errorf("usage: fault PROCESS JSON")
	}
	p, err := s.requireProcess(args[0])
	if err != nil {
		return err
	}
	c := &call{method: http.MethodPost, url: p.faultURL(), body: []byte(args[1]), timeout: defaultCallTimeout, wantStatus: "200,204"}
	return c.checkResponse(c.send())
}
