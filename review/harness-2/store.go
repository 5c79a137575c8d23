package main

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// Modes of the store.
const (
	storeServes = "serves"
	storeSilent = "silent" // calls get no answer, on connections that stay open
	storeBusy   = "busy"   // calls get 503
)

// answerTime is how long the store takes for an answer, as on the sheet.
const answerTime = 4 * time.Millisecond

type row struct {
	Table     string `json:"table"`
	Part      string `json:"part"`
	Key       string `json:"key"`
	Value     []byte `json:"value,omitempty"`
	Ver       int64  `json:"ver"`
	Tombstone bool   `json:"tombstone,omitempty"`
}

type rowID struct{ table, part, key string }

// store is a stand-in for the platform's metadata store (PROTOCOL.md). It keeps all of its
// history, so that it never answers 410.
type store struct {
	address string
	start   time.Time

	mu      sync.Mutex
	mode    string
	rows    map[rowID]row
	log     []row // changes in order
	ver     int64
	changed chan struct{} // closed and replaced at each change
}

func newStore() (*store, error) {
	s := &store{start: time.Now(), mode: storeServes, rows: map[rowID]row{}, changed: make(chan struct{})}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s.address = l.Addr().String()
	mux := http.NewServeMux()
	mux.HandleFunc("POST /-/rows-tx", s.tx)
	mux.HandleFunc("GET /-/rows-get", s.get)
	mux.HandleFunc("GET /-/rows-feed", s.feed)
	go http.Serve(l, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s.refuse(w, r) {
			return
		}
		mux.ServeHTTP(w, r)
	}))
	return s, nil
}

func (s *store) setMode(mode string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.mode = mode
	// Watches that wait end as the mode says.
	close(s.changed)
	s.changed = make(chan struct{})
}

// refuse handles a call while the store does not serve, and reports whether it did.
func (s *store) refuse(w http.ResponseWriter, r *http.Request) bool {
	s.mu.Lock()
	mode := s.mode
	s.mu.Unlock()
	switch mode {
	case storeSilent:
		_, _ = io.Copy(io.Discard, r.Body)
		<-r.Context().Done() // the caller gives up
		panic(http.ErrAbortHandler)
	case storeBusy:
		time.Sleep(answerTime)
		w.WriteHeader(http.StatusServiceUnavailable)
		return true
	}
	return false
}

func (s *store) nowMS() int64 { return 1000 + time.Since(s.start).Milliseconds() }

func (s *store) answer(w http.ResponseWriter, status int, m map[string]any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(m)
}

// put writes a row like the operator or a replica; a nil value removes it.
func (s *store) put(table, key string, value []byte) (ver int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ver++
	s.apply(row{Table: table, Key: key, Value: value, Ver: s.ver, Tombstone: value == nil})
	return s.ver
}

func (s *store) apply(r row) {
	id := rowID{r.Table, r.Part, r.Key}
	if r.Tombstone {
		if _, ok := s.rows[id]; !ok {
			return
		}
		delete(s.rows, id)
	} else {
		s.rows[id] = r
	}
	s.log = append(s.log, r)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) tx(w http.ResponseWriter, r *http.Request) {
	var m struct {
		IfRevision []row `json:"if-revision"`
		Puts       []row `json:"puts"`
		Remove     []row `json:"remove"`
	}
	if err := json.NewDecoder(r.Body).Decode(&m); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	time.Sleep(answerTime)
	s.mu.Lock()
	defer s.mu.Unlock()
	failed := false
	current := []row{}
	for _, c := range m.IfRevision {
		now, ok := s.rows[rowID{c.Table, c.Part, c.Key}]
		if now.Ver != c.Ver {
			failed = true
		}
		if ok {
			current = append(current, now)
		}
	}
	if failed {
		s.answer(w, http.StatusPreconditionFailed, map[string]any{"rows": current, "ver": s.ver, "now-ms": s.nowMS()})
		return
	}
	s.ver++
	for _, p := range m.Puts {
		p.Ver = s.ver
		s.apply(p)
	}
	for _, d := range m.Remove {
		s.apply(row{Table: d.Table, Part: d.Part, Key: d.Key, Ver: s.ver, Tombstone: true})
	}
	s.answer(w, http.StatusOK, map[string]any{"ver": s.ver, "now-ms": s.nowMS()})
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	limit, err := strconv.Atoi(q.Get("limit"))
	if err != nil || limit <= 0 || limit > 500 {
		limit = 500
	}
	time.Sleep(answerTime)
	s.mu.Lock()
	defer s.mu.Unlock()
	rows := []row{}
	for id, found := range s.rows {
		if id.table == q.Get("table") && id.part == q.Get("part") && id.key >= q.Get("from") && (q.Get("to") == "" || id.key < q.Get("to")) {
			rows = append(rows, found)
		}
	}
	sort.Slice(rows, func(i, j int) bool { return rows[i].Key < rows[j].Key })
	truncated := len(rows) > limit
	if truncated {
		rows = rows[:limit]
	}
	s.answer(w, http.StatusOK, map[string]any{"rows": rows, "truncated": truncated, "ver": s.ver, "now-ms": s.nowMS()})
}

func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
	waitMS, _ := strconv.Atoi(q.Get("wait-ms"))
	end := time.NewTimer(time.Duration(min(waitMS, 30000)) * time.Millisecond)
	defer end.Stop()
	for over := false; ; {
		s.mu.Lock()
		if s.mode != storeServes {
			s.mu.Unlock()
			s.refuse(w, r)
			return
		}
		newest := map[rowID]row{}
		for i := len(s.log) - 1; i >= 0 && s.log[i].Ver > after; i-- {
			c := s.log[i]
			id := rowID{c.Table, c.Part, c.Key}
			if _, ok := newest[id]; !ok && c.Table == q.Get("table") {
				newest[id] = c
			}
		}
		ver, now, changed := s.ver, s.nowMS(), s.changed
		s.mu.Unlock()
		if len(newest) > 0 || over {
			rows := []row{}
			for _, c := range newest {
				rows = append(rows, c)
			}
			sort.Slice(rows, func(i, j int) bool { return rows[i].Ver < rows[j].Ver })
			time.Sleep(answerTime)
			s.answer(w, http.StatusOK, map[string]any{"rows": rows, "ver": ver, "now-ms": now})
			return
		}
		select {
		case <-changed:
		case <-end.C:
			over = true
		case <-r.Context().Done():
			return
		}
	}
}
