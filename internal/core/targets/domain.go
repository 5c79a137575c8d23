package targets

// domain is the state of a failure domain. All its targets share it, also those that are
// not known any more but that a request was chosen for.
type domain struct{ evacuated bool }

// domainOf returns the state of a failure domain.
func (v *View) domainOf(name string) *domain {
	d := v.domains[name]
	if d == nil {
		d = &domain{}
		v.domains[name] = d
	}
	return d
}

// Evacuate records whether a failure domain is evacuated, and returns the number of its
// known targets. changed says whether that was not known.
func (v *View) Evacuate(name string, evacuated bool) (targets int, changed bool) {
	d := v.domainOf(name)
	changed = d.evacuated != evacuated
	d.evacuated = evacuated
	for _, t := range v.byID {
		if t.domain == d {
			targets++
		}
	}
	return targets, changed
}

// Evacuated returns the evacuated failure domains, each with the number of its known
// targets.
func (v *View) Evacuated() map[string]int {
	domains := map[string]int{}
	for name, d := range v.domains {
		if d.evacuated {
			domains[name] = 0
		}
	}
	for _, t := range v.byID {
		if t.domain.evacuated {
			domains[t.FailureDomain]++
		}
	}
	return domains
}
