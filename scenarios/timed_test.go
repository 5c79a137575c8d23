package scenarios

import (
	"fmt"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
)

// cmdWithin implements "within LIMIT http|chat ...": it repeats the call until the
// status and conditions hold, fails if that takes longer than LIMIT, and prints the
// elapsed time as ms=N.
func cmdWithin(ts *testscript.TestScript, s *script, args []string) error {
	if len(args) < 2 {
		return fmt.Errorf("usage: within LIMIT http|chat [options] ARG")
	}
	limit, err := time.ParseDuration(args[0])
	if err != nil {
		return err
	}
	prepare := s.prepareHTTP
	if args[1] == "chat" {
		prepare = s.prepareChat
	}
	c, err := prepare(args[2:])
	if err != nil {
		return err
	}
	c.retryFor = limit
	start := time.Now()
	if s.lastResponse, err = c.sendWithRetries(&s.answers); err != nil {
		return err
	}
	elapsed := time.Since(start)
	if elapsed > limit {
		return fmt.Errorf("took %v, limit is %v", elapsed, limit)
	}
	_, err = fmt.Fprintf(ts.Stdout(), "ms=%d\n", elapsed.Milliseconds())
	return err
}
