package main

import (
	"fmt"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

func init() {
	cases["outage"] = outage
	cases["slow-reader"] = slowReader
	cases["leaving"] = leaving
	cases["poison"] = poison
}

// outage: the store is silent for 4.5 s, in which the entries of the replicas expire. They are back
// with the next heartbeat after its return. Later a route is added.
func outage(f *fleet, trouble bool) (bool, error) {
	const gateways, replicas, least = 3, 3, 20
	const length, stable = 4500 * time.Millisecond, 3 * time.Second
	f.configure("idempotent", 2500, 150)
	for i := range replicas {
		if _, err := f.startReplica(fmt.Sprintf("i-%d", i), freeAddress()); err != nil {
			return false, err
		}
	}
	var callers [gateways]string
	for i := range callers {
		var err error
		if _, callers[i], err = f.startGateway(fmt.Sprintf("front-%d", i+1), 8); err != nil {
			return false, err
		}
	}
	// served sends requests under a prefix, evenly over the gateways, and counts the successes.
	served := func(prefix, name string, n int) (ok int) {
		for i := range n {
			g := send(callers[i%gateways], fmt.Sprintf("%s%d", name, i), prefix+"800/30", 2500, 0)
			if g.status == 200 && g.complete && g.body == 800 {
				ok++
			}
		}
		say("of %d requests under %s, %d were served", n, prefix, ok)
		return ok
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
	f.configure("idempotent", 2500, 150, "/added/")
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
	f.configure("non_idempotent", deadlineMS, 5000)
	address := freeAddress()
	first, err := f.startReplica("i-first", address)
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
			first.kill()
			time.Sleep(4500 * time.Millisecond)
			if _, err := f.startReplica("i-second", address); err != nil {
				say("%v", err)
			}
		})
	}
	return send(callers, "q1", fmt.Sprintf("/app/%d/0", size), deadlineMS, rate).mixed("q1", size), nil
}

// leaving: a replica is taken away some time after the notice, while it still sends a stream
// without a length. It has served for drain-ms and takes no more connections by then.
func leaving(f *fleet, trouble bool) (bool, error) {
	const events, deadlineMS = 10, 4000
	f.configure("non_idempotent", 2500, 1500)
	address := freeAddress()
	first, err := f.startReplica("i-first", address, "--service=llm")
	if err != nil {
		return false, err
	}
	_, callers, err := f.startGateway("front-1", 8)
	if err != nil {
		return false, err
	}
	time.Sleep(time.Second)
	time.AfterFunc(200*time.Millisecond, func() {
		first.signal(syscall.SIGTERM) // the notice
		if trouble {
			time.Sleep(2500 * time.Millisecond)
			first.kill()
		}
	})
	return send(callers, "q1", fmt.Sprintf("/llm/%d/3200", events), deadlineMS, 0).cutShort("q1", events), nil
}

// poison: a request that crashes each replica that runs it comes again every few seconds. Each
// time its client repeats it three times at once, at the next gateway each time. Without the
// disruption the request is one that crashes nothing.
func poison(f *fleet, trouble bool) (bool, error) {
	const gateways, repeats, rounds, replicas, most = 3, 3, 6, 8, 3
	const pause, stable, downTime = 4 * time.Second, 3 * time.Second, 1500 * time.Millisecond
	f.configure("idempotent", 2500, 150)
	var stopped atomic.Bool
	defer stopped.Store(true)
	var mu sync.Mutex
	var crashes []time.Time
	for i := range replicas {
		address := freeAddress()
		p, err := f.startReplica(fmt.Sprintf("i-%d-1", i), address)
		if err != nil {
			return false, err
		}
		go func() { // the replica is back some time after a crash, with a new id
			for starts := 2; ; starts++ {
				_ = p.cmd.Wait()
				if stopped.Load() {
					return
				}
				mu.Lock()
				crashes = append(crashes, time.Now())
				mu.Unlock()
				time.Sleep(downTime)
				if p, err = f.startReplica(fmt.Sprintf("i-%d-%d", i, starts), address); err != nil {
					say("%v", err)
					return
				}
			}
		}()
	}
	var callers [gateways]string
	for i := range callers {
		var err error
		if _, callers[i], err = f.startGateway(fmt.Sprintf("front-%d", i+1), 8); err != nil {
			return false, err
		}
	}
	time.Sleep(4 * time.Second) // all are in touch
	path := "/app/poison"
	if !trouble {
		path = "/app/800/30"
	}
	late := 0
	for round := range rounds {
		mu.Lock()
		before := len(crashes)
		counts := before >= 3 && time.Since(crashes[2]) > stable
		mu.Unlock()
		for i := range 1 + repeats {
			id := fmt.Sprintf("q%d-%d", round+1, i+1)
			g := send(callers[i%gateways], id, path, 2500, 0)
			say("client got %s: status %d, error: %v", id, g.status, g.err)
			if g.status == 200 || g.status == 422 {
				break // a client repeats what has failed
			}
		}
		time.Sleep(300 * time.Millisecond)
		mu.Lock()
		reached := len(crashes) - before
		mu.Unlock()
		if counts {
			late += reached
		}
		say("round %d: the request crashed %d replicas; %d in all later than %v after it had crashed the third; %d are allowed", round+1, reached, late, stable, most)
		time.Sleep(pause)
	}
	return late > most, nil
}
