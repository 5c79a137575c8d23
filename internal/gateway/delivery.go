package gateway

import (
	"time"

	"tarragonridge.example/tarragonridge/internal/callers"
	"tarragonridge.example/tarragonridge/internal/logqueue"
)

// delivery is what is known of the events that were written to a caller's connection, but
// that the connection may not have taken yet.
type delivery struct {
	conn    *callers.Conn // nil if not served by Serve
	batches []batch       // in order
	missed  int64         // events that the connection did not take before it ended
}

// batch is some events that were written at once.
type batch struct {
	start  int64 // position of its first byte among those of the connection
	events int64
}

// position returns the position of the next byte that is written.
func (d *delivery) position() int64 {
	if d.conn == nil {
		return 0
	}
	written, held := d.conn.Progress()
	return written + int64(held)
}

// sent records events that were written from a position on.
func (d *delivery) sent(start, events int64) {
	if d.conn == nil {
		return
	}
	if d.conn.Written() {
		d.batches = nil
		return
	}
	d.batches = append(d.batches, batch{start, events})
}

// awaitDelivery waits until the caller has been sent all of the answer, and returns the
// error of the request. Its target and its attempts have ended. Events whose first byte
// the connection did not take count as not delivered.
func (g *Gateway) awaitDelivery(req *request, err error) error {
	d := &req.delivery
	if d.conn == nil || !req.headSent {
		return err
	}
	if resetErr := d.conn.SetWriteDeadline(time.Time{}); resetErr != nil {
		g.opt.Logger.Debug("failed to reset the write deadline", "err", resetErr)
	}
	began := time.Now()
	writeErr := d.conn.AwaitWritten()
	if len(d.batches) == 0 && writeErr == nil {
		return err
	}
	written, _ := d.conn.Progress()
	for _, b := range d.batches {
		if b.start >= written {
			d.missed += b.events
		}
	}
	g.opt.Logger.Info("the caller read slowly", "request", logqueue.Text(req.meta.RequestID), "events", req.eventsSent, "not_delivered", d.missed,
		"waited_ms", time.Since(began).Milliseconds(), "err", writeErr)
	if err == nil && writeErr != nil {
		return g.notDelivered(req, writeErr)
	}
	return err
}
