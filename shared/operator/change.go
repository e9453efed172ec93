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

// Collections lists every collection so that references come after what they name.
var Collections = []Collection{DataCentres, Services, Groups, Instances, Organisations}

var (
	// ErrInvalid is matched by every error about the content of an inventory or change.
	ErrInvalid = fault.NewSentinel("operator", "invalid")
)

var invalid = ErrInvalid

// Key names one object of the inventory.
type Key struct {
	Collection Collection `json:"collection"`
	Name       string     `json:"name"`
}

// String gives the key as collection/name.
func (k Key) String() string { return string(k.Collection) + "/" + k.Name }

// Compare orders keys by collection and name.
func (k Key) Compare(other Key) int {
	if c := strings.Compare(string(k.Collection), string(other.Collection)); c != 0 {
		return c
	}
	return strings.Compare(k.Name, other.Name)
}

// Edit replaces one object, or removes it when the value is null.
type Edit struct {
	Key
	Value json.RawMessage `json:"value"`
}

// Removes reports whether the edit takes the object away.
func (e Edit) Removes() bool {
	return len(e.Value) == 0 || bytes.Equal(bytes.TrimSpace(e.Value), []byte("null"))
}

// Apply puts the edits into the inventory and checks the result.
// On an error, which matches ErrInvalid, the inventory is as it was.
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
		_ = v.set(e) // The value was in the inventory before.
	}
}

// Edits gives the whole inventory as edits, in an order in which they apply.
func (v *Inventory) Edits() []Edit {
	var edits []Edit
	for _, c := range Collections {
		for _, name := range v.names(c) {
			k := Key{Collection: c, Name: name}
			value, err := v.get(k)
			if err != nil {
				continue // Only an unknown collection fails, and these are known.
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

// Diff lists the edits that turn one inventory into another.
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

// Install puts one object that was checked before, such as one of a snapshot.
func (v *Inventory) Install(e Edit) error { return v.set(e) }
