package admission

import (
	"time"

	"chervilswitch.example/shared/fleet"
)

// RequestID names a request within one process.
type RequestID uint64

// Request is what a decision needs to know of a request.
type Request struct {
	ID           RequestID
	Service      string
	Organisation string
	// Priority goes lowest first.
	Priority int
	// Objective is the time from the caller's first try within which the answer,
	// or a stream's first event, is on time.
	Objective time.Duration
	// Elapsed is how long the caller had been trying before this try.
	Elapsed time.Duration
	// Deadline is when an answer is of no more use.
	Deadline time.Time
	// MaxGap is the longest pause between events that is on time; 0 if none is set.
	MaxGap time.Duration
	// MaxAttempts is how many targets the request may be sent to.
	MaxAttempts int
	// Movable tells that a running request can go on at another target.
	Movable bool
}

// Event is what the reducer hears of.
type Event interface{ event() }

// Submit asks for a target.
type Submit struct{ Request Request }

// Retry asks for another target after an attempt that may be repeated.
type Retry struct {
	ID RequestID
	// MayHaveRun tells that the attempt may have run; it then counts as an attempt.
	MayHaveRun bool
	// ResponseStarted tells that the caller has a part of the answer already. It then waits
	// for a target as long as its deadline allows.
	ResponseStarted bool
}

// Finish ends a request, wherever it stands.
type Finish struct{ ID RequestID }

// AttemptResult tells how an attempt went, as evidence about its target.
type AttemptResult struct {
	Service, Target string
	Outcome         Outcome
	// TimeToFirstOutput is the time to the first output; 0 if there was none.
	TimeToFirstOutput time.Duration
}

// Outcome is how an attempt ended, or began.
type Outcome int

// The outcomes.
const (
	// Good attempts answered.
	Good Outcome = iota
	// Failed attempts were answered with the target's own failure.
	Failed
	// Broken attempts lost their connection or gave no whole answer.
	Broken
	// Unreachable targets accepted no connection.
	Unreachable
	// Full targets rejected the request without running it.
	Full
	// Misplaced requests met another target at the address.
	Misplaced
	// GroupDown means that the target waits for another rank of its group.
	GroupDown
	// Moved requests left a target that holds its group up.
	Moved
)

// String names the outcome in logs.
func (o Outcome) String() string {
	return [...]string{"good", "failed", "broken", "unreachable", "full", "misplaced", "groupDown", "moved"}[o]
}

// StreamGap is the pause between two events of a stream from a target.
type StreamGap struct {
	Service, Target string
	Gap             time.Duration
}

// ServiceTargets is a service's targets and how many entry instances share them.
type ServiceTargets struct {
	Service fleet.Service
	// Targets lists those that may take new work.
	Targets []fleet.Target
	// Entries is how many entry instances are known, this one included.
	Entries int
}

// PeerLoad is what another entry has running on each target.
type PeerLoad struct {
	Peer    string
	Running map[string]int
}

// PeerLost forgets what another entry had running.
type PeerLost struct{ Peer string }

// Groups tells how groups of ranks do, as an entry instance knows it.
type Groups struct {
	Instance string
	// Closed lists the services whose groups wait for a rank.
	Closed []string
	// Paces is how many times slower than usual ranks are, by target; those at
	// their usual speed are left out.
	Paces map[string]float64
}

// RetryBudgetChanged sets the bound of repeated requests.
type RetryBudgetChanged struct{ RetryBudget RetryBudget }

// Tick lets time pass.
type Tick struct{}

func (Submit) event()             {}
func (Retry) event()              {}
func (Finish) event()             {}
func (AttemptResult) event()      {}
func (StreamGap) event()          {}
func (ServiceTargets) event()     {}
func (PeerLoad) event()           {}
func (PeerLost) event()           {}
func (Groups) event()             {}
func (RetryBudgetChanged) event() {}
func (Tick) event()               {}

// Effect is what the reducer decided.
type Effect interface{ effect() }

// Dispatch sends a request to a target.
type Dispatch struct {
	ID     RequestID
	Target fleet.Target
	// Attempt counts from 1.
	Attempt int
	// Waited is the time in the queue.
	Waited time.Duration
	// Running is how much the target is believed to have, and Limit how much it
	// may have.
	Running, Limit int
}

// Move takes a running request off its target. A Retry follows, whose repeat is
// accounted for already.
type Move struct{ ID RequestID }

// Refuse ends a request that has not run, or whose attempts are used up.
type Refuse struct {
	ID RequestID
	// RetryAfter is when a new try can expect a target.
	RetryAfter time.Duration
	Reason     Reason
	// Queued is how many requests waited, and Expected how long this one would have.
	Queued       int
	ExpectedWait time.Duration
}

// Reason says why a request was refused.
type Reason int

// The reasons.
const (
	// NoTarget means that no target of the service takes work.
	NoTarget Reason = iota
	// QueueFull means that the wait would have been too long.
	QueueFull
	// WaitedTooLong means that the wait turned out too long.
	WaitedTooLong
	// NoBudget means that the share of repeated requests is used up.
	NoBudget
	// NoAttempts means that the route allows no more targets.
	NoAttempts
	// GroupClosed means that the service's group waits for a rank.
	GroupClosed
)

// String names the reason in logs.
func (r Reason) String() string {
	return [...]string{"noTarget", "queueFull", "waitedTooLong", "noBudget", "noAttempts", "groupClosed"}[r]
}

func (Dispatch) effect() {}
func (Move) effect()     {}
func (Refuse) effect()   {}
