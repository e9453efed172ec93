package control

import (
	"encoding/json"

	"chervilswitch.example/shared/platform"
)

// Effect is something the driver must do. The set is closed.
type Effect interface{ effect() }

// Append adds a record to a stream of the log. Its answer is not awaited: the
// reducer looks for the record in what it reads.
type Append struct {
	Stream platform.Stream
	Data   json.RawMessage
}

// FetchRecords asks any peer that is ahead for records from an offset on.
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

// Reattach asks the agent again about an attempt whose link broke.
type Reattach struct {
	Request     RequestID
	Attempt     AttemptID
	Target      string
	Incarnation uint64
}

// Fail ends a request with a typed failure.
type Fail struct {
	Request RequestID
	Failure Failure
}

// CancelAttempt cancels an attempt that another one takes the place of.
type CancelAttempt struct {
	Request RequestID
	Attempt AttemptID
	Target  string
}

// Stop ends the target's work for an attempt that nobody watches.
type Stop struct{ Attempt AttemptID }

// Run forwards an admitted attempt to the target.
type Run struct{ Attempt AttemptID }

// Join gives the answer of an attempt that already ran to another attempt.
type Join struct {
	Attempt AttemptID
	Runs    AttemptID
}

// Refuse answers an attempt that does not run.
type Refuse struct {
	Attempt AttemptID
	Verdict Verdict
}

// LogDecision is a decision to log: what was weighed and what was chosen.
type LogDecision struct {
	Code    DecisionCode
	Request RequestID
	Chosen  string
	Reason  string
	Weighed []Weighed
}

// Weighed is one candidate of a decision with its score, where lower is better.
type Weighed struct {
	Name  string  `json:"name"`
	Score float64 `json:"score"`
}

// RankEffect is what one rank must do or tell.
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

// ConfigChanged says that the configuration or the gate changed.
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
