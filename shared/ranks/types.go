package ranks

import (
	"context"
	"slices"

	"chervilswitch.example/shared/fault"
)

var (
	// ErrUnanswered is matched when it is unknown whether an order was executed. The
	// rank may still execute it later.
	ErrUnanswered = fault.NewSentinel("ranks", "unanswered")
	// ErrRefused is matched when a rank refused an order and will not execute it.
	ErrRefused = fault.NewSentinel("ranks", "refused")
	// ErrFenced is matched when a rank has seen a higher fencing token.
	ErrFenced = fault.NewSentinel("ranks", "fenced")
)

// Map lists the experts that each rank holds, indexed by set of experts and rank.
type Map [][][]int

// Clone returns a deep copy of the map.
func (m Map) Clone() Map {
	c := make(Map, len(m))
	for set := range m {
		c[set] = make([][]int, len(m[set]))
		for rank := range m[set] {
			c[set][rank] = slices.Clone(m[set][rank])
		}
	}
	return c
}

// Report is the state of a rank as its engine reports it.
type Report struct {
	Group string
	Rank  int
	// Ranks is the size of the group; 0 means that the report is empty.
	Ranks int
	// Epoch increases each time the group forms again, as after a restart of a rank.
	Epoch uint64
	// Open is false while the group cannot run because a rank is missing.
	Open bool
	// Incarnation identifies one run of the rank's process.
	Incarnation uint64
	// Sequence counts the orders that changed the rank's state.
	Sequence uint64
	// Step is the number of the last pass that began.
	Step uint64
	// Map is the version in use, Prepared the version whose experts have been copied.
	Map, Prepared uint64
	// Armed is the version that takes effect at pass ArmedStep, or 0.
	Armed, ArmedStep uint64
	// Held reports whether the rank stops the group before pass HeldStep.
	Held     bool
	HeldStep uint64
	// Pace is the time of the rank's work relative to its usual time; it is above 1
	// while the rank is slow.
	Pace float64
	// Running and Waiting are the numbers of requests in these states.
	Running, Waiting int
}

// Order is an instruction to a rank.
type Order interface{ order() }

// Prepare makes a rank copy the experts of a map that it does not hold yet.
type Prepare struct {
	Version uint64
	Map     Map
}

// Hold stops the group before a pass.
type Hold struct{ Step uint64 }

// Arm makes a rank switch to a prepared map when a pass begins.
type Arm struct{ Version, Step uint64 }

// Release lets the group begin a held pass.
type Release struct{ Step uint64 }

func (Prepare) order() {}
func (Hold) order()    {}
func (Arm) order()     {}
func (Release) order() {}

// Command is an order with the conditions under which a rank executes it, so that an
// outdated order is refused.
type Command struct {
	Order Order
	// Token is the leader's fencing token; ranks refuse one that is lower than the
	// highest they have received.
	Token uint64
	// Epoch is the group's epoch for which the order is meant.
	Epoch uint64
	// Expected is the rank's sequence in the report that the order is based on.
	Expected uint64
}

// Engine reads the state of one rank and sends it orders.
type Engine interface {
	// Report reads the rank's state; any error means that the engine did not answer.
	Report(ctx context.Context) (Report, error)
	// Order sends a command; errors match ErrUnanswered, ErrRefused or ErrFenced.
	Order(ctx context.Context, c Command) error
}
