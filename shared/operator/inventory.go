// Package operator defines the configuration that operators publish: the inventory,
// its validation and the edits that change it. All formats are JSON with camel-case
// names.
package operator

import (
	"net/http"
	"net/netip"
	"time"
)

// Kind is the type of a service: a model or a plain HTTP service.
type Kind string

// The kinds of service.
const (
	KindModel Kind = "model"
	KindPlain Kind = "plain"
)

// Role is the type of process that runs on an instance: an entry, which accepts
// callers' requests, or an agent, which runs beside a target.
type Role string

// The roles of an instance.
const (
	RoleEntry Role = "entry"
	RoleAgent Role = "agent"
)

// Inventory is the complete configuration at one offset of the log.
// The zero value is an empty inventory.
type Inventory struct {
	DataCentres   map[string]DataCentre   `json:"dataCentres,omitempty"`
	Instances     map[string]Instance     `json:"instances,omitempty"`
	Services      map[string]Service      `json:"services,omitempty"`
	Groups        map[string]Group        `json:"groups,omitempty"`
	Organisations map[string]Organisation `json:"organisations,omitempty"`
}

// DataCentre is a failure domain. Out excludes it from new requests.
type DataCentre struct {
	Region string `json:"region,omitempty"`
	Out    bool   `json:"out,omitempty"`
}

// Instance is a machine that runs an entry or an agent.
type Instance struct {
	DataCentre string `json:"dataCentre"`
	Role       Role   `json:"role"`
	// Peer is the address at which the process accepts connections from its peers.
	Peer netip.AddrPort `json:"peer"`
	// Caller is the address at which an entry accepts callers; unset on agents.
	Caller netip.AddrPort `json:"caller,omitzero"`
	// Service is the service that an agent's target provides.
	Service string `json:"service,omitempty"`
	// Group is the lock-step group that the target's ranks belong to.
	Group string `json:"group,omitempty"`
	// Ranks lists the group's ranks that run on the target.
	Ranks []int `json:"ranks,omitempty"`
	// Leaving excludes the instance from new requests.
	Leaving bool `json:"leaving,omitempty"`
	// ChecksFencing states that the target rejects commands with an outdated fencing
	// token. For other targets, the agent withholds commands while its gate is closed,
	// because a newer claim may exist.
	ChecksFencing bool `json:"checksFencing,omitempty"`
}

// Service is a model or a plain service with the load limits of its targets.
type Service struct {
	Kind   Kind     `json:"kind"`
	Models []string `json:"models,omitempty"`
	// ColdLimit is the most concurrent requests for a target in cold start.
	ColdLimit int `json:"coldLimit"`
	// WarmLimit is the most concurrent requests for a warm target.
	WarmLimit int `json:"warmLimit"`
	// NonIdempotent lists requests that may run at most once, and Idempotent those
	// that may run again. NonIdempotent takes precedence. For other requests the method
	// decides (RFC 9110, section 9.2.2).
	NonIdempotent []RequestRule `json:"nonIdempotent,omitempty"`
	Idempotent    []RequestRule `json:"idempotent,omitempty"`
	// Routes lists the methods and paths that the service accepts; empty means all.
	Routes []RequestRule `json:"routes,omitempty"`
}

// RequestRule matches requests by method and path prefix.
// An empty method matches every method.
type RequestRule struct {
	Method     string `json:"method,omitempty"`
	PathPrefix string `json:"pathPrefix"`
}

// Group is a set of ranks that run steps in lock-step with one expert map.
type Group struct {
	Service string `json:"service"`
	Ranks   int    `json:"ranks"`
	Layers  int    `json:"layers"`
	Experts int    `json:"experts"`
	// Slots is the number of experts that a rank can hold in each layer.
	Slots int `json:"slots"`
	// Map is the version of the expert map that the group must use.
	Map uint64 `json:"map,omitempty"`
}

// Organisation is a customer, identified by its API keys.
type Organisation struct {
	// KeyHashes lists the SHA-256 sums of the organisation's API keys, in hex.
	KeyHashes []string `json:"keyHashes"`
	// Services lists the services that the organisation may use; empty means all.
	Services []string `json:"services,omitempty"`
	// Share is the weight in fair queueing; zero means one.
	Share int `json:"share,omitempty"`
}

// Matches reports whether the rule matches a method and a path. The prefix must end at
// the end of a path segment.
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

// Repeatable reports whether a request to the service may run more than once. The path
// must be decoded and have no query.
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

// Serves reports whether the service accepts a method and a path.
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

// Weight returns the organisation's weight in fair queueing, at least one.
func (o Organisation) Weight() int {
	return max(1, o.Share)
}

// Limits of an inventory's names, groups and services.
const (
	maxNameBytes   = 64
	maxRanks       = 1024
	maxExperts     = 4096
	maxTargetLimit = 100_000
)

// AddressKeep is the default time for which callers may cache an entry's address.
const AddressKeep = 30 * time.Second
