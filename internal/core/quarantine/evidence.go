package quarantine

import (
	"cmp"
	"math"
	"slices"
)

// enoughEvidence quarantines a part. A report is worth at most a share of it, by which
// MaxStrongCrashes strong reports or MaxPartCrashes of any kind are needed.
const enoughEvidence = 1.0

// falseAlarm is the probability of a series of crashes by chance at which a part is
// quarantined.
const falseAlarm = 1e-4

// maxEvidenceCrashes bounds the crashes that are needed however many runs are broken by chance.
const maxEvidenceCrashes = 10

// roundingError of a sum of evidence.
const roundingError = 1e-9

// evidence returns what a report is worth. A report by a router that does not tell the chance
// counts in full.
func (r PartReport) evidence() float64 {
	limit := enoughEvidence / MaxPartCrashes
	if r.Strong {
		limit = enoughEvidence / MaxStrongCrashes
	}
	if r.Chance <= 0 || r.Chance >= 1 {
		return limit
	}
	return min(limit, max(math.Log(r.Chance)/math.Log(falseAlarm), enoughEvidence/maxEvidenceCrashes))
}

// evidence returns the sum of what reports are worth, of which one counts at each level and
// one for each request: what crashes with the same request in flight say may be due to the
// request alone. A report that names no request stands for one of its own.
func evidence(reports []PartReport) (sum float64, requests int) {
	var byLevel [maxLevel + 1][]PartReport
	for i, level := range successive(reports) {
		byLevel[level] = append(byLevel[level], reports[i])
	}
	counted := map[Part]bool{}
	for _, level := range byLevel {
		best := -1
		for i, r := range level {
			if !counted[r.Request] && (best < 0 || r.evidence() > level[best].evidence()) {
				best = i
			}
		}
		if best < 0 {
			continue
		}
		if level[best].Request != 0 {
			counted[level[best].Request] = true
		}
		sum += level[best].evidence()
		requests++
	}
	return sum, requests
}

// successive returns the level of each report: that which it states, or one more than that of
// any report whose run had broken when its own was sent.
func successive(reports []PartReport) []int {
	levels, order := make([]int, len(reports)), make([]int, len(reports))
	for i := range reports {
		levels[i], order[i] = reports[i].Level, i
	}
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(reports[a].BrokeMS, reports[b].BrokeMS) })
	for n, i := range order {
		for _, earlier := range order[:n] {
			if before := reports[earlier]; before.BrokeMS != 0 && before.BrokeMS <= reports[i].SentMS && before.Crash != reports[i].Crash {
				levels[i] = min(max(levels[i], levels[earlier]+1), maxLevel)
			}
		}
	}
	return levels
}

// convincing reports whether reports suffice to quarantine a part.
func convincing(reports []PartReport) bool {
	sum, _ := evidence(reports)
	return sum >= enoughEvidence-roundingError
}
