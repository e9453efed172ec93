package fleet

// Topic identifies a log of records in the store.
type Topic int

// The topics.
const (
	// OperatorTopic holds the configuration and evacuations.
	OperatorTopic Topic = iota
	// TargetTopic holds the registrations of targets.
	TargetTopic
	// EntryTopic holds the registrations of entry instances.
	EntryTopic
	// LeadershipTopic holds the claims by which instances become the active planner. The
	// position of a claim determines its fencing token.
	LeadershipTopic
	// DemandTopic holds the measured demand for experts, by group of ranks.
	DemandTopic
)

// String returns the name of the topic in logs.
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

// Record is one record of a topic. The newest record of a key replaces older ones.
type Record struct {
	Topic    Topic
	Key      string
	Position Position
	// Value is the value of the key; of a removed one in a Directory, its last value.
	Value []byte
	// Removed reports that the record removes its key.
	Removed bool
}
