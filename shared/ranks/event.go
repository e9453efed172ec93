package ranks

// Event is an input of the switcher.
type Event interface{ event() }

// ReportReceived carries the latest state of a rank.
type ReportReceived struct{ Report Report }

// SwitchRequested starts a switch to a new map. It is ignored unless Switcher.Idle is
// true.
type SwitchRequested struct{ Map Map }

// OrderEnded carries the result of an order. Err is nil if the order was executed;
// otherwise it matches ErrRefused, ErrFenced or ErrUnanswered. Report is the last one
// that was read from the rank.
type OrderEnded struct {
	Rank int
	// Token is the fencing token that the order carried.
	Token  uint64
	Order  Order
	Report Report
	Err    error
}

// Tick makes the switcher check its timers.
type Tick struct{}

func (ReportReceived) event()  {}
func (SwitchRequested) event() {}
func (OrderEnded) event()      {}
func (Tick) event()            {}

// Effect is an action that the switcher requests.
type Effect interface{ effect() }

// SendOrder sends an order to a rank.
type SendOrder struct {
	Rank         int
	Token, Epoch uint64
	Order        Order
}

// SwitchCompleted reports that all ranks were armed with a version and the held pass was
// released. Map is empty if the switch was recovered from the ranks' reports, which do not
// carry the map.
type SwitchCompleted struct {
	Version uint64
	Map     Map
}

// SwitchAborted reports that a switch was aborted. No rank stays armed or held.
type SwitchAborted struct {
	Version uint64
	Reason  string
}

// LeadershipLost reports that another leader has a higher fencing token.
type LeadershipLost struct{}

func (SendOrder) effect()       {}
func (SwitchCompleted) effect() {}
func (SwitchAborted) effect()   {}
func (LeadershipLost) effect()  {}
