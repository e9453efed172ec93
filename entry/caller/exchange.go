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
	// bodyChunkBytes is the largest part of a request's body in one peer message.
	bodyChunkBytes = 32 << 10
	// maxPendingEffects is the capacity of an exchange's queue of effects.
	maxPendingEffects = 64
)

var (
	// errNotSent reports that there was no link to the agent and nothing was sent.
	errNotSent = fault.NewSentinel("caller", "notSent")

	// ErrRequestFailed matches the errors of requests that failed before their
	// response was complete.
	ErrRequestFailed = fault.NewSentinel("caller", "failed")
)

// failure is an error that carries the outcome and code sent to the caller.
type failure struct{ control.Failure }

// Error returns the failure's code and outcome.
func (f *failure) Error() string { return fmt.Sprintf("%s (%s)", f.Code, f.Outcome) }

// Is reports whether target is ErrRequestFailed, which every failure matches.
func (f *failure) Is(target error) bool { return target == ErrRequestFailed }

// sink receives a response while the target produces it.
type sink interface {
	writeInformational(status int, header http.Header)
	writeHead(status int, header http.Header) error
	write(point outputPoint, data []byte) error
}

// outputPoint is a position in an attempt's output, counted in bytes of the body.
type outputPoint struct {
	attempt     control.AttemptID
	target      string
	incarnation uint64
	position    uint64
}

// exchange forwards one caller's request and returns its response. The reducer
// makes the decisions; the exchange executes the reducer's effects.
type exchange struct {
	entry   *Entry
	request control.Request
	submit  *peer.Submit
	// body is the request's body unless buffered holds it. Only a buffered body can
	// be sent again by another attempt.
	body     io.Reader
	buffered []byte

	effects  chan control.Effect
	messages chan streamMessage
	sink     sink

	// stream numbers the streams of the exchange; messages of earlier ones are dropped.
	stream int
	// attaching is set while the stream attaches to an attempt submitted earlier.
	attaching bool
	cancel    context.CancelFunc
	attempt   control.AttemptID
	// delivered is the end of the output that was passed to the sink.
	delivered   outputPoint
	headWritten bool
	trailer     http.Header
}

// streamMessage is a message that a stream received, or the error that ended the
// stream, with the number of the stream.
type streamMessage struct {
	stream  int
	message *peer.AttemptResponse
	err     error
}

func newExchange(e *Entry, request control.Request, submit *peer.Submit, sink sink) *exchange {
	return &exchange{
		entry: e, request: request, submit: submit, sink: sink,
		effects:  make(chan control.Effect, maxPendingEffects),
		messages: make(chan streamMessage),
	}
}

// enqueue passes an effect to the exchange without blocking the control goroutine.
func (x *exchange) enqueue(effect control.Effect) {
	select {
	case x.effects <- effect:
	default:
		// The exchange is blocked in its sink. The reducer follows a dropped Forward
		// or Reattach with another Reattach; a dropped Fail is not repeated.
	}
}

// run sends the initial event to the reducer and processes the request until its
// response is complete. Errors match ErrRequestFailed, or come from the sink or the
// context.
func (x *exchange) run(ctx context.Context, initial control.Event) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	if !x.register() {
		return &failure{control.Failure{Outcome: control.OutcomeNotRun, Code: control.CodeDuplicateAttempt}}
	}
	defer x.unregister()
	x.entry.node.Send(initial)
	defer x.entry.node.Send(control.RequestClosed{Request: x.request.ID})
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case effect := <-x.effects:
			if err := x.apply(ctx, effect); err != nil {
				return err
			}
		case m := <-x.messages:
			done, err := x.handleMessage(m)
			if done || err != nil {
				return err
			}
		}
	}
}

// register returns false if another exchange has the same request ID.
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

// apply executes one effect of the reducer.
func (x *exchange) apply(ctx context.Context, effect control.Effect) error {
	switch e := effect.(type) {
	case control.Forward:
		x.delivered = outputPoint{attempt: e.Attempt, target: e.Target, incarnation: e.Incarnation}
		submit := x.newSubmit(e)
		x.openStream(ctx, e.Attempt, e.Target, &peer.Open{Kind: &peer.Open_Submit{Submit: submit}})
	case control.Reattach:
		x.delivered.attempt, x.delivered.target, x.delivered.incarnation = e.Attempt, e.Target, e.Incarnation
		x.openStream(ctx, e.Attempt, e.Target, &peer.Open{Kind: &peer.Open_Attach{Attach: x.newAttach(e)}})
	case control.Fail:
		x.entry.count("failed", e.Failure.Outcome, e.Failure.Code)
		events.Log(x.entry.logger, events.RequestFailed, log.Fields{
			"request": x.request.ID, "outcome": e.Failure.Outcome, "code": e.Failure.Code,
		})
		return &failure{e.Failure}
	}
	return nil
}

func (x *exchange) newSubmit(e control.Forward) *peer.Submit {
	submit := x.submit
	return &peer.Submit{
		Attempt: string(e.Attempt), Incarnation: e.Incarnation,
		Request: submit.GetRequest(), Service: submit.GetService(), Organisation: submit.GetOrganisation(),
		Method: submit.GetMethod(), Path: submit.GetPath(), Headers: submit.GetHeaders(),
		Idempotent: submit.GetIdempotent(), Key: submit.GetKey(), Fingerprint: submit.GetFingerprint(),
		Priority: submit.GetPriority(),
	}
}

func (x *exchange) newAttach(e control.Reattach) *peer.Attach {
	organisation, request := splitRequestID(e.Request)
	return &peer.Attach{
		Attempt: string(e.Attempt), Request: request, Organisation: organisation,
		Incarnation: e.Incarnation, Position: x.delivered.position,
	}
}

// openStream opens a stream to an agent and cancels the exchange's previous stream.
func (x *exchange) openStream(ctx context.Context, attempt control.AttemptID, target string, first *peer.Open) {
	if x.cancel != nil {
		x.cancel()
	}
	x.stream++
	x.attempt = attempt
	x.attaching = first.GetAttach() != nil
	streamContext, cancel := context.WithCancel(ctx)
	x.cancel = cancel
	go x.readMessages(streamContext, x.stream, target, first)
}

// readMessages passes the messages of one stream to the exchange, and the error that
// ends the stream. It sends the request's body when the agent admits the attempt.
func (x *exchange) readMessages(ctx context.Context, stream int, target string, first *peer.Open) {
	deliver := func(message *peer.AttemptResponse, err error) bool {
		select {
		case x.messages <- streamMessage{stream: stream, message: message, err: err}:
			return err == nil
		case <-ctx.Done():
			return false
		}
	}
	link, release, ok := x.entry.node.LinkOrDial(ctx, target)
	if !ok {
		deliver(nil, errNotSent)
		return
	}
	defer release()
	s, err := link.Open(first)
	if err != nil {
		deliver(nil, err)
		return
	}
	defer s.Close()
	stop := s.CloseOnDone(ctx)
	defer stop()
	admitted := false
	for {
		message := new(peer.AttemptResponse)
		if err := s.Receive(message); err != nil {
			deliver(nil, err)
			return
		}
		verdict := message.GetVerdict()
		if !admitted && verdict.GetOutcome() == string(control.OutcomeAdmitted) && first.GetSubmit() != nil {
			admitted = true
			go x.sendBody(s)
		}
		if !deliver(message, nil) {
			return
		}
	}
}

// sendBody sends the request's body in chunks, the final one marked Last.
func (x *exchange) sendBody(s *peer.Stream) {
	body := x.body
	if x.buffered != nil {
		body = strings.NewReader(string(x.buffered))
	}
	if body == nil {
		body = http.NoBody
	}
	buffer := make([]byte, bodyChunkBytes)
	for {
		count, err := io.ReadFull(body, buffer)
		last := err == io.EOF || err == io.ErrUnexpectedEOF
		if err != nil && !last {
			_ = s.Close() // Without Last, the target cannot mistake the truncated body for a complete one.
			return
		}
		if err := s.Send(&peer.Chunk{Data: buffer[:count], Last: last}); err != nil || last {
			return // readMessages reports a broken link.
		}
	}
}

// handleMessage processes one message; done is set when the response is complete.
func (x *exchange) handleMessage(m streamMessage) (done bool, err error) {
	if m.stream != x.stream {
		return false, nil
	}
	if errors.Is(m.err, errNotSent) && !x.attaching {
		x.entry.node.Send(control.VerdictReceived{
			Request: x.request.ID, Attempt: x.attempt,
			Verdict: control.Verdict{Outcome: control.OutcomeNotRun, Code: control.CodeLinkLost},
		})
		return false, nil
	}
	if m.err != nil {
		x.entry.node.Send(control.AttemptDisconnected{Request: x.request.ID, Attempt: x.attempt})
		return false, nil
	}
	switch kind := m.message.GetKind().(type) {
	case *peer.AttemptResponse_Verdict:
		x.entry.node.Send(control.VerdictReceived{
			Request: x.request.ID, Attempt: x.attempt,
			Verdict: kind.Verdict.Decode(), Load: kind.Verdict.GetLoad().Decode(),
		})
	case *peer.AttemptResponse_Head:
		return false, x.handleHead(kind.Head)
	case *peer.AttemptResponse_Data:
		return false, x.handleData(kind.Data)
	case *peer.AttemptResponse_End:
		return x.handleEnd(kind.End), nil
	}
	return false, nil
}

func (x *exchange) handleHead(h *peer.Head) error {
	header := make(http.Header)
	peer.AddHeaders(header, h.GetHeaders())
	if h.GetInformational() {
		x.sink.writeInformational(int(h.GetStatus()), header)
		return nil
	}
	if x.headWritten {
		return nil // The agent repeats the head when a stream attaches.
	}
	x.headWritten = true
	x.entry.node.Send(control.AttemptFirstOutput{Request: x.request.ID, Attempt: x.attempt})
	return x.sink.writeHead(int(h.GetStatus()), header)
}

func (x *exchange) handleData(d *peer.Data) error {
	if d.GetPosition() != x.delivered.position {
		return nil // Not contiguous with the delivered output.
	}
	x.delivered.position += uint64(len(d.GetBytes()))
	return x.sink.write(x.delivered, d.GetBytes())
}

// handleEnd returns true if the response is complete. Otherwise it reports the
// failed attempt to the reducer.
func (x *exchange) handleEnd(end *peer.End) bool {
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

// requestID prefixes a caller's ID with the organisation, since IDs are unique only
// within one organisation.
func requestID(organisation, id string) control.RequestID {
	return control.RequestID(organisation + "/" + id)
}

// splitRequestID is the inverse of requestID.
func splitRequestID(id control.RequestID) (organisation, request string) {
	organisation, request, _ = strings.Cut(string(id), "/")
	return organisation, request
}
