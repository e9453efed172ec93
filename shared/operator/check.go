package operator

import (
	"encoding/hex"
	"errors"
	"fmt"
	"strings"
)

// keyHashBytes is the length of a SHA-256 sum.
const keyHashBytes = 32

// Check validates the inventory and returns all errors joined, or nil. Each names the
// object and the field. The joined error matches ErrInvalid.
func (v *Inventory) Check() error {
	var errs errorList
	for _, e := range v.Edits() {
		v.checkObject(e.Key, &errs)
	}
	return errs.err()
}

// checkEdits validates the edited objects. If an edit removes an object that others may
// refer to, it validates the whole inventory.
func (v *Inventory) checkEdits(edits []Edit) error {
	for _, e := range edits {
		if e.Removes() && e.Collection != Organisations && e.Collection != Instances {
			return v.Check()
		}
	}
	var errs errorList
	for _, e := range edits {
		if !e.Removes() {
			v.checkObject(e.Key, &errs)
		}
	}
	return errs.err()
}

func (v *Inventory) checkObject(k Key, errs *errorList) {
	switch k.Collection {
	case DataCentres:
	case Instances:
		v.checkInstance(k, errs)
	case Services:
		checkService(k, v.Services[k.Name], errs)
	case Groups:
		v.checkGroup(k, errs)
	case Organisations:
		v.checkOrganisation(k, errs)
	}
}

func (v *Inventory) checkInstance(k Key, errs *errorList) {
	instance := v.Instances[k.Name]
	if _, ok := v.DataCentres[instance.DataCentre]; !ok {
		errs.add(k, "dataCentre", "data centre %q does not exist", instance.DataCentre)
	}
	if !instance.Peer.IsValid() {
		errs.add(k, "peer", "an address with a port is needed")
	}
	switch instance.Role {
	case RoleEntry:
		if !instance.Caller.IsValid() {
			errs.add(k, "caller", "an entry needs an address with a port")
		}
	case RoleAgent:
		if _, ok := v.Services[instance.Service]; !ok {
			errs.add(k, "service", "service %q does not exist", instance.Service)
		}
		group, ok := v.Groups[instance.Group]
		if instance.Group != "" && !ok {
			errs.add(k, "group", "group %q does not exist", instance.Group)
		}
		for i, rank := range instance.Ranks {
			if rank < 0 || rank >= group.Ranks {
				errs.add(k, fmt.Sprintf("ranks[%d]", i), "%d is not one of the %d ranks of group %q", rank, group.Ranks, instance.Group)
			}
		}
	default:
		errs.add(k, "role", "%q is neither %q nor %q", instance.Role, RoleEntry, RoleAgent)
	}
}

func checkService(k Key, service Service, errs *errorList) {
	if service.Kind != KindModel && service.Kind != KindPlain {
		errs.add(k, "kind", "%q is neither %q nor %q", service.Kind, KindModel, KindPlain)
	}
	if service.Kind == KindModel && len(service.Models) == 0 {
		errs.add(k, "models", "a model service names at least one model")
	}
	if service.ColdLimit < 1 {
		errs.add(k, "coldLimit", "%d is less than 1", service.ColdLimit)
	}
	if service.WarmLimit < service.ColdLimit || service.WarmLimit > maxTargetLimit {
		errs.add(k, "warmLimit", "%d is not between coldLimit (%d) and %d", service.WarmLimit, service.ColdLimit, maxTargetLimit)
	}
	for i, r := range service.NonIdempotent {
		if !strings.HasPrefix(r.PathPrefix, "/") {
			errs.add(k, fmt.Sprintf("nonIdempotent[%d].pathPrefix", i), "%q does not start with /", r.PathPrefix)
		}
	}
}

func (v *Inventory) checkGroup(k Key, errs *errorList) {
	group := v.Groups[k.Name]
	if _, ok := v.Services[group.Service]; !ok {
		errs.add(k, "service", "service %q does not exist", group.Service)
	}
	if group.Ranks < 1 || group.Ranks > maxRanks {
		errs.add(k, "ranks", "%d is not between 1 and %d", group.Ranks, maxRanks)
	}
	if group.Experts < 1 || group.Experts > maxExperts {
		errs.add(k, "experts", "%d is not between 1 and %d", group.Experts, maxExperts)
	}
	if group.Ranks*group.Slots < group.Experts {
		errs.add(k, "slots", "%d ranks of %d slots cannot hold %d experts", group.Ranks, group.Slots, group.Experts)
	}
}

func (v *Inventory) checkOrganisation(k Key, errs *errorList) {
	organisation := v.Organisations[k.Name]
	for i, sum := range organisation.KeyHashes {
		if raw, err := hex.DecodeString(sum); err != nil || len(raw) != keyHashBytes {
			errs.add(k, fmt.Sprintf("keyHashes[%d]", i), "not a hex SHA-256 sum")
		}
	}
	for i, name := range organisation.Services {
		if _, ok := v.Services[name]; !ok {
			errs.add(k, fmt.Sprintf("services[%d]", i), "service %q does not exist", name)
		}
	}
}

// errorList collects validation errors, to report them together.
type errorList struct{ errs []error }

func (l *errorList) add(k Key, field, format string, args ...any) {
	l.errs = append(l.errs, fmt.Errorf("%s: %s: %s", k, field, fmt.Sprintf(format, args...)))
}

func (l *errorList) err() error {
	if len(l.errs) == 0 {
		return nil
	}
	return invalid.Wrap(errors.Join(l.errs...), "inventory")
}
