package control

import (
	"encoding/json"
	"time"

	"chervilswitch.example/shared/platform"
)

const (
	// intentTimeout is how long an attempt waits to read its own intent back.
	intentTimeout = 2 * time.Second
	// intentInterval is the minimum time between an agent's intent appends. Keys that
	// arrive in between share one append.
	intentInterval = 20 * time.Millisecond
	// intentReadWindow is the age of the last complete read of the intents above which
	// keyed attempts are refused.
	intentReadWindow = 2 * time.Second
	// maxIntentKeys is the maximum number of keys in one record.
	maxIntentKeys = 256
)

// Intent is a record of the intent stream: an agent incarnation announces that it is
// about to run requests with these keys. The first record that names a key determines
// its owner.
type Intent struct {
	Format      int         `json:"format"`
	Instance    string      `json:"instance"`
	Incarnation uint64      `json:"incarnation"`
	Keys        []IntentKey `json:"keys"`
}

// IntentKey is an idempotency key with the fingerprint of its request.
type IntentKey struct {
	Key         string `json:"key"`
	Fingerprint uint64 `json:"fingerprint"`
}

// owner is the agent incarnation that owns a key.
type owner struct {
	instance    string
	incarnation uint64
	fingerprint uint64
	// attempt is the attempt with the key that runs or ran at this process; empty if
	// there is none.
	attempt AttemptID
}

// retainedKey is a key with the offset of the intent that determined its owner.
type retainedKey struct {
	offset platform.Offset
	key    string
}

// keyState ensures that a request with a key runs at most once. The order of the log
// determines the owner of a key. Only the owner knows whether the request ran, and it
// keeps that in memory.
//
// Example: agents a and b both append an intent for key k; a's record has offset 5,
// b's has 6. Both read record 5 first: a runs the request, and b responds that a owns k.
// If a is replaced, its new incarnation reads that the old one owns k, and returns the
// outcome unknown for k from then on, even if the request never ran.
type keyState struct {
	owners map[string]owner
	// retained lists the owned keys by offset. They are removed when their intents
	// expire from the log.
	retained []retainedKey
	// lastRead is the last intent offset that was applied. Reading starts at the first
	// record that the log retains.
	lastRead platform.Offset
	started  bool
	// end is the offset that the next record of the stream gets.
	end platform.Offset
	// requestedAt is when the last read that reached the end began.
	requestedAt time.Time
	// waiting lists the attempts whose intent is not read back yet, in order of arrival.
	waiting []AttemptID
	// unsent lists the keys that no appended intent names yet.
	unsent []IntentKey
	sentAt time.Time
	// reserved is the capacity that is held for waiting attempts.
	reserved int
}

// DecodeIntent decodes an intent record. Errors match ErrInvalidRecord.
func DecodeIntent(data []byte) (Intent, error) {
	var intent Intent
	if err := json.Unmarshal(data, &intent); err != nil {
		return Intent{}, ErrInvalidRecord.Wrap(err, "decode intent")
	}
	if intent.Format != RecordFormat {
		return Intent{}, ErrInvalidRecord.New("intent has unsupported format %d", intent.Format)
	}
	return intent, nil
}

// fresh reports whether the intents were recently read to the end of the stream.
func (k *keyState) fresh(now time.Time) bool {
	return k.started && k.lastRead+1 >= k.end && !k.requestedAt.IsZero() && now.Sub(k.requestedAt) <= intentReadWindow
}

func (k *keyState) onSubmitted(st *State, a *agentState, r *run) {
	if !k.fresh(st.now) {
		a.refuse(st, r, Verdict{Outcome: OutcomeNotRun, Code: CodeLogUnavailable})
		return
	}
	if o, ok := k.owners[r.submission.Key]; ok {
		k.resolve(st, a, r, o)
		return
	}
	r.state = runAwaitingIntent
	k.reserved++
	k.waiting = append(k.waiting, r.submission.Attempt)
	k.unsent = append(k.unsent, IntentKey{Key: r.submission.Key, Fingerprint: r.submission.Fingerprint})
	k.flush(st)
}

// flush appends an intent with the unsent keys, unless the last append is too recent.
func (k *keyState) flush(st *State) {
	if len(k.unsent) == 0 || st.now.Sub(k.sentAt) < intentInterval {
		return
	}
	count := min(len(k.unsent), maxIntentKeys)
	data, err := json.Marshal(Intent{
		Format:      RecordFormat,
		Instance:    st.self.Instance,
		Incarnation: st.self.Incarnation,
		Keys:        k.unsent[:count],
	})
	if err != nil {
		return // Cannot happen: an intent contains only strings and numbers.
	}
	k.unsent = append([]IntentKey(nil), k.unsent[count:]...)
	k.sentAt = st.now
	st.emit(Append{Stream: platform.IntentStream(st.self.Service), Data: data})
}

// onIntentPage applies a page of the intent stream.
func (a *agentState) onIntentPage(st *State, e LogPage) {
	if e.Stream != platform.IntentStream(st.self.Service) {
		return
	}
	k := &a.keys
	if !k.started {
		k.started, k.lastRead = true, e.Page.First-1
	}
	if e.Page.First > k.lastRead+1 {
		// Records expired before they were read; the owners of their keys are unknown.
		k.lastRead = e.Page.First - 1
		k.refuseWaiting(st, a)
	}
	for _, r := range e.Page.Records {
		if r.Offset != k.lastRead+1 {
			continue
		}
		k.lastRead = r.Offset
		if intent, err := DecodeIntent(r.Data); err == nil {
			k.addOwners(r.Offset, intent)
		}
	}
	k.prune(e.Page.First)
	k.end = e.Page.Next
	if k.lastRead+1 >= k.end && e.RequestedAt.After(k.requestedAt) {
		k.requestedAt = e.RequestedAt
	}
	k.resolveWaiting(st, a)
}

// refuseWaiting refuses the waiting attempts after intents expired unread.
func (k *keyState) refuseWaiting(st *State, a *agentState) {
	waiting := k.waiting
	k.waiting, k.unsent = nil, nil
	for _, id := range waiting {
		k.reserved--
		a.refuse(st, a.runs[id], Verdict{Outcome: OutcomeNotRun, Code: CodeLogUnavailable})
	}
}

// prune removes the keys whose intents the log no longer retains.
func (k *keyState) prune(first platform.Offset) {
	for len(k.retained) > 0 && k.retained[0].offset < first {
		delete(k.owners, k.retained[0].key)
		k.retained = k.retained[1:]
	}
}

// addOwners sets the owner of each key of an intent that has none yet.
func (k *keyState) addOwners(offset platform.Offset, intent Intent) {
	if k.owners == nil {
		k.owners = make(map[string]owner)
	}
	for _, key := range intent.Keys {
		if _, ok := k.owners[key.Key]; !ok {
			k.retained = append(k.retained, retainedKey{offset: offset, key: key.Key})
			k.owners[key.Key] = owner{instance: intent.Instance, incarnation: intent.Incarnation, fingerprint: key.Fingerprint}
		}
	}
}

// resolveWaiting resolves the waiting attempts whose key has an owner now.
func (k *keyState) resolveWaiting(st *State, a *agentState) {
	waiting := k.waiting
	k.waiting = nil
	for _, id := range waiting {
		r := a.runs[id]
		o, ok := k.owners[r.submission.Key]
		if !ok {
			k.waiting = append(k.waiting, id)
			continue
		}
		k.reserved--
		k.resolve(st, a, r, o)
	}
}

// resolve runs, joins, redirects or refuses an attempt whose key has an owner.
func (k *keyState) resolve(st *State, a *agentState, r *run, o owner) {
	ownedHere := o.instance == st.self.Instance && o.incarnation == st.self.Incarnation
	switch {
	case o.fingerprint != r.submission.Fingerprint:
		a.refuse(st, r, Verdict{Outcome: OutcomeNotRun, Code: CodeKeyReused})
	case ownedHere && o.attempt != "":
		r.state, r.joined = runRefused, o.attempt
		st.emit(LogDecision{Code: DecisionKey, Request: RequestID(r.submission.Attempt), Chosen: string(o.attempt), Reason: "sameKey"})
		st.emit(Join{Attempt: r.submission.Attempt, Runs: o.attempt})
	case ownedHere:
		k.run(st, a, r, o)
	case o.instance == st.self.Instance:
		a.refuse(st, r, Verdict{Outcome: OutcomeUnknown, Code: CodeKeyMayHaveRun})
	default:
		k.redirect(st, a, r, o)
	}
}

// run starts an attempt whose key this process owns, if it is still admitted after
// the wait for the intent.
func (k *keyState) run(st *State, a *agentState, r *run, o owner) {
	if code, ok := a.checkAdmission(st, r.submission); !ok {
		a.refuse(st, r, Verdict{Outcome: OutcomeNotRun, Code: code})
		return
	}
	o.attempt = r.submission.Attempt
	k.owners[r.submission.Key] = o
	a.start(st, r)
}

// redirect refuses an attempt and names the owner of its key, unless a newer
// incarnation of the owner is known.
func (k *keyState) redirect(st *State, a *agentState, r *run, o owner) {
	newest, ok := st.config.NewestClaim(o.instance)
	if ok && newest.Incarnation > o.incarnation {
		a.refuse(st, r, Verdict{Outcome: OutcomeUnknown, Code: CodeKeyMayHaveRun})
		return
	}
	a.refuse(st, r, Verdict{Outcome: OutcomeMoved, Code: CodeDuplicateAttempt, Owner: o.instance})
}

// onTick refuses attempts whose intent was not read back in time. They have not run
// and cannot run later: an intent that still takes effect finds no waiting attempt.
func (k *keyState) onTick(st *State, a *agentState) {
	k.flush(st)
	remaining := k.waiting[:0]
	for _, id := range k.waiting {
		r := a.runs[id]
		if st.now.Sub(r.since) <= intentTimeout {
			remaining = append(remaining, id)
			continue
		}
		k.reserved--
		a.refuse(st, r, Verdict{Outcome: OutcomeNotRun, Code: CodeLogUnavailable})
	}
	k.waiting = remaining
}

// ranKey reports whether the attempt is the one that ran for its key, so that retries
// with the key can join it.
func (k *keyState) ranKey(r *run) bool {
	o, ok := k.owners[r.submission.Key]
	return ok && r.submission.Key != "" && o.attempt == r.submission.Attempt
}
