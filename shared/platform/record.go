// Package platform speaks to the platform: its append-only log service, the
// list of live and leaving instances and the weight store.
package platform

import (
	"encoding/json"
	"time"

	"chervilswitch.example/shared/fault"
)

// Offset is a position in one stream of the log. Offsets start at 1 and are
// total order; zero stands before every record.
type Offset uint64

// Stream names one append-only sequence of the log service.
type Stream string

// ConfigStream carries changes, snapshots and claims.
const ConfigStream Stream = "config"

// IntentStream carries the keys of a service's non-idempotent requests.
func IntentStream(service string) Stream { return Stream("intents-" + service) }

// Record is one entry of a stream as the log service hands it out.
type Record struct {
	Offset Offset `json:"offset"`
	// Age is the time since the append by the service's clock.
	Age  time.Duration   `json:"ageNanoseconds"`
	Data json.RawMessage `json:"data"`
}

// Page is the answer to one read of a stream.
type Page struct {
	Records []Record `json:"records"`
	// First is the oldest retained offset; Next is the one the next append gets.
	First Offset `json:"first"`
	Next  Offset `json:"next"`
}

// InstanceState is one line of the platform's lagging list.
type InstanceState struct {
	Name    string `json:"name"`
	Leaving bool   `json:"leaving,omitempty"`
}

var (
	// ErrUnavailable is matched when the platform gave no usable answer. An
	// append that failed so may still have taken effect.
	ErrUnavailable = fault.NewSentinel("platform", "unavailable")
	// ErrRateLimited is matched when the platform refused before acting.
	ErrRateLimited = fault.NewSentinel("platform", "rateLimited")
)
