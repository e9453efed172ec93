package control

import (
	"time"

	"chervilswitch.example/shared/platform"
)

// Event is an input of State.Reduce. Only the types of this file are events.
type Event interface{ event() }

// Tick is the periodic timer event.
type Tick struct{}

// LogPage is a page that was read from a stream. RequestedAt is the local time at
// which the read began.
type LogPage struct {
	Stream      platform.Stream
	RequestedAt time.Time
	Page        platform.Page
}

// HeartbeatReceived is a peer's response to a query that was sent at RequestedAt,
// local time.
type HeartbeatReceived struct {
	RequestedAt time.Time
	Heartbeat   Heartbeat
}

// RecordsReceived contains the records or the snapshot that a peer returned for
// FetchRecords.
type RecordsReceived struct {
	Records  []platform.Record
	Snapshot []Record
}

// InstanceList is the platform's list of instances, which may be stale.
type InstanceList struct{ Instances []platform.InstanceState }

// DrainStarted reports that a graceful shutdown has begun.
type DrainStarted struct{}

// RequestArrived is a caller's new request at an entry.
type RequestArrived struct{ Request Request }

// ResumeArrived is a caller's request to resume a stream after its connection broke.
// Another entry may have served the stream before.
type ResumeArrived struct {
	Request     Request
	Attempt     AttemptID
	Target      string
	Incarnation uint64
}

// RequestClosed reports that the caller disconnected or has the complete response.
type RequestClosed struct{ Request RequestID }

// VerdictReceived is an agent's verdict on an attempt.
type VerdictReceived struct {
	Request RequestID
	Attempt AttemptID
	Verdict Verdict
	Load    Load
}

// AttemptFirstOutput reports that an attempt's first output reached the entry.
type AttemptFirstOutput struct {
	Request RequestID
	Attempt AttemptID
}

// AttemptDisconnected reports that the connection to an attempt's agent broke.
type AttemptDisconnected struct {
	Request RequestID
	Attempt AttemptID
}

// AttemptEnded reports that an attempt's complete response reached the entry.
type AttemptEnded struct {
	Request RequestID
	Attempt AttemptID
	Load    Load
}

// AttemptSubmitted is an attempt that reached the agent.
type AttemptSubmitted struct{ Submission Submission }

// AttachRequested is an entry's query to an agent for the state of an attempt.
type AttachRequested struct {
	Attempt     AttemptID
	Incarnation uint64
}

// TargetFirstOutput is a target's first output for an attempt.
type TargetFirstOutput struct {
	Attempt AttemptID
	Latency time.Duration
	// Boot identifies the target's process; it changes when the target restarts.
	Boot string
}

// TargetFinished reports that the target's work for an attempt has ended.
type TargetFinished struct {
	Attempt AttemptID
	// Failed means that the response was incomplete.
	Failed bool
}

// ReadersChanged reports how many readers an attempt's output has now.
type ReadersChanged struct {
	Attempt AttemptID
	Readers int
}

// TargetReport is a target's load report, which may be stale.
type TargetReport struct {
	Boot    string
	Running int
	Cold    bool
	Leaving bool
}

// RankEvent is an input of one rank of a lock-step group.
type RankEvent struct {
	Rank  int
	Input RankInput
}

func (Tick) event()                {}
func (LogPage) event()             {}
func (HeartbeatReceived) event()   {}
func (RecordsReceived) event()     {}
func (InstanceList) event()        {}
func (DrainStarted) event()        {}
func (RequestArrived) event()      {}
func (RequestClosed) event()       {}
func (VerdictReceived) event()     {}
func (AttemptFirstOutput) event()  {}
func (AttemptDisconnected) event() {}
func (AttemptEnded) event()        {}
func (AttemptSubmitted) event()    {}
func (AttachRequested) event()     {}
func (TargetFirstOutput) event()   {}
func (TargetFinished) event()      {}
func (TargetReport) event()        {}
func (ReadersChanged) event()      {}
func (ResumeArrived) event()       {}
func (RankEvent) event()           {}
