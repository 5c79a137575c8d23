// The harness of the scripts of review 2. It starts the project's own programs as separate
// processes on loopback, with stand-ins for the platform's store, the replicas and the
// clients, which do only what PROTOCOL.md allows.
//
//	harness PROGRAM SCENARIO RECORD
//
// It exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"bufio"
	"fmt"
	"os"
	"time"
)

// scenarios return whether the rule was broken.
var scenarios = map[string]func(*world) bool{
	"start": scenarioStart,
}

func main() { os.Exit(runScenario()) }

func runScenario() (code int) {
	if len(os.Args) != 4 || scenarios[os.Args[2]] == nil {
		fmt.Fprintln(os.Stderr, "usage: harness PROGRAM SCENARIO RECORD")
		return 2
	}
	f, err := os.Create(os.Args[3])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer f.Close()
	rec := &record{start: time.Now(), out: bufio.NewWriter(f)}
	defer rec.close()
	defer func() {
		if problem := recover(); problem != nil {
			rec.add("the case could not run: %+v", problem)
			fmt.Printf("the case could not run: %+v\n", problem)
			code = 2
		}
	}()
	w := newWorld(rec, os.Args[1], os.Getenv("TROUBLE") != "0")
	defer w.close()
	if scenarios[os.Args[2]](w) {
		code = 1
	}
	verdict := map[int]string{0: "the rule held", 1: "the rule was broken"}[code]
	rec.add("%s", verdict)
	fmt.Println(verdict)
	return code
}
