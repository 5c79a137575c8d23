package sidecar

import (
	"context"
	"time"

	"tarragonridge.example/tarragonridge/internal/rpc"
	"tarragonridge.example/tarragonridge/internal/wire"
)

// readerKey names a reader: a connection reads a run at most once at a time.
type readerKey struct {
	conn  *rpc.Conn
	runID string
}

// reader sends the buffer of a run to a connection. The buffer is its queue,
// so a slow connection delays neither the target nor other readers.
type reader struct {
	key    readerKey
	next   int64 // sequence number of the next chunk
	cancel context.CancelFunc
}

// addReader starts a reader, in place of an earlier one of the same
// connection. The caller holds s.mu.
func (s *Server) addReader(c *rpc.Conn, runID string, next int64) {
	if s.peers[c] == nil {
		return // the connection has ended; the router attaches again
	}
	ctx, cancel := context.WithCancel(context.Background())
	r := &reader{key: readerKey{c, runID}, next: next, cancel: cancel}
	if old := s.readers[r.key]; old != nil {
		old.cancel()
	}
	s.readers[r.key] = r
	s.table.ReaderAttached(runID)
	s.work.Add(1)
	go func() {
		defer s.work.Done()
		defer cancel()
		s.send(ctx, r)
		s.removeReader(r)
	}()
}

func (s *Server) removeReader(r *reader) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.table.ReaderDetached(time.Now(), r.key.runID)
	if s.readers[r.key] == r {
		delete(s.readers, r.key)
	}
}

// send passes chunks on until the end of the answer, the end of the
// connection or ctx.
func (s *Server) send(ctx context.Context, r *reader) {
	for ctx.Err() == nil {
		chunks, end, changed := s.pending(r)
		for i := range chunks {
			if r.key.conn.Notify(ctx, wire.MethodRunChunk, &chunks[i]) != nil {
				return
			}
			r.next = chunks[i].Seq + 1
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

// pending returns what the reader has not sent yet. Without an end, changed
// is closed when there is more.
func (s *Server) pending(r *reader) ([]wire.RunChunk, *wire.RunEnd, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	chunks, end, err := s.table.Read(r.key.runID, r.next)
	if err != nil {
		return nil, nil, nil
	}
	if end != nil {
		copied := *end
		copied.Active = s.table.ActiveCount()
		return chunks, &copied, nil
	}
	live := s.runs[r.key.runID]
	if live == nil {
		return chunks, nil, nil
	}
	return chunks, nil, live.changed
}

// Opened implements rpc.Handler.
func (s *Server) Opened(c *rpc.Conn) {
	s.observe(c.Peer().Header)
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
