package control

import (
	"encoding/json"
	"time"

	"chervilswitch.example/shared/platform"
)

const (
	// intentTimeout is how long an attempt waits to read its own intent back.
	intentTimeout = 2 * time.Second
	// intentInterval separates an agent's appends; keys that arrive meanwhile share one.
	intentInterval = 20 * time.Millisecond
	// intentReadWindow is how new the last read of the intents must be.
	intentReadWindow = 2 * time.Second
	// maxIntentKeys bounds the keys in one record.
	maxIntentKeys = 256
)

// Intent is a record of the intent stream: one agent incarnation is about to
// run these keys. The first record that names a key owns it.
type Intent struct {
	Format      int         `json:"format"`
	Instance    string      `json:"instance"`
	Incarnation uint64      `json:"incarnation"`
	Keys        []IntentKey `json:"keys"`
}

// IntentKey is one key with the fingerprint of its request.
type IntentKey struct {
	Key         string `json:"key"`
	Fingerprint uint64 `json:"fingerprint"`
}

// owner is who owns a key and, if it is this process, its present run.
type owner struct {
	instance    string
	incarnation uint64
	fingerprint uint64
	// attempt is the attempt that ran or runs the key here; empty if none did.
	attempt AttemptID
}

// retainedKey is a key with the offset of the intent that owns it.
type retainedKey struct {
	offset platform.Offset
	key    string
}

// keyState enforces that a key is run at most once. The log's order decides who
// owns a key; its owner's memory decides whether it ran.
//
// Worked example: agents a and b both append an intent for key k; a's record
// has offset 5, b's 6. Both read record 5 first: a runs k, b answers that a
// owns it. If a is replaced, its new incarnation finds record 5 naming the old
// one, and k is answered as unknown for ever after, even if it never ran.
type keyState struct {
	owners map[string]owner
	// retained lists the owned keys by offset, to forget with the log.
	retained []retainedKey
	// lastRead is the last intent offset applied, from its first retained record.
	lastRead platform.Offset
	started  bool
	end      platform.Offset
	// requestedAt is when the read that last reached the end was begun.
	requestedAt time.Time
	// waiting are attempts whose intent was not read back, in order of arrival.
	waiting  []AttemptID
	unsent   []IntentKey
	sentAt   time.Time
	reserved int
}

// DecodeIntent reads an intent record. Errors match ErrRecord.
func DecodeIntent(data []byte) (Intent, error) {
	var intent Intent
	if err := json.Unmarshal(data, &intent); err != nil {
		return Intent{}, ErrRecord.Wrap(err, "decode intent")
	}
	if intent.Format != RecordFormat {
		return Intent{}, ErrRecord.New("intent has format %d", intent.Format)
	}
	return intent, nil
}

// fresh tells whether the keys' owners are known up to a moment ago.
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
		return // The intent holds only strings and numbers.
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
		// Retention passed records that were never read; whose keys is unknown.
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

// refuseWaiting drops the waiting attempts when intents were missed.
func (k *keyState) refuseWaiting(st *State, a *agentState) {
	waiting := k.waiting
	k.waiting, k.unsent = nil, nil
	for _, id := range waiting {
		k.reserved--
		a.refuse(st, a.runs[id], Verdict{Outcome: OutcomeNotRun, Code: CodeLogUnavailable})
	}
}

// prune forgets the keys whose intents the log no longer retains.
func (k *keyState) prune(first platform.Offset) {
	for len(k.retained) > 0 && k.retained[0].offset < first {
		delete(k.owners, k.retained[0].key)
		k.retained = k.retained[1:]
	}
}

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

// resolve decides an attempt whose key has an owner.
func (k *keyState) resolve(st *State, a *agentState, r *run, o owner) {
	mine := o.instance == st.self.Instance && o.incarnation == st.self.Incarnation
	switch {
	case o.fingerprint != r.submission.Fingerprint:
		a.refuse(st, r, Verdict{Outcome: OutcomeNotRun, Code: CodeKeyReused})
	case mine && o.attempt != "":
		r.state, r.joined = runRefused, o.attempt
		st.emit(LogDecision{Code: DecisionKey, Request: RequestID(r.submission.Attempt), Chosen: string(o.attempt), Reason: "sameKey"})
		st.emit(Join{Attempt: r.submission.Attempt, Runs: o.attempt})
	case mine:
		k.run(st, a, r, o)
	case o.instance == st.self.Instance:
		a.refuse(st, r, Verdict{Outcome: OutcomeUnknown, Code: CodeKeyMayHaveRun})
	default:
		k.redirect(st, a, r, o)
	}
}

// run starts the key here, if the gates are still open after the wait.
func (k *keyState) run(st *State, a *agentState, r *run, o owner) {
	if code, ok := a.checkAdmission(st, r.submission); !ok {
		a.refuse(st, r, Verdict{Outcome: OutcomeNotRun, Code: code})
		return
	}
	o.attempt = r.submission.Attempt
	k.owners[r.submission.Key] = o
	a.start(st, r)
}

// redirect names the owner if its incarnation is the newest that is known.
func (k *keyState) redirect(st *State, a *agentState, r *run, o owner) {
	newest, ok := st.config.Fencing(o.instance)
	if ok && newest.Incarnation > o.incarnation {
		a.refuse(st, r, Verdict{Outcome: OutcomeUnknown, Code: CodeKeyMayHaveRun})
		return
	}
	a.refuse(st, r, Verdict{Outcome: OutcomeMoved, Code: CodeDuplicateAttempt, Owner: o.instance})
}

// onTick gives up on intents that were not read back. Nothing was forwarded and
// nothing will be: an intent that still takes effect finds no waiting attempt.
func (k *keyState) onTick(st *State, a *agentState) {
	k.flush(st)
	kept := k.waiting[:0]
	for _, id := range k.waiting {
		r := a.runs[id]
		if st.now.Sub(r.since) <= intentTimeout {
			kept = append(kept, id)
			continue
		}
		k.reserved--
		a.refuse(st, r, Verdict{Outcome: OutcomeNotRun, Code: CodeLogUnavailable})
	}
	k.waiting = kept
}

// ranKey tells whether a key's answer is still kept under an attempt.
func (k *keyState) ranKey(r *run) bool {
	o, ok := k.owners[r.submission.Key]
	return ok && r.submission.Key != "" && o.attempt == r.submission.Attempt
}
