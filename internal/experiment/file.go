// Package experiment measures policies: it starts a fleet per cell of a series,
// runs the load tool against it, and audits the books at the end.
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

// Limits of a series.
const (
	maxFileBytes = 1 << 20
	maxCells     = 1000
	maxTeams     = 100
)

// Spec is a series: the product of policies, levels, situations and seeds. Open
// states the defaults.
type Spec struct {
	Name       string      `json:"name"` // start of the names of the result files
	Fleet      FleetSpec   `json:"fleet"`
	Load       LoadSpec    `json:"load"`
	Capacity   Capacity    `json:"capacity"`
	Policies   []Policy    `json:"policies"`
	Levels     []float64   `json:"levels"` // rates as shares of the capacity; default 0.9
	Situations []Situation `json:"situations"`
	Seeds      []uint64    `json:"seeds"` // default 1
}

// FleetSpec describes the processes of each cell.
type FleetSpec struct {
	Routers    int            `json:"routers"`    // default 3
	Engines    int            `json:"engines"`    // default 8
	Domains    int            `json:"domains"`    // failure domains over which the engines are spread in turn; default 3
	Engine     EngineSpec     `json:"engine"`     // fields that are 0 take the default of the engine model
	Services   []string       `json:"services"`   // default those of the mix
	Teams      int            `json:"teams"`      // default 10
	Budget     int64          `json:"budget"`     // prepaid tokens of each team; default 1e9
	Priorities map[string]int `json:"priorities"` // by workload, which is a kind of the mix; default 6
}

// EngineSpec holds parameters of the engine model.
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
	WarmUpSeconds   float64 `json:"warm_up_s"`     // load before the measured time, to fill the caches; default 5
	DurationSeconds float64 `json:"duration_s"`    // default 12
	DrainSeconds    float64 `json:"drain_s"`       // default 15
	TimeoutSeconds  float64 `json:"timeout_s"`     // of a request; default 20
	Prefixes        int     `json:"prefixes"`      // default that of the load tool
	MaxRetries      *int    `json:"max_retries"`   // default that of the load tool
	WarmUpLevel     float64 `json:"warm_up_level"` // rate of the warm-up as a share of the capacity; default 0.7
	// MaxSendLagMS bounds p99 of the time by which requests are sent late; a
	// cell beyond it is repeated, up to Repeats times. Defaults 10 and 2.
	MaxSendLagMS float64 `json:"max_send_lag_ms"`
	Repeats      int     `json:"repeats"`
}

// Capacity is the rate that the levels refer to. If PerSecond is 0, it is
// searched between Low and High with the preset that Policy changes.
type Capacity struct {
	RatePerSecond  float64 `json:"per_second"`
	LowRate        float64 `json:"low"`
	HighRate       float64 `json:"high"`
	BisectionSteps int     `json:"steps"`    // halvings; default 5
	LimitMS        float64 `json:"limit_ms"` // of p95 of the time to first token; default 330
	Policy         Policy  `json:"policy"`
}

// Policy is a preset with changed keys.
type Policy struct {
	Name   string          `json:"name"`
	Preset string          `json:"preset"` // default ordinary
	Set    json.RawMessage `json:"set"`    // keys of a preset that replace its values
}

// Situation is a schedule of faults and a surge.
type Situation struct {
	Name      string    `json:"name"`
	Levels    []float64 `json:"levels"`      // default those of the series
	LoadLagMS float64   `json:"load_lag_ms"` // replaces that of the engines
	Faults    []Fault   `json:"faults"`
	Surge     Surge     `json:"surge"`
}

// Fault is an order to a part at a time. Part is platform, engine-<n>, or
// domain-<n>, which means the connections to all sidecars of that failure domain.
type Fault struct {
	AtSeconds float64         `json:"at_s"`
	Component string          `json:"part"`
	Body      json.RawMessage `json:"body"`
}

// Surge is a flash crowd of one team.
type Surge struct {
	Team          int     `json:"team"`  // from 0, the busiest
	Level         float64 `json:"level"` // additional rate as a share of the capacity
	StartSeconds  float64 `json:"start_s"`
	LengthSeconds float64 `json:"length_s"`
}

// Open reads a series from a file, JSON with comments.
func Open(path string) (*Spec, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, eris.Wrap(err, "experiment")
	}
	if len(data) > maxFileBytes {
		return nil, eris.Errorf("experiment: %s is larger than %d bytes", path, maxFileBytes)
	}
	s, err := parse(data)
	return s, eris.Wrap(err, path)
}

func parse(data []byte) (*Spec, error) {
	plain, err := hujson.Standardize(data)
	if err != nil {
		return nil, eris.Wrap(err, "experiment")
	}
	s := defaults()
	decoder := json.NewDecoder(bytes.NewReader(plain))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(s); err != nil {
		return nil, eris.Wrap(err, "experiment")
	}
	return s, s.validate()
}

func defaults() *Spec {
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
	partPattern = regexp.MustCompile(`^(platform|engine-[1-9][0-9]*|domain-[1-9][0-9]*)$`)
	namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]*$`)
)

func (s *Spec) validate() error {
	checks := []struct {
		ok   bool
		text string
	}{
		{namePattern.MatchString(s.Name), "name must be letters, digits, '.', '_' or '-'"},
		{s.Fleet.Routers >= 1 && s.Fleet.Engines >= 1 && s.Fleet.Domains >= 1, "a fleet has at least one router, engine and failure domain"},
		{s.Fleet.Teams >= 2 && s.Fleet.Teams <= maxTeams, "teams must be between 2 and 100"},
		{s.Fleet.Budget > 0, "budget must be positive"},
		{s.Load.DurationSeconds > 0 && s.Load.WarmUpSeconds >= 0 && s.Load.DrainSeconds >= 0 && s.Load.TimeoutSeconds > 0, "times of the load are out of range"},
		{s.Load.WarmUpLevel > 0, "warm_up_level must be positive"},
		{s.Capacity.RatePerSecond > 0 || s.Capacity.LowRate > 0 && s.Capacity.HighRate > s.Capacity.LowRate, "capacity needs per_second, or low and a larger high"},
		{s.Capacity.BisectionSteps > 0 && s.Capacity.LimitMS > 0, "steps and limit_ms of the capacity must be positive"},
		{len(s.Seeds) > 0 && len(s.Situations) > 0, "at least one seed and one situation are needed"},
		{len(s.cells()) <= maxCells, "the series has more than 1000 cells"},
	}
	for _, check := range checks {
		if !check.ok {
			return eris.New("experiment: " + check.text)
		}
	}
	return s.validateParts()
}

func (s *Spec) validateParts() error {
	for _, p := range append([]Policy{s.Capacity.Policy}, s.Policies...) {
		if !namePattern.MatchString(p.Name) {
			return eris.Errorf("experiment: policy name %q", p.Name)
		}
		if err := p.apply(new(policy.Document)); err != nil && p.Preset == "" {
			return err
		}
	}
	for _, situation := range s.Situations {
		if !namePattern.MatchString(situation.Name) {
			return eris.Errorf("experiment: situation name %q", situation.Name)
		}
		for _, f := range situation.Faults {
			if !partPattern.MatchString(f.Component) || !json.Valid(f.Body) {
				return eris.Errorf("experiment: fault of %q in situation %s", f.Component, situation.Name)
			}
		}
	}
	return nil
}

// apply puts the policy in force in a document.
func (p Policy) apply(d *policy.Document) error {
	name := p.Preset
	if name == "" {
		name = policy.PresetOrdinary
	}
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

// sim returns the parameters of an engine.
func (e EngineSpec) sim(seed uint64) sim.Config {
	c := sim.DefaultConfig()
	c.Seed = seed
	replace(&c.MaxBatch, e.MaxBatch)
	replace(&c.MaxWaiting, e.MaxWaiting)
	replace(&c.CacheBlocks, e.CacheBlocks)
	replace(&c.PrefillPerStep, e.PrefillPerStep)
	replace(&c.StepBase, time.Duration(e.StepBaseMS*float64(time.Millisecond)))
	replace(&c.StepPerSequence, time.Duration(e.StepPerSequenceUS*float64(time.Microsecond)))
	replace(&c.PrefillPerToken, time.Duration(e.PrefillPerTokenUS*float64(time.Microsecond)))
	replace(&c.LoadLag, time.Duration(e.LoadLagMS*float64(time.Millisecond)))
	return c
}

func replace[T int | time.Duration](value *T, by T) {
	if by != 0 {
		*value = by
	}
}

// cell is one run of a series.
type cell struct {
	policy    Policy
	level     float64
	situation Situation
	seed      uint64
}

func (s *Spec) cells() []cell {
	var out []cell
	for _, situation := range s.Situations {
		levels := situation.Levels
		if len(levels) == 0 {
			levels = s.Levels
		}
		for _, level := range levels {
			for _, seed := range s.Seeds {
				for _, p := range s.Policies {
					out = append(out, cell{policy: p, level: level, situation: situation, seed: seed})
				}
			}
		}
	}
	return out
}
