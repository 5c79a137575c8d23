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

// Free returns the number of targets that Choose may choose now, those among them that it
// chooses only if there is no other.
func (v *View) Free(now time.Time, q Query) (n int) {
	replaced, later := 0, false
	for _, t := range v.byService[q.Service] {
		switch r := t.Availability(now, q); {
		case r == ReasonReplaced:
			replaced++
		case r.Choosable():
			n++
		default:
			later = later || r.endsByItself()
		}
	}
	if !later { // as in usable
		n += replaced
	}
	return n
}
