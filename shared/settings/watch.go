package settings

import (
	"bytes"
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// watchInterval is the interval at which the file is read, since it may change without
// a signal.
const watchInterval = time.Second

// Watch calls onChange whenever the content of a file has changed, until the context
// ends. It reads the file on SIGHUP and once per second. While it runs, SIGHUP does not
// end the process.
func Watch(ctx context.Context, file string, onChange func()) {
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	defer signal.Stop(hup)
	previous, _ := os.ReadFile(file) // An unreadable file counts as empty.
	ticker := time.NewTicker(watchInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-hup:
		case <-ticker.C:
		}
		content, err := os.ReadFile(file)
		if err != nil || bytes.Equal(content, previous) {
			continue
		}
		previous = content
		onChange()
	}
}

// IgnoreHangup prevents SIGHUP from ending the process before Watch runs.
func IgnoreHangup() { signal.Ignore(syscall.SIGHUP) }
