package admission

import (
	"slices"
	"strings"
	"time"
)

const (
	// trialInterval is the least time between two requests to a target whose pause has
	// ended, until it answers one without asking for another pause.
	trialInterval = 100 * time.Millisecond
	// pausePenalty is the penalty, in running requests, of a target that has asked another
	// instance for a pause: it is used if the others have no room.
	pausePenalty = 100
)

// TargetNotice is what a target's response says about the requests that the target wants.
type TargetNotice struct {
	Target      string
	Incarnation uint64
	// PausedUntil is the end of the pause that the target asks of the instance that
	// received the response; zero if it asks for none.
	PausedUntil time.Time
	// Leaving reports that the target is about to stop and wants no more requests at all.
	Leaving bool
}

// PeerNotices reports the notices that another entry instance has received.
type PeerNotices struct {
	Peer    string
	Notices []TargetNotice
}

func (PeerNotices) event() {}

// TargetNoticed reports that a target asks for a pause, or is about to stop.
type TargetNoticed struct {
	Notice TargetNotice
	// Peer is the instance that received the response; empty if this one did.
	Peer string
}

func (TargetNoticed) effect() {}

// knownNotice is the sum of all notices of a target's incarnation. A nil pointer stands
// for a target without notices.
type knownNotice struct {
	TargetNotice
	// peerPausedUntil is the latest end of the pauses that other instances were asked for.
	peerPausedUntil time.Time
	// onTrial is true from a pause until the target answers without asking for another.
	onTrial bool
	// lastUse is when the notice last arrived, or its target was last known to exist.
	lastUse time.Time
	// version is that of targetNotices when this instance last received a notice.
	version uint64
}

// wait returns how long this instance must not send requests to the target: noToken if it
// must not any more.
func (k *knownNotice) wait(at time.Time) time.Duration {
	switch {
	case k == nil:
		return 0
	case k.Leaving:
		return noToken
	default:
		return max(0, k.PausedUntil.Sub(at))
	}
}

// penalty returns the penalty of a target that may not take the request. A retry avoids
// targets on trial, since it has been rejected before.
func (k *knownNotice) penalty(at time.Time, isRetry bool) float64 {
	if k != nil && (at.Before(k.peerPausedUntil) || k.onTrial && isRetry) {
		return pausePenalty
	}
	return 0
}

// targetNotices holds what targets have said in their responses.
type targetNotices struct {
	known map[string]*knownNotice
	// version increases with each notice that this instance receives. It begins at 1, so
	// that 0 stands for an instance that knows nothing.
	version uint64
}

func newTargetNotices() targetNotices {
	return targetNotices{known: make(map[string]*knownNotice), version: 1}
}

// of returns the notices of a target; nil if there are none.
func (n *targetNotices) of(t *target) *knownNotice {
	if k, ok := n.known[t.ID]; ok && k.Incarnation == t.Incarnation {
		return k
	}
	return nil
}

// apply adds a notice and reports whether it says anything new. The peer is empty for a
// response that this instance received.
func (n *targetNotices) apply(at time.Time, peer string, e TargetNotice) bool {
	k, ok := n.known[e.Target]
	says := e.Leaving || e.PausedUntil.After(at)
	switch {
	case ok && k.Incarnation == e.Incarnation:
	case !says || ok && k.Incarnation > e.Incarnation:
		return false
	default:
		k = &knownNotice{TargetNotice: TargetNotice{Target: e.Target, Incarnation: e.Incarnation}}
		n.known[e.Target] = k
	}
	changed := e.Leaving && !k.Leaving
	k.lastUse, k.Leaving = at, k.Leaving || e.Leaving
	if peer != "" {
		if e.PausedUntil.After(k.peerPausedUntil) {
			k.peerPausedUntil, changed = e.PausedUntil, true
		}
		return changed
	}
	k.onTrial = e.PausedUntil.After(at)
	if e.PausedUntil.After(k.PausedUntil) {
		k.PausedUntil, changed = e.PausedUntil, true
	}
	if changed {
		n.version++
		k.version = n.version
	}
	return changed
}

// since returns the notices that this instance has received after a version, sorted by
// target, and the current version.
func (n *targetNotices) since(version uint64) ([]TargetNotice, uint64) {
	if version == n.version {
		return nil, version
	}
	var notices []TargetNotice
	for _, k := range n.known {
		if k.version > version {
			notices = append(notices, k.TargetNotice)
		}
	}
	slices.SortFunc(notices, func(a, b TargetNotice) int { return strings.Compare(a.Target, b.Target) })
	return notices, n.version
}

// forget removes the notices whose pauses ended limitMemory ago, and those of targets that
// have not existed for as long.
func (n *targetNotices) forget(at time.Time, exists func(target string) bool) {
	for id, k := range n.known {
		if k.Leaving && exists(id) {
			k.lastUse = at
		}
		if at.Sub(k.lastUse) > limitMemory && at.Sub(k.PausedUntil) > limitMemory && at.Sub(k.peerPausedUntil) > limitMemory {
			delete(n.known, id)
		}
	}
}

// applyNotices applies what targets have said, and refuses the waiting requests that no
// target will take in time.
func (st *State) applyNotices(at time.Time, peer string, notices ...TargetNotice) []Effect {
	var effects []Effect
	for _, e := range notices {
		if !st.notices.apply(at, peer, e) {
			continue
		}
		effects = append(effects, TargetNoticed{Notice: e, Peer: peer})
		for _, s := range st.services {
			if t, ok := s.targets[e.Target]; ok {
				t.notice = st.notices.of(t)
				effects = append(effects, st.refusePaused(at, s)...)
			}
		}
	}
	return effects
}

// refusePaused refuses the waiting requests of a service whose targets all want no requests
// for longer than the requests may wait, except those whose callers have received a part
// of the response.
func (st *State) refusePaused(at time.Time, s *service) []Effect {
	wait, reason := st.serviceWait(at, s, nil, 0)
	if s.waiting.length == 0 || reason == RateLimited {
		return nil
	}
	var effects []Effect
	for _, e := range sortByID(s.waiting.remove(func(e *activeRequest) bool { return !e.responseStarted && e.refuseAt.Before(at.Add(wait)) })) {
		delete(st.requests, e.request.ID)
		effects = append(effects, Refuse{ID: e.request.ID, RetryAfter: unavailableRetryAfter(wait, reason), Reason: reason, ExpectedWait: wait})
	}
	return effects
}

// unavailableRetryAfter returns the delay after which a caller should retry who was refused
// because of the wait that serviceWait returns.
func unavailableRetryAfter(wait time.Duration, reason Reason) time.Duration {
	switch reason {
	case NoTarget:
		return noTargetRetryAfter
	case Paused:
		return max(minRetryAfter, wait)
	default:
		return retryAfter(wait)
	}
}

// TargetNoticesSince returns the notices that this instance has received after a version,
// and the current version.
func (st *State) TargetNoticesSince(version uint64) ([]TargetNotice, uint64) {
	return st.notices.since(version)
}
