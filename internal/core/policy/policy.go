// Package policy defines the configuration that operators can change at run time:
// presets, models, services, workloads, operators and teams.
package policy

// Names of the presets that every document contains.
const (
	PresetOrdinary    = "ordinary"
	PresetPeak        = "peak"
	PresetMaintenance = "maintenance"
)

// TargetChoice is a policy by which a router chooses the target of a request.
type TargetChoice string

// Target choice policies.
const (
	RoundRobin TargetChoice = "round_robin"
	LeastLoad  TargetChoice = "least_load"
	PowerOfTwo TargetChoice = "power_of_two" // the less loaded of two random targets
	Affinity   TargetChoice = "affinity"     // the same target for the same prompt prefix, as far as AffinityLoadBound permits
)

// Document is the configuration without the teams. Each change increments Version
// by one. ActivePreset is the name of an entry of Presets.
type Document struct {
	Version      int64               `json:"version"`
	ActivePreset string              `json:"active_preset"`
	Presets      map[string]Preset   `json:"presets"`
	Models       map[string]Model    `json:"models"`
	Services     map[string]Service  `json:"services"`
	Workloads    map[string]Workload `json:"workloads"`
	Operators    []Operator          `json:"operators"`
}

// CurrentPreset returns the active preset.
func (d *Document) CurrentPreset() Preset { return d.Presets[d.ActivePreset] }

// Preset is a set of scheduling parameters that operators activate as a whole, for
// example at times of peak load.
type Preset struct {
	TargetChoice        TargetChoice `json:"target_choice"`
	AffinityLoadBound   float64      `json:"affinity_load_bound"`   // affinity applies up to this multiple of the mean load; at least 1
	MaxRunsPerTarget    int          `json:"max_runs_per_target"`   // limit on the runs of one router at one target
	QueueLimit          int          `json:"queue_limit"`           // limit on the requests that wait in one router
	AdmissionTimeoutMS  int64        `json:"admission_timeout_ms"`  // longest time that a request waits for its run to start
	MinPriority         int          `json:"min_priority"`          // requests of lower priority are refused as overloaded
	RetryShare          float64      `json:"retry_share"`           // limit on retries as a share of requests, 0 to 1
	DefaultOutputTokens int64        `json:"default_output_tokens"` // output cap of a request that does not set one
}

// Model is a model that targets serve.
type Model struct {
	MaxOutputTokens int64    `json:"max_output_tokens"`
	ContextTokens   int64    `json:"context_tokens"`
	Adapters        []string `json:"adapters,omitempty"`
}

// Service is a target service other than a model, called through the router.
type Service struct {
	PriceTokens int64  `json:"price_tokens"` // per call
	KeyRequired bool   `json:"key_required"` // non-idempotent calls without an idempotency key are refused
	Calls       []Call `json:"calls"`        // first match wins; no match means not idempotent unless GET or HEAD
}

// Call says whether calls with a method and path prefix are idempotent.
type Call struct {
	Method     string `json:"method"`
	PathPrefix string `json:"path_prefix"`
	Idempotent bool   `json:"idempotent"`
}

// Workload is a class of requests that teams may be permitted to send.
type Workload struct {
	Priority  int      `json:"priority"` // 0 to 9; requests of higher priority are served first
	Models    []string `json:"models"`   // empty permits all
	Services  []string `json:"services"` // empty permits all
	TimeoutMS int64    `json:"timeout_ms"`
}

// Operator is a person or program that may use the admin API.
type Operator struct {
	Name      string `json:"name"`
	KeySHA256 string `json:"key_sha256"` // hex
}

// Team is a customer with its own budget.
type Team struct {
	Name          string    `json:"name"`
	Keys          []TeamKey `json:"keys"`
	Workloads     []string  `json:"workloads"`       // empty permits all
	Models        []string  `json:"models"`          // empty permits all
	MaxConcurrent int       `json:"max_concurrent"`  // per router; 0 means no limit
	RatePerSecond float64   `json:"rate_per_second"` // requests per router; 0 means no limit
	Disabled      bool      `json:"disabled"`
}

// TeamKey is a key with which callers authenticate as a team.
type TeamKey struct {
	ID        string `json:"id"`
	SHA256    string `json:"sha256"` // hex
	CreatedUS int64  `json:"created_us"`
}
