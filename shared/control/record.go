package control

import (
	"encoding/json"
	"fmt"

	"chervilswitch.example/shared/fault"
	"chervilswitch.example/shared/operator"
	"chervilswitch.example/shared/platform"
)

// RecordFormat is the supported version of the record format.
const RecordFormat = 1

// RecordKind is the type of a record in the configuration stream.
type RecordKind string

// The kinds of record.
const (
	RecordChange   RecordKind = "change"
	RecordSnapshot RecordKind = "snapshot"
	RecordClaim    RecordKind = "claim"
)

// Record is the content of a record in the configuration stream.
type Record struct {
	Format int        `json:"format"`
	ID     string     `json:"id"`
	Kind   RecordKind `json:"kind"`
	// Operator is the name of the operator who published a change.
	Operator string `json:"operator,omitempty"`
	// Base is the offset of the state that a change is based on.
	Base  platform.Offset `json:"base,omitempty"`
	Edits []operator.Edit `json:"edits,omitempty"`
	// Snapshot is set if Kind is RecordSnapshot, Claim if Kind is RecordClaim.
	Snapshot *SnapshotPart `json:"snapshot,omitempty"`
	Claim    *Claim        `json:"claim,omitempty"`
}

// SnapshotPart is one part of a snapshot of the state at an offset. Part counts from
// zero to Parts-1.
type SnapshotPart struct {
	At    platform.Offset `json:"at"`
	Part  int             `json:"part"`
	Parts int             `json:"parts"`
	// Objects lists inventory objects with the offsets of their last changes.
	Objects []VersionedEdit `json:"objects,omitempty"`
	// Removed lists recently removed keys with the offsets of their removal.
	Removed []VersionedKey `json:"removed,omitempty"`
	// Seen lists the results of recent changes.
	Seen []ChangeResult `json:"seen,omitempty"`
	// Claims lists the newest claim of each instance.
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

// ChangeResult is the outcome of an applied change. Detail names the conflicting key
// or gives the reason for the rejection.
type ChangeResult struct {
	ID      string          `json:"id"`
	Offset  platform.Offset `json:"offset"`
	Outcome ChangeOutcome   `json:"outcome"`
	Detail  string          `json:"detail,omitempty"`
}

// Claim records that an incarnation of a process now owns an instance. The offset of
// its record is the fencing token.
type Claim struct {
	Instance    string `json:"instance"`
	Incarnation uint64 `json:"incarnation"`
}

// VersionedClaim is a claim with its fencing token.
type VersionedClaim struct {
	Claim
	Fencing platform.Offset `json:"fencing"`
}

var (
	// ErrInvalidRecord is matched by errors of records that cannot be decoded.
	ErrInvalidRecord = fault.NewSentinel("control", "record")
)

// DecodeRecord decodes a record. Records in an unsupported format are returned
// without further validation. Errors match ErrInvalidRecord.
func DecodeRecord(data []byte) (Record, error) {
	var r Record
	if err := json.Unmarshal(data, &r); err != nil {
		return Record{}, ErrInvalidRecord.Wrap(err, "decode")
	}
	if r.ID == "" {
		return Record{}, ErrInvalidRecord.New("record has an empty id")
	}
	switch {
	case r.Format != RecordFormat: // Only the format and the id are known to be valid.
	case r.Kind == RecordSnapshot && r.Snapshot == nil, r.Kind == RecordClaim && r.Claim == nil:
		return Record{}, ErrInvalidRecord.New("record %q has kind %q but no content of that kind", r.ID, r.Kind)
	case r.Kind == RecordSnapshot && (r.Snapshot.Parts < 1 || r.Snapshot.Part < 0 || r.Snapshot.Part >= r.Snapshot.Parts):
		return Record{}, ErrInvalidRecord.New("record %q has snapshot part %d of %d, expected 0 <= part < parts", r.ID, r.Snapshot.Part, r.Snapshot.Parts)
	}
	return r, nil
}

// Encode returns the record in the form that is appended to the log.
func (r Record) Encode() (json.RawMessage, error) {
	raw, err := json.Marshal(r)
	if err != nil {
		return nil, fmt.Errorf("encode record %q: %w", r.ID, err)
	}
	return raw, nil
}
