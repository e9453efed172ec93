package fleet

import (
	"net/netip"
	"time"
)

// Target is one replica of a service as it registered itself.
type Target struct {
	// ID names the target in this registration; a restart mostly changes it.
	ID         string
	Service    string
	DataCentre string
	Address    netip.AddrPort
	Slots      int
	// Draining targets take no new work.
	Draining bool
	// ColdFor is how much longer the target stays cold.
	ColdFor time.Duration
	// Incarnation tells starts under the same ID apart; 0 if unknown.
	Incarnation uint64
	// Group is the group of ranks that the target is part of; empty if none.
	Group string
	// Rank is the target's position in its group, and Ranks the group's size.
	Rank, Ranks int
}

// Instance is one entry instance as it registered itself in the store.
type Instance struct {
	Name       string `json:"name"`
	DataCentre string `json:"dataCentre"`
	Region     string `json:"region"`
	// Incarnation tells starts of the process apart.
	Incarnation uint64         `json:"incarnation"`
	Callers     netip.AddrPort `json:"callers"`
	Peers       netip.AddrPort `json:"peers"`
	// Stopping instances take no new callers.
	Stopping bool `json:"stopping,omitempty"`
}
