package fleet

import (
	"maps"
	"strings"
	"time"
)

// Kind determines how often a request of a route may be executed.
type Kind int

// The kinds of routes. The zero value is the most restrictive one.
const (
	// AtMostOnce requests are executed once or not at all.
	AtMostOnce Kind = iota
	// Idempotent requests may be executed repeatedly.
	Idempotent
	// Stream requests have a stream of events as response. They may be executed
	// repeatedly only if the route allows streams to be resumed.
	Stream
)

// String returns the name of the kind in logs.
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

// Configuration is a published version of the operators' configuration.
type Configuration struct {
	// Version increases with each change.
	Version  uint64
	Routes   []Route
	Services map[string]*Service
	// Organisations maps each API key to its organisation.
	Organisations map[string]*Organisation
	Limits        Limits
}

// Organisation is a customer of the operators.
type Organisation struct {
	Name string
	// Priority overrides the priority of routes; nil if it is not set.
	Priority *int
}

// Limits restricts the size of requests, the time in which callers must send their
// headers, and the time for which connections may be idle. Zero means that the operators
// set no limit.
type Limits struct {
	HeaderBytes   int64
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Route maps requests with a host and a path prefix to services.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   Kind
	// Timeout is the maximum time that a caller waits.
	Timeout time.Duration
	// Objective is the latency objective of a response or of a stream's first event.
	Objective time.Duration
	// MaxGap is the latency objective of the pause between events of a stream.
	MaxGap time.Duration
	// Priority is the priority of the route's requests; 0 is the highest.
	Priority int
	// Split lists the services that share the route's requests.
	Split       []WeightedService
	MaxAttempts int
	// Anonymous allows requests without an API key.
	Anonymous bool
	// Resume allows a broken stream to continue at another target.
	Resume bool
	// Regions lists the regions where requests may be executed; empty means all.
	Regions []string
}

// WeightedService is a service and its relative share of a route's requests.
type WeightedService struct {
	Service string
	Weight  float64
}

// Repeatable reports whether a request of the route may be executed more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent || r.Kind == Stream && r.Resume
}

// Pick selects a service by weight. uniform is a random number that is uniformly
// distributed in [0, 1).
func (r *Route) Pick(uniform float64) string {
	total := 0.0
	for _, s := range r.Split {
		total += s.Weight
	}
	remaining := uniform * total
	for _, s := range r.Split {
		if remaining -= s.Weight; remaining < 0 {
			return s.Service
		}
	}
	return r.Split[len(r.Split)-1].Service
}

// Service is a set of targets that serve the same requests.
type Service struct {
	Name string
	// MaxConnections is the number of connections that one target accepts from all
	// instances together.
	MaxConnections int
	// ColdRate is the number of requests per second that a cold target can serve for
	// all instances together. Zero means no limit.
	ColdRate float64
	// Prioritised is true if requests of the service differ in their priority.
	Prioritised bool
	// Engine describes the replicas of a model service; nil for other services.
	Engine *Engine
}

// Engine describes the capacity and speed of the replicas of a model service.
type Engine struct {
	// Slots is the number of requests that a replica executes concurrently.
	Slots int
	// Step is the duration of one token step with an empty batch.
	Step time.Duration
	// StepPerSequence is the step duration that each running request adds.
	StepPerSequence time.Duration
	// StepPerContext is the step duration that each 1,000 tokens of context of the
	// running requests add.
	StepPerContext time.Duration
	// Stride is the number of steps per pass. Each pass emits one event of a stream.
	Stride int
	// PrefillRate is the number of prompt tokens that a replica processes per second.
	PrefillRate float64
	// MeanPromptTokens and MeanOutputTokens are the mean numbers of tokens per request.
	MeanPromptTokens, MeanOutputTokens float64
	// MemoryTokens is the number of tokens that the memory of a replica holds; 0 if it is
	// unknown.
	MemoryTokens int
	// Sets is the number of expert sets; 0 if the model has no experts. Experts is the
	// number of experts per set, and Places the number of experts that one rank can
	// hold per set.
	Sets, Experts, Places int
	// MaxNewExperts limits the experts per set that one preparation adds to a rank.
	MaxNewExperts int
	// ExpertCopyTime is the time that a rank takes to copy one expert.
	ExpertCopyTime time.Duration
	// ExpertShare is the fraction of the work that experts do.
	ExpertShare float64
	// GroupFormationTime is the time that a group takes to open again after one of its
	// ranks has returned.
	GroupFormationTime time.Duration
}

// SetPrioritised sets Prioritised of all services. The priority of an organisation takes
// precedence over that of a route.
func (c *Configuration) SetPrioritised() {
	byOrganisation := make(map[int]bool)
	byRoute := len(c.Organisations) == 0
	for _, o := range c.Organisations {
		if o.Priority == nil {
			byRoute = true
		} else {
			byOrganisation[*o.Priority] = true
		}
	}
	priorities := make(map[string]map[int]bool, len(c.Services))
	for i := range c.Routes {
		r := &c.Routes[i]
		for _, s := range r.Split {
			if priorities[s.Service] == nil {
				priorities[s.Service] = maps.Clone(byOrganisation)
			}
			if byRoute || r.Anonymous {
				priorities[s.Service][r.Priority] = true
			}
		}
	}
	for name, s := range c.Services {
		s.Prioritised = len(priorities[name]) > 1
	}
}

// Match returns the route of a host with the longest matching path prefix, or nil.
func (c *Configuration) Match(host, path string) *Route {
	var best *Route
	for i := range c.Routes {
		r := &c.Routes[i]
		if r.Host != host || !strings.HasPrefix(path, r.Prefix) {
			continue
		}
		if best == nil || len(r.Prefix) > len(best.Prefix) {
			best = r
		}
	}
	return best
}
