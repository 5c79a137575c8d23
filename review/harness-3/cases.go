package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"
)

func init() {
	cases["outage"] = outage
	cases["odd-entry"] = oddEntry
	cases["slow-reader"] = slowReader
	cases["poison"] = poison
	cases["shared-part"] = sharedPart
}

// outage: the store is silent for 4.5 s, in which the entries of the replicas expire. They are back
// with the next heartbeat after its return. Later a route is added.
func outage(f *fleet, trouble bool) (bool, error) {
	const gateways, replicas, least = 3, 4, 20
	const length, stable = 4500 * time.Millisecond, 3 * time.Second
	f.configure(1, appRoute("/app/", "idempotent", 2500, 150))
	for i := range replicas {
		if _, err := f.startReplica(fmt.Sprintf("i-%d", i), freeAddress()); err != nil {
			return false, err
		}
	}
	callers, err := f.startGateways(gateways)
	if err != nil {
		return false, err
	}
	// served sends requests under a prefix, evenly over the gateways, and counts the successes.
	served := func(prefix, name string, n int) int {
		return countServed(callers, prefix+"800/30", name, n, func(g got) bool { return g.body == 800 })
	}
	time.Sleep(3 * time.Second)
	const before, after, added = 100, 60, 60
	first := served("/app/", "q", before)
	// One more replica joins, so that all gateways begin to watch anew at one moment.
	if _, err := f.startReplica("i-joins", freeAddress()); err != nil {
		return false, err
	}
	time.Sleep(870 * time.Millisecond)
	if trouble {
		f.store.setSilent(true)
	}
	time.Sleep(length)
	if trouble {
		f.store.setSilent(false)
	}
	time.Sleep(stable + 2*time.Second)
	f.configure(4, appRoute("/app/", "idempotent", 2500, 150), appRoute("/added/", "idempotent", 2500, 150))
	time.Sleep(2 * time.Second) // config-ms
	onAdded := served("/added/", "n", added)
	first += served("/app/", "p", after)
	shareFirst, shareAdded := float64(first)/(before+after), float64(onAdded)/added
	say("in steady state: %.2f of the requests on the first route were served, %.2f of the %d on the route that was added", shareFirst, shareAdded, added)
	return added >= least && shareAdded < shareFirst/4, nil
}

// slowReader: a replica crashes while it sends an answer without a length to a client that
// reads slowly, and starts again at its address.
func slowReader(f *fleet, trouble bool) (bool, error) {
	const size, rate, deadlineMS = 12_000_000, 500_000, 45_000
	f.configure(1, appRoute("/app/", "non_idempotent", deadlineMS, 5000))
	replicas, err := f.startReplicas()
	if err != nil {
		return false, err
	}
	_, callers, err := f.startGateway("front-1", 8)
	if err != nil {
		return false, err
	}
	time.Sleep(time.Second)
	if trouble {
		time.AfterFunc(1500*time.Millisecond, func() {
			crashed := replicas[<-f.runs]
			crashed.kill()
			time.Sleep(4500 * time.Millisecond)
			if _, err := f.startReplica("i-again", crashed.address); err != nil {
				say("%v", err)
			}
		})
	}
	return send(callers, "q1", fmt.Sprintf("/app/%d/0", size), deadlineMS, rate).mixed(size), nil
}

// poison: a request that crashes each replica that runs it comes again every few seconds. Each
// time its client repeats it three times at once, at the next gateway each time. Without the
// disruption the request is one that crashes nothing.
func poison(f *fleet, trouble bool) (bool, error) {
	const gateways, repeats, rounds, replicas, most = 3, 3, 6, 8, 3
	const pause, stable, downTime = 4 * time.Second, 3 * time.Second, 1500 * time.Millisecond
	f.configure(1, appRoute("/app/", "idempotent", 2500, 150))
	crashed, stop, err := f.startReturning(replicas, downTime)
	if err != nil {
		return false, err
	}
	defer stop()
	callers, err := f.startGateways(gateways)
	if err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second) // all are in touch
	path := "/app/poison"
	if !trouble {
		path = "/app/800/30"
	}
	late := 0
	for round := range rounds {
		crashes := crashed()
		before := len(crashes)
		counts := before >= 3 && time.Since(crashes[2]) > stable
		for i := range 1 + repeats {
			id := fmt.Sprintf("q%d-%d", round+1, i+1)
			g := send(callers[i%gateways], id, path, 2500, 0)
			if g.status == 200 || g.status == 422 {
				break // a client repeats what has failed
			}
		}
		time.Sleep(300 * time.Millisecond)
		reached := len(crashed()) - before
		if counts {
			late += reached
		}
		say("round %d: the request crashed %d replicas; %d in all later than %v after it had crashed the third; %d are allowed", round+1, reached, late, stable, most)
		time.Sleep(pause)
	}
	return late > most, nil
}

// countServed sends requests, evenly over some gateways, and counts the successes.
func countServed(callers []string, path, name string, n int, whole func(got) bool) (ok int) {
	for i := range n {
		g := send(callers[i%len(callers)], fmt.Sprintf("%s%d", name, i), path, 4000, 0)
		if g.status == 200 && g.complete && whole(g) {
			ok++
		}
	}
	say("of %d requests for %s, %d were served", n, path, ok)
	return ok
}

// oddEntry: another writer puts an entry with a service that the configuration does not name. Then
// three releases replace the seven replicas of a service by ones with other software, three at
// most each, and a route is added.
func oddEntry(f *fleet, trouble bool) (bool, error) {
	const gateways, replicas, perRelease, least = 3, 7, 3, 20
	app := appRoute("/app/", "idempotent", 2500, 150)
	resumable := route{prefix: "/llm/", kind: "streaming", service: "llm", timeoutMS: 4000, objectiveMS: 800, attempts: 2, resumable: true}
	added := resumable
	added.prefix = "/added/"
	f.configure(1, app, resumable)
	start := func(id, version string) (*process, error) {
		return f.startReplica(id, freeAddress(), "--service=llm", "--framed", "--version="+version)
	}
	var old []*process
	for i := range replicas {
		p, err := start(fmt.Sprintf("i-old-%d", i), "v1")
		if err != nil {
			return false, err
		}
		old = append(old, p)
	}
	for i := range 2 {
		if _, err := f.startReplica(fmt.Sprintf("i-app-%d", i), freeAddress(), "--framed"); err != nil {
			return false, err
		}
	}
	callers, err := f.startGateways(gateways)
	if err != nil {
		return false, err
	}
	time.Sleep(3 * time.Second)
	requests := func(prefix, name string, n int) int {
		if prefix == "/app/" {
			return countServed(callers, prefix+"800/30", name, n, func(g got) bool { return g.body == 800 })
		}
		return countServed(callers, prefix+"5/50", name, n, func(g got) bool { return g.events == 5 })
	}
	first := requests("/app/", "a", 30) + requests("/llm/", "b", 30)
	if trouble {
		f.store.put("servers", "i-odd", map[string]any{
			"service": "registry.example/teams/pricing/europe/services/quotes/deployments/blue/instances/primary",
			"version": "quotes-server@sha256:9f86d081884c7d659a2feaa0c55ad015a3bf4f1b2b0b822cd15d6c15b0f00a08",
			"address": freeAddress(), "zone": "z-a", "slots": 6, "state": "ready", "cold-remaining-ms": 0, "sequence": 1, "born": time.Now().UnixMilli(),
		})
		say("another writer puts servers/i-odd, of a service that is not named")
	}
	time.Sleep(2 * time.Second)
	for i, p := range old { // the new one starts first, the old one drains
		if i%perRelease == 0 {
			say("release %d", i/perRelease+1)
		}
		if _, err := start(fmt.Sprintf("i-new-%d", i), "v2"); err != nil {
			return false, err
		}
		time.Sleep(time.Second)
		p.signal(syscall.SIGTERM)
	}
	time.Sleep(6 * time.Second)
	f.configure(4, app, resumable, added)
	time.Sleep(2 * time.Second) // config-ms
	const n = 30
	onAdded := requests("/added/llm/", "c", n)
	first += requests("/app/", "d", n) + requests("/llm/", "e", n)
	shareFirst, shareAdded := float64(first)/(4*n), float64(onAdded)/n
	say("in steady state: %.2f of the requests on the first routes were served, %.2f of the %d on the route that was added", shareFirst, shareAdded, n)
	return n >= least && shareAdded < shareFirst/4, nil
}

// sharedPart: a request that crashes each replica that runs it is sent once, and repeated once.
// The last part of its prompt that is not its own, a document, stands in other requests too,
// which are sent before and afterwards. Without the disruption the request crashes nothing.
func sharedPart(f *fleet, trouble bool) (bool, error) {
	const gateways, replicas, documents = 3, 12, 40
	const length, everyOther, everyDocument = 60 * time.Second, 50 * time.Millisecond, 2 * time.Second
	const downTime = 3 * time.Second
	f.configure(1, route{prefix: "/llm/", kind: "streaming", service: "llm", timeoutMS: 6000, objectiveMS: 800, attempts: 2, resumable: true})
	_, stop, err := f.startReturning(replicas, downTime, "--service=llm", "--framed")
	if err != nil {
		return false, err
	}
	defer stop()
	callers, err := f.startGateways(gateways)
	if err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second) // all are in touch
	var clients sync.WaitGroup
	var mu sync.Mutex
	sent, refused := 0, map[bool]int{}
	path := func(start, own string, document int) string {
		return fmt.Sprintf("%s?prompt=5c1e07a2:2520,%08x:3780,%s:290", start, 0xd0c00000+document, own)
	}
	// ask sends a request about a document. That of the other request has the number 0.
	ask := func(gateway int, id string, document int) {
		g := send(callers[gateway%gateways], id, path("/llm/13/500", id, document), 6000, 0)
		mu.Lock()
		defer mu.Unlock()
		sent++
		if g.refused() {
			refused[document == 0]++
		}
	}
	end := time.Now().Add(length)
	clients.Go(func() {
		for i := 1; time.Now().Before(end); i++ {
			clients.Go(func() { ask(i, fmt.Sprintf("%016x", 0xa0000+i), 1+i%(documents-1)) })
			time.Sleep(everyOther)
		}
	})
	clients.Go(func() {
		for i := 1; time.Now().Before(end); i++ {
			clients.Go(func() { ask(i, fmt.Sprintf("%016x", 0xb0000+i), 0) })
			time.Sleep(everyDocument)
		}
	})
	time.Sleep(5*everyDocument + 700*time.Millisecond)
	start := "/llm/poison"
	if !trouble {
		start = "/llm/13/500"
	}
	for i := range 2 {
		id := fmt.Sprintf("%016x", 0xc0000+i)
		g := send(callers[i], id, path(start, "f0071e55", 0), 6000, 0)
		if g.status == 200 && g.complete {
			break // a client repeats what has failed
		}
	}
	clients.Wait()
	most := 5 + sent/500
	say("%d requests were sent, %d about the document were refused for good, %d about others; %d are allowed", sent, refused[true], refused[false], most)
	return refused[true]+refused[false] > most, nil
}
