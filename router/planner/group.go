package planner

import (
	"context"
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
	watchInterval = 100 * time.Millisecond
	// tickInterval lets the switcher give orders again.
	tickInterval = 25 * time.Millisecond
	// demandHalfLife is when what was chosen counts half.
	demandHalfLife = 350 * time.Millisecond
	// minDemand is how many choices a plan needs, for each expert of a set.
	minDemand = 20
	// leastSaving is the part of the experts' time that a switch must save to be
	// worth the copying, which slows passes meanwhile.
	leastSaving = 0.02
	// orderTimeout bounds an order that is given through a sidecar.
	orderTimeout = 1500 * time.Millisecond
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
	demandAt time.Time
	experts  map[int]rankExperts
	latest   map[int]ranks.Report
	version  uint64
	current  ranks.Map
	began    time.Time
	skew     float64
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
type rankNews struct{ news *peer.RankNews }

func newGroup(p *Planner, name string, token uint64, engine fleet.Engine) *group {
	g := &group{
		planner: p, name: name, token: token, engine: engine,
		events: make(chan any, newsBacklog), members: make(map[int]*member), wanted: make(map[string]fleet.Target),
		switcher: ranks.NewSwitcher(token, engine.ExpertCopy),
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
		if ok && m.target.Address == t.Address {
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
	for {
		now := time.Now()
		var effects []ranks.Effect
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			g.connect(ctx)
			effects = g.switcher.Reduce(time.Now(), ranks.Ticked{})
			effects = append(effects, g.plan(time.Now())...)
		case e := <-g.events:
			switch e := e.(type) {
			case rankNews:
				effects = g.hear(now, e.news)
			case ranks.Ended:
				effects = g.switcher.Reduce(now, e)
			}
		}
		g.obey(ctx, effects)
	}
}

// hear takes a rank's news.
func (g *group) hear(now time.Time, m *peer.RankNews) []ranks.Effect {
	report := m.GetReport().Report()
	if report.Group != g.name {
		return nil
	}
	g.decay(now)
	if len(m.GetChosen()) == g.engine.Sets*g.engine.Experts {
		for i, chosen := range m.GetChosen() {
			g.demand[i/g.engine.Experts][i%g.engine.Experts] += float64(chosen)
		}
	}
	if len(m.GetExperts()) > 0 {
		g.experts[report.Rank] = rankExperts{epoch: report.Epoch, version: m.GetMap(), bySet: peer.ExpertLists(m.GetExperts())}
	}
	g.latest[report.Rank] = report
	return g.switcher.Reduce(now, ranks.Reported{Report: report})
}

func (g *group) decay(now time.Time) {
	if !g.demandAt.IsZero() {
		keep := math.Exp2(-now.Sub(g.demandAt).Seconds() / demandHalfLife.Seconds())
		for set := range g.demand {
			for expert := range g.demand[set] {
				g.demand[set][expert] *= keep
			}
		}
	}
	g.demandAt = now
}

// currentMap puts together what the ranks hold, or nil while they differ.
func (g *group) currentMap() ranks.Map {
	version, same := g.switcher.Version()
	if !same {
		return nil
	}
	if g.current != nil && g.version == version {
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
	g.version, g.current = version, m
	return m
}

// plan asks for a switch if the demand makes one worth while.
func (g *group) plan(now time.Time) []ranks.Effect {
	if !g.switcher.Idle() {
		return nil
	}
	current := g.currentMap()
	if current == nil || !g.enough() {
		return nil
	}
	planner := ranks.Planner{Places: g.engine.Places, NewPerRank: 1, Pace: g.paces()}
	next, saving := planner.Improve(current, g.demand)
	if next == nil || saving < leastSaving {
		return nil
	}
	g.began, g.skew = now, ranks.Skew(current, g.demand)
	events.Log(g.planner.Logger, events.SwitchPlanned, log.Fields{
		"group": g.name, "from": g.version, "skew": round(g.skew), "skewPlanned": round(ranks.Skew(next, g.demand)),
		"saving": round(saving), "step": g.switcher.Step(), "token": g.token,
	})
	return g.switcher.Reduce(now, ranks.Planned{Map: next})
}

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

// obey carries out what the switcher decided.
func (g *group) obey(ctx context.Context, effects []ranks.Effect) {
	for _, effect := range effects {
		switch e := effect.(type) {
		case ranks.Give:
			g.ranks.Go(func() { g.give(ctx, e) })
		case ranks.Switched:
			if len(e.Map) > 0 {
				g.version, g.current = e.Version, e.Map
			}
			events.Log(g.planner.Logger, events.SwitchEnded, log.Fields{
				"group": g.name, "map": e.Version, "took": time.Since(g.began).String(), "token": g.token,
			})
		case ranks.Abandoned:
			events.Log(g.planner.Logger, events.SwitchEnded, log.Fields{
				"group": g.name, "map": e.Version, "abandoned": e.Reason, "token": g.token,
			})
		case ranks.Deposed:
			g.planner.Duty.Leave(g.token, "a rank has seen a higher token")
		}
	}
}

// give sends an order to a rank, through its sidecar if that can be reached.
func (g *group) give(ctx context.Context, e ranks.Give) {
	bounded, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	g.mutex.Lock()
	m := g.members[e.Rank]
	g.mutex.Unlock()
	report, err := ranks.Report{}, error(ranks.ErrUnanswered)
	if m != nil {
		report, err = m.order(bounded, e)
	}
	if err != nil {
		events.Log(g.planner.Logger, events.RankOrderEnded, log.Fields{
			"group": g.name, "rank": e.Rank, "order": fmt.Sprintf("%T", e.Order), "token": e.Token, "error": err.Error(),
		})
	}
	select {
	case g.events <- ranks.Ended{Rank: e.Rank, Order: e.Order, Report: report, Err: err}:
	case <-ctx.Done():
	}
}

func (m *member) order(ctx context.Context, e ranks.Give) (ranks.Report, error) {
	m.mutex.Lock()
	link := m.link
	m.mutex.Unlock()
	if link == nil {
		executor := ranks.Executor{Engine: platform.NewEngine(m.target.Address), ReportLag: remoteReportLag}
		return executor.Execute(ctx, e.Token, e.Epoch, e.Order)
	}
	stream, err := link.Open(&peer.Open{Kind: &peer.Open_Order{Order: peer.RankOrderOf(e.Token, e.Epoch, e.Order)}})
	if err != nil {
		return ranks.Report{}, ranks.ErrUnanswered.Wrap(err, "sidecar")
	}
	defer stream.Close()
	stop := stream.CloseWith(ctx)
	defer stop()
	end := new(peer.RankOrderEnd)
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
	stream, err := link.Open(&peer.Open{Kind: &peer.Open_Watch{Watch: &peer.RankWatch{Interval: int64(watchInterval)}}})
	if err != nil {
		return err
	}
	defer stream.Close()
	stop := stream.CloseWith(ctx)
	defer stop()
	m.setLink(link)
	defer m.setLink(nil)
	for {
		news := new(peer.RankNews)
		if err := stream.ReceiveBefore(news, orderTimeout); err != nil {
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
