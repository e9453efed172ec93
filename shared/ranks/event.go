package ranks

// Event is what the switcher hears of.
type Event interface{ event() }

// Reported is a rank's newest state.
type Reported struct{ Report Report }

// Planned asks for a switch to a map.
type Planned struct{ Map Map }

// Ended is the end of an order: nil, or an error that matches ErrRefused,
// ErrFenced or ErrUnanswered. Report is the last one that was read.
type Ended struct {
	Rank int
	// Token is the fencing token that the order bore.
	Token  uint64
	Order  Order
	Report Report
	Err    error
}

// Ticked lets time pass.
type Ticked struct{}

func (Reported) event() {}
func (Planned) event()  {}
func (Ended) event()    {}
func (Ticked) event()   {}

// Effect is what the switcher asks for.
type Effect interface{ effect() }

// Give sends an order to a rank.
type Give struct {
	Rank         int
	Token, Epoch uint64
	Order        Order
}

// Switched tells that all ranks begin with a version.
type Switched struct {
	Version uint64
	Map     Map
}

// Abandoned tells that a switch was given up and why. Nothing stays armed or held.
type Abandoned struct {
	Version uint64
	Reason  string
}

// Deposed tells that another holder of the duty has a higher fencing token.
type Deposed struct{}

func (Give) effect()      {}
func (Switched) effect()  {}
func (Abandoned) effect() {}
func (Deposed) effect()   {}
