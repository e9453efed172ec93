package admission

import (
	"slices"
	"time"

	"chervilswitch.example/shared/fleet"
)

// RequestID identifies a request within one process.
type RequestID uint64

// Request holds the properties of a request that decisions depend on.
type Request struct {
	ID           RequestID
	Service      string
	Organisation string
	// Priority orders requests; the lowest number goes first. RoutePriority, from 0 to 9,
	// orders those of the same priority.
	Priority, RoutePriority int
	// Objective is the latency objective: the time from the caller's first try to the
	// response, or to the first event of a stream. 0 means none.
	Objective time.Duration
	// Elapsed is the time from the caller's first try to this one.
	Elapsed time.Duration
	// Deadline is the time after which the caller no longer needs a response.
	Deadline time.Time
	// MaxGap is the longest gap between two events of a stream that counts as on time;
	// 0 means no limit.
	MaxGap time.Duration
	// MaxAttempts bounds the attempts that a target may have executed. Including those
	// that were rejected unexecuted, at most MaxAttempts+1 attempts are dispatched.
	MaxAttempts int
	// Movable is true if the request can continue at another target while it runs.
	Movable bool
	// Repeatable is true if targets may execute the request more than once.
	Repeatable bool
	// SharedParts lists the parts of the prompt that other requests may contain as well.
	SharedParts []string
	// Work is the size of a model request.
	Work fleet.Work
	// Identity is equal for requests with the same content; empty if that is not known.
	Identity string
}

// routePriorities is the number of priorities of routes that are told apart.
const routePriorities = 10

// combinedPriority returns the priority with that of the route as its last digit.
func (r *Request) combinedPriority() int {
	return r.Priority*routePriorities + max(0, min(r.RoutePriority, routePriorities-1))
}

// parts returns what may crash targets: the shared parts of the prompt, and last the
// request itself.
func (r *Request) parts() []string {
	if r.Identity == "" {
		return r.SharedParts
	}
	return append(slices.Clone(r.SharedParts), r.Identity)
}

// Event is an input of the reducer.
type Event interface{ event() }

// Submit requests a target for a new request.
type Submit struct{ Request Request }

// Retry requests another target after an attempt that may be repeated.
type Retry struct {
	ID RequestID
	// MayHaveRun is true if the target may have executed the attempt, which then
	// counts against MaxAttempts.
	MayHaveRun bool
	// ResponseStarted is true if the caller has received a part of the response. The
	// request then waits for a target until its deadline.
	ResponseStarted bool
}

// Finish ends a request, whether it waits or runs.
type Finish struct{ ID RequestID }

// AttemptResult reports the outcome of an attempt on a target.
type AttemptResult struct {
	ID              RequestID
	Service, Target string
	Incarnation     uint64 // The target's, when the attempt began.
	Outcome         Outcome
	// Lost is true if the target closed the connection before it sent any output, and
	// Begun if the response had begun by then.
	Lost, Begun bool
	// TimeToFirstOutput is 0 if there was no output, or if it was reported before.
	TimeToFirstOutput time.Duration
}

// Outcome is the result of an attempt. Good is also reported at the first output.
type Outcome int

// Outcomes of an attempt.
const (
	// Good means that the target has started or completed its response, or that the
	// caller disconnected or the deadline passed first.
	Good Outcome = iota
	// Failed means that the target responded with an error status.
	Failed
	// Broken means that the connection was lost or the response was incomplete.
	Broken
	// Unreachable means that the target accepted no connection.
	Unreachable
	// Full means that the target rejected the request without executing it.
	Full
	// Misplaced means that another target listens at the target's address.
	Misplaced
	// GroupDown means that the target waits for a missing rank of its group.
	GroupDown
	// Moved means that the request left a target that delays its group.
	Moved
)

// String returns the outcome's name in logs.
func (o Outcome) String() string {
	return [...]string{"good", "failed", "broken", "unreachable", "full", "misplaced", "groupDown", "moved"}[o]
}

// StreamGap reports the gap between two events of a stream from a target.
type StreamGap struct {
	ID              RequestID
	Service, Target string
	Gap             time.Duration
}

// ServiceTargets replaces a service's configuration and its list of targets.
type ServiceTargets struct {
	Service fleet.Service
	// Targets lists the targets that may take new requests.
	Targets []fleet.Target
}

// EntryInstances replaces the names of the entry instances that share limits, including
// this one.
type EntryInstances struct{ Names []string }

// PeerLoad reports the requests that another entry instance runs, by target.
type PeerLoad struct {
	Peer    string
	Running map[string]int
}

// PeerLost removes the load and the group states that another entry instance reported.
type PeerLost struct{ Peer string }

// GroupReport is one entry instance's report on the state of all groups of ranks. It
// replaces that instance's previous report.
type GroupReport struct {
	Instance string
	// Closed lists the closed groups. A group is closed, and executes no requests, while it
	// waits for a missing rank.
	Closed []string
	// Paces holds the paces of slow ranks, by target. The pace of a rank is the factor
	// by which it is slower than usual; 1 is the usual speed.
	Paces map[string]float64
}

// RetryBudgetChanged sets the retry budget.
type RetryBudgetChanged struct{ RetryBudget RetryBudget }

// Tick advances the time: requests that have waited too long are refused.
type Tick struct{}

func (Submit) event()             {}
func (Retry) event()              {}
func (Finish) event()             {}
func (AttemptResult) event()      {}
func (StreamGap) event()          {}
func (ServiceTargets) event()     {}
func (EntryInstances) event()     {}
func (PeerLoad) event()           {}
func (PeerLost) event()           {}
func (GroupReport) event()        {}
func (RetryBudgetChanged) event() {}
func (Tick) event()               {}

// Effect is a decision of the reducer. The code that calls Reduce executes it.
type Effect interface{ effect() }

// Dispatch sends a request to a target.
type Dispatch struct {
	ID     RequestID
	Target fleet.Target
	// Attempt is the attempt's number, from 1.
	Attempt int
	// Waited is the time since the request was submitted, or since its last retry that
	// had to wait for a target.
	Waited time.Duration
	// Running is the estimated number of requests that the target is already running,
	// and Limit is the most that it may run. A retry may exceed the limit by one.
	Running, Limit int
	// Home is true if the target is in this instance's data centre.
	Home bool
	// Outstanding is the engine's time for what this instance's other requests on the
	// target, as far as their sizes are known, have still to read and to write.
	Outstanding time.Duration
	// HedgeAfter is the time without output after which a HedgeDue event may follow; 0 for
	// never.
	HedgeAfter time.Duration
}

// Move cancels a running request's attempt, so that it can continue at another target.
// A Retry event must follow; it uses the retry token that Move has taken.
type Move struct{ ID RequestID }

// Refuse ends a request that gets no target, or no further one.
type Refuse struct {
	ID RequestID
	// RetryAfter is the delay after which the caller should retry.
	RetryAfter time.Duration
	Reason     Reason
	// Queued is the number of waiting requests. ExpectedWait is the estimated wait if
	// the reason is QueueFull, RateLimited or Paused, and the actual wait if it is WaitedTooLong.
	Queued       int
	ExpectedWait time.Duration
}

// Reason is the reason for a refusal.
type Reason int

// Reasons for a refusal.
const (
	// NoTarget means that no target of the service takes requests.
	NoTarget Reason = iota
	// QueueFull means that the expected wait is too long.
	QueueFull
	// WaitedTooLong means that the request was queued and its allowed wait has passed.
	WaitedTooLong
	// NoBudget means that the retry budget is used up.
	NoBudget
	// NoAttempts means that the route allows no further attempt.
	NoAttempts
	// GroupClosed means that all groups of the service wait for a missing rank.
	GroupClosed
	// Quarantined means that the request, or a part of its prompt, is suspected to crash
	// targets.
	Quarantined
	// RateLimited means that the rates of all targets are used up for too long.
	RateLimited
	// Paused means that all targets have asked for a pause that lasts too long.
	Paused
	// LessUrgent means that the room is needed for more urgent requests.
	LessUrgent
	// OverShare means that the organisation is above its share while requests lack room.
	OverShare
)

// String returns the reason's name in logs.
func (r Reason) String() string {
	return [...]string{"noTarget", "queueFull", "waitedTooLong", "noBudget", "noAttempts", "groupClosed", "quarantined", "rateLimited", "paused", "lessUrgent", "overShare"}[r]
}

func (Dispatch) effect() {}
func (Move) effect()     {}
func (Refuse) effect()   {}
