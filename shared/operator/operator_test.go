package operator

import (
	"encoding/json"
	"errors"
	"regexp"
	"testing"

	qt "github.com/frankban/quicktest"
)

func TestCheckReportsEveryError(t *testing.T) {
	c := qt.New(t)
	v := Inventory{
		Services:  map[string]Service{"s": {Kind: "odd", ColdLimit: 0, WarmLimit: 4}},
		Instances: map[string]Instance{"i": {DataCentre: "nowhere", Role: RoleAgent, Service: "t"}},
		Groups:    map[string]Group{"g": {Service: "s", Ranks: 4, Experts: 64, Slots: 8}},
	}
	err := v.Check()
	c.Assert(errors.Is(err, ErrInvalid), qt.IsTrue)
	for _, part := range []string{
		`services/s: kind`, `services/s: coldLimit`, `instances/i: dataCentre: data centre "nowhere" does not exist`,
		`instances/i: peer`, `instances/i: service`, `groups/g: slots: 4 ranks of 8 slots cannot hold 64 experts`,
	} {
		c.Check(err, qt.ErrorMatches, `(?s).*`+regexp.QuoteMeta(part)+`.*`)
	}
}

func TestFailedApplyLeavesInventoryUnchanged(t *testing.T) {
	c := qt.New(t)
	var v Inventory
	good := Edit{Key: Key{Collection: DataCentres, Name: "a"}, Value: json.RawMessage(`{"region":"r"}`)}
	c.Assert(v.Apply([]Edit{good}), qt.IsNil)
	before, err := json.Marshal(v)
	c.Assert(err, qt.IsNil)
	err = v.Apply([]Edit{
		{Key: Key{Collection: DataCentres, Name: "b"}, Value: json.RawMessage(`{}`)},
		{Key: Key{Collection: DataCentres, Name: "a"}},
		{Key: Key{Collection: Instances, Name: "i"}, Value: json.RawMessage(`{"rack":1}`)},
	})
	c.Assert(err, qt.ErrorMatches, `.*unknown field "rack".*`)
	after, err := json.Marshal(v)
	c.Assert(err, qt.IsNil)
	c.Assert(string(after), qt.Equals, string(before))
}

func TestRemovalOfReferencedObjectIsRefused(t *testing.T) {
	c := qt.New(t)
	v := Inventory{
		DataCentres: map[string]DataCentre{"a": {}},
		Services:    map[string]Service{"s": {Kind: KindPlain, ColdLimit: 1, WarmLimit: 1}},
		Instances:   map[string]Instance{"i": {DataCentre: "a", Role: RoleAgent, Service: "s"}},
	}
	err := v.Apply([]Edit{{Key: Key{Collection: DataCentres, Name: "a"}}})
	c.Assert(errors.Is(err, ErrInvalid), qt.IsTrue)
	c.Assert(v.DataCentres, qt.HasLen, 1)
}

func TestDiffAppliedToFirstYieldsSecond(t *testing.T) {
	c := qt.New(t)
	from := Inventory{DataCentres: map[string]DataCentre{"a": {}, "b": {Out: true}}}
	to := Inventory{DataCentres: map[string]DataCentre{"b": {}, "c": {}}}
	edits := Diff(&from, &to)
	c.Assert(edits, qt.HasLen, 3)
	c.Assert(from.Apply(edits), qt.IsNil)
	c.Assert(Diff(&from, &to), qt.HasLen, 0)
}

func FuzzInventory(f *testing.F) {
	f.Add(`{"dataCentre":"a","role":"agent","peer":"10.0.0.1:1","service":"s"}`, "instances")
	f.Add(`{"kind":"model","models":["m"],"coldLimit":1,"warmLimit":2}`, "services")
	f.Fuzz(func(t *testing.T, value, collection string) {
		var v Inventory
		err := v.Apply([]Edit{{Key: Key{Collection: Collection(collection), Name: "x"}, Value: json.RawMessage(value)}})
		if err != nil && !errors.Is(err, ErrInvalid) {
			t.Fatalf("error does not match ErrInvalid: %v", err)
		}
		if err == nil && v.Check() != nil {
			t.Fatalf("accepted an invalid object: %v", v.Check())
		}
	})
}
