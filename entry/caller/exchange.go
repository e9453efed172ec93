package caller

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"

	"chervilswitch.example/shared/control"
	"chervilswitch.example/shared/events"
	"chervilswitch.example/shared/fault"
	"chervilswitch.example/shared/peer"

	"github.com/apex/log"
)

const (
	bodyChunkBytes = 32 << 10
	// maxOrders bounds what the reducer may have told an exchange and not seen done.
	maxOrders = 64
)

var (
	// errNotSent means that there was no link, so that nothing was written.
	errNotSent = fault.NewSentinel("caller", "notSent")

	// ErrRequestFailed is matched when a request ended without a whole answer.
	ErrRequestFailed = fault.NewSentinel("caller", "failed")
)

// failure is an error with what the caller is told.
type failure struct{ control.Failure }

// Error names the cause and the outcome.
func (f *failure) Error() string { return fmt.Sprintf("%s (%s)", f.Code, f.Outcome) }

// Is makes every failure match ErrFailed.
func (f *failure) Is(target error) bool { return target == ErrRequestFailed }

// sink takes an answer as it comes.
type sink interface {
	hint(status int, header http.Header)
	head(status int, header http.Header) error
	write(at where, data []byte) error
}

// where is the place in an attempt's output after a piece of data.
type where struct {
	attempt     control.AttemptID
	target      string
	incarnation uint64
	position    uint64
}

// exchange carries one caller's request and its answer. The reducer decides;
// the exchange does what it is told.
type exchange struct {
	entry   *Entry
	request control.Request
	submit  *peer.Submit
	// body is sent to the target from its start; held is set if it can be sent again.
	body io.Reader
	held []byte

	orders  chan control.Effect
	answers chan tagged
	sink    sink

	stream int
	// attaching means that the stream asks after an attempt that was sent before.
	attaching bool
	cancel    context.CancelFunc
	attempt   control.AttemptID
	place     where
	headSent  bool
	trailer   http.Header
}

// tagged is an answer with the stream that it came from.
type tagged struct {
	stream int
	answer *peer.AttemptResponse
	err    error
}

func newExchange(e *Entry, request control.Request, submit *peer.Submit, sink sink) *exchange {
	return &exchange{
		entry: e, request: request, submit: submit, sink: sink,
		orders:  make(chan control.Effect, maxOrders),
		answers: make(chan tagged),
	}
}

// give hands over an order without blocking the control goroutine.
func (x *exchange) give(order control.Effect) {
	select {
	case x.orders <- order:
	default: // The exchange is stuck in its sink; the reducer asks again.
	}
}

// run begins with an event and carries the request until its answer is whole.
// Errors match ErrFailed, or are the sink's or the context's.
func (x *exchange) run(ctx context.Context, begin control.Event) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	if !x.register() {
		return &failure{control.Failure{Outcome: control.OutcomeNotRun, Code: control.CodeDuplicateAttempt}}
	}
	defer x.unregister()
	x.entry.node.Send(begin)
	defer x.entry.node.Send(control.RequestClosed{Request: x.request.ID})
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case order := <-x.orders:
			if err := x.obey(ctx, order); err != nil {
				return err
			}
		case t := <-x.answers:
			done, err := x.take(t)
			if done || err != nil {
				return err
			}
		}
	}
}

func (x *exchange) register() bool {
	x.entry.mutex.Lock()
	defer x.entry.mutex.Unlock()
	if _, ok := x.entry.exchanges[x.request.ID]; ok {
		return false
	}
	x.entry.exchanges[x.request.ID] = x
	return true
}

func (x *exchange) unregister() {
	x.entry.mutex.Lock()
	defer x.entry.mutex.Unlock()
	delete(x.entry.exchanges, x.request.ID)
}

func (x *exchange) obey(ctx context.Context, order control.Effect) error {
	switch o := order.(type) {
	case control.Forward:
		x.place = where{attempt: o.Attempt, target: o.Target, incarnation: o.Incarnation}
		submit := x.submitFor(o)
		x.begin(ctx, o.Attempt, o.Target, &peer.Open{Kind: &peer.Open_Submit{Submit: submit}})
	case control.Reattach:
		x.place.attempt, x.place.target, x.place.incarnation = o.Attempt, o.Target, o.Incarnation
		x.begin(ctx, o.Attempt, o.Target, &peer.Open{Kind: &peer.Open_Attach{Attach: x.attachFor(o)}})
	case control.Fail:
		x.entry.count("failed", o.Failure.Outcome, o.Failure.Code)
		events.Log(x.entry.logger, events.RequestFailed, log.Fields{
			"request": x.request.ID, "outcome": o.Failure.Outcome, "code": o.Failure.Code,
		})
		return &failure{o.Failure}
	}
	return nil
}

func (x *exchange) submitFor(o control.Forward) *peer.Submit {
	submit := x.submit
	return &peer.Submit{
		Attempt: string(o.Attempt), Incarnation: o.Incarnation,
		Request: submit.GetRequest(), Service: submit.GetService(), Organisation: submit.GetOrganisation(),
		Method: submit.GetMethod(), Path: submit.GetPath(), Headers: submit.GetHeaders(),
		Idempotent: submit.GetIdempotent(), Key: submit.GetKey(), Fingerprint: submit.GetFingerprint(),
		Priority: submit.GetPriority(),
	}
}

func (x *exchange) attachFor(o control.Reattach) *peer.Attach {
	organisation, request := splitRequestID(o.Request)
	return &peer.Attach{
		Attempt: string(o.Attempt), Request: request, Organisation: organisation,
		Incarnation: o.Incarnation, Position: x.place.position,
	}
}

// begin opens a stream to an agent in place of the one before.
func (x *exchange) begin(ctx context.Context, attempt control.AttemptID, target string, first *peer.Open) {
	if x.cancel != nil {
		x.cancel()
	}
	x.stream++
	x.attempt = attempt
	x.attaching = first.GetAttach() != nil
	streamContext, cancel := context.WithCancel(ctx)
	x.cancel = cancel
	go x.read(streamContext, x.stream, target, first)
}

// read carries one stream's answers to the exchange.
func (x *exchange) read(ctx context.Context, stream int, target string, first *peer.Open) {
	tell := func(answer *peer.AttemptResponse, err error) bool {
		select {
		case x.answers <- tagged{stream: stream, answer: answer, err: err}:
			return err == nil
		case <-ctx.Done():
			return false
		}
	}
	link, release, ok := x.entry.node.LinkOrDial(ctx, target)
	if !ok {
		tell(nil, errNotSent)
		return
	}
	defer release()
	s, err := link.Open(first)
	if err != nil {
		tell(nil, err)
		return
	}
	defer s.Close()
	stop := s.CloseWith(ctx)
	defer stop()
	admitted := false
	for {
		answer := new(peer.AttemptResponse)
		if err := s.Receive(answer); err != nil {
			tell(nil, err)
			return
		}
		verdict := answer.GetVerdict()
		if !admitted && verdict.GetOutcome() == string(control.OutcomeAdmitted) && first.GetSubmit() != nil {
			admitted = true
			go x.sendBody(s)
		}
		if !tell(answer, nil) {
			return
		}
	}
}

// sendBody sends the request's body once an attempt was admitted.
func (x *exchange) sendBody(s *peer.Stream) {
	body := x.body
	if x.held != nil {
		body = strings.NewReader(string(x.held))
	}
	if body == nil {
		body = http.NoBody
	}
	buffer := make([]byte, bodyChunkBytes)
	for {
		count, err := io.ReadFull(body, buffer)
		last := err == io.EOF || err == io.ErrUnexpectedEOF
		if err != nil && !last {
			_ = s.Close() // The caller's body broke off; the target must not take it for whole.
			return
		}
		if err := s.Send(&peer.Chunk{Data: buffer[:count], Last: last}); err != nil || last {
			return // A broken link is seen by the reader of the answers.
		}
	}
}

// take handles one answer; done means that the whole answer was delivered.
func (x *exchange) take(t tagged) (done bool, err error) {
	if t.stream != x.stream {
		return false, nil
	}
	if errors.Is(t.err, errNotSent) && !x.attaching {
		x.entry.node.Send(control.VerdictReceived{
			Request: x.request.ID, Attempt: x.attempt,
			Verdict: control.Verdict{Outcome: control.OutcomeNotRun, Code: control.CodeLinkLost},
		})
		return false, nil
	}
	if t.err != nil {
		x.entry.node.Send(control.AttemptDisconnected{Request: x.request.ID, Attempt: x.attempt})
		return false, nil
	}
	switch kind := t.answer.GetKind().(type) {
	case *peer.AttemptResponse_Verdict:
		x.entry.node.Send(control.VerdictReceived{
			Request: x.request.ID, Attempt: x.attempt,
			Verdict: kind.Verdict.Decode(), Load: kind.Verdict.GetLoad().Decode(),
		})
	case *peer.AttemptResponse_Head:
		return false, x.takeHead(kind.Head)
	case *peer.AttemptResponse_Data:
		return false, x.takeData(kind.Data)
	case *peer.AttemptResponse_End:
		return x.takeEnd(kind.End), nil
	}
	return false, nil
}

func (x *exchange) takeHead(h *peer.Head) error {
	header := make(http.Header)
	peer.AddHeaders(header, h.GetHeaders())
	if h.GetInformational() {
		x.sink.hint(int(h.GetStatus()), header)
		return nil
	}
	if x.headSent {
		return nil // A resumed answer begins with its head again.
	}
	x.headSent = true
	x.entry.node.Send(control.AttemptFirstOutput{Request: x.request.ID, Attempt: x.attempt})
	return x.sink.head(int(h.GetStatus()), header)
}

func (x *exchange) takeData(d *peer.Data) error {
	if d.GetPosition() != x.place.position {
		return nil // Not what follows; the stream is asked for again if it breaks.
	}
	x.place.position += uint64(len(d.GetBytes()))
	return x.sink.write(x.place, d.GetBytes())
}

func (x *exchange) takeEnd(end *peer.End) bool {
	if !end.GetWhole() {
		x.entry.node.Send(control.VerdictReceived{
			Request: x.request.ID, Attempt: x.attempt,
			Verdict: control.Verdict{Outcome: control.OutcomeUnknown, Code: control.Code(end.GetCode())},
			Load:    end.GetLoad().Decode(),
		})
		return false
	}
	x.entry.count("answered", control.OutcomeRan, "")
	x.trailer = make(http.Header)
	peer.AddHeaders(x.trailer, end.GetTrailers())
	x.entry.node.Send(control.AttemptEnded{Request: x.request.ID, Attempt: x.attempt, Load: end.GetLoad().Decode()})
	return true
}

// requestID makes a caller's id unique among organisations.
func requestID(organisation, id string) control.RequestID {
	return control.RequestID(organisation + "/" + id)
}

func splitRequestID(id control.RequestID) (organisation, request string) {
	organisation, request, _ = strings.Cut(string(id), "/")
	return organisation, request
}
