package planner

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math"
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
	// watchInterval is how often a rank's counts come; passes take 0.05 to 0.1 s.
	// largeInterval is the same for maps of more than largeCounts numbers, which
	// would fill the links between data centres.
	watchInterval = 100 * time.Millisecond
	largeInterval = 200 * time.Millisecond
	largeCounts   = 500
	// prepareTime is how long the copying for one switch may take: demand shifts
	// within seconds, and a plan is of no use until it is in force.
	prepareTime = 400 * time.Millisecond
	maxNew      = 4
	// tickInterval lets the switcher give orders again.
	tickInterval = 25 * time.Millisecond
	// demandHalfLife is after how many passes what was chosen counts half. A group
	// that makes no passes forgets nothing.
	demandHalfLife = 4.5
	// saveInterval is how often the demand is kept for the next planner.
	saveInterval = 3 * time.Second
	// minDemand is how many choices a plan needs, for each expert of a set.
	minDemand = 20
	// leastSaving is the part of the experts' time that a switch must save to be
	// worth the copying, which slows passes meanwhile.
	leastSaving = 0.02
	// planShare bounds the part of a processor that planning for one group takes; a
	// plan for 24 ranks and 16 sets takes 8 ms.
	planShare = 0.05
	// orderTimeout bounds an order.
	orderTimeout = 1500 * time.Millisecond
	// sidecarTimeout is when an order is given from here instead: sidecars answer
	// within some milliseconds, and a group may be held meanwhile.
	sidecarTimeout = 200 * time.Millisecond
	// remoteReportLag is the age of reports that are read from another instance.
	remoteReportLag = 250 * time.Millisecond
	redialPause     = 200 * time.Millisecond
	newsBacklog     = 64
)

// group plans for one group of ranks.
type group struct {
	planner *Planner
	name    string
	token   uint64
	engine  fleet.Engine

	events chan any

	mutex   sync.Mutex
	members map[int]*member
	wanted  map[string]fleet.Target
	ranks   sync.WaitGroup

	// What follows belongs to run's goroutine.
	switcher *ranks.Switcher
	demand   ranks.Demand
	demandAt uint64 // The pass up to which it has decayed.
	saved    time.Time
	experts  map[int]rankExperts
	latest   map[int]ranks.Report
	epoch    uint64
	version  uint64
	current  ranks.Map
	began    time.Time
	skew     float64
	// rested is when the next plan may be looked for.
	rested time.Time
}

// rankExperts is what a rank holds in a version of the map.
type rankExperts struct {
	epoch, version uint64
	bySet          [][]int
}

// member is the way to one rank.
type member struct {
	target fleet.Target
	cancel context.CancelFunc

	mutex sync.Mutex
	link  *peer.Link
}

// rankNews is a message of a rank's sidecar.
type rankNews struct{ news *peer.RankUpdate }

func newGroup(p *Planner, name string, token uint64, engine fleet.Engine) *group {
	g := &group{
		planner: p, name: name, token: token, engine: engine,
		events: make(chan any, newsBacklog), members: make(map[int]*member), wanted: make(map[string]fleet.Target),
		switcher: ranks.NewSwitcher(token, engine.ExpertCopyTime),
		demand:   make(ranks.Demand, engine.Sets),
		experts:  make(map[int]rankExperts), latest: make(map[int]ranks.Report),
	}
	for set := range g.demand {
		g.demand[set] = make([]float64, engine.Experts)
	}
	return g
}

// setMembers takes the ranks' registrations.
func (g *group) setMembers(members []fleet.Target) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.wanted = make(map[string]fleet.Target, len(members))
	for _, t := range members {
		g.wanted[t.ID] = t
	}
}

// connect starts and ends the watches of ranks as registrations come and go.
func (g *group) connect(ctx context.Context) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	for _, t := range g.wanted {
		m, ok := g.members[t.Rank]
		if ok && (m.target.Address == t.Address || m.target.Incarnation > t.Incarnation) {
			continue
		}
		if ok {
			m.cancel()
		}
		watching, cancel := context.WithCancel(ctx)
		m = &member{target: t, cancel: cancel}
		g.members[t.Rank] = m
		g.ranks.Go(func() { g.watch(watching, m) })
	}
}

// run plans until the context ends.
func (g *group) run(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	defer g.ranks.Wait()
	g.load(ctx)
	for {
		now := time.Now()
		var effects []ranks.Effect
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			g.connect(ctx)
			effects = g.switcher.Reduce(time.Now(), ranks.Tick{})
			effects = append(effects, g.plan(time.Now())...)
			g.save(ctx, now)
		case e := <-g.events:
			switch e := e.(type) {
			case rankNews:
				effects = g.hear(now, e.news)
			case ranks.OrderEnded:
				effects = g.switcher.Reduce(now, e)
			}
		}
		g.obey(ctx, effects)
	}
}

// hear takes a rank's news.
func (g *group) hear(now time.Time, m *peer.RankUpdate) []ranks.Effect {
	report := m.GetReport().Report()
	if report.Group != g.name {
		return nil
	}
	g.decay(report.Step)
	if len(m.GetChosen()) == g.engine.Sets*g.engine.Experts {
		for i, chosen := range m.GetChosen() {
			g.demand[i/g.engine.Experts][i%g.engine.Experts] += float64(chosen)
		}
	}
	if len(m.GetExperts()) > 0 {
		g.experts[report.Rank] = rankExperts{epoch: report.Epoch, version: m.GetMap(), bySet: peer.DecodeExpertLists(m.GetExperts())}
	}
	g.latest[report.Rank] = report
	g.planner.setState(g.name, g.state())
	return g.switcher.Reduce(now, ranks.ReportReceived{Report: report})
}

// decay lets what was chosen in earlier passes count less.
func (g *group) decay(step uint64) {
	if step > g.demandAt && g.demandAt != 0 {
		keep := math.Exp2(-float64(step-g.demandAt) / demandHalfLife)
		for set := range g.demand {
			for expert := range g.demand[set] {
				g.demand[set][expert] *= keep
			}
		}
	}
	g.demandAt = step
}

// load takes the demand that an earlier planner kept, so that a group that formed
// anew gets its map before its requests have shown what they choose.
func (g *group) load(ctx context.Context) {
	listing, err := g.planner.Leadership.Store.List(ctx, fleet.DemandTopic)
	if err != nil {
		return // Plans begin with what the ranks count.
	}
	for _, r := range listing.Records {
		var kept ranks.Demand
		if r.Key != g.name || json.Unmarshal(r.Value, &kept) != nil || len(kept) != g.engine.Sets {
			continue
		}
		for set := range kept {
			if len(kept[set]) != g.engine.Experts {
				return
			}
		}
		g.demand = kept
	}
}

// save keeps the demand in the store.
func (g *group) save(ctx context.Context, now time.Time) {
	if now.Sub(g.saved) < saveInterval || !g.enough() {
		return
	}
	g.saved = now
	rounded := make([][]int, len(g.demand))
	for set := range g.demand {
		for _, work := range g.demand[set] {
			rounded[set] = append(rounded[set], int(work))
		}
	}
	value, err := json.Marshal(rounded)
	if err != nil {
		return // Lists of numbers always encode.
	}
	g.ranks.Go(func() { _ = g.planner.Leadership.Store.Put(ctx, fleet.DemandTopic, g.name, value) }) // The next one comes soon.
}

// currentMap puts together what the ranks hold, or nil while they differ.
func (g *group) currentMap() ranks.Map {
	version, same := g.switcher.Version()
	if !same {
		return nil
	}
	if g.current != nil && g.version == version && g.epoch == g.switcher.Epoch() {
		return g.current
	}
	m := make(ranks.Map, g.engine.Sets)
	for rank := range len(g.latest) {
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

// plan asks for a switch if the demand makes one worth while.
func (g *group) plan(now time.Time) []ranks.Effect {
	if !g.switcher.Idle() || now.Before(g.rested) {
		return nil
	}
	current := g.currentMap()
	if current == nil || !g.enough() {
		return nil
	}
	planner := ranks.Planner{Places: g.engine.Places, MaxCopiesPerRank: g.newPerRank(), Pace: g.paces()}
	began := time.Now()
	next, saving := planner.Improve(current, g.demand)
	g.rested = time.Now().Add(time.Duration(float64(time.Since(began)) / planShare))
	if next == nil || saving < leastSaving {
		return nil
	}
	g.began, g.skew = now, ranks.Skew(current, g.demand)
	events.Log(g.planner.Logger, events.SwitchPlanned, log.Fields{
		"group": g.name, "from": g.version, "skew": round(g.skew), "skewPlanned": round(ranks.Skew(next, g.demand)),
		"saving": round(saving), "step": g.switcher.Step(), "token": g.token,
	})
	return g.switcher.Reduce(now, ranks.SwitchRequested{Map: next})
}

// newPerRank is how many experts a rank can copy for one switch.
func (g *group) newPerRank() int {
	if g.engine.ExpertCopyTime <= 0 {
		return maxNew
	}
	return min(maxNew, max(1, int(prepareTime/g.engine.ExpertCopyTime)))
}

func (g *group) interval() time.Duration {
	if g.engine.Sets*g.engine.Experts > largeCounts {
		return largeInterval
	}
	return watchInterval
}

// enough reports whether the demand is known well enough for a plan.
func (g *group) enough() bool {
	sum := 0.0
	for _, tokens := range g.demand[0] {
		sum += tokens
	}
	return sum >= minDemand*float64(g.engine.Experts)
}

func (g *group) paces() []float64 {
	paces := make([]float64, len(g.latest))
	for rank := range paces {
		paces[rank] = g.latest[rank].Pace
	}
	return paces
}

// state is what admission needs to know of the group.
func (g *group) state() groupState {
	state := groupState{paces: make(map[string]float64)}
	for _, r := range g.latest {
		if r.Epoch == g.switcher.Epoch() {
			state.closed = state.closed || !r.Open
		}
	}
	g.mutex.Lock()
	defer g.mutex.Unlock()
	for _, t := range g.wanted {
		state.service = t.Service
		// Steps of a quarter keep small changes from being told to everyone.
		if pace := math.Round(g.latest[t.Rank].Pace*4) / 4; pace > 1 {
			state.paces[t.ID] = pace
		}
	}
	return state
}

// obey carries out what the switcher decided.
func (g *group) obey(ctx context.Context, effects []ranks.Effect) {
	for _, effect := range effects {
		switch e := effect.(type) {
		case ranks.SendOrder:
			g.ranks.Go(func() { g.give(ctx, e) })
		case ranks.SwitchCompleted:
			if len(e.Map) > 0 {
				g.version, g.current = e.Version, e.Map
			}
			events.Log(g.planner.Logger, events.SwitchEnded, log.Fields{
				"group": g.name, "map": e.Version, "took": time.Since(g.began).String(), "token": g.token,
			})
		case ranks.SwitchAborted:
			events.Log(g.planner.Logger, events.SwitchEnded, log.Fields{
				"group": g.name, "map": e.Version, "abandoned": e.Reason, "token": g.token,
			})
		case ranks.LeadershipLost:
			g.planner.Leadership.Resign(g.token, "a rank has seen a higher token")
		}
	}
}

// give sends an order to a rank, through its sidecar if that can be reached.
func (g *group) give(ctx context.Context, e ranks.SendOrder) {
	bounded, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	g.mutex.Lock()
	m := g.members[e.Rank]
	g.mutex.Unlock()
	report, err := ranks.Report{}, error(ranks.ErrUnanswered)
	if m != nil {
		report, err = m.order(bounded, e, g.planner.FencingEnforced)
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

// order gives an order through the sidecar, or from here if the sidecar is silent.
// An engine that ignores fencing tokens is ordered by its sidecar only, which
// refuses late orders in its place.
func (m *member) order(ctx context.Context, e ranks.SendOrder, fenced bool) (ranks.Report, error) {
	m.mutex.Lock()
	link := m.link
	m.mutex.Unlock()
	if link != nil {
		report, err := throughSidecar(ctx, link, e)
		if !errors.Is(err, ranks.ErrUnanswered) || !fenced {
			return report, err
		}
	}
	if !fenced {
		return ranks.Report{}, ranks.ErrUnanswered.New("no sidecar, and the engine ignores fencing tokens")
	}
	executor := ranks.Executor{Engine: platform.NewEngine(m.target.Address), ReportLag: remoteReportLag}
	return executor.Execute(ctx, e.Token, e.Epoch, e.Order)
}

// throughSidecar gives an order on the rank's own machine, where reports are fresh.
func throughSidecar(ctx context.Context, link *peer.Link, e ranks.SendOrder) (ranks.Report, error) {
	ctx, cancel := context.WithTimeout(ctx, sidecarTimeout)
	defer cancel()
	stream, err := link.Open(&peer.Open{Kind: &peer.Open_Order{Order: peer.NewRankOrder(e.Token, e.Epoch, e.Order)}})
	if err != nil {
		return ranks.Report{}, ranks.ErrUnanswered.Wrap(err, "sidecar")
	}
	defer stream.Close()
	stop := stream.CloseWith(ctx)
	defer stop()
	end := new(peer.RankOrderResult)
	if err := stream.Receive(end); err != nil {
		return ranks.Report{}, ranks.ErrUnanswered.Wrap(err, "sidecar")
	}
	return end.GetReport().Report(), end.Err()
}

// watch receives a rank's news until the context ends.
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

func (g *group) watchOnce(ctx context.Context, m *member) error {
	link, err := peer.Dial(ctx, g.planner.sidecarOf(m.target), nil)
	if err != nil {
		return err
	}
	defer link.Close()
	stream, err := link.Open(&peer.Open{Kind: &peer.Open_Watch{Watch: &peer.RankWatch{Interval: int64(g.interval())}}})
	if err != nil {
		return err
	}
	defer stream.Close()
	stop := stream.CloseWith(ctx)
	defer stop()
	m.setLink(link)
	defer m.setLink(nil)
	for {
		news := new(peer.RankUpdate)
		if err := stream.ReceiveWithin(news, orderTimeout); err != nil {
			return err
		}
		select {
		case g.events <- rankNews{news}:
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

// round keeps logs short.
func round(x float64) float64 { return math.Round(x*1000) / 1000 }
