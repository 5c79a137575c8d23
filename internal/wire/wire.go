// Package wire defines the messages that the system's own processes exchange.
package wire

import (
	"encoding/json"
	"strconv"

	"tarragonridge.example/tarragonridge/internal/core/era"
	"tarragonridge.example/tarragonridge/internal/core/errkind"
	"tarragonridge.example/tarragonridge/internal/core/hlc"
	"tarragonridge.example/tarragonridge/internal/core/ledger"
	"tarragonridge.example/tarragonridge/internal/core/policy"
	"tarragonridge.example/tarragonridge/internal/core/quarantine"
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

// Header is embedded in almost every message. It spreads the configuration
// version and the hybrid logical clock.
type Header struct {
	ConfigVersion int64     `json:"cv"`
	Stamp         hlc.Stamp `json:"hlc"`
}

// Refusal tells another process why a call was refused.
type Refusal struct {
	Kind     errkind.Kind     `json:"kind"`
	Detail   string           `json:"detail"`
	Document *policy.Document `json:"document,omitempty"` // current configuration, with stale_config only
}

// Hello is the first message of either side of a connection.
type Hello struct {
	Header
	Role        string `json:"role"` // router or sidecar
	Incarnation string `json:"incarnation"`
	Host        string `json:"host"`
	Domain      string `json:"domain"` // failure domain
	Target      string `json:"target,omitempty"`
	Draining    bool   `json:"draining,omitempty"`
}

// Ping shows that a connection delivers data.
type Ping struct {
	Header
	WantReply bool `json:"want,omitempty"` // the receiver answers with a ping
}

// RunKind is the type of target that a run calls.
type RunKind string

// Run kinds.
const (
	CompletionRun RunKind = "completion"
	ServiceRun    RunKind = "service"
)

// StartRun asks a sidecar to run a request once. RunID is unique per attempt.
// Starting the same RunID again attaches to the existing run.
type StartRun struct {
	Header
	ledger.Identity
	RunID       string  `json:"run_id"`
	RequestID   string  `json:"request_id"`
	Holder      string  `json:"holder"` // incarnation of the router whose grant is charged
	Kind        RunKind `json:"kind"`
	Model       string  `json:"model,omitempty"`
	Service     string  `json:"service,omitempty"`
	Workload    string  `json:"workload,omitempty"`
	Method      string  `json:"method"`
	Path        string  `json:"path"` // with query, as sent to the target
	ContentType string  `json:"content_type,omitempty"`
	Body        []byte  `json:"body,omitempty"`
	ContentHash string  `json:"content_hash"` // hex-encoded hash of path and body
	Reserved    int64   `json:"reserved"`     // tokens
	OutputCap   int64   `json:"output_cap"`   // tokens of all choices together
	Priority    int     `json:"priority"`
	Resumable   bool    `json:"resumable"`            // the caller sent an idempotency key: the run goes on without a reader and its answer is kept
	Idempotent  bool    `json:"idempotent,omitempty"` // the service call may be repeated after a failure; completions always may
	Suspect     bool    `json:"suspect,omitempty"`    // the request was in flight when a target crashed
}

// StartRunResult is the result of StartRun.
type StartRunResult struct {
	Header
	Accepted bool     `json:"accepted"`
	Existing bool     `json:"existing,omitempty"` // the run or its identity was already known; RunID is that run
	RunID    string   `json:"run_id,omitempty"`
	Sidecar  string   `json:"sidecar"` // incarnation of the sidecar
	Active   int      `json:"active"`  // runs in progress at the target
	Refusal  *Refusal `json:"refusal,omitempty"`
}

// RunChunk carries a part of an answer. Seq counts the chunks of a run from 0.
// For a completion, Events holds the JSON payloads of the engine's stream. For a
// service, Data holds bytes of the response body.
type RunChunk struct {
	RunID        string            `json:"r"`
	Seq          int64             `json:"s"`
	Events       []json.RawMessage `json:"e,omitempty"`
	Data         []byte            `json:"d,omitempty"`
	PromptTokens int64             `json:"p,omitempty"` // exact count; 0 until it is known
}

// RunEnd ends an answer. The answer is complete only if as many chunks as Chunks
// have arrived and the record's outcome is ledger.Complete or ledger.Capped.
type RunEnd struct {
	Header
	RunID       string        `json:"run_id"`
	Chunks      int64         `json:"chunks"`
	HTTPStatus  int           `json:"http_status,omitempty"` // of a service or a failed engine call
	ContentType string        `json:"content_type,omitempty"`
	Kind        errkind.Kind  `json:"kind,omitempty"` // empty if the answer is complete; no_target means that the target received nothing
	Detail      string        `json:"detail,omitempty"`
	Record      ledger.Record `json:"record"`
	Suspect     bool          `json:"suspect,omitempty"`   // in flight when the target crashed, and no earlier suspect explains the crash
	Active      int           `json:"active"`              // runs still in progress at the target
	Explained   bool          `json:"explained,omitempty"` // in flight when the target crashed, and an earlier suspect explains the crash
	Alone       bool          `json:"alone,omitempty"`     // no other run in flight can explain the crash
}

// AttachRun asks for the run of an identity. With Tombstone, a sidecar that does
// not know the run RunID rejects it from then on.
type AttachRun struct {
	Header
	ledger.Identity
	RunID     string `json:"run_id,omitempty"`
	NextSeq   int64  `json:"next_seq"`        // Seq of the first chunk to send
	Probe     bool   `json:"probe,omitempty"` // return the result only, without sending chunks
	Tombstone bool   `json:"tombstone,omitempty"`
}

// AttachRunResult is the result of AttachRun.
type AttachRunResult struct {
	Header
	Known       bool   `json:"known"`
	Active      bool   `json:"active"`
	Expired     bool   `json:"expired,omitempty"` // the run ended at this sidecar and its answer is no longer kept
	RunID       string `json:"run_id,omitempty"`
	Holder      string `json:"holder,omitempty"`
	ContentHash string `json:"content_hash,omitempty"`
	Sidecar     string `json:"sidecar"` // incarnation of the sidecar
}

// CancelRun asks a sidecar to cancel a run.
type CancelRun struct {
	Header
	RunID string `json:"run_id"`
}

// AckRecords tells a sidecar that records are durable.
type AckRecords struct {
	Header
	RunIDs []string `json:"run_ids"`
}

// FenceHolder asks a sidecar to accept no more runs from a holder.
type FenceHolder struct {
	Header
	Holder string `json:"holder"` // incarnation of a router
}

// FenceHolderResult confirms that the sidecar accepts no more runs from the
// holder. Records are the records of the holder's finished runs that the sidecar
// still keeps. Active holds the IDs of the holder's runs in progress.
type FenceHolderResult struct {
	Header
	Sidecar string          `json:"sidecar"` // incarnation of the sidecar
	Records []ledger.Record `json:"records"`
	Active  []string        `json:"active"`
}

// Order is an order to a target. Fence is its fencing number: a sidecar rejects
// an order whose number is lower than one it has seen.
type Order struct {
	Header
	Fence   int64  `json:"fence"`
	Action  string `json:"action"` // load_model, load_adapter, unload_adapter, set_role
	Model   string `json:"model,omitempty"`
	Adapter string `json:"adapter,omitempty"`
	Version string `json:"version,omitempty"`
	Role    string `json:"role,omitempty"` // prefill, decode, mixed
}

// Reply is the result of calls that return no data.
type Reply struct {
	Header
	Refusal *Refusal `json:"refusal,omitempty"`
}

// SetDraining sets whether a target refuses new runs.
type SetDraining struct {
	Header
	Draining bool `json:"draining"`
}

// ConfigPush sends a configuration to a router or sidecar.
type ConfigPush struct {
	Header
	Document policy.Document `json:"document"`
}

// TeamRow is a team with the version of its row in the table.
type TeamRow struct {
	RowVersion era.Version `json:"row"`
	Team       policy.Team `json:"team"`
}

// TeamsSnapshot holds the teams as routers exchange them.
type TeamsSnapshot struct {
	Version int64     `json:"version"` // configuration version up to which the teams are complete
	Teams   []TeamRow `json:"teams"`
}

// ConfigQuery asks a router for all the configuration that the sender needs to
// serve callers while it can't read the table.
type ConfigQuery struct{ Header }

// ConfigResult is the result of ConfigQuery.
type ConfigResult struct {
	Header
	Document policy.Document `json:"document"`
	Teams    TeamsSnapshot   `json:"teams"`
}

// LoadReport tells routers the state of a target.
type LoadReport struct {
	Header
	Target   string   `json:"target"`
	Active   int      `json:"active"`  // runs in progress, as the sidecar counts them
	Running  int      `json:"running"` // runs in progress, as the target reports them with a lag
	Waiting  int      `json:"waiting"` // runs that wait at the target, as it reports them with a lag
	KVUsed   float64  `json:"kv_used"` // used share of the KV cache, from 0 to 1
	Draining bool     `json:"draining"`
	Healthy  bool     `json:"healthy"` // the target responds
	Models   []string `json:"models,omitempty"`
	Adapters []string `json:"adapters,omitempty"`
	Role     string   `json:"role,omitempty"`
	Service  string   `json:"service,omitempty"`
	// Records are run records that the router is asked to make durable: its
	// own that it has not acknowledged, and those of disconnected routers.
	Records []ledger.Record `json:"records,omitempty"`
}

// ReleaseBudget asks a router to return its idle share of a team's budget.
type ReleaseBudget struct {
	Header
	Team string `json:"team"`
}

// CrashID identifies the crash that ended a run. It is the same for all runs that
// a crash ended, because a sidecar ends them with the same time.
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
	CrashID     string `json:"crash_id"`          // same for all runs that the crash ended
	Alone       bool   `json:"alone"`             // no other run in flight can explain the crash
	Cleared     bool   `json:"cleared,omitempty"` // the request has run without a crash and is no longer suspected
	// Parts are the reports about parts of the request's prompt, or those that no longer
	// hold if Cleared is set.
	Parts []quarantine.PartReport `json:"parts,omitempty"`
}

// TimelineQuery asks a process for timeline events.
type TimelineQuery struct {
	Header
	RequestID string `json:"request_id,omitempty"`
	FromUS    int64  `json:"from_us,omitempty"` // unix time in microseconds
	ToUS      int64  `json:"to_us,omitempty"`   // unix time in microseconds
	Limit     int    `json:"limit,omitempty"`
}

// TimelineEvent is an entry of the timeline.
type TimelineEvent struct {
	Stamp     hlc.Stamp         `json:"stamp"`
	Process   string            `json:"process"` // role and incarnation
	Name      string            `json:"name"`
	RequestID string            `json:"request_id,omitempty"`
	RunID     string            `json:"run_id,omitempty"`
	Team      string            `json:"team,omitempty"`
	Attrs     map[string]string `json:"attrs,omitempty"`
}

// TimelineResult is the result of TimelineQuery.
type TimelineResult struct {
	Header
	Events  []TimelineEvent `json:"events"`
	Dropped int64           `json:"dropped"` // number of events that were overwritten in the ring buffer
}
