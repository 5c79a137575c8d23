// Package experiment compares policies. For each cell of a series it starts a
// fleet, runs the load tool against it, and then audits accounts and ledger. A
// cell is one combination of policy, load level, situation and seed.
package experiment

import (
	"bytes"
	"encoding/json"
	"os"
	"regexp"
	"time"

	"github.com/rotisserie/eris"
	"github.com/tailscale/hujson"

	"tarragonridge.example/tarragonridge/internal/core/policy"
	"tarragonridge.example/tarragonridge/internal/standin/engine/sim"
)

// Limits of a series file.
const (
	maxFileBytes = 1 << 20
	maxCells     = 1000
	maxTeams     = 100
)

// Spec describes a series: a cell for each combination of policy, load level,
// situation and seed. The defaults below are those of defaultSpec.
type Spec struct {
	Name       string      `json:"name"` // prefix of the names of the result files
	Fleet      FleetSpec   `json:"fleet"`
	Load       LoadSpec    `json:"load"`
	Capacity   Capacity    `json:"capacity"`
	Policies   []Policy    `json:"policies"`
	Levels     []float64   `json:"levels"` // request rates as shares of the capacity; default 0.9
	Situations []Situation `json:"situations"`
	Seeds      []uint64    `json:"seeds"` // default 1
}

// FleetSpec describes the processes of each cell.
type FleetSpec struct {
	Routers    int            `json:"routers"`    // default 3
	Engines    int            `json:"engines"`    // default 8
	Domains    int            `json:"domains"`    // failure domains, to which the engines are assigned in turn; default 3
	Engine     EngineSpec     `json:"engine"`     // fields that are 0 have the default of the engine model
	Services   []string       `json:"services"`   // default: those that the mix calls
	Teams      int            `json:"teams"`      // default 10
	Budget     int64          `json:"budget"`     // prepaid tokens of each team; default 1e9
	Priorities map[string]int `json:"priorities"` // by workload, that is, by request kind of the mix; default 6
}

// EngineSpec holds parameters of the simulated engines.
type EngineSpec struct {
	MaxBatch          int     `json:"max_batch"`
	MaxWaiting        int     `json:"max_waiting"`
	CacheBlocks       int     `json:"cache_blocks"`
	StepBaseMS        float64 `json:"step_base_ms"`
	StepPerSequenceUS float64 `json:"step_per_sequence_us"`
	PrefillPerTokenUS float64 `json:"prefill_per_token_us"`
	PrefillPerStep    int     `json:"prefill_per_step"`
	LoadLagMS         float64 `json:"load_lag_ms"`
}

// LoadSpec describes the load of each cell.
type LoadSpec struct {
	Mix             string  `json:"mix"`           // default assay
	WarmUpSeconds   float64 `json:"warm_up_s"`     // length of the warm-up, which fills the caches before the measured time; default 5
	DurationSeconds float64 `json:"duration_s"`    // measured time; default 12
	DrainSeconds    float64 `json:"drain_s"`       // longest wait for responses after the measured time; default 15
	TimeoutSeconds  float64 `json:"timeout_s"`     // of a request; default 20
	Prefixes        int     `json:"prefixes"`      // default: that of the load tool
	MaxRetries      *int    `json:"max_retries"`   // default: that of the load tool
	WarmUpLevel     float64 `json:"warm_up_level"` // request rate of the warm-up as a share of the capacity; default 0.7
	// MaxSendLagMS is the limit for the p99 of the delay with which the load
	// tool sends requests. A cell that exceeds it is measured again, up to
	// Repeats times. The defaults are 10 and 2.
	MaxSendLagMS float64 `json:"max_send_lag_ms"`
	Repeats      int     `json:"repeats"`
}

// Capacity is the request rate that the load levels refer to. If RatePerSecond
// is 0, the highest rate that meets the latency limit is searched between
// LowRate and HighRate, with Policy in force.
type Capacity struct {
	RatePerSecond  float64 `json:"per_second"`
	LowRate        float64 `json:"low"`
	HighRate       float64 `json:"high"`
	BisectionSteps int     `json:"steps"`    // number of rates that the search measures; default 5
	LimitMS        float64 `json:"limit_ms"` // limit for the p95 of the time to first token; default 330
	Policy         Policy  `json:"policy"`
}

// Policy is a preset with some keys replaced.
type Policy struct {
	Name   string          `json:"name"`
	Preset string          `json:"preset"` // name of the preset; default ordinary
	Set    json.RawMessage `json:"set"`    // JSON object of the keys to replace and their values
}

// Situation is a set of scheduled faults and a surge.
type Situation struct {
	Name      string    `json:"name"`
	Levels    []float64 `json:"levels"`      // default: those of the series
	LoadLagMS float64   `json:"load_lag_ms"` // overrides that of the engines unless 0
	Faults    []Fault   `json:"faults"`
	Surge     Surge     `json:"surge"`
}

// Fault is a fault to inject into a component at a given time. Component is
// platform, engine-<n>, or domain-<n>, which means the connections to all
// sidecars of that failure domain.
type Fault struct {
	AtSeconds float64         `json:"at_s"`
	Component string          `json:"part"`
	Body      json.RawMessage `json:"body"`
}

// Surge is a period during which one team sends additional requests.
type Surge struct {
	Team          int     `json:"team"`  // index, from 0 for the busiest team
	Level         float64 `json:"level"` // additional rate as a share of the capacity
	StartSeconds  float64 `json:"start_s"`
	LengthSeconds float64 `json:"length_s"`
}

// Open reads a series from a file in JSON with comments and applies the
// defaults.
func Open(path string) (*Spec, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, eris.Wrap(err, "experiment")
	}
	if len(data) > maxFileBytes {
		return nil, eris.Errorf("experiment: %s is larger than %d bytes", path, maxFileBytes)
	}
	s, err := parseSpec(data)
	return s, eris.Wrap(err, path)
}

func parseSpec(data []byte) (*Spec, error) {
	standardized, err := hujson.Standardize(data)
	if err != nil {
		return nil, eris.Wrap(err, "experiment")
	}
	s := defaultSpec()
	decoder := json.NewDecoder(bytes.NewReader(standardized))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(s); err != nil {
		return nil, eris.Wrap(err, "experiment")
	}
	return s, s.validate()
}

func defaultSpec() *Spec {
	return &Spec{
		Fleet: FleetSpec{Routers: 3, Engines: 8, Domains: 3, Teams: 10, Budget: 1_000_000_000},
		Load:  LoadSpec{Mix: "assay", WarmUpSeconds: 5, WarmUpLevel: 0.7, DurationSeconds: 12, DrainSeconds: 15, TimeoutSeconds: 20, MaxSendLagMS: 10, Repeats: 2},
		Capacity: Capacity{
			BisectionSteps: 5,
			LimitMS:        330,
			Policy:         Policy{Name: "capacity", Set: json.RawMessage(`{"target_choice": "least_load"}`)},
		},
		Levels:     []float64{0.9},
		Situations: []Situation{{Name: "ordinary"}},
		Seeds:      []uint64{1},
	}
}

var (
	componentPattern = regexp.MustCompile(`^(platform|engine-[1-9][0-9]*|domain-[1-9][0-9]*)$`)
	namePattern      = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]*$`)
)

func (s *Spec) validate() error {
	checks := []struct {
		ok      bool
		message string
	}{
		{namePattern.MatchString(s.Name), "name must be letters, digits, '.', '_' or '-'"},
		{s.Fleet.Routers >= 1 && s.Fleet.Engines >= 1 && s.Fleet.Domains >= 1, "fleet must have at least one router, engine and failure domain"},
		{s.Fleet.Teams >= 2 && s.Fleet.Teams <= maxTeams, "teams must be between 2 and 100"},
		{s.Fleet.Budget > 0, "budget must be positive"},
		{s.Load.DurationSeconds > 0 && s.Load.WarmUpSeconds >= 0 && s.Load.DrainSeconds >= 0 && s.Load.TimeoutSeconds > 0, "duration_s and timeout_s must be positive, warm_up_s and drain_s must not be negative"},
		{s.Load.WarmUpLevel > 0, "warm_up_level must be positive"},
		{s.Capacity.RatePerSecond > 0 || s.Capacity.LowRate > 0 && s.Capacity.HighRate > s.Capacity.LowRate, "capacity requires per_second, or a positive low and a larger high"},
		{s.Capacity.BisectionSteps > 0 && s.Capacity.LimitMS > 0, "steps and limit_ms of the capacity must be positive"},
		{len(s.Seeds) > 0 && len(s.Situations) > 0, "at least one seed and one situation are required"},
		{len(s.cells()) <= maxCells, "the series has more than 1000 cells"},
	}
	for _, check := range checks {
		if !check.ok {
			return eris.New("experiment: " + check.message)
		}
	}
	return s.validatePoliciesAndSituations()
}

func (s *Spec) validatePoliciesAndSituations() error {
	for _, p := range append([]Policy{s.Capacity.Policy}, s.Policies...) {
		if !namePattern.MatchString(p.Name) {
			return eris.Errorf("experiment: invalid policy name %q", p.Name)
		}
		doc := policy.Default()
		if _, ok := doc.Presets[p.preset()]; !ok {
			return eris.Errorf("experiment: policy %s: unknown preset %q", p.Name, p.Preset)
		}
		if err := p.apply(&doc); err != nil {
			return err
		}
	}
	for _, situation := range s.Situations {
		if !namePattern.MatchString(situation.Name) {
			return eris.Errorf("experiment: invalid situation name %q", situation.Name)
		}
		for _, f := range situation.Faults {
			if !componentPattern.MatchString(f.Component) || !json.Valid(f.Body) {
				return eris.Errorf("experiment: invalid fault of %q in situation %s", f.Component, situation.Name)
			}
		}
	}
	return nil
}

// preset returns the name of the policy's preset.
func (p Policy) preset() string {
	if p.Preset == "" {
		return policy.PresetOrdinary
	}
	return p.Preset
}

// apply sets the policy's preset in a configuration document and activates it.
func (p Policy) apply(d *policy.Document) error {
	name := p.preset()
	preset := d.Presets[name]
	if len(p.Set) > 0 {
		decoder := json.NewDecoder(bytes.NewReader(p.Set))
		decoder.DisallowUnknownFields()
		if err := decoder.Decode(&preset); err != nil {
			return eris.Wrapf(err, "experiment: policy %s", p.Name)
		}
	}
	if d.Presets == nil {
		d.Presets = map[string]policy.Preset{}
	}
	d.Presets[name] = preset
	d.ActivePreset = name
	return nil
}

// simConfig returns the parameters of a simulated engine.
func (e EngineSpec) simConfig(seed uint64) sim.Config {
	c := sim.DefaultConfig()
	c.Seed = seed
	replaceUnlessZero(&c.MaxBatch, e.MaxBatch)
	replaceUnlessZero(&c.MaxWaiting, e.MaxWaiting)
	replaceUnlessZero(&c.CacheBlocks, e.CacheBlocks)
	replaceUnlessZero(&c.PrefillPerStep, e.PrefillPerStep)
	replaceUnlessZero(&c.StepBase, time.Duration(e.StepBaseMS*float64(time.Millisecond)))
	replaceUnlessZero(&c.StepPerSequence, time.Duration(e.StepPerSequenceUS*float64(time.Microsecond)))
	replaceUnlessZero(&c.PrefillPerToken, time.Duration(e.PrefillPerTokenUS*float64(time.Microsecond)))
	replaceUnlessZero(&c.LoadLag, time.Duration(e.LoadLagMS*float64(time.Millisecond)))
	return c
}

func replaceUnlessZero[T int | time.Duration](value *T, replacement T) {
	if replacement != 0 {
		*value = replacement
	}
}

// cell is one combination of a series that is measured with a fleet of its own.
type cell struct {
	policy    Policy
	level     float64
	situation Situation
	seed      uint64
}

func (s *Spec) cells() []cell {
	var cells []cell
	for _, situation := range s.Situations {
		levels := situation.Levels
		if len(levels) == 0 {
			levels = s.Levels
		}
		for _, level := range levels {
			for _, seed := range s.Seeds {
				for _, p := range s.Policies {
					cells = append(cells, cell{policy: p, level: level, situation: situation, seed: seed})
				}
			}
		}
	}
	return cells
}
