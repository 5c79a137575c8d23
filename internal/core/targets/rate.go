package targets

import "time"

// PermitRate returns the requests per second that the limits of a service's targets permit
// this router, 0 if a target without a limit takes part.
func (v *View) PermitRate(now time.Time, q Query) (perSecond float64) {
	for _, t := range v.byService[q.Service] {
		if !t.Limited(now) {
			return 0
		}
		perSecond += t.LimitShare(now)
	}
	return perSecond
}

// Free returns the number of targets that may be sent a request now, those that are chosen
// only if there is no other among them.
func (v *View) Free(now time.Time, q Query) (n int) {
	for _, t := range v.byService[q.Service] {
		if r := t.Availability(now, q); r == ReasonNone || r.lastResort() {
			n++
		}
	}
	return n
}
