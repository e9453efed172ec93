package fleet

import (
	"fmt"
	"net/netip"
	"time"
)

// Target is the registration of one replica of a service.
type Target struct {
	// ID identifies the registration. A restarted replica usually registers with
	// another ID.
	ID         string
	Service    string
	DataCentre string
	Address    netip.AddrPort
	Slots      int
	// Draining reports that the target accepts no new requests.
	Draining bool
	// ColdFor is the remaining time until the target has warmed up.
	ColdFor time.Duration
	// Incarnation distinguishes starts with the same ID; 0 if it is unknown.
	Incarnation uint64
	// Group is the group of ranks that the target belongs to; empty if none.
	Group string
	// Rank is the target's position in its group, and Ranks the size of the group.
	Rank, Ranks int
}

// Crash is the record of a target's crash in the store.
type Crash struct {
	Target string `json:"target"`
	// Incarnation is stored as a string, so that routers of versions without crashes do
	// not take the record for a registration.
	Incarnation uint64 `json:"incarnation,string"`
	// At is the time of day of the crash, by the clock of the instance that reported it.
	At       time.Time `json:"at"`
	Reporter string    `json:"reporter"`
	// Rank is true if the target is a rank of a group.
	Rank bool `json:"rank,omitempty"`
	// Parts lists the parts of prompts and the requests that may have crashed the target.
	Parts []string `json:"parts"`
}

// Instance is the registration of an entry instance in the store.
type Instance struct {
	Name       string `json:"name"`
	DataCentre string `json:"dataCentre"`
	Region     string `json:"region"`
	// Incarnation distinguishes starts of the process.
	Incarnation uint64 `json:"incarnation"`
	// Callers is the address for callers, and Peers the address for other instances.
	Callers netip.AddrPort `json:"callers"`
	Peers   netip.AddrPort `json:"peers"`
	// Stopping reports that the instance accepts no new callers.
	Stopping bool `json:"stopping,omitempty"`
}

// Check returns an error unless the registration was written under its own name and its
// addresses can be connected to.
func (i Instance) Check(key string) error {
	switch {
	case i.Name == "" || i.Name != key:
		return fmt.Errorf("registration of entry instance %q: expected the name %q of its key", i.Name, key)
	case !i.Callers.IsValid() || i.Callers.Port() == 0 || !i.Peers.IsValid() || i.Peers.Port() == 0:
		return fmt.Errorf("registration of entry instance %q: addresses %s and %s, expected ports from 1", i.Name, i.Callers, i.Peers)
	default:
		return nil
	}
}
