package fleet

import (
	"cmp"
	"slices"
	"time"
)

// Directory holds the newest record of each key of the operators' and the targets'
// topics, from the store or from peers. Records are ordered by their offsets, so it
// does not matter in which order they arrive or how often.
type Directory struct {
	records map[Topic]map[string]Record
	ends    map[Topic]int64
}

// NewDirectory gives an empty directory.
func NewDirectory() *Directory {
	return &Directory{records: make(map[Topic]map[string]Record), ends: make(map[Topic]int64)}
}

// End is the offset up to which a topic was read in the store. Records that came
// from peers may be later.
func (d *Directory) End(topic Topic) int64 { return d.ends[topic] }

// Advance notes that a topic was read up to an offset.
func (d *Directory) Advance(topic Topic, end int64) { d.ends[topic] = max(d.ends[topic], end) }

// Apply takes records and returns those that are news.
func (d *Directory) Apply(records []Record) []Record {
	var news []Record
	for _, r := range records {
		keys, ok := d.records[r.Topic]
		if !ok {
			keys = make(map[string]Record)
			d.records[r.Topic] = keys
		}
		if known, ok := keys[r.Key]; ok && known.Offset >= r.Offset {
			continue
		}
		keys[r.Key] = r
		news = append(news, r)
	}
	return news
}

// ApplyListing takes all newest records of a topic. Keys that the listing lacks
// were removed before its end.
func (d *Directory) ApplyListing(topic Topic, records []Record, end int64) []Record {
	news := d.Apply(records)
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
	return append(news, d.Apply(removed)...)
}

// Newest gives the newest record of a key.
func (d *Directory) Newest(topic Topic, key string) (Record, bool) {
	r, ok := d.records[topic][key]
	return r, ok
}

// Records lists the records of a topic that are in force, by key.
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

// View is what is in force, for the traffic to read. It is never changed.
type View struct {
	Configuration *Configuration
	// Targets lists the targets that may take new work, by service.
	Targets map[string][]Target
	// Members lists the targets of each group of ranks, whatever their state.
	Members map[string][]Target
	// ConfirmedAt is when the view was last known to be current.
	ConfirmedAt time.Time
}
