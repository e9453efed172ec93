// Package operator holds what operators publish: the inventory, its rules and
// the changes that edit them. All formats are JSON with camel-case names.
package operator

import (
	"net/http"
	"net/netip"
	"time"
)

// Kind says how a service is spoken to.
type Kind string

// The kinds of service.
const (
	KindModel Kind = "model"
	KindPlain Kind = "plain"
)

// Role says which of our processes runs on an instance.
type Role string

// The roles of an instance.
const (
	RoleEntry Role = "entry"
	RoleAgent Role = "agent"
)

// Inventory is the whole configuration at one offset of the log.
// The zero value is an empty inventory.
type Inventory struct {
	DataCentres   map[string]DataCentre   `json:"dataCentres,omitempty"`
	Instances     map[string]Instance     `json:"instances,omitempty"`
	Services      map[string]Service      `json:"services,omitempty"`
	Groups        map[string]Group        `json:"groups,omitempty"`
	Organisations map[string]Organisation `json:"organisations,omitempty"`
}

// DataCentre is one failure zone. Out means that it must get no new work.
type DataCentre struct {
	Region string `json:"region,omitempty"`
	Out    bool   `json:"out,omitempty"`
}

// Instance is a machine that runs one of our processes.
type Instance struct {
	DataCentre string `json:"dataCentre"`
	Role       Role   `json:"role"`
	// Peer is where the process listens for other processes.
	Peer netip.AddrPort `json:"peer"`
	// Caller is where an entry listens for callers; unset on agents.
	Caller netip.AddrPort `json:"caller,omitzero"`
	// Service is the service of the target beside an agent.
	Service string `json:"service,omitempty"`
	// Group is the lock-step group that the target's ranks belong to.
	Group string `json:"group,omitempty"`
	// Ranks are the group's ranks that run on the target.
	Ranks []int `json:"ranks,omitempty"`
	// Leaving means that the target must get no new work.
	Leaving bool `json:"leaving,omitempty"`
	// ChecksFencing says that the target refuses orders with an old fencing number.
	// Orders to others wait until the agent's own claim is the newest of late.
	ChecksFencing bool `json:"checksFencing,omitempty"`
}

// Service is a model or a plain service and the load its targets can bear.
type Service struct {
	Kind   Kind     `json:"kind"`
	Models []string `json:"models,omitempty"`
	// ColdLimit is the number of requests at once that a target in cold start can bear.
	ColdLimit int `json:"coldLimit"`
	// WarmLimit is the number of requests at once that a warm target can bear.
	WarmLimit int `json:"warmLimit"`
	// NonIdempotent lists the requests that may run at most once, and Idempotent
	// those that may run again. Other requests go by their method (RFC 9110,
	// section 9.2.2). NonIdempotent wins where both match.
	NonIdempotent []RequestRule `json:"nonIdempotent,omitempty"`
	Idempotent    []RequestRule `json:"idempotent,omitempty"`
	// Routes lists the methods and paths that are served; empty means all.
	Routes []RequestRule `json:"routes,omitempty"`
}

// RequestRule matches requests by method and path prefix.
// An empty method matches every method.
type RequestRule struct {
	Method     string `json:"method,omitempty"`
	PathPrefix string `json:"pathPrefix"`
}

// Group is a set of ranks that step together on one expert map.
type Group struct {
	Service string `json:"service"`
	Ranks   int    `json:"ranks"`
	Layers  int    `json:"layers"`
	Experts int    `json:"experts"`
	// Slots is the number of experts a rank can hold for each layer.
	Slots int `json:"slots"`
	// Map is the version of the expert map that the group must use.
	Map uint64 `json:"map,omitempty"`
}

// Organisation is a customer with the hashes of its keys.
type Organisation struct {
	// KeyHashes are hex SHA-256 sums of the organisation's keys.
	KeyHashes []string `json:"keyHashes"`
	// Services lists what the organisation may use; empty means all.
	Services []string `json:"services,omitempty"`
	// Share is the weight in fair queueing; zero means one.
	Share int `json:"share,omitempty"`
}

// Matches reports whether a rule covers a method and a path.
func (r RequestRule) Matches(method, path string) bool {
	if r.Method != "" && r.Method != method {
		return false
	}
	if len(path) < len(r.PathPrefix) || path[:len(r.PathPrefix)] != r.PathPrefix {
		return false
	}
	return len(path) == len(r.PathPrefix) || r.PathPrefix == "" ||
		r.PathPrefix[len(r.PathPrefix)-1] == '/' || path[len(r.PathPrefix)] == '/'
}

// Repeatable reports whether a request to the service may be run again. The
// path is the decoded one, without a query.
func (s Service) Repeatable(method, path string) bool {
	switch {
	case matchesAny(s.NonIdempotent, method, path):
		return false
	case matchesAny(s.Idempotent, method, path):
		return true
	}
	return method != http.MethodPost && method != http.MethodPatch && method != http.MethodConnect
}

func matchesAny(rules []RequestRule, method, path string) bool {
	for _, r := range rules {
		if r.Matches(method, path) {
			return true
		}
	}
	return false
}

// Serves reports whether the service takes a method and a path.
func (s Service) Serves(method, path string) bool {
	return len(s.Routes) == 0 || matchesAny(s.Routes, method, path)
}

// Allows reports whether the organisation may use a service.
func (o Organisation) Allows(service string) bool {
	if len(o.Services) == 0 {
		return true
	}
	for _, name := range o.Services {
		if name == service {
			return true
		}
	}
	return false
}

// Weight is the organisation's share in fair queueing, at least one.
func (o Organisation) Weight() int {
	return max(1, o.Share)
}

// Limits on what an inventory may hold.
const (
	maxNameBytes   = 64
	maxRanks       = 1024
	maxExperts     = 4096
	maxTargetLimit = 100_000
)

// AddressKeep is how long callers may keep an entry's address unless set otherwise.
const AddressKeep = 30 * time.Second
