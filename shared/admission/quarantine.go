package admission

import (
	"slices"
	"time"
)

const (
	// soundWindow is how long a part that was answered counts as sound at a crash.
	soundWindow = time.Minute
	// shortHold is the hold of parts with weak evidence. After it, single requests with
	// such a part show whether the part is sound.
	shortHold = 5 * time.Second
	// baseHold is the hold of the only part that explains a crash. It doubles with each
	// further crash, up to maxHold.
	baseHold = time.Minute
	maxHold  = 5 * time.Minute
	// EvidenceAge is the age at which a crash is forgotten.
	EvidenceAge = time.Hour
	// certainCrashes is the number of crashes that convict a request, whatever else was
	// lost in them.
	certainCrashes = 3
	// maxRankSuspects is the number of requests that are convicted together by the crash of a
	// rank, if they alone had begun. It stops the requests of its whole group for seconds.
	maxRankSuspects = 3
	// reporterLead is how much earlier the reporter of a crash tries a part again than
	// the other instances.
	reporterLead = 10 * time.Second
	// trialRetryAfter applies while another request with the same part is on trial.
	trialRetryAfter = 500 * time.Millisecond
	// refuteAfter is the time after a crash from which output of the target shows that
	// it did not crash. Until then, output may have been on its way.
	refuteAfter = 300 * time.Millisecond
	// restartTime is the shortest time in which a crashed target can be back.
	restartTime = time.Second
	// joinedCrash is the time within which a crash without begun responses is attributed
	// to the same parts as one with them: requests with those parts, which are ended at
	// the first crash, run on several targets.
	joinedCrash = time.Second
	// maxCrashes bounds the crashes that are remembered.
	maxCrashes = 64
)

// QuarantineChanged reports a change of the parts whose requests are refused.
type QuarantineChanged struct {
	Report CrashReport
	Change QuarantineChange
	// Parts lists the parts that are refused because of the crash, and Hold for how long
	// after it at most.
	Parts []string
	Hold  time.Duration
}

// QuarantineChange is the kind of a change of the quarantine.
type QuarantineChange int

// Kinds of changes of the quarantine.
const (
	// CrashReported means that a crash became known, or more about it.
	CrashReported QuarantineChange = iota
	// CrashRefuted means that the target was seen to work after the supposed crash.
	CrashRefuted
	// PartCleared means that a target sent output for the parts after the crash.
	PartCleared
)

// String returns the change's name in logs.
func (c QuarantineChange) String() string {
	return [...]string{"reported", "refuted", "cleared"}[c]
}

func (QuarantineChanged) effect() {}

// quarantine decides which requests are refused because they crash targets: a part of
// their prompt does so, or the request itself, which its identity stands for. Its evidence
// consists of crashes and of the parts that were answered; what follows from it is computed
// when it is needed.
type quarantine struct {
	instance string
	crashes  []*CrashReport // By time, oldest first.
	sound    soundParts
	// answered holds requests by identity. They are kept apart, as most come only once and
	// would displace the parts.
	answered soundParts
	// peerSound holds when other instances last received output for suspected parts.
	peerSound map[string]time.Time
	// version increases with each change of what the other instances must know.
	version uint64
}

// active reports whether any crash is remembered.
func (q *quarantine) active() bool { return len(q.crashes) > 0 }

// ownSound returns when this instance last received output for a part or a request; zero
// if that is not known.
func (q *quarantine) ownSound(part string) time.Time {
	if isIdentity(part) {
		return q.answered.at(part)
	}
	return q.sound.at(part)
}

// lastSound returns when a part was last answered; zero if that is not known.
func (q *quarantine) lastSound(part string) time.Time {
	own, peers := q.ownSound(part), q.peerSound[part]
	if peers.After(own) {
		return peers
	}
	return own
}

// explanation holds the parts of prompts that explain a crash.
type explanation struct {
	crash *CrashReport
	parts []string
	// repeated is true if the parts were answered before, and lost in an earlier crash.
	repeated bool
}

// explain returns the parts of prompts that explain a crash: those that were not answered
// after it, nor shortly before it. If there are none, a part that was answered before may
// have become harmful; then it must have been lost in an earlier crash as well, and not
// have been answered since.
func (q *quarantine) explain(c *CrashReport) explanation {
	if c.Refuted || q.explained(c) {
		return explanation{crash: c}
	}
	var parts, again []string
	for _, part := range c.suspects() {
		if isIdentity(part) {
			continue
		}
		sound := q.lastSound(part)
		switch {
		case sound.After(c.At):
		case sound.Before(c.At.Add(-soundWindow)):
			parts = append(parts, part)
		case q.offences(part) > 1:
			again = append(again, part)
		}
	}
	if len(parts) > 0 {
		return explanation{crash: c, parts: parts}
	}
	return explanation{crash: c, parts: again, repeated: true}
}

// explained reports whether a crash without begun responses happened together with one
// that has them.
func (q *quarantine) explained(c *CrashReport) bool {
	return len(c.Begun) == 0 && slices.ContainsFunc(q.crashes, func(other *CrashReport) bool {
		return len(other.Begun) > 0 && !other.Refuted && c.At.Sub(other.At).Abs() < joinedCrash
	})
}

// offences counts the crashes that a part may have caused since it was last answered.
// Crashes within shortHold of each other count once, as their requests ran together.
func (q *quarantine) offences(part string) int {
	count, last, sound := 0, time.Time{}, q.lastSound(part)
	for _, c := range q.crashes {
		if c.Refuted || q.explained(c) || !c.At.After(sound) || !slices.Contains(c.suspects(), part) {
			continue
		}
		if last.IsZero() || c.At.Sub(last) > shortHold {
			count, last = count+1, c.At
		}
	}
	return count
}

// hold returns how long after a crash requests with a part that may explain it are
// refused. Evidence is weak if the part was lost for the first time and its response had
// not begun. If there are other candidates, requests that begin with the part are tried
// soon as well: a first part belongs to all requests of a caller, so it is less likely to
// be harmful and costs most if it is refused.
func (q *quarantine) hold(x explanation, part string, first bool) time.Duration {
	offences := q.offences(part)
	if x.repeated || len(x.crash.Begun) == 0 {
		offences--
	}
	if offences < 1 || first && len(x.parts) > 1 {
		return shortHold
	}
	return min(maxHold, baseHold<<min(offences-1, 8))
}

// verdict is the decision on requests with certain parts.
type verdict struct {
	// until is when the parts are admitted again; zero if they are not refused.
	until time.Time
	// certain is true if the evidence is strong enough to end running requests.
	certain bool
	// onTrial lists parts that are admitted one request at a time.
	onTrial []string
}

// judge returns the verdict on requests that contain the parts.
func (q *quarantine) judge(at time.Time, parts []string) (v verdict) {
	if len(parts) == 0 || !q.active() {
		return v
	}
	if last := parts[len(parts)-1]; isIdentity(last) {
		v = q.judgeIdentity(at, last)
	}
	for _, c := range q.crashes {
		if !containsAny(c.suspects(), parts) {
			continue
		}
		x := q.explain(c)
		for i, part := range parts {
			if !slices.Contains(x.parts, part) {
				continue
			}
			hold := q.hold(x, part, i == 0)
			until := c.At.Add(hold)
			if hold > shortHold && c.Reporter != q.instance {
				until = until.Add(reporterLead)
			}
			if !at.Before(until) {
				v.onTrial = append(v.onTrial, part)
				continue
			}
			if until.After(v.until) {
				v.until = until
			}
			v.certain = v.certain || hold > shortHold
		}
	}
	return v
}

// crashesOf returns the crashes that a request may have caused since it was last answered,
// oldest first.
func (q *quarantine) crashesOf(identity string) (crashes []*CrashReport) {
	sound := q.lastSound(identity)
	for _, c := range q.crashes {
		if !c.Refuted && c.At.After(sound) && slices.Contains(c.suspects(), identity) {
			crashes = append(crashes, c)
		}
	}
	return crashes
}

// isCommon reports whether a request was answered shortly before the first of the crashes.
// A request that crashes each target never is, so others merely look the same.
func (q *quarantine) isCommon(identity string, crashes []*CrashReport) bool {
	return crashes[0].At.Sub(q.lastSound(identity)) < soundWindow
}

// lostTogether returns the other requests that may have caused all of the crashes.
func (q *quarantine) lostTogether(identity string, crashes []*CrashReport) (others []string) {
	for _, other := range crashes[0].suspects() {
		if !isIdentity(other) || other == identity {
			continue
		}
		if of := q.crashesOf(other); len(of) >= len(crashes) && !q.isCommon(other, of) {
			others = append(others, other)
		}
	}
	return others
}

// identityHold returns how long after the last of its crashes a request is refused: 0 if
// it is sent again, but not together with the requests in apart. Requests that run on a
// target when another one crashes it are lost as well. So a request is convicted by two
// crashes that only it explains. One is enough if the target was a rank and few responses
// had begun, this one among them, since the next crash would stop a whole group again.
func (q *quarantine) identityHold(identity string, crashes []*CrashReport) (hold time.Duration, apart []string) {
	switch {
	case len(crashes) == 0:
		return 0, nil
	case q.isCommon(identity, crashes):
		if len(crashes) < certainCrashes {
			return 0, nil
		}
		return shortHold, []string{identity}
	case len(crashes) >= certainCrashes:
		return EvidenceAge, nil
	}
	others := q.lostTogether(identity, crashes)
	if len(others) == 0 && len(crashes) == certainCrashes-1 || crashes[0].Rank && len(crashes[0].Begun) > 0 && len(others) < maxRankSuspects {
		return baseHold, append(others, identity)
	}
	if len(crashes) == 1 {
		others = nil // Most of them are sound.
	}
	return 0, append(others, identity)
}

// convicted returns the requests that are refused because of a crash, and their longest
// hold.
func (q *quarantine) convicted(c *CrashReport) (identities []string, longest time.Duration) {
	for _, identity := range q.openIdentities(c, c.suspects()) {
		if hold, _ := q.identityHold(identity, q.crashesOf(identity)); hold > 0 {
			identities, longest = append(identities, identity), max(longest, hold)
		}
	}
	return identities, longest
}

// judgeIdentity returns the verdict on a request that is the same as lost ones.
func (q *quarantine) judgeIdentity(at time.Time, identity string) (v verdict) {
	crashes := q.crashesOf(identity)
	if len(crashes) == 0 {
		return v
	}
	hold, apart := q.identityHold(identity, crashes)
	last := crashes[len(crashes)-1]
	until := last.At.Add(hold)
	if hold > 0 && last.Reporter != q.instance {
		until = until.Add(reporterLead)
	}
	if !at.Before(until) {
		return verdict{onTrial: apart}
	}
	return verdict{until: until, certain: true}
}

// recordSound notes that a target answered the parts. It returns a change for each crash
// that they no longer explain.
func (q *quarantine) recordSound(at time.Time, parts []string) []Effect {
	var effects []Effect
	for _, c := range q.crashes {
		if !containsAny(c.suspects(), parts) {
			continue
		}
		cleared := slices.DeleteFunc(q.explain(c).parts, func(part string) bool { return !slices.Contains(parts, part) })
		cleared = append(cleared, q.openIdentities(c, parts)...)
		if len(cleared) > 0 {
			effects = append(effects, QuarantineChanged{Report: *c, Change: PartCleared, Parts: cleared})
			q.version++
		}
	}
	for _, part := range parts {
		if isIdentity(part) {
			q.answered.record(at, part)
		} else {
			q.sound.record(at, part)
		}
	}
	return effects
}

// openIdentities returns the identities among the parts that may have caused a crash and
// have not been answered since.
func (q *quarantine) openIdentities(c *CrashReport, parts []string) (open []string) {
	for _, part := range parts {
		if isIdentity(part) && !c.Refuted && slices.Contains(c.suspects(), part) && c.At.After(q.lastSound(part)) {
			open = append(open, part)
		}
	}
	return open
}

// recordOutput notes that a target sent output at a time for a request that began at
// another, which shows that it has not crashed in between.
func (q *quarantine) recordOutput(at, began time.Time, t *target) []Effect {
	var effects []Effect
	for _, c := range q.crashes {
		if c.Refuted || c.Target != t.ID || c.Incarnation != t.Incarnation {
			continue
		}
		since := at.Sub(c.At)
		if since > refuteAfter && (began.Before(c.At) || since < restartTime) {
			c.Refuted = true
			q.version++
			effects = append(effects, QuarantineChanged{Report: *c, Change: CrashRefuted})
		}
	}
	return effects
}

// recordCrash adds evidence of a crash, or merges it with what is known about the same
// crash. It returns a change if there was anything new.
func (q *quarantine) recordCrash(r CrashReport) []Effect {
	c := q.find(r)
	if c == nil {
		r.Begun, r.Waiting = union(nil, r.Begun), union(nil, r.Waiting)
		c = &r
		q.crashes = append(q.crashes, c)
	} else if !c.merge(r) {
		return nil
	}
	slices.SortStableFunc(q.crashes, func(a, b *CrashReport) int { return a.At.Compare(b.At) })
	if q.dropExcess() == c {
		return nil // Other instances may send it again and again.
	}
	q.version++
	change := QuarantineChanged{Report: *c, Change: CrashReported}
	if c.Refuted {
		change.Change = CrashRefuted
	}
	x := q.explain(c)
	for _, part := range x.parts {
		change.Hold = max(change.Hold, q.hold(x, part, false))
	}
	convicted, hold := q.convicted(c)
	change.Parts, change.Hold = append(x.parts, convicted...), max(change.Hold, hold)
	return []Effect{change}
}

// dropExcess removes a crash if there are too many: the oldest of those that were refuted,
// or else the oldest. It returns the removed one, or nil.
func (q *quarantine) dropExcess() *CrashReport {
	if len(q.crashes) <= maxCrashes {
		return nil
	}
	i := max(0, slices.IndexFunc(q.crashes, func(c *CrashReport) bool { return c.Refuted }))
	dropped := q.crashes[i]
	q.crashes = slices.Delete(q.crashes, i, i+1)
	return dropped
}

// find returns the known report on the same crash, or nil.
func (q *quarantine) find(r CrashReport) *CrashReport {
	for _, c := range q.crashes {
		if c.Target == r.Target && c.Incarnation == r.Incarnation && c.At.Sub(r.At).Abs() < shortHold {
			return c
		}
	}
	return nil
}

// knows reports whether any crash of the same incarnation of the target is known.
func (q *quarantine) knows(r CrashReport) bool {
	return slices.ContainsFunc(q.crashes, func(c *CrashReport) bool {
		return c.Target == r.Target && c.Incarnation == r.Incarnation
	})
}

// applyEvidence merges the evidence of another instance.
func (q *quarantine) applyEvidence(at time.Time, e CrashEvidence) []Effect {
	var effects []Effect
	for _, r := range e.Reports {
		if at.Sub(r.At) < EvidenceAge && !(e.Stored && q.knows(r)) {
			effects = append(effects, q.recordCrash(r)...)
		}
	}
	for part, sound := range e.Sound {
		if q.suspected(part) && sound.After(q.peerSound[part]) {
			if q.peerSound == nil {
				q.peerSound = make(map[string]time.Time)
			}
			q.peerSound[part] = sound
		}
	}
	return effects
}

// suspected reports whether any remembered crash names a part.
func (q *quarantine) suspected(part string) bool {
	return slices.ContainsFunc(q.crashes, func(c *CrashReport) bool {
		return slices.Contains(c.Begun, part) || slices.Contains(c.Waiting, part)
	})
}

// own returns the crashes that this instance has reported and that lead to refusals, with
// the parts that explain them in Begun: those of prompts whose response had begun, and
// requests that are convicted.
func (q *quarantine) own() []CrashReport {
	var reports []CrashReport
	for _, c := range q.crashes {
		if c.Reporter != q.instance {
			continue
		}
		var parts []string
		if len(c.Begun) > 0 {
			parts = q.explain(c).parts
		}
		convicted, _ := q.convicted(c)
		if parts = append(parts, convicted...); len(parts) > 0 {
			report := *c
			report.Begun, report.Waiting = parts, nil
			reports = append(reports, report)
		}
	}
	return reports
}

// forget removes crashes whose evidence is old, and what is known about their parts.
func (q *quarantine) forget(at time.Time) {
	if !q.active() || at.Sub(q.crashes[0].At) < EvidenceAge {
		return
	}
	q.crashes = slices.DeleteFunc(q.crashes, func(c *CrashReport) bool { return at.Sub(c.At) >= EvidenceAge })
	for part := range q.peerSound {
		if !q.suspected(part) {
			delete(q.peerSound, part)
		}
	}
}

// evidence returns what the other instances must know.
func (q *quarantine) evidence() CrashEvidence {
	e := CrashEvidence{Sound: make(map[string]time.Time)}
	for _, c := range q.crashes {
		e.Reports = append(e.Reports, *c)
		for _, part := range slices.Concat(c.Begun, c.Waiting) {
			// Only own observations are sent: ages grow by the delay of each message.
			if sound := q.ownSound(part); !sound.IsZero() {
				e.Sound[part] = sound
			}
		}
	}
	return e
}
