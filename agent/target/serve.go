package target

import (
	"context"
	"io"
	"net/http"
	"net/url"

	"chervilswitch.example/shared/control"
	"chervilswitch.example/shared/peer"
)

// servePeer serves one stream that an entry or another agent opened.
func (a *Agent) servePeer(ctx context.Context, first *peer.Open, s *peer.Stream) {
	if a.node.HandleStream(ctx, first, s) {
		return
	}
	switch kind := first.GetKind().(type) {
	case *peer.Open_Submit:
		a.serveSubmit(ctx, kind.Submit, s)
	case *peer.Open_Attach:
		a.serveAttach(ctx, kind.Attach, s)
	case *peer.Open_Cancel:
		a.cancelRequest(kind.Cancel)
	}
}

// serveSubmit requests a decision on an attempt. If the attempt is admitted, serveSubmit
// receives its body, unless it joins an earlier attempt, and sends the response. Entries
// send the body only after the verdict, so that they still have all of it to send to
// another target after a refusal.
func (a *Agent) serveSubmit(ctx context.Context, submit *peer.Submit, s *peer.Stream) {
	id := control.AttemptID(submit.GetAttempt())
	reader, writer := io.Pipe()
	defer writer.CloseWithError(io.ErrUnexpectedEOF)
	a.addPending(id, &pendingAttempt{submit: submit, body: reader})
	d, ok := a.requestDecision(ctx, id, control.AttemptSubmitted{Submission: control.Submission{
		Attempt:     id,
		Incarnation: submit.GetIncarnation(),
		Method:      submit.GetMethod(),
		Path:        decodedPath(submit.GetPath()),
		Idempotent:  submit.GetIdempotent(),
		Key:         submit.GetKey(),
		Fingerprint: submit.GetFingerprint(),
	}})
	if !ok {
		return
	}
	a.removePending(id)
	if err := s.Send(peer.NewVerdict(d.verdict, d.load)); err != nil || d.outputID == "" {
		return
	}
	if d.outputID == id {
		go receiveBody(s, writer)
	}
	a.sendOutput(ctx, d.outputID, 0, s)
}

// decodedPath returns the decoded path of a request target, which the service's rules
// are matched against, or the request target itself if it cannot be parsed.
func decodedPath(requestTarget string) string {
	parsed, err := url.ParseRequestURI(requestTarget)
	if err != nil {
		return requestTarget
	}
	return parsed.Path
}

func (a *Agent) addPending(id control.AttemptID, attempt *pendingAttempt) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.pending[id] = attempt
}

func (a *Agent) removePending(id control.AttemptID) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	delete(a.pending, id)
}

// receiveBody copies the chunks of a body from the stream to the target's request.
func receiveBody(s *peer.Stream, writer *io.PipeWriter) {
	for {
		chunk := new(peer.Chunk)
		if err := s.Receive(chunk); err != nil {
			writer.CloseWithError(err)
			return
		}
		if len(chunk.GetData()) > 0 {
			if _, err := writer.Write(chunk.GetData()); err != nil {
				return // The request to the target has ended.
			}
		}
		if chunk.GetLast() {
			_ = writer.Close()
			return
		}
	}
}

// serveAttach sends the verdict on an attempt and, if it has an output, the response
// from the caller's position on.
func (a *Agent) serveAttach(ctx context.Context, attach *peer.Attach, s *peer.Stream) {
	id := control.AttemptID(attach.GetAttempt())
	d, ok := a.requestDecision(ctx, id, control.AttachRequested{Attempt: id, Incarnation: attach.GetIncarnation()})
	if !ok {
		return
	}
	if d.outputID != "" && !a.canRead(d.outputID, attach) {
		d.verdict = control.Verdict{Outcome: control.OutcomeUnknown, Code: control.CodeNeverSeen}
		d.outputID = ""
	}
	if err := s.Send(peer.NewVerdict(d.verdict, d.load)); err != nil || d.outputID == "" {
		return
	}
	a.sendOutput(ctx, d.outputID, attach.GetPosition(), s)
}

// canRead reports whether an output exists and belongs to the caller's organisation.
func (a *Agent) canRead(id control.AttemptID, attach *peer.Attach) bool {
	o, ok := a.output(id)
	return ok && o.organisation == attach.GetOrganisation()
}

func (a *Agent) output(id control.AttemptID) (*output, bool) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	o, ok := a.outputs[id]
	return o, ok
}

// sendOutput sends a response from a position to its end.
func (a *Agent) sendOutput(ctx context.Context, id control.AttemptID, position uint64, s *peer.Stream) {
	o, ok := a.output(id)
	if !ok {
		_ = s.Send(endResponse(update{code: control.CodeNeverSeen}, control.Load{}))
		return
	}
	a.node.Send(control.ReadersChanged{Attempt: id, Readers: o.addReaders(1)})
	defer func() { a.node.Send(control.ReadersChanged{Attempt: id, Readers: o.addReaders(-1)}) }()
	interim, headSeen := 0, false
	for {
		u, ok := o.next(ctx, position, interim, headSeen)
		if !ok {
			_ = s.Send(endResponse(update{code: control.CodeNeverSeen}, control.Load{}))
			return
		}
		if err := sendUpdate(s, u, position); err != nil {
			return
		}
		interim += len(u.interim)
		headSeen = headSeen || u.status != 0
		position += uint64(len(u.data))
		o.markSent(position, false)
		if u.ended {
			a.sendEnd(ctx, s, o, position, u)
			return
		}
	}
}

// sendEnd sends the end of a response together with the agent's load.
func (a *Agent) sendEnd(ctx context.Context, s *peer.Stream, o *output, position uint64, u update) {
	var load control.Load
	a.node.Query(ctx, func(st *control.State) { load = st.Load() })
	if err := s.Send(endResponse(u, load)); err == nil {
		o.markSent(position, true)
	}
}

func sendUpdate(s *peer.Stream, u update, position uint64) error {
	for _, h := range u.interim {
		if err := s.Send(headResponse(h.status, h.header, true)); err != nil {
			return err
		}
	}
	if u.status != 0 {
		if err := s.Send(headResponse(u.status, u.header, false)); err != nil {
			return err
		}
	}
	if len(u.data) == 0 {
		return nil
	}
	return s.Send(&peer.AttemptResponse{Kind: &peer.AttemptResponse_Data{Data: &peer.Data{Position: position, Bytes: u.data}}})
}

func headResponse(status int, header http.Header, informational bool) *peer.AttemptResponse {
	return &peer.AttemptResponse{Kind: &peer.AttemptResponse_Head{Head: &peer.Head{
		Status: int32(status), Headers: peer.NewHeaders(header), Informational: informational,
	}}}
}

func endResponse(u update, load control.Load) *peer.AttemptResponse {
	return &peer.AttemptResponse{Kind: &peer.AttemptResponse_End{End: &peer.End{
		Whole: u.complete, Code: string(u.code), Trailers: peer.NewHeaders(u.trailer), Load: peer.NewLoad(load),
	}}}
}

// cancelRequest cancels the target's work for all attempts of a request.
func (a *Agent) cancelRequest(c *peer.Cancel) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	for _, o := range a.outputs {
		if o.request == c.GetRequest() && o.organisation == c.GetOrganisation() {
			o.cancel()
		}
	}
}
