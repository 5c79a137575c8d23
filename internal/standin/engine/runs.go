package engine

import (
	"net/http"
	"sync"

	"github.com/labstack/echo/v5"

	"tarragonridge.example/tarragonridge/internal/standin/engine/sim"
)

// Request headers that name a run in the audit.
const (
	HeaderTeam      = "X-Team"
	HeaderRunID     = "X-Run-Id"
	HeaderRequestID = "X-Request-Id"
)

// RunStatus is the state of a run.
type RunStatus string

// Run states.
const (
	RunActive   RunStatus = "active"
	RunFinished RunStatus = "finished"
	RunAborted  RunStatus = "aborted" // by the client, a crash or a fault
)

// RunRecord is the engine's own count of a run.
type RunRecord struct {
	Seq          int64     `json:"seq"` // from 1, in order of start
	Team         string    `json:"team"`
	RunID        string    `json:"run_id"`
	RequestID    string    `json:"request_id"`
	Model        string    `json:"model"`
	PromptTokens int64     `json:"prompt_tokens"`
	CachedTokens int64     `json:"cached_tokens"`
	OutputTokens int64     `json:"output_tokens"` // produced, delivered or not
	Status       RunStatus `json:"status"`
}

// RunList is a page of runs. Dropped is the number of records that no longer
// fit; an audit is complete only if it is 0.
type RunList struct {
	Runs    []RunRecord `json:"runs"`
	Dropped int64       `json:"dropped"`
}

// maxRunPage is the largest and default number of records in an answer.
const maxRunPage = 10_000

// runBook keeps run records in order of start.
type runBook struct {
	mu      sync.Mutex
	limit   int
	records []*RunRecord
	active  map[string]*RunRecord
	next    int64
	dropped int64
}

func newRunBook(limit int) *runBook {
	return &runBook{limit: limit, active: make(map[string]*RunRecord), next: 1}
}

func (b *runBook) start(id string, run RunRecord) {
	b.mu.Lock()
	defer b.mu.Unlock()
	run.Seq = b.next
	run.Status = RunActive
	b.next++
	b.active[id] = &run
	b.records = append(b.records, &run)
	if len(b.records) > b.limit {
		b.records[0] = nil
		b.records = b.records[1:]
		b.dropped++
	}
}

func (b *runBook) token(token sim.Token) {
	b.mu.Lock()
	defer b.mu.Unlock()
	run := b.active[token.ID]
	if run == nil {
		return
	}
	run.OutputTokens++
	run.CachedTokens = int64(token.CachedTokens)
	if token.FinishReason != "" {
		run.Status = RunFinished
		delete(b.active, token.ID)
	}
}

func (b *runBook) end(id string, status RunStatus) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if run := b.active[id]; run != nil {
		run.Status = status
		delete(b.active, id)
	}
}

func (b *runBook) list(after int64, limit int) RunList {
	b.mu.Lock()
	defer b.mu.Unlock()
	list := RunList{Runs: []RunRecord{}, Dropped: b.dropped}
	for _, run := range b.records {
		if run.Seq > after && len(list.Runs) < limit {
			list.Runs = append(list.Runs, *run)
		}
	}
	return list
}

func (s *Server) listRuns(c *echo.Context) error {
	after, limit, err := pageOf(c, maxRunPage)
	if err != nil {
		return err
	}
	return c.JSON(http.StatusOK, s.runs.list(after, limit))
}
