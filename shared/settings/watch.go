package settings

import (
	"bytes"
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// watchInterval is how often the file is looked at: it may change without a signal.
const watchInterval = time.Second

// Watch calls changed when a file has other content, on SIGHUP or soon after the
// change, until the context ends. From its call on, SIGHUP does not end the process.
func Watch(ctx context.Context, file string, changed func()) {
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	defer signal.Stop(hup)
	known, _ := os.ReadFile(file) // A file that cannot be read is reported when it changes.
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
		if err != nil || bytes.Equal(content, known) {
			continue
		}
		known = content
		changed()
	}
}

// IgnoreHangup keeps SIGHUP from ending the process before Watch begins.
func IgnoreHangup() { signal.Ignore(syscall.SIGHUP) }
