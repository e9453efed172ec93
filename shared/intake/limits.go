package intake

import (
	"math"
	"runtime/debug"
	"syscall"
)

// The limits of a process whose settings name none.
const (
	defaultMemoryMB    = 512
	defaultDescriptors = 1024
	// reservedDescriptors are left for files.
	reservedDescriptors = 200
	minSockets          = 64
	megabyte            = 1 << 20
	// connectionBytes is what an HTTP connection takes: buffers and the stacks of two
	// goroutines.
	connectionBytes = 32 << 10
	// heapShare is the part of the memory from which on the garbage collector works harder.
	heapShare = 0.75
)

// Resources are the memory and the sockets that a process may use.
type Resources struct {
	Bytes   int64
	Sockets int
	known   bool
}

// NewResources derives them from settings, in units of 2^20 bytes and in descriptors.
// Without settings, memory has a default, and descriptors are those that the system allows.
func NewResources(memoryMB, descriptors float64) Resources {
	known := memoryMB > 0
	if !known {
		memoryMB = defaultMemoryMB
	}
	if descriptors <= 0 {
		descriptors = defaultDescriptors
		var limit syscall.Rlimit
		if syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit) == nil {
			descriptors = float64(min(limit.Cur, math.MaxInt32))
		}
	}
	return Resources{
		Bytes:   int64(math.Min(memoryMB, math.MaxInt32) * megabyte),
		Sockets: max(minSockets, int(math.Min(descriptors, math.MaxInt32))-reservedDescriptors),
		known:   known,
	}
}

// LimitHeap makes the garbage collector keep the process within its memory, if settings
// name it.
func (r Resources) LimitHeap() {
	if r.known {
		debug.SetMemoryLimit(int64(heapShare * float64(r.Bytes)))
	}
}

// CallerConnections is the bound of callers' connections: half of the sockets, and not more
// than a third of the memory holds. The rest is for targets, peers and the store.
func (r Resources) CallerConnections() int {
	return min(r.Sockets/2, int(r.Bytes/3/connectionBytes))
}

// CallerBytes is the bound of the bodies and responses that are held for callers.
func (r Resources) CallerBytes() int64 { return r.Bytes / 4 }

// QueryConnections bounds the connections of a listener for short queries.
func (r Resources) QueryConnections() int { return max(4, r.Sockets/16) }

// CheckConnections bounds the connections of a listener for the platform's checks and for
// operators.
func (r Resources) CheckConnections() int { return max(4, min(64, r.Sockets/25)) }

// NewLinks and NewLinkBytes bound the links from which no message has arrived.
func (r Resources) NewLinks() int { return r.Sockets / 4 }

// NewLinkBytes is the bound of the bytes of those links.
func (r Resources) NewLinkBytes() int64 { return r.Bytes / 16 }
