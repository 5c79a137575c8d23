package gateway

import (
	"net/http"

	"tarragonridge.example/tarragonridge/internal/callers"
	"tarragonridge.example/tarragonridge/internal/core/errkind"
	"tarragonridge.example/tarragonridge/internal/upstream"
)

// The end of the connection is all that ends an answer that has neither a length nor
// chunks, so that one which is cut off would look complete. Such an answer begins with
// SO_LINGER set to 0: then every end of the connection is a reset, also one by the kernel
// after the process was killed. Once the connection has taken the whole answer, the option
// is removed (callers.LingerReset).

// framing says what ends an answer, in one word for logs and metrics.
type framing string

const (
	framingNone       framing = "none" // there was no answer
	framingLength     framing = "length"
	framingChunks     framing = "chunks"
	framingConnection framing = "connection"
)

// framingOf returns what ends a target's answer.
func framingOf(answer *upstream.Response) framing {
	switch {
	case !answer.Framed():
		return framingConnection
	case answer.Chunked():
		return framingChunks
	}
	return framingLength
}

// beginAnswer records how the answer to the caller ends, before its head is sent. hasLength
// says that the head states a length.
func (g *Gateway) beginAnswer(req *request, answer *upstream.Response, hasLength bool) {
	req.headSent, req.framed = true, answer.Framed()
	req.endsWithConn = !hasLength && !(answer.Framed() && req.chunks)
	switch {
	case req.endsWithConn:
		req.callerFraming = framingConnection
	case hasLength:
		req.callerFraming = framingLength
	default:
		req.callerFraming = framingChunks
	}
	if !req.endsWithConn || req.delivery.conn == nil {
		return
	}
	if err := req.delivery.conn.SetLinger(callers.LingerReset); err != nil {
		g.opt.Logger.Debug("failed to make the end of a caller's connection a reset", "err", err)
	}
}

// flushLast hands the rest of an answer that ends with its connection over to the
// connection. It returns the error of the request.
func (g *Gateway) flushLast(w http.ResponseWriter, req *request, err error) error {
	if err != nil || !req.endsWithConn {
		return err
	}
	if flushErr := http.NewResponseController(w).Flush(); flushErr != nil {
		return g.notDelivered(req, flushErr)
	}
	return nil
}

// endWithoutReset makes the end of the caller's connection a plain one again, after it has
// taken the whole answer.
func (g *Gateway) endWithoutReset(req *request) error {
	if !req.endsWithConn || req.delivery.conn == nil {
		return nil
	}
	if err := req.delivery.conn.SetLinger(callers.LingerDefault); err != nil {
		return g.notDelivered(req, err)
	}
	return nil
}

// notDelivered returns the error of a request whose caller did not get the whole answer.
func (g *Gateway) notDelivered(req *request, cause error) error {
	e := errkind.Wrap(cause, errkind.Canceled, "the caller did not read the answer")
	e.Ran = req.ran
	return e
}
