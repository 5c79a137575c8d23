// Package admin holds the messages of the admin API and its client.
package admin

import (
	"tarragonridge.example/tarragonridge/internal/core/ledger"
	"tarragonridge.example/tarragonridge/internal/core/policy"
)

// BasePath is the path under which routers serve the admin API.
const BasePath = "/admin/v1"

// ChangeResult answers every change of the configuration. The change is committed;
// Pending lists the live processes that have not confirmed it yet.
type ChangeResult struct {
	Version   int64    `json:"version"`
	Confirmed []string `json:"confirmed"`
	Pending   []string `json:"pending"`
}

// Permissions are the parts of a team that operators set.
type Permissions struct {
	Workloads     []string `json:"workloads"`       // empty permits all
	Models        []string `json:"models"`          // empty permits all
	MaxConcurrent int      `json:"max_concurrent"`  // per router; 0 means no limit
	RatePerSecond float64  `json:"rate_per_second"` // per router; 0 means no limit
	Disabled      bool     `json:"disabled"`
}

// CreateTeamRequest creates a team.
type CreateTeamRequest struct {
	Name string `json:"name"`
	Permissions
}

// TeamView is a team without the digests of its keys.
type TeamView struct {
	Name string `json:"name"`
	Permissions
	Keys []KeyView `json:"keys"`
}

// KeyView is a key without its digest.
type KeyView struct {
	ID        string `json:"id"`
	CreatedUS int64  `json:"created_us"`
}

// CreatedKey is the only answer that contains a key.
type CreatedKey struct {
	ChangeResult
	ID  string `json:"id"`
	Key string `json:"key"`
}

// NewTeamView returns the view of a team.
func NewTeamView(t policy.Team) TeamView {
	v := TeamView{
		Name: t.Name,
		Permissions: Permissions{
			Workloads: append([]string{}, t.Workloads...), Models: append([]string{}, t.Models...), MaxConcurrent: t.MaxConcurrent,
			RatePerSecond: t.RatePerSecond, Disabled: t.Disabled,
		},
		Keys: make([]KeyView, 0, len(t.Keys)),
	}
	for _, k := range t.Keys {
		v.Keys = append(v.Keys, KeyView{ID: k.ID, CreatedUS: k.CreatedUS})
	}
	return v
}

// Budget is the account of a team in tokens. ToppedUp equals the sum of the
// other three.
type Budget struct {
	ToppedUp int64 `json:"topped_up"`
	Settled  int64 `json:"settled"`
	Held     int64 `json:"held"` // at routers, for requests in progress and to come
	Left     int64 `json:"left"`
}

// TopUpRequest adds tokens to a budget.
type TopUpRequest struct {
	Tokens int64 `json:"tokens"`
}

// ActivePreset names the preset in force.
type ActivePreset struct {
	Preset string `json:"preset"`
}

// Presets lists the presets.
type Presets struct {
	Active  string                   `json:"active"`
	Presets map[string]policy.Preset `json:"presets"`
}

// Diff lists the differences from the current document, one per line.
type Diff struct {
	Version int64    `json:"version"` // of the current document
	Lines   []string `json:"lines"`
}

// LedgerEntry is a run record with the amounts it contributes to the bill. Charged
// equals their sum.
type LedgerEntry struct {
	ledger.Record
	Billed int64 `json:"billed"` // tokens
	Lost   int64 `json:"lost"`   // tokens consumed without a whole answer
}

// LedgerPage lists run records.
type LedgerPage struct {
	Entries []LedgerEntry `json:"entries"`
	Billed  int64         `json:"billed"`         // sum over the entries
	Lost    int64         `json:"lost"`           // sum over the entries
	More    bool          `json:"more"`           // the limit cut the list
	Next    string        `json:"next,omitempty"` // cursor of the next page if the limit cut the list
}

// HeaderNextCursor carries Ledger.Next in answers of every format.
const HeaderNextCursor = "X-Next-Cursor"

// Target is a target as the answering router sees it.
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
	Sidecar       string   `json:"sidecar"` // incarnation
	Connected     bool     `json:"connected"`
	Healthy       bool     `json:"healthy"`
	Leaving       string   `json:"leaving,omitempty"` // the source that says so; empty if it stays
	Running       int      `json:"running"`
	Waiting       int      `json:"waiting"`
	KVUsed        float64  `json:"kv_used"` // share, 0 to 1
	Fence         int64    `json:"fence"`   // fencing number of the latest order
}

// DrainRequest sets whether a target refuses new work.
type DrainRequest struct {
	Draining bool `json:"draining"`
}

// Order is an order to a target.
type Order struct {
	Action  string `json:"action"` // load_model, load_adapter, unload_adapter, set_role
	Model   string `json:"model,omitempty"`
	Adapter string `json:"adapter,omitempty"`
	Version string `json:"version,omitempty"`
	Role    string `json:"role,omitempty"` // prefill, decode, mixed
}

// OrderResult answers an order that the target has applied.
type OrderResult struct {
	Fence int64 `json:"fence"` // fencing number under which it ran
}
