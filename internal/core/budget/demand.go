package budget

import (
	"math"
	"time"
)

// rateWeight is the weight of the latest second in the moving average of the
// demand, which gives it a time constant of about 6 s.
const rateWeight = 0.16

// minRate is the rate in tokens per second below which there is no demand. Without it the
// average would never reach 0.
const minRate = 1

// DemandAverage is a moving average of a team's demand at this router.
type DemandAverage struct {
	tokensPerSecond float64      // 0 before the first full second with demand
	current         secondDemand // since secondStartedAt
	previous        secondDemand // in the second before
	secondStartedAt time.Time
	requestSize     float64 // average tokens of a request
}

// secondDemand is the demand of one second.
type secondDemand struct {
	tokens   float64
	requests int
}

// beyondChance returns the tokens that a second shows beyond chance: the standard
// deviation of n requests that arrive independently is about the square root of n.
func (s secondDemand) beyondChance() float64 {
	if s.requests == 0 {
		return 0
	}
	return s.tokens * max(1-chanceDeviations/math.Sqrt(float64(s.requests)), 0)
}

// chanceDeviations is the number of standard deviations by which a second must exceed
// the moving average to count at once.
const chanceDeviations = 2

// Demand is the recent demand of a team.
type Demand struct {
	TokensPerSecond float64
	RequestSize     int64 // average tokens of a request
}

// sizeWeight is the weight of the latest request in the moving average of the
// request size.
const sizeWeight = 0.1

// Add counts the tokens that a request asks for.
func (a *DemandAverage) Add(now time.Time, tokens int64) {
	a.advance(now)
	a.current.tokens += float64(tokens)
	a.current.requests++
	if a.requestSize == 0 {
		a.requestSize = float64(tokens)
		return
	}
	a.requestSize += sizeWeight * (float64(tokens) - a.requestSize)
}

// Inherit begins with the rate that a predecessor has stated, if nothing is known yet.
func (a *DemandAverage) Inherit(now time.Time, tokensPerSecond float64) {
	a.advance(now)
	if a.tokensPerSecond == 0 {
		a.tokensPerSecond = tokensPerSecond
	}
}

// Average returns the averages. The rate grows from 0: after one request of a team that
// sends a router few, a rate of one request a second would be many times too high.
func (a *DemandAverage) Average(now time.Time) Demand {
	a.advance(now)
	rate := a.tokensPerSecond
	if rate == 0 {
		rate = rateWeight * a.current.tokens
	}
	return Demand{rate, int64(a.requestSize)}
}

// Demand is Average with a rate that follows a second with many requests at once.
func (a *DemandAverage) Demand(now time.Time) Demand {
	d := a.Average(now)
	d.TokensPerSecond = max(d.TokensPerSecond, a.current.beyondChance(), a.previous.beyondChance())
	return d
}

// advance adds the seconds that have ended to the average. If 60 or more have
// ended since the last call, it discards the average instead.
func (a *DemandAverage) advance(now time.Time) {
	if a.secondStartedAt.IsZero() {
		a.secondStartedAt = now
	}
	for range 60 {
		if now.Sub(a.secondStartedAt) < time.Second {
			return
		}
		if a.tokensPerSecond += rateWeight * (a.current.tokens - a.tokensPerSecond); a.tokensPerSecond < minRate {
			a.tokensPerSecond = 0
		}
		a.previous, a.current = a.current, secondDemand{}
		a.secondStartedAt = a.secondStartedAt.Add(time.Second)
	}
	*a = DemandAverage{secondStartedAt: now} // idle for a minute
}
