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

// Operators announce changed settings with SIGHUP, which by default ends a process.
// Daemons must instead keep running and read the settings.
func TestWatchReportsChangeAndSurvivesHangup(t *testing.T) {
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
		t.Fatal("the change of the file was not reported within 5 seconds")
	}
	c.Assert(len(changed), qt.Equals, 0)
}
