package fleet

import (
	"encoding/json"
	"testing"

	qt "github.com/frankban/quicktest"
)

func record(key string, offset int64, value string) Record {
	return Record{Topic: TargetTopic, Key: key, Position: Position{Offset: offset}, Value: []byte(value), Removed: value == ""}
}

func unnumbered(Record, Record) (int, bool) { return 0, false }

func values(d *Directory) map[string]string {
	all := make(map[string]string)
	for _, r := range d.Records(TargetTopic) {
		all[r.Key] = string(r.Value)
	}
	return all
}

// Records may arrive repeatedly and in any order, from the store and from peers.
func TestApplyKeepsRecordWithHighestOffset(t *testing.T) {
	c := qt.New(t)
	d := NewDirectory(unnumbered)
	records := []Record{record("a", 1, "one"), record("a", 5, "two"), record("b", 3, "x"), record("b", 4, ""), record("a", 2, "late")}
	for range 2 {
		for i := len(records) - 1; i >= 0; i-- {
			d.Apply(records[i : i+1])
		}
	}
	c.Assert(values(d), qt.DeepEquals, map[string]string{"a": "two"})
	c.Assert(d.Apply(records), qt.HasLen, 0)
	c.Assert(d.End(TargetTopic), qt.Equals, Position{}) // No read from the store was recorded.
}

// A listing replaces all keys up to its end offset and leaves newer records unchanged.
func TestApplyListingRemovesMissingKeys(t *testing.T) {
	c := qt.New(t)
	d := NewDirectory(unnumbered)
	d.Apply([]Record{record("gone", 2, "x"), record("kept", 3, "x"), record("newer", 12, "x")})
	changed := d.ApplyListing(TargetTopic, []Record{record("kept", 3, "x"), record("fresh", 9, "x")}, Position{Offset: 10})
	c.Assert(values(d), qt.DeepEquals, map[string]string{"kept": "x", "newer": "x", "fresh": "x"})
	c.Assert(changed, qt.HasLen, 2)
	c.Assert(d.End(TargetTopic), qt.Equals, Position{Offset: 10})
	// A record older than the listing does not restore a removed key.
	c.Assert(d.Apply([]Record{record("gone", 2, "x")}), qt.HasLen, 0)
}

func TestMatchSelectsLongestPrefixOfHost(t *testing.T) {
	c := qt.New(t)
	configuration := &Configuration{Routes: []Route{
		{Name: "short", Host: "h", Prefix: "/a/"}, {Name: "long", Host: "h", Prefix: "/a/b/"}, {Name: "other", Host: "i", Prefix: "/a/b/c/"},
	}}
	c.Assert(configuration.Match("h", "/a/b/c/d").Name, qt.Equals, "long")
	c.Assert(configuration.Match("h", "/a/x").Name, qt.Equals, "short")
	c.Assert(configuration.Match("h", "/b/"), qt.IsNil)
	c.Assert(configuration.Match("j", "/a/"), qt.IsNil)
}

func TestPickDistributesByWeight(t *testing.T) {
	r := &Route{Split: []WeightedService{{Service: "a", Weight: 90}, {Service: "b", Weight: 10}}}
	counts := make(map[string]int)
	for i := range 1000 {
		counts[r.Pick(float64(i)/1000)]++
	}
	qt.Assert(t, counts, qt.DeepEquals, map[string]int{"a": 900, "b": 100})
}

func TestCrashIsNoRegistration(t *testing.T) {
	c := qt.New(t)
	raw, err := json.Marshal(Crash{Target: "t", Incarnation: 1, Reporter: "entry-a", Parts: []string{"p"}})
	c.Assert(err, qt.IsNil)
	c.Assert(json.Unmarshal(raw, &Instance{}), qt.IsNotNil)
	var again Crash
	c.Assert(json.Unmarshal(raw, &again), qt.IsNil)
	c.Assert(again.Incarnation, qt.Equals, uint64(1))
}

// byLength numbers a value by its length.
func byLength(a, b Record) (int, bool) { return len(a.Value) - len(b.Value), true }

func inEra(era uint64, r Record) Record {
	r.Position.Era = era
	return r
}

// A store that is restored from a copy lists older records than those that were read
// before, at lower, equal or higher offsets.
func TestRestoredCopyDoesNotReplaceNewerRecords(t *testing.T) {
	c := qt.New(t)
	d := NewDirectory(byLength)
	d.Apply([]Record{record("newer", 9, "333"), record("same", 5, "22"), record("gone", 7, "1"), record("gone", 8, ""), record("lost", 6, "1")})
	end := Position{Era: 1, Offset: 6}
	changed := d.ApplyListing(TargetTopic, []Record{
		inEra(1, record("newer", 2, "22")), inEra(1, record("same", 5, "22")), inEra(1, record("gone", 3, "1")), inEra(1, record("fresh", 4, "1")),
	}, end)
	c.Assert(values(d), qt.DeepEquals, map[string]string{"newer": "333", "same": "22", "fresh": "1"})
	c.Assert(changed, qt.HasLen, 3) // Same, fresh, and the removal of lost.
	c.Assert(d.End(TargetTopic), qt.Equals, end)
	// What is written after the restore counts, at an offset that was given out before.
	d.Apply([]Record{inEra(1, record("newer", 6, "4444")), inEra(1, record("gone", 7, "22"))})
	c.Assert(values(d)["newer"], qt.Equals, "4444")
	c.Assert(values(d)["gone"], qt.Equals, "22")
	// A peer that has not read the restored store does not bring lost records back.
	c.Assert(d.Apply([]Record{record("newer", 9, "333"), record("lost", 6, "1")}), qt.HasLen, 0)
}
