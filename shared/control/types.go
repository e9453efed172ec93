package control

import (
	"fmt"
	"time"

	"chervilswitch.example/shared/operator"
	"chervilswitch.example/shared/platform"
)

// RequestID is a caller's request; AttemptID is one try of it at one agent.
type (
	RequestID string
	AttemptID string
)

// NewAttemptID names the nth try of a request through one entry incarnation.
func NewAttemptID(request RequestID, entry string, incarnation uint64, n int) AttemptID {
	return AttemptID(fmt.Sprintf("%s/%s.%x.%d", request, entry, incarnation, n))
}

// Identity is what a process knows of itself from its settings.
type Identity struct {
	Instance    string
	DataCentre  string
	Role        operator.Role
	Incarnation uint64
	// Service is the service of an agent's target.
	Service string
	// Retention is how long the log keeps records.
	Retention time.Duration
}

// Request is what the reducer needs to know of a caller's request.
type Request struct {
	ID           RequestID
	Organisation string
	Service      string
	Idempotent   bool
	// Replayable says that the whole body is held and can be sent again.
	Replayable bool
	// Key is the caller's idempotency key; empty if there is none.
	Key string
	// Priority is 0 to 9; higher goes first.
	Priority int
	// Prefix is a hash of the start of the prompt, or zero.
	Prefix uint64
}

// Submission is an attempt as the agent sees it.
type Submission struct {
	Attempt AttemptID
	// Incarnation is the agent's incarnation that the entry chose.
	Incarnation uint64
	Method      string
	// Path is decoded and has no query.
	Path       string
	Idempotent bool
	// Key is the organisation and idempotency key; empty if there is none.
	Key string
	// Fingerprint is a hash of the request, to tell a reused key.
	Fingerprint uint64
}

// Outcome says whether a request ran.
type Outcome string

// The outcomes. Only who knows that nothing was forwarded may say OutcomeNotRun.
const (
	OutcomeAdmitted Outcome = "admitted"
	OutcomeNotRun   Outcome = "notRun"
	OutcomeRan      Outcome = "ran"
	OutcomeUnknown  Outcome = "unknown"
	// OutcomeMoved means that another agent holds the request's key.
	OutcomeMoved Outcome = "moved"
)

// Code is the stable name of the cause of a failure.
type Code string

// The causes.
const (
	CodeOutOfTouch         Code = "outOfTouch"
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

// Verdict is an agent's answer to an attempt.
type Verdict struct {
	Outcome Outcome
	Code    Code
	// Owner is the instance that holds the key when the outcome is OutcomeMoved.
	Owner string
}

// Failure is what a caller is told when there is no answer.
type Failure struct {
	Outcome    Outcome
	Code       Code
	RetryAfter time.Duration
}

// Load is an agent's state as it rides on answers.
type Load struct {
	Running int
	Limit   int
	// Credit is how many more attempts this entry may send before it hears again.
	Credit int
	// FirstOutput is the smoothed time from admission to the first output.
	FirstOutput time.Duration
	Cold        bool
	Closed      bool
}

// Beat is a process's state as it answers a peer's question.
type Beat struct {
	Instance    string
	DataCentre  string
	Role        operator.Role
	Incarnation uint64
	Service     string
	Applied     platform.Offset
	// EvidenceAge is the time since the log was known to be read to its end,
	// and EvidenceOffset what its end was. A negative age means never.
	EvidenceAge    time.Duration
	EvidenceOffset platform.Offset
	Load           Load
	// Ranks are the ranks of a lock-step group that an agent decides for.
	Ranks []RankState
}

// RankState is where one rank stands.
type RankState struct {
	Rank        int
	Incarnation uint64
	Next        Position
	Map         MapVersion
}

// DecisionCode numbers the kinds of decision for the log.
type DecisionCode int
