// Package robust estimates what is lasting in samples of which a part are far off.
//
// It answers targets that run into noise: for some hundred milliseconds a sample is
// several times the usual, and the usual is what the estimate has to tell.
package robust

import "math"

// Mean is a mean of the logarithms of positive samples, the latest of which count most.
type Mean struct {
	maxSamples float64
	maxStep    float64
	log        float64
	samples    float64 // up to maxSamples
}

// NewMean returns a mean without samples that reflects a number of the latest samples. A
// sample counts at most as one that is maxStep away from the mean, as a difference of
// logarithms.
func NewMean(maxSamples, maxStep float64) Mean {
	return Mean{maxSamples: maxSamples, maxStep: maxStep}
}

// Add adds a sample. Samples that are not positive numbers are ignored.
func (m *Mean) Add(sample float64) {
	log := math.Log(sample)
	if math.IsNaN(log) || math.IsInf(log, 0) {
		return
	}
	if !m.Known() {
		m.log, m.samples = log, 1
		return
	}
	m.samples = min(m.samples+1, m.maxSamples)
	m.log += min(max(log-m.log, -m.maxStep), m.maxStep) / m.samples
}

// Known reports whether there are samples.
func (m *Mean) Known() bool { return m.samples > 0 }

// Value returns the mean, 0 without samples.
func (m *Mean) Value() float64 {
	if !m.Known() {
		return 0
	}
	return math.Exp(m.log)
}

// Towards returns the mean of the samples and a number of further ones of a value.
func (m *Mean) Towards(value, weight float64) float64 {
	return math.Exp((m.log*m.samples + math.Log(value)*weight) / (m.samples + weight))
}

// Forget reduces the weight of the samples by a factor between 0 and 1.
func (m *Mean) Forget(factor float64) { m.samples *= factor }
