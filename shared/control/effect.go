package control

import (
	"encoding/json"

	"chervilswitch.example/shared/platform"
)

// Effect is an action for the driver to execute. Only the types of this file are
// effects.
type Effect interface{ effect() }

// Append adds a record to a stream of the log. The reducer gets no result: it knows
// that the append took effect once it reads the record.
type Append struct {
	Stream platform.Stream
	Data   json.RawMessage
}

// FetchRecords requests the configuration records from an offset on from a peer that
// has applied more of them.
type FetchRecords struct {
	Peer string
	From platform.Offset
}

// Forward sends an attempt to an agent.
type Forward struct {
	Request     RequestID
	Attempt     AttemptID
	Target      string
	Incarnation uint64
}

// Reattach queries an agent for the state of an attempt whose connection broke or
// whose verdict is late.
type Reattach struct {
	Request     RequestID
	Attempt     AttemptID
	Target      string
	Incarnation uint64
}

// Fail ends a request at the entry with a failure for the caller.
type Fail struct {
	Request RequestID
	Failure Failure
}

// CancelAttempt cancels an attempt that is replaced by another one.
type CancelAttempt struct {
	Request RequestID
	Attempt AttemptID
	Target  string
}

// Stop ends the target's work for an attempt without readers.
type Stop struct{ Attempt AttemptID }

// Run forwards an admitted attempt to the target.
type Run struct{ Attempt AttemptID }

// Join serves the response of the attempt Runs to Attempt. Both are the same if a
// reader attaches to its own attempt.
type Join struct {
	Attempt AttemptID
	Runs    AttemptID
}

// Refuse responds to an attempt that is not run.
type Refuse struct {
	Attempt AttemptID
	Verdict Verdict
}

// LogDecision logs a decision with the chosen option, the reason and the candidates.
type LogDecision struct {
	Code    DecisionCode
	Request RequestID
	Chosen  string
	Reason  string
	Weighed []Weighed
}

// Weighed is a candidate of a decision with its score; lower is better.
type Weighed struct {
	Name  string  `json:"name"`
	Score float64 `json:"score"`
}

// RankEffect is an output of one rank of a lock-step group.
type RankEffect struct {
	Rank   int
	Output RankOutput
}

// Propose sends a proposal to one rank of a group.
type Propose struct {
	Target   string
	Group    string
	Rank     int
	Proposal Proposal
}

// ConfigChanged reports that records were applied up to an offset, with the outcomes
// of the changes among them.
type ConfigChanged struct {
	Applied  platform.Offset
	Outcomes []ChangeResult
}

func (Append) effect()        {}
func (FetchRecords) effect()  {}
func (Forward) effect()       {}
func (Reattach) effect()      {}
func (Fail) effect()          {}
func (CancelAttempt) effect() {}
func (Stop) effect()          {}
func (Run) effect()           {}
func (Join) effect()          {}
func (Refuse) effect()        {}
func (LogDecision) effect()   {}
func (RankEffect) effect()    {}
func (Propose) effect()       {}
func (ConfigChanged) effect() {}
