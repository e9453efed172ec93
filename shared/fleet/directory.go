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

// End is the offset after the newest record that is known of a topic.
func (d *Directory) End(topic Topic) int64 { return d.ends[topic] }

// Apply takes records and returns those that are news.
func (d *Directory) Apply(records []Record) []Record {
	var news []Record
	for _, r := range records {
		keys, ok := d.records[r.Topic]
		if !ok {
			keys = make(map[string]Record)
			d.records[r.Topic] = keys
		}
		d.ends[r.Topic] = max(d.ends[r.Topic], r.Offset+1)
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
	d.ends[topic] = max(d.ends[topic], end)
	return append(news, d.Apply(removed)...)
}

// Since lists the records of a topic from an offset on, oldest first.
func (d *Directory) Since(topic Topic, from int64) []Record {
	var later []Record
	for _, r := range d.records[topic] {
		if r.Offset >= from {
			later = append(later, r)
		}
	}
	slices.SortFunc(later, func(a, b Record) int {
		return cmp.Or(cmp.Compare(a.Offset, b.Offset), cmp.Compare(a.Key, b.Key))
	})
	return later
}

// Keys lists the records of a topic that are in force, by key.
func (d *Directory) Keys(topic Topic) []Record {
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
	// Confirmed is when the view was last known to be current.
	Confirmed time.Time
}
