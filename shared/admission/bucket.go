package admission

import "time"

// tokenBucket is a token bucket. The zero value is empty until the first refill.
type tokenBucket struct {
	tokens float64
	at     time.Time
}

// refill adds the tokens for the time since the last refill, up to size. The first
// refill fills the bucket.
func (b *tokenBucket) refill(at time.Time, perSecond, size float64) {
	if b.at.IsZero() {
		b.tokens = size
	} else {
		b.tokens = min(size, b.tokens+perSecond*at.Sub(b.at).Seconds())
	}
	b.at = at
}

// take removes one token and reports whether there was one.
func (b *tokenBucket) take() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
