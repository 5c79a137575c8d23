package engine

import (
	"net/http"
	"sync"

	"github.com/labstack/echo/v5"

	"tarragonridge.example/tarragonridge/internal/standin/engine/sim"
)

// Request headers that identify a run in its record.
const (
	HeaderTeam      = "X-Team"
	HeaderRunID     = "X-Run-Id"
	HeaderRequestID = "X-Request-Id"
)

// RunStatus is the status of a run.
type RunStatus string

// Run statuses.
const (
	RunActive   RunStatus = "active"
	RunFinished RunStatus = "finished"
	RunAborted  RunStatus = "aborted" // by the client, a crash or a fault
)

// RunRecord is the engine's own record of a run and its token counts.
type RunRecord struct {
	Seq          int64     `json:"seq"` // counts up from 1 in order of start
	Team         string    `json:"team"`
	RunID        string    `json:"run_id"`
	RequestID    string    `json:"request_id"`
	Model        string    `json:"model"`
	PromptTokens int64     `json:"prompt_tokens"`
	CachedTokens int64     `json:"cached_tokens"`
	OutputTokens int64     `json:"output_tokens"` // produced, whether or not the client received them
	Status       RunStatus `json:"status"`
}

// RunList is the response to GET /control/runs, a page of run records. Dropped is
// the number of records dropped because of Config.RunLimit; an audit is complete
// only if it is 0.
type RunList struct {
	Runs    []RunRecord `json:"runs"`
	Dropped int64       `json:"dropped"`
}

// maxRunPage is the default and largest number of records in a response.
const maxRunPage = 10_000

// runLog keeps the latest run records in order of start.
type runLog struct {
	mu      sync.Mutex
	limit   int // number of records kept
	records []*RunRecord
	active  map[string]*RunRecord // by sequence ID
	nextSeq int64                 // Seq of the next record
	dropped int64
}

func newRunLog(limit int) *runLog {
	return &runLog{limit: limit, active: make(map[string]*RunRecord), nextSeq: 1}
}

func (l *runLog) start(id string, run RunRecord) {
	l.mu.Lock()
	defer l.mu.Unlock()
	run.Seq = l.nextSeq
	run.Status = RunActive
	l.nextSeq++
	l.active[id] = &run
	l.records = append(l.records, &run)
	if len(l.records) > l.limit {
		l.records[0] = nil
		l.records = l.records[1:]
		l.dropped++
	}
}

func (l *runLog) recordToken(token sim.Token) {
	l.mu.Lock()
	defer l.mu.Unlock()
	run := l.active[token.ID]
	if run == nil {
		return
	}
	run.OutputTokens++
	run.CachedTokens = int64(token.CachedTokens)
	if token.FinishReason != "" {
		run.Status = RunFinished
		delete(l.active, token.ID)
	}
}

func (l *runLog) end(id string, status RunStatus) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if run := l.active[id]; run != nil {
		run.Status = status
		delete(l.active, id)
	}
}

func (l *runLog) list(after int64, limit int) RunList {
	l.mu.Lock()
	defer l.mu.Unlock()
	list := RunList{Runs: []RunRecord{}, Dropped: l.dropped}
	for _, run := range l.records {
		if run.Seq > after && len(list.Runs) < limit {
			list.Runs = append(list.Runs, *run)
		}
	}
	return list
}

func (s *Server) listRuns(c *echo.Context) error {
	after, limit, err := pageParams(c, maxRunPage)
	if err != nil {
		return err
	}
	return c.JSON(http.StatusOK, s.runs.list(after, limit))
}
