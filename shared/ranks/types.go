package ranks

import (
	"context"
	"slices"

	"chervilswitch.example/shared/fault"
)

var (
	// ErrUnanswered is matched when an order may be carried out, now or later.
	ErrUnanswered = fault.NewSentinel("ranks", "unanswered")
	// ErrRefused is matched when a rank refused an order and will not carry it out.
	ErrRefused = fault.NewSentinel("ranks", "refused")
	// ErrFenced is matched when a rank has seen a higher fencing token.
	ErrFenced = fault.NewSentinel("ranks", "fenced")
)

// Map says which experts each rank holds: by set, then by rank.
type Map [][][]int

// Clone copies the map.
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

// Report is a rank's state as its engine tells it.
type Report struct {
	Group string
	Rank  int
	Ranks int
	// Epoch numbers the formations of the group.
	Epoch uint64
	// Open is false while the group is broken.
	Open bool
	// Incarnation tells starts of the rank apart.
	Incarnation uint64
	// Sequence counts the orders that began something.
	Sequence uint64
	// Step is the last pass that was begun.
	Step uint64
	// Map is the version in force, and Prepared the version that is copied.
	Map, Prepared uint64
	// Armed is the version that takes effect at pass ArmedStep; 0 is none.
	Armed, ArmedStep uint64
	// Held tells whether the group waits before pass HeldStep.
	Held     bool
	HeldStep uint64
	// Pace is over 1 while the rank is slow.
	Pace             float64
	Running, Waiting int
}

// Order is what a rank is told to do.
type Order interface{ order() }

// Prepare copies the experts of a map that are new to the rank.
type Prepare struct {
	Version uint64
	Map     Map
}

// Hold keeps the group from beginning a pass.
type Hold struct{ Step uint64 }

// Arm makes a rank switch to a prepared map as a pass begins.
type Arm struct{ Version, Step uint64 }

// Release lets the group begin the pass that was held.
type Release struct{ Step uint64 }

func (Prepare) order() {}
func (Hold) order()    {}
func (Arm) order()     {}
func (Release) order() {}

// Command is an order with what keeps it from being carried out too late.
type Command struct {
	Order Order
	// Token is the fencing token of the duty's holder.
	Token uint64
	// Epoch is the formation that the order is for.
	Epoch uint64
	// Expected is the sequence that the order was decided on.
	Expected uint64
}

// Engine is what the executor needs of a rank.
type Engine interface {
	// Report errors mean that the engine did not answer.
	Report(ctx context.Context) (Report, error)
	// Order errors match ErrUnanswered, ErrRefused or ErrFenced.
	Order(ctx context.Context, c Command) error
}
