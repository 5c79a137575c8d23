// Harness runs the cases of the review. Each case starts the project's programs as
// processes, and plays the clients, the replicas and the platform's store itself.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// caseLimit bounds the time of a case.
const caseLimit = 115 * time.Second

// A case returns whether the rule held. An error means that the case could not run.
var cases = map[string]func(*World) (held bool, err error){
	"refused":    refused,
	"unframed":   unframed,
	"quarantine": quarantine,
	"crasher":    crasher,
	"hup":        hup,
	"shed":       shed,
	"crowd":      crowd,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: harness CASE FOLDER")
		os.Exit(2)
	}
	os.Exit(run(os.Args[1], os.Args[2]))
}

func run(name, folder string) int {
	w, err := NewWorld(folder)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer w.Close()
	go func() { // ends the processes too if the case is stopped or takes too long
		stop := make(chan os.Signal, 1)
		signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
		select {
		case <-stop:
		case <-time.After(caseLimit):
		}
		w.Logf("could not run: stopped")
		w.Close()
		os.Exit(2)
	}()
	held, err := cases[name](w)
	switch {
	case err != nil:
		w.Logf("could not run: %v", err)
		fmt.Println("could not run:", err)
		return 2
	case !held:
		w.Logf("the rule was broken")
		fmt.Println("the rule was broken")
		return 1
	}
	w.Logf("the rule held")
	fmt.Println("the rule held")
	return 0
}
