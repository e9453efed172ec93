package fault

import (
	"errors"
	"fmt"
	"io"
	"testing"

	qt "github.com/frankban/quicktest"
)

func TestErrorsMatchTheirSentinel(t *testing.T) {
	c := qt.New(t)
	link, other := NewSentinel("peer", "link"), NewSentinel("peer", "other")
	err := fmt.Errorf("outer: %w", link.Wrap(io.EOF, "receive %d", 1))
	c.Assert(errors.Is(err, link), qt.IsTrue)
	c.Assert(errors.Is(err, io.EOF), qt.IsTrue)
	c.Assert(errors.Is(err, other), qt.IsFalse)
	c.Assert(errors.Is(link.New("closed"), link), qt.IsTrue)
	c.Assert(err, qt.ErrorMatches, "outer: peer.link: receive 1, cause: EOF")
}
