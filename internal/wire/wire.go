// Package wire holds the typed messages between the system's own processes.
package wire

import (
	"encoding/json"
	"strconv"

	"tarragonridge.example/tarragonridge/internal/core/errkind"
	"tarragonridge.example/tarragonridge/internal/core/hlc"
	"tarragonridge.example/tarragonridge/internal/core/ledger"
	"tarragonridge.example/tarragonridge/internal/core/policy"
)

// Methods between routers and sidecars.
const (
	MethodHello         = "hello"
	MethodPing          = "ping"
	MethodRunStart      = "run.start"
	MethodRunChunk      = "run.chunk" // notification
	MethodRunEnd        = "run.end"   // notification
	MethodRunAttach     = "run.attach"
	MethodRunCancel     = "run.cancel" // notification
	MethodRunAck        = "run.ack"    // notification
	MethodHolderFence   = "holder.fence"
	MethodOrderApply    = "order.apply"
	MethodTargetDrain   = "target.drain"
	MethodConfigPush    = "config.push"
	MethodLoadReport    = "load.report" // notification
	MethodTimelineQuery = "timeline.query"
)

// Methods between routers.
const (
	MethodTableGet         = "table.get"
	MethodTableScan        = "table.scan"
	MethodTableCommit      = "table.commit"
	MethodBudgetRelease    = "budget.release"
	MethodConfigTeams      = "config.teams"
	MethodQuarantineReport = "quarantine.report" // notification
)

// Header is part of every message.
type Header struct {
	ConfigVersion int64     `json:"cv"`
	Stamp         hlc.Stamp `json:"hlc"`
}

// Refusal is a refusal between processes.
type Refusal struct {
	Kind     errkind.Kind     `json:"kind"`
	Detail   string           `json:"detail"`
	Document *policy.Document `json:"document,omitempty"` // with stale_config
}

// Hello opens a connection in both directions.
type Hello struct {
	Header
	Role        string `json:"role"` // router or sidecar
	Incarnation string `json:"incarnation"`
	Host        string `json:"host"`
	Domain      string `json:"domain"` // failure domain
	Target      string `json:"target,omitempty"`
	Draining    bool   `json:"draining,omitempty"`
}

// Ping shows that a connection works.
type Ping struct {
	Header
	WantReply bool `json:"want,omitempty"` // the receiver answers with a ping
}

// RunKind says what a run calls.
type RunKind string

// Run kinds.
const (
	CompletionRun RunKind = "completion"
	ServiceRun    RunKind = "service"
)

// StartRun asks a sidecar to run a request once. RunID is unique per attempt;
// a repeat of it attaches to the same run.
type StartRun struct {
	Header
	ledger.Identity
	RunID       string  `json:"run_id"`
	RequestID   string  `json:"request_id"`
	Holder      string  `json:"holder"`
	Kind        RunKind `json:"kind"`
	Model       string  `json:"model,omitempty"`
	Service     string  `json:"service,omitempty"`
	Workload    string  `json:"workload,omitempty"`
	Method      string  `json:"method"`
	Path        string  `json:"path"` // with query, as the target sees it
	ContentType string  `json:"content_type,omitempty"`
	Body        []byte  `json:"body,omitempty"`
	ContentHash string  `json:"content_hash"` // hex of a hash of path and body
	Reserved    int64   `json:"reserved"`     // tokens
	OutputCap   int64   `json:"output_cap"`   // tokens over all choices
	Priority    int     `json:"priority"`
	Resumable   bool    `json:"resumable"`            // the caller gave a key: keep running without a reader, keep the answer
	Idempotent  bool    `json:"idempotent,omitempty"` // the service call may be repeated after a failure; completions always may
	Suspect     bool    `json:"suspect,omitempty"`    // was in flight when a target crashed
}

// StartRunResult answers StartRun.
type StartRunResult struct {
	Header
	Accepted bool     `json:"accepted"`
	Existing bool     `json:"existing,omitempty"` // the run or its identity was known already; RunID names it
	RunID    string   `json:"run_id,omitempty"`
	Sidecar  string   `json:"sidecar"` // sidecar incarnation
	Active   int      `json:"active"`  // runs in progress at the target
	Refusal  *Refusal `json:"refusal,omitempty"`
}

// RunChunk carries a part of an answer. Seq counts from 0 per run. For a
// completion, Events holds the JSON payloads of the engine's stream; for a
// service, Data holds bytes of the body.
type RunChunk struct {
	RunID        string            `json:"r"`
	Seq          int64             `json:"s"`
	Events       []json.RawMessage `json:"e,omitempty"`
	Data         []byte            `json:"d,omitempty"`
	PromptTokens int64             `json:"p,omitempty"` // exact count, once known
}

// RunEnd closes an answer. The answer is whole only if Chunks chunks have arrived
// and the record's outcome is whole or capped.
type RunEnd struct {
	Header
	RunID       string        `json:"run_id"`
	Chunks      int64         `json:"chunks"`
	HTTPStatus  int           `json:"http_status,omitempty"` // of a service or a failed engine call
	ContentType string        `json:"content_type,omitempty"`
	Kind        errkind.Kind  `json:"kind,omitempty"` // unless the answer is complete; no_target means that the target received nothing
	Detail      string        `json:"detail,omitempty"`
	Record      ledger.Record `json:"record"`
	Suspect     bool          `json:"suspect,omitempty"`   // in flight when the target crashed, and no run that was a suspect before can explain it
	Active      int           `json:"active"`              // runs still in progress at the target
	Explained   bool          `json:"explained,omitempty"` // in flight when the target crashed, and an earlier suspect explains it
	Alone       bool          `json:"alone,omitempty"`     // nothing else in flight can explain the crash
}

// AttachRun asks for the run of an identity. If Tombstone names a run that the
// sidecar does not know, the sidecar rejects that run for ever.
type AttachRun struct {
	Header
	ledger.Identity
	RunID     string `json:"run_id,omitempty"`
	NextSeq   int64  `json:"next_seq"`
	Probe     bool   `json:"probe,omitempty"` // answer only, send no chunks
	Tombstone bool   `json:"tombstone,omitempty"`
}

// AttachRunResult answers Attach.
type AttachRunResult struct {
	Header
	Known       bool   `json:"known"`
	Active      bool   `json:"active"`
	Expired     bool   `json:"expired,omitempty"` // the run ended here and its answer is no longer kept
	RunID       string `json:"run_id,omitempty"`
	Holder      string `json:"holder,omitempty"`
	ContentHash string `json:"content_hash,omitempty"`
	Sidecar     string `json:"sidecar"`
}

// CancelRun names a run in a cancel notification.
type CancelRun struct {
	Header
	RunID string `json:"run_id"`
}

// AckRecords tells a sidecar that records are durable.
type AckRecords struct {
	Header
	RunIDs []string `json:"run_ids"`
}

// FenceHolder asks a sidecar to promise that it accepts no more work from a holder.
type FenceHolder struct {
	Header
	Holder string `json:"holder"`
}

// FenceHolderResult is the promise. Records are the finished runs of the holder that
// the sidecar still keeps; Active are the runs still in progress.
type FenceHolderResult struct {
	Header
	Sidecar string          `json:"sidecar"`
	Records []ledger.Record `json:"records"`
	Active  []string        `json:"active"`
}

// Order is an order to a target under a fencing number.
type Order struct {
	Header
	Fence   int64  `json:"fence"`
	Action  string `json:"action"` // load_model, load_adapter, unload_adapter, set_role
	Model   string `json:"model,omitempty"`
	Adapter string `json:"adapter,omitempty"`
	Version string `json:"version,omitempty"`
	Role    string `json:"role,omitempty"` // prefill, decode, mixed
}

// Reply answers calls that have no result of their own.
type Reply struct {
	Header
	Refusal *Refusal `json:"refusal,omitempty"`
}

// SetDraining sets whether a target refuses new work.
type SetDraining struct {
	Header
	Draining bool `json:"draining"`
}

// ConfigPush spreads a configuration.
type ConfigPush struct {
	Header
	Document policy.Document `json:"document"`
}

// TeamRow is a team with the version of its row in the table.
type TeamRow struct {
	RowVersion int64       `json:"row"`
	Team       policy.Team `json:"team"`
}

// TeamsSnapshot is the exchange form of the teams between routers.
type TeamsSnapshot struct {
	Version int64     `json:"version"` // configuration version up to which the teams are complete
	Teams   []TeamRow `json:"teams"`
}

// ConfigQuery asks a router for all that it needs to serve callers when the
// table cannot be read.
type ConfigQuery struct{ Header }

// ConfigResult answers ConfigQuery.
type ConfigResult struct {
	Header
	Document policy.Document `json:"document"`
	Teams    TeamsSnapshot   `json:"teams"`
}

// LoadReport tells routers about a target.
type LoadReport struct {
	Header
	Target   string   `json:"target"`
	Active   int      `json:"active"`  // runs in progress, as the sidecar counts them
	Running  int      `json:"running"` // as the target reports, with a lag
	Waiting  int      `json:"waiting"`
	KVUsed   float64  `json:"kv_used"` // share, 0 to 1
	Draining bool     `json:"draining"`
	Healthy  bool     `json:"healthy"` // the target answers
	Models   []string `json:"models,omitempty"`
	Adapters []string `json:"adapters,omitempty"`
	Role     string   `json:"role,omitempty"`
	Service  string   `json:"service,omitempty"`
	// Records are finished runs whose router is not connected.
	Records []ledger.Record `json:"records,omitempty"`
}

// ReleaseBudget asks a router to return its idle share of a team's budget.
type ReleaseBudget struct {
	Header
	Team string `json:"team"`
}

// CrashID names the crash that ended a run. A sidecar ends all runs of a crash at
// the same moment.
func (e RunEnd) CrashID() string {
	return e.Record.Sidecar + "/" + strconv.FormatInt(e.Record.EndedUS, 10)
}

// QuarantineReport tells a router about a request that crashed a target.
type QuarantineReport struct {
	Header
	Team        string `json:"team"`
	ContentHash string `json:"content_hash"`
	RunID       string `json:"run_id"`
	Target      string `json:"target"`
	CrashID     string `json:"crash_id"` // the same for all runs that a crash ended
	Alone       bool   `json:"alone"`
	Cleared     bool   `json:"cleared,omitempty"` // the request has run well and is no suspect any more
}

// TimelineQuery asks for events of a process.
type TimelineQuery struct {
	Header
	RequestID string `json:"request_id,omitempty"`
	FromUS    int64  `json:"from_us,omitempty"`
	ToUS      int64  `json:"to_us,omitempty"`
	Limit     int    `json:"limit,omitempty"`
}

// TimelineEvent is an entry of the time line.
type TimelineEvent struct {
	Stamp     hlc.Stamp         `json:"stamp"`
	Process   string            `json:"process"` // role and incarnation
	Name      string            `json:"name"`
	RequestID string            `json:"request_id,omitempty"`
	RunID     string            `json:"run_id,omitempty"`
	Team      string            `json:"team,omitempty"`
	Attrs     map[string]string `json:"attrs,omitempty"`
}

// TimelineResult answers TimelineQuery.
type TimelineResult struct {
	Header
	Events  []TimelineEvent `json:"events"`
	Dropped int64           `json:"dropped"` // events that no longer fit the ring
}
