package peer

import (
	"context"
	"net/netip"
	"slices"
	"sync"
	"time"

	"chervilswitch.example/shared/control"
	"chervilswitch.example/shared/events"
	"chervilswitch.example/shared/wait"

	"github.com/apex/log"
)

// peerLoop is the state of the goroutine that maintains the link to a peer and polls
// the state of the peer.
type peerLoop struct {
	address netip.AddrPort
	cancel  context.CancelFunc
	link    *Link // nil while the peer is not connected.
}

// updatePeers starts and ends peer loops to match the configuration.
func (n *Node) updatePeers(ctx context.Context, group *sync.WaitGroup) {
	inventory := n.state.Config().Inventory()
	wanted := make(map[string]netip.AddrPort)
	intervals := make(map[string]time.Duration)
	for _, p := range control.Peers(inventory, n.state.Self()) {
		wanted[p.Name] = inventory.Instances[p.Name].Peer
		intervals[p.Name] = contactInterval
		if p.Source {
			intervals[p.Name] = sourceInterval
		}
	}
	n.mutex.Lock()
	defer n.mutex.Unlock()
	for name, loop := range n.peers {
		if wanted[name] != loop.address {
			loop.cancel()
			delete(n.peers, name)
		}
	}
	for name, address := range wanted {
		if _, ok := n.peers[name]; ok {
			continue
		}
		peerContext, cancel := context.WithCancel(ctx)
		n.peers[name] = &peerLoop{address: address, cancel: cancel}
		group.Go(func() { n.maintainLink(peerContext, name, address, intervals[name]) })
	}
}

// Link returns the current link to a peer, if there is one.
func (n *Node) Link(name string) (*Link, bool) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	loop, ok := n.peers[name]
	if !ok || loop.link == nil {
		return nil, false
	}
	return loop.link, true
}

// LinkOrDial returns the current link to a peer, or dials a peer that this process does
// not poll. The function release closes a dialed link.
func (n *Node) LinkOrDial(ctx context.Context, name string) (link *Link, release func(), ok bool) {
	if link, ok := n.Link(name); ok {
		return link, func() {}, true
	}
	instance, known := n.View().Inventory.Instances[name]
	if !known {
		return nil, nil, false
	}
	link, err := Dial(ctx, instance.Peer, n.tls)
	if err != nil {
		return nil, nil, false
	}
	return link, func() { _ = link.Close() }, true
}

func (n *Node) setLink(name string, address netip.AddrPort, link *Link) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if loop, ok := n.peers[name]; ok && loop.address == address {
		loop.link = link
	}
}

// maintainLink dials a peer and polls it, and dials again when the link ends, until the
// context ends.
func (n *Node) maintainLink(ctx context.Context, name string, address netip.AddrPort, interval time.Duration) {
	for ctx.Err() == nil {
		link, err := Dial(ctx, address, n.tls)
		if err == nil {
			n.setLink(name, address, link)
			err = n.pollPeer(ctx, name, link, interval)
			n.setLink(name, address, nil)
			_ = link.Close()
		}
		if ctx.Err() == nil {
			events.Log(n.options.Logger, events.PeerLost, log.Fields{"peer": name, "error": errorText(err)})
		}
		wait.Sleep(ctx, redialInterval)
	}
}

// pollPeer requests the state of a peer periodically until the link fails or a response
// is late.
func (n *Node) pollPeer(ctx context.Context, name string, link *Link, interval time.Duration) error {
	stream, err := link.Open(&Open{Kind: &Open_Ask{Ask: &StateRequest{}}})
	if err != nil {
		return err
	}
	defer stream.Close()
	requestedAt := time.Now()
	for {
		heartbeat := new(Heartbeat)
		if err := stream.ReceiveWithin(heartbeat, responseTimeout); err != nil {
			return err
		}
		if name == "" {
			name = heartbeat.GetInstance() // The name of a seed is known from its first response.
		}
		n.Send(control.HeartbeatReceived{RequestedAt: requestedAt, Heartbeat: heartbeat.Decode()})
		wait.Sleep(ctx, interval)
		if ctx.Err() != nil {
			return nil
		}
		if name == heartbeat.GetInstance() && n.hasOtherLink(name, link) {
			return nil
		}
		requestedAt = time.Now()
		if err := stream.Send(&StateRequest{}); err != nil {
			return err
		}
	}
}

// hasOtherLink reports whether another loop has a link to the peer, which makes the
// link to the seed redundant.
func (n *Node) hasOtherLink(name string, link *Link) bool {
	current, ok := n.Link(name)
	return ok && current != link
}

func (n *Node) fetchRecords(ctx context.Context, request control.FetchRecords) {
	link, ok := n.Link(request.Peer)
	if !ok {
		link, ok = n.dialSeed(ctx)
		if !ok {
			return
		}
		defer link.Close()
	}
	stream, err := link.Open(&Open{Kind: &Open_Records{Records: &RecordsRequest{From: uint64(request.From)}}})
	if err != nil {
		return
	}
	defer stream.Close()
	response := new(Records)
	if err := stream.ReceiveWithin(response, responseTimeout); err != nil {
		return
	}
	if event, err := response.Decode(); err == nil {
		n.Send(event)
	}
}

// dialSeed connects to the first reachable seed, for a process without an inventory.
func (n *Node) dialSeed(ctx context.Context) (*Link, bool) {
	for _, seed := range n.options.Seeds {
		if link, err := Dial(ctx, seed, n.tls); err == nil {
			return link, true
		}
	}
	return nil, false
}

// HandleStream serves a stream of a kind that every process supports. It returns false
// for other kinds, which the program must serve itself.
func (n *Node) HandleStream(ctx context.Context, first *Open, s *Stream) bool {
	switch kind := first.GetKind().(type) {
	case *Open_Ask:
		n.serveState(ctx, s)
	case *Open_Records:
		n.serveRecords(ctx, control.FetchRecords{From: offset(kind.Records.GetFrom())}, s)
	case *Open_Rank:
		if event, ok := kind.Rank.Decode(); ok {
			n.Send(event)
		}
	default:
		return false
	}
	return true
}

func (n *Node) serveState(ctx context.Context, s *Stream) {
	stop := s.CloseOnDone(ctx)
	defer stop()
	for {
		var heartbeat control.Heartbeat
		if !n.Query(ctx, func(st *control.State) { heartbeat = st.Heartbeat(time.Now()) }) {
			return
		}
		if err := s.Send(NewHeartbeat(heartbeat)); err != nil {
			return
		}
		if err := s.Receive(new(StateRequest)); err != nil {
			return
		}
	}
}

func (n *Node) serveRecords(ctx context.Context, request control.FetchRecords, s *Stream) {
	var response *Records
	var err error
	n.Query(ctx, func(st *control.State) {
		if !st.Config().Ready() {
			response = new(Records)
			return
		}
		records, available := st.Config().Tail(request.From)
		var snapshot []control.Record
		if !available {
			records = nil
			snapshot = st.Config().Snapshot("peer/" + st.Self().Instance)
		}
		response, err = NewRecords(records, snapshot)
	})
	if err != nil || response == nil {
		return
	}
	_ = s.Send(response) // The peer repeats the request if the response is lost.
}

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

// SendRankMessage sends a message of one rank to the instance whose agent controls the
// receiving rank. The message may be lost: a rank that waits for votes requests them
// again.
func (n *Node) SendRankMessage(from int, o control.RankOutput) {
	view := n.View()
	group := view.Inventory.Instances[n.options.Identity.Instance].Group
	m, ok := NewRankMessage(group, from, o)
	if !ok {
		return
	}
	for name, instance := range view.Inventory.Instances {
		if instance.Group == group && slices.Contains(instance.Ranks, int(m.GetTo())) {
			n.sendToInstance(name, m)
		}
	}
}

// sendToInstance sends a message to an instance, or to this process. It does not block,
// so it can be called on the control goroutine.
func (n *Node) sendToInstance(target string, m *RankMessage) {
	if target == n.options.Identity.Instance {
		if event, ok := m.Decode(); ok {
			go n.Send(event)
		}
		return
	}
	link, ok := n.Link(target)
	if !ok {
		return
	}
	go func() {
		if s, err := link.Open(&Open{Kind: &Open_Rank{Rank: m}}); err == nil {
			_ = s.Close()
		}
	}()
}
