package engine

import (
	"net/http"
	"strconv"
	"sync"
	"time"
)

// FencingHeader carries the fencing number of an order.
const FencingHeader = "X-Fencing-Number"

// Lockstep is the part that the engines of one group share: a step runs only
// with all ranks, and each is told its map by its own agent.
type Lockstep struct {
	ranks int
	step  time.Duration

	mutex sync.Mutex
	steps map[position]*lockstep
	// ignoresFencing makes it take orders with an old number, as some engines do.
	ignoresFencing bool
	fencing        map[int]uint64
	refused        int
	// Mixed counts steps that ranks began with different maps.
	mixed int
	last  CompletedStep
	done  int
}

type position struct{ generation, step uint64 }

// lockstep is one step while ranks gather for it.
type lockstep struct {
	maps map[int]uint64
	full chan struct{}
}

// CompletedStep is the newest step that all ranks ran.
type CompletedStep struct{ Generation, Step, Map uint64 }

// NewLockstep gives a group of ranks with the time of one step.
func NewLockstep(ranks int, step time.Duration) *Lockstep {
	return &Lockstep{ranks: ranks, step: step, steps: make(map[position]*lockstep), fencing: make(map[int]uint64)}
}

// Progress gives the newest whole step, how many there were, and how many steps had
// two maps.
func (l *Lockstep) Progress() (last CompletedStep, done, mixed int) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.last, l.done, l.mixed
}

// IgnoreFencing makes the group take orders with an old fencing number.
func (l *Lockstep) IgnoreFencing() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.ignoresFencing = true
}

// RejectedCommands is the number of orders refused for an old fencing number.
func (l *Lockstep) RejectedCommands() int {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.refused
}

// fenced refuses an order whose number is older than the newest seen.
func (l *Lockstep) fenced(rank int, number uint64) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if number < l.fencing[rank] && !l.ignoresFencing {
		l.refused++
		return true
	}
	l.fencing[rank] = max(l.fencing[rank], number)
	return false
}

// Register adds the routes by which an agent orders its ranks.
func (l *Lockstep) Register(mux *http.ServeMux) {
	mux.HandleFunc("PUT /ranks/{rank}/maps/{map}", func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusNoContent) // The weight store is not limited here.
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
	if err != nil || l.fenced(int(numbers[0]), number) {
		http.Error(w, "old fencing number", http.StatusConflict)
		return
	}
	s := l.begin(int(numbers[0]), position{numbers[1], numbers[2]}, numbers[3])
	select {
	case <-s.full:
		time.Sleep(l.step)
		w.WriteHeader(http.StatusNoContent)
	case <-r.Context().Done(): // The agent tells it again, or a later generation.
	}
}

// begin notes that a rank begins a step; telling it again changes nothing.
func (l *Lockstep) begin(rank int, at position, version uint64) *lockstep {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	s, ok := l.steps[at]
	if !ok {
		s = &lockstep{maps: make(map[int]uint64), full: make(chan struct{})}
		l.steps[at] = s
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
		l.last = CompletedStep{Generation: at.generation, Step: at.step, Map: version}
		close(s.full)
	}
	return s
}
