package operator

import (
	"encoding/hex"
	"errors"
	"fmt"
	"strings"
)

const keyHashBytes = 32

// Check reports every fault of the inventory at once, or nil.
// Each fault names the object and the field; the error matches ErrInvalid.
func (v *Inventory) Check() error {
	var faults errorList
	for _, e := range v.Edits() {
		v.checkObject(e.Key, &faults)
	}
	return faults.err()
}

// checkEdits checks the edited objects, and everything when an edit removes
// an object or replaces one that others refer to.
func (v *Inventory) checkEdits(edits []Edit) error {
	for _, e := range edits {
		if e.Removes() && e.Collection != Organisations && e.Collection != Instances {
			return v.Check()
		}
	}
	var faults errorList
	for _, e := range edits {
		if !e.Removes() {
			v.checkObject(e.Key, &faults)
		}
	}
	return faults.err()
}

func (v *Inventory) checkObject(k Key, faults *errorList) {
	switch k.Collection {
	case DataCentres:
	case Instances:
		v.checkInstance(k, faults)
	case Services:
		checkService(k, v.Services[k.Name], faults)
	case Groups:
		v.checkGroup(k, faults)
	case Organisations:
		v.checkOrganisation(k, faults)
	}
}

func (v *Inventory) checkInstance(k Key, faults *errorList) {
	instance := v.Instances[k.Name]
	if _, ok := v.DataCentres[instance.DataCentre]; !ok {
		faults.add(k, "dataCentre", "data centre %q does not exist", instance.DataCentre)
	}
	if !instance.Peer.IsValid() {
		faults.add(k, "peer", "an address with a port is needed")
	}
	switch instance.Role {
	case RoleEntry:
		if !instance.Caller.IsValid() {
			faults.add(k, "caller", "an entry needs an address with a port")
		}
	case RoleAgent:
		if _, ok := v.Services[instance.Service]; !ok {
			faults.add(k, "service", "service %q does not exist", instance.Service)
		}
		group, ok := v.Groups[instance.Group]
		if instance.Group != "" && !ok {
			faults.add(k, "group", "group %q does not exist", instance.Group)
		}
		for i, rank := range instance.Ranks {
			if rank < 0 || rank >= group.Ranks {
				faults.add(k, fmt.Sprintf("ranks[%d]", i), "%d is not one of the %d ranks of group %q", rank, group.Ranks, instance.Group)
			}
		}
	default:
		faults.add(k, "role", "%q is neither %q nor %q", instance.Role, RoleEntry, RoleAgent)
	}
}

func checkService(k Key, service Service, faults *errorList) {
	if service.Kind != KindModel && service.Kind != KindPlain {
		faults.add(k, "kind", "%q is neither %q nor %q", service.Kind, KindModel, KindPlain)
	}
	if service.Kind == KindModel && len(service.Models) == 0 {
		faults.add(k, "models", "a model service names at least one model")
	}
	if service.ColdLimit < 1 {
		faults.add(k, "coldLimit", "%d is less than 1", service.ColdLimit)
	}
	if service.WarmLimit < service.ColdLimit || service.WarmLimit > maxTargetLimit {
		faults.add(k, "warmLimit", "%d is not between coldLimit (%d) and %d", service.WarmLimit, service.ColdLimit, maxTargetLimit)
	}
	for i, r := range service.NonIdempotent {
		if !strings.HasPrefix(r.PathPrefix, "/") {
			faults.add(k, fmt.Sprintf("nonIdempotent[%d].pathPrefix", i), "%q does not start with /", r.PathPrefix)
		}
	}
}

func (v *Inventory) checkGroup(k Key, faults *errorList) {
	group := v.Groups[k.Name]
	if _, ok := v.Services[group.Service]; !ok {
		faults.add(k, "service", "service %q does not exist", group.Service)
	}
	if group.Ranks < 1 || group.Ranks > maxRanks {
		faults.add(k, "ranks", "%d is not between 1 and %d", group.Ranks, maxRanks)
	}
	if group.Experts < 1 || group.Experts > maxExperts {
		faults.add(k, "experts", "%d is not between 1 and %d", group.Experts, maxExperts)
	}
	if group.Ranks*group.Slots < group.Experts {
		faults.add(k, "slots", "%d ranks of %d slots cannot hold %d experts", group.Ranks, group.Slots, group.Experts)
	}
}

func (v *Inventory) checkOrganisation(k Key, faults *errorList) {
	organisation := v.Organisations[k.Name]
	for i, sum := range organisation.KeyHashes {
		if raw, err := hex.DecodeString(sum); err != nil || len(raw) != keyHashBytes {
			faults.add(k, fmt.Sprintf("keyHashes[%d]", i), "not a hex SHA-256 sum")
		}
	}
	for i, name := range organisation.Services {
		if _, ok := v.Services[name]; !ok {
			faults.add(k, fmt.Sprintf("services[%d]", i), "service %q does not exist", name)
		}
	}
}

// errorList gathers faults so that all are named at once.
type errorList struct{ errs []error }

func (f *errorList) add(k Key, field, format string, arguments ...any) {
	f.errs = append(f.errs, fmt.Errorf("%s: %s: %s", k, field, fmt.Sprintf(format, arguments...)))
}

func (f *errorList) err() error {
	if len(f.errs) == 0 {
		return nil
	}
	return invalid.Wrap(errors.Join(f.errs...), "inventory")
}
