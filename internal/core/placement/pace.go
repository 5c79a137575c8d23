package placement

import (
	"math"
	"time"

	"tarragonridge.example/tarragonridge/internal/core/robust"
)

// Pace is what an engine needs for its work. A zero field is unknown.
type Pace struct {
	Read time.Duration // of a prompt, for each readUnit of uncached tokens
}

const (
	// readUnit is the number of tokens that Pace.Read is about. Engines read them in some
	// tens of milliseconds.
	readUnit = 1024
	// promptOverhead is what a prompt costs besides its tokens, in tokens: an engine needs
	// some milliseconds for the first event of the shortest prompt.
	promptOverhead = 512
	// minReadSample is the work, in tokens, that a sample of the reading time covers. The
	// time of less work is mostly that of messages.
	minReadSample = 2048
	// lastingSamples is the number of samples that the lasting estimates reflect, and
	// maxSampleStep bounds what one of them counts, so that noise on a seventh of them
	// changes an estimate by less than a tenth.
	lastingSamples = 32
	maxSampleStep  = 0.5
	// recentTime is the time constant of the recent reading time. Noise lasts for some
	// hundred milliseconds.
	recentTime = 300 * time.Millisecond
	// recentPrior is the number of usual prompts whose work the lasting reading time counts
	// as against the recent one. Engines read several prompts at once, not in the order in
	// which they came: the time for one of them says little.
	recentPrior = 2
	// maxSlowdown bounds what a prompt counts in the recent reading time, as a multiple of
	// the lasting one. More is a lost message or an engine that stands still, which the
	// overdue prompt shows.
	maxSlowdown = 4
)

// work returns what the engine has to do for a prompt, in tokens.
func work(uncached int64) float64 { return float64(uncached + promptOverhead) }

// readTime returns the time for some work.
func (p Pace) readTime(work float64) time.Duration {
	return time.Duration(work / readUnit * float64(p.Read))
}

// paceMeter learns the pace of an engine from the first events and ends of its requests.
type paceMeter struct {
	lasting robust.Mean // seconds for each readUnit of tokens
	usual   robust.Mean // work of a prompt

	busySince time.Time // when the work that is being read began; zero while there is none
	spoiled   bool      // some of that work will not be read
	sampled   float64   // work read since the last sample
	sampledIn time.Duration

	recentWork float64 // of the last moments, decaying
	recentTime float64 // seconds, decaying likewise
	recentAt   time.Time
}

func newPaceMeter() paceMeter {
	return paceMeter{lasting: robust.NewMean(lastingSamples, maxSampleStep), usual: robust.NewMean(lastingSamples, maxSampleStep)}
}

// begin records that there is work.
func (m *paceMeter) begin(now time.Time) {
	if m.busySince.IsZero() {
		m.busySince = now
	}
}

// read records that a prompt has been read. idle says that there is no other.
func (m *paceMeter) read(now time.Time, work float64, idle bool) {
	if m.busySince.IsZero() {
		return
	}
	took := max(now.Sub(m.busySince), 0)
	m.usual.Add(work)
	if !m.spoiled {
		m.decay(now)
		m.recentWork += work
		m.recentTime += took.Seconds()
		if m.lasting.Known() {
			m.recentTime -= max(took.Seconds()-maxSlowdown*m.lasting.Value()*work/readUnit, 0)
		}
		m.sampled += work
		m.sampledIn += took
	}
	m.busySince, m.spoiled = now, false
	if m.sampled >= minReadSample {
		m.lasting.Add(m.sampledIn.Seconds() / m.sampled * readUnit)
		m.sampled, m.sampledIn = 0, 0
	}
	if idle {
		m.busySince = time.Time{}
	}
}

// drop records that a prompt will not be read, or is not known to have been. idle says
// that there is no other.
func (m *paceMeter) drop(idle bool) {
	if m.spoiled = !idle; idle {
		m.busySince = time.Time{}
	}
}

func (m *paceMeter) decay(now time.Time) {
	if age := now.Sub(m.recentAt); age > 0 {
		factor := math.Exp(-float64(age) / float64(recentTime))
		m.recentWork *= factor
		m.recentTime *= factor
		m.recentAt = now
	}
}

// pace returns the pace to be expected in the next moments.
func (m *paceMeter) pace(now time.Time) Pace {
	if !m.lasting.Known() {
		return Pace{}
	}
	m.decay(now)
	lasting := m.lasting.Value()
	prior := recentPrior * m.usual.Value()
	recent := (m.recentTime + prior/readUnit*lasting) / (m.recentWork + prior) * readUnit
	return Pace{Read: seconds(recent)}
}

// progress returns how long the engine has been reading since it last had read a prompt.
func (m *paceMeter) progress(now time.Time) time.Duration {
	if m.busySince.IsZero() {
		return 0
	}
	return max(now.Sub(m.busySince), 0)
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
