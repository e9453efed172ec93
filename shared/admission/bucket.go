package admission

import "time"

// bucket is a token bucket. The zero value is empty.
type bucket struct {
	tokens float64
	at     time.Time
}

// refill adds what came since the last time, up to a size.
func (b *bucket) refill(at time.Time, perSecond, size float64) {
	if b.at.IsZero() {
		b.tokens = size
	} else {
		b.tokens = min(size, b.tokens+perSecond*at.Sub(b.at).Seconds())
	}
	b.at = at
}

// take removes one token if there is one.
func (b *bucket) take() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
