package peer

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/netip"
	"testing"
	"time"

	"chervilswitch.example/shared/control"

	qt "github.com/frankban/quicktest"
)

// bytesConn is a connection that supports only reads.
type bytesConn struct {
	net.Conn
	reader io.Reader
}

func (b *bytesConn) Read(p []byte) (int, error) { return b.reader.Read(p) }

func FuzzStream(f *testing.F) {
	f.Add([]byte{2, 10, 0})
	f.Add([]byte{0xff, 0xff, 0xff, 0xff, 0x0f})
	f.Fuzz(func(t *testing.T, data []byte) {
		s := NewStream(&bytesConn{reader: bytes.NewReader(data)})
		for {
			open := new(Open)
			if err := s.Receive(open); err != nil {
				if !errors.Is(err, ErrLink) {
					t.Fatalf("error does not match ErrLink: %v", err)
				}
				return
			}
			open.GetRank().Decode()
			open.GetAsk().GetFrom().Decode()
		}
	})
}

func TestLinkCarriesStreams(t *testing.T) {
	c := qt.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	go func() {
		_ = Serve(ctx, listener, func(_ context.Context, first *Open, s *Stream) {
			_ = s.Send(&Records{Records: []*LogRecord{{Offset: first.GetRecords().GetFrom()}}})
		})
	}()
	address := listener.Addr().(*net.TCPAddr).AddrPort()
	link, err := Dial(ctx, netip.AddrPortFrom(address.Addr(), address.Port()), nil)
	c.Assert(err, qt.IsNil)
	defer link.Close()
	for from := range uint64(3) {
		s, err := link.Open(&Open{Kind: &Open_Records{Records: &RecordsRequest{From: from}}})
		c.Assert(err, qt.IsNil)
		response := new(Records)
		c.Assert(s.ReceiveWithin(response, time.Minute), qt.IsNil)
		event, err := response.Decode()
		c.Assert(err, qt.IsNil)
		c.Assert(uint64(event.Records[0].Offset), qt.Equals, from)
	}
}

func TestHopByHopFieldsAreNotEncoded(t *testing.T) {
	c := qt.New(t)
	header := http.Header{
		"Connection": {"close, X-Mine"}, "X-Mine": {"1"}, "Te": {"trailers"}, "Accept": {"a", "b"}, "Transfer-Encoding": {"chunked"},
	}
	back := make(http.Header)
	AddHeaders(back, NewHeaders(header))
	c.Assert(back, qt.DeepEquals, http.Header{"Accept": {"a", "b"}})
}

func TestRankMessageRoundTrip(t *testing.T) {
	c := qt.New(t)
	vote := control.RankVoted{Proposal: control.ProposalID{Fencing: 3, Number: 4}, From: 1, Incarnation: 9, Vote: control.VoteArmed}
	m, ok := NewRankMessage("g", 1, control.RankSendVote{To: 2, Vote: vote})
	c.Assert(ok, qt.IsTrue)
	event, ok := m.Decode()
	c.Assert(ok, qt.IsTrue)
	c.Assert(event, qt.DeepEquals, control.RankEvent{Rank: 2, Input: vote})
	_, ok = NewRankMessage("g", 1, control.RankHoldStep{})
	c.Assert(ok, qt.IsFalse)
}
