package gateway

import (
	"context"
	"time"

	"tarragonridge.example/tarragonridge/internal/upstream"
)

const (
	// ordinaryAnswerBytes is what a target may send as its answer before the rest waits for
	// others on the link.
	ordinaryAnswerBytes = 32 << 10
	// minLongWait is the least wait that is worth a timer.
	minLongWait = 2 * time.Millisecond
)

// answerPace makes a long answer use only what the link has left. It counts what its target
// sends, as far as that was read; no more than that is sent to the caller.
type answerPace struct {
	gateway *Gateway
	ctx     context.Context
	answer  *upstream.Response
	counted int64 // bytes that the connection had received
	total   int64 // of them, those of the answer
	sent    int64 // to the caller, of what was read at once
	wait    time.Duration
}

// paceAnswer returns the pace of an answer of which the head was read.
func (g *Gateway) paceAnswer(ctx context.Context, answer *upstream.Response) *answerPace {
	return &answerPace{gateway: g, ctx: ctx, answer: answer, counted: answer.Received()}
}

// Read reads from the body of the answer once the link has room for what was read before.
func (p *answerPace) Read(b []byte) (int, error) {
	p.await()
	n, err := p.answer.Body.Read(b)
	p.count()
	return n, err
}

// count counts what was received since the last call.
func (p *answerPace) count() {
	received := p.answer.Received()
	bytes := received - p.counted
	p.counted = received
	if p.total += bytes; p.total <= ordinaryAnswerBytes || bytes == 0 {
		return
	}
	p.wait += p.gateway.room.passLong(bytes)
}

// await waits until the link has room for what was counted, or the request ends. It returns
// how long that took.
func (p *answerPace) await() time.Duration {
	if p.wait < minLongWait {
		return 0
	}
	began := time.Now()
	timer := time.NewTimer(p.wait)
	defer timer.Stop()
	p.wait = 0
	select {
	case <-timer.C:
	case <-p.ctx.Done():
	}
	return time.Since(began)
}

// awaitSend waits until the link has room for bytes that were kept until now, and are sent to
// the caller at once.
func (p *answerPace) awaitSend(bytes int64) {
	if p.sent += bytes; p.sent > ordinaryAnswerBytes {
		p.wait += p.gateway.room.passLong(bytes)
		p.await()
	}
}

// passLong lets bytes of a long answer pass, and returns how long they must wait for it.
func (h *hostRoom) passLong(bytes int64) time.Duration {
	if h == nil {
		return 0
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	pace := h.host.Pace()
	if pace == nil {
		return 0
	}
	now := time.Now()
	h.recordSent(now, pace)
	return pace.PassLong(now, bytes)
}
