package engine

import (
	"net/http"
	"strconv"
	"sync"
	"time"
)

// FencingHeader is the request header with the fencing token of an agent's command.
const FencingHeader = "X-Fencing-Number"

// Lockstep simulates the engines of one group, whose ranks run each step together: a
// step begins once every rank's agent has requested it with a version of the expert
// map. Its methods are safe for concurrent use.
type Lockstep struct {
	ranks int
	step  time.Duration

	mutex sync.Mutex
	steps map[stepID]*pendingStep
	// acceptsStaleTokens turns off the check of fencing tokens, as in engines that
	// have none.
	acceptsStaleTokens bool
	highestTokens      map[int]uint64
	rejectedCommands   int
	// mixed counts how often the maps of two requests for the same step differed.
	mixed int
	last  CompletedStep
	done  int
}

type stepID struct{ generation, step uint64 }

// pendingStep holds the map version of each rank that requested a step. allJoined is
// closed when the last rank has joined.
type pendingStep struct {
	maps      map[int]uint64
	allJoined chan struct{}
}

// CompletedStep identifies a step that all ranks requested, and the map version of the
// last rank to join.
type CompletedStep struct{ Generation, Step, Map uint64 }

// NewLockstep returns a group with a number of ranks and the duration of one step.
func NewLockstep(ranks int, step time.Duration) *Lockstep {
	return &Lockstep{ranks: ranks, step: step, steps: make(map[stepID]*pendingStep), highestTokens: make(map[int]uint64)}
}

// Progress returns the step that completed last, the number of completed steps, and
// how often the maps of two requests for the same step differed.
func (l *Lockstep) Progress() (last CompletedStep, done, mixed int) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.last, l.done, l.mixed
}

// IgnoreFencing makes the group accept commands with a stale fencing token.
func (l *Lockstep) IgnoreFencing() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.acceptsStaleTokens = true
}

// RejectedCommands returns the number of commands rejected for a stale fencing token.
func (l *Lockstep) RejectedCommands() int {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.rejectedCommands
}

// rejectStale returns true if a command must be rejected, because its fencing token is
// lower than the highest one that the rank received.
func (l *Lockstep) rejectStale(rank int, token uint64) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if token < l.highestTokens[rank] && !l.acceptsStaleTokens {
		l.rejectedCommands++
		return true
	}
	l.highestTokens[rank] = max(l.highestTokens[rank], token)
	return false
}

// Register adds the routes by which agents send commands to their ranks.
func (l *Lockstep) Register(mux *http.ServeMux) {
	mux.HandleFunc("PUT /ranks/{rank}/maps/{map}", func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusNoContent) // The simulation does not load weights.
	})
	mux.HandleFunc("PUT /ranks/{rank}/steps/{generation}/{step}/{map}", l.serveStep)
}

func (l *Lockstep) serveStep(w http.ResponseWriter, r *http.Request) {
	var numbers [4]uint64
	for i, name := range []string{"rank", "generation", "step", "map"} {
		number, err := strconv.ParseUint(r.PathValue(name), 10, 64)
		if err != nil {
			http.Error(w, name+" must be a number", http.StatusBadRequest)
			return
		}
		numbers[i] = number
	}
	number, err := strconv.ParseUint(r.Header.Get(FencingHeader), 10, 64)
	if err != nil || l.rejectStale(int(numbers[0]), number) {
		http.Error(w, "the fencing token is missing or stale", http.StatusConflict)
		return
	}
	s := l.joinStep(int(numbers[0]), stepID{numbers[1], numbers[2]}, numbers[3])
	select {
	case <-s.allJoined:
		time.Sleep(l.step)
		w.WriteHeader(http.StatusNoContent)
	case <-r.Context().Done(): // The agent retries, or requests a step of a later generation.
	}
}

// joinStep records that a rank joins a step. A repeated request does not complete the
// step a second time.
func (l *Lockstep) joinStep(rank int, id stepID, version uint64) *pendingStep {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	s, ok := l.steps[id]
	if !ok {
		s = &pendingStep{maps: make(map[int]uint64), allJoined: make(chan struct{})}
		l.steps[id] = s
	}
	for _, other := range s.maps {
		if other != version {
			l.mixed++
		}
	}
	before := len(s.maps)
	s.maps[rank] = version
	if len(s.maps) == l.ranks && before < l.ranks {
		l.done++
		l.last = CompletedStep{Generation: id.generation, Step: id.step, Map: version}
		close(s.allJoined)
	}
	return s
}
