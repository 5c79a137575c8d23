package scenarios

import (
	"fmt"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
)

// readyChecks is the time for which a load balancer relies on a router's
// readiness.
const readyChecks = 200 * time.Millisecond

// traffic is a load that runs in the background.
type traffic struct {
	w        *world
	lines    []string
	statuses []string
	stop     chan struct{}
	work     sync.WaitGroup
	next     atomic.Int64
	balancer balancer

	mu     sync.Mutex
	done   int // calls that were answered as wanted
	faults []string
}

// balancer picks routers in turn among those that were ready at the last check.
type balancer struct {
	mu      sync.Mutex
	routers map[string]string // address by name
	ready   []string
	checked time.Time
	turn    int
}

// cmdTraffic implements "traffic NAME CONCURRENCY FILE STATUSES": calls as those
// of "calls" are made until "traffic-end". A router named ready stands for the
// next of the routers that are ready. Each streamed chat answered 200 must be
// the whole stream of its own word.
func cmdTraffic(ts *testscript.TestScript, w *world, args []string) error {
	if len(args) != 4 {
		return fmt.Errorf("usage: traffic NAME CONCURRENCY FILE STATUSES")
	}
	if w.traffic[args[0]] != nil {
		return fmt.Errorf("traffic %q is in progress", args[0])
	}
	workers, err := strconv.Atoi(args[1])
	if err != nil {
		return err
	}
	text := os.Expand(strings.TrimSpace(ts.ReadFile(args[2])), ts.Getenv)
	t := &traffic{w: w, lines: strings.Split(text, "\n"), statuses: strings.Split(args[3], ","), stop: make(chan struct{})}
	t.balancer.routers = map[string]string{}
	for name, p := range w.processes {
		if p.role == roleRouter {
			t.balancer.routers[name] = p.values["addr"]
		}
	}
	w.traffic[args[0]] = t
	for range workers {
		t.work.Go(t.run)
	}
	return nil
}

// cmdTrafficEnd implements "traffic-end NAME MINIMUM": it waits for the calls in
// progress and fails unless at least MINIMUM calls were made and all were
// answered as wanted.
func cmdTrafficEnd(ts *testscript.TestScript, w *world, args []string) error {
	if len(args) != 2 || w.traffic[args[0]] == nil {
		return fmt.Errorf("usage: traffic-end NAME MINIMUM, after traffic")
	}
	least, err := strconv.Atoi(args[1])
	if err != nil {
		return err
	}
	t := w.traffic[args[0]]
	delete(w.traffic, args[0])
	close(t.stop)
	t.work.Wait()
	ts.Logf("traffic %s: %d answered, %d faults", args[0], t.done, len(t.faults))
	if len(t.faults) > 0 {
		return fmt.Errorf("%d of %d calls failed, the first ones:\n%s", len(t.faults), t.done+len(t.faults),
			strings.Join(t.faults[:min(3, len(t.faults))], "\n"))
	}
	if t.done < least {
		return fmt.Errorf("%d calls were made, want at least %d", t.done, least)
	}
	return nil
}

func (t *traffic) run() {
	for {
		select {
		case <-t.stop:
			return
		default:
		}
		err := t.once(t.next.Add(1) - 1)
		t.mu.Lock()
		if err == nil {
			t.done++
		} else {
			t.faults = append(t.faults, err.Error())
			time.Sleep(pollInterval)
		}
		t.mu.Unlock()
	}
}

func (t *traffic) once(n int64) error {
	c, words, err := t.prepare(n)
	if err != nil {
		return err
	}
	a, err := c.run(&t.w.answers)
	if err != nil {
		return err
	}
	if !slices.Contains(t.statuses, a.statusOf()) {
		return fmt.Errorf("%s: status %s, want %s: %v\n%s", c.url, a.statusOf(), t.statuses, a.err, a.body)
	}
	if words[0] == "chat" && a.status == http.StatusOK && a.header.Get("Content-Type") == "text/event-stream" {
		return wholeStream(a, words[len(words)-2], words[len(words)-1])
	}
	return nil
}

// prepare returns call n and its words.
func (t *traffic) prepare(n int64) (*call, []string, error) {
	line := t.lines[int(n)%len(t.lines)]
	if strings.Contains(line, "ready") {
		router, err := t.balancer.pick()
		if err != nil {
			return nil, nil, err
		}
		line = strings.ReplaceAll(line, "ready", "http://"+router)
	}
	words := wordPattern.FindAllString(strings.ReplaceAll(line, "{i}", strconv.FormatInt(n, 10)), -1)
	for at, word := range words {
		words[at] = strings.Trim(word, "'")
	}
	prepare := t.w.prepareHTTP
	if words[0] == "chat" {
		prepare = t.w.prepareChat
	}
	c, err := prepare(words[1:])
	if err != nil {
		return nil, nil, err
	}
	c.status = "any"
	return c, words, nil
}

// wholeStream checks that the answer is the whole stream of a word.
func wholeStream(a *answer, word, tokens string) error {
	n, err := strconv.Atoi(tokens)
	if err != nil {
		return err
	}
	got, whole := streamText(a.body)
	if want := echoed(word, n); !whole || got != want {
		return fmt.Errorf("word %s: whole %t, the stream holds %q, want %q\n%s", word, whole, got, want, a.body[max(0, len(a.body)-400):])
	}
	return nil
}

// cmdBrokenStream implements "broken-stream": the last answer is a stream that
// ends with an error event and not as a complete answer.
func cmdBrokenStream(_ *testscript.TestScript, w *world, args []string) error {
	if w.last == nil || len(args) != 0 {
		return fmt.Errorf("usage: broken-stream, after a call")
	}
	body := string(w.last.body)
	_, event, found := strings.Cut(body, "event: error\ndata: ")
	if !found || strings.Contains(body, "[DONE]") || strings.Contains(strings.TrimSpace(event), "\n") {
		return fmt.Errorf("the stream does not end with an error event\n%s", body)
	}
	return nil
}

// echoed is the text of an answer of n tokens to a word.
func echoed(word string, n int) string {
	var b strings.Builder
	for i := range n {
		fmt.Fprintf(&b, "%s-%d ", word, i)
	}
	return b.String()
}

// pick returns the address of the next router that is ready.
func (b *balancer) pick() (string, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if time.Since(b.checked) > readyChecks {
		b.check()
	}
	if len(b.ready) == 0 {
		return "", fmt.Errorf("no router is ready")
	}
	b.turn++
	return b.ready[b.turn%len(b.ready)], nil
}

func (b *balancer) check() {
	b.ready = nil
	for _, addr := range b.routers {
		c := &call{method: http.MethodGet, url: "http://" + addr + "/readyz", timeout: readyChecks}
		if c.send().status == http.StatusOK {
			b.ready = append(b.ready, addr)
		}
	}
	slices.Sort(b.ready)
	b.checked = time.Now()
}
