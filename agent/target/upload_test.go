package target

import (
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"chervilswitch.example/shared/peer"
	"chervilswitch.example/shared/tcp/tcptest"

	qt "github.com/frankban/quicktest"
)

// upload sends a long body with forwardTo.
func upload(t *testing.T, respond func(conn *net.TCPConn, request *http.Request)) (*output, []byte, error) {
	const uploadBytes = 1 << 20
	header := http.Header{"Content-Length": {strconv.Itoa(uploadBytes)}}
	submit := &peer.Submit{Method: http.MethodPost, Path: "/", Headers: peer.NewHeaders(header)}
	return forwardTo(t, submit, strings.NewReader(strings.Repeat("x", uploadBytes)), respond)
}

// A target answers an upload with a response without a length, sends a part of its body and
// breaks off while the upload is being written. The part is no complete answer.
func TestAnswerCutDuringUploadIsNotComplete(t *testing.T) {
	const uploads = 100
	for ending, linger := range map[string]int{"reset": 0, "close": -1} {
		t.Run(ending, func(t *testing.T) {
			c := qt.New(t)
			var group sync.WaitGroup
			for range uploads {
				group.Go(func() {
					_, received, err := upload(t, func(conn *net.TCPConn, _ *http.Request) {
						_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\npart")
						c.Check(tcptest.AwaitUnread(conn), qt.IsNil)
						c.Check(conn.SetLinger(linger), qt.IsNil)
					})
					c.Check(err, qt.IsNotNil, qt.Commentf("%q looks complete", received))
				})
			}
			group.Wait()
		})
	}
}

// A target answers an upload with a whole response and reads the rest of the upload later, or
// closes in order.
func TestEarlyAnswerIsForwardedWhole(t *testing.T) {
	const uploads = 50
	for name, test := range map[string]struct {
		text string
		end  func(conn *net.TCPConn) error
	}{
		"length":    {"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole", func(*net.TCPConn) error { return nil }},
		"no length": {"HTTP/1.1 200 OK\r\n\r\nwhole", (*net.TCPConn).CloseWrite},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			var group sync.WaitGroup
			for range uploads {
				group.Go(func() {
					_, received, err := upload(t, func(conn *net.TCPConn, _ *http.Request) {
						_, _ = io.WriteString(conn, test.text)
						c.Check(test.end(conn), qt.IsNil)
						time.Sleep(20 * time.Millisecond)
						_, _ = io.Copy(io.Discard, conn)
					})
					c.Check(err, qt.IsNil)
					c.Check(string(received), qt.Equals, "whole")
				})
			}
			group.Wait()
		})
	}
}
