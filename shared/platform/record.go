// Package platform is a client of the platform's append-only log service and of its
// list of instances.
package platform

import (
	"encoding/json"
	"time"

	"chervilswitch.example/shared/fault"
)

// Offset is a position in a stream of the log. Offsets start at 1 and define a total
// order of the records; zero precedes every record.
type Offset uint64

// Stream is the name of an append-only sequence of records in the log service.
type Stream string

// ConfigStream carries changes, snapshots and claims.
const ConfigStream Stream = "config"

// IntentStream returns the stream that carries the idempotency keys of a service's
// non-idempotent requests.
func IntentStream(service string) Stream { return Stream("intents-" + service) }

// Record is a record of a stream as the log service returns it.
type Record struct {
	Offset Offset `json:"offset"`
	// Age is the time since the append, by the log service's clock.
	Age  time.Duration   `json:"ageNanoseconds"`
	Data json.RawMessage `json:"data"`
}

// Page is the result of one read of a stream.
type Page struct {
	Records []Record `json:"records"`
	// First is the oldest retained offset; Next is the offset of the next append.
	First Offset `json:"first"`
	Next  Offset `json:"next"`
}

// InstanceState is one item of the platform's list of instances, which may be stale.
type InstanceState struct {
	Name    string `json:"name"`
	Leaving bool   `json:"leaving,omitempty"`
}

var (
	// ErrUnavailable is matched if the platform returned no usable response. A failed
	// append may still have taken effect.
	ErrUnavailable = fault.NewSentinel("platform", "unavailable")
	// ErrRateLimited is matched if the platform refused a request without executing it.
	ErrRateLimited = fault.NewSentinel("platform", "rateLimited")
)
