package fleet

import "cmp"

// Position is a place in a topic of the store. When the store is restored from a copy, a
// new era begins, and offsets after the copy's are given out again.
type Position struct {
	// Era rises by one with each restore of the store.
	Era    uint64
	Offset int64
}

// Compare returns a negative number if p is before o, a positive one if it is after o,
// and 0 if they are equal.
func (p Position) Compare(o Position) int {
	return cmp.Or(cmp.Compare(p.Era, o.Era), cmp.Compare(p.Offset, o.Offset))
}

// Before reports whether p is before o.
func (p Position) Before(o Position) bool { return p.Compare(o) < 0 }

// Add returns the position that is a number of records after p in the same era.
func (p Position) Add(records int64) Position {
	return Position{Era: p.Era, Offset: p.Offset + records}
}

// tokensPerEra is the number of fencing tokens of an era, one for each offset.
const tokensPerEra = 1 << 20

// FencingToken returns the fencing token of the leader whose claim has this position: at
// least 1, and higher than those of all earlier positions.
func (p Position) FencingToken() uint64 { return p.Era*tokensPerEra + uint64(p.Offset) + 1 }
