package intake

import (
	"sync"
	"time"
)

// linesPerSecond is the most lines that an operator reads while they scroll by.
const linesPerSecond = 20

// Lines bounds the log lines about clients that were cut off. The zero value is ready to use,
// and safe for concurrent use.
type Lines struct {
	mutex   sync.Mutex
	second  time.Time
	lines   int
	omitted int
}

// Allow reports whether a line may be written, and how many were left out before it.
func (l *Lines) Allow(now time.Time) (omitted int, allowed bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if now.Sub(l.second) >= time.Second {
		l.second, l.lines = now, 0
	}
	if l.lines >= linesPerSecond {
		l.omitted++
		return 0, false
	}
	l.lines++
	omitted, l.omitted = l.omitted, 0
	return omitted, true
}
