package placement

import (
	"slices"
	"time"
)

// maxKnownPaces bounds the engines whose paces a router remembers, and knownPaceAge for
// how long.
const (
	maxKnownPaces = 1024
	knownPaceAge  = 30 * time.Second
	// medianInterval is the time between two computations of the median.
	medianInterval = time.Second
)

// Known remembers the paces that engines had, and what an engine of unknown pace is taken
// to need: their median. It is not safe for concurrent use. The zero value knows none.
type Known struct {
	paces      map[string]knownPace // by engine
	median     Pace
	computedAt time.Time
}

type knownPace struct {
	Pace
	at time.Time
}

// Add remembers the pace of an engine, as far as it is known.
func (k *Known) Add(now time.Time, engine string, p Pace) {
	if p.Read <= 0 {
		return
	}
	if k.paces == nil {
		k.paces = map[string]knownPace{}
	}
	if _, ok := k.paces[engine]; ok || len(k.paces) < maxKnownPaces {
		k.paces[engine] = knownPace{p, now}
	}
}

// Median returns the median of the known paces.
func (k *Known) Median(now time.Time) Pace {
	if now.Sub(k.computedAt) < medianInterval && k.median.Read > 0 {
		return k.median
	}
	k.computedAt = now
	var reads []time.Duration
	for engine, p := range k.paces {
		if now.Sub(p.at) > knownPaceAge {
			delete(k.paces, engine)
			continue
		}
		reads = append(reads, p.Read)
	}
	k.median = Pace{Read: middle(reads)}
	return k.median
}

func middle(d []time.Duration) time.Duration {
	if len(d) == 0 {
		return 0
	}
	slices.Sort(d)
	return d[len(d)/2]
}
