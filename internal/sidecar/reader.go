package sidecar

import (
	"context"
	"time"

	"tarragonridge.example/tarragonridge/internal/rpc"
	"tarragonridge.example/tarragonridge/internal/wire"
)

// readerKey identifies a reader. A connection has at most one reader per run.
type readerKey struct {
	conn  *rpc.Conn
	runID string
}

// reader sends the buffered answer of a run to a connection. It reads from the
// run's buffer and has no queue of its own, so a slow connection delays neither
// the target nor other readers.
type reader struct {
	key     readerKey
	nextSeq int64 // sequence number of the next chunk
	cancel  context.CancelFunc
}

// addReader starts a reader and replaces an earlier one of the same connection
// and run. The caller holds s.mu.
func (s *Server) addReader(c *rpc.Conn, runID string, nextSeq int64) {
	if s.peers[c] == nil {
		return // the connection has closed; the router attaches again
	}
	ctx, cancel := context.WithCancel(context.Background())
	r := &reader{key: readerKey{c, runID}, nextSeq: nextSeq, cancel: cancel}
	if previous := s.readers[r.key]; previous != nil {
		previous.cancel()
	}
	s.readers[r.key] = r
	s.runTable.AddReader(runID)
	s.background.Add(1)
	go func() {
		defer s.background.Done()
		defer cancel()
		s.sendAnswer(ctx, r)
		s.removeReader(r)
	}()
}

func (s *Server) removeReader(r *reader) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runTable.RemoveReader(time.Now(), r.key.runID)
	if s.readers[r.key] == r {
		delete(s.readers, r.key)
	}
}

// sendAnswer sends chunks until the answer ends, the connection ends or ctx is
// done.
func (s *Server) sendAnswer(ctx context.Context, r *reader) {
	for ctx.Err() == nil {
		chunks, end, changed := s.readUnsent(r)
		for i := range chunks {
			if r.key.conn.Notify(ctx, wire.MethodRunChunk, &chunks[i]) != nil {
				return
			}
			r.nextSeq = chunks[i].Seq + 1
		}
		if end != nil {
			end.Header = s.header()
			_ = r.key.conn.Notify(ctx, wire.MethodRunEnd, *end)
			return
		}
		if changed == nil {
			return // the answer is no longer kept
		}
		select {
		case <-changed:
		case <-ctx.Done():
		case <-r.key.conn.Done():
			return
		}
	}
}

// readUnsent returns the chunks that the reader has not sent yet, and the end if
// the run has ended. Otherwise the channel is closed when there is more; it is
// nil if the answer is no longer kept.
func (s *Server) readUnsent(r *reader) ([]wire.RunChunk, *wire.RunEnd, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	chunks, end, err := s.runTable.Read(r.key.runID, r.nextSeq)
	if err != nil {
		return nil, nil, nil
	}
	if end != nil {
		copied := *end
		copied.Active = s.runTable.ActiveCount()
		return chunks, &copied, nil
	}
	active := s.runs[r.key.runID]
	if active == nil {
		return chunks, nil, nil
	}
	return chunks, nil, active.changed
}

// Opened implements rpc.Handler.
func (s *Server) Opened(c *rpc.Conn) {
	s.observeHeader(c.Peer().Header)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.addPeer(c)
}

// Closed implements rpc.Handler.
func (s *Server) Closed(c *rpc.Conn, err error) {
	s.log.Debug("connection closed", "peer", c.Peer().Incarnation, "err", err)
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.peers, c)
	for key, r := range s.readers {
		if key.conn == c {
			r.cancel()
		}
	}
}
