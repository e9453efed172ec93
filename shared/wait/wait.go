// Package wait pauses until a time or the end of a context.
package wait

import (
	"context"
	"time"
)

// Sleep waits for d. It returns false if the context ends first.
func Sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
