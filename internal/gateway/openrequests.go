package gateway

import (
	"context"
	"errors"
	"sync"
	"time"
)

// Causes of the end of a request's contexts at a planned stop.
var (
	errMayNotEnd = errors.New("the request may not end within the grace period")
	errCutOff    = errors.New("the grace period has ended")
)

// openRequests are the requests in progress, for a planned stop to end them.
type openRequests struct {
	mu       sync.Mutex
	open     map[*openRequest]struct{}
	refuseBy time.Time // requests that may last longer are no longer passed on; zero for all are
	cutOff   bool
}

// openRequest is a request in progress.
type openRequest struct {
	deadline    time.Time
	cancel      context.CancelCauseFunc // of its context
	cancelWaits context.CancelCauseFunc // of the context of its waits
}

// begin returns the context of a request and that of its waits, which ends when a request
// that may not end in time is no longer passed on. Both have the request's deadline.
func (o *openRequests) begin(parent context.Context, deadline time.Time) (ctx, waits context.Context, end func()) {
	r := &openRequest{deadline: deadline}
	ctx, r.cancel = context.WithCancelCause(parent)
	ctx, cancelDeadline := context.WithDeadline(ctx, deadline)
	waits, r.cancelWaits = context.WithCancelCause(ctx)
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.open == nil {
		o.open = map[*openRequest]struct{}{}
	}
	o.open[r] = struct{}{}
	o.stop(r)
	return ctx, waits, func() {
		o.mu.Lock()
		delete(o.open, r)
		o.mu.Unlock()
		r.cancelWaits(nil)
		cancelDeadline()
		r.cancel(nil)
	}
}

// stop ends what a request may no longer do. o.mu is held.
func (o *openRequests) stop(r *openRequest) {
	if o.cutOff {
		r.cancel(errCutOff)
	}
	if !o.refuseBy.IsZero() && r.deadline.After(o.refuseBy) {
		r.cancelWaits(errMayNotEnd)
	}
}

// refuseLate ends the waits of the requests that may last longer than a time, also of those
// that begin later.
func (o *openRequests) refuseLate(end time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.refuseBy = end
	for r := range o.open {
		o.stop(r)
	}
}

// cutOffAll ends all requests, also those that begin later.
func (o *openRequests) cutOffAll() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.cutOff = true
	for r := range o.open {
		o.stop(r)
	}
}
