package cli

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"tarragonridge.example/tarragonridge/internal/gateway"
	"tarragonridge.example/tarragonridge/internal/httpapi"
)

// whereCmd asks a running gateway where a request would go now, and why.
type whereCmd struct {
	Gateway string        `required:"" help:"Metrics address of the gateway, IP address and port."`
	Header  []string      `short:"H" sep:"none" help:"Header of the request, as Name: value. May be repeated."`
	Body    string        `type:"existingfile" help:"File with the body of the request."`
	JSON    bool          `help:"Print the gateway's answer as JSON."`
	Timeout time.Duration `default:"5s" help:"Time to wait for the gateway."`
	Host    string        `arg:"" help:"Host of the request."`
	URI     string        `arg:"" help:"Path and query of the request."`
}

// maxWhereAnswerBytes bounds the gateway's answer: some thousand targets.
const maxWhereAnswerBytes = 4 << 20

// Run prints the gateway's answer.
func (c *whereCmd) Run(s *Streams) error {
	question, err := c.question()
	if err != nil {
		return err
	}
	answer, err := c.ask(question)
	if err != nil {
		return err
	}
	if c.JSON {
		_, err = fmt.Fprintln(s.Out, string(answer))
		return err
	}
	var where gateway.Where
	if err := json.Unmarshal(answer, &where); err != nil {
		return eris.Wrap(err, "decode the answer of the gateway")
	}
	return writeWhere(s.Out, where)
}

func (c *whereCmd) question() (gateway.WhereRequest, error) {
	question := gateway.WhereRequest{Host: c.Host, URI: c.URI, Header: map[string][]string{}}
	for _, line := range c.Header {
		name, value, ok := strings.Cut(line, ":")
		if !ok || strings.TrimSpace(name) == "" {
			return question, &UsageError{Err: eris.Errorf("header %q is not of the form Name: value", line)}
		}
		name = http.CanonicalHeaderKey(strings.TrimSpace(name))
		question.Header[name] = append(question.Header[name], strings.TrimSpace(value))
	}
	if c.Body != "" {
		body, err := os.ReadFile(c.Body)
		if err != nil {
			return question, eris.Wrap(err, "read the body")
		}
		question.Body = string(body)
	}
	return question, nil
}

// ask sends the question to the gateway and returns the JSON of its answer.
func (c *whereCmd) ask(question gateway.WhereRequest) ([]byte, error) {
	body, err := json.Marshal(question)
	if err != nil {
		return nil, eris.Wrap(err, "encode the question")
	}
	ctx, cancel := context.WithTimeout(context.Background(), c.Timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+c.Gateway+gateway.WherePath, bytes.NewReader(body))
	if err != nil {
		return nil, &UsageError{Err: eris.Wrap(err, "address of the gateway")}
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, eris.Wrap(err, "ask the gateway")
	}
	defer resp.Body.Close()
	answer, err := io.ReadAll(io.LimitReader(resp.Body, maxWhereAnswerBytes))
	if err != nil {
		return nil, eris.Wrap(err, "read the answer of the gateway")
	}
	if resp.StatusCode != http.StatusOK {
		var problem httpapi.Problem
		if json.Unmarshal(answer, &problem) == nil && problem.Title != "" {
			return nil, eris.Errorf("the gateway answered %d: %s: %s", resp.StatusCode, problem.Title, problem.Detail)
		}
		return nil, eris.Errorf("the gateway answered %d", resp.StatusCode)
	}
	return answer, nil
}

func writeWhere(out io.Writer, where gateway.Where) error {
	var b strings.Builder
	fmt.Fprintf(&b, "gateway=%s config=%d route=%q team=%q service=%q tokens=%d\n", where.Host, where.Config, where.Route, where.Team, where.Service, where.Tokens)
	fmt.Fprintf(&b, "decision=%s", where.Decision)
	if where.Status != 0 {
		fmt.Fprintf(&b, " status=%d kind=%s", where.Status, where.Kind)
	}
	if where.RetryMS > 0 {
		fmt.Fprintf(&b, " retry_after_ms=%d", where.RetryMS)
	}
	b.WriteString("\n")
	for _, reason := range where.Reasons {
		fmt.Fprintf(&b, "  %s\n", reason)
	}
	for i, t := range where.Targets {
		fmt.Fprintf(&b, "target=%s rank=%d address=%s failure_domain=%s version=%s in_flight=%d reason=%s\n", t.ID, i+1, t.Address, t.FailureDomain, t.Version, t.InFlight, t.Reason)
	}
	_, err := io.WriteString(out, b.String())
	return err
}
