package fleet

import (
	"cmp"
	"slices"
	"time"
)

// Directory holds the newest record of each key of the operators' and the targets'
// topics, received from the store or from peers. Of two records, the one with the
// higher offset is newer, so records may arrive repeatedly and in any order. It is not
// safe for concurrent use.
type Directory struct {
	records    map[Topic]map[string]Record
	endOffsets map[Topic]int64
}

// NewDirectory returns an empty directory.
func NewDirectory() *Directory {
	return &Directory{records: make(map[Topic]map[string]Record), endOffsets: make(map[Topic]int64)}
}

// End returns the offset after the last record of a topic that was read from the store.
// Records from peers may have higher offsets.
func (d *Directory) End(topic Topic) int64 { return d.endOffsets[topic] }

// Advance records that a topic was read from the store up to an end offset, exclusive.
func (d *Directory) Advance(topic Topic, end int64) {
	d.endOffsets[topic] = max(d.endOffsets[topic], end)
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
		if existing, ok := keys[r.Key]; ok && existing.Offset >= r.Offset {
			continue
		}
		keys[r.Key] = r
		changed = append(changed, r)
	}
	return changed
}

// ApplyListing adds a listing of a topic, which holds the newest record of each key up
// to the end offset. Stored keys that the listing lacks were removed before its end.
// It returns the records that changed, with removals.
func (d *Directory) ApplyListing(topic Topic, records []Record, end int64) []Record {
	changed := d.Apply(records)
	listed := make(map[string]bool, len(records))
	for _, r := range records {
		listed[r.Key] = true
	}
	var removed []Record
	for key, r := range d.records[topic] {
		if !listed[key] && !r.Removed && r.Offset < end {
			removed = append(removed, Record{Topic: topic, Key: key, Offset: end - 1, Removed: true})
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
