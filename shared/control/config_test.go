package control

import (
	"encoding/json"
	"fmt"
	"testing"

	"chervilswitch.example/shared/operator"
	"chervilswitch.example/shared/platform"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

// testLog is an in-memory log. Tests control when appends take effect and which
// records are retained.
type testLog struct {
	records []platform.Record
	first   platform.Offset
}

func newTestLog() *testLog { return &testLog{first: 1} }

func (l *testLog) append(data json.RawMessage) platform.Offset {
	offset := platform.Offset(len(l.records) + 1)
	l.records = append(l.records, platform.Record{Offset: offset, Data: data})
	return offset
}

func (l *testLog) page(from platform.Offset) platform.Page {
	page := platform.Page{First: l.first, Next: platform.Offset(len(l.records) + 1)}
	for _, r := range l.records {
		if r.Offset >= max(from, l.first) {
			page.Records = append(page.Records, r)
		}
	}
	return page
}

// readInto applies all retained records that a reader has not applied.
func (l *testLog) readInto(c *Config) {
	page := l.page(c.Applied() + 1)
	if page.First == 1 {
		c.StartFromEmpty()
	}
	for _, r := range page.Records {
		c.Apply(r)
	}
}

// fataler is the subset of testing.T and rapid.T that test helpers need.
type fataler interface{ Fatal(...any) }

func encodeRecord(t fataler, r Record) json.RawMessage {
	r.Format = RecordFormat
	data, err := r.Encode()
	if err != nil {
		t.Fatal(err)
	}
	return data
}

func dataCentreEdit(name string, out bool) operator.Edit {
	return operator.Edit{
		Key:   operator.Key{Collection: operator.DataCentres, Name: name},
		Value: json.RawMessage(fmt.Sprintf(`{"region":"r","out":%t}`, out)),
	}
}

func changeRecord(id string, base platform.Offset, edits ...operator.Edit) Record {
	return Record{ID: id, Kind: RecordChange, Base: base, Edits: edits}
}

func TestConcurrentEditsOfOneKeyConflict(t *testing.T) {
	c := qt.New(t)
	l := newTestLog()
	l.append(encodeRecord(t, changeRecord("first", 0, dataCentreEdit("sfax", true))))
	l.append(encodeRecord(t, changeRecord("second", 0, dataCentreEdit("sfax", false))))
	l.append(encodeRecord(t, changeRecord("other", 0, dataCentreEdit("tunis", true))))
	var config Config
	l.readInto(&config)
	first, _ := config.Result("first")
	second, _ := config.Result("second")
	other, _ := config.Result("other")
	c.Assert(first.Outcome, qt.Equals, ChangeAccepted)
	c.Assert(second.Outcome, qt.Equals, ChangeConflict)
	c.Assert(second.Detail, qt.Equals, "dataCentres/sfax")
	c.Assert(other.Outcome, qt.Equals, ChangeAccepted, qt.Commentf("edits of different objects do not conflict"))
	c.Assert(config.Inventory().DataCentres["sfax"].Out, qt.IsTrue)
}

func TestDuplicateOfRefusedChangeStaysRefused(t *testing.T) {
	c := qt.New(t)
	l := newTestLog()
	entry := operator.Edit{
		Key:   operator.Key{Collection: operator.Instances, Name: "e"},
		Value: json.RawMessage(`{"dataCentre":"sfax","role":"entry","peer":"10.0.0.1:1","caller":"10.0.0.1:2"}`),
	}
	early := encodeRecord(t, changeRecord("early", 0, entry))
	l.append(early)
	l.append(encodeRecord(t, changeRecord("centre", 1, dataCentreEdit("sfax", false))))
	l.append(early) // The append was retried after its response was lost.
	var config Config
	l.readInto(&config)
	seen, _ := config.Result("early")
	c.Assert(seen.Outcome, qt.Equals, ChangeInvalid)
	c.Assert(config.Inventory().Instances, qt.HasLen, 0)
}

func TestUnknownFormatHaltsReader(t *testing.T) {
	c := qt.New(t)
	l := newTestLog()
	l.append(encodeRecord(t, changeRecord("a", 0, dataCentreEdit("sfax", true))))
	l.append(json.RawMessage(`{"format":2,"id":"b","kind":"change"}`))
	l.append(encodeRecord(t, changeRecord("c", 0, dataCentreEdit("tunis", true))))
	var config Config
	l.readInto(&config)
	c.Assert(config.Halted(), qt.IsTrue)
	c.Assert(config.Applied(), qt.Equals, platform.Offset(1))
}

func TestLateReaderNeedsWholeSnapshot(t *testing.T) {
	c := qt.New(t)
	l := newTestLog()
	for i := range 3 {
		l.append(encodeRecord(t, changeRecord(fmt.Sprint("c", i), platform.Offset(i), dataCentreEdit("sfax", i%2 == 0))))
	}
	var early Config
	l.readInto(&early)
	snapshot := early.Snapshot("s")
	l.append(encodeRecord(t, changeRecord("c3", 3, dataCentreEdit("tunis", true))))
	l.first = 4
	var late Config
	l.readInto(&late)
	c.Assert(late.Ready(), qt.IsFalse, qt.Commentf("records before the first retained one cannot be read"))
	for _, r := range snapshot {
		l.append(encodeRecord(t, r))
	}
	l.readInto(&late)
	l.readInto(&early)
	c.Assert(late.Ready(), qt.IsTrue)
	c.Assert(late.Digest(), qt.Equals, early.Digest())
	l.first = 5 // Record 4 has expired and the snapshot does not cover it.
	var tooLate Config
	l.readInto(&tooLate)
	c.Assert(tooLate.Applied() < late.Applied(), qt.IsTrue)
}

// referenceDigests returns the digest of the inventory at every offset, computed by
// applying all records in order.
func referenceDigests(l *testLog) map[platform.Offset]string {
	digests := make(map[platform.Offset]string)
	var config Config
	config.StartFromEmpty()
	digests[0] = inventoryDigest(&config)
	for _, r := range l.records {
		config.Apply(r)
		digests[config.Applied()] = inventoryDigest(&config)
	}
	return digests
}

func inventoryDigest(c *Config) string {
	raw, err := json.Marshal(c.Inventory())
	if err != nil {
		return err.Error()
	}
	return string(raw)
}

// TestReadersAgreeUnderAdversary checks that each reader holds exactly the state of its
// offset and never moves back, with appends that are lost, delayed or duplicated,
// snapshots, expired records and restarted readers.
func TestReadersAgreeUnderAdversary(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := newTestLog()
		readers := make([]Config, 3)
		var delayed []json.RawMessage
		names := []string{"sfax", "tunis", "sousse"}
		for i := range rapid.IntRange(5, 60).Draw(t, "events") {
			reader := &readers[rapid.IntRange(0, len(readers)-1).Draw(t, "reader")]
			before := reader.Applied()
			switch rapid.IntRange(0, 9).Draw(t, "action") {
			case 0, 1:
				record := changeRecord(fmt.Sprint("c", i), reader.Applied(),
					dataCentreEdit(rapid.SampledFrom(names).Draw(t, "name"), rapid.Bool().Draw(t, "out")))
				data := encodeRecord(t, record)
				l.append(data)
				delayed = append(delayed, data)
			case 2:
				if len(delayed) > 0 { // A delayed duplicate takes effect.
					l.append(delayed[rapid.IntRange(0, len(delayed)-1).Draw(t, "copy")])
				}
			case 3:
				if reader.Ready() && reader.Applied() > 0 {
					for _, r := range reader.Snapshot(fmt.Sprint("s", i)) {
						delayed = append(delayed, encodeRecord(t, r))
					}
				}
			case 4:
				l.first = max(l.first, platform.Offset(rapid.IntRange(1, len(l.records)+1).Draw(t, "first")))
			case 5:
				*reader, before = Config{}, 0
			case 6:
				peer := &readers[rapid.IntRange(0, len(readers)-1).Draw(t, "peer")]
				if records, whole := peer.Tail(reader.Applied() + 1); whole && peer.Ready() {
					for _, r := range records {
						reader.Apply(r)
					}
				} else if peer.Ready() {
					reader.InstallSnapshot(peer.Snapshot(fmt.Sprint("p", i)))
				}
			case 7:
				page := l.page(1)
				if len(page.Records) > 0 { // A single record, out of order.
					reader.Apply(rapid.SampledFrom(page.Records).Draw(t, "record"))
				}
			default:
				l.readInto(reader)
			}
			expected := referenceDigests(l)
			for n := range readers {
				r := &readers[n]
				if r.Ready() && inventoryDigest(r) != expected[r.Applied()] {
					t.Fatalf("reader %d holds %s at offset %d, expected %s", n, inventoryDigest(r), r.Applied(), expected[r.Applied()])
				}
			}
			if reader.Applied() < before {
				t.Fatalf("reader moved back from offset %d to %d", before, reader.Applied())
			}
		}
	})
}
