package peer

import (
	"context"
	"net/netip"
	"slices"
	"sync"
	"time"

	"chervilswitch.example/shared/control"
	"chervilswitch.example/shared/events"

	"github.com/apex/log"
)

// peerLoop keeps one link to a peer and asks it for its state.
type peerLoop struct {
	address netip.AddrPort
	cancel  context.CancelFunc
	link    *Link
}

// updatePeers starts and ends loops so that they fit the configuration.
func (n *Node) updatePeers(ctx context.Context, group *sync.WaitGroup) {
	inventory := n.state.Config().Inventory()
	wanted := make(map[string]netip.AddrPort)
	every := make(map[string]time.Duration)
	for _, p := range control.Peers(inventory, n.state.Self()) {
		wanted[p.Name] = inventory.Instances[p.Name].Peer
		every[p.Name] = contactEvery
		if p.Source {
			every[p.Name] = askEvery
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
		group.Go(func() { n.keepPeer(peerContext, name, address, every[name]) })
	}
}

// Link is the present link to a peer, if there is one.
func (n *Node) Link(name string) (*Link, bool) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	loop, ok := n.peers[name]
	if !ok || loop.link == nil {
		return nil, false
	}
	return loop.link, true
}

// LinkOrDial gives the present link to a peer, or dials one that this process does not
// ask regularly. Release closes what was dialed.
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

// keepPeer dials a peer again and again until the context ends.
func (n *Node) keepPeer(ctx context.Context, name string, address netip.AddrPort, every time.Duration) {
	for ctx.Err() == nil {
		link, err := Dial(ctx, address, n.tls)
		if err == nil {
			n.setLink(name, address, link)
			err = n.askPeer(ctx, name, link, every)
			n.setLink(name, address, nil)
			_ = link.Close()
		}
		if ctx.Err() == nil {
			events.Log(n.options.Logger, events.PeerLost, log.Fields{"peer": name, "error": errorText(err)})
		}
		sleep(ctx, redialEvery)
	}
}

// askPeer asks for the peer's state until the link breaks or falls silent.
func (n *Node) askPeer(ctx context.Context, name string, link *Link, every time.Duration) error {
	stream, err := link.Open(&Open{Kind: &Open_Ask{Ask: &StateRequest{}}})
	if err != nil {
		return err
	}
	defer stream.Close()
	asked := time.Now()
	for {
		beat := new(Beat)
		if err := stream.ReceiveWithin(beat, askTimeout); err != nil {
			return err
		}
		if name == "" {
			name = beat.GetInstance() // A seed: its name is known from now on.
		}
		n.Send(control.PeerAnswer{AskedAt: asked, Beat: beat.Decode()})
		sleep(ctx, every)
		if ctx.Err() != nil {
			return nil
		}
		if name == beat.GetInstance() && n.replacesSeed(name, link) {
			return nil
		}
		asked = time.Now()
		if err := stream.Send(&StateRequest{}); err != nil {
			return err
		}
	}
}

// replacesSeed tells whether the peer of a seed link has a loop of its own.
func (n *Node) replacesSeed(name string, link *Link) bool {
	own, ok := n.Link(name)
	return ok && own != link
}

func (n *Node) askRecords(ctx context.Context, ask control.AskRecords) {
	link, ok := n.Link(ask.Peer)
	if !ok {
		link, ok = n.seedLink(ctx)
		if !ok {
			return
		}
		defer link.Close()
	}
	stream, err := link.Open(&Open{Kind: &Open_Records{Records: &RecordsRequest{From: uint64(ask.From)}}})
	if err != nil {
		return
	}
	defer stream.Close()
	answer := new(Records)
	if err := stream.ReceiveWithin(answer, askTimeout); err != nil {
		return
	}
	if event, err := answer.Decode(); err == nil {
		n.Send(event)
	}
}

// seedLink dials a seed, for a process that knows no inventory yet.
func (n *Node) seedLink(ctx context.Context) (*Link, bool) {
	for _, seed := range n.options.Seeds {
		if link, err := Dial(ctx, seed, n.tls); err == nil {
			return link, true
		}
	}
	return nil, false
}

// HandleStream serves the streams that every process understands. It returns
// false for those that the program must serve itself.
func (n *Node) HandleStream(ctx context.Context, first *Open, s *Stream) bool {
	switch kind := first.GetKind().(type) {
	case *Open_Ask:
		n.answerAsks(ctx, s)
	case *Open_Records:
		n.answerRecords(ctx, control.AskRecords{From: offset(kind.Records.GetFrom())}, s)
	case *Open_Rank:
		if event, ok := kind.Rank.Decode(); ok {
			n.Send(event)
		}
	default:
		return false
	}
	return true
}

func (n *Node) answerAsks(ctx context.Context, s *Stream) {
	stop := s.CloseWith(ctx)
	defer stop()
	for {
		var beat control.Beat
		if !n.Query(ctx, func(st *control.State) { beat = st.Beat(time.Now()) }) {
			return
		}
		if err := s.Send(NewBeat(beat)); err != nil {
			return
		}
		if err := s.Receive(new(StateRequest)); err != nil {
			return
		}
	}
}

func (n *Node) answerRecords(ctx context.Context, ask control.AskRecords, s *Stream) {
	var answer *Records
	var err error
	n.Query(ctx, func(st *control.State) {
		if !st.Config().Ready() {
			answer = new(Records)
			return
		}
		records, whole := st.Config().Tail(ask.From)
		var snapshot []control.Record
		if !whole {
			records = nil
			snapshot = st.Config().Snapshot("peer/" + st.Self().Instance)
		}
		answer, err = NewRecords(records, snapshot)
	})
	if err != nil || answer == nil {
		return
	}
	_ = s.Send(answer) // The peer asks again if the answer is lost.
}

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

// SendRankMessage sends what one rank says to another, through the instance that
// decides for it. A lost message is sent again by the rank that holds.
func (n *Node) SendRankMessage(from int, o control.RankOutput) {
	view := n.View()
	group := view.Inventory.Instances[n.options.Identity.Instance].Group
	m, ok := NewRankMessage(group, from, o)
	if !ok {
		return
	}
	for name, instance := range view.Inventory.Instances {
		if instance.Group == group && slices.Contains(instance.Ranks, int(m.GetTo())) {
			n.sendRank(name, m)
		}
	}
}

// sendRank does not block: it may be called on the control goroutine.
func (n *Node) sendRank(target string, m *RankMessage) {
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
