package target

import (
	"context"
	"net/http"
	"sync"
	"time"

	"chervilswitch.example/shared/control"
)

const (
	// maxBufferedBytes limits the bytes of a response that are kept for callers that
	// reconnect.
	maxBufferedBytes = 1 << 20
	// outputRetention is how long a response is kept after its end.
	outputRetention = 60 * time.Second
	// keyedRetention is how long the response to a request with an idempotency key is
	// kept after its end.
	keyedRetention = 24 * time.Hour
)

// output buffers the response to one attempt from its start until its retention has
// passed. If it exceeds maxBufferedBytes, the oldest bytes that were sent to a reader
// are dropped; unsent bytes are never dropped, and block the writer instead.
type output struct {
	request      string
	organisation string
	retention    time.Duration
	cancel       context.CancelFunc

	mutex sync.Mutex
	// changed is closed and replaced at each change.
	changed chan struct{}
	status  int
	header  http.Header
	interim []interimResponse
	data    []byte
	// dropped is the position of the first byte in data.
	dropped uint64
	// sent is the position before which all bytes were sent to a reader.
	sent  uint64
	ended bool
	// complete is set at the end unless the response was cut off; code gives the reason.
	complete  bool
	code      control.Code
	trailer   http.Header
	endedAt   time.Time
	readers   int
	fullySent bool
}

// interimResponse is an informational (1xx) response that precedes the final one.
type interimResponse struct {
	status int
	header http.Header
}

// update is the part of a response that a reader has not received yet. Its status is 0
// if the head was sent before or has not arrived.
type update struct {
	status   int
	header   http.Header
	interim  []interimResponse
	data     []byte
	ended    bool
	complete bool
	code     control.Code
	trailer  http.Header
}

func newOutput(request, organisation string, retention time.Duration, cancel context.CancelFunc) *output {
	return &output{
		request: request, organisation: organisation, retention: retention,
		cancel: cancel, changed: make(chan struct{}),
	}
}

// broadcast wakes all readers and the writer. The caller holds the mutex.
func (o *output) broadcast() {
	close(o.changed)
	o.changed = make(chan struct{})
}

func (o *output) addInterim(status int, header http.Header) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.interim = append(o.interim, interimResponse{status: status, header: header})
	o.broadcast()
}

func (o *output) setHead(status int, header http.Header) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.status, o.header = status, header
	o.broadcast()
}

// write appends bytes. It blocks while maxBufferedBytes or more are unsent.
func (o *output) write(ctx context.Context, data []byte) error {
	for {
		o.mutex.Lock()
		unsent := o.dropped + uint64(len(o.data)) - o.sent
		if unsent < maxBufferedBytes {
			o.data = append(o.data, data...)
			o.trim()
			o.broadcast()
			o.mutex.Unlock()
			return nil
		}
		changed := o.changed
		o.mutex.Unlock()
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// trim drops the oldest bytes beyond maxBufferedBytes, except unsent ones. The caller
// holds the mutex.
func (o *output) trim() {
	excess := len(o.data) - maxBufferedBytes
	droppable := int(o.sent - o.dropped)
	if drop := min(excess, droppable); drop > 0 {
		o.data = append([]byte(nil), o.data[drop:]...)
		o.dropped += uint64(drop)
	}
}

// finish ends the output. Complete is false if the target's response was cut off, for
// the reason in code. Only the first call has an effect.
func (o *output) finish(complete bool, code control.Code, trailer http.Header) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	if o.ended {
		return
	}
	o.ended, o.complete, o.code, o.trailer = true, complete, code, trailer
	o.endedAt = time.Now()
	o.broadcast()
}

// next waits for the part of the response that follows a position. It returns false if
// the position is outside the buffer or the context ends.
func (o *output) next(ctx context.Context, position uint64, interimSeen int, headSeen bool) (update, bool) {
	for {
		o.mutex.Lock()
		u, ready, lost := o.peek(position, interimSeen, headSeen)
		changed := o.changed
		o.mutex.Unlock()
		if lost {
			return update{}, false
		}
		if ready {
			return u, true
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return update{}, false
		}
	}
}

// peek returns the update for a reader, and whether it contains anything. Lost means
// that the position is outside the buffer. The caller holds the mutex.
func (o *output) peek(position uint64, interimSeen int, headSeen bool) (u update, ready, lost bool) {
	end := o.dropped + uint64(len(o.data))
	if position < o.dropped || position > end {
		return update{}, false, true
	}
	u.interim = o.interim[min(interimSeen, len(o.interim)):]
	if o.status != 0 && !headSeen {
		u.status, u.header = o.status, o.header
	}
	u.data = append([]byte(nil), o.data[position-o.dropped:]...)
	u.ended, u.complete, u.code, u.trailer = o.ended, o.complete, o.code, o.trailer
	return u, len(u.interim) > 0 || u.status != 0 || len(u.data) > 0 || u.ended, false
}

// markSent records that the bytes before a position were sent to a reader, and with
// all, that the end of the response was sent too.
func (o *output) markSent(position uint64, all bool) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.sent = max(o.sent, position)
	o.fullySent = o.fullySent || all
	o.broadcast()
}

// addReaders changes the number of readers and returns the new number.
func (o *output) addReaders(change int) int {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.readers += change
	return o.readers
}

// delivered reports whether the agent may stop without loss for a reader: the output
// has ended, a reader received all of it unless it was cut off, and none is attached.
func (o *output) delivered() bool {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	return o.ended && (o.fullySent || !o.complete) && o.readers == 0
}

// expired reports whether the retention has passed since the end.
func (o *output) expired(now time.Time) bool {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	return o.ended && o.readers == 0 && now.Sub(o.endedAt) > o.retention
}
