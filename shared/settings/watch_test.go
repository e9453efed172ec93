package settings

import (
	"context"
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// A process that is told that its settings changed goes on and reads them; the
// first bench round ended processes by this signal.
func TestHangupReadsSettings(t *testing.T) {
	c := qt.New(t)
	file := filepath.Join(t.TempDir(), "settings.json")
	c.Assert(os.WriteFile(file, []byte("{}"), 0o600), qt.IsNil)
	changed := make(chan struct{}, 8)
	IgnoreHangup()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go Watch(ctx, file, func() { changed <- struct{}{} })
	time.Sleep(50 * time.Millisecond)
	c.Assert(syscall.Kill(os.Getpid(), syscall.SIGHUP), qt.IsNil)
	c.Assert(os.WriteFile(file, []byte(`{"instance":"a"}`), 0o600), qt.IsNil)
	select {
	case <-changed:
	case <-time.After(5 * time.Second):
		t.Fatal("the change was not noticed")
	}
	c.Assert(len(changed), qt.Equals, 0)
}
