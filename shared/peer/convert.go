package peer

import (
	"encoding/json"
	"time"

	"chervilswitch.example/shared/control"
	"chervilswitch.example/shared/operator"
	"chervilswitch.example/shared/platform"
)

// NewHeartbeat encodes the state of a process.
func NewHeartbeat(h control.Heartbeat) *Heartbeat {
	return &Heartbeat{
		Instance:       h.Instance,
		DataCentre:     h.DataCentre,
		Role:           string(h.Role),
		Incarnation:    h.Incarnation,
		Service:        h.Service,
		Applied:        uint64(h.Applied),
		EvidenceAge:    int64(h.EvidenceAge),
		EvidenceOffset: uint64(h.EvidenceOffset),
		Load:           NewLoad(h.Load),
		Ranks:          newRankStates(h.Ranks),
	}
}

func newRankStates(states []control.RankState) []*RankState {
	encoded := make([]*RankState, 0, len(states))
	for _, r := range states {
		encoded = append(encoded, &RankState{
			Rank: int32(r.Rank), Incarnation: r.Incarnation,
			Generation: r.Next.Generation, Step: r.Next.Step, Map: uint64(r.Map),
		})
	}
	return encoded
}

func (x *Heartbeat) rankStates() []control.RankState {
	var states []control.RankState
	for _, r := range x.GetRanks() {
		states = append(states, control.RankState{
			Rank: int(r.GetRank()), Incarnation: r.GetIncarnation(),
			Next: control.Position{Generation: r.GetGeneration(), Step: r.GetStep()}, Map: control.MapVersion(r.GetMap()),
		})
	}
	return states
}

// Decode decodes the state of a process.
func (x *Heartbeat) Decode() control.Heartbeat {
	return control.Heartbeat{
		Instance:       x.GetInstance(),
		DataCentre:     x.GetDataCentre(),
		Role:           operator.Role(x.GetRole()),
		Incarnation:    x.GetIncarnation(),
		Service:        x.GetService(),
		Applied:        platform.Offset(x.GetApplied()),
		EvidenceAge:    time.Duration(x.GetEvidenceAge()),
		EvidenceOffset: platform.Offset(x.GetEvidenceOffset()),
		Load:           x.GetLoad().Decode(),
		Ranks:          x.rankStates(),
	}
}

// NewLoad encodes the load of an agent.
func NewLoad(l control.Load) *Load {
	return &Load{
		Running:     int64(l.Running),
		Limit:       int64(l.Limit),
		Credit:      int64(l.Credit),
		FirstOutput: int64(l.FirstOutput),
		Cold:        l.Cold,
		Closed:      l.Closed,
	}
}

// Decode decodes the load of an agent. A nil message decodes to the zero load.
func (x *Load) Decode() control.Load {
	return control.Load{
		Running:     int(x.GetRunning()),
		Limit:       int(x.GetLimit()),
		Credit:      int(x.GetCredit()),
		FirstOutput: time.Duration(x.GetFirstOutput()),
		Cold:        x.GetCold(),
		Closed:      x.GetClosed(),
	}
}

// NewVerdict encodes the verdict and the load of an agent.
func NewVerdict(v control.Verdict, l control.Load) *AttemptResponse {
	return &AttemptResponse{Kind: &AttemptResponse_Verdict{Verdict: &Verdict{
		Outcome: string(v.Outcome), Code: string(v.Code), Owner: v.Owner, Load: NewLoad(l),
	}}}
}

// Decode decodes the verdict of an agent.
func (x *Verdict) Decode() control.Verdict {
	return control.Verdict{
		Outcome: control.Outcome(x.GetOutcome()),
		Code:    control.Code(x.GetCode()),
		Owner:   x.GetOwner(),
	}
}

// NewRecords encodes configuration records, or a snapshot, for a peer that is behind.
// It returns an error if a record of the snapshot cannot be encoded.
func NewRecords(records []platform.Record, snapshot []control.Record) (*Records, error) {
	response := new(Records)
	for _, r := range records {
		response.Records = append(response.Records, &LogRecord{Offset: uint64(r.Offset), Data: r.Data})
	}
	for _, r := range snapshot {
		r.Format = control.RecordFormat
		raw, err := r.Encode()
		if err != nil {
			return nil, err
		}
		response.Snapshot = append(response.Snapshot, raw)
	}
	return response, nil
}

// Decode decodes the records and the snapshot. Errors match control.ErrInvalidRecord.
func (x *Records) Decode() (control.RecordsReceived, error) {
	var event control.RecordsReceived
	for _, r := range x.GetRecords() {
		event.Records = append(event.Records, platform.Record{
			Offset: platform.Offset(r.GetOffset()), Data: json.RawMessage(r.GetData()),
		})
	}
	for _, raw := range x.GetSnapshot() {
		r, err := control.DecodeRecord(raw)
		if err != nil {
			return control.RecordsReceived{}, err
		}
		event.Snapshot = append(event.Snapshot, r)
	}
	return event, nil
}

// newProposal encodes a proposal for the expert map of a group.
func newProposal(p control.Proposal) *Proposal {
	return &Proposal{
		Fencing: uint64(p.Fencing), Number: p.Number, Map: uint64(p.Map),
		Generation: p.At.Generation, Step: p.At.Step, Incarnations: p.Incarnations,
	}
}

func (x *Proposal) control() control.Proposal {
	return control.Proposal{
		Fencing: platform.Offset(x.GetFencing()), Number: x.GetNumber(), Map: control.MapVersion(x.GetMap()),
		At:           control.Position{Generation: x.GetGeneration(), Step: x.GetStep()},
		Incarnations: x.GetIncarnations(),
	}
}

// NewRankMessage encodes an output of a rank that is a message to another rank. It
// returns false for other outputs.
func NewRankMessage(group string, from int, o control.RankOutput) (*RankMessage, bool) {
	m := &RankMessage{Group: group, From: int32(from)}
	switch o := o.(type) {
	case control.RankSendVote:
		m.To = int32(o.To)
		m.Kind = &RankMessage_Vote{Vote: &RankVote{
			Fencing: uint64(o.Vote.Proposal.Fencing), Number: o.Vote.Proposal.Number,
			Incarnation: o.Vote.Incarnation, Vote: int32(o.Vote.Vote),
		}}
	case control.RankRequestVote:
		m.To = int32(o.To)
		m.Kind = &RankMessage_Asked{Asked: newProposal(o.Proposal)}
	default:
		return nil, false
	}
	return m, true
}

// NewProposalMessage encodes the proposal of a coordinator to one rank.
func NewProposalMessage(group string, to int, p control.Proposal) *RankMessage {
	return &RankMessage{Group: group, To: int32(to), Kind: &RankMessage_Proposed{Proposed: newProposal(p)}}
}

// Decode decodes a message to a rank. It returns false if the kind is unknown.
func (x *RankMessage) Decode() (control.RankEvent, bool) {
	event := control.RankEvent{Rank: int(x.GetTo())}
	switch kind := x.GetKind().(type) {
	case *RankMessage_Proposed:
		event.Input = control.RankProposed{Proposal: kind.Proposed.control()}
	case *RankMessage_Asked:
		event.Input = control.RankVoteRequested{Proposal: kind.Asked.control(), From: int(x.GetFrom())}
	case *RankMessage_Vote:
		event.Input = control.RankVoted{
			Proposal:    control.ProposalID{Fencing: platform.Offset(kind.Vote.GetFencing()), Number: kind.Vote.GetNumber()},
			From:        int(x.GetFrom()),
			Incarnation: kind.Vote.GetIncarnation(),
			Vote:        control.Vote(kind.Vote.GetVote()),
		}
	default:
		return control.RankEvent{}, false
	}
	return event, true
}

func offset(v uint64) platform.Offset { return platform.Offset(v) }
