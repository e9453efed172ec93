package control

import (
	"time"

	"chervilswitch.example/shared/platform"
)

// Event is something that happened. The set is closed: only the types of this
// file are events.
type Event interface{ event() }

// Tick is the passing of time.
type Tick struct{}

// LogPage is a successful read of a stream that began at AskedAt, local time.
type LogPage struct {
	Stream      platform.Stream
	RequestedAt time.Time
	Page        platform.Page
}

// HeartbeatReceived is a peer's answer to a question that was sent at AskedAt.
type HeartbeatReceived struct {
	RequestedAt time.Time
	Beat        Beat
}

// RecordsReceived are records or a snapshot that a peer sent to catch up with.
type RecordsReceived struct {
	Records  []platform.Record
	Snapshot []Record
}

// InstanceList is the platform's lagging list.
type InstanceList struct{ Instances []platform.InstanceState }

// DrainStarted is the start of a planned stop.
type DrainStarted struct{}

// RequestArrived is a caller's request at an entry.
type RequestArrived struct{ Request Request }

// ResumeArrived is a caller's wish to go on with a stream after its connection
// broke, perhaps one that another entry carried.
type ResumeArrived struct {
	Request     Request
	Attempt     AttemptID
	Target      string
	Incarnation uint64
}

// RequestClosed says that the caller went away or has its whole answer.
type RequestClosed struct{ Request RequestID }

// VerdictReceived is an agent's verdict on an attempt, or what is known of it.
type VerdictReceived struct {
	Request RequestID
	Attempt AttemptID
	Verdict Verdict
	Load    Load
}

// AttemptFirstOutput says that an attempt's first output reached the entry.
type AttemptFirstOutput struct {
	Request RequestID
	Attempt AttemptID
}

// AttemptDisconnected says that the link under an attempt broke.
type AttemptDisconnected struct {
	Request RequestID
	Attempt AttemptID
}

// AttemptEnded says that an attempt's whole answer reached the entry.
type AttemptEnded struct {
	Request RequestID
	Attempt AttemptID
	Load    Load
}

// AttemptSubmitted is an attempt that reached the agent.
type AttemptSubmitted struct{ Submission Submission }

// AttachRequested asks an agent about an attempt after its link broke.
type AttachRequested struct {
	Attempt     AttemptID
	Incarnation uint64
}

// TargetFirstOutput is a target's first output for an attempt.
type TargetFirstOutput struct {
	Attempt AttemptID
	Latency time.Duration
	// Boot names the target's run; it changes when the target restarts.
	Boot string
}

// TargetFinished says that the target's work for an attempt is over.
type TargetFinished struct {
	Attempt AttemptID
	// Failed means that the answer was not whole.
	Failed bool
}

// WatchersChanged says how many streams now read an attempt's output.
type WatchersChanged struct {
	Attempt  AttemptID
	Watchers int
}

// TargetReport is a load report, which lags.
type TargetReport struct {
	Boot    string
	Running int
	Cold    bool
	Leaving bool
}

// RankEvent wraps what concerns one rank of a lock-step group.
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
func (WatchersChanged) event()     {}
func (ResumeArrived) event()       {}
func (RankEvent) event()           {}
