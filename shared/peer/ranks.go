package peer

import (
	"errors"

	"chervilswitch.example/shared/ranks"
)

// NewEngineReport encodes the report of a rank.
func NewEngineReport(r ranks.Report) *EngineReport {
	return &EngineReport{
		Group: r.Group, Rank: int32(r.Rank), Ranks: int32(r.Ranks), Epoch: r.Epoch, Open: r.Open,
		Incarnation: r.Incarnation, Sequence: r.Sequence, Step: r.Step, Map: r.Map,
		Prepared: r.Prepared, Armed: r.Armed, ArmedStep: r.ArmedStep, Held: r.Held, HeldStep: r.HeldStep,
		Pace: r.Pace, Running: int32(r.Running), Waiting: int32(r.Waiting),
	}
}

// Report decodes the report. A nil message decodes to the zero report.
func (x *EngineReport) Report() ranks.Report {
	return ranks.Report{
		Group: x.GetGroup(), Rank: int(x.GetRank()), Ranks: int(x.GetRanks()), Epoch: x.GetEpoch(),
		Open: x.GetOpen(), Incarnation: x.GetIncarnation(), Sequence: x.GetSequence(), Step: x.GetStep(),
		Map: x.GetMap(), Prepared: x.GetPrepared(), Armed: x.GetArmed(), ArmedStep: x.GetArmedStep(),
		Held: x.GetHeld(), HeldStep: x.GetHeldStep(), Pace: x.GetPace(),
		Running: int(x.GetRunning()), Waiting: int(x.GetWaiting()),
	}
}

// NewRankOrder encodes an order with its fencing token and epoch.
func NewRankOrder(token, epoch uint64, order ranks.Order) *RankOrder {
	m := &RankOrder{Token: token, Epoch: epoch}
	switch o := order.(type) {
	case ranks.Prepare:
		m.Order = &RankOrder_Prepare{Prepare: &PrepareMap{Version: o.Version, Sets: newExpertSets(o.Map)}}
	case ranks.Hold:
		m.Order = &RankOrder_HoldStep{HoldStep: o.Step}
	case ranks.Arm:
		m.Order = &RankOrder_Arm{Arm: &ArmMap{Version: o.Version, Step: o.Step}}
	case ranks.Release:
		m.Order = &RankOrder_ReleaseStep{ReleaseStep: o.Step}
	}
	return m
}

// Decode decodes the order. It returns nil if the kind is unknown.
func (x *RankOrder) Decode() ranks.Order {
	switch o := x.GetOrder().(type) {
	case *RankOrder_Prepare:
		return ranks.Prepare{Version: o.Prepare.GetVersion(), Map: decodeMap(o.Prepare.GetSets())}
	case *RankOrder_HoldStep:
		return ranks.Hold{Step: o.HoldStep}
	case *RankOrder_Arm:
		return ranks.Arm{Version: o.Arm.GetVersion(), Step: o.Arm.GetStep()}
	case *RankOrder_ReleaseStep:
		return ranks.Release{Step: o.ReleaseStep}
	default:
		return nil
	}
}

func newExpertSets(m ranks.Map) []*ExpertSet {
	sets := make([]*ExpertSet, len(m))
	for set := range m {
		sets[set] = &ExpertSet{Ranks: NewExpertLists(m[set])}
	}
	return sets
}

func decodeMap(sets []*ExpertSet) ranks.Map {
	m := make(ranks.Map, len(sets))
	for set := range sets {
		m[set] = DecodeExpertLists(sets[set].GetRanks())
	}
	return m
}

// NewExpertLists encodes lists of experts.
func NewExpertLists(lists [][]int) []*ExpertList {
	encoded := make([]*ExpertList, len(lists))
	for i, list := range lists {
		encoded[i] = &ExpertList{Expert: make([]int32, len(list))}
		for j, expert := range list {
			encoded[i].Expert[j] = int32(expert)
		}
	}
	return encoded
}

// DecodeExpertLists decodes lists of experts.
func DecodeExpertLists(encoded []*ExpertList) [][]int {
	lists := make([][]int, len(encoded))
	for i, experts := range encoded {
		lists[i] = make([]int, len(experts.GetExpert()))
		for j, expert := range experts.GetExpert() {
			lists[i][j] = int(expert)
		}
	}
	return lists
}

// NewRankOrderResult encodes the result of an order.
func NewRankOrderResult(report ranks.Report, err error) *RankOrderResult {
	result := &RankOrderResult{Report: NewEngineReport(report)}
	switch {
	case err == nil:
		return result
	case errors.Is(err, ranks.ErrFenced):
		result.Result = RankOrderResult_FENCED
	case errors.Is(err, ranks.ErrRefused):
		result.Result = RankOrderResult_REFUSED
	default:
		result.Result = RankOrderResult_UNANSWERED
	}
	result.Detail = err.Error()
	return result
}

// Err returns the result as an error of package ranks, or nil if the order was
// executed.
func (x *RankOrderResult) Err() error {
	switch x.GetResult() {
	case RankOrderResult_DONE:
		return nil
	case RankOrderResult_REFUSED:
		return ranks.ErrRefused.New("%s", x.GetDetail())
	case RankOrderResult_FENCED:
		return ranks.ErrFenced.New("%s", x.GetDetail())
	default:
		return ranks.ErrUnanswered.New("%s", x.GetDetail())
	}
}
