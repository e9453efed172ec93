package site

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/netip"
	"net/textproto"
	"strings"
	"syscall"
	"testing"
	"time"

	"chervilswitch.example/operate/desk"
	"chervilswitch.example/shared/operator"
	"chervilswitch.example/shared/platform"
	"chervilswitch.example/standin/engine"
	"chervilswitch.example/standin/plain"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	qt "github.com/frankban/quicktest"
)

// testTimeout bounds the wait for an expected state. It only ends a test that hangs and
// asserts no latency.
const testTimeout = time.Minute

func startSite(t *testing.T, adjust func(*Options)) *Site {
	options := Options{
		Entries: 4, Replicas: 3, Plains: 3, ColdLimit: 4, WarmLimit: 16,
		Engine:      engine.Options{Step: 5 * time.Millisecond, Prefill: 5 * time.Millisecond, CachedPrefixes: 8, ReportLag: 100 * time.Millisecond},
		AddressKeep: 200 * time.Millisecond,
		Logger:      &log.Logger{Handler: discard.Default, Level: log.InfoLevel},
	}
	if adjust != nil {
		adjust(&options)
	}
	s, err := Start(context.Background(), options)
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(s.Close)
	qt.Assert(t, s.AwaitReady(context.Background()), qt.IsNil)
	return s
}

// send sends one request to an entry; header holds alternating names and values.
func send(t *testing.T, s *Site, entry, method, path, body string, header ...string) *http.Response {
	request, err := http.NewRequest(method, "http://"+s.Callers[entry].String()+path, strings.NewReader(body))
	qt.Assert(t, err, qt.IsNil)
	request.Header.Set("Authorization", "Bearer "+APIKey)
	request.Header.Set("Content-Type", "application/json")
	for i := 0; i+1 < len(header); i += 2 {
		request.Header.Set(header[i], header[i+1])
	}
	response, err := http.DefaultClient.Do(request)
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { response.Body.Close() })
	return response
}

func readAll(t *testing.T, r *http.Response) string {
	raw, err := io.ReadAll(r.Body)
	qt.Assert(t, err, qt.IsNil)
	return string(raw)
}

func chatBody(tokens int, stream bool) string {
	return fmt.Sprintf(`{"model":%q,"stream":%t,"max_tokens":%d,"messages":[{"role":"user","content":"lume notes for a dial"}]}`, Model, stream, tokens)
}

// failureCode returns the code and outcome of an error response.
func failureCode(t *testing.T, r *http.Response) (code, outcome string) {
	var body struct{ Code, Outcome string }
	qt.Assert(t, json.Unmarshal([]byte(readAll(t, r)), &body), qt.IsNil)
	return body.Code, body.Outcome
}

// event is one server-sent event.
type event struct{ data, id string }

func readEvent(r *bufio.Reader) (event, error) {
	var e event
	for {
		line, err := r.ReadString('\n')
		if err != nil {
			return e, err
		}
		switch line = strings.TrimSuffix(line, "\n"); {
		case line == "":
			return e, nil
		case strings.HasPrefix(line, "data: "):
			e.data = line[len("data: "):]
		case strings.HasPrefix(line, "id: "):
			e.id = line[len("id: "):]
		}
	}
}

func TestFirstTokenArrivesBeforeLastIsGenerated(t *testing.T) {
	c := qt.New(t)
	s := startSite(t, func(o *Options) { o.Engine.Step = 200 * time.Millisecond })
	r := send(t, s, "entry-0", "POST", "/v1/chat/completions", chatBody(10, true))
	c.Assert(r.StatusCode, qt.Equals, http.StatusOK)
	_, err := readEvent(bufio.NewReader(r.Body))
	c.Assert(err, qt.IsNil)
	running := 0
	for _, e := range s.Engines {
		running += e.Running()
	}
	c.Assert(running, qt.Equals, 1, qt.Commentf("no engine was still generating when the first token arrived"))
}

func TestStreamResumesWithoutLossAfterEntryIsKilled(t *testing.T) {
	c := qt.New(t)
	s := startSite(t, func(o *Options) { o.Engine.Step = 20 * time.Millisecond })
	const tokens = 40
	r := send(t, s, "entry-0", "POST", "/v1/chat/completions", chatBody(tokens, true), "X-Request-Id", "job-1")
	c.Assert(r.StatusCode, qt.Equals, http.StatusOK)
	reader := bufio.NewReader(r.Body)
	var got []event
	for range 5 {
		e, err := readEvent(reader)
		c.Assert(err, qt.IsNil)
		got = append(got, e)
	}
	s.Processes["entry-0"].Kill()
	for {
		e, err := readEvent(reader)
		if err != nil {
			break // A truncated event is dropped.
		}
		got = append(got, e)
	}
	c.Assert(len(got) < tokens, qt.IsTrue)
	rest := send(t, s, "entry-1", "GET", "/v1/streams/job-1", "", "Last-Event-ID", got[len(got)-1].id)
	c.Assert(rest.StatusCode, qt.Equals, http.StatusOK)
	restReader := bufio.NewReader(rest.Body)
	for {
		e, err := readEvent(restReader)
		if err != nil {
			c.Assert(err, qt.Equals, io.EOF)
			break
		}
		got = append(got, e)
	}
	c.Assert(got, qt.HasLen, tokens+1)
	for i, e := range got[:tokens] {
		c.Assert(strings.Contains(e.data, fmt.Sprint(i, " ")), qt.IsTrue, qt.Commentf("event %d: %s", i, e.data))
	}
	c.Assert(got[tokens].data, qt.Equals, "[DONE]")
	received := 0
	for _, e := range s.Engines {
		received += e.Counts().Received
	}
	c.Assert(received, qt.Equals, 1, qt.Commentf("resuming the stream ran the request again"))
}

func TestStreamFailsAfterAgentIsKilled(t *testing.T) {
	c := qt.New(t)
	s := startSite(t, func(o *Options) { o.Replicas, o.Engine.Step = 1, 20*time.Millisecond })
	r := send(t, s, "entry-0", "POST", "/v1/chat/completions", chatBody(200, true))
	reader := bufio.NewReader(r.Body)
	_, err := readEvent(reader)
	c.Assert(err, qt.IsNil)
	s.Processes["replica-00"].Kill()
	for err == nil {
		_, err = readEvent(reader)
	}
	c.Assert(err, qt.Not(qt.Equals), io.EOF, qt.Commentf("the interrupted stream ended like a complete one"))
}

func TestDepositRunsOnceThroughAnyEntry(t *testing.T) {
	c := qt.New(t)
	s := startSite(t, nil)
	for _, entry := range []string{"entry-0", "entry-1", "entry-2", "entry-3"} {
		r := send(t, s, entry, "POST", "/services/order-desk/deposits", "amount=5", "Idempotency-Key", "k1", plain.OperationHeader, "d1")
		c.Assert(r.StatusCode, qt.Equals, http.StatusOK)
		c.Assert(readAll(t, r), qt.Contains, "amount=5")
	}
	c.Assert(s.Ledger.Runs()["d1"], qt.Equals, 1)
	r := send(t, s, "entry-0", "POST", "/services/order-desk/deposits", "amount=6", "Idempotency-Key", "k1", plain.OperationHeader, "d1")
	code, outcome := failureCode(t, r)
	c.Assert([]string{code, outcome}, qt.DeepEquals, []string{"keyReused", "notRun"})
}

func TestDepositAfterReplacementIsUnknown(t *testing.T) {
	c := qt.New(t)
	s := startSite(t, nil)
	r := send(t, s, "entry-0", "POST", "/services/order-desk/deposits", "amount=5", "Idempotency-Key", "k1", plain.OperationHeader, "d1")
	owner := r.Header.Get("X-Replica")
	c.Assert(owner, qt.Not(qt.Equals), "")
	c.Assert(s.RestartAgent(owner), qt.IsNil)
	c.Assert(s.AwaitReady(context.Background()), qt.IsNil)
	deadline := time.Now().Add(testTimeout)
	for _, entry := range []string{"entry-1", "entry-2", "entry-3"} {
		for {
			r = send(t, s, entry, "POST", "/services/order-desk/deposits", "amount=5", "Idempotency-Key", "k1", plain.OperationHeader, "d1")
			code, outcome := failureCode(t, r)
			if code == "keyMayHaveRun" {
				c.Assert(outcome, qt.Equals, "unknown")
				break
			}
			// Until the entry sees the new incarnation, an attempt that was sent to the
			// old one ends with otherIncarnation.
			c.Assert(outcome == "notRun" || code == "otherIncarnation", qt.IsTrue, qt.Commentf("%s %s", code, outcome))
			c.Assert(time.Now().Before(deadline), qt.IsTrue)
		}
	}
	c.Assert(s.Ledger.Runs()["d1"], qt.Equals, 1)
}

func TestLogOutageRefusesOnlyRequestsWithKeys(t *testing.T) {
	c := qt.New(t)
	s := startSite(t, nil)
	s.Log.SetDown(true)
	time.Sleep(3 * time.Second) // Longer than evidence that the log is reachable stays fresh.
	r := send(t, s, "entry-0", "POST", "/services/order-desk/deposits", "x", "Idempotency-Key", "k", plain.OperationHeader, "d1")
	code, outcome := failureCode(t, r)
	c.Assert([]string{code, outcome}, qt.DeepEquals, []string{"logUnavailable", "notRun"})
	c.Assert(s.Ledger.Runs()["d1"], qt.Equals, 0)
	r = send(t, s, "entry-0", "POST", "/services/order-desk/deposits", "x", plain.OperationHeader, "d2")
	c.Assert(r.StatusCode, qt.Equals, http.StatusOK)
	r = send(t, s, "entry-1", "POST", "/v1/chat/completions", chatBody(2, false))
	c.Assert(r.StatusCode, qt.Equals, http.StatusOK)
}

func TestPublishSucceedsAfterLostAppendResponse(t *testing.T) {
	c := qt.New(t)
	s := startSite(t, nil)
	p := desk.NewPublisher(platform.NewClient(s.Platform, nil))
	c.Assert(p.Refresh(context.Background()), qt.IsNil)
	s.Log.LoseResponses(1)
	edit, err := desk.DataCentreOutEdit("sfax-a", s.Inventory.DataCentres["sfax-a"], true)
	c.Assert(err, qt.IsNil)
	_, err = p.Publish(context.Background(), "amel", []operator.Edit{edit})
	c.Assert(err, qt.IsNil)
}

func TestTakenOutDataCentreReceivesNoNewRequests(t *testing.T) {
	c := qt.New(t)
	s := startSite(t, nil)
	var out bytes.Buffer
	arguments := []string{"take-out", "sfax-a", "--platform", s.Platform.String(), "--entry", s.Operators["entry-0"].String()}
	c.Assert(desk.Main(context.Background(), arguments, &out, &out), qt.Equals, desk.ExitOK, qt.Commentf("%s", &out))
	c.Assert(out.String(), qt.Contains, "in force on 10 of 10")
	before := s.Engines["replica-00"].Counts().Received
	for range 20 {
		r := send(t, s, "entry-1", "POST", "/v1/chat/completions", chatBody(1, false))
		c.Assert(r.StatusCode, qt.Equals, http.StatusOK)
	}
	c.Assert(s.Engines["replica-00"].Counts().Received, qt.Equals, before)
	r := send(t, s, "entry-1", "GET", "/v1/entries", "")
	c.Assert(readAll(t, r), qt.Not(qt.Contains), "sfax-a")
}

func TestPlannedStopsInterruptNoStreams(t *testing.T) {
	c := qt.New(t)
	s := startSite(t, func(o *Options) { o.Engine.Step = 20 * time.Millisecond })
	var streams []*http.Response
	for range 6 {
		streams = append(streams, send(t, s, "entry-0", "POST", "/v1/chat/completions", chatBody(60, true)))
	}
	for _, name := range []string{"entry-0", "replica-00", "replica-01"} {
		s.Processes[name].Stop()
	}
	for _, r := range streams {
		c.Assert(r.StatusCode, qt.Equals, http.StatusOK)
		text := readAll(t, r)
		c.Assert(strings.Count(text, "data: "), qt.Equals, 61)
		c.Assert(text, qt.Contains, "data: [DONE]")
	}
	for _, name := range []string{"entry-0", "replica-00", "replica-01"} {
		<-s.Processes[name].Done
	}
}

func TestCancelStopsRequestAtTarget(t *testing.T) {
	c := qt.New(t)
	s := startSite(t, func(o *Options) { o.Engine.Step = 50 * time.Millisecond })
	r := send(t, s, "entry-0", "POST", "/v1/chat/completions", chatBody(100000, true), "X-Request-Id", "long")
	_, err := readEvent(bufio.NewReader(r.Body))
	c.Assert(err, qt.IsNil)
	c.Assert(send(t, s, "entry-2", "DELETE", "/v1/requests/long", "").StatusCode, qt.Equals, http.StatusNoContent)
	deadline := time.Now().Add(testTimeout)
	for running := 1; running > 0; {
		running = 0
		for _, e := range s.Engines {
			running += e.Running()
		}
		c.Assert(time.Now().Before(deadline), qt.IsTrue)
		time.Sleep(10 * time.Millisecond)
	}
}

func TestBadInputNamesTheField(t *testing.T) {
	c := qt.New(t)
	s := startSite(t, func(o *Options) { o.Replicas, o.Plains = 1, 1 })
	long := strings.Repeat("x", 300)
	for _, test := range []struct {
		method, path, body string
		header             []string
		status             int
		code, field        string
	}{
		{"POST", "/v1/chat/completions", `{"messages":[]}`, nil, 400, "badRequest", "model"},
		{"POST", "/v1/chat/completions", `{"model":"no","messages":[{"role":"user","content":"x"}]}`, nil, 404, "unknownModel", "model"},
		{"POST", "/v1/chat/completions", `{`, nil, 400, "badRequest", "body"},
		{"POST", "/v1/chat/completions", chatBody(1, false), []string{"Authorization", "Bearer no"}, 401, "noOrganisation", "Authorization"},
		{"POST", "/v1/chat/completions", chatBody(1, false), []string{"X-Request-Id", "a b"}, 400, "badRequest", "X-Request-Id"},
		{"GET", "/v1/streams/x", "", []string{"Last-Event-ID", "1"}, 400, "badEventId", "Last-Event-ID"},
		{"POST", "/services/nothing/x", "", nil, 404, "unknownService", "path"},
		{"POST", "/services/order-desk/deposits", "", []string{"Idempotency-Key", long}, 400, "badRequest", "Idempotency-Key"},
		{"GET", "/nothing", "", nil, 404, "notFound", "/nothing"},
	} {
		r := send(t, s, "entry-0", test.method, test.path, test.body, test.header...)
		var body struct{ Code, Field, Outcome string }
		text := readAll(t, r)
		c.Assert(json.Unmarshal([]byte(text), &body), qt.IsNil, qt.Commentf("%s %s: %s", test.method, test.path, text))
		c.Check([]any{r.StatusCode, body.Code, body.Field, body.Outcome}, qt.DeepEquals,
			[]any{test.status, test.code, test.field, "notRun"}, qt.Commentf("%s %s: %s", test.method, test.path, text))
	}
}

func TestLargeAndEmptyBodiesAreForwarded(t *testing.T) {
	c := qt.New(t)
	s := startSite(t, func(o *Options) { o.Replicas = 1 })
	large := strings.Repeat("0123456789abcdef", 1<<18)
	r := send(t, s, "entry-0", "PUT", "/services/order-desk/notes", large)
	c.Assert(r.StatusCode, qt.Equals, http.StatusOK)
	c.Assert(strings.HasSuffix(readAll(t, r), large), qt.IsTrue)
	r = send(t, s, "entry-0", "HEAD", "/services/order-desk/notes", "")
	c.Assert(r.StatusCode, qt.Equals, http.StatusOK)
	c.Assert(readAll(t, r), qt.Equals, "")
}

func TestConflictingPublishReturnsErrConflict(t *testing.T) {
	c := qt.New(t)
	s := startSite(t, func(o *Options) { o.Replicas, o.Plains = 1, 1 })
	client := platform.NewClient(s.Platform, nil)
	first, second := desk.NewPublisher(client), desk.NewPublisher(client)
	c.Assert(first.Refresh(context.Background()), qt.IsNil)
	c.Assert(second.Refresh(context.Background()), qt.IsNil)
	out, err := desk.DataCentreOutEdit("sfax-b", operator.DataCentre{Region: "sfax"}, true)
	c.Assert(err, qt.IsNil)
	_, err = first.Publish(context.Background(), "amel", []operator.Edit{out})
	c.Assert(err, qt.IsNil)
	other, err := desk.DataCentreOutEdit("sfax-b", operator.DataCentre{Region: "other"}, false)
	c.Assert(err, qt.IsNil)
	_, err = second.Publish(context.Background(), "bilel", []operator.Edit{other})
	c.Assert(err, qt.ErrorIs, desk.ErrConflict)
	c.Assert(err, qt.ErrorMatches, ".*dataCentres/sfax-b.*")
}

// awaitStep waits until the last step of the group matches and returns it.
func awaitStep(t *testing.T, s *Site, matches func(engine.CompletedStep) bool) engine.CompletedStep {
	for deadline := time.Now().Add(testTimeout); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		if last, _, _ := s.Lockstep.Progress(); matches(last) {
			return last
		}
	}
	last, done, mixed := s.Lockstep.Progress()
	t.Fatalf("no matching step: last step %+v after %d steps, %d of them with two maps", last, done, mixed)
	return last
}

// publishMap publishes a new version of the group's expert map.
func (s *Site) publishMap(t *testing.T, version uint64) {
	p := desk.NewPublisher(platform.NewClient(s.Platform, nil))
	qt.Assert(t, p.Refresh(context.Background()), qt.IsNil)
	group := p.Config().Inventory().Groups[GroupName]
	group.Map = version
	value, err := json.Marshal(group)
	qt.Assert(t, err, qt.IsNil)
	_, err = p.Publish(context.Background(), "amel", []operator.Edit{{Key: operator.Key{Collection: operator.Groups, Name: GroupName}, Value: value}})
	qt.Assert(t, err, qt.IsNil)
}

func TestGroupUsesOneMapInEveryStep(t *testing.T) {
	c := qt.New(t)
	s := startSite(t, func(o *Options) { o.Replicas, o.Plains, o.Ranks = 4, 1, true })
	first := awaitStep(t, s, func(l engine.CompletedStep) bool { return l.Map == 1 && l.Step > 5 })
	s.publishMap(t, 2)
	second := awaitStep(t, s, func(l engine.CompletedStep) bool { return l.Map == 2 })
	c.Assert(second.Generation, qt.Equals, first.Generation, qt.Commentf("switching the map must not re-form the group"))
	c.Assert(s.RestartAgent("replica-02"), qt.IsNil)
	s.publishMap(t, 3) // The switch runs concurrently with the re-formation of the group.
	third := awaitStep(t, s, func(l engine.CompletedStep) bool { return l.Generation > first.Generation && l.Map == 3 })
	s.Processes["entry-0"].Kill()
	s.Processes["entry-1"].Kill() // Either may be the coordinator; another entry takes over.
	s.publishMap(t, 4)
	awaitStep(t, s, func(l engine.CompletedStep) bool { return l.Map == 4 && l.Generation >= third.Generation })
	_, _, mixed := s.Lockstep.Progress()
	c.Assert(mixed, qt.Equals, 0)
}

func TestStreamResumesAtEntryThatDoesNotUseTheTarget(t *testing.T) {
	c := qt.New(t)
	s := startSite(t, func(o *Options) { o.Replicas, o.Engine.Step = 20, 10*time.Millisecond })
	const tokens = 30
	for i := range 6 { // Each entry uses 8 of 20 targets, so some are used by one entry only.
		id := fmt.Sprint("job-", i)
		r := send(t, s, "entry-0", "POST", "/v1/chat/completions", chatBody(tokens, true), "X-Request-Id", id)
		first, err := readEvent(bufio.NewReader(r.Body))
		c.Assert(err, qt.IsNil)
		r.Body.Close()
		rest := send(t, s, "entry-2", "GET", "/v1/streams/"+id, "", "Last-Event-ID", first.id)
		c.Assert(rest.StatusCode, qt.Equals, http.StatusOK)
		c.Assert(strings.Count(readAll(t, rest), "data: "), qt.Equals, tokens)
	}
}

func TestInformationalResponsesTrailersAndExpect(t *testing.T) {
	c := qt.New(t)
	s := startSite(t, func(o *Options) { o.Replicas, o.Plains = 1, 1 })
	var hints []int
	trace := &httptrace.ClientTrace{Got1xxResponse: func(status int, header textproto.MIMEHeader) error {
		hints = append(hints, status)
		c.Check(status == http.StatusContinue || header.Get("Link") != "", qt.IsTrue)
		return nil
	}}
	ctx := httptrace.WithClientTrace(context.Background(), trace)
	request, err := http.NewRequestWithContext(ctx, "PUT", "http://"+s.Callers["entry-0"].String()+"/services/order-desk"+plain.HintsPath, strings.NewReader("body"))
	c.Assert(err, qt.IsNil)
	request.Header.Set("Authorization", "Bearer "+APIKey)
	request.Header.Set("Expect", "100-continue")
	client := &http.Client{Transport: &http.Transport{ExpectContinueTimeout: time.Minute}}
	r, err := client.Do(request)
	c.Assert(err, qt.IsNil)
	defer r.Body.Close()
	c.Assert(readAll(t, r), qt.Contains, "body")
	c.Assert(hints, qt.Contains, http.StatusEarlyHints)
	c.Assert(r.Header.Get("Link"), qt.Equals, "", qt.Commentf("the final response carries the Link header of the early hints"))
	c.Assert(r.Trailer.Get(plain.TrailerName), qt.Equals, "sum")
}

// Another process must not take the operators' port before the daemon serves on it.
func TestOperatorPortIsHeldUntilItIsServed(t *testing.T) {
	c := qt.New(t)
	s := &Site{Operators: make(map[string]netip.AddrPort)}
	common, operators, err := s.common("entry-0", "dc-a", netip.AddrPort{})
	c.Assert(err, qt.IsNil)
	defer operators.Close()
	_, err = net.Listen("tcp", common.Operators.String())
	c.Assert(err, qt.ErrorIs, syscall.EADDRINUSE)
}
