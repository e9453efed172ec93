package rank

import (
	"context"
	"fmt"
	"net"
	"os"
	"sync"
	"time"

	"chervilswitch.example/platform"
	"chervilswitch.example/shared/events"
	"chervilswitch.example/shared/intake"
	"chervilswitch.example/shared/peer"
	"chervilswitch.example/shared/ranks"

	"github.com/apex/log"
)

const (
	// orderTimeout limits the execution of an order; the planner repeats orders.
	orderTimeout = time.Second
	// queryTimeout limits one query to the engine on the same machine.
	queryTimeout = 100 * time.Millisecond
	// minPollInterval is the shortest pause between queries, whatever interval a
	// planner requests.
	minPollInterval = 10 * time.Millisecond
	// switchPollInterval is the longest pause between queries while the rank may be in a
	// switch, so that the sidecar soon sees that the engine has completed a copy of experts.
	switchPollInterval = 20 * time.Millisecond
	// settleTime is how long after an order a rank may be in a switch that its reports do not
	// show. A copy of experts takes up to 0.4 s.
	settleTime = 500 * time.Millisecond
)

// Sidecar serves planners for one rank. It is safe for concurrent use.
type Sidecar struct {
	engine *platform.Engine
	logger log.Interface

	mutex sync.Mutex
	// token is the highest fencing token of the orders received. Checking it protects
	// engines that ignore fencing tokens. It is lost when the process ends.
	token uint64
	// lastOrder is when the last order arrived.
	lastOrder time.Time
}

// Run serves planners until the context ends.
func Run(ctx context.Context, options Options) error {
	sink := events.NewSink(os.Stdout)
	defer sink.Close()
	logger := events.NewLogger(sink).WithField("instance", options.Instance)
	listener, err := net.Listen("tcp", options.Peers.String())
	if err != nil {
		return fmt.Errorf("listen for planners: %w", err)
	}
	s := &Sidecar{engine: platform.NewEngine(options.Engine), logger: logger}
	events.Log(logger, events.Started, log.Fields{"peers": options.Peers, "engine": options.Engine})
	resources := intake.NewResources(options.MemoryMB, options.FileDescriptors)
	resources.LimitHeap()
	var cuts intake.Lines
	limits := peer.Limits{Links: resources.NewLinks(), Bytes: resources.NewLinkBytes(), Report: func(reason string, links int, bytes int64) {
		if omitted, ok := cuts.Allow(time.Now()); ok {
			events.Log(logger, events.ClientCut, log.Fields{"listener": "peers", "reason": reason, "connections": links, "held": bytes, "omitted": omitted})
		}
	}}
	err = limits.Serve(ctx, listener, s.serve)
	events.Log(logger, events.Stopped, nil)
	return err
}

// serve handles one stream of a planner: a state subscription or an order.
func (s *Sidecar) serve(ctx context.Context, open *peer.Open, stream *peer.Stream) {
	switch kind := open.GetKind().(type) {
	case *peer.Open_Watch:
		s.watch(ctx, time.Duration(kind.Watch.GetInterval()), stream)
	case *peer.Open_Order:
		s.order(ctx, kind.Order, stream)
	}
}

// order executes one order and sends its result.
func (s *Sidecar) order(ctx context.Context, m *peer.RankOrder, stream *peer.Stream) {
	order := m.Decode()
	if order == nil {
		events.Log(s.logger, events.RankOrderEnded, log.Fields{"error": "order type is not supported"})
		return
	}
	var report ranks.Report
	s.noteOrder()
	err := s.fence(m.GetToken())
	start := time.Now()
	if err == nil {
		ctx, cancel := context.WithTimeout(ctx, orderTimeout)
		defer cancel()
		executor := ranks.Executor{Engine: s.engine, CheckToken: s.fence}
		report, err = executor.Execute(ctx, m.GetToken(), m.GetEpoch(), order)
	}
	fields := log.Fields{
		"order": fmt.Sprintf("%T", order), "token": m.GetToken(), "epoch": m.GetEpoch(),
		"step": report.Step, "map": report.Map, "took": time.Since(start).String(),
	}
	if err != nil {
		fields["error"] = err.Error()
	}
	events.Log(s.logger, events.RankOrderEnded, fields)
	if err := stream.Send(peer.NewRankOrderResult(report, err)); err != nil {
		events.Log(s.logger, events.PeerLost, log.Fields{"error": err.Error()})
	}
}

// fence rejects a fencing token that is lower than the highest one seen, and otherwise
// records it. Errors match ranks.ErrFenced.
func (s *Sidecar) fence(token uint64) error {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if token < s.token {
		return ranks.ErrFenced.New("fencing token %d is lower than token %d of another order", token, s.token)
	}
	s.token = token
	return nil
}

// noteOrder records that an order has arrived.
func (s *Sidecar) noteOrder() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.lastOrder = time.Now()
}

// pollPause returns the pause after a query that returned a report. Queries are frequent
// only while the rank may be in a switch.
func (s *Sidecar) pollPause(interval time.Duration, report ranks.Report) time.Duration {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	pause := interval
	if time.Since(s.lastOrder) < settleTime || report.Held || report.Armed != 0 || report.Prepared > report.Map {
		pause = min(pause, switchPollInterval)
	}
	return max(minPollInterval, pause)
}

// watch sends the rank's state at every change, and otherwise once per interval with the
// counts of its experts, until the planner disconnects.
func (s *Sidecar) watch(ctx context.Context, interval time.Duration, stream *peer.Stream) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		defer cancel()
		_ = stream.Receive(new(peer.Open)) // Returns on disconnect: planners send no further message.
	}()
	w := watcher{sidecar: s}
	var last ranks.Report
	lastCounted := time.Time{}
	failing := false
	for ctx.Err() == nil {
		report, err := w.queryReport(ctx)
		if err != nil != failing {
			failing = err != nil
			s.logEngineState(err)
		}
		update := report.Prepared != last.Prepared || report.Map != last.Map || report.Epoch != last.Epoch ||
			report.Armed != last.Armed || report.Held != last.Held || report.Open != last.Open
		counted := time.Since(lastCounted) >= interval
		if err == nil && (update || counted) {
			message, err := w.update(ctx, report, counted)
			if err == nil {
				if stream.Send(message) != nil {
					return // The connection is lost; the planner connects again.
				}
				last = report
				if counted {
					lastCounted = time.Now()
				}
			}
		}
		select {
		case <-ctx.Done():
		case <-time.After(s.pollPause(interval, report)):
		}
	}
}

// logEngineState logs that the engine has become unreachable, or reachable again if
// the error is nil.
func (s *Sidecar) logEngineState(err error) {
	if err != nil {
		events.Log(s.logger, events.DependencyLost, log.Fields{"dependency": "engine", "error": err.Error()})
		return
	}
	events.Log(s.logger, events.DependencyRegained, log.Fields{"dependency": "engine"})
}

// watcher tracks the state that was sent to one planner, so that later messages hold
// only the difference.
type watcher struct {
	sidecar           *Sidecar
	counts            []uint64
	countsIncarnation uint64 // The rank's incarnation that counts belong to.
	sentMap           uint64
	sentEpoch         uint64
	mapSent           bool
}

func (w *watcher) queryReport(ctx context.Context) (ranks.Report, error) {
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	return w.sidecar.engine.Report(ctx)
}

// update returns a message with a report, and the rank's experts if the map or the epoch has
// changed. If counted is true, it holds how often each expert was selected since the last
// message that did.
func (w *watcher) update(ctx context.Context, report ranks.Report, counted bool) (*peer.RankUpdate, error) {
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	m := &peer.RankUpdate{Report: peer.NewEngineReport(report)}
	if counted {
		counts, err := w.sidecar.engine.Counts(ctx)
		if err != nil {
			return nil, err
		}
		m.Chosen = w.difference(counts, report.Incarnation)
	}
	if !w.mapSent || w.sentMap != report.Map || w.sentEpoch != report.Epoch {
		version, experts, err := w.sidecar.engine.Experts(ctx)
		if err != nil {
			return nil, err
		}
		m.Map, m.Experts = version, peer.NewExpertLists(experts)
		w.sentMap, w.sentEpoch, w.mapSent = version, report.Epoch, true
	}
	return m, nil
}

// difference returns how often each expert was selected since the last call, or nil if none
// was. counts are those since the start of an incarnation of the rank.
func (w *watcher) difference(counts []uint64, incarnation uint64) []uint32 {
	chosen, selected := make([]uint32, len(counts)), false
	if len(w.counts) == len(counts) && w.countsIncarnation == incarnation {
		for i, n := range counts {
			if n > w.counts[i] {
				chosen[i], selected = uint32(n-w.counts[i]), true
			}
		}
	}
	w.counts, w.countsIncarnation = counts, incarnation
	if !selected {
		return nil
	}
	return chosen
}
