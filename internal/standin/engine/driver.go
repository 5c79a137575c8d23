package engine

import (
	"context"
	"sync"
	"time"

	"tarragonridge.example/tarragonridge/internal/standin/engine/sim"
)

// driver advances the simulation in real time and passes its tokens to the requests
// that wait for them.
type driver struct {
	runs    *runLog
	onCrash func()
	wake    chan struct{} // capacity 1; makes loop look at the simulation again

	mu         sync.Mutex
	simulation *sim.Engine
	queues     map[string]*tokenQueue // by sequence ID
}

// tokenQueue holds the tokens that a request has not read yet. Its size is bounded
// by the length of the request's output.
type tokenQueue struct {
	mu      sync.Mutex
	tokens  []sim.Token
	crashed bool
	ready   chan struct{} // capacity 1
}

func newDriver(config sim.Config, runs *runLog, onCrash func()) (*driver, error) {
	simulation, err := sim.New(config)
	if err != nil {
		return nil, err
	}
	return &driver{
		runs:       runs,
		onCrash:    onCrash,
		wake:       make(chan struct{}, 1),
		simulation: simulation,
		queues:     make(map[string]*tokenQueue),
	}, nil
}

// loop advances the simulation at the end of each step until ctx ends.
func (d *driver) loop(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-d.wake:
		case <-timer.C:
		}
		if next, ok := d.advance(); ok {
			timer.Reset(time.Until(next))
		} else {
			timer.Stop()
		}
	}
}

func (d *driver) advance() (time.Time, bool) {
	d.mu.Lock()
	outcome := d.simulation.Advance(time.Now())
	for _, token := range outcome.Tokens {
		d.deliver(token)
	}
	var abortedQueues map[string]*tokenQueue
	if outcome.Crashed {
		abortedQueues = d.abortAll()
	}
	next, ok := d.simulation.NextStepEnd()
	d.mu.Unlock()
	if outcome.Crashed {
		d.reportCrash(abortedQueues)
	}
	return next, ok
}

// crashNow resets the simulation and aborts all runs, as a request with the crash
// marker does.
func (d *driver) crashNow() {
	d.mu.Lock()
	d.simulation.Reset(time.Now())
	abortedQueues := d.abortAll()
	d.mu.Unlock()
	d.reportCrash(abortedQueues)
}

// reportCrash closes the listener before it wakes the aborted requests; otherwise a
// client whose request has just ended could still connect.
func (d *driver) reportCrash(abortedQueues map[string]*tokenQueue) {
	d.onCrash()
	for _, queue := range abortedQueues {
		queue.markCrashed()
	}
}

func (d *driver) deliver(token sim.Token) {
	d.runs.recordToken(token)
	queue := d.queues[token.ID]
	if queue == nil {
		return
	}
	if token.FinishReason != "" {
		delete(d.queues, token.ID)
	}
	queue.push(token)
}

// abortAll marks all runs as aborted and returns their queues.
func (d *driver) abortAll() map[string]*tokenQueue {
	abortedQueues := d.queues
	d.queues = make(map[string]*tokenQueue)
	for id := range abortedQueues {
		d.runs.end(id, RunAborted)
	}
	return abortedQueues
}

// submit queues a sequence, records its run and returns the queue for its tokens.
func (d *driver) submit(run RunRecord, r sim.Request) (*tokenQueue, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if err := d.simulation.Submit(time.Now(), r); err != nil {
		return nil, err
	}
	queue := &tokenQueue{ready: make(chan struct{}, 1)}
	d.queues[r.ID] = queue
	d.runs.start(r.ID, run)
	d.wakeLoop()
	return queue, nil
}

// cancel aborts a sequence whose client has disconnected. It does nothing to a
// finished one.
func (d *driver) cancel(id string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.queues, id)
	d.simulation.Cancel(time.Now(), id)
	d.runs.end(id, RunAborted)
}

// withSimulation calls f with the simulation, under the driver's lock.
func (d *driver) withSimulation(f func(now time.Time, simulation *sim.Engine)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	f(time.Now(), d.simulation)
	d.wakeLoop()
}

func (d *driver) wakeLoop() {
	select {
	case d.wake <- struct{}{}:
	default:
	}
}

func (q *tokenQueue) push(token sim.Token) {
	q.mu.Lock()
	q.tokens = append(q.tokens, token)
	q.mu.Unlock()
	q.notify()
}

func (q *tokenQueue) markCrashed() {
	q.mu.Lock()
	q.crashed = true
	q.mu.Unlock()
	q.notify()
}

func (q *tokenQueue) notify() {
	select {
	case q.ready <- struct{}{}:
	default:
	}
}

// take returns the tokens added since the last call, and whether the engine has
// crashed.
func (q *tokenQueue) take() (tokens []sim.Token, crashed bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	tokens = q.tokens
	q.tokens = nil
	return tokens, q.crashed
}
