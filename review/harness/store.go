package main

import (
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Row is a row of the store (PROTOCOL.md, "The platform's metadata store").
type Row struct {
	Table     string `json:"table"`
	Part      string `json:"part"`
	Key       string `json:"key"`
	Value     []byte `json:"value,omitempty"`
	Ver       int64  `json:"ver"`
	Tombstone bool   `json:"tombstone,omitempty"`
}

type rowID struct{ table, part, key string }

// Store is a sound stand-in of the platform's store: linearizable, no faults, 4 ms an
// answer.
type Store struct {
	Address string

	mu      sync.Mutex
	rows    map[rowID]Row
	changes []Row
	version int64
	changed chan struct{}
	began   time.Time
	down    bool // answers 503
}

// StartStore listens on a free port of an address.
func StartStore(ip string) (*Store, error) {
	ln, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return nil, err
	}
	s := &Store{Address: ln.Addr().String(), rows: map[rowID]Row{}, version: 1, changed: make(chan struct{}), began: time.Now()}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /-/rows-tx", s.tx)
	mux.HandleFunc("GET /-/rows-get", s.get)
	mux.HandleFunc("GET /-/rows-feed", s.feed)
	go http.Serve(ln, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		down := s.down
		s.mu.Unlock()
		if down {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		mux.ServeHTTP(w, r)
	}))
	return s, nil
}

// SetDown makes the store answer 503.
func (s *Store) SetDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
	close(s.changed)
	s.changed = make(chan struct{})
}

// Put writes rows as the operator or a replica does.
func (s *Store) Put(rows ...Row) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply(rows, nil)
}

// PutJSON writes a row with an empty part whose value is JSON.
func (s *Store) PutJSON(table, key string, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.Put(Row{Table: table, Key: key, Value: data})
}

// Remove removes a row with an empty part.
func (s *Store) Remove(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply(nil, []Row{{Table: table, Key: key}})
}

func (s *Store) apply(puts, removes []Row) {
	s.version++
	for _, r := range puts {
		r.Ver = s.version
		s.rows[rowID{r.Table, r.Part, r.Key}] = r
		s.changes = append(s.changes, r)
	}
	for _, r := range removes {
		delete(s.rows, rowID{r.Table, r.Part, r.Key})
		s.changes = append(s.changes, Row{Table: r.Table, Part: r.Part, Key: r.Key, Ver: s.version, Tombstone: true})
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Store) respond(w http.ResponseWriter, status int, rows []Row, truncated bool) {
	if rows == nil {
		rows = []Row{}
	}
	body, _ := json.Marshal(map[string]any{"rows": rows, "truncated": truncated, "ver": s.version, "now-ms": time.Since(s.began).Milliseconds() + 1})
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	w.Write(body)
}

const storeLatency = 4 * time.Millisecond

func (s *Store) tx(w http.ResponseWriter, r *http.Request) {
	var m struct {
		IfRevision []Row `json:"if-revision"`
		Puts       []Row `json:"puts"`
		Remove     []Row `json:"remove"`
	}
	if err := json.NewDecoder(r.Body).Decode(&m); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	time.Sleep(storeLatency)
	s.mu.Lock()
	defer s.mu.Unlock()
	parts := map[string]bool{}
	for _, row := range slices.Concat(m.IfRevision, m.Puts, m.Remove) {
		parts[row.Part] = true
	}
	for _, row := range slices.Concat(m.Puts, m.Remove) {
		if row.Table == "op" || row.Table == "servers" {
			w.WriteHeader(http.StatusForbidden)
			return
		}
	}
	if len(parts) > 1 || len(m.IfRevision)+len(m.Puts)+len(m.Remove) > 100 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	var current []Row
	ok := true
	for _, c := range m.IfRevision {
		row, found := s.rows[rowID{c.Table, c.Part, c.Key}]
		if found {
			current = append(current, row)
		}
		ok = ok && row.Ver == c.Ver
	}
	if !ok {
		s.respond(w, http.StatusPreconditionFailed, current, false)
		return
	}
	s.apply(m.Puts, m.Remove)
	s.respond(w, http.StatusOK, nil, false)
}

func (s *Store) get(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	limit := 500
	if n, err := strconv.Atoi(q.Get("limit")); err == nil && n > 0 {
		limit = min(n, 500)
	}
	time.Sleep(storeLatency)
	s.mu.Lock()
	defer s.mu.Unlock()
	var rows []Row
	for _, row := range s.rows {
		if row.Table == q.Get("table") && row.Part == q.Get("part") && row.Key >= q.Get("from") && (q.Get("to") == "" || row.Key < q.Get("to")) {
			rows = append(rows, row)
		}
	}
	slices.SortFunc(rows, func(a, b Row) int { return strings.Compare(a.Key, b.Key) })
	s.respond(w, http.StatusOK, rows[:min(len(rows), limit)], len(rows) > limit)
}

func (s *Store) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
	waitMS, _ := strconv.Atoi(q.Get("wait-ms"))
	deadline := time.After(time.Duration(waitMS) * time.Millisecond)
	expired := false
	time.Sleep(storeLatency)
	for {
		s.mu.Lock()
		first, _ := slices.BinarySearchFunc(s.changes, after+1, func(row Row, v int64) int { return int(row.Ver - v) })
		var rows []Row
		for _, row := range s.changes[first:] {
			if row.Table == q.Get("table") && row.Part == q.Get("part") {
				rows = append(rows, row)
			}
		}
		if q.Get("part") == "" { // the feed names a table only
			rows = nil
			for _, row := range s.changes[first:] {
				if row.Table == q.Get("table") {
					rows = append(rows, row)
				}
			}
		}
		changed := s.changed
		if len(rows) > 0 || expired {
			s.respond(w, http.StatusOK, rows, false)
			s.mu.Unlock()
			return
		}
		s.mu.Unlock()
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-deadline:
			expired = true
		}
	}
}
