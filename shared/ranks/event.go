package ranks

// Event is what the switcher hears of.
type Event interface{ event() }

// ReportReceived is a rank's newest state.
type ReportReceived struct{ Report Report }

// SwitchRequested asks for a switch to a map.
type SwitchRequested struct{ Map Map }

// OrderEnded is the end of an order: nil, or an error that matches ErrRefused,
// ErrFenced or ErrUnanswered. Report is the last one that was read.
type OrderEnded struct {
	Rank int
	// Token is the fencing token that the order bore.
	Token  uint64
	Order  Order
	Report Report
	Err    error
}

// Tick lets time pass.
type Tick struct{}

func (ReportReceived) event()  {}
func (SwitchRequested) event() {}
func (OrderEnded) event()      {}
func (Tick) event()            {}

// Effect is what the switcher asks for.
type Effect interface{ effect() }

// SendOrder sends an order to a rank.
type SendOrder struct {
	Rank         int
	Token, Epoch uint64
	Order        Order
}

// SwitchCompleted tells that all ranks begin with a version.
type SwitchCompleted struct {
	Version uint64
	Map     Map
}

// SwitchAborted tells that a switch was given up and why. Nothing stays armed or held.
type SwitchAborted struct {
	Version uint64
	Reason  string
}

// LeadershipLost tells that another holder of the duty has a higher fencing token.
type LeadershipLost struct{}

func (SendOrder) effect()       {}
func (SwitchCompleted) effect() {}
func (SwitchAborted) effect()   {}
func (LeadershipLost) effect()  {}
