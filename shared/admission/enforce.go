package admission

import (
	"maps"
	"slices"
	"time"
)

// noteEvidence updates the quarantine with the result of an attempt: the target works and
// the request's parts are sound, or the target lost the request.
func (st *State) noteEvidence(at time.Time, s *service, e AttemptResult) []Effect {
	var effects []Effect
	t, known := s.targets[e.Target]
	if known && e.TimeToFirstOutput > 0 {
		effects = st.quarantine.recordOutput(at, at.Add(-e.TimeToFirstOutput), t)
	}
	r, ok := st.requests[e.ID]
	if !ok || len(r.parts) == 0 {
		return effects
	}
	switch {
	case e.TimeToFirstOutput > 0:
		r.answered = true
		return append(effects, st.quarantine.recordSound(at, r.parts)...)
	case !e.Lost || known && s.stalled(at, t.Group):
		// A group that stalls cuts off the requests of all its ranks.
		return effects
	}
	report := CrashReport{Target: e.Target, Incarnation: e.Incarnation, At: at, Reporter: st.quarantine.instance, Rank: known && t.Group != "", Waiting: r.parts}
	if e.Begun {
		report.Begun, report.Waiting = report.Waiting, nil
	}
	return st.enforceQuarantine(at, append(effects, st.quarantine.recordCrash(report)...), e.ID)
}

// quarantined returns the time after which a request may be sent again if it is refused
// because of its parts, and 0 otherwise. A part on trial is admitted if no other request
// that contains it is active without output.
func (st *State) quarantined(at time.Time, e *activeRequest) time.Duration {
	if !st.quarantine.active() || e.answered {
		return 0
	}
	v := st.quarantine.judge(at, e.parts)
	if v.until.After(at) {
		return v.until.Sub(at)
	}
	if len(v.onTrial) == 0 {
		return 0
	}
	for _, other := range st.requests {
		if other != e && !other.answered && containsAny(other.parts, v.onTrial) {
			return trialRetryAfter
		}
	}
	return 0
}

// enforceQuarantine adds to changes of the quarantine what follows from them: waiting
// requests with a refused part are refused, and running ones without output end if the
// evidence is strong. The attempt of the request lost has ended already.
func (st *State) enforceQuarantine(at time.Time, changes []Effect, lost RequestID) []Effect {
	if len(changes) == 0 {
		return nil
	}
	effects := changes
	for _, id := range slices.Sorted(maps.Keys(st.requests)) {
		e := st.requests[id]
		v := st.quarantine.judge(at, e.parts)
		switch {
		case e.answered || !v.until.After(at):
		case e.target == "":
			st.service(e.request.Service).waiting.remove(func(w *activeRequest) bool { return w == e })
			delete(st.requests, id)
			effects = append(effects, Refuse{ID: id, RetryAfter: v.until.Sub(at), Reason: Quarantined})
		case v.certain && e.request.Movable && !e.moving && id != lost:
			e.moving = true
			effects = append(effects, Move{ID: id})
		}
	}
	return effects
}

// CrashEvidence returns what the other entry instances must know about crashes, and its
// version.
func (st *State) CrashEvidence() (CrashEvidence, uint64) {
	return st.quarantine.evidence(), st.quarantine.version
}

// OwnCrashes returns the crashes that this instance has reported with begun responses,
// with the parts that still explain them in Begun.
func (st *State) OwnCrashes() []CrashReport { return st.quarantine.own() }

// QuarantineVersion returns a number that increases when CrashEvidence changes.
func (st *State) QuarantineVersion() uint64 { return st.quarantine.version }
