package caller

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"chervilswitch.example/platform/platformtest"
	"chervilswitch.example/shared/admission"
	"chervilswitch.example/shared/events"
	"chervilswitch.example/shared/fleet"
	"chervilswitch.example/shared/settings"

	qt "github.com/frankban/quicktest"
)

const (
	testKey           = "k1"
	idempotentPath    = "/plain/"
	nonIdempotentPath = "/once/"
	streamPath        = "/stream/"
	testDeadline      = 2 * time.Second
)

// deployment is a set of routers with a simulated store and simulated targets.
type deployment struct {
	*qt.C
	store        *platformtest.Store
	storeAddress netip.AddrPort
	routers      []*Router
	stops        []context.CancelFunc
	ended        []chan error
	replicas     map[string]*platformtest.Replica
	client       *http.Client
	seeds        []netip.AddrPort
	log          io.Writer // Receives the logs of instances that start.
}

func testRoutes(service string) []platformtest.Route {
	return []platformtest.Route{
		{Prefix: idempotentPath, Kind: "safe", Service: service, Attempts: 2, Timeout: testDeadline, Objective: 100 * time.Millisecond},
		{Prefix: nonIdempotentPath, Kind: "unsafe", Service: service, Attempts: 1, Timeout: testDeadline, Objective: 100 * time.Millisecond},
		{Prefix: streamPath, Kind: "streaming", Service: service, Attempts: 2, Timeout: 4 * time.Second, Objective: 500 * time.Millisecond, Resume: true},
	}
}

// deploy starts entry instances and the replicas of one service. handlers lists the
// replicas' handlers by id.
func deploy(t *testing.T, instances int, handlers map[string]platformtest.Handler) *deployment {
	return deployWithLog(t, io.Discard, instances, handlers)
}

// deployWithLog is deploy with a writer that receives the instances' logs. It may be read
// once they have ended.
func deployWithLog(t *testing.T, logged io.Writer, instances int, handlers map[string]platformtest.Handler) *deployment {
	d := &deployment{
		log: logged,
		C:   qt.New(t), store: &platformtest.Store{}, replicas: make(map[string]*platformtest.Replica),
		client: &http.Client{Transport: &http.Transport{DisableCompression: true}},
	}
	d.storeAddress = d.store.Start()
	t.Cleanup(d.store.Close)
	d.store.PutConfiguration(platformtest.Configuration(1, testRoutes("svc"), map[string]string{testKey: "org"}))
	for id, handler := range handlers {
		d.startReplica(t, id, handler)
	}
	for range instances {
		d.startInstance(t)
	}
	for _, r := range d.routers {
		d.eventually("an instance is ready", func() bool { return platformtest.Ready(r.options.Readiness) })
	}
	return d
}

// startReplica starts and registers a replica.
func (d *deployment) startReplica(t *testing.T, id string, handler platformtest.Handler) {
	r, err := platformtest.StartReplica(id, handler)
	d.Assert(err, qt.IsNil)
	t.Cleanup(r.Close)
	d.replicas[id] = r
	d.store.PutTarget(id, r.Registration("svc", "dc-a", "ready"))
}

// startInstance adds an entry instance.
func (d *deployment) startInstance(t *testing.T) *Router {
	free := freeAddresses(d.C, 5)
	o := Options{
		File: filepath.Join(t.TempDir(), "none.json"), Instance: "entry-" + string(rune('a'+len(d.routers))), DataCentre: "dc-a",
		Callers: free[0], Readiness: free[1], Resolution: free[2], Peers: free[3], Operators: free[4], Store: d.storeAddress, SidecarPort: 1, Seeds: d.seeds,
		RetryRatio: 0.2, RetrySlack: 90,
		GracePeriod: settings.Duration(time.Second), AddressKeep: settings.Duration(time.Second),
	}
	sink := events.NewSink(d.log)
	r := NewRouter(o, events.NewLogger(sink))
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() {
		err := r.Serve(ctx)
		sink.Close() // The log may be read afterwards.
		ended <- err
	}()
	d.routers, d.stops, d.ended = append(d.routers, r), append(d.stops, stop), append(d.ended, ended)
	t.Cleanup(func() { // Waits, so that no goroutine outlives the test.
		stop()
		<-ended
	})
	return r
}

func freeAddresses(c *qt.C, count int) []netip.AddrPort {
	c.Helper()
	addresses, err := platformtest.FreeAddresses(count)
	c.Assert(err, qt.IsNil)
	return addresses
}

// eventually fails the test unless the condition becomes true within 8 s.
func (d *deployment) eventually(description string, condition func() bool) {
	d.Helper()
	for deadline := time.Now().Add(8 * time.Second); time.Now().Before(deadline); time.Sleep(5 * time.Millisecond) {
		if condition() {
			return
		}
	}
	d.Fatalf("condition not met within 8 s: %s", description)
}

// awaitMembership waits until all instances know each other.
func (d *deployment) awaitMembership() {
	d.Helper()
	d.eventually("all instances know each other", func() bool {
		for _, r := range d.routers {
			if len(r.entries.Callers()) != len(d.routers) {
				return false
			}
		}
		return true
	})
}

// result is the response that a caller received.
type result struct {
	status int
	body   string
	header http.Header
	// cut reports whether the response was cut off.
	cut bool
}

// call sends a request to the first instance.
func (d *deployment) call(ctx context.Context, c platformtest.Call) (result, error) {
	return d.callInstance(ctx, d.routers[0], c)
}

func (d *deployment) callInstance(ctx context.Context, r *Router, c platformtest.Call) (result, error) {
	if c.Key == "" {
		c.Key = testKey
	}
	if c.Method == "" {
		c.Method = http.MethodPost
	}
	request, err := c.Request(ctx, r.options.Callers)
	d.Assert(err, qt.IsNil)
	response, err := d.client.Do(request)
	if err != nil {
		return result{}, err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return result{status: response.StatusCode, body: string(body), header: response.Header, cut: err != nil}, nil
}

func (d *deployment) mustCall(c platformtest.Call) result {
	d.Helper()
	a, err := d.call(context.Background(), c)
	d.Assert(err, qt.IsNil)
	return a
}

func echo(w *platformtest.ResponseWriter, r platformtest.Run) {
	w.WriteResponse(http.StatusOK, "echo "+r.Attempt)
}

func (d *deployment) runs() (all []platformtest.Run) {
	for _, r := range d.replicas {
		all = append(all, r.Runs()...)
	}
	return all
}

func TestRequestReachesTargetUnchanged(t *testing.T) {
	d := deploy(t, 1, map[string]platformtest.Handler{"i-1": echo})
	a := d.mustCall(platformtest.Call{Path: nonIdempotentPath + "x%2Fy?q=1&r=%20", Attempt: "a1", Body: "the body", Left: time.Second})
	d.Assert(a.status, qt.Equals, http.StatusOK)
	d.Assert(a.body, qt.Equals, "echo a1")
	d.Assert(platformtest.Signed(a.header), qt.IsTrue)
	runs := d.replicas["i-1"].Runs()
	d.Assert(runs, qt.HasLen, 1)
	d.Assert(runs[0].URI, qt.Equals, nonIdempotentPath+"x%2Fy?q=1&r=%20")
	d.Assert(runs[0].Body, qt.Equals, "the body")
	d.Assert(runs[0].Tenant, qt.Equals, "org")
	d.Assert(runs[0].Key, qt.Equals, "")
	d.Assert(runs[0].Deadline > 900*time.Millisecond && runs[0].Deadline <= time.Second, qt.IsTrue, qt.Commentf("%s", runs[0].Deadline))
}

func TestDenialsRequireCurrentConfiguration(t *testing.T) {
	d := deploy(t, 1, map[string]platformtest.Handler{"i-1": echo})
	d.Assert(d.mustCall(platformtest.Call{Path: idempotentPath, Attempt: "a", Key: "wrong"}).status, qt.Equals, http.StatusUnauthorized)
	d.Assert(d.mustCall(platformtest.Call{Path: "/nowhere/", Attempt: "b"}).status, qt.Equals, http.StatusNotFound)
	d.Assert(d.runs(), qt.HasLen, 0)
	// A configuration that cannot be confirmed does not justify a permanent denial.
	d.store.SetFault(platformtest.Unavailable)
	var a result
	d.eventually("the denial is temporary", func() bool {
		a = d.mustCall(platformtest.Call{Path: "/nowhere/", Attempt: "c"})
		return a.status == http.StatusServiceUnavailable
	})
	d.Assert(platformtest.RetryAfter(a.header), qt.Not(qt.Equals), "")
	d.Assert(d.mustCall(platformtest.Call{Path: idempotentPath, Attempt: "d"}).status, qt.Equals, http.StatusOK)
}

// A non-idempotent request whose response is lost may have run: it is neither retried
// nor reported as not run.
func TestNonIdempotentRequestIsNotRetriedAfterLostResponse(t *testing.T) {
	for name, handler := range map[string]platformtest.Handler{
		"reset":  func(w *platformtest.ResponseWriter, _ platformtest.Run) { w.Reset() },
		"closed": func(w *platformtest.ResponseWriter, _ platformtest.Run) { w.Close() },
		"cut": func(w *platformtest.ResponseWriter, _ platformtest.Run) {
			_, _ = io.WriteString(w.Conn, "HTTP/1.1 200 OK\r\nContent-Le")
			w.Close()
		},
		"garbage": func(w *platformtest.ResponseWriter, _ platformtest.Run) {
			_, _ = io.WriteString(w.Conn, "garbage\r\n\r\n")
			w.Close()
		},
		"short body": func(w *platformtest.ResponseWriter, _ platformtest.Run) {
			w.WriteResponse(200, "x", "Content-Length: 9")
			w.Close()
		},
		"service unavailable": func(w *platformtest.ResponseWriter, _ platformtest.Run) {
			w.WriteResponse(http.StatusServiceUnavailable, "busy")
		},
		"too many requests": func(w *platformtest.ResponseWriter, _ platformtest.Run) {
			w.WriteResponse(http.StatusTooManyRequests, "busy")
		},
		"request timeout": func(w *platformtest.ResponseWriter, _ platformtest.Run) {
			w.WriteResponse(http.StatusRequestTimeout, "late")
		},
	} {
		t.Run(name, func(t *testing.T) {
			d := deploy(t, 1, map[string]platformtest.Handler{"i-1": handler, "i-2": handler})
			a := d.mustCall(platformtest.Call{Path: nonIdempotentPath, Attempt: "a"})
			d.Assert(a.status, qt.Equals, http.StatusBadGateway)
			d.Assert(platformtest.Signed(a.header), qt.IsFalse)
			d.Assert(d.runs(), qt.HasLen, 1)
		})
	}
}

func TestIdempotentRequestIsRetriedOnAnotherTarget(t *testing.T) {
	var mutex sync.Mutex
	failed := false
	flaky := func(w *platformtest.ResponseWriter, r platformtest.Run) {
		mutex.Lock()
		first := !failed
		failed = true
		mutex.Unlock()
		if first {
			w.Reset()
			return
		}
		echo(w, r)
	}
	d := deploy(t, 1, map[string]platformtest.Handler{"i-1": flaky, "i-2": flaky})
	a := d.mustCall(platformtest.Call{Path: idempotentPath, Attempt: "a"})
	d.Assert(a.status, qt.Equals, http.StatusOK)
	d.Assert(d.runs(), qt.HasLen, 2)
}

func TestRejectedRequestIsRetriedThenRefused(t *testing.T) {
	full := func(w *platformtest.ResponseWriter, _ platformtest.Run) { w.RejectNotExecuted() }
	d := deploy(t, 1, map[string]platformtest.Handler{"i-1": full, "i-2": full})
	began := time.Now()
	a := d.mustCall(platformtest.Call{Path: nonIdempotentPath, Attempt: "a"})
	d.Assert(a.status, qt.Equals, http.StatusServiceUnavailable)
	d.Assert(platformtest.RetryAfter(a.header), qt.Not(qt.Equals), "")
	d.Assert(time.Since(began) < time.Second, qt.IsTrue, qt.Commentf("%s", time.Since(began)))
}

// A target may send the response to another request on a connection, before the expected
// response or after it. The caller must not receive it.
func TestStrayResponsesAreNotForwarded(t *testing.T) {
	t.Run("before", func(t *testing.T) {
		d := deploy(t, 1, map[string]platformtest.Handler{"i-1": func(w *platformtest.ResponseWriter, r platformtest.Run) {
			w.Attempt = "another"
			w.WriteResponse(http.StatusOK, "not yours")
			w.Attempt = r.Attempt
			echo(w, r)
		}})
		d.Assert(d.mustCall(platformtest.Call{Path: nonIdempotentPath, Attempt: "a"}).body, qt.Equals, "echo a")
		d.Assert(d.mustCall(platformtest.Call{Path: nonIdempotentPath, Attempt: "b"}).body, qt.Equals, "echo b")
	})
	t.Run("after", func(t *testing.T) {
		d := deploy(t, 1, map[string]platformtest.Handler{"i-1": func(w *platformtest.ResponseWriter, r platformtest.Run) {
			echo(w, r)
			w.WriteResponse(http.StatusOK, "again")
		}})
		for _, attempt := range []string{"a", "b", "c"} {
			d.Assert(d.mustCall(platformtest.Call{Path: nonIdempotentPath, Attempt: attempt}).body, qt.Equals, "echo "+attempt)
			time.Sleep(20 * time.Millisecond)
		}
	})
}

// A target that was replaced by another one at its registered address rejects requests;
// they run elsewhere.
func TestRequestForAnotherTargetDoesNotRun(t *testing.T) {
	d := deploy(t, 1, map[string]platformtest.Handler{"i-1": echo, "i-2": echo})
	d.replicas["i-1"].ID = "i-9"
	for _, attempt := range []string{"a", "b", "c"} {
		d.Assert(d.mustCall(platformtest.Call{Path: nonIdempotentPath, Attempt: attempt}).status, qt.Equals, http.StatusOK)
	}
	d.Assert(d.replicas["i-1"].Runs(), qt.HasLen, 0)
}

func streamEvents(from, to int) platformtest.Handler {
	return func(w *platformtest.ResponseWriter, r platformtest.Run) {
		first := from
		if r.LastEvent != "" {
			first = 1 + int(r.LastEvent[0]-'0')
		}
		w.StartStream()
		for id := first; id <= to; id++ {
			w.WriteEvent(id)
		}
		w.EndStream()
	}
}

func expectedStream(from, to int) string {
	var text strings.Builder
	for id := from; id <= to; id++ {
		n := string(rune('0' + id))
		text.WriteString("id: " + n + "\ndata: event-" + n + "\n\n")
	}
	return text.String()
}

// A stream that is cut off inside an event resumes on another target, with no event
// missing or duplicated.
func TestCutStreamResumesOnAnotherTarget(t *testing.T) {
	var mutex sync.Mutex
	cut := false
	handler := func(w *platformtest.ResponseWriter, r platformtest.Run) {
		mutex.Lock()
		first := !cut
		cut = true
		mutex.Unlock()
		if !first {
			streamEvents(1, 5)(w, r)
			return
		}
		w.StartStream()
		w.WriteEvent(1)
		w.WriteEvent(2)
		w.WriteChunk("id: 3\ndata: ev")
		time.Sleep(20 * time.Millisecond)
		w.Reset()
	}
	d := deploy(t, 1, map[string]platformtest.Handler{"i-1": handler, "i-2": handler})
	a := d.mustCall(platformtest.Call{Path: streamPath, Attempt: "a"})
	d.Assert(a.cut, qt.IsFalse)
	d.Assert(a.body, qt.Equals, expectedStream(1, 5))
	d.Assert(platformtest.Attempt(a.header), qt.Equals, "a")
}

// crashOnPart returns a handler that streams two events, but crashes when it begins to
// answer a request whose prompt contains a part.
func crashOnPart(part string, crash func()) platformtest.Handler {
	return func(w *platformtest.ResponseWriter, r platformtest.Run) {
		if !strings.Contains(r.Prompt, part+":") {
			streamEvents(1, 2)(w, r)
			return
		}
		w.StartStream()
		time.Sleep(5 * time.Millisecond) // The head of the response arrives first.
		crash()
	}
}

// Requests that share one part of their prompt crash each target that begins to answer
// them.
func TestRequestsThatCrashTargetsStopReachingThem(t *testing.T) {
	handlers := make(map[string]platformtest.Handler)
	var d *deployment
	for i := range 8 {
		id := "i-" + strconv.Itoa(i)
		handlers[id] = crashOnPart("bad", func() { d.replicas[id].Close() })
	}
	d = deploy(t, 2, handlers)
	d.awaitMembership()
	const requests = 20
	for i := range requests {
		own := strconv.Itoa(i)
		d.Assert(d.mustCall(platformtest.Call{Path: streamPath, Attempt: "sound-" + own, Prompt: "shared:40,own" + own + ":5"}).status, qt.Equals, http.StatusOK)
		bad := d.mustCall(platformtest.Call{Path: streamPath, Attempt: "bad-" + own, Prompt: "shared:40,bad:9,own" + own + ":5"})
		if bad.status != http.StatusBadGateway { // 502 does not say that the request has not run.
			d.Assert(bad.status, qt.Equals, http.StatusServiceUnavailable)
			d.Assert(platformtest.RetryAfter(bad.header), qt.Not(qt.Equals), "")
		}
		d.routers[0], d.routers[1] = d.routers[1], d.routers[0] // Callers use both instances.
	}
	reached := 0
	for _, r := range d.runs() {
		if strings.Contains(r.Prompt, "bad:") {
			reached++
		}
	}
	d.Assert(reached, qt.Equals, 1)
}

// A target sends bytes without end that are no response. The attempt ends after a bounded
// number of bytes.
func TestEndlessBytesEndTheAttempt(t *testing.T) {
	sent := make(chan int, 1)
	endless := func(prefix, repeated string) platformtest.Handler {
		return func(w *platformtest.ResponseWriter, _ platformtest.Run) {
			_, _ = io.WriteString(w.Conn, prefix)
			total, block := 0, strings.Repeat(repeated, 4096)
			for {
				n, err := io.WriteString(w.Conn, block)
				if total += n; err != nil {
					sent <- total
					w.Close()
					return
				}
			}
		}
	}
	const maxSent = 16 << 20 // Far more than the sockets buffer.
	signed := "HTTP/1.1 200 OK\r\n" + platformtest.Signature() + "\r\n"
	for name, handler := range map[string]platformtest.Handler{
		"status line":  endless("", "x"),
		"header":       endless("HTTP/1.1 200 OK\r\nX: ", "x"),
		"headers":      endless("HTTP/1.1 200 OK\r\n", "X: y\r\n"),
		"interim":      endless("", "HTTP/1.1 103 Early Hints\r\nX: y\r\n\r\n"),
		"event":        endless(signed+"Content-Type: text/event-stream\r\n\r\n", "x"),
		"chunk header": endless(signed+"Transfer-Encoding: chunked\r\n\r\n", "1"),
		"trailer":      endless(signed+"Transfer-Encoding: chunked\r\n\r\n0\r\n", "X: y\r\n"),
		"unsigned":     endless("HTTP/1.1 200 OK\r\n\r\n", "x"),
		"failure":      endless("HTTP/1.1 500 Failed\r\n"+platformtest.Signature()+"\r\n\r\n", "x"),
		"refusal":      endless("HTTP/1.1 503 Full\r\n"+platformtest.NotExecuted()+"\r\n\r\n", "x"),
	} {
		t.Run(name, func(t *testing.T) {
			d := deploy(t, 1, map[string]platformtest.Handler{"i-1": handler})
			a, err := d.call(context.Background(), platformtest.Call{Path: streamPath, Attempt: "a", Left: time.Second})
			refused := name == "refusal" && a.status == http.StatusServiceUnavailable
			d.Assert(err != nil || a.cut || a.status == http.StatusBadGateway || a.status == http.StatusGatewayTimeout || refused, qt.IsTrue, qt.Commentf("%+v", a))
			select {
			case total := <-sent:
				d.Assert(total <= maxSent, qt.IsTrue, qt.Commentf("%d bytes were read", total))
			case <-time.After(4 * time.Second):
				d.Fatal("the connection was not closed within 4 s")
			}
		})
	}
}

// A response without a length ends with its connection. It is complete unless the
// connection is reset.
func TestResponsesWithoutLength(t *testing.T) {
	const stream = "Content-Type: text/event-stream"
	respond := func(text string, reset bool, headers ...string) platformtest.Handler {
		return func(w *platformtest.ResponseWriter, _ platformtest.Run) {
			w.WriteUnframed(text, headers...)
			time.Sleep(20 * time.Millisecond)
			if reset {
				w.Reset()
				return
			}
			w.Close()
		}
	}
	for name, test := range map[string]struct {
		path   string
		first  platformtest.Handler
		status int
		body   string
	}{
		"whole body":      {nonIdempotentPath, respond("whole", false), http.StatusOK, "whole"},
		"reset body":      {nonIdempotentPath, respond("whole", true), http.StatusBadGateway, ""},
		"whole stream":    {streamPath, respond(expectedStream(1, 3), false, stream), http.StatusOK, expectedStream(1, 3)},
		"stream in event": {streamPath, respond(expectedStream(1, 3)+"id: 4\nda", false, stream), http.StatusOK, expectedStream(1, 5)},
		"line is whole":   {streamPath, respond(expectedStream(1, 3)+"id: 4\ndata: event-4\n", false, stream), http.StatusOK, expectedStream(1, 5)},
		"reset stream":    {streamPath, respond(expectedStream(1, 3), true, stream), http.StatusOK, expectedStream(1, 5)},
		"first event":     {streamPath, respond("id: 1\nda", false, stream), http.StatusOK, expectedStream(1, 5)},
	} {
		t.Run(name, func(t *testing.T) {
			var mutex sync.Mutex
			began := false
			handler := func(w *platformtest.ResponseWriter, r platformtest.Run) {
				mutex.Lock()
				first := !began
				began = true
				mutex.Unlock()
				if first {
					test.first(w, r)
					return
				}
				streamEvents(1, 5)(w, r)
			}
			d := deploy(t, 1, map[string]platformtest.Handler{"i-1": handler, "i-2": handler})
			a := d.mustCall(platformtest.Call{Path: test.path, Attempt: "a"})
			d.Assert(a.cut, qt.IsFalse)
			d.Assert(a.status, qt.Equals, test.status)
			if test.body != "" {
				d.Assert(a.body, qt.Equals, test.body)
			}
		})
	}
}

// An error response that is too long to buffer is not passed on in part.
func TestLongErrorResponseIsNotCutShort(t *testing.T) {
	d := deploy(t, 1, map[string]platformtest.Handler{"i-1": func(w *platformtest.ResponseWriter, _ platformtest.Run) {
		w.WriteResponse(http.StatusInternalServerError, strings.Repeat("x", 2*maxBufferedBytes))
	}})
	a := d.mustCall(platformtest.Call{Path: nonIdempotentPath, Attempt: "a"})
	d.Assert(a.status, qt.Equals, http.StatusBadGateway)
	d.Assert(platformtest.Signed(a.header), qt.IsFalse)
}

func TestSlowStreamIsNotCut(t *testing.T) {
	d := deploy(t, 1, map[string]platformtest.Handler{"i-1": func(w *platformtest.ResponseWriter, _ platformtest.Run) {
		w.StartStream()
		for id := range 4 {
			w.WriteEvent(id + 1)
			time.Sleep(600 * time.Millisecond)
		}
		w.EndStream()
	}})
	a := d.mustCall(platformtest.Call{Path: streamPath, Attempt: "a"})
	d.Assert(a.cut, qt.IsFalse)
	d.Assert(a.body, qt.Equals, expectedStream(1, 4))
}

// A target sends a byte now and then, and never a whole event.
func TestStalledStreamEndsAtItsDeadline(t *testing.T) {
	d := deploy(t, 1, map[string]platformtest.Handler{"i-1": func(w *platformtest.ResponseWriter, _ platformtest.Run) {
		w.StartStream()
		w.WriteEvent(1)
		for range 100 {
			w.WriteChunk(":")
			time.Sleep(50 * time.Millisecond)
		}
	}})
	began := time.Now()
	a := d.mustCall(platformtest.Call{Path: streamPath, Attempt: "a", Left: time.Second})
	d.Assert(a.cut, qt.IsTrue)
	d.Assert(a.body, qt.Equals, expectedStream(1, 1))
	d.Assert(time.Since(began) < 2*time.Second, qt.IsTrue)
}

// A caller stops reading. Its request ends at its deadline and leaves its target.
func TestCallerThatStopsReadingReleasesItsTarget(t *testing.T) {
	payload := strings.Repeat("x", 64<<10)
	handler := func(w *platformtest.ResponseWriter, _ platformtest.Run) {
		w.StartStream()
		for i := 1; i < 1000; i++ {
			text := "id: " + strconv.Itoa(i) + "\ndata: " + payload + "\n\n"
			if _, err := fmt.Fprintf(w.Conn, "%x\r\n%s\r\n", len(text), text); err != nil {
				w.Close()
				return
			}
		}
	}
	d := deploy(t, 1, map[string]platformtest.Handler{"i-1": handler})
	request, err := platformtest.Call{Method: http.MethodPost, Path: streamPath, Attempt: "a", Key: testKey, Left: time.Second}.Request(context.Background(), d.routers[0].options.Callers)
	d.Assert(err, qt.IsNil)
	conn, err := net.Dial("tcp", d.routers[0].options.Callers.String())
	d.Assert(err, qt.IsNil)
	defer conn.Close()
	d.Assert(request.Write(conn), qt.IsNil)
	d.eventually("the request runs", func() bool { return len(d.routers[0].core.Running()) == 1 })
	began := time.Now()
	d.eventually("the request has left its target", func() bool { return len(d.routers[0].core.Running()) == 0 })
	d.Assert(time.Since(began) < 2500*time.Millisecond, qt.IsTrue)
}

// A target closes idle connections without notice, and resets what is sent on them. That is
// no crash, and the request is sent to another target.
func TestResetOfAnIdleConnectionIsNoCrash(t *testing.T) {
	resetting := func(w *platformtest.ResponseWriter, _ platformtest.Run) { w.Reset() }
	d := deploy(t, 1, map[string]platformtest.Handler{"i-1": resetting, "i-2": streamEvents(1, 2)})
	for i := range 4 { // Both targets are chosen first.
		a := d.mustCall(platformtest.Call{Path: streamPath, Attempt: strconv.Itoa(i), Prompt: "new" + strconv.Itoa(i) + ":9,own:5"})
		d.Assert(a.status, qt.Equals, http.StatusOK)
	}
}

// All instances restart after a crash. The request that caused it is still refused.
func TestCrashIsKnownAfterAllInstancesRestart(t *testing.T) {
	handlers := make(map[string]platformtest.Handler)
	var d *deployment
	for i := range 3 {
		id := "i-" + strconv.Itoa(i)
		handlers[id] = crashOnPart("bad", func() { d.replicas[id].Close() })
	}
	d = deploy(t, 1, handlers)
	crashing := platformtest.Call{Path: streamPath, Attempt: "a", Prompt: "bad:9,own:5"}
	d.Assert(d.mustCall(crashing).status, qt.Equals, http.StatusBadGateway)
	d.eventually("the crash is stored", func() bool {
		listing, err := d.routers[0].store.List(context.Background(), fleet.EntryTopic)
		return err == nil && slices.ContainsFunc(listing.Records, func(r fleet.Record) bool { return strings.HasPrefix(r.Key, crashKeyPrefix) })
	})
	d.stops[0]()
	<-d.ended[0]
	d.ended[0] <- nil // The clean-up waits for it as well.
	d.routers = nil
	d.startInstance(t)
	d.eventually("the new instance is ready", func() bool { return platformtest.Ready(d.routers[0].options.Readiness) })
	d.Assert(d.mustCall(platformtest.Call{Path: streamPath, Attempt: "b", Prompt: "good:9,own:5"}).status, qt.Equals, http.StatusOK)
	d.Assert(d.mustCall(crashing).status, qt.Equals, http.StatusServiceUnavailable)
}

// A late copy of an earlier response has no attempt ID. On a connection that was in use
// before, it is not taken for the response to the next request.
func TestLateCopyWithoutAttemptIDIsNotForwarded(t *testing.T) {
	var mutex sync.Mutex
	served := 0
	d := deploy(t, 1, map[string]platformtest.Handler{"i-1": func(w *platformtest.ResponseWriter, r platformtest.Run) {
		mutex.Lock()
		served++
		first := served == 1
		mutex.Unlock()
		if !first {
			w.Attempt = ""
			w.WriteResponse(http.StatusOK, "late")
			time.Sleep(20 * time.Millisecond)
			w.Attempt = r.Attempt
		}
		echo(w, r)
	}})
	d.Assert(d.mustCall(platformtest.Call{Path: nonIdempotentPath, Attempt: "a"}).body, qt.Equals, "echo a")
	d.Assert(d.mustCall(platformtest.Call{Path: nonIdempotentPath, Attempt: "b"}).body, qt.Equals, "echo b")
	accepted, _ := d.replicas["i-1"].Connections()
	d.Assert(accepted, qt.Equals, 1)
}

// A target says that it has not run the request, and does not finish that response. The
// request is sent to another target at once.
func TestUnfinishedRejectionIsRetriedAtOnce(t *testing.T) {
	rejecting := func(w *platformtest.ResponseWriter, _ platformtest.Run) { w.RejectUnfinished() }
	d := deploy(t, 1, map[string]platformtest.Handler{"i-1": rejecting, "i-2": echo})
	for i := range 4 { // Both targets are chosen.
		began := time.Now()
		a := d.mustCall(platformtest.Call{Path: nonIdempotentPath, Attempt: strconv.Itoa(i)})
		d.Assert(a.status, qt.Equals, http.StatusOK)
		d.Assert(time.Since(began) < testDeadline/2, qt.IsTrue)
	}
}

// While a whole group of ranks is stalled, another rank would not respond sooner:
// requests stay at their targets and receive late responses, without further attempts.
func TestStalledGroupIsNotRetried(t *testing.T) {
	stalled := func(w *platformtest.ResponseWriter, r platformtest.Run) {
		time.Sleep(firstEventTimeout + 400*time.Millisecond)
		streamEvents(1, 3)(w, r)
	}
	d := deploy(t, 1, map[string]platformtest.Handler{"i-1": stalled, "i-2": stalled})
	for rank, id := range []string{"i-1", "i-2"} {
		d.store.PutTarget(id, d.replicas[id].RankRegistration("svc", "dc-a", "g", rank, 2))
	}
	d.eventually("both ranks are known", func() bool { return len(d.routers[0].core.View().Members["g"]) == 2 })
	var goroutines sync.WaitGroup
	for _, attempt := range []string{"a", "b", "c", "d"} {
		goroutines.Go(func() {
			a, err := d.call(context.Background(), platformtest.Call{Path: streamPath, Attempt: attempt})
			d.Check(err, qt.IsNil)
			d.Check(a.status, qt.Equals, http.StatusOK)
			d.Check(a.body, qt.Equals, expectedStream(1, 3))
		})
	}
	goroutines.Wait()
	d.Assert(d.runs(), qt.HasLen, 4)
}

// A stream on a rank that becomes slow resumes on another rank as soon as the planner
// reports the slow rank, with no event missing or duplicated.
func TestStreamMovesOffSlowRank(t *testing.T) {
	began := make(chan string, 2)
	rankHandler := func(id string) platformtest.Handler {
		return func(w *platformtest.ResponseWriter, run platformtest.Run) {
			if run.LastEvent != "" {
				streamEvents(1, 5)(w, run)
				return
			}
			w.StartStream()
			w.WriteEvent(1)
			w.WriteEvent(2)
			time.Sleep(200 * time.Millisecond) // The caller has received the events by then.
			began <- id
			time.Sleep(2 * time.Second) // Much slower than the other rank.
		}
	}
	d := deploy(t, 1, map[string]platformtest.Handler{"i-1": rankHandler("i-1"), "i-2": rankHandler("i-2")})
	routes := testRoutes("svc")
	for i := range routes {
		routes[i].MaxGap = 100 * time.Millisecond
	}
	d.store.PutConfiguration(platformtest.Configuration(2, routes, map[string]string{testKey: "org"}))
	for rank, id := range []string{"i-1", "i-2"} {
		d.store.PutTarget(id, d.replicas[id].RankRegistration("svc", "dc-a", "g", rank, 2))
	}
	d.eventually("the ranks and their engines are known", func() bool {
		v := d.routers[0].core.View()
		return len(v.Members["g"]) == 2 && v.Configuration.Version == 2
	})
	answered := make(chan result, 1)
	go func() {
		a, err := d.call(context.Background(), platformtest.Call{Path: streamPath, Attempt: "a"})
		d.Check(err, qt.IsNil)
		answered <- a
	}()
	slow := <-began
	d.routers[0].entries.SetGroupReport(admission.GroupReport{Paces: map[string]float64{slow: 50}})
	a := <-answered
	d.Assert(a.cut, qt.IsFalse)
	d.Assert(a.body, qt.Equals, expectedStream(1, 5))
	d.Assert(d.replicas[slow].Runs(), qt.HasLen, 1)
	d.Assert(d.runs(), qt.HasLen, 2)
}

// A stream that cannot resume must not look complete to the caller.
func TestStreamThatCannotResumeIsAborted(t *testing.T) {
	d := deploy(t, 1, map[string]platformtest.Handler{"i-1": func(w *platformtest.ResponseWriter, _ platformtest.Run) {
		w.StartStream()
		w.WriteEvent(1)
		time.Sleep(20 * time.Millisecond)
		w.Reset()
	}})
	a := d.mustCall(platformtest.Call{Path: streamPath, Attempt: "a"})
	d.Assert(a.cut, qt.IsTrue)
	d.Assert(a.body, qt.Equals, expectedStream(1, 1))
}

// When a caller disconnects, the connection to its target is reset within 500 ms.
func TestCallerDisconnectResetsTargetConnection(t *testing.T) {
	started := make(chan struct{}, 1)
	d := deploy(t, 1, map[string]platformtest.Handler{"i-1": func(w *platformtest.ResponseWriter, _ platformtest.Run) {
		w.StartStream()
		w.WriteEvent(1)
		started <- struct{}{}
	}})
	ctx, leave := context.WithCancel(context.Background())
	go func() { _, _ = d.call(ctx, platformtest.Call{Path: streamPath, Attempt: "a"}) }()
	<-started
	leave()
	began := time.Now()
	d.eventually("the target's connection is closed", func() bool { _, closed := d.replicas["i-1"].Connections(); return closed == 1 })
	d.Assert(time.Since(began) < 500*time.Millisecond, qt.IsTrue)
	// Only a reset discards bytes that are still in transit: a target that resumes later
	// must not receive the request.
	d.Assert(d.replicas["i-1"].Resets(), qt.Equals, 1)
}

func TestConnectionsAreReused(t *testing.T) {
	d := deploy(t, 1, map[string]platformtest.Handler{"i-1": echo})
	for range 20 {
		d.mustCall(platformtest.Call{Path: nonIdempotentPath, Attempt: "a"})
	}
	conns, _ := d.replicas["i-1"].Connections()
	d.Assert(conns, qt.Equals, 1)
}

// A request that reaches its deadline after it may have run gets status 504.
func TestTimeoutReturnsGatewayTimeout(t *testing.T) {
	d := deploy(t, 1, map[string]platformtest.Handler{"i-1": func(*platformtest.ResponseWriter, platformtest.Run) { time.Sleep(3 * time.Second) }})
	began := time.Now()
	a := d.mustCall(platformtest.Call{Path: nonIdempotentPath, Attempt: "a", Left: 300 * time.Millisecond})
	d.Assert(a.status, qt.Equals, http.StatusGatewayTimeout)
	d.Assert(time.Since(began) < 800*time.Millisecond, qt.IsTrue)
}

// A draining target and the targets of an evacuated data centre get no new requests.
func TestDrainingAndEvacuatedTargetsGetNoRequests(t *testing.T) {
	d := deploy(t, 1, map[string]platformtest.Handler{"i-1": echo, "i-2": echo})
	d.store.PutTarget("i-1", d.replicas["i-1"].Registration("svc", "dc-a", "draining"))
	time.Sleep(time.Second)
	before := len(d.replicas["i-1"].Runs())
	for range 10 {
		d.Assert(d.mustCall(platformtest.Call{Path: nonIdempotentPath, Attempt: "a"}).status, qt.Equals, http.StatusOK)
	}
	d.Assert(d.replicas["i-1"].Runs(), qt.HasLen, before)
	d.store.Evacuate("dc-a", true)
	d.eventually("requests are refused", func() bool {
		return d.mustCall(platformtest.Call{Path: nonIdempotentPath, Attempt: "a"}).status == http.StatusServiceUnavailable
	})
	d.store.Evacuate("dc-a", false)
	d.eventually("requests are served again", func() bool {
		return d.mustCall(platformtest.Call{Path: nonIdempotentPath, Attempt: "a"}).status == http.StatusOK
	})
}

// Invalid registrations by other writers are ignored; valid ones stay in force.
func TestInvalidRegistrationsAreIgnored(t *testing.T) {
	d := deploy(t, 1, map[string]platformtest.Handler{"i-1": echo})
	for id, registration := range map[string]any{
		"text": "nonsense", "list": []int{1}, "empty": map[string]any{},
		"state":   d.replicas["i-1"].Registration("svc", "dc-a", "resting"),
		"service": d.replicas["i-1"].Registration("unheard", "dc-a", "ready"),
	} {
		d.store.PutTarget(id, registration)
	}
	d.store.Put("keyed.servers", "bytes", []byte{0xff, 0xfe})
	time.Sleep(600 * time.Millisecond)
	for range 10 {
		d.Assert(d.mustCall(platformtest.Call{Path: nonIdempotentPath, Attempt: "a"}).status, qt.Equals, http.StatusOK)
	}
	d.Assert(d.routers[0].core.View().Targets["svc"], qt.HasLen, 1)
}

// The store may compact its history while an instance is disconnected. The instance then
// applies the current state, including removals.
func TestCompactedStoreKeepsCurrentState(t *testing.T) {
	d := deploy(t, 1, map[string]platformtest.Handler{"i-1": echo, "i-2": echo})
	d.store.SetFault(platformtest.Unavailable)
	time.Sleep(100 * time.Millisecond)
	d.store.PutConfiguration(platformtest.Configuration(5, testRoutes("svc"), map[string]string{"k2": "other"}))
	d.store.PutTarget("i-1", nil)
	d.store.Compact()
	d.store.SetFault(platformtest.NoFault)
	d.eventually("the new key is accepted", func() bool {
		return d.mustCall(platformtest.Call{Path: nonIdempotentPath, Attempt: "a", Key: "k2"}).status == http.StatusOK
	})
	d.Assert(d.mustCall(platformtest.Call{Path: nonIdempotentPath, Attempt: "b"}).status, qt.Equals, http.StatusUnauthorized)
	d.eventually("the removed target is gone", func() bool { return len(d.routers[0].core.View().Targets["svc"]) == 1 })
}

// A configuration with a lower version does not replace a newer one.
func TestOlderConfigurationIsIgnored(t *testing.T) {
	d := deploy(t, 1, map[string]platformtest.Handler{"i-1": echo})
	d.store.PutConfiguration(platformtest.Configuration(9, testRoutes("svc"), map[string]string{"k9": "org"}))
	d.store.PutConfiguration(platformtest.Configuration(7, testRoutes("svc"), map[string]string{"k7": "org"}))
	d.eventually("version 9 is in force", func() bool { return d.routers[0].core.View().Configuration.Version == 9 })
	time.Sleep(200 * time.Millisecond)
	d.Assert(d.routers[0].core.View().Configuration.Version, qt.Equals, uint64(9))
}

// Instances find each other through the store and list each other's addresses for
// callers; an instance that stops is removed.
func TestResolutionListsLiveInstances(t *testing.T) {
	d := deploy(t, 3, map[string]platformtest.Handler{"i-1": echo})
	count := func() int {
		addresses, err := platformtest.Resolve(d.routers[0].options.Resolution)
		if err != nil {
			return -1
		}
		return len(addresses)
	}
	d.eventually("three instances are listed", func() bool { return count() == 3 })
	d.stops[2]()
	began := time.Now()
	d.eventually("the stopped instance is removed", func() bool { return count() == 2 })
	d.Assert(time.Since(began) < 3*time.Second, qt.IsTrue)
}

// A change of the configuration reaches all instances.
func TestConfigurationChangeReachesAllInstances(t *testing.T) {
	d := deploy(t, 2, map[string]platformtest.Handler{"i-1": echo})
	second := d.routers[1]
	d.eventually("the second instance knows both", func() bool { return len(second.entries.Callers()) == 2 })
	end := d.routers[0].core.End(fleet.OperatorTopic)
	d.store.PutConfiguration(platformtest.Configuration(3, testRoutes("svc"), map[string]string{"k3": "org"}))
	d.eventually("the first instance has read the change", func() bool { return end.Before(d.routers[0].core.End(fleet.OperatorTopic)) })
	d.eventually("the second instance has applied the change", func() bool { return second.core.View().Configuration.Version == 3 })
}

// An instance that starts while the store is unavailable receives its state from a seed.
func TestStartWhileStoreIsUnavailable(t *testing.T) {
	d := deploy(t, 1, map[string]platformtest.Handler{"i-1": echo})
	d.store.SetFault(platformtest.Unavailable)
	d.seeds = []netip.AddrPort{d.routers[0].options.Peers}
	second := d.startInstance(t)
	d.eventually("the new instance is ready", func() bool { return platformtest.Ready(second.options.Readiness) })
	d.Assert(second.core.View().Targets["svc"], qt.HasLen, 1)
	d.eventually("the new instance is listed for callers", func() bool { return len(d.routers[0].entries.Callers()) == 2 })
}

// A stopping instance completes the requests in flight and ends within the grace period.
func TestShutdownCompletesRequestsInFlight(t *testing.T) {
	release := make(chan struct{})
	d := deploy(t, 1, map[string]platformtest.Handler{"i-1": func(w *platformtest.ResponseWriter, r platformtest.Run) {
		<-release
		echo(w, r)
	}})
	got := make(chan result, 1)
	go func() {
		a, _ := d.call(context.Background(), platformtest.Call{Path: nonIdempotentPath, Attempt: "a", Left: testDeadline})
		got <- a
	}()
	d.eventually("the request runs", func() bool { return len(d.runs()) == 1 })
	d.stops[0]()
	d.eventually("the instance is not ready", func() bool { return !platformtest.Ready(d.routers[0].options.Readiness) })
	time.Sleep(300 * time.Millisecond)
	close(release)
	a := <-got
	d.Assert(a.status, qt.Equals, http.StatusOK)
	select {
	case err := <-d.ended[0]:
		d.Assert(err, qt.IsNil)
		d.ended[0] <- nil
	case <-time.After(4 * time.Second):
		d.Fatal("Serve did not return")
	}
}

// Callers use their connections until the process is gone. Each request that a target has
// run is answered, also if it arrives just as the stop begins to close connections.
func TestPlannedStopUnderLoadAnswersWhatHasRun(t *testing.T) {
	d := deploy(t, 1, map[string]platformtest.Handler{"i-1": func(w *platformtest.ResponseWriter, r platformtest.Run) {
		time.Sleep(3 * time.Millisecond)
		echo(w, r)
	}})
	var mutex sync.Mutex
	answered := make(map[string]bool)
	var callers sync.WaitGroup
	for i := range 24 {
		client := &http.Client{Transport: &http.Transport{DisableCompression: true}}
		callers.Go(func() {
			failures := 0
			for n := 0; failures < 5; n++ {
				attempt := fmt.Sprintf("%d-%d", i, n)
				request, err := platformtest.Call{Method: http.MethodPost, Path: nonIdempotentPath, Attempt: attempt, Key: testKey, Left: 500 * time.Millisecond}.Request(context.Background(), d.routers[0].options.Callers)
				if err != nil {
					return
				}
				response, err := client.Do(request)
				if err != nil {
					failures++
					continue
				}
				_ = response.Body.Close()
				mutex.Lock()
				answered[attempt] = true
				mutex.Unlock()
			}
		})
	}
	time.Sleep(100 * time.Millisecond)
	d.stopWithin(2 * time.Second) // The requests can finish, so they start until connections close.
	callers.Wait()
	runs := d.replicas["i-1"].Runs()
	d.Assert(len(runs) > 100, qt.IsTrue)
	for _, r := range runs {
		d.Check(answered[r.Attempt], qt.IsTrue, qt.Commentf("%s ran and was not answered", r.Attempt))
	}
}

// An instance that cannot listen must end: otherwise it could hold the leadership without
// serving any caller (found by the soak test, seed 4007).
func TestServeFailsWhenAddressIsInUse(t *testing.T) {
	c := qt.New(t)
	free := freeAddresses(c, 4)
	store := &platformtest.Store{}
	o := Options{
		Instance: "entry", DataCentre: "dc-a", Callers: free[0], Peers: free[0], Readiness: free[1], Resolution: free[2],
		Operators: free[3], Store: store.Start(), SidecarPort: 1,
	}
	defer store.Close()
	ended := make(chan error, 1)
	sink := events.NewSink(io.Discard)
	defer sink.Close()
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	go func() { ended <- NewRouter(o, events.NewLogger(sink)).Serve(ctx) }()
	select {
	case err := <-ended:
		c.Assert(err, qt.ErrorMatches, ".*address already in use.*")
	case <-time.After(3 * time.Second):
		c.Fatal("Serve did not return although an address is in use")
	}
}

func TestOptionsCheckReportsAllFaults(t *testing.T) {
	err := (&Options{}).check()
	qt.Assert(t, errors.Is(err, settings.ErrInvalid), qt.IsTrue)
	for _, key := range []string{"instance", "dataCentre", "callers", "store", "sidecarPort", "gracePeriod", "addressKeep"} {
		qt.Assert(t, strings.Contains(err.Error(), key), qt.IsTrue, qt.Commentf("%s", key))
	}
}

// A target that restarts at the same address leaves its old registration behind for a
// while. Only the newest registration of an address is used.
func TestNewestRegistrationOfAddressIsUsed(t *testing.T) {
	d := deploy(t, 1, map[string]platformtest.Handler{"i-1": echo})
	d.replicas["i-1"].ID = "i-2"
	registration := d.replicas["i-1"].Registration("svc", "dc-a", "ready")
	registration["born"] = 2
	d.store.PutTarget("i-2", registration)
	d.eventually("only the new registration is used", func() bool {
		targets := d.routers[0].core.View().Targets["svc"]
		return len(targets) == 1 && targets[0].ID == "i-2"
	})
	d.Assert(d.mustCall(platformtest.Call{Path: nonIdempotentPath, Attempt: "a"}).status, qt.Equals, http.StatusOK)
}
