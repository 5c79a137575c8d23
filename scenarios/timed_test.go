package scenarios

import (
	"fmt"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
)

// cmdWithin implements "within LIMIT http|chat ...": it repeats the call until
// its status and conditions hold, fails after LIMIT, and prints the time taken
// as ms=N.
func cmdWithin(ts *testscript.TestScript, w *world, args []string) error {
	if len(args) < 2 {
		return fmt.Errorf("usage: within LIMIT http|chat [options] ARG")
	}
	limit, err := time.ParseDuration(args[0])
	if err != nil {
		return err
	}
	prepare := w.prepareHTTP
	if args[1] == "chat" {
		prepare = w.prepareChat
	}
	c, err := prepare(args[2:])
	if err != nil {
		return err
	}
	c.until = limit
	start := time.Now()
	if w.last, err = c.run(&w.answers); err != nil {
		return err
	}
	took := time.Since(start)
	if took > limit {
		return fmt.Errorf("took %v, limit is %v", took, limit)
	}
	_, err = fmt.Fprintf(ts.Stdout(), "ms=%d\n", took.Milliseconds())
	return err
}
