package control

import "math"

const (
	// tokensWeight is the weight of a new window in the smoothed tokens.
	tokensWeight = 0.5
	// forecastErrorWeight is the weight of a new window in what is known of forecasts.
	forecastErrorWeight = 0.3
	// savingsWeight is the weight of a new window in what is known of past savings,
	// which differ more from window to window.
	savingsWeight = 0.1
)

// Planner plans one layer's placement window by window. It forecasts the next
// window, and spends bytes only as far as its earlier forecasts came true. Set
// Placement; all else may be zero.
type Planner struct {
	Placement Placement

	last     []float64
	smoothed []float64
	// lastError and smoothError are how far each forecast was off, as a part of
	// all tokens.
	lastError   float64
	smoothError float64
	// realisedShare is the part of the savings forecast that came, or would have come.
	// It starts at zero: nothing moves until forecasts have proved themselves.
	realisedShare float64
	candidate     candidate
}

// candidate is the newest plan, adopted or not, to be judged by the next window.
type candidate struct {
	before, after *Split
	expected      float64
}

// Plan takes the tokens of the window that ended and returns the split to use
// in the next one. It changes Placement if that pays.
func (p *Planner) Plan(observed, speed []float64, pay Payback) *Split {
	seen := Demand{Tokens: observed, Speed: speed}
	p.evaluateCandidate(seen)
	forecast := Demand{Tokens: p.forecast(observed), Speed: speed}
	before := NewSplit(p.Placement, forecast)
	improved := Improve(p.Placement, forecast, Payback{})
	after := NewSplit(improved, forecast)
	p.candidate = candidate{before: before, after: after, expected: 1 - after.Slowest()/before.Slowest()}
	if !p.limitHorizon(pay).pays(p.candidate.expected, improved.Moved(p.Placement)) {
		return before
	}
	p.Placement = improved
	return after
}

// limitHorizon shortens the horizon to what past savings lasted. If a part t of a
// saving comes in the next window, and the same part of that in each one after,
// t/(1-t) windows' worth comes in all.
func (p *Planner) limitHorizon(pay Payback) Payback {
	if p.realisedShare < 1 {
		pay.HorizonSteps = min(pay.HorizonSteps, pay.WindowSteps*p.realisedShare/(1-p.realisedShare))
	}
	return pay
}

// evaluateCandidate compares what the last plan saved, or would have, with what was forecast.
func (p *Planner) evaluateCandidate(seen Demand) {
	if p.candidate.expected <= balancedSkew-1 {
		return
	}
	before, after := p.candidate.before.WithDemand(seen).Slowest(), p.candidate.after.WithDemand(seen).Slowest()
	// A plan that made things worse counts against those that helped by chance.
	came := min(1, max(-1, (1-after/before)/p.candidate.expected))
	p.realisedShare = min(1, max(0, p.realisedShare+savingsWeight*(came-p.realisedShare)))
}

// forecast is the better of two guesses, judged by how far each was off so far:
// the last window again, which is best after a sudden change that stays, or the
// smoothed tokens, which is best where windows differ by chance.
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

// forecastError is the part of all tokens that went to other experts than guessed.
func forecastError(guess, observed []float64) float64 {
	off, sum := 0.0, 0.0
	for i := range observed {
		off += math.Abs(guess[i] - observed[i])
		sum += observed[i]
	}
	if sum == 0 {
		return 0
	}
	return off / (2 * sum)
}
