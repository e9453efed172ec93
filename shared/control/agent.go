package control

import (
	"slices"
	"strconv"
	"time"

	"chervilswitch.example/shared/operator"
)

const (
	// attemptRetention is how long an agent keeps a finished or refused attempt. The
	// attempt that ran for a key is kept as long as the log retains the key's intent.
	attemptRetention = 10 * time.Minute
	// coldSlowdown is the multiple of the smoothed first-output latency above which
	// a target counts as cold.
	coldSlowdown = 4
	// minColdLatency is the first-output latency up to which a target never counts
	// as cold.
	minColdLatency = 200 * time.Millisecond
	// outputWeight is the weight of one sample in the smoothed first-output latency.
	outputWeight = 0.2
	// noReadersGracePeriod is how long an idempotent attempt keeps running without a
	// reader, so that the caller can resume it through another entry.
	noReadersGracePeriod = 10 * time.Second
	// reportTimeout is the age of the last load report above which a model target
	// gets no new work.
	reportTimeout = 3 * time.Second
)

// runState is the state of an attempt at the agent.
type runState int

const (
	// runAwaitingIntent: the intent for the attempt's key is not read back yet.
	runAwaitingIntent runState = iota
	runRunning
	runFinished
	runRefused
)

// run is an attempt and its state at the agent.
type run struct {
	submission     Submission
	state          runState
	producedOutput bool
	failed         bool
	verdict        Verdict
	// joined is the attempt with the same key whose response this one shares.
	joined AttemptID
	// since is when the attempt was received or, once it has finished, when it finished.
	since time.Time
	// noReadersSince is when the last reader of the output disconnected; zero while
	// there is one.
	noReadersSince time.Time
}

// agentState is the part of the state that only agents use.
type agentState struct {
	runs    map[AttemptID]*run
	running int
	// awaitingOutput counts running attempts without any output from the target. It
	// never exceeds the cold limit, so that a target that turns cold without a
	// report gets no more than that before the agent detects it.
	awaitingOutput int
	limit          int
	cold           bool
	// boot identifies the target's current process; it changes on a restart.
	boot string
	// foreignRunning is the number of attempts at the target that this incarnation
	// did not send.
	foreignRunning int
	// peakRunning is the maximum of running since the last load report.
	peakRunning int
	reportedAt  time.Time
	reportCount int
	leaving     bool
	// firstOutput is the smoothed latency to the first output.
	firstOutput time.Duration
	// warmed is set by the first output that arrives in time after a reset of the limit,
	// unless the target reports that it is cold.
	warmed  bool
	sweptAt time.Time
	keys    keyState
}

func (a *agentState) reduce(st *State, e Event) {
	switch e := e.(type) {
	case AttemptSubmitted:
		a.onSubmitted(st, e.Submission)
	case AttachRequested:
		a.onAttachRequested(st, e)
	case TargetFirstOutput:
		a.onFirstOutput(st, e)
	case TargetFinished:
		a.onFinished(st, e)
	case TargetReport:
		a.onReport(st, e)
	case ReadersChanged:
		a.onReadersChanged(st, e)
	}
}

// service returns the target's service from the applied configuration.
func (a *agentState) service(st *State) operator.Service {
	return st.config.Inventory().Services[st.self.Service]
}

// closed returns the reason why the agent refuses new work and true, or false if
// it accepts work.
func (a *agentState) closed(st *State) (Code, bool) {
	instance, known := st.config.Inventory().Instances[st.self.Instance]
	switch {
	case st.superseded:
		return CodeSuperseded, true
	case !st.Gate().Open():
		return CodeGateClosed, true
	case !known:
		return CodeNoTarget, true
	case st.draining || a.leaving || st.Leaving(st.self.Instance):
		return CodeLeaving, true
	case st.config.Inventory().DataCentres[instance.DataCentre].Out:
		return CodeDataCentreOut, true
	case a.service(st).Kind == operator.KindModel && !a.reported(st):
		return CodeUnknownTargetState, true
	}
	return "", false
}

// reported reports whether the target's last load report is recent.
func (a *agentState) reported(st *State) bool {
	return a.reportCount > 0 && st.now.Sub(a.reportedAt) <= reportTimeout
}

// capacity returns the number of attempts that may still start. A target counts as
// cold until it has served an attempt.
func (a *agentState) capacity(st *State) int {
	service := a.service(st)
	limit := max(a.limit, service.ColdLimit)
	if a.cold || !a.warmed {
		limit = service.ColdLimit
	}
	limit = min(limit, service.WarmLimit)
	return min(limit-a.running-a.foreignRunning, service.ColdLimit-a.awaitingOutput)
}

func (a *agentState) onSubmitted(st *State, s Submission) {
	if a.runs == nil {
		a.runs = make(map[AttemptID]*run)
	}
	if old, ok := a.runs[s.Attempt]; ok {
		a.answerDuplicate(st, s.Attempt, old)
		return
	}
	r := &run{submission: s, since: st.now}
	a.runs[s.Attempt] = r
	if code, ok := a.checkAdmission(st, s); !ok {
		a.refuse(st, r, Verdict{Outcome: OutcomeNotRun, Code: code})
		return
	}
	if !a.idempotent(st, s) && s.Key != "" {
		a.keys.onSubmitted(st, a, r)
		return
	}
	a.start(st, r)
}

// idempotent reports whether an attempt may run more than once. Both the entry and
// the agent's own configuration must allow it.
func (a *agentState) idempotent(st *State, s Submission) bool {
	service := a.service(st)
	return s.Idempotent && (service.Kind == operator.KindModel || service.Repeatable(s.Method, s.Path))
}

// checkAdmission reports whether an attempt may start now, with the reason if not.
func (a *agentState) checkAdmission(st *State, s Submission) (Code, bool) {
	if s.Incarnation != st.self.Incarnation {
		return CodeOtherIncarnation, false
	}
	if code, closed := a.closed(st); closed {
		return code, false
	}
	if a.capacity(st)-a.keys.reserved <= 0 {
		return CodeBusy, false
	}
	return "", true
}

// start admits an attempt. The caller has called checkAdmission for the same event.
func (a *agentState) start(st *State, r *run) {
	r.state = runRunning
	a.running++
	a.awaitingOutput++
	a.peakRunning = max(a.peakRunning, a.running)
	st.emit(LogDecision{Code: DecisionAdmit, Request: RequestID(r.submission.Attempt), Chosen: "run",
		Reason: "running " + strconv.Itoa(a.running) + " limit " + strconv.Itoa(a.limit)})
	st.emit(Run{Attempt: r.submission.Attempt})
}

func (a *agentState) refuse(st *State, r *run, v Verdict) {
	r.state, r.verdict = runRefused, v
	st.emit(LogDecision{Code: DecisionRefuseAttempt, Request: RequestID(r.submission.Attempt), Chosen: string(v.Outcome), Reason: string(v.Code)})
	st.emit(Refuse{Attempt: r.submission.Attempt, Verdict: v})
}

// answerDuplicate responds to an attempt that the agent already has, without
// running it again.
func (a *agentState) answerDuplicate(st *State, id AttemptID, r *run) {
	if r.joined != "" {
		st.emit(Join{Attempt: id, Runs: r.joined})
		return
	}
	switch r.state {
	case runRefused:
		st.emit(Refuse{Attempt: id, Verdict: r.verdict})
	case runAwaitingIntent, runRunning, runFinished:
		st.emit(Join{Attempt: id, Runs: id})
	}
}

// onAttachRequested reports the state of an attempt. An unknown attempt is recorded
// as refused, so that its submission cannot run if it arrives later.
func (a *agentState) onAttachRequested(st *State, e AttachRequested) {
	if a.runs == nil {
		a.runs = make(map[AttemptID]*run)
	}
	if e.Incarnation != st.self.Incarnation {
		st.emit(Refuse{Attempt: e.Attempt, Verdict: Verdict{Outcome: OutcomeUnknown, Code: CodeOtherIncarnation}})
		return
	}
	r, ok := a.runs[e.Attempt]
	if !ok {
		r = &run{submission: Submission{Attempt: e.Attempt}, since: st.now}
		a.runs[e.Attempt] = r
		a.refuse(st, r, Verdict{Outcome: OutcomeNotRun, Code: CodeNeverSeen})
		return
	}
	a.answerDuplicate(st, e.Attempt, r)
}

func (a *agentState) onFirstOutput(st *State, e TargetFirstOutput) {
	r, ok := a.runs[e.Attempt]
	if !ok || r.state != runRunning || r.producedOutput {
		return
	}
	r.producedOutput = true
	a.awaitingOutput--
	if e.Boot != "" && e.Boot != a.boot {
		a.resetToCold(st, e.Boot, "restarted")
		return
	}
	a.recordLatency(st, e.Latency)
}

// recordLatency raises the limit by one for each response that starts in time, so a
// limit of n doubles after n responses. It resets the limit at once if the target has
// become much slower.
func (a *agentState) recordLatency(st *State, latency time.Duration) {
	if a.firstOutput == 0 {
		a.firstOutput = latency
	}
	if latency > minColdLatency && latency > coldSlowdown*a.firstOutput {
		a.resetToCold(st, a.boot, "slow")
		return
	}
	a.firstOutput += time.Duration(outputWeight * float64(latency-a.firstOutput))
	if a.cold {
		return
	}
	service := a.service(st)
	a.warmed = true
	a.limit = min(max(a.limit, service.ColdLimit)+1, service.WarmLimit)
}

// resetToCold drops the limit to the cold limit until the target serves again.
func (a *agentState) resetToCold(st *State, boot, reason string) {
	a.boot = boot
	a.limit = a.service(st).ColdLimit
	a.warmed = false
	st.emit(LogDecision{Code: DecisionLimit, Chosen: strconv.Itoa(a.limit), Reason: reason})
}

func (a *agentState) onFinished(st *State, e TargetFinished) {
	r, ok := a.runs[e.Attempt]
	if !ok || r.state != runRunning {
		return
	}
	r.state, r.failed, r.since = runFinished, e.Failed, st.now
	a.running--
	if !r.producedOutput {
		a.awaitingOutput--
	}
	if e.Failed && !r.producedOutput {
		a.resetToCold(st, a.boot, "failed")
	}
}

func (a *agentState) onReadersChanged(st *State, e ReadersChanged) {
	r, ok := a.runs[e.Attempt]
	if !ok {
		return
	}
	r.noReadersSince = time.Time{}
	if e.Readers == 0 {
		r.noReadersSince = st.now
	}
}

// stopWithoutReaders stops idempotent attempts that had no reader for
// noReadersGracePeriod.
func (a *agentState) stopWithoutReaders(st *State) {
	for _, id := range st.ActiveAttempts() {
		r := a.runs[id]
		if r.state != runRunning || r.noReadersSince.IsZero() || !a.idempotent(st, r.submission) {
			continue
		}
		if st.now.Sub(r.noReadersSince) > noReadersGracePeriod {
			r.noReadersSince = time.Time{}
			st.emit(Stop{Attempt: id})
		}
	}
}

// onReport applies a load report. If the target reports more attempts than this
// incarnation had running at any time since the last report, an earlier incarnation
// sent the excess.
func (a *agentState) onReport(st *State, e TargetReport) {
	if e.Boot != a.boot {
		a.resetToCold(st, e.Boot, "restarted")
	}
	if e.Cold && !a.cold {
		a.resetToCold(st, e.Boot, "reportedCold")
	}
	a.cold = e.Cold
	a.leaving = a.leaving || e.Leaving
	a.foreignRunning = max(0, e.Running-a.peakRunning)
	a.peakRunning = a.running
	a.reportCount++
	a.reportedAt = st.now
}

// load returns the load that the process attaches to its responses. An agent
// divides its capacity among the entries that it exchanges heartbeats with.
func (a *agentState) load(st *State) Load {
	if st.self.Role != operator.RoleAgent {
		return Load{Closed: st.draining}
	}
	_, closed := a.closed(st)
	capacity := max(0, a.capacity(st)-a.keys.reserved)
	if closed {
		capacity = 0
	}
	entries := max(1, st.livePeerCount(operator.RoleEntry))
	service := a.service(st)
	return Load{
		Running:     a.running + a.foreignRunning,
		Limit:       min(max(a.limit, service.ColdLimit), max(1, service.WarmLimit)),
		Credit:      (capacity + entries - 1) / entries,
		FirstOutput: a.firstOutput,
		Cold:        a.cold || !a.warmed,
		Closed:      closed,
	}
}

// livePeerCount counts the peers of a role with a recent heartbeat.
func (s *State) livePeerCount(role operator.Role) int {
	count := 0
	for _, h := range s.heartbeats {
		if h.heartbeat.Role == role && s.now.Sub(h.requestedAt) <= heartbeatWindow {
			count++
		}
	}
	return count
}

// Load returns the load that the process attaches to its responses.
func (s *State) Load() Load { return s.agent.load(s) }

// Running returns the number of attempts that run at the target or wait for their
// intent to be read back. A draining agent waits until it is zero.
func (s *State) Running() int { return s.agent.running + s.agent.keys.reserved }

func (a *agentState) onTick(st *State) {
	a.keys.onTick(st, a)
	a.stopWithoutReaders(st)
	if st.now.Sub(a.sweptAt) < attemptRetention/10 {
		return
	}
	a.sweptAt = st.now
	for id, r := range a.runs {
		finished := r.state == runFinished || r.state == runRefused
		if finished && st.now.Sub(r.since) > attemptRetention && !a.keys.ranKey(r) {
			delete(a.runs, id)
		}
	}
}

// ActiveAttempts lists the attempts that run or wait for their intent, sorted.
func (s *State) ActiveAttempts() []AttemptID {
	var ids []AttemptID
	for id, r := range s.agent.runs {
		if r.state == runRunning || r.state == runAwaitingIntent {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}
