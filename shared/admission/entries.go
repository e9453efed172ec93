package admission

import "slices"

// entrySet holds the names of the entry instances that share limits, sorted.
type entrySet struct {
	names    []string // Includes this instance.
	position int      // Of this instance.
	// version increases with each change of the names. It is 0 until they are known: an
	// instance that has just started cannot tell its share.
	version uint64
}

// newEntrySet returns the set of an instance that does not know yet whether there are others.
func newEntrySet(self string) entrySet { return entrySet{names: []string{self}} }

// known reports whether the names have been set.
func (s *entrySet) known() bool { return s.version > 0 }

// set replaces the names. This instance is always one of them.
func (s *entrySet) set(names []string) {
	self := s.names[s.position]
	names = slices.Sorted(slices.Values(names))
	at, found := slices.BinarySearch(names, self)
	if !found {
		names = slices.Insert(names, at, self)
	}
	if s.known() && slices.Equal(s.names, names) {
		return
	}
	s.names, s.position = names, at
	s.version++
}

// count returns the number of instances, at least 1.
func (s *entrySet) count() int { return len(s.names) }

// holder returns this instance's number among the holders of the i-th of the targets, and
// whether it is one. The holders of a target are neighbours, and the first ones of all
// targets are evenly spaced. So each instance holds about as many targets as the others,
// and at least one if the holders of all targets are as many as the instances.
func (s *entrySet) holder(i, targets, holders int) (number int, ok bool) {
	first := i * s.count() / targets
	number = (s.position - first + s.count()) % s.count()
	return number, number < holders
}
