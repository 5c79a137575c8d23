// Package admin contains the message types of the admin API and a client for
// it.
package admin

import (
	"tarragonridge.example/tarragonridge/internal/core/ledger"
	"tarragonridge.example/tarragonridge/internal/core/policy"
)

// BasePath is the path under which routers serve the admin API.
const BasePath = "/admin/v1"

// ChangeResult is the response to every change of the configuration. The change
// is committed; Pending lists the live processes that have not confirmed it
// yet.
type ChangeResult struct {
	Version   int64    `json:"version"`
	Confirmed []string `json:"confirmed"`
	Pending   []string `json:"pending"`
}

// Permissions are the settings of a team that operators can change.
type Permissions struct {
	Workloads     []string `json:"workloads"`       // empty allows all
	Models        []string `json:"models"`          // empty allows all
	MaxConcurrent int      `json:"max_concurrent"`  // per router; 0 means no limit
	RatePerSecond float64  `json:"rate_per_second"` // per router; 0 means no limit
	Disabled      bool     `json:"disabled"`
}

// CreateTeamRequest is the body of a request that creates a team.
type CreateTeamRequest struct {
	Name string `json:"name"`
	Permissions
}

// TeamView is the public form of a team. It omits the digests of the keys.
type TeamView struct {
	Name string `json:"name"`
	Permissions
	Keys []KeyView `json:"keys"`
}

// KeyView is the public form of a key. It omits the digest.
type KeyView struct {
	ID        string `json:"id"`
	CreatedUS int64  `json:"created_us"`
}

// CreatedKey is the response to adding or rotating a key, and the only one that
// contains a key.
type CreatedKey struct {
	ChangeResult
	ID  string `json:"id"`
	Key string `json:"key"`
}

// NewTeamView returns the public form of a team.
func NewTeamView(t policy.Team) TeamView {
	view := TeamView{
		Name: t.Name,
		Permissions: Permissions{
			Workloads: append([]string{}, t.Workloads...), Models: append([]string{}, t.Models...), MaxConcurrent: t.MaxConcurrent,
			RatePerSecond: t.RatePerSecond, Disabled: t.Disabled,
		},
		Keys: make([]KeyView, 0, len(t.Keys)),
	}
	for _, key := range t.Keys {
		view.Keys = append(view.Keys, KeyView{ID: key.ID, CreatedUS: key.CreatedUS})
	}
	return view
}

// Budget is the prepaid budget of a team in tokens. ToppedUp equals the sum of
// Settled, Held and Left.
type Budget struct {
	ToppedUp int64 `json:"topped_up"`
	Settled  int64 `json:"settled"`
	Held     int64 `json:"held"` // granted to routers for current and future requests
	Left     int64 `json:"left"`
}

// TopUpRequest is the body of a request that adds tokens to a budget.
type TopUpRequest struct {
	Tokens int64 `json:"tokens"`
}

// ActivePreset names the active preset.
type ActivePreset struct {
	Preset string `json:"preset"`
}

// Presets holds all presets and the name of the active one.
type Presets struct {
	Active  string                   `json:"active"`
	Presets map[string]policy.Preset `json:"presets"`
}

// Diff lists the differences between a document and the current one, one per
// line.
type Diff struct {
	Version int64    `json:"version"` // of the current document
	Lines   []string `json:"lines"`
}

// LedgerEntry is a run record with the amounts it contributes to the bill. The
// sum of Billed and Lost equals Charged of the record.
type LedgerEntry struct {
	ledger.Record
	Billed int64 `json:"billed"` // tokens
	Lost   int64 `json:"lost"`   // tokens consumed by a run that is not billed, such as one without a complete response
}

// LedgerPage is a page of run records with the sums over it.
type LedgerPage struct {
	Entries []LedgerEntry `json:"entries"`
	Billed  int64         `json:"billed"`         // sum over Entries
	Lost    int64         `json:"lost"`           // sum over Entries
	More    bool          `json:"more"`           // further records follow this page
	Next    string        `json:"next,omitempty"` // cursor of the next page if More is set
}

// HeaderNextCursor is the response header that carries LedgerPage.Next, in
// every format.
const HeaderNextCursor = "X-Next-Cursor"

// Target is a target with its state as known to the responding router.
type Target struct {
	ID            string   `json:"id"`
	Kind          string   `json:"kind"` // engine or service
	Model         string   `json:"model,omitempty"`
	Service       string   `json:"service,omitempty"`
	Adapters      []string `json:"adapters,omitempty"`
	Role          string   `json:"role,omitempty"`
	Host          string   `json:"host"`
	FailureDomain string   `json:"failure_domain"`
	Address       string   `json:"address"` // of the sidecar
	Sidecar       string   `json:"sidecar"` // incarnation of the sidecar
	Connected     bool     `json:"connected"`
	Healthy       bool     `json:"healthy"`
	Leaving       string   `json:"leaving,omitempty"` // source of the report that the target is leaving; empty if it is not leaving
	Running       int      `json:"running"`
	Waiting       int      `json:"waiting"`
	KVUsed        float64  `json:"kv_used"` // share of the KV cache in use, 0 to 1
	Fence         int64    `json:"fence"`   // fencing number of the latest order
}

// DrainRequest is the body of a request that starts or stops draining a target.
// A draining target rejects new work.
type DrainRequest struct {
	Draining bool `json:"draining"`
}

// Order is a command for a target.
type Order struct {
	Action  string `json:"action"` // load_model, load_adapter, unload_adapter, set_role
	Model   string `json:"model,omitempty"`
	Adapter string `json:"adapter,omitempty"`
	Version string `json:"version,omitempty"`
	Role    string `json:"role,omitempty"` // prefill, decode, mixed
}

// OrderResult is the response to an order that the target has applied.
type OrderResult struct {
	Fence int64 `json:"fence"` // fencing number under which the order was applied
}
