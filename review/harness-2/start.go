package main

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Times of the scenario, within the lengths of the outages of the whole store that the site
// file leafledger-glk-grown has (5.5 s).
const (
	firstOutage  = 4500 * time.Millisecond
	betweenThem  = 1300 * time.Millisecond
	secondOutage = 4500 * time.Millisecond
	addedAfter   = 1200 * time.Millisecond // the gateway, after the begin of the first outage
	changeAfter  = 1100 * time.Millisecond // the change of the configuration, after the first outage
)

// standardConfig is the configuration of the scenarios: three kinds of streams of different
// urgency, and a route whose requests may run once at most.
func standardConfig(prepaid int64) (routes, services, tenants []object) {
	stream := func(name string, priority, objective, timeout int, resumable bool) object {
		return object{
			"name": name, "host": "site.example", "prefix": "/" + name + "/", "kind": "streaming", "timeout-ms": timeout, "target-latency-ms": objective,
			"gap-target-ms": 600, "priority": priority, "service": "writers", "max-attempts": 2, "public": false, "sticky": true, "resumable": resumable,
		}
	}
	routes = []object{
		stream("appraisal", 0, 800, 6000, true), stream("summary", 1, 1200, 4000, false), stream("tag", 2, 1500, 15000, true),
		{"name": "reserve", "host": "site.example", "prefix": "/reserve/", "kind": "non_idempotent", "timeout-ms": 1500, "target-latency-ms": 300,
			"priority": 2, "service": "desk", "max-attempts": 1, "public": false, "sticky": false},
	}
	services = []object{
		{"name": "writers", "health-path": "/health", "max-connections": 460, "protocol": "h1", "tls": false, "engine": object{
			"slots": 64, "kv-capacity-tokens": 257514, "kv-token-bytes": 163840, "link-mbps": 370000.0, "stride": 5, "models": []object{{"name": "m"}}}},
		{"name": "desk", "health-path": "/health", "max-connections": 200, "protocol": "h1", "tls": false},
	}
	for i := range 3 {
		tenants = append(tenants, object{"name": fmt.Sprint("tenant", i), "api-keys": []string{fmt.Sprint("key", i)}, "prepaid": prepaid})
	}
	return routes, services, tenants
}

// deploy starts replicas and the relays beside the engines, and returns the relays' port.
func (w *world) deploy(work time.Duration) (relayPort int) {
	relayPort = freePort("127.0.1.1")
	for i := range 2 {
		ip := fmt.Sprintf("127.0.1.%d", i+1)
		w.startReplica(fmt.Sprint("i-engine", i), "writers", ip, true, 20*time.Millisecond, 10)
		w.startRelay(fmt.Sprint("side-", i), ip, relayPort)
	}
	for i := range 2 {
		w.startReplica(fmt.Sprint("i-desk", i), "desk", "127.0.2.1", false, work, 0)
	}
	return relayPort
}

// answers collects the answers of clients.
type answers struct {
	mu  sync.Mutex
	all []answer
}

func (a *answers) add(x answer) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.all = append(a.all, x)
}

// streamClient sends one request after another until stop is closed. It waits as it is told
// before it comes again.
func (w *world) streamClient(address string, n int, out *answers, stop <-chan struct{}) {
	c := &client{w: w, address: address}
	defer c.drop()
	kinds := []struct {
		path     string
		deadline time.Duration
		usage    string
	}{{"/appraisal/1", 6 * time.Second, "2890,52"}, {"/summary/1", 4 * time.Second, "1800,40"}, {"/tag/1", 15 * time.Second, "543,40"}}
	for i := n; ; i++ {
		select {
		case <-stop:
			return
		default:
		}
		kind := kinds[i%len(kinds)]
		a := c.do("POST", kind.path, fmt.Sprint("key", n%3), kind.deadline, map[string]string{
			"Tarragonridge-Model": "m", "Tarragonridge-Token-Usage": kind.usage, "Tarragonridge-Prompt-Prefix": fmt.Sprintf("5c1e07a%d:400,%s:143", n%4, newID()),
		}, "prompt")
		out.add(a)
		time.Sleep(max(30*time.Millisecond, a.wait(kind.deadline)))
	}
}

// reserveDeadline is the deadline and the timeout of requests that may run once at most.
const reserveDeadline = 1500 * time.Millisecond

// reserveClient is streamClient for requests that may run once at most.
func (w *world) reserveClient(address string, n int, out *answers, stop <-chan struct{}) {
	c := &client{w: w, address: address}
	defer c.drop()
	for {
		select {
		case <-stop:
			return
		default:
		}
		a := c.do("POST", "/reserve/"+strconv.Itoa(n), fmt.Sprint("key", n%3), reserveDeadline, nil, "reserve")
		out.add(a)
		// All clients together send fewer than the 69.4 requests a second of the sheet.
		time.Sleep(max(time.Duration(80+rand.IntN(80))*time.Millisecond, a.wait(reserveDeadline)))
	}
}

// scenarioStart: a gateway is added while the store is silent. The store answers for a
// moment, in which the operator changes the configuration, and is down again.
func scenarioStart(w *world) bool {
	relayPort := w.deploy(60 * time.Millisecond)
	w.writeConfig(standardConfig(2_000_000))
	standing := w.startGateway("front-a-1", relayPort)
	w.awaitReady(standing, 10*time.Second)
	time.Sleep(2 * time.Second)
	if w.trouble {
		w.store.setMode(storeSilent)
		w.rec.add("store: silent")
	}
	begun := time.Now()
	time.Sleep(addedAfter)
	added := w.startGateway("front-b-1", relayPort)
	var got answers
	stop := make(chan struct{})
	var clients sync.WaitGroup
	clients.Go(func() {
		// The platform sends connections to a gateway that says that it is ready.
		for !isReady(added) && !added.hasEnded() {
			time.Sleep(20 * time.Millisecond)
		}
		w.rec.add("%s: ready", added.name)
		// All clients together send fewer than the 277 streams a second of the sheet.
		for n := range 120 {
			clients.Go(func() { w.streamClient(added.callers, n, &got, stop) })
		}
		for n := range 12 {
			clients.Go(func() { w.reserveClient(added.callers, n, &got, stop) })
		}
	})
	time.Sleep(time.Until(begun.Add(firstOutage)))
	w.store.setMode(storeServes)
	w.rec.add("store: serves")
	time.Sleep(changeAfter)
	sent := time.Now()
	w.writeConfig(standardConfig(2_100_000))
	acknowledged := time.Now()
	time.Sleep(time.Until(begun.Add(firstOutage + betweenThem)))
	if w.trouble {
		w.store.setMode(storeBusy)
		w.rec.add("store: busy")
	}
	time.Sleep(secondOutage)
	w.store.setMode(storeServes)
	w.rec.add("store: serves")
	time.Sleep(time.Second)
	ended := added.hasEnded()
	close(stop)
	clients.Wait()
	for _, line := range w.logLines(added.name, "panic: ") {
		w.rec.add("%s: log: %s", added.name, line)
	}
	w.rec.add("%s: ended by itself: %v", added.name, ended)
	return w.judgeLost(&got, sent, acknowledged)
}

// judgeLost says whether LOST is broken: around a change of the configuration, from its
// sending until config-ms + 1 s after its acknowledgement, a request that may not run twice
// was read whole and passed on to a replica, and its connection has ended without a complete
// answer. Disruption of the store excuses nothing for such requests. It counts only if
// requests are cut over three times as often then as at other times, and not if seven tenths
// of the request's time were used.
func (w *world) judgeLost(got *answers, sent, acknowledged time.Time) bool {
	until := acknowledged.Add((configMS + 1000) * time.Millisecond)
	var cut, all [2]int // at other times, beside the change
	for _, a := range got.all {
		if !strings.HasPrefix(a.path, "/reserve/") || a.sent.IsZero() {
			continue
		}
		beside := 0
		if !a.sent.Before(sent) && a.ended.Before(until) {
			beside = 1
		}
		all[beside]++
		if a.status == 0 && len(w.runs.of(a.id)) > 0 && a.ended.Sub(a.sent) < reserveDeadline*7/10 {
			cut[beside]++
			w.rec.add("cut: %s, passed on to %s, its connection ended %d ms after it was sent; beside the change: %v",
				a.id, w.runs.of(a.id)[0].replica, a.ended.Sub(a.sent).Milliseconds(), beside == 1)
		}
	}
	w.rec.add("requests of /reserve/ cut: %d of %d beside the change, %d of %d at other times", cut[1], all[1], cut[0], all[0])
	share := func(i int) float64 { return float64(cut[i]) / float64(max(all[i], 1)) }
	return cut[1] > 0 && share(1) > 3*share(0)
}
