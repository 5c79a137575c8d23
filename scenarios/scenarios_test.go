// Package scenarios runs end-to-end tests from scripts. Each script starts separate
// processes of the tarragonridge command on loopback. README.md describes the
// commands of the scripts.
package scenarios

import (
	"flag"
	"fmt"
	"os"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"

	"tarragonridge.example/tarragonridge/internal/cli"
)

// commandName is the name under which the test binary runs as the command.
const commandName = "tarragonridge"

const coresPerScript = 3 // cores that each script running in parallel gets

func TestMain(m *testing.M) {
	// Scripts check response times, so they must not compete for cores: each runs
	// about ten processes. Flags on the command line are parsed later and override
	// this default.
	parallelScripts := max(1, runtime.GOMAXPROCS(0)/coresPerScript)
	if err := flag.Set("test.parallel", strconv.Itoa(parallelScripts)); err != nil {
		panic(err)
	}
	testscript.Main(m, map[string]func(){
		commandName: func() { os.Exit(cli.Main(os.Args[1:], os.Stdout, os.Stderr)) },
	})
}

// Guards against faults that appear only between separate processes. The comment at
// the head of each script says which.
func TestScenarios(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir:                 ".",
		Setup:               setup,
		RequireExplicitExec: true,
		RequireUniqueNames:  true,
		Cmds: map[string]func(ts *testscript.TestScript, neg bool, args []string){
			"start":    command(cmdStart),
			"restart":  command(cmdRestart),
			"signal":   command(cmdSignal),
			"topology": command(cmdTopology),
			"http":     command(cmdHTTP),
			"chat":     command(cmdChat),
			"wait-for": command(cmdWaitFor),
			"calls":    command(cmdCalls),
			"want":     command(cmdWant),
			"within":   command(cmdWithin),
			"capture":  command(cmdCapture),
			"stream":   command(cmdStream),
			"fault":    command(cmdFault),
			"books":    command(cmdBooks),

			"traffic":     command(cmdTraffic),
			"traffic-end": command(cmdTrafficEnd),

			"broken-stream": command(cmdBrokenStream),
		},
	})
}

// script is the state of a running script.
type script struct {
	dir             string     // working directory of the script
	mu              sync.Mutex // guards processes, which background calls read
	processes       map[string]*process
	startOrder      []string          // names of the processes in order of their first start
	teamKeys        map[string]string // API keys by team
	backgroundCalls map[string]*call  // by name
	lastResponse    *response
	answers         answerLog
	traffic         map[string]*traffic // background load by name
}

type scriptKey struct{}

// failer is the method of *testing.T that reports whether the script has failed.
type failer interface{ Failed() bool }

func setup(env *testscript.Env) error {
	s := &script{
		dir:             env.WorkDir,
		processes:       map[string]*process{},
		teamKeys:        map[string]string{},
		backgroundCalls: map[string]*call{},
		answers:         answerLog{path: env.WorkDir + "/answers.jsonl"},
		traffic:         map[string]*traffic{},
	}
	env.Values[scriptKey{}] = s
	t := env.T()
	env.Defer(func() {
		s.killProcesses()
		if f, ok := t.(failer); ok && f.Failed() {
			t.Log(s.processLogs())
		}
	})
	return s.answers.create()
}

// command turns a function that returns an error into a testscript command.
func command(run func(ts *testscript.TestScript, s *script, args []string) error) func(*testscript.TestScript, bool, []string) {
	return func(ts *testscript.TestScript, neg bool, args []string) {
		if neg {
			ts.Fatalf("this command cannot be negated")
		}
		ts.Check(run(ts, ts.Value(scriptKey{}).(*script), args))
	}
}

func (s *script) killProcesses() {
	for _, name := range s.startOrder {
		s.processes[name].kill()
	}
}

// maxLogBytes limits how much of each process's log a failed script shows, from the
// end.
const maxLogBytes = 32 << 10

func (s *script) processLogs() string {
	var b strings.Builder
	for _, name := range s.startOrder {
		text, err := os.ReadFile(s.processes[name].logPath)
		if err != nil {
			continue
		}
		if len(text) > maxLogBytes {
			text = text[len(text)-maxLogBytes:]
		}
		fmt.Fprintf(&b, "--- log of %s\n%s", name, text)
	}
	return b.String()
}

// cmdBooks implements "books [ARG...]": it runs the command books, which compares the
// counts of all stand-ins with the ledger and the answers that callers received.
func cmdBooks(ts *testscript.TestScript, s *script, args []string) error {
	bookArgs := []string{"books", "--answers=" + s.answers.path}
	for _, name := range s.startOrder {
		p := s.processes[name]
		if p.role == rolePlatform || p.role == roleEngine || p.role == roleService {
			bookArgs = append(bookArgs, "--"+p.role, "http://"+p.readyValue("addr"))
		}
	}
	return ts.Exec(commandName, append(bookArgs, args...)...)
}
