package targets

import (
	"cmp"
	"slices"
	"time"

	"tarragonridge.example/tarragonridge/internal/core/route"
)

// Preview is the state of one target as a request would find it.
type Preview struct {
	ID            string `json:"id"`
	Address       string `json:"address"`
	FailureDomain string `json:"failure_domain"`
	Version       string `json:"version"`
	InFlight      int    `json:"in_flight"` // requests of this router there
	Reason        Reason `json:"reason"`    // why it would not be sent the request, or ReasonNone
}

// Preview returns the targets of a service as a request would find them: those that may
// be sent it first, in the order of their affinity to its prompt, or without a prompt by
// the requests in flight. Unlike Choose it changes nothing.
func (v *View) Preview(now time.Time, q Query) []Preview {
	candidates := slices.Clone(v.byService[q.Service])
	order := preferenceOrder(q, candidates)
	previews := make([]Preview, 0, len(candidates))
	for _, i := range order {
		t := candidates[i]
		previews = append(previews, Preview{t.ID, t.Address, t.FailureDomain, t.Version, t.InFlight, t.Availability(now, q)})
	}
	rank := func(p Preview) int {
		switch {
		case p.Reason == ReasonNone:
			return 0
		case p.Reason.lastResort():
			return 1
		}
		return 2
	}
	slices.SortStableFunc(previews, func(a, b Preview) int { return cmp.Compare(rank(a), rank(b)) })
	return previews
}

// preferenceOrder returns the indexes of the candidates in the order in which Choose and
// Ranked prefer them.
func preferenceOrder(q Query, candidates []*Target) []int {
	if q.PrefixHash != 0 {
		ids := make([]string, len(candidates))
		for i, t := range candidates {
			ids[i] = t.ID
		}
		return route.Ranked(q.PrefixHash, ids, len(ids))
	}
	order := make([]int, len(candidates))
	for i := range order {
		order[i] = i
	}
	slices.SortFunc(order, func(a, b int) int {
		return cmp.Or(cmp.Compare(candidates[a].InFlight, candidates[b].InFlight), cmp.Compare(candidates[a].ID, candidates[b].ID))
	})
	return order
}
