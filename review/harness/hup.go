package main

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// hup: a gateway gets SIGTERM while it serves, and SIGHUP a second later, as its settings
// have changed. Both are planned work: what it has passed on to a replica it must answer.
func hup(w *World) (bool, error) {
	var ran sync.Map // ids of the requests that replicas ran
	for i := range 3 {
		ip := fmt.Sprintf("127.0.2.%d", i+1)
		engine := &Replica{ID: fmt.Sprintf("i-e%d", i), Service: "writers", Zone: "z1", Version: "v1", Slots: 64, Engine: true, Handler: func(x *Exchange) {
			ran.Store(x.ID, true)
			w.Logf("replica %s runs %s", x.Replica.ID, x.ID)
			w.Logf("replica %s has run %s, whole: %v", x.Replica.ID, x.ID, x.Stream(20, 100*time.Millisecond))
		}}
		if err := engine.Start(w.Store, ip); err != nil {
			return false, err
		}
		if err := w.Relay(fmt.Sprintf("side-z1-%d", i), "z1", ip); err != nil {
			return false, err
		}
		desk := &Replica{ID: fmt.Sprintf("i-d%d", i), Service: "desk", Zone: "z1", Version: "v1", Slots: 6, Handler: func(x *Exchange) {
			ran.Store(x.ID, true)
			w.Logf("replica %s runs %s", x.Replica.ID, x.ID)
			time.Sleep(15*time.Millisecond + rand.N(95*time.Millisecond))
			err := x.Answer(200, "reserved")
			w.Logf("replica %s has run %s to its end, answer sent: %v", x.Replica.ID, x.ID, err == nil)
		}}
		if err := desk.Start(w.Store, fmt.Sprintf("127.0.3.%d", i+1)); err != nil {
			return false, err
		}
	}
	w.Store.PutJSON("op", "config", object{"version": 1, "services": []object{engineService("writers"), plainService("desk")}, "limits": limits,
		"routes":  []object{tagRoute, bidRoute},
		"tenants": []object{{"name": "t1", "api-keys": []string{"key1"}, "prepaid": 3000000}}})
	g, err := w.Gateway("front-z1-1", "z1", "127.0.1.1")
	if err != nil {
		return false, err
	}
	if err := g.AwaitReady(10 * time.Second); err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second)
	// 20 bids and 8 streams of 2 s a second. The platform sends connections for two seconds
	// after the SIGTERM, until it has missed two answers to its question.
	const sendFor, termAfter = 6 * time.Second, 4 * time.Second
	var lost, lostBids, answered, notRead atomic.Int64
	var clients sync.WaitGroup
	began := time.Now()
	judge := func(id string, bid bool, a answer) {
		w.Logf("%s: client gets %v", id, a)
		time.Sleep(250 * time.Millisecond)
		_, passedOn := ran.Load(id)
		switch {
		case a.status != 0 && a.err == nil:
			answered.Add(1)
		case passedOn:
			w.Logf("%s: was passed on to a replica and got no complete answer", id)
			lost.Add(1)
			if bid {
				lostBids.Add(1)
			}
		default:
			notRead.Add(1)
		}
	}
	for n := range int(20 * sendFor / time.Second) {
		clients.Go(func() {
			time.Sleep(time.Until(began.Add(time.Duration(n) * time.Second / 20)))
			id := fmt.Sprintf("bid-%03d", n)
			request := append(head("POST", "/bid/7/", "Tarragonridge-Request-Id", id, "Tarragonridge-Deadline-Ms", "600", "Authorization", "Bearer key1", "Content-Length", "3"), "bid"...)
			c, err := net.DialTimeout("tcp", g.Callers, time.Second)
			if err != nil {
				judge(id, true, answer{err: err})
				return
			}
			defer c.Close()
			c.SetDeadline(time.Now().Add(2 * time.Second))
			w.Logf("%s is sent", id)
			c.Write(request)
			judge(id, true, readAnswer(bufio.NewReader(c), "POST"))
		})
	}
	for n := range int(8 * sendFor / time.Second) {
		clients.Go(func() {
			time.Sleep(time.Until(began.Add(time.Duration(n) * time.Second / 8)))
			id := fmt.Sprintf("tag-%03d", n)
			w.Logf("%s is sent", id)
			judge(id, false, stream(g, id, fmt.Sprintf("/tag/%d/", n), "tag", "key1", fmt.Sprintf("5c1e:172,e4%03d:371", n), 15*time.Second))
		})
	}
	time.Sleep(time.Until(began.Add(termAfter)))
	g.Signal(syscall.SIGTERM)
	time.Sleep(time.Second)
	if w.Trouble {
		g.Signal(syscall.SIGHUP)
	}
	clients.Wait()
	select {
	case <-g.Done():
	case <-time.After(10 * time.Second):
		return false, fmt.Errorf("the gateway does not end")
	}
	w.Logf("%d answered, %d not read by the gateway, %d passed on to a replica and lost, of which %d bids", answered.Load(), notRead.Load(), lost.Load(), lostBids.Load())
	return lost.Load() == 0, nil
}
