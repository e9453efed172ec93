package fleet

// Topic is one of the store's streams of records.
type Topic int

// The topics.
const (
	// OperatorTopic holds the configuration and evacuations.
	OperatorTopic Topic = iota
	// TargetTopic holds the registrations of targets.
	TargetTopic
	// EntryTopic holds the registrations of entry instances.
	EntryTopic
	// DutyTopic holds claims of the planner's duty.
	DutyTopic
	// DemandTopic holds the demand for experts, by group of ranks.
	DemandTopic
)

// String names the topic in logs.
func (t Topic) String() string {
	switch t {
	case OperatorTopic:
		return "operator"
	case TargetTopic:
		return "targets"
	case EntryTopic:
		return "entries"
	case DemandTopic:
		return "demand"
	default:
		return "duties"
	}
}

// Record is one record of a topic. The newest of each key holds.
type Record struct {
	Topic  Topic
	Key    string
	Offset int64
	Value  []byte
	// Removed records drop their key.
	Removed bool
}
