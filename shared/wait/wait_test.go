package wait

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

func TestSleepEndsWithItsContext(t *testing.T) {
	c := qt.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	c.Assert(Sleep(ctx, time.Millisecond), qt.IsTrue)
	c.Assert(Sleep(ctx, 0), qt.IsTrue)
	time.AfterFunc(10*time.Millisecond, cancel)
	c.Assert(Sleep(ctx, time.Hour), qt.IsFalse)
}
