package fleet

import (
	"cmp"
	"slices"
	"time"
)

// Directory holds the newest record of each key of the operators' and the targets'
// topics, received from the store or from peers. Of two records, the one with the later
// position is newer, so records may arrive repeatedly and in any order. A later era may
// begin with old records: those of the copy that the store was restored from. Of two eras'
// records, the one that their writer numbered higher is newer, if it numbers them. A
// Directory is not safe for concurrent use.
type Directory struct {
	records      map[Topic]map[string]Record
	ends         map[Topic]Position
	compareValue CompareFunc
}

// CompareFunc orders two records of a key by the numbers that their writer gave them. It
// reports false if there are none.
type CompareFunc func(a, b Record) (order int, numbered bool)

// NewDirectory returns an empty directory.
func NewDirectory(compareValue CompareFunc) *Directory {
	return &Directory{records: make(map[Topic]map[string]Record), ends: make(map[Topic]Position), compareValue: compareValue}
}

// End returns the position after the last record of a topic that was read from the store.
// Records from peers may have later positions.
func (d *Directory) End(topic Topic) Position { return d.ends[topic] }

// Advance records that a topic was read from the store up to an end, exclusive.
func (d *Directory) Advance(topic Topic, end Position) {
	if d.ends[topic].Before(end) {
		d.ends[topic] = end
	}
}

// Apply adds records and returns those that are newer than the stored ones.
func (d *Directory) Apply(records []Record) []Record {
	var changed []Record
	for _, r := range records {
		keys, ok := d.records[r.Topic]
		if !ok {
			keys = make(map[string]Record)
			d.records[r.Topic] = keys
		}
		existing, ok := keys[r.Key]
		if ok && !d.Supersedes(r, existing) {
			continue
		}
		if r.Removed && len(r.Value) == 0 {
			r.Value = existing.Value
		}
		keys[r.Key] = r
		changed = append(changed, r)
	}
	return changed
}

// Supersedes reports whether a record is newer than an existing one of the same key. The
// last value of a removed key does not return with a copy.
func (d *Directory) Supersedes(r, existing Record) bool {
	if r.Position.Era != existing.Position.Era && !r.Removed {
		order, numbered := d.compareValue(r, existing)
		if numbered && (order != 0 || existing.Removed) {
			return order > 0
		}
	}
	return existing.Position.Before(r.Position)
}

// ApplyListing adds a listing of a topic, which holds the newest record of each key up
// to the end. Stored keys that the listing lacks were removed before its end, or lost by a
// restore. It returns the records that changed, with removals.
func (d *Directory) ApplyListing(topic Topic, records []Record, end Position) []Record {
	changed := d.Apply(records)
	listed := make(map[string]bool, len(records))
	for _, r := range records {
		listed[r.Key] = true
	}
	var removed []Record
	for key, r := range d.records[topic] {
		if !listed[key] && !r.Removed && r.Position.Before(end) {
			removed = append(removed, Record{Topic: topic, Key: key, Position: end.Add(-1), Removed: true})
		}
	}
	d.Advance(topic, end)
	return append(changed, d.Apply(removed)...)
}

// Newest returns the newest record of a key, which may be a removal.
func (d *Directory) Newest(topic Topic, key string) (Record, bool) {
	r, ok := d.records[topic][key]
	return r, ok
}

// Records returns the newest records of a topic without removed ones, sorted by key.
func (d *Directory) Records(topic Topic) []Record {
	var current []Record
	for _, r := range d.records[topic] {
		if !r.Removed {
			current = append(current, r)
		}
	}
	slices.SortFunc(current, func(a, b Record) int { return cmp.Compare(a.Key, b.Key) })
	return current
}

// View is an immutable snapshot of the configuration and the targets that is used to
// route requests.
type View struct {
	Configuration *Configuration
	// Targets lists the targets that accept new requests, by service.
	Targets map[string][]Target
	// Members lists the targets of each group of ranks, including those that accept no
	// new requests.
	Members map[string][]Target
	// ConfirmedAt is the last time at which the view was known to be current.
	ConfirmedAt time.Time
}
