package control

import "math"

const (
	// tokensWeight is the weight of a new window in the smoothed tokens.
	tokensWeight = 0.5
	// forecastErrorWeight is the weight of a new window in the smoothed forecast errors.
	forecastErrorWeight = 0.3
	// savingsWeight is the weight of a new window in the realised share of savings.
	// It is lower because savings vary more between windows.
	savingsWeight = 0.1
)

// Planner plans the placement of one layer, once per window. It forecasts the tokens
// of the next window and limits moves by the share of forecast savings that was
// realised in earlier windows. Only Placement must be set before use.
type Planner struct {
	Placement Placement

	last     []float64
	smoothed []float64
	// lastError and smoothError are the smoothed errors of the two forecasts, as
	// fractions of all tokens.
	lastError   float64
	smoothError float64
	// realisedShare is the smoothed fraction of forecast savings that was realised, or
	// that a rejected plan would have realised. It starts at zero, so that no expert
	// moves until forecasts have been confirmed.
	realisedShare float64
	candidate     candidate
}

// candidate is the latest plan, adopted or not. The next window's tokens evaluate it.
type candidate struct {
	before, after *Split
	expected      float64
}

// Plan takes the tokens observed in the window that ended and returns the split for
// the next one. It updates Placement if the change pays back.
func (p *Planner) Plan(observed, speed []float64, payback Payback) *Split {
	actual := Demand{Tokens: observed, Speed: speed}
	p.evaluateCandidate(actual)
	forecast := Demand{Tokens: p.forecast(observed), Speed: speed}
	before := NewSplit(p.Placement, forecast)
	improved := Improve(p.Placement, forecast, Payback{})
	after := NewSplit(improved, forecast)
	p.candidate = candidate{before: before, after: after, expected: 1 - after.Slowest()/before.Slowest()}
	if !p.limitHorizon(payback).pays(p.candidate.expected, improved.Moved(p.Placement)) {
		return before
	}
	p.Placement = improved
	return after
}

// limitHorizon shortens the horizon according to realisedShare. If a fraction t of a
// saving is realised in the first window and decays by t in each later one, the total
// is t + t^2 + ... = t/(1-t) windows of savings.
func (p *Planner) limitHorizon(payback Payback) Payback {
	if p.realisedShare < 1 {
		payback.HorizonSteps = min(payback.HorizonSteps, payback.WindowSteps*p.realisedShare/(1-p.realisedShare))
	}
	return payback
}

// evaluateCandidate updates realisedShare with the saving that the last plan realised,
// or would have realised if it was rejected. Plans with an expected saving of at most
// balancedSkew-1 do not count.
func (p *Planner) evaluateCandidate(actual Demand) {
	if p.candidate.expected <= balancedSkew-1 {
		return
	}
	before, after := p.candidate.before.WithDemand(actual).Slowest(), p.candidate.after.WithDemand(actual).Slowest()
	// Losses count as negative, to offset plans that saved time by chance.
	realised := min(1, max(-1, (1-after/before)/p.candidate.expected))
	p.realisedShare = min(1, max(0, p.realisedShare+savingsWeight*(realised-p.realisedShare)))
}

// forecast returns the forecast of the method with the lower smoothed error: the last
// window, which is better after a lasting change, or the smoothed tokens, which are
// better when windows differ at random.
func (p *Planner) forecast(observed []float64) []float64 {
	if p.smoothed == nil {
		p.smoothed = append([]float64(nil), observed...)
		p.last = append([]float64(nil), observed...)
		return p.smoothed
	}
	p.lastError += forecastErrorWeight * (forecastError(p.last, observed) - p.lastError)
	p.smoothError += forecastErrorWeight * (forecastError(p.smoothed, observed) - p.smoothError)
	copy(p.last, observed)
	for i, tokens := range observed {
		p.smoothed[i] += tokensWeight * (tokens - p.smoothed[i])
	}
	if p.lastError < p.smoothError {
		return p.last
	}
	return p.smoothed
}

// forecastError returns the fraction of tokens that went to other experts than
// forecast.
func forecastError(forecast, observed []float64) float64 {
	misplaced, sum := 0.0, 0.0
	for i := range observed {
		misplaced += math.Abs(forecast[i] - observed[i])
		sum += observed[i]
	}
	if sum == 0 {
		return 0
	}
	return misplaced / (2 * sum)
}
