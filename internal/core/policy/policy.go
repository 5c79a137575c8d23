// Package policy holds the configuration that operators change at run time:
// presets, models, services, workloads and teams.
package policy

// Names of the presets that every document contains.
const (
	PresetOrdinary    = "ordinary"
	PresetPeak        = "peak"
	PresetMaintenance = "maintenance"
)

// TargetChoice names a target choice policy.
type TargetChoice string

// Target choice policies.
const (
	RoundRobin TargetChoice = "round_robin"
	LeastLoad  TargetChoice = "least_load"
	PowerOfTwo TargetChoice = "power_of_two"
	Affinity   TargetChoice = "affinity" // prefix affinity with a load bound
)

// Document is the configuration. Version rises by one with each change and
// ActivePreset names exactly one entry of Presets.
type Document struct {
	Version      int64               `json:"version"`
	ActivePreset string              `json:"active_preset"`
	Presets      map[string]Preset   `json:"presets"`
	Models       map[string]Model    `json:"models"`
	Services     map[string]Service  `json:"services"`
	Workloads    map[string]Workload `json:"workloads"`
	Operators    []Operator          `json:"operators"`
}

// CurrentPreset returns the preset in force.
func (d *Document) CurrentPreset() Preset { return d.Presets[d.ActivePreset] }

// Preset sets the policies for a kind of day.
type Preset struct {
	TargetChoice        TargetChoice `json:"target_choice"`
	AffinityLoadBound   float64      `json:"affinity_load_bound"`   // multiple of the mean load up to which affinity wins; at least 1
	MaxRunsPerTarget    int          `json:"max_runs_per_target"`   // runs of one router at one target
	QueueLimit          int          `json:"queue_limit"`           // requests waiting per router
	AdmissionTimeoutMS  int64        `json:"admission_timeout_ms"`  // longest wait before a run starts
	MinPriority         int          `json:"min_priority"`          // requests below it are refused as overloaded
	RetryShare          float64      `json:"retry_share"`           // retries as a share of requests, 0 to 1
	DefaultOutputTokens int64        `json:"default_output_tokens"` // output cap if the caller gives none
}

// Model is a model that targets serve.
type Model struct {
	MaxOutputTokens int64    `json:"max_output_tokens"`
	ContextTokens   int64    `json:"context_tokens"`
	Adapters        []string `json:"adapters,omitempty"`
}

// Service is a plain service behind the router.
type Service struct {
	PriceTokens int64  `json:"price_tokens"` // per call
	KeyRequired bool   `json:"key_required"` // non-idempotent calls without an idempotency key are refused
	Calls       []Call `json:"calls"`        // first match wins; no match means not idempotent unless GET or HEAD
}

// Call classifies calls of a service.
type Call struct {
	Method     string `json:"method"`
	PathPrefix string `json:"path_prefix"`
	Idempotent bool   `json:"idempotent"`
}

// Workload is a kind of use that teams are permitted.
type Workload struct {
	Priority  int      `json:"priority"` // higher goes first, 0 to 9
	Models    []string `json:"models"`   // empty permits all
	Services  []string `json:"services"` // empty permits all
	TimeoutMS int64    `json:"timeout_ms"`
}

// Operator may use the admin API.
type Operator struct {
	Name      string `json:"name"`
	KeySHA256 string `json:"key_sha256"` // hex
}

// Team is a customer with a budget of its own.
type Team struct {
	Name          string    `json:"name"`
	Keys          []TeamKey `json:"keys"`
	Workloads     []string  `json:"workloads"`      // empty permits all
	Models        []string  `json:"models"`         // empty permits all
	MaxConcurrent int       `json:"max_concurrent"` // per router; 0 means no limit
	RatePerSecond float64   `json:"rate_per_second"`
	Disabled      bool      `json:"disabled"`
}

// TeamKey is a caller credential.
type TeamKey struct {
	ID        string `json:"id"`
	SHA256    string `json:"sha256"` // hex
	CreatedUS int64  `json:"created_us"`
}
