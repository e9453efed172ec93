package admission

import (
	"slices"
	"strings"
	"time"
)

// limitMemory is how long the end of a target's limit, or the limit of an unknown target,
// is remembered for instances that have not heard of it.
const limitMemory = 30 * time.Second

// TargetLimit is the limit that a target named in a response.
type TargetLimit struct {
	Target      string
	Incarnation uint64
	// PerSecond is the number of requests per second that the target accepts from all
	// instances together; 0 if the response names no limit.
	PerSecond float64
	At        time.Time // When the response arrived.
}

// ResponseHead reports what the head of a response says about its target.
type ResponseHead struct {
	// Limit is the limit that the response names; without a target if it says nothing
	// about limits.
	Limit TargetLimit
	// Notice is without a target if the response says nothing about the requests that the
	// target wants.
	Notice TargetNotice
}

// PeerLimits reports the limits that another entry instance knows.
type PeerLimits struct {
	Peer   string
	Limits []TargetLimit
}

func (ResponseHead) event() {}
func (PeerLimits) event()   {}

// TargetLimitChanged reports that a target's limit began, changed or ended.
type TargetLimitChanged struct {
	Limit TargetLimit
	// Previous is the limit until now, in requests per second; 0 if there was none.
	Previous float64
	// Peer is the instance that reported the response; empty if this one received it.
	Peer string
}

func (TargetLimitChanged) effect() {}

// knownLimit is the newest limit that is known of a target.
type knownLimit struct {
	TargetLimit
	// version is that of targetLimits when the limit was last changed by a response that
	// this instance received, or became known from another instance.
	version uint64
}

// targetLimits holds the newest limit of each target that has named one.
type targetLimits struct {
	known map[string]*knownLimit
	// version increases with each change that the other instances must know. It begins
	// at 1, so that 0 stands for an instance that knows nothing.
	version uint64
}

func newTargetLimits() targetLimits {
	return targetLimits{known: make(map[string]*knownLimit), version: 1}
}

// perSecond returns the limit of a target, or 0 if it names none.
func (l *targetLimits) perSecond(t *target) float64 {
	known, ok := l.known[t.ID]
	if !ok || known.Incarnation != t.Incarnation {
		return 0
	}
	return known.PerSecond
}

// apply takes a limit if it is newer than the known one, and reports whether it differs.
func (l *targetLimits) apply(limit TargetLimit, peer string) (previous float64, changed bool) {
	known, ok := l.known[limit.Target]
	switch {
	case !ok && limit.PerSecond == 0:
		return 0, false
	case !ok || known.Incarnation < limit.Incarnation:
		known = &knownLimit{}
		l.known[limit.Target] = known
	case known.Incarnation > limit.Incarnation || !limit.At.After(known.At):
		return 0, false
	}
	previous, known.TargetLimit = known.PerSecond, limit
	if previous == limit.PerSecond {
		return previous, false
	}
	if peer == "" {
		l.version++ // The peer's own message reaches the others.
	}
	known.version = l.version
	return previous, true
}

// since returns the limits that have changed after a version, sorted by target, and the
// current version.
func (l *targetLimits) since(version uint64) ([]TargetLimit, uint64) {
	if version == l.version {
		return nil, version
	}
	var limits []TargetLimit
	for _, known := range l.known {
		if known.version > version {
			limits = append(limits, known.TargetLimit)
		}
	}
	slices.SortFunc(limits, func(a, b TargetLimit) int { return strings.Compare(a.Target, b.Target) })
	return limits, l.version
}

// forget removes limits that have ended, and those of targets that do not exist, after
// limitMemory.
func (l *targetLimits) forget(at time.Time, exists func(target string) bool) {
	for id, known := range l.known {
		if at.Sub(known.At) > limitMemory && (known.PerSecond == 0 || !exists(id)) {
			delete(l.known, id)
		}
	}
}

// applyLimits applies limits that targets named, and dispatches waiting requests if any
// has changed. The peer is empty for a response that this instance received.
func (st *State) applyLimits(at time.Time, peer string, limits ...TargetLimit) []Effect {
	var effects []Effect
	for _, limit := range limits {
		if previous, changed := st.limits.apply(limit, peer); changed {
			effects = append(effects, TargetLimitChanged{Limit: limit, Previous: previous, Peer: peer})
		}
	}
	if len(effects) == 0 {
		return nil
	}
	for _, s := range st.services {
		st.updateShares(at, s)
	}
	return append(effects, st.dispatchAllWaiting(at)...)
}

// TargetLimitsSince returns the limits that have changed after a version, and the current
// version.
func (st *State) TargetLimitsSince(version uint64) ([]TargetLimit, uint64) {
	return st.limits.since(version)
}
