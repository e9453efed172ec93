package admission

import (
	"math"
	"time"
)

const (
	// burstShare is the fraction of what a rateBound allows above the rate that may be
	// sent in bursts. The rest covers instances that know different sets of instances.
	burstShare = 0.75
	// burstTime is the time for which a share that is not used accumulates, unless that
	// is less than one request.
	burstTime = 250 * time.Millisecond
	// noToken is the wait for a token on an instance without a share. No request waits so
	// long.
	noToken = time.Hour
)

// rateBound bounds the requests that a target may receive within any window: overshoot
// times the rate, and slack requests more.
type rateBound struct {
	window           time.Duration
	overshoot, slack float64
	// minTargets is how many targets of a service each instance can send to at least. It
	// goes before the bound.
	minTargets int
}

var (
	// coldRateBound is always in force, so that each instance needs targets for retries.
	coldRateBound  = rateBound{window: time.Second, overshoot: 1.5, slack: 5, minTargets: 4}
	namedRateBound = rateBound{window: 4 * time.Second, overshoot: 1.5, slack: 5, minTargets: 1}
)

// holders returns how many of the instances share the rate of each target. If all of them
// use a token together with a whole window at the rate, the bound still holds.
func (b rateBound) holders(rate float64, instances, targets int) int {
	allowance := b.slack + (b.overshoot-1)*rate*b.window.Seconds()
	needed := (b.minTargets*instances + targets - 1) / targets
	return min(instances, max(1, int(burstShare*allowance), needed))
}

// rateShare is this instance's share of the rate that all entry instances may send to a
// target together. The zero value holds no share.
type rateShare struct {
	tokens tokenBucket
	rate   float64 // The whole rate, in requests per second; 0 before the first update.
	// entries and targets are the versions of the sets that the share was computed from.
	entries, targets uint64
	perSecond        float64 // 0 if this instance holds no share.
}

// update adapts the share to the rate, the entry instances and the targets of the service.
// There is no share until the instances are known. The first tokens of the holders are
// spread over time. A share that moves to this instance later begins without a token, since
// another one may just have used the one that it had.
func (r *rateShare) update(at time.Time, bound rateBound, rate float64, entries *entrySet, s *service, index int) {
	if !entries.known() || r.rate == rate && r.entries == entries.version && r.targets == s.targetsVersion {
		return
	}
	held, first := r.perSecond > 0, r.rate == 0
	r.rate, r.entries, r.targets = rate, entries.version, s.targetsVersion
	holders := bound.holders(rate, entries.count(), len(s.targetIDs))
	number, holds := entries.holder(index, len(s.targetIDs), holders)
	if !holds {
		r.perSecond = 0
		return
	}
	r.perSecond = rate / float64(holders)
	if !held {
		r.tokens = tokenBucket{at: at}
	}
	if first {
		r.tokens.tokens = float64(number+1) / float64(holders)
	}
}

// wait returns the time until the next token: 0 if there is one, noToken if this instance
// has no share.
func (r *rateShare) wait(at time.Time) time.Duration {
	if r.perSecond == 0 {
		return noToken
	}
	r.tokens.refill(at, r.perSecond, max(1, r.perSecond*burstTime.Seconds()))
	if r.tokens.tokens >= 1 {
		return 0
	}
	// Rounded up: a wait of 0 without a whole token would not take any.
	return time.Duration(math.Ceil((1 - r.tokens.tokens) / r.perSecond * float64(time.Second)))
}
