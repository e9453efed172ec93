package operator

import (
	"bytes"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"

	"chervilswitch.example/shared/fault"
)

// Collection names one of the inventory's maps.
type Collection string

// The collections of the inventory.
const (
	DataCentres   Collection = "dataCentres"
	Instances     Collection = "instances"
	Services      Collection = "services"
	Groups        Collection = "groups"
	Organisations Collection = "organisations"
)

// Collections lists all collections in dependency order: an object's references are to
// earlier collections.
var Collections = []Collection{DataCentres, Services, Groups, Instances, Organisations}

var (
	// ErrInvalid is matched by all errors about the content of an inventory or a change.
	ErrInvalid = fault.NewSentinel("operator", "invalid")
)

var invalid = ErrInvalid

// Key identifies an object of the inventory.
type Key struct {
	Collection Collection `json:"collection"`
	Name       string     `json:"name"`
}

// String returns the key in the form collection/name.
func (k Key) String() string { return string(k.Collection) + "/" + k.Name }

// Compare orders keys by collection, then by name.
func (k Key) Compare(other Key) int {
	if c := strings.Compare(string(k.Collection), string(other.Collection)); c != 0 {
		return c
	}
	return strings.Compare(k.Name, other.Name)
}

// Edit creates or replaces an object, or removes it if the value is null or empty.
type Edit struct {
	Key
	Value json.RawMessage `json:"value"`
}

// Removes reports whether the edit removes the object.
func (e Edit) Removes() bool {
	return len(e.Value) == 0 || bytes.Equal(bytes.TrimSpace(e.Value), []byte("null"))
}

// Apply applies the edits and validates the result. On error, the inventory is left
// unchanged. Errors of invalid edits match ErrInvalid.
func (v *Inventory) Apply(edits []Edit) error {
	undo := make([]Edit, 0, len(edits))
	for _, e := range edits {
		before, err := v.get(e.Key)
		if err == nil {
			err = v.set(e)
		}
		if err != nil {
			v.restore(undo)
			return err
		}
		undo = append(undo, Edit{Key: e.Key, Value: before})
	}
	if err := v.checkEdits(edits); err != nil {
		v.restore(undo)
		return err
	}
	return nil
}

func (v *Inventory) restore(undo []Edit) {
	for _, e := range slices.Backward(undo) {
		_ = v.set(e) // The value was in the inventory before, so it is valid.
	}
}

// Edits returns the inventory as edits in dependency order.
func (v *Inventory) Edits() []Edit {
	var edits []Edit
	for _, c := range Collections {
		for _, name := range v.names(c) {
			k := Key{Collection: c, Name: name}
			value, err := v.get(k)
			if err != nil {
				continue // Not reached: the collections exist and their objects can be encoded.
			}
			edits = append(edits, Edit{Key: k, Value: value})
		}
	}
	return edits
}

func (v *Inventory) names(c Collection) []string {
	switch c {
	case DataCentres:
		return sortedNames(v.DataCentres)
	case Instances:
		return sortedNames(v.Instances)
	case Services:
		return sortedNames(v.Services)
	case Groups:
		return sortedNames(v.Groups)
	case Organisations:
		return sortedNames(v.Organisations)
	}
	return nil
}

func (v *Inventory) get(k Key) (json.RawMessage, error) {
	switch k.Collection {
	case DataCentres:
		return encode(v.DataCentres, k.Name)
	case Instances:
		return encode(v.Instances, k.Name)
	case Services:
		return encode(v.Services, k.Name)
	case Groups:
		return encode(v.Groups, k.Name)
	case Organisations:
		return encode(v.Organisations, k.Name)
	}
	return nil, invalid.New("collection %q does not exist", k.Collection)
}

func (v *Inventory) set(e Edit) error {
	if e.Name == "" || len(e.Name) > maxNameBytes {
		return invalid.New("%s: the name must have 1 to %d bytes", e.Key, maxNameBytes)
	}
	switch e.Collection {
	case DataCentres:
		return put(&v.DataCentres, e)
	case Instances:
		return put(&v.Instances, e)
	case Services:
		return put(&v.Services, e)
	case Groups:
		return put(&v.Groups, e)
	case Organisations:
		return put(&v.Organisations, e)
	}
	return invalid.New("collection %q does not exist", e.Collection)
}

func put[T any](objects *map[string]T, e Edit) error {
	if e.Removes() {
		delete(*objects, e.Name)
		return nil
	}
	var value T
	decoder := json.NewDecoder(bytes.NewReader(e.Value))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&value); err != nil {
		return invalid.New("%s: %s", e.Key, strings.TrimPrefix(err.Error(), "json: "))
	}
	if *objects == nil {
		*objects = make(map[string]T)
	}
	(*objects)[e.Name] = value
	return nil
}

func encode[T any](objects map[string]T, name string) (json.RawMessage, error) {
	value, ok := objects[name]
	if !ok {
		return nil, nil
	}
	raw, err := json.Marshal(value)
	if err != nil {
		return nil, fmt.Errorf("encode %q: %w", name, err)
	}
	return raw, nil
}

func sortedNames[T any](objects map[string]T) []string { return slices.Sorted(maps.Keys(objects)) }

// Diff returns the edits that turn the inventory from into to.
func Diff(from, to *Inventory) []Edit {
	old := make(map[Key]json.RawMessage)
	for _, e := range from.Edits() {
		old[e.Key] = e.Value
	}
	var edits []Edit
	for _, e := range to.Edits() {
		if !bytes.Equal(old[e.Key], e.Value) {
			edits = append(edits, e)
		}
		delete(old, e.Key)
	}
	removed := make([]Key, 0, len(old))
	for k := range old {
		removed = append(removed, k)
	}
	slices.SortFunc(removed, Key.Compare)
	for _, k := range removed {
		edits = append(edits, Edit{Key: k})
	}
	return edits
}

// Install applies an edit without checking limits or references. Use it for objects
// that were validated before, such as those of a snapshot.
func (v *Inventory) Install(e Edit) error { return v.set(e) }
