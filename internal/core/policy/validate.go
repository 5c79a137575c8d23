package policy

import (
	"fmt"
	"regexp"
	"slices"
	"sort"
	"strings"
)

// Limits of values in a document, and descriptions of valid values for faults.
const (
	MaxPriority      = 9
	maxTokens        = 1 << 40
	maxDurationMS    = 24 * 3600 * 1000
	maxCount         = 1 << 20
	maxNameLength    = 64
	wantName         = "1 to 64 letters, digits, '.', '_' or '-', starting with a letter or digit"
	wantDigest       = "64 hexadecimal digits in lower case"
	reservedPreset   = "active" // path element of the active preset in the admin API
	wantTargetChoice = "round_robin, least_load, power_of_two or affinity"
	wantDefinedName  = "a name that the document defines"
)

var (
	namePattern    = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]*$`)
	digestPattern  = regexp.MustCompile(`^[0-9a-f]{64}$`)
	targetChoices  = []TargetChoice{RoundRobin, LeastLoad, PowerOfTwo, Affinity}
	builtInPresets = []string{PresetOrdinary, PresetPeak, PresetMaintenance}
)

// Fault describes an invalid value in a document or a team.
type Fault struct {
	Key     string `json:"key"`
	Problem string `json:"problem"`
	Want    string `json:"want"` // description of a valid value
}

// String formats the fault as one line.
func (f Fault) String() string {
	return fmt.Sprintf("%s: %s; expected %s", f.Key, f.Problem, f.Want)
}

// FormatFaults returns the faults as an error message with one line each.
func FormatFaults(faults []Fault) string {
	lines := make([]string, len(faults))
	for i, f := range faults {
		lines[i] = f.String()
	}
	return strings.Join(lines, "\n")
}

// checker collects faults.
type checker struct{ faults []Fault }

// add adds a fault whose problem is formatted with args.
func (c *checker) add(key, want, problem string, args ...any) {
	c.faults = append(c.faults, Fault{Key: key, Problem: fmt.Sprintf(problem, args...), Want: want})
}

func (c *checker) checkName(key, v string) {
	if len(v) > maxNameLength || !namePattern.MatchString(v) {
		c.add(key, wantName, "bad name %q", v)
	}
}

func (c *checker) checkInt(key string, v, low, high int64) {
	if v < low || v > high {
		c.add(key, fmt.Sprintf("%d to %d", low, high), "%d is out of range", v)
	}
}

// checkFloat checks that v is from low to high. The negated condition also rejects
// NaN.
func (c *checker) checkFloat(key string, v, low, high float64) {
	if !(v >= low && v <= high) {
		c.add(key, fmt.Sprintf("%g to %g", low, high), "%g is out of range", v)
	}
}

// Validate returns all faults of the document, ordered by key.
func (d *Document) Validate() []Fault {
	c := &checker{}
	d.checkPresets(c)
	d.checkModels(c)
	d.checkServices(c)
	d.checkWorkloads(c)
	checkOperators(c, d.Operators)
	sort.SliceStable(c.faults, func(i, j int) bool { return c.faults[i].Key < c.faults[j].Key })
	return c.faults
}

func (d *Document) checkPresets(c *checker) {
	if _, ok := d.Presets[d.ActivePreset]; !ok {
		c.add("active_preset", "the name of a preset", "unknown preset %q", d.ActivePreset)
	}
	for _, name := range builtInPresets {
		if _, ok := d.Presets[name]; !ok {
			c.add("presets."+name, "the presets ordinary, peak and maintenance", "missing preset")
		}
	}
	for name, p := range d.Presets {
		key := "presets." + name
		c.checkName(key, name)
		if name == reservedPreset {
			c.add(key, "another name", "the name is reserved")
		}
		p.check(c, key)
	}
}

func (p Preset) check(c *checker, key string) {
	if !slices.Contains(targetChoices, p.TargetChoice) {
		c.add(key+".target_choice", wantTargetChoice, "unknown choice %q", p.TargetChoice)
	}
	c.checkFloat(key+".affinity_load_bound", p.AffinityLoadBound, 1, 100)
	c.checkInt(key+".max_runs_per_target", int64(p.MaxRunsPerTarget), 1, maxCount)
	c.checkInt(key+".queue_limit", int64(p.QueueLimit), 0, maxCount)
	c.checkInt(key+".admission_timeout_ms", p.AdmissionTimeoutMS, 1, maxDurationMS)
	c.checkInt(key+".min_priority", int64(p.MinPriority), 0, MaxPriority)
	c.checkFloat(key+".retry_share", p.RetryShare, 0, 1)
	c.checkInt(key+".default_output_tokens", p.DefaultOutputTokens, 1, maxTokens)
}

func (d *Document) checkModels(c *checker) {
	for name, m := range d.Models {
		key := "models." + name
		c.checkName(key, name)
		c.checkInt(key+".max_output_tokens", m.MaxOutputTokens, 1, maxTokens)
		c.checkInt(key+".context_tokens", m.ContextTokens, 1, maxTokens)
		if m.MaxOutputTokens > m.ContextTokens {
			c.add(key+".max_output_tokens", "at most context_tokens", "%d exceeds context_tokens %d", m.MaxOutputTokens, m.ContextTokens)
		}
		for i, a := range m.Adapters {
			c.checkName(fmt.Sprintf("%s.adapters[%d]", key, i), a)
		}
	}
}

func (d *Document) checkServices(c *checker) {
	for name, s := range d.Services {
		key := "services." + name
		c.checkName(key, name)
		c.checkInt(key+".price_tokens", s.PriceTokens, 0, maxTokens)
		for i, call := range s.Calls {
			callKey := fmt.Sprintf("%s.calls[%d]", key, i)
			if call.Method == "" || strings.ToUpper(call.Method) != call.Method {
				c.add(callKey+".method", "an HTTP method in upper case", "bad method %q", call.Method)
			}
			if !strings.HasPrefix(call.PathPrefix, "/") {
				c.add(callKey+".path_prefix", "a path that starts with /", "bad prefix %q", call.PathPrefix)
			}
		}
	}
}

func (d *Document) checkWorkloads(c *checker) {
	for name, w := range d.Workloads {
		key := "workloads." + name
		c.checkName(key, name)
		c.checkInt(key+".priority", int64(w.Priority), 0, MaxPriority)
		c.checkInt(key+".timeout_ms", w.TimeoutMS, 1, maxDurationMS)
		checkDefined(c, key+".models", w.Models, d.Models)
		checkDefined(c, key+".services", w.Services, d.Services)
	}
}

// checkDefined adds a fault for each name that is not a key of defined.
func checkDefined[V any](c *checker, key string, names []string, defined map[string]V) {
	for i, n := range names {
		if _, ok := defined[n]; !ok {
			c.add(fmt.Sprintf("%s[%d]", key, i), wantDefinedName, "unknown name %q", n)
		}
	}
}

func checkOperators(c *checker, ops []Operator) {
	if len(ops) == 0 {
		c.add("operators", "at least one operator, or nobody can change the configuration", "no operator")
	}
	names, digests := map[string]bool{}, map[string]bool{}
	for i, op := range ops {
		key := fmt.Sprintf("operators[%d]", i)
		c.checkName(key+".name", op.Name)
		if names[op.Name] {
			c.add(key+".name", "a name of its own", "operator %q stands twice", op.Name)
		}
		if !digestPattern.MatchString(op.KeySHA256) {
			c.add(key+".key_sha256", wantDigest, "not a SHA-256 digest")
		}
		if digests[op.KeySHA256] {
			c.add(key+".key_sha256", "a key of its own", "key of another operator")
		}
		names[op.Name], digests[op.KeySHA256] = true, true
	}
}

// Validate returns all faults of the team. Names that the team refers to must be
// defined in the document.
func (t Team) Validate(d *Document) []Fault {
	c := &checker{}
	key := "teams." + t.Name
	c.checkName(key+".name", t.Name)
	c.faults = append(c.faults, t.CheckReferences(d)...)
	c.checkInt(key+".max_concurrent", int64(t.MaxConcurrent), 0, maxCount)
	c.checkFloat(key+".rate_per_second", t.RatePerSecond, 0, maxCount)
	ids := map[string]bool{}
	for i, k := range t.Keys {
		keyPath := fmt.Sprintf("%s.keys[%d]", key, i)
		c.checkName(keyPath+".id", k.ID)
		if ids[k.ID] {
			c.add(keyPath+".id", "an id of its own", "key id %q stands twice", k.ID)
		}
		ids[k.ID] = true
		if !digestPattern.MatchString(k.SHA256) {
			c.add(keyPath+".sha256", wantDigest, "not a SHA-256 digest")
		}
	}
	return c.faults
}

// CheckReferences returns a fault for each workload or model of the team that
// the document does not define.
func (t Team) CheckReferences(d *Document) []Fault {
	c := &checker{}
	checkDefined(c, "teams."+t.Name+".workloads", t.Workloads, d.Workloads)
	checkDefined(c, "teams."+t.Name+".models", t.Models, d.Models)
	return c.faults
}
