package caller

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"chervilswitch.example/platform/platformtest"
	"chervilswitch.example/shared/settings"

	qt "github.com/frankban/quicktest"
)

// sendRaw sends a request as it is, in two parts with a pause, and returns the status of the
// response and whether the connection ended after it.
func (d *deployment) sendRaw(parts ...string) (status int, closed bool) {
	conn, err := net.Dial("tcp", d.routers[0].options.Callers.String())
	d.Assert(err, qt.IsNil)
	defer conn.Close()
	for i, part := range parts {
		if i > 0 {
			time.Sleep(50 * time.Millisecond)
		}
		_, err = io.WriteString(conn, part)
		d.Assert(err, qt.IsNil)
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	d.Assert(err, qt.IsNil)
	_, _ = io.Copy(io.Discard, response.Body)
	return response.StatusCode, response.Close
}

func rawHead(path, attempt string, lines ...string) string {
	return "POST " + path + " HTTP/1.1\r\nHost: " + platformtest.Host + "\r\nAuthorization: Token " + testKey + "\r\n" +
		platformtest.AttemptLine(attempt) + "\r\n" + strings.Join(lines, "\r\n") + "\r\n\r\n"
}

// A body that arrives slowly, in any framing, is served while there is room.
func TestSlowBodiesAreServed(t *testing.T) {
	d := deploy(t, 1, map[string]platformtest.Handler{"i-1": echo})
	routes := testRoutes("svc")
	for i := range routes {
		routes[i].Timeout = time.Minute // Longer than the machine can make the pieces take.
	}
	d.store.PutConfiguration(platformtest.Configuration(2, routes, map[string]string{testKey: "org"}))
	d.eventually("the configuration is in force", func() bool { return d.routers[0].core.View().Configuration.Version == 2 })
	pieces := strings.Split(strings.Repeat("a", 20), "")
	status, closed := d.sendRaw(append([]string{rawHead(nonIdempotentPath, "a", "Content-Length: 20")}, pieces...)...)
	d.Check(status, qt.Equals, http.StatusOK)
	d.Check(closed, qt.IsFalse)
	for i := range pieces {
		pieces[i] = "1\r\n" + pieces[i] + "\r\n"
	}
	parts := append([]string{rawHead(nonIdempotentPath, "b", "Transfer-Encoding: chunked")}, pieces...)
	status, closed = d.sendRaw(append(parts, "0\r\n\r\n")...)
	d.Check(status, qt.Equals, http.StatusOK)
	d.Check(closed, qt.IsFalse)
	for _, run := range d.replicas["i-1"].Runs() {
		d.Check(run.Body, qt.Equals, strings.Repeat("a", 20))
	}
}

// Requests outside the limits, and those whose body does not come, end without a run.
func TestRequestsOutsideTheLimitsDoNotRun(t *testing.T) {
	d := deploy(t, 1, map[string]platformtest.Handler{"i-1": echo})
	d.routers[0].options.BodyTimeout = settings.Duration(200 * time.Millisecond)
	configuration := platformtest.Configuration(2, testRoutes("svc"), map[string]string{testKey: "org"})
	configuration["limits"] = map[string]any{"maxHeaderBytes": 1000, "maxBodyBytes": 100}
	d.store.PutConfiguration(configuration)
	d.eventually("the configuration is in force", func() bool { return d.routers[0].core.View().Configuration.Version == 2 })
	for name, test := range map[string]struct {
		request string
		status  int
	}{
		"announced too large":  {rawHead(nonIdempotentPath, "a", "Content-Length: 101"), http.StatusRequestEntityTooLarge},
		"too large":            {rawHead(nonIdempotentPath, "a", "Transfer-Encoding: chunked") + fmt.Sprintf("%x\r\n%s", 200, strings.Repeat("a", 101)), http.StatusRequestEntityTooLarge},
		"head too large":       {rawHead(nonIdempotentPath, "a", "Long: "+strings.Repeat("a", 1000)), http.StatusRequestHeaderFieldsTooLarge},
		"stops before its end": {rawHead(nonIdempotentPath, "a", "Content-Length: 100") + "a", http.StatusServiceUnavailable},
		"stops in a chunk":     {rawHead(nonIdempotentPath, "a", "Transfer-Encoding: chunked") + "3\r\na", http.StatusServiceUnavailable},
	} {
		status, closed := d.sendRaw(test.request)
		d.Check(status, qt.Equals, test.status, qt.Commentf(name))
		d.Check(closed || status == http.StatusRequestHeaderFieldsTooLarge, qt.IsTrue, qt.Commentf(name))
	}
	d.Check(d.replicas["i-1"].Runs(), qt.HasLen, 0)
	status, _ := d.sendRaw(rawHead(nonIdempotentPath, "b", "Content-Length: 100") + strings.Repeat("a", 100))
	d.Check(status, qt.Equals, http.StatusOK)
}
