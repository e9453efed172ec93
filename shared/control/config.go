package control

import (
	"cmp"
	"encoding/json"
	"maps"
	"slices"

	"chervilswitch.example/shared/operator"
	"chervilswitch.example/shared/platform"
)

const (
	// maxBaseDistance is the largest offset distance between a change and its base.
	maxBaseDistance = 4096
	// maxSnapshotObjects bounds the objects in one part of a snapshot.
	maxSnapshotObjects = 500
	// maxTailRecords is the number of latest records that are kept for peers that
	// are behind. The tail is trimmed to it when it exceeds twice this length.
	maxTailRecords = 4096
	// maxBufferedRecords bounds the records buffered while earlier ones are missing.
	maxBufferedRecords = 2 * maxBaseDistance
)

// ChangeOutcome is the result of applying a change.
type ChangeOutcome string

// The outcomes of a change.
const (
	ChangeAccepted ChangeOutcome = "accepted"
	ChangeConflict ChangeOutcome = "conflict"
	ChangeInvalid  ChangeOutcome = "invalid"
)

// Config is the configuration replicated through the log. All processes that have
// applied the same offset hold the same state. The zero value has applied no
// records.
//
// Example: at offset 7, two operators publish changes with base 7. Record 8 edits
// dataCentres/tunis-1 and is accepted. Record 9 edits the same key, whose version 8
// is newer than base 7, so every reader rejects it as a conflict.
type Config struct {
	inventory operator.Inventory
	versions  map[operator.Key]platform.Offset
	claims    map[string]VersionedClaim
	seen      map[string]ChangeResult
	seenOrder []string
	// applied is the last applied offset; latest is that of the last accepted change.
	applied platform.Offset
	latest  platform.Offset
	// complete is set once a snapshot was installed or the start of the stream is
	// known to be available.
	complete bool
	// halted is set by a record in a format that this version does not support.
	halted bool

	tail     []platform.Record
	buffered map[platform.Offset]platform.Record
	parts    map[string]map[int]*SnapshotPart
}

// Applied returns the offset of the last applied record.
func (c *Config) Applied() platform.Offset { return c.applied }

// Latest returns the offset of the last accepted change.
func (c *Config) Latest() platform.Offset { return c.latest }

// Ready reports whether the state is complete up to Applied.
func (c *Config) Ready() bool { return c.complete }

// Halted reports whether a record in an unsupported format stopped the reader.
func (c *Config) Halted() bool { return c.halted }

// Inventory returns the current configuration. Callers must not modify it.
func (c *Config) Inventory() *operator.Inventory { return &c.inventory }

// StartFromEmpty marks the state as complete. Call it when the stream still retains
// its first record, so that no earlier state can be missing.
func (c *Config) StartFromEmpty() { c.complete = true }

// Result returns the result of a recent change by the id of its record.
func (c *Config) Result(id string) (ChangeResult, bool) {
	seen, ok := c.seen[id]
	return seen, ok
}

// NewestClaim returns the newest claim of an instance, with its fencing token.
func (c *Config) NewestClaim(instance string) (VersionedClaim, bool) {
	claim, ok := c.claims[instance]
	return claim, ok
}

// Apply accepts records in any order, and duplicates. It applies all records that
// are now contiguous and returns the results of the changes among them.
func (c *Config) Apply(r platform.Record) []ChangeResult {
	if r.Offset <= c.applied && c.complete {
		return nil
	}
	if part := c.snapshotPart(r); part != nil && c.collectPart(r, part) {
		return c.applyBuffered()
	}
	if r.Offset == 1 {
		c.complete = true // No record can precede the first one.
	}
	c.buffer(r)
	return c.applyBuffered()
}

// buffer stores a record until all earlier ones are applied. A full buffer drops
// its oldest record.
func (c *Config) buffer(r platform.Record) {
	if c.buffered == nil {
		c.buffered = make(map[platform.Offset]platform.Record)
	}
	if len(c.buffered) >= maxBufferedRecords {
		c.dropOldestBuffered()
	}
	c.buffered[r.Offset] = r
}

func (c *Config) dropOldestBuffered() {
	oldest := platform.Offset(0)
	for offset := range c.buffered {
		if oldest == 0 || offset < oldest {
			oldest = offset
		}
	}
	delete(c.buffered, oldest)
}

func (c *Config) applyBuffered() []ChangeResult {
	var outcomes []ChangeResult
	for c.complete && !c.halted {
		r, ok := c.buffered[c.applied+1]
		if !ok {
			break
		}
		delete(c.buffered, r.Offset)
		if seen, ok := c.applyNext(r); ok {
			outcomes = append(outcomes, seen)
		}
	}
	return outcomes
}

// FirstMissing returns the offset of the record that must be fetched before the
// buffered ones can be applied. It returns false if no record is buffered or the
// reader has halted.
func (c *Config) FirstMissing() (platform.Offset, bool) {
	return c.applied + 1, len(c.buffered) > 0 && !c.halted
}

func (c *Config) applyNext(r platform.Record) (ChangeResult, bool) {
	record, err := DecodeRecord(r.Data)
	if err == nil && record.Format != RecordFormat {
		// A newer version may give the record effects that later records depend on.
		c.halted = true
		return ChangeResult{}, false
	}
	c.applied = r.Offset
	c.tail = append(c.tail, r)
	if len(c.tail) > 2*maxTailRecords {
		c.tail = slices.Clone(c.tail[len(c.tail)-maxTailRecords:])
	}
	if err != nil {
		return ChangeResult{}, false // All readers skip undecodable records.
	}
	switch record.Kind {
	case RecordChange:
		return c.applyChange(r.Offset, record), true
	case RecordClaim:
		c.applyClaim(r.Offset, *record.Claim)
	}
	return ChangeResult{}, false
}

func (c *Config) applyChange(offset platform.Offset, record Record) ChangeResult {
	if seen, ok := c.seen[record.ID]; ok {
		return seen // The append was retried after its response was lost.
	}
	seen := ChangeResult{ID: record.ID, Offset: offset, Outcome: ChangeAccepted}
	if conflict, ok := c.conflict(offset, record); ok {
		seen.Outcome, seen.Detail = ChangeConflict, conflict
	} else if err := c.inventory.Apply(record.Edits); err != nil {
		seen.Outcome, seen.Detail = ChangeInvalid, err.Error()
	} else {
		c.setVersions(offset, record.Edits)
		c.latest = offset
	}
	c.recordResult(seen)
	return seen
}

func (c *Config) conflict(offset platform.Offset, record Record) (string, bool) {
	if record.Base >= offset || offset-record.Base > maxBaseDistance {
		return "base is too far from the change", true
	}
	for _, e := range record.Edits {
		if c.versions[e.Key] > record.Base {
			return e.Key.String(), true
		}
	}
	return "", false
}

func (c *Config) setVersions(offset platform.Offset, edits []operator.Edit) {
	if c.versions == nil {
		c.versions = make(map[operator.Key]platform.Offset)
	}
	for _, e := range edits {
		c.versions[e.Key] = offset
	}
}

// recordResult keeps a result for maxBaseDistance records. A duplicate after that is
// a conflict, since its base is too old.
func (c *Config) recordResult(seen ChangeResult) {
	if c.seen == nil {
		c.seen = make(map[string]ChangeResult)
	}
	c.seen[seen.ID] = seen
	c.seenOrder = append(c.seenOrder, seen.ID)
	for len(c.seenOrder) > 0 && seen.Offset-c.seen[c.seenOrder[0]].Offset > maxBaseDistance {
		delete(c.seen, c.seenOrder[0])
		c.seenOrder = c.seenOrder[1:]
	}
}

func (c *Config) applyClaim(offset platform.Offset, claim Claim) {
	if c.claims == nil {
		c.claims = make(map[string]VersionedClaim)
	}
	if newest, ok := c.claims[claim.Instance]; ok && claim.Incarnation <= newest.Incarnation {
		return // A duplicate, or the late claim of a process that was replaced.
	}
	c.claims[claim.Instance] = VersionedClaim{Claim: claim, Fencing: offset}
}

// Tail returns the applied records from an offset on. It returns false if the tail
// no longer contains all of them.
func (c *Config) Tail(from platform.Offset) ([]platform.Record, bool) {
	if from > c.applied {
		return nil, true
	}
	if len(c.tail) == 0 || c.tail[0].Offset > from {
		return nil, false
	}
	i, _ := slices.BinarySearchFunc(c.tail, from, func(r platform.Record, offset platform.Offset) int {
		if r.Offset < offset {
			return -1
		}
		if r.Offset > offset {
			return 1
		}
		return 0
	})
	return slices.Clone(c.tail[i:]), true
}

func (c *Config) snapshotPart(r platform.Record) *SnapshotPart {
	record, err := DecodeRecord(r.Data)
	if err != nil || record.Format != RecordFormat || record.Kind != RecordSnapshot {
		return nil
	}
	return record.Snapshot
}

// collectPart stores a snapshot part and installs the snapshot once all parts are
// present and it is newer than the state. The record of an older snapshot has no
// effect except that its offset counts as applied.
func (c *Config) collectPart(r platform.Record, part *SnapshotPart) bool {
	c.buffer(r)
	if part.At >= r.Offset || c.complete && part.At <= c.applied {
		return true
	}
	record, err := DecodeRecord(r.Data)
	if err != nil {
		return true
	}
	return c.addPart(record.ID, part)
}

func (c *Config) addPart(id string, part *SnapshotPart) bool {
	if c.parts == nil {
		c.parts = make(map[string]map[int]*SnapshotPart)
	}
	if c.parts[id] == nil {
		c.parts[id] = make(map[int]*SnapshotPart)
	}
	c.parts[id][part.Part] = part
	if len(c.parts[id]) == part.Parts {
		c.install(c.parts[id], part.Parts)
		clear(c.parts)
	}
	return true
}

func (c *Config) install(parts map[int]*SnapshotPart, count int) {
	next := Config{complete: true, buffered: c.buffered}
	for i := range count {
		next.installPart(parts[i])
	}
	if c.complete && next.applied <= c.applied {
		return
	}
	for offset := range next.buffered {
		if offset <= next.applied {
			delete(next.buffered, offset)
		}
	}
	*c = next
}

func (c *Config) installPart(part *SnapshotPart) {
	c.applied = part.At
	if c.versions == nil {
		c.versions = make(map[operator.Key]platform.Offset)
	}
	for _, e := range part.Objects {
		// The objects were validated when their changes were accepted.
		_ = c.inventory.Install(e.Edit)
		c.versions[e.Key] = e.Version
		c.latest = max(c.latest, e.Version)
	}
	for _, k := range part.Removed {
		c.versions[k.Key] = k.Version
		c.latest = max(c.latest, k.Version)
	}
	for _, seen := range part.Seen {
		c.recordResult(seen)
	}
	for _, claim := range part.Claims {
		if c.claims == nil {
			c.claims = make(map[string]VersionedClaim)
		}
		c.claims[claim.Instance] = claim
	}
}

// Snapshot returns the state as one or more snapshot records that share an id.
func (c *Config) Snapshot(id string) []Record {
	whole := c.wholeSnapshot()
	count := max(1, (len(whole.Objects)+maxSnapshotObjects-1)/maxSnapshotObjects)
	records := make([]Record, 0, count)
	for i := range count {
		part := &SnapshotPart{At: c.applied, Part: i, Parts: count}
		first := min(i*maxSnapshotObjects, len(whole.Objects))
		last := min(first+maxSnapshotObjects, len(whole.Objects))
		part.Objects = whole.Objects[first:last]
		if i == 0 {
			part.Removed, part.Seen, part.Claims = whole.Removed, whole.Seen, whole.Claims
		}
		records = append(records, Record{Format: RecordFormat, ID: id, Kind: RecordSnapshot, Snapshot: part})
	}
	return records
}

func (c *Config) wholeSnapshot() SnapshotPart {
	whole := SnapshotPart{At: c.applied}
	present := make(map[operator.Key]bool)
	for _, e := range c.inventory.Edits() {
		present[e.Key] = true
		whole.Objects = append(whole.Objects, VersionedEdit{Edit: e, Version: c.versions[e.Key]})
	}
	for k, version := range c.versions {
		// No valid base is old enough to conflict with an earlier removal.
		if !present[k] && c.applied-version <= maxBaseDistance {
			whole.Removed = append(whole.Removed, VersionedKey{Key: k, Version: version})
		}
	}
	slices.SortFunc(whole.Removed, func(a, b VersionedKey) int { return a.Key.Compare(b.Key) })
	for _, id := range c.seenOrder {
		whole.Seen = append(whole.Seen, c.seen[id])
	}
	for _, name := range sortedKeys(c.claims) {
		whole.Claims = append(whole.Claims, c.claims[name])
	}
	return whole
}

// InstallSnapshot replaces the state by a peer's snapshot if that is newer.
func (c *Config) InstallSnapshot(records []Record) {
	for _, r := range records {
		if r.Snapshot != nil && (!c.complete || r.Snapshot.At > c.applied) {
			c.addPart(r.ID, r.Snapshot)
		}
	}
	c.applyBuffered()
}

// Digest returns a deterministic encoding of the state for comparison between
// processes. If encoding fails, it returns the error's text.
func (c *Config) Digest() string {
	raw, err := json.Marshal(c.wholeSnapshot())
	if err != nil {
		return err.Error()
	}
	return string(raw)
}

// sortedKeys returns a map's keys in ascending order, for deterministic iteration.
func sortedKeys[K cmp.Ordered, T any](m map[K]T) []K { return slices.Sorted(maps.Keys(m)) }
