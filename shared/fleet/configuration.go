package fleet

import (
	"strings"
	"time"
)

// Kind says how often a request of a route may run.
type Kind int

// The kinds of routes. The zero value is the strictest.
const (
	// AtMostOnce requests run once or not at all.
	AtMostOnce Kind = iota
	// Idempotent requests may run again.
	Idempotent
	// Stream requests are answered with a series of events. They may run again
	// only if the route lets streams be resumed.
	Stream
)

// String names the kind in logs.
func (k Kind) String() string {
	switch k {
	case Idempotent:
		return "idempotent"
	case Stream:
		return "stream"
	default:
		return "atMostOnce"
	}
}

// Configuration is what operators published: routes, services and keys.
type Configuration struct {
	// Version grows with each change.
	Version  uint64
	Routes   []Route
	Services map[string]*Service
	// Organisations maps each key to its organisation.
	Organisations map[string]*Organisation
	Limits        Limits
}

// Organisation is a customer of the operators.
type Organisation struct {
	Name string
	// Priority goes before the route's if it is set.
	Priority *int
}

// Limits bound what callers may send. Zero means no bound of the operators'.
type Limits struct {
	HeaderBytes   int64
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Route sends requests of a host and path to services.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   Kind
	// Timeout is the longest time that a caller is kept waiting.
	Timeout time.Duration
	// Objective is the time within which an answer, or a stream's first event,
	// is on time.
	Objective time.Duration
	// MaxGap is the longest pause between events of a stream that is on time.
	MaxGap time.Duration
	// Priority is the rank of the route; 0 goes first.
	Priority int
	// Split holds the services with their weights.
	Split       []WeightedService
	MaxAttempts int
	// Anonymous routes need no key.
	Anonymous bool
	// Resume allows a stream to go on at another target.
	Resume bool
	// Regions limits where requests may run; empty means anywhere.
	Regions []string
}

// WeightedService is a service's part of a route's requests.
type WeightedService struct {
	Service string
	Weight  float64
}

// Repeatable reports whether a request may run a second time.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent || r.Kind == Stream && r.Resume
}

// Pick selects a service by a number that is uniform in [0, 1).
func (r *Route) Pick(uniform float64) string {
	sum := 0.0
	for _, s := range r.Split {
		sum += s.Weight
	}
	left := uniform * sum
	for _, s := range r.Split {
		if left -= s.Weight; left < 0 {
			return s.Service
		}
	}
	return r.Split[len(r.Split)-1].Service
}

// Service is a set of targets that answer the same requests.
type Service struct {
	Name string
	// MaxConnections is what one target accepts from all instances together.
	MaxConnections int
	// ColdRate is the requests a second that a cold target bears from all
	// instances together. Zero means no limit.
	ColdRate float64
	// Engine describes model replicas; nil for plain services.
	Engine *Engine
}

// Engine is how the replicas of a model service work.
type Engine struct {
	// Slots is how many requests a replica runs at once.
	Slots int
	// Step is the time of one token step of an empty batch.
	Step time.Duration
	// StepPerSequence is added for each running request.
	StepPerSequence time.Duration
	// StepPerContext is added for each 1,000 tokens of context that are running.
	StepPerContext time.Duration
	// Stride is how many steps one pass, and so one event, takes.
	Stride int
	// PrefillRate is the prompt tokens that a replica reads in a second.
	PrefillRate float64
	// MeanPromptTokens and UsualAnswer are mean numbers of tokens.
	MeanPromptTokens, MeanOutputTokens float64
	// Sets, Experts and Places give the size of an expert map; Sets is 0 where
	// the model has none. Places is per rank and set.
	Sets, Experts, Places int
	// MaxNewExperts bounds the experts of a set that one preparation may add to a rank.
	MaxNewExperts int
	// ExpertCopyTime is how long a rank takes to copy one expert.
	ExpertCopyTime time.Duration
	// ExpertShare is the part of the work that experts do.
	ExpertShare float64
	// GroupFormationTime is how long a group takes to open again after a rank's return.
	GroupFormationTime time.Duration
}

// Match gives the route with the longest prefix of a host's path, or nil.
func (c *Configuration) Match(host, path string) *Route {
	var found *Route
	for i := range c.Routes {
		r := &c.Routes[i]
		if r.Host != host || !strings.HasPrefix(path, r.Prefix) {
			continue
		}
		if found == nil || len(r.Prefix) > len(found.Prefix) {
			found = r
		}
	}
	return found
}
