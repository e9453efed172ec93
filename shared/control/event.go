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
	Stream  platform.Stream
	AskedAt time.Time
	Page    platform.Page
}

// PeerAnswer is a peer's answer to a question that was sent at AskedAt.
type PeerAnswer struct {
	AskedAt time.Time
	Beat    Beat
}

// PeerRecords are records or a snapshot that a peer sent to catch up with.
type PeerRecords struct {
	Records  []platform.Record
	Snapshot []Record
}

// InstanceList is the platform's lagging list.
type InstanceList struct{ Instances []platform.InstanceState }

// Drain is the start of a planned stop.
type Drain struct{}

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

// RequestLeft says that the caller went away or has its whole answer.
type RequestLeft struct{ Request RequestID }

// AttemptAnswered is an agent's verdict on an attempt, or what is known of it.
type AttemptAnswered struct {
	Request RequestID
	Attempt AttemptID
	Verdict Verdict
	Load    Load
}

// AttemptProduced says that an attempt's first output reached the entry.
type AttemptProduced struct {
	Request RequestID
	Attempt AttemptID
}

// AttemptLost says that the link under an attempt broke.
type AttemptLost struct {
	Request RequestID
	Attempt AttemptID
}

// AttemptEnded says that an attempt's whole answer reached the entry.
type AttemptEnded struct {
	Request RequestID
	Attempt AttemptID
	Load    Load
}

// Submitted is an attempt that reached the agent.
type Submitted struct{ Submission Submission }

// Attached asks an agent about an attempt after its link broke.
type Attached struct {
	Attempt     AttemptID
	Incarnation uint64
}

// TargetProduced is a target's first output for an attempt.
type TargetProduced struct {
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

// Watched says how many streams now read an attempt's output.
type Watched struct {
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
	Rank int
	Step RankInput
}

func (Tick) event()            {}
func (LogPage) event()         {}
func (PeerAnswer) event()      {}
func (PeerRecords) event()     {}
func (InstanceList) event()    {}
func (Drain) event()           {}
func (RequestArrived) event()  {}
func (RequestLeft) event()     {}
func (AttemptAnswered) event() {}
func (AttemptProduced) event() {}
func (AttemptLost) event()     {}
func (AttemptEnded) event()    {}
func (Submitted) event()       {}
func (Attached) event()        {}
func (TargetProduced) event()  {}
func (TargetFinished) event()  {}
func (TargetReport) event()    {}
func (Watched) event()         {}
func (ResumeArrived) event()   {}
func (RankEvent) event()       {}
