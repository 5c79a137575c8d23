package engine

import (
	"context"
	"sync"
	"time"

	"tarragonridge.example/tarragonridge/internal/standin/engine/sim"
)

// driver steps the model in real time and hands tokens to their requests.
type driver struct {
	runs    *runBook
	onCrash func()
	wake    chan struct{}

	mu        sync.Mutex
	model     *sim.Engine
	mailboxes map[string]*mailbox
}

// mailbox holds the tokens that a request has not read yet; their number is
// bounded by the length of its output.
type mailbox struct {
	mu      sync.Mutex
	tokens  []sim.Token
	crashed bool
	ready   chan struct{} // capacity 1
}

func newDriver(config sim.Config, runs *runBook, onCrash func()) (*driver, error) {
	model, err := sim.New(config)
	if err != nil {
		return nil, err
	}
	return &driver{
		runs:      runs,
		onCrash:   onCrash,
		wake:      make(chan struct{}, 1),
		model:     model,
		mailboxes: make(map[string]*mailbox),
	}, nil
}

// loop advances the model at the end of each step until ctx ends.
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
	out := d.model.Advance(time.Now())
	for _, token := range out.Tokens {
		d.deliver(token)
	}
	var lost map[string]*mailbox
	if out.Crashed {
		lost = d.dropAll()
	}
	next, ok := d.model.NextStepEnd()
	d.mu.Unlock()
	if out.Crashed {
		d.crash(lost)
	}
	return next, ok
}

// crashNow ends all runs, as a request that crashes the engine does.
func (d *driver) crashNow() {
	d.mu.Lock()
	d.model.Reset(time.Now())
	lost := d.dropAll()
	d.mu.Unlock()
	d.crash(lost)
}

// crash closes the listener before any request learns of the crash; otherwise a
// client whose request has ended could still connect.
func (d *driver) crash(lost map[string]*mailbox) {
	d.onCrash()
	for _, box := range lost {
		box.crash()
	}
}

func (d *driver) deliver(token sim.Token) {
	d.runs.token(token)
	box := d.mailboxes[token.ID]
	if box == nil {
		return
	}
	if token.FinishReason != "" {
		delete(d.mailboxes, token.ID)
	}
	box.put(token)
}

// dropAll aborts all runs and returns their mailboxes.
func (d *driver) dropAll() map[string]*mailbox {
	lost := d.mailboxes
	d.mailboxes = make(map[string]*mailbox)
	for id := range lost {
		d.runs.end(id, RunAborted)
	}
	return lost
}

// submit starts a sequence and returns the mailbox for its tokens.
func (d *driver) submit(run RunRecord, r sim.Request) (*mailbox, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if err := d.model.Submit(time.Now(), r); err != nil {
		return nil, err
	}
	box := &mailbox{ready: make(chan struct{}, 1)}
	d.mailboxes[r.ID] = box
	d.runs.start(r.ID, run)
	d.signal()
	return box, nil
}

// cancel ends a sequence whose client has left.
func (d *driver) cancel(id string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.mailboxes, id)
	d.model.Cancel(time.Now(), id)
	d.runs.end(id, RunAborted)
}

// with calls f with the model.
func (d *driver) with(f func(now time.Time, model *sim.Engine)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	f(time.Now(), d.model)
	d.signal()
}

func (d *driver) signal() {
	select {
	case d.wake <- struct{}{}:
	default:
	}
}

func (b *mailbox) put(token sim.Token) {
	b.mu.Lock()
	b.tokens = append(b.tokens, token)
	b.mu.Unlock()
	b.notify()
}

func (b *mailbox) crash() {
	b.mu.Lock()
	b.crashed = true
	b.mu.Unlock()
	b.notify()
}

func (b *mailbox) notify() {
	select {
	case b.ready <- struct{}{}:
	default:
	}
}

// take returns the tokens that arrived since the last call.
func (b *mailbox) take() (tokens []sim.Token, crashed bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	tokens = b.tokens
	b.tokens = nil
	return tokens, b.crashed
}
