package main

import (
	"bytes"
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// store is a small stand-in for the platform's store: rows, transactions and feeds as
// PROTOCOL.md describes them. It loses nothing and answers at once, but for txTime.
type store struct {
	mu       sync.Mutex
	rows     map[rowID]row
	log      []row // every change, in order
	ver      int64
	changed  chan struct{} // closed and replaced at each change
	started  time.Time
	lastBeat map[string]time.Time // by id of a replica
	entries  map[string][]byte    // without their sequence
	silent   bool                 // calls get no answer, also those that were begun before
}

type rowID struct{ table, part, key string }

type row struct {
	Table     string `json:"table"`
	Part      string `json:"part"`
	Key       string `json:"key"`
	Value     []byte `json:"value"`
	Ver       int64  `json:"ver"`
	Tombstone bool   `json:"tombstone,omitempty"`
}

type rowsAnswer struct {
	Rows      []row `json:"rows"`
	Truncated bool  `json:"truncated"`
	Ver       int64 `json:"ver"`
	NowMS     int64 `json:"now-ms"`
}

const (
	txTime      = 5 * time.Millisecond // tx-ms of the sheets
	heartbeat   = 1200 * time.Millisecond
	expireAfter = 3 * heartbeat // then the entry of a silent replica is removed
	maxRows     = 500
	maxText     = 200 // bytes of a table, a part or a key
)

func newStore() *store {
	s := &store{rows: map[rowID]row{}, changed: make(chan struct{}), started: time.Now(), lastBeat: map[string]time.Time{}, entries: map[string][]byte{}}
	go s.expire()
	return s
}

// serve listens on a loopback address and returns it.
func (s *store) serve() (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /-/rows-get", s.get)
	mux.HandleFunc("POST /-/rows-tx", s.tx)
	mux.HandleFunc("GET /-/rows-feed", s.feed)
	mux.HandleFunc("PUT /replica/{id}", s.putReplica) // how the stand-in replicas register
	go func() { _ = http.Serve(l, s.unlessSilent(mux)) }()
	return l.Addr().String(), nil
}

// unlessSilent leaves calls without an answer that begin or end while the store is silent.
func (s *store) unlessSilent(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s.isSilent() {
			<-r.Context().Done()
			return
		}
		answer := &heldAnswer{header: http.Header{}}
		next.ServeHTTP(answer, r)
		if s.isSilent() {
			<-r.Context().Done()
			return
		}
		for name, values := range answer.header {
			w.Header()[name] = values
		}
		if answer.status != 0 {
			w.WriteHeader(answer.status)
		}
		_, _ = w.Write(answer.body.Bytes())
	})
}

// heldAnswer holds an answer back until it is known whether it may go out.
type heldAnswer struct {
	header http.Header
	status int
	body   bytes.Buffer
}

func (a *heldAnswer) Header() http.Header         { return a.header }
func (a *heldAnswer) WriteHeader(status int)      { a.status = status }
func (a *heldAnswer) Write(p []byte) (int, error) { return a.body.Write(p) }

func (s *store) isSilent() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.silent
}

// setSilent begins or ends an outage of the store.
func (s *store) setSilent(silent bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.silent = silent
	say("store: silent=%v", silent)
}

// apply stores rows, or removes those with Tombstone. s.mu is held.
func (s *store) apply(changes ...row) int64 {
	s.ver++
	for _, r := range changes {
		r.Ver = s.ver
		id := rowID{r.Table, r.Part, r.Key}
		if r.Tombstone {
			delete(s.rows, id)
		} else {
			s.rows[id] = r
		}
		s.log = append(s.log, r)
	}
	close(s.changed)
	s.changed = make(chan struct{})
	return s.ver
}

// put writes a row as the operator does.
func (s *store) put(table, key string, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply(row{Table: table, Key: key, Value: data})
}

// putReplica writes the entry of a replica. Only a change of more than its sequence changes
// the row.
func (s *store) putReplica(w http.ResponseWriter, r *http.Request) {
	var entry map[string]any
	if json.NewDecoder(r.Body).Decode(&entry) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	data, _ := json.Marshal(entry)
	delete(entry, "sequence")
	rest, _ := json.Marshal(entry)
	id := r.PathValue("id")
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, known := s.lastBeat[id]; !known {
		say("store: %s registers", id)
	} else if bytes.Equal(rest, s.entries[id]) {
		s.lastBeat[id] = time.Now()
		return
	}
	s.lastBeat[id], s.entries[id] = time.Now(), rest
	s.apply(row{Table: "servers", Key: id, Value: data})
}

// expire removes the entries of replicas that are silent.
func (s *store) expire() {
	for range time.Tick(50 * time.Millisecond) {
		s.mu.Lock()
		for id, at := range s.lastBeat {
			if time.Since(at) > expireAfter {
				delete(s.lastBeat, id)
				s.apply(row{Table: "servers", Key: id, Tombstone: true})
				say("store: the entry of %s is removed", id)
			}
		}
		s.mu.Unlock()
	}
}

func (s *store) answer(w http.ResponseWriter, status int, rows []row, truncated bool, ver int64) {
	if rows == nil {
		rows = []row{}
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(rowsAnswer{rows, truncated, ver, time.Since(s.started).Milliseconds()})
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	limit, _ := strconv.Atoi(q.Get("limit"))
	if limit <= 0 || limit > maxRows {
		limit = maxRows
	}
	s.mu.Lock()
	var rows []row
	for id, r := range s.rows {
		if id.table == q.Get("table") && id.part == q.Get("part") && id.key >= q.Get("from") && (q.Get("to") == "" || id.key < q.Get("to")) {
			rows = append(rows, r)
		}
	}
	ver := s.ver
	s.mu.Unlock()
	sort.Slice(rows, func(i, j int) bool { return rows[i].Key < rows[j].Key })
	truncated := len(rows) > limit
	s.answer(w, http.StatusOK, rows[:min(len(rows), limit)], truncated, ver)
}

func (s *store) tx(w http.ResponseWriter, r *http.Request) {
	var m struct {
		IfRevision []row `json:"if-revision"`
		Puts       []row `json:"puts"`
		Remove     []row `json:"remove"`
	}
	if json.NewDecoder(r.Body).Decode(&m) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	for _, r := range append(append(append([]row{}, m.IfRevision...), m.Puts...), m.Remove...) {
		if len(r.Table) > maxText || len(r.Part) > maxText || len(r.Key) > maxText {
			say("store: a transaction is refused, as the key %s has %d bytes", r.Key, len(r.Key))
			w.WriteHeader(http.StatusBadRequest)
			return
		}
	}
	time.Sleep(txTime)
	s.mu.Lock()
	var current []row
	failed := false
	for _, c := range m.IfRevision {
		now := s.rows[rowID{c.Table, c.Part, c.Key}]
		failed = failed || now.Ver != c.Ver
		if now.Ver > 0 {
			current = append(current, now)
		}
	}
	if failed {
		ver := s.ver
		s.mu.Unlock()
		s.answer(w, http.StatusPreconditionFailed, current, false, ver)
		return
	}
	for _, c := range m.Remove {
		c.Tombstone = true
		m.Puts = append(m.Puts, c)
	}
	ver := s.apply(m.Puts...)
	s.mu.Unlock()
	s.answer(w, http.StatusOK, nil, false, ver)
}

func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait-ms"))
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		var rows []row // every change, in order
		for _, r := range s.log {
			if r.Table == q.Get("table") && r.Ver > after {
				rows = append(rows, r)
			}
		}
		ver, changed := s.ver, s.changed
		s.mu.Unlock()
		if len(rows) > 0 {
			s.answer(w, http.StatusOK, rows, false, ver)
			return
		}
		select {
		case <-changed:
		case <-timeout:
			s.answer(w, http.StatusOK, nil, false, ver)
			return
		case <-r.Context().Done():
			return
		}
	}
}
