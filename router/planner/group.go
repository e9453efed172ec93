package planner

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"slices"
	"sync"
	"time"

	"chervilswitch.example/platform"
	"chervilswitch.example/shared/events"
	"chervilswitch.example/shared/fleet"
	"chervilswitch.example/shared/peer"
	"chervilswitch.example/shared/ranks"

	"github.com/apex/log"
)

const (
	// watchInterval is the interval between two updates of a rank; passes take 0.05 to
	// 0.1 s. Groups with more than largeMapCounts counts, one for each expert of each
	// set, use largeWatchInterval, since more frequent updates would saturate the links
	// between data centres.
	watchInterval      = 100 * time.Millisecond
	largeWatchInterval = 200 * time.Millisecond
	largeMapCounts     = 500
	// maxPrepareTime bounds the time to copy the experts for one switch. Demand shifts
	// within seconds, and a plan saves nothing before its map is in use.
	maxPrepareTime = 400 * time.Millisecond
	// maxCopies bounds the experts that a rank copies for one switch.
	maxCopies = 4
	// tickInterval is how often the switcher checks its timers and retries orders.
	tickInterval = 25 * time.Millisecond
	// demandHalfLife is the number of passes after which a count has half its weight.
	// Counts keep their weight while a group runs no passes.
	demandHalfLife = 4.5
	// saveInterval is how often the demand is stored for the next leader.
	saveInterval = 3 * time.Second
	// maxStoredDemand bounds the demand of an expert that is read from the store.
	maxStoredDemand = 1e12
	// minDemandPerExpert is the demand that a plan needs, as the mean over the experts
	// of the first set.
	minDemandPerExpert = 20
	// minSaving is the fraction of the experts' time that a switch must save to be worth
	// the copying, which slows passes down.
	minSaving = 0.02
	// maxPlanShare bounds the fraction of one processor that planning for a group uses; a
	// plan for 24 ranks and 16 sets takes 2 ms, one for 64 ranks and 12 sets 10 ms.
	maxPlanShare = 0.05
	// orderTimeout bounds the execution of an order with all its retries, and the wait
	// for the next update of a rank.
	orderTimeout = 1500 * time.Millisecond
	// sidecarTimeout bounds the wait for a sidecar before an order is sent to the engine
	// directly. Sidecars answer within some milliseconds, and the group may be held
	// during the wait.
	sidecarTimeout = 200 * time.Millisecond
	// remoteReportLag is how old the reports of an engine on another instance may be.
	remoteReportLag = 250 * time.Millisecond
	// redialPause is the pause before a sidecar is dialled again.
	redialPause = 200 * time.Millisecond
	// eventBacklog is the capacity of a group's event queue.
	eventBacklog = 64
)

// group plans and switches the maps of one group of ranks.
type group struct {
	planner *Planner
	name    string
	token   uint64
	engine  fleet.Engine

	events chan any

	mutex      sync.Mutex
	members    map[int]*member         // By rank.
	registered map[string]fleet.Target // By target.
	// goroutines watch ranks, send orders and write to the store.
	goroutines sync.WaitGroup

	// The fields below are used only by run's goroutine.
	switcher      *ranks.Switcher
	demand        ranks.Demand
	demandStep    uint64 // The pass up to which demand has decayed.
	lastSaved     time.Time
	experts       map[int]rankExperts
	latestReports map[int]ranks.Report
	epoch         uint64    // The epoch in which current was read.
	version       uint64    // The version of current.
	current       ranks.Map // The last known map of the group.
	started       time.Time // When the last switch was planned.
	skew          float64   // The skew of the map that this switch replaces.
	// nextPlanAt is the earliest time of the next plan.
	nextPlanAt time.Time
}

// rankExperts lists the experts that a rank holds in a version of the map.
type rankExperts struct {
	epoch, version uint64
	bySet          [][]int
}

// member is a rank of the group and the connection to its sidecar.
type member struct {
	target fleet.Target
	cancel context.CancelFunc

	mutex sync.Mutex
	link  *peer.Link // Nil while the sidecar is not connected.
}

// rankUpdate is an event with a message of a rank's sidecar.
type rankUpdate struct{ update *peer.RankUpdate }

func newGroup(p *Planner, name string, token uint64, engine fleet.Engine) *group {
	g := &group{
		planner: p, name: name, token: token, engine: engine,
		events: make(chan any, eventBacklog), members: make(map[int]*member), registered: make(map[string]fleet.Target),
		switcher: ranks.NewSwitcher(token, engine.ExpertCopyTime),
		demand:   make(ranks.Demand, engine.Sets),
		experts:  make(map[int]rankExperts), latestReports: make(map[int]ranks.Report),
	}
	for set := range g.demand {
		g.demand[set] = make([]float64, engine.Experts)
	}
	return g
}

// setMembers sets the current registrations of the group's ranks.
func (g *group) setMembers(members []fleet.Target) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.registered = make(map[string]fleet.Target, len(members))
	for _, t := range members {
		g.registered[t.ID] = t
	}
}

// updateWatches starts a watch for each newly registered rank and replaces it when the
// rank registers with another address. A registration of an earlier incarnation than the
// watched one is ignored, and so is one of the same incarnation while the watched one is
// registered: two registrations may claim the same rank. A watch continues after the
// registration is gone.
func (g *group) updateWatches(ctx context.Context) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	for _, t := range g.registered {
		m, ok := g.members[t.Rank]
		if ok && (m.target.Address == t.Address || m.target.Incarnation > t.Incarnation || g.isRegistered(m.target) && m.target.Incarnation == t.Incarnation) {
			continue
		}
		if ok {
			m.cancel()
		}
		watchContext, cancel := context.WithCancel(ctx)
		m = &member{target: t, cancel: cancel}
		g.members[t.Rank] = m
		g.goroutines.Go(func() { g.watch(watchContext, m) })
	}
}

// isRegistered reports whether a target is registered at its address.
func (g *group) isRegistered(t fleet.Target) bool { return g.registered[t.ID].Address == t.Address }

// run handles the group's events and plans switches until the context ends.
func (g *group) run(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	defer g.goroutines.Wait()
	g.loadDemand(ctx)
	for {
		now := time.Now()
		var effects []ranks.Effect
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			g.updateWatches(ctx)
			effects = g.switcher.Reduce(time.Now(), ranks.Tick{})
			effects = append(effects, g.plan(time.Now())...)
			g.saveDemand(ctx, now)
		case e := <-g.events:
			switch e := e.(type) {
			case rankUpdate:
				effects = g.handleUpdate(now, e.update)
			case ranks.OrderEnded:
				effects = g.switcher.Reduce(now, e)
			}
		}
		g.applyEffects(ctx, effects)
	}
}

// handleUpdate records a message of a rank's sidecar.
func (g *group) handleUpdate(now time.Time, update *peer.RankUpdate) []ranks.Effect {
	report := update.GetReport().Report()
	if report.Group != g.name || report.Rank < 0 || report.Rank >= report.Ranks {
		return nil
	}
	g.decay(report.Step)
	if len(update.GetChosen()) == g.engine.Sets*g.engine.Experts {
		for i, chosen := range update.GetChosen() {
			g.demand[i/g.engine.Experts][i%g.engine.Experts] += float64(chosen)
		}
	}
	if bySet := peer.DecodeExpertLists(update.GetExperts()); g.holdsExperts(bySet) {
		g.experts[report.Rank] = rankExperts{epoch: report.Epoch, version: update.GetMap(), bySet: bySet}
	}
	g.latestReports[report.Rank] = report
	g.planner.setState(g.name, g.state())
	return g.switcher.Reduce(now, ranks.ReportReceived{Report: report})
}

// holdsExperts reports whether lists by set name experts of the engine only.
func (g *group) holdsExperts(bySet [][]int) bool {
	return len(bySet) == g.engine.Sets && !slices.ContainsFunc(bySet, func(experts []int) bool {
		return slices.ContainsFunc(experts, func(expert int) bool { return expert < 0 || expert >= g.engine.Experts })
	})
}

// decay lowers the weight of the counts from passes before step.
func (g *group) decay(step uint64) {
	if step > g.demandStep && g.demandStep != 0 {
		keep := math.Exp2(-float64(step-g.demandStep) / demandHalfLife)
		for set := range g.demand {
			for expert := range g.demand[set] {
				g.demand[set][expert] *= keep
			}
		}
	}
	g.demandStep = step
}

// loadDemand reads the demand that an earlier leader stored. A group that has just formed
// thus gets a suitable map before its requests have produced enough counts.
func (g *group) loadDemand(ctx context.Context) {
	listing, err := g.planner.Leadership.Store.List(ctx, fleet.DemandTopic)
	if err != nil {
		return // Without it, planning starts from the ranks' counts.
	}
	for _, r := range listing.Records {
		if r.Key != g.name {
			continue
		}
		stored, err := decodeDemand(r.Value, g.engine)
		if err != nil {
			events.Log(g.planner.Logger, events.RecordUnreadable, log.Fields{"topic": r.Topic.String(), "key": r.Key, "error": err.Error()})
			continue
		}
		g.demand = stored
	}
}

// decodeDemand decodes a stored demand of an engine's experts.
func decodeDemand(value []byte, engine fleet.Engine) (ranks.Demand, error) {
	var stored ranks.Demand
	if err := json.Unmarshal(value, &stored); err != nil {
		return nil, fmt.Errorf("decode demand: %w", err)
	}
	if len(stored) != engine.Sets {
		return nil, fmt.Errorf("demand of %d sets, expected %d", len(stored), engine.Sets)
	}
	for set, experts := range stored {
		if len(experts) != engine.Experts {
			return nil, fmt.Errorf("demand of %d experts in set %d, expected %d", len(experts), set, engine.Experts)
		}
		for expert, work := range experts {
			if work < 0 || work > maxStoredDemand {
				return nil, fmt.Errorf("demand %g of expert %d in set %d, expected 0 to %g", work, expert, set, float64(maxStoredDemand))
			}
		}
	}
	return stored, nil
}

// saveDemand writes the demand to the store.
func (g *group) saveDemand(ctx context.Context, now time.Time) {
	if now.Sub(g.lastSaved) < saveInterval || !g.hasEnoughDemand() {
		return
	}
	g.lastSaved = now
	rounded := make([][]int, len(g.demand))
	for set := range g.demand {
		for _, work := range g.demand[set] {
			rounded[set] = append(rounded[set], int(work))
		}
	}
	value, err := json.Marshal(rounded)
	if err != nil {
		return // Cannot happen for lists of integers.
	}
	// An error is ignored, since the next save follows soon.
	g.goroutines.Go(func() { _ = g.planner.Leadership.Store.Put(ctx, fleet.DemandTopic, g.name, value) })
}

// currentMap returns the map that all ranks use. It is nil if they differ in the version
// or if the experts of a rank are not known.
func (g *group) currentMap() ranks.Map {
	version, same := g.switcher.Version()
	if !same {
		return nil
	}
	if g.current != nil && g.version == version && g.epoch == g.switcher.Epoch() {
		return g.current
	}
	m := make(ranks.Map, g.engine.Sets)
	for rank := range len(g.latestReports) {
		held, ok := g.experts[rank]
		if !ok || held.version != version || held.epoch != g.switcher.Epoch() || len(held.bySet) != g.engine.Sets {
			return nil
		}
		for set := range m {
			m[set] = append(m[set], held.bySet[set])
		}
	}
	g.epoch, g.version, g.current = g.switcher.Epoch(), version, m
	return m
}

// plan starts a switch if the demand makes one worthwhile.
func (g *group) plan(now time.Time) []ranks.Effect {
	if !g.switcher.Idle() || now.Before(g.nextPlanAt) {
		return nil
	}
	current := g.currentMap()
	if current == nil || !g.hasEnoughDemand() {
		return nil
	}
	planner := ranks.Planner{
		Places: g.engine.Places, MaxCopiesPerRank: g.maxCopiesPerRank(), MaxNewPerSet: g.engine.MaxNewExperts, Pace: g.paces(),
	}
	started := time.Now()
	next, saving := planner.Improve(current, g.demand)
	g.nextPlanAt = time.Now().Add(time.Duration(float64(time.Since(started)) / maxPlanShare))
	if next == nil || saving < minSaving {
		return nil
	}
	g.started, g.skew = now, ranks.Skew(current, g.demand)
	events.Log(g.planner.Logger, events.SwitchPlanned, log.Fields{
		"group": g.name, "from": g.version, "skew": round(g.skew), "skewPlanned": round(ranks.Skew(next, g.demand)),
		"saving": round(saving), "step": g.switcher.Step(), "token": g.token,
	})
	return g.switcher.Reduce(now, ranks.SwitchRequested{Map: next})
}

// maxCopiesPerRank returns how many experts a rank can copy for one switch.
func (g *group) maxCopiesPerRank() int {
	if g.engine.ExpertCopyTime <= 0 {
		return maxCopies
	}
	return min(maxCopies, max(1, int(maxPrepareTime/g.engine.ExpertCopyTime)))
}

// reportInterval returns the interval between two updates of a rank.
func (g *group) reportInterval() time.Duration {
	if g.engine.Sets*g.engine.Experts > largeMapCounts {
		return largeWatchInterval
	}
	return watchInterval
}

// hasEnoughDemand reports whether enough choices of experts were counted for a plan.
func (g *group) hasEnoughDemand() bool {
	sum := 0.0
	for _, tokens := range g.demand[0] {
		sum += tokens
	}
	return sum >= minDemandPerExpert*float64(g.engine.Experts)
}

// paces returns the pace of each rank.
func (g *group) paces() []float64 {
	paces := make([]float64, len(g.latestReports))
	for rank := range paces {
		paces[rank] = g.latestReports[rank].Pace
	}
	return paces
}

// state returns the state of the group for admission.
func (g *group) state() groupState {
	state := groupState{paces: make(map[string]float64)}
	for _, r := range g.latestReports {
		if r.Epoch == g.switcher.Epoch() {
			state.closed = state.closed || !r.Open
		}
	}
	g.mutex.Lock()
	defer g.mutex.Unlock()
	for _, t := range g.registered {
		// Rounding to quarters prevents broadcasts of small changes.
		if pace := math.Round(g.latestReports[t.Rank].Pace*4) / 4; pace > 1 {
			state.paces[t.ID] = pace
		}
	}
	return state
}

// applyEffects executes the effects that the switcher returned.
func (g *group) applyEffects(ctx context.Context, effects []ranks.Effect) {
	for _, effect := range effects {
		switch e := effect.(type) {
		case ranks.SendOrder:
			g.goroutines.Go(func() { g.sendOrder(ctx, e) })
		case ranks.SwitchCompleted:
			if len(e.Map) > 0 {
				g.version, g.current = e.Version, e.Map
			}
			events.Log(g.planner.Logger, events.SwitchEnded, log.Fields{
				"group": g.name, "map": e.Version, "took": time.Since(g.started).String(), "token": g.token,
			})
		case ranks.SwitchAborted:
			events.Log(g.planner.Logger, events.SwitchEnded, log.Fields{
				"group": g.name, "map": e.Version, "abandoned": e.Reason, "token": g.token,
			})
		case ranks.LeadershipLost:
			g.planner.Leadership.Resign(g.token, "a rank reported a higher fencing token")
		}
	}
}

// sendOrder executes an order on a rank and sends its result to run as an event.
func (g *group) sendOrder(ctx context.Context, e ranks.SendOrder) {
	orderContext, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	g.mutex.Lock()
	m := g.members[e.Rank]
	g.mutex.Unlock()
	report, err := ranks.Report{}, error(ranks.ErrUnanswered)
	if m != nil {
		report, err = m.execute(orderContext, e, g.planner.FencingEnforced)
	}
	if err != nil {
		events.Log(g.planner.Logger, events.RankOrderEnded, log.Fields{
			"group": g.name, "rank": e.Rank, "order": fmt.Sprintf("%T", e.Order), "token": e.Token, "error": err.Error(),
		})
	}
	select {
	case g.events <- ranks.OrderEnded{Rank: e.Rank, Token: e.Token, Order: e.Order, Report: report, Err: err}:
	case <-ctx.Done():
	}
}

// execute executes an order through the sidecar, or directly on the engine if the
// sidecar does not answer. Orders to an engine that ignores fencing tokens are sent
// through the sidecar only, which refuses outdated orders in place of the engine.
func (m *member) execute(ctx context.Context, e ranks.SendOrder, fencingEnforced bool) (ranks.Report, error) {
	m.mutex.Lock()
	link := m.link
	m.mutex.Unlock()
	if link != nil {
		report, err := executeThroughSidecar(ctx, link, e)
		if !errors.Is(err, ranks.ErrUnanswered) || !fencingEnforced {
			return report, err
		}
	}
	if !fencingEnforced {
		return ranks.Report{}, ranks.ErrUnanswered.New("the sidecar is not connected and the engine ignores fencing tokens")
	}
	executor := ranks.Executor{Engine: platform.NewEngine(m.target.Address), ReportLag: remoteReportLag}
	return executor.Execute(ctx, e.Token, e.Epoch, e.Order)
}

// executeThroughSidecar makes the rank's sidecar execute an order. The sidecar runs on
// the same instance as the engine and reads its reports without delay.
func executeThroughSidecar(ctx context.Context, link *peer.Link, e ranks.SendOrder) (ranks.Report, error) {
	ctx, cancel := context.WithTimeout(ctx, sidecarTimeout)
	defer cancel()
	stream, err := link.Open(&peer.Open{Kind: &peer.Open_Order{Order: peer.NewRankOrder(e.Token, e.Epoch, e.Order)}})
	if err != nil {
		return ranks.Report{}, ranks.ErrUnanswered.Wrap(err, "open a stream to the sidecar")
	}
	defer stream.Close()
	stop := stream.CloseOnDone(ctx)
	defer stop()
	result := new(peer.RankOrderResult)
	if err := stream.Receive(result); err != nil {
		return ranks.Report{}, ranks.ErrUnanswered.Wrap(err, "receive the result of the order from the sidecar")
	}
	return result.GetReport().Report(), result.Err()
}

// watch receives the updates of a rank until the context ends. It connects again after
// an error, and logs only the first of consecutive errors.
func (g *group) watch(ctx context.Context, m *member) {
	lost := false
	for ctx.Err() == nil {
		err := g.watchOnce(ctx, m)
		if ctx.Err() != nil {
			return
		}
		if !lost && err != nil {
			events.Log(g.planner.Logger, events.DependencyLost, log.Fields{
				"dependency": "sidecar", "target": m.target.ID, "rank": m.target.Rank, "error": err.Error(),
			})
		}
		lost = err != nil
		select {
		case <-ctx.Done():
		case <-time.After(redialPause):
		}
	}
}

// watchOnce connects to the sidecar of a rank and forwards its updates to run until an
// error occurs or the context ends.
func (g *group) watchOnce(ctx context.Context, m *member) error {
	link, err := peer.Dial(ctx, g.planner.sidecarAddress(m.target), nil)
	if err != nil {
		return err
	}
	defer link.Close()
	stream, err := link.Open(&peer.Open{Kind: &peer.Open_Watch{Watch: &peer.RankWatch{Interval: int64(g.reportInterval())}}})
	if err != nil {
		return err
	}
	defer stream.Close()
	stop := stream.CloseOnDone(ctx)
	defer stop()
	m.setLink(link)
	defer m.setLink(nil)
	for {
		update := new(peer.RankUpdate)
		if err := stream.ReceiveWithin(update, orderTimeout); err != nil {
			return err
		}
		select {
		case g.events <- rankUpdate{update}:
		case <-ctx.Done():
			return nil
		}
	}
}

func (m *member) setLink(link *peer.Link) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.link = link
}

// round rounds to three decimals, which keeps logs short.
func round(x float64) float64 { return math.Round(x*1000) / 1000 }
