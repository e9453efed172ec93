package control

import (
	"fmt"
	"time"

	"chervilswitch.example/shared/operator"
	"chervilswitch.example/shared/platform"
)

// RequestID identifies a caller's request; AttemptID identifies one attempt to run it
// at one agent.
type (
	RequestID string
	AttemptID string
)

// NewAttemptID returns the ID of the nth attempt for a request through one entry
// incarnation.
func NewAttemptID(request RequestID, entry string, incarnation uint64, n int) AttemptID {
	return AttemptID(fmt.Sprintf("%s/%s.%x.%d", request, entry, incarnation, n))
}

// Identity describes the process. All fields but Incarnation come from the settings.
type Identity struct {
	Instance    string
	DataCentre  string
	Role        operator.Role
	Incarnation uint64
	// Service is the service of an agent's target.
	Service string
	// Retention is how long the log retains records. A process with zero appends no
	// snapshots.
	Retention time.Duration
}

// Request is the part of a caller's request that the reducer uses.
type Request struct {
	ID           RequestID
	Organisation string
	Service      string
	Idempotent   bool
	// Replayable means that the complete body is buffered and can be sent again.
	Replayable bool
	// Key is the caller's idempotency key; empty if there is none.
	Key string
	// Priority is 0 to 9; higher priorities are dequeued first.
	Priority int
	// Prefix is a hash of the start of the prompt; zero if there is none.
	Prefix uint64
}

// Submission is an attempt that an entry submits to an agent.
type Submission struct {
	Attempt AttemptID
	// Incarnation is the agent's incarnation that the entry expects.
	Incarnation uint64
	Method      string
	// Path is decoded and excludes the query.
	Path       string
	Idempotent bool
	// Key is the organisation and idempotency key; empty if there is none.
	Key string
	// Fingerprint is a hash of the request. It detects a key that is reused for another
	// request.
	Fingerprint uint64
}

// Outcome reports whether a request ran.
type Outcome string

// The outcomes. A process may return OutcomeNotRun only if it knows that nothing was
// forwarded to a target.
const (
	OutcomeAdmitted Outcome = "admitted"
	OutcomeNotRun   Outcome = "notRun"
	OutcomeRan      Outcome = "ran"
	OutcomeUnknown  Outcome = "unknown"
	// OutcomeMoved means that another agent owns the request's key.
	OutcomeMoved Outcome = "moved"
)

// Code is the stable name of the cause of a failure.
type Code string

// The codes.
const (
	CodeGateClosed         Code = "outOfTouch"
	CodeLeaving            Code = "leaving"
	CodeDataCentreOut      Code = "dataCentreOut"
	CodeBusy               Code = "busy"
	CodeOverloaded         Code = "overloaded"
	CodeSuperseded         Code = "superseded"
	CodeOtherIncarnation   Code = "otherIncarnation"
	CodeDuplicateAttempt   Code = "duplicateAttempt"
	CodeNeverSeen          Code = "neverSeen"
	CodeLogUnavailable     Code = "logUnavailable"
	CodeKeyReused          Code = "keyReused"
	CodeKeyMayHaveRun      Code = "keyMayHaveRun"
	CodeNoTarget           Code = "noTarget"
	CodeLinkLost           Code = "linkLost"
	CodeTargetLost         Code = "targetLost"
	CodeUnknownTargetState Code = "unknownTargetState"
)

// Verdict is an agent's response to an attempt.
type Verdict struct {
	Outcome Outcome
	Code    Code
	// Owner is the instance that owns the key if the outcome is OutcomeMoved.
	Owner string
}

// Failure describes to a caller why there is no response.
type Failure struct {
	Outcome    Outcome
	Code       Code
	RetryAfter time.Duration
}

// Load is the load that a process attaches to its responses.
type Load struct {
	Running int
	Limit   int
	// Credit is how many attempts the entry may send before the next load update.
	Credit int
	// FirstOutput is the smoothed time from admission to the first output.
	FirstOutput time.Duration
	Cold        bool
	// Closed means that the process accepts no new work.
	Closed bool
}

// Heartbeat is the state that a process sends in response to a peer's query.
type Heartbeat struct {
	Instance    string
	DataCentre  string
	Role        operator.Role
	Incarnation uint64
	Service     string
	Applied     platform.Offset
	// EvidenceAge is the time since the log was last known to be read to its end, and
	// EvidenceOffset the newest offset that is known to exist. A negative age means
	// that the end was never known.
	EvidenceAge    time.Duration
	EvidenceOffset platform.Offset
	Load           Load
	// Ranks contains the ranks of a lock-step group that an agent controls.
	Ranks []RankState
}

// RankState is the position and expert map of one rank.
type RankState struct {
	Rank        int
	Incarnation uint64
	Next        Position
	Map         MapVersion
}

// DecisionCode is the event number of a kind of decision in the process's log.
type DecisionCode int
