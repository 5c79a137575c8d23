// Package scenarios holds scripted scenarios. Each script runs separate
// processes of the tarragonridge command on loopback. README.md describes the
// commands of the scripts.
package scenarios

import (
	"fmt"
	"os"
	"strings"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"

	"tarragonridge.example/tarragonridge/internal/cli"
)

// commandName is the name under which the test binary acts as the command.
const commandName = "tarragonridge"

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		commandName: func() { os.Exit(cli.Main(os.Args[1:], os.Stdout, os.Stderr)) },
	})
}

// Guards against faults that only appear between real processes: each script
// states its own.
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

// world is the state of one script.
type world struct {
	dir       string // working directory of the script
	processes map[string]*process
	order     []string          // names of processes in order of start
	keys      map[string]string // by team
	waiting   map[string]*call  // calls in the background
	last      *answer
	answers   answerLog
	traffic   map[string]*traffic // loads in the background
}

type worldKey struct{}

// failer is the part of *testing.T that tells whether the script has failed.
type failer interface{ Failed() bool }

func setup(env *testscript.Env) error {
	w := &world{
		dir:       env.WorkDir,
		processes: map[string]*process{},
		keys:      map[string]string{},
		waiting:   map[string]*call{},
		answers:   answerLog{path: env.WorkDir + "/answers.jsonl"},
		traffic:   map[string]*traffic{},
	}
	env.Values[worldKey{}] = w
	t := env.T()
	env.Defer(func() {
		w.stop()
		if f, ok := t.(failer); ok && f.Failed() {
			t.Log(w.logs())
		}
	})
	return w.answers.create()
}

// command adapts a function that returns an error.
func command(run func(ts *testscript.TestScript, w *world, args []string) error) func(*testscript.TestScript, bool, []string) {
	return func(ts *testscript.TestScript, neg bool, args []string) {
		if neg {
			ts.Fatalf("this command cannot be negated")
		}
		ts.Check(run(ts, ts.Value(worldKey{}).(*world), args))
	}
}

func (w *world) stop() {
	for _, name := range w.order {
		w.processes[name].kill()
	}
}

// logLimit bounds the part of a process's log that a failed script shows.
const logLimit = 32 << 10

func (w *world) logs() string {
	var b strings.Builder
	for _, name := range w.order {
		text, err := os.ReadFile(w.processes[name].logPath)
		if err != nil {
			continue
		}
		if len(text) > logLimit {
			text = text[len(text)-logLimit:]
		}
		fmt.Fprintf(&b, "--- log of %s\n%s", name, text)
	}
	return b.String()
}

// cmdBooks audits all stand-ins against the ledger and the answers received.
func cmdBooks(ts *testscript.TestScript, w *world, args []string) error {
	all := []string{"books", "--answers=" + w.answers.path}
	for _, name := range w.order {
		p := w.processes[name]
		if p.role == rolePlatform || p.role == roleEngine || p.role == roleService {
			all = append(all, "--"+p.role, "http://"+p.values["addr"])
		}
	}
	return ts.Exec(commandName, append(all, args...)...)
}
