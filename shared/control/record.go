package control

import (
	"encoding/json"
	"fmt"

	"chervilswitch.example/shared/fault"
	"chervilswitch.example/shared/operator"
	"chervilswitch.example/shared/platform"
)

// RecordFormat is the version of the records that this binary understands.
const RecordFormat = 1

// RecordKind says what a record of the configuration stream holds.
type RecordKind string

// The kinds of record.
const (
	RecordChange   RecordKind = "change"
	RecordSnapshot RecordKind = "snapshot"
	RecordClaim    RecordKind = "claim"
)

// Record is one entry of the configuration stream.
type Record struct {
	Format int        `json:"format"`
	ID     string     `json:"id"`
	Kind   RecordKind `json:"kind"`
	// Operator names who published a change.
	Operator string `json:"operator,omitempty"`
	// Base is the offset of the state that a change was made from.
	Base  platform.Offset `json:"base,omitempty"`
	Edits []operator.Edit `json:"edits,omitempty"`
	// Snapshot is set on snapshots, Claim on claims.
	Snapshot *SnapshotPart `json:"snapshot,omitempty"`
	Claim    *Claim        `json:"claim,omitempty"`
}

// SnapshotPart is one part of the state at an offset.
type SnapshotPart struct {
	At    platform.Offset `json:"at"`
	Part  int             `json:"part"`
	Parts int             `json:"parts"`
	// Objects are the inventory's objects with the offset of their last change.
	Objects []VersionedEdit `json:"objects,omitempty"`
	// Removed are keys that were removed, with the offset of the removal.
	Removed []VersionedKey `json:"removed,omitempty"`
	// Seen are the ids of recent changes and how they ended.
	Seen []ChangeResult `json:"seen,omitempty"`
	// Claims are the newest claims by instance.
	Claims []VersionedClaim `json:"claims,omitempty"`
}

// VersionedEdit is an object with the offset of its last change.
type VersionedEdit struct {
	operator.Edit
	Version platform.Offset `json:"version"`
}

// VersionedKey is a key with the offset of its last change.
type VersionedKey struct {
	operator.Key
	Version platform.Offset `json:"version"`
}

// ChangeResult is the outcome of a change that was read.
type ChangeResult struct {
	ID      string          `json:"id"`
	Offset  platform.Offset `json:"offset"`
	Outcome ChangeOutcome   `json:"outcome"`
	Detail  string          `json:"detail,omitempty"`
}

// Claim says that one incarnation of a process now speaks for an instance. The
// offset of its record is the fencing number.
type Claim struct {
	Instance    string `json:"instance"`
	Incarnation uint64 `json:"incarnation"`
}

// VersionedClaim is a claim with its fencing number.
type VersionedClaim struct {
	Claim
	Fencing platform.Offset `json:"fencing"`
}

var (
	// ErrRecord is matched by errors about records that cannot be decoded.
	ErrRecord = fault.NewSentinel("control", "record")
)

// DecodeRecord reads a record. Errors match ErrRecord.
func DecodeRecord(data []byte) (Record, error) {
	var r Record
	if err := json.Unmarshal(data, &r); err != nil {
		return Record{}, ErrRecord.Wrap(err, "decode")
	}
	if r.ID == "" {
		return Record{}, ErrRecord.New("record has no id")
	}
	switch {
	case r.Format != RecordFormat: // Only its format can be trusted.
	case r.Kind == RecordSnapshot && r.Snapshot == nil, r.Kind == RecordClaim && r.Claim == nil:
		return Record{}, ErrRecord.New("record %q of kind %q lacks its content", r.ID, r.Kind)
	case r.Kind == RecordSnapshot && (r.Snapshot.Parts < 1 || r.Snapshot.Part < 0 || r.Snapshot.Part >= r.Snapshot.Parts):
		return Record{}, ErrRecord.New("record %q is part %d of %d", r.ID, r.Snapshot.Part, r.Snapshot.Parts)
	}
	return r, nil
}

// Encode gives the record as it is appended to the log.
func (r Record) Encode() (json.RawMessage, error) {
	raw, err := json.Marshal(r)
	if err != nil {
		return nil, fmt.Errorf("encode record %q: %w", r.ID, err)
	}
	return raw, nil
}
