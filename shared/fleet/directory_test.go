package fleet

import (
	"encoding/json"
	"testing"

	qt "github.com/frankban/quicktest"
)

func record(key string, offset int64, value string) Record {
	return Record{Topic: TargetTopic, Key: key, Offset: offset, Value: []byte(value), Removed: value == ""}
}

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
	d := NewDirectory()
	records := []Record{record("a", 1, "one"), record("a", 5, "two"), record("b", 3, "x"), record("b", 4, ""), record("a", 2, "late")}
	for range 2 {
		for i := len(records) - 1; i >= 0; i-- {
			d.Apply(records[i : i+1])
		}
	}
	c.Assert(values(d), qt.DeepEquals, map[string]string{"a": "two"})
	c.Assert(d.Apply(records), qt.HasLen, 0)
	c.Assert(d.End(TargetTopic), qt.Equals, int64(0)) // No read from the store was recorded.
}

// A listing replaces all keys up to its end offset and leaves newer records unchanged.
func TestApplyListingRemovesMissingKeys(t *testing.T) {
	c := qt.New(t)
	d := NewDirectory()
	d.Apply([]Record{record("gone", 2, "x"), record("kept", 3, "x"), record("newer", 12, "x")})
	changed := d.ApplyListing(TargetTopic, []Record{record("kept", 3, "x"), record("fresh", 9, "x")}, 10)
	c.Assert(values(d), qt.DeepEquals, map[string]string{"kept": "x", "newer": "x", "fresh": "x"})
	c.Assert(changed, qt.HasLen, 2)
	c.Assert(d.End(TargetTopic), qt.Equals, int64(10))
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
