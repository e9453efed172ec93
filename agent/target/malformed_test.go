package target

import (
	"context"
	"io"
	"net"
	"net/http"
	"testing"

	"chervilswitch.example/shared/peer"
	"chervilswitch.example/shared/tcp/tcptest"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	qt "github.com/frankban/quicktest"
)

// forwardTo sends an attempt with a body to a target that writes any bytes. It returns what
// the attempt's readers get of the head and the error that ended the attempt.
func forwardTo(t *testing.T, submit *peer.Submit, body io.Reader, respond func(conn *net.TCPConn, request *http.Request)) (*output, []byte, error) {
	agent := NewAgent(Options{Target: tcptest.Serve(t, respond)}, &log.Logger{Handler: discard.Default})
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	reader, writer := io.Pipe()
	defer reader.Close()
	go func() {
		_, err := io.Copy(writer, body)
		_ = writer.CloseWithError(err)
	}()
	o := newOutput("request", "organisation", 0, cancel)
	response, err := agent.sendRequest(ctx, "attempt", &pendingAttempt{submit: submit, body: reader}, o)
	if err != nil {
		return o, nil, err
	}
	defer response.Body.Close()
	received, err := io.ReadAll(response.Body)
	return o, received, err
}

// A target in trouble sends a head that is none. Entries get nothing of it.
func TestMalformedResponseOfTheTargetIsNotForwarded(t *testing.T) {
	const body = "Content-Length: 9\r\n\r\nmalformed"
	for name, text := range map[string]string{
		"status 000":            "HTTP/1.1 000 Trouble\r\n" + body,
		"status 999":            "HTTP/1.1 999 Trouble\r\n" + body,
		"blank in name":         "HTTP/1.1 200 OK\r\nX Name: v\r\n" + body,
		"length with blank":     "HTTP/1.1 200 OK\r\nContent-Length : 3\r\n\r\nmalformed",
		"control in name":       "HTTP/1.1 200 OK\r\nX\x01Name: v\r\n" + body,
		"blank in interim name": "HTTP/1.1 103 Early Hints\r\nX Name: v\r\n\r\nHTTP/1.1 200 OK\r\n" + body,
	} {
		for way, idempotent := range map[string]bool{"kept connection": true, "own connection": false} {
			t.Run(name+"/"+way, func(t *testing.T) {
				c := qt.New(t)
				submit := &peer.Submit{Method: http.MethodGet, Path: "/", Idempotent: idempotent}
				o, received, err := forwardTo(t, submit, http.NoBody, func(conn *net.TCPConn, _ *http.Request) { _, _ = io.WriteString(conn, text) })
				c.Check(err, qt.IsNotNil)
				c.Check(string(received), qt.Equals, "")
				c.Check(o.interim, qt.HasLen, 0)
			})
		}
	}
}
