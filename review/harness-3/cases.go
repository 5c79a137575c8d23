package main

import (
	"fmt"
	"syscall"
	"time"
)

func init() {
	cases["slow-reader"] = slowReader
	cases["freeze"] = freeze
	cases["spot"] = spot
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

// freeze: a gateway stands still while a replica crashes that sends it an answer without a
// length, and starts again at its address.
func freeze(f *fleet, trouble bool) (bool, error) {
	const size, deadlineMS = 5000, 8000
	f.configure("non_idempotent", deadlineMS, 1500)
	address := freeAddress()
	first, err := f.startReplica("i-first", address)
	if err != nil {
		return false, err
	}
	gateway, callers, err := f.startGateway("front-1", 8)
	if err != nil {
		return false, err
	}
	time.Sleep(time.Second)
	if trouble {
		time.AfterFunc(500*time.Millisecond, func() {
			gateway.signal(syscall.SIGSTOP)
			say("front-1 stands still")
			time.Sleep(300 * time.Millisecond)
			first.kill()
			time.Sleep(2 * time.Second)
			if _, err := f.startReplica("i-second", address); err != nil {
				say("%v", err)
			}
			time.Sleep(1700 * time.Millisecond)
			gateway.signal(syscall.SIGCONT)
			say("front-1 goes on")
		})
	}
	return send(callers, "q1", fmt.Sprintf("/app/%d/1000", size), deadlineMS, 0).mixed("q1", size), nil
}

// spot: a replica is taken away some time after the notice, while it still sends an answer
// without a length.
func spot(f *fleet, trouble bool) (bool, error) {
	const size, deadlineMS = 5000, 8000
	f.configure("non_idempotent", deadlineMS, 1500)
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
	time.AfterFunc(200*time.Millisecond, func() {
		first.signal(syscall.SIGTERM)
		if trouble {
			time.Sleep(2500 * time.Millisecond)
			first.kill()
		}
	})
	return send(callers, "q1", fmt.Sprintf("/app/%d/4000", size), deadlineMS, 0).mixed("q1", size), nil
}
