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
	"chervilswitch.example/shared/peer"
	"chervilswitch.example/shared/ranks"

	"github.com/apex/log"
)

const (
	// orderTimeout is how long an order is tried; the planner gives it again.
	orderTimeout = time.Second
	// askTimeout bounds one question to the engine beside the process.
	askTimeout = 100 * time.Millisecond
	// minInterval bounds how often a planner may want news.
	minInterval = 10 * time.Millisecond
	// busyInterval is how often the engine is asked while a copy is under way.
	busyInterval = 20 * time.Millisecond
)

// Sidecar serves planners beside one rank.
type Sidecar struct {
	engine *platform.Engine
	logger log.Interface

	mutex sync.Mutex
	// token is the highest fencing token that ordered anything here. Engines that
	// ignore fencing tokens are protected by it as long as the process lives.
	token uint64
}

// Run serves until the context ends.
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
	err = peer.Serve(ctx, listener, s.serve)
	events.Log(logger, events.Stopped, nil)
	return err
}

// serve answers one stream of a planner.
func (s *Sidecar) serve(ctx context.Context, first *peer.Open, stream *peer.Stream) {
	switch kind := first.GetKind().(type) {
	case *peer.Open_Watch:
		s.watch(ctx, time.Duration(kind.Watch.GetInterval()), stream)
	case *peer.Open_Order:
		s.order(ctx, kind.Order, stream)
	}
}

// order carries out one order and tells how it ended.
func (s *Sidecar) order(ctx context.Context, m *peer.RankOrder, stream *peer.Stream) {
	order := m.Decode()
	if order == nil {
		events.Log(s.logger, events.RankOrderEnded, log.Fields{"error": "the order is of an unknown kind"})
		return
	}
	var report ranks.Report
	err := s.fence(m.GetToken())
	began := time.Now()
	if err == nil {
		ctx, cancel := context.WithTimeout(ctx, orderTimeout)
		defer cancel()
		executor := ranks.Executor{Engine: s.engine, CheckToken: s.fence}
		report, err = executor.Execute(ctx, m.GetToken(), m.GetEpoch(), order)
	}
	fields := log.Fields{
		"order": fmt.Sprintf("%T", order), "token": m.GetToken(), "epoch": m.GetEpoch(),
		"step": report.Step, "map": report.Map, "took": time.Since(began).String(),
	}
	if err != nil {
		fields["error"] = err.Error()
	}
	events.Log(s.logger, events.RankOrderEnded, fields)
	if err := stream.Send(peer.NewRankOrderResult(report, err)); err != nil {
		events.Log(s.logger, events.PeerLost, log.Fields{"error": err.Error()})
	}
}

// fence refuses orders with a lower token than one that was seen.
func (s *Sidecar) fence(token uint64) error {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if token < s.token {
		return ranks.ErrFenced.New("token %d is below %d", token, s.token)
	}
	s.token = token
	return nil
}

// watch sends the rank's state until the planner leaves.
func (s *Sidecar) watch(ctx context.Context, interval time.Duration, stream *peer.Stream) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		defer cancel()
		_ = stream.Receive(new(peer.Open)) // Nothing comes; it ends with the link.
	}()
	w := watcher{sidecar: s}
	var last ranks.Report
	lastSent := time.Time{}
	failing := false
	for ctx.Err() == nil {
		report, err := w.ask(ctx)
		if err != nil != failing {
			failing = err != nil
			s.logEngine(err)
		}
		news := report.Prepared != last.Prepared || report.Map != last.Map || report.Epoch != last.Epoch ||
			report.Armed != last.Armed || report.Held != last.Held || report.Open != last.Open
		if err == nil && (news || time.Since(lastSent) >= interval) {
			message, err := w.news(ctx, report)
			if err == nil {
				if stream.Send(message) != nil {
					return // The planner is gone; it dials again.
				}
				last, lastSent = report, time.Now()
			}
		}
		select {
		case <-ctx.Done():
		case <-time.After(max(minInterval, min(busyInterval, interval))):
		}
	}
}

// logEngine notes that the engine stopped answering, or answers again.
func (s *Sidecar) logEngine(err error) {
	if err != nil {
		events.Log(s.logger, events.DependencyLost, log.Fields{"dependency": "engine", "error": err.Error()})
		return
	}
	events.Log(s.logger, events.DependencyRegained, log.Fields{"dependency": "engine"})
}

// watcher remembers what one planner was told.
type watcher struct {
	sidecar *Sidecar
	counts  []uint64
	started uint64 // The rank's incarnation when it was counted.
	mapOf   uint64
	epochOf uint64
	mapped  bool
}

func (w *watcher) ask(ctx context.Context) (ranks.Report, error) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	return w.sidecar.engine.Report(ctx)
}

// news adds to a report what was chosen since the last one, and the rank's experts
// if the map changed.
func (w *watcher) news(ctx context.Context, report ranks.Report) (*peer.RankUpdate, error) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	counts, err := w.sidecar.engine.Counts(ctx)
	if err != nil {
		return nil, err
	}
	m := &peer.RankUpdate{Report: peer.NewEngineReport(report), Chosen: make([]uint32, len(counts))}
	if len(w.counts) == len(counts) && w.started == report.Incarnation {
		for i, n := range counts {
			if n >= w.counts[i] {
				m.Chosen[i] = uint32(n - w.counts[i])
			}
		}
	}
	w.counts, w.started = counts, report.Incarnation
	if !w.mapped || w.mapOf != report.Map || w.epochOf != report.Epoch {
		version, experts, err := w.sidecar.engine.Experts(ctx)
		if err != nil {
			return nil, err
		}
		m.Map, m.Experts = version, peer.NewExpertLists(experts)
		w.mapOf, w.epochOf, w.mapped = version, report.Epoch, true
	}
	return m, nil
}
