package target

import (
	"context"
	"net/http"
	"sync"
	"time"

	"chervilswitch.example/shared/control"
)

const (
	// maxHeldBytes is how much of an answer is kept for readers that come again.
	maxHeldBytes = 1 << 20
	// outputMemory is how long a finished answer is kept.
	outputMemory = 60 * time.Second
	// keyedMemory is how long the answer to an idempotency key is kept.
	keyedMemory = 24 * time.Hour
)

// output is the answer to one attempt while it is made and for a while after.
// The oldest bytes go once a reader has had them and more than maxHeldBytes are
// there; a writer waits rather than drop bytes that nobody has read.
type output struct {
	request      string
	organisation string
	memory       time.Duration
	cancel       context.CancelFunc

	mutex    sync.Mutex
	changed  chan struct{}
	status   int
	header   http.Header
	hints    []hint
	data     []byte
	dropped  uint64
	read     uint64
	ended    bool
	whole    bool
	code     control.Code
	trailer  http.Header
	endedAt  time.Time
	watchers int
	wasRead  bool
}

// hint is an informational answer that came before the head.
type hint struct {
	status int
	header http.Header
}

// piece is what a reader gets at once.
type piece struct {
	status  int
	header  http.Header
	hints   []hint
	data    []byte
	ended   bool
	whole   bool
	code    control.Code
	trailer http.Header
}

func newOutput(request, organisation string, memory time.Duration, cancel context.CancelFunc) *output {
	return &output{
		request: request, organisation: organisation, memory: memory,
		cancel: cancel, changed: make(chan struct{}),
	}
}

// wake tells all readers and the writer; the mutex is held.
func (o *output) wake() {
	close(o.changed)
	o.changed = make(chan struct{})
}

func (o *output) addHint(status int, header http.Header) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.hints = append(o.hints, hint{status: status, header: header})
	o.wake()
}

func (o *output) begin(status int, header http.Header) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.status, o.header = status, header
	o.wake()
}

// write adds bytes. It waits while too much is unread.
func (o *output) write(ctx context.Context, data []byte) error {
	for {
		o.mutex.Lock()
		unread := o.dropped + uint64(len(o.data)) - o.read
		if unread < maxHeldBytes {
			o.data = append(o.data, data...)
			o.trim()
			o.wake()
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

// trim drops the oldest bytes that were read; the mutex is held.
func (o *output) trim() {
	excess := len(o.data) - maxHeldBytes
	readable := int(o.read - o.dropped)
	if drop := min(excess, readable); drop > 0 {
		o.data = append([]byte(nil), o.data[drop:]...)
		o.dropped += uint64(drop)
	}
}

func (o *output) end(whole bool, code control.Code, trailer http.Header) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	if o.ended {
		return
	}
	o.ended, o.whole, o.code, o.trailer = true, whole, code, trailer
	o.endedAt = time.Now()
	o.wake()
}

// next waits for what follows a position. It returns false if the bytes at the
// position are not kept any more or the context ended.
func (o *output) next(ctx context.Context, position uint64, hintsSeen int, headSeen bool) (piece, bool) {
	for {
		o.mutex.Lock()
		p, ready, lost := o.peek(position, hintsSeen, headSeen)
		changed := o.changed
		o.mutex.Unlock()
		if lost {
			return piece{}, false
		}
		if ready {
			return p, true
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return piece{}, false
		}
	}
}

func (o *output) peek(position uint64, hintsSeen int, headSeen bool) (p piece, ready, lost bool) {
	end := o.dropped + uint64(len(o.data))
	if position < o.dropped || position > end {
		return piece{}, false, true
	}
	p.hints = o.hints[min(hintsSeen, len(o.hints)):]
	if o.status != 0 && !headSeen {
		p.status, p.header = o.status, o.header
	}
	p.data = append([]byte(nil), o.data[position-o.dropped:]...)
	p.ended, p.whole, p.code, p.trailer = o.ended, o.whole, o.code, o.trailer
	return p, len(p.hints) > 0 || p.status != 0 || len(p.data) > 0 || p.ended, false
}

// confirm notes that a reader was sent all up to a position.
func (o *output) confirm(position uint64, whole bool) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.read = max(o.read, position)
	o.wasRead = o.wasRead || whole
	o.wake()
}

// watch counts readers in and out and returns how many there are.
func (o *output) watch(change int) int {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.watchers += change
	return o.watchers
}

// delivered tells whether the answer needs no more time.
func (o *output) delivered() bool {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	return o.ended && (o.wasRead || !o.whole) && o.watchers == 0
}

func (o *output) expired(now time.Time) bool {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	return o.ended && o.watchers == 0 && now.Sub(o.endedAt) > o.memory
}
