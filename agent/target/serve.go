package target

import (
	"context"
	"io"
	"net/http"
	"net/url"

	"chervilswitch.example/shared/control"
	"chervilswitch.example/shared/peer"
)

// servePeer answers one stream of an entry or another agent.
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

// serveSubmit asks for a decision and, if the attempt runs, carries its body in
// and its answer out. The body is sent only after the verdict, so that a
// refused request can be tried elsewhere whole.
func (a *Agent) serveSubmit(ctx context.Context, submit *peer.Submit, s *peer.Stream) {
	id := control.AttemptID(submit.GetAttempt())
	reader, writer := io.Pipe()
	defer writer.CloseWithError(io.ErrUnexpectedEOF)
	a.hold(id, &attempt{submit: submit, body: reader})
	d, ok := a.ask(ctx, id, control.AttemptSubmitted{Submission: control.Submission{
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
	a.release(id)
	if err := s.Send(peer.NewVerdict(d.verdict, d.load)); err != nil || d.reads == "" {
		return
	}
	if d.reads == id {
		go receiveBody(s, writer)
	}
	a.sendOutput(ctx, d.reads, 0, s)
}

// decodedPath is the path as rules match it. One that cannot be decoded matches
// as it is.
func decodedPath(target string) string {
	parsed, err := url.ParseRequestURI(target)
	if err != nil {
		return target
	}
	return parsed.Path
}

func (a *Agent) hold(id control.AttemptID, held *attempt) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.bodies[id] = held
}

func (a *Agent) release(id control.AttemptID) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	delete(a.bodies, id)
}

// receiveBody carries the body's chunks to the target's request.
func receiveBody(s *peer.Stream, writer *io.PipeWriter) {
	for {
		chunk := new(peer.Chunk)
		if err := s.Receive(chunk); err != nil {
			writer.CloseWithError(err)
			return
		}
		if len(chunk.GetData()) > 0 {
			if _, err := writer.Write(chunk.GetData()); err != nil {
				return // The target wants no more of it.
			}
		}
		if chunk.GetLast() {
			_ = writer.Close()
			return
		}
	}
}

// serveAttach answers a question about an attempt and goes on with its output.
func (a *Agent) serveAttach(ctx context.Context, attach *peer.Attach, s *peer.Stream) {
	id := control.AttemptID(attach.GetAttempt())
	d, ok := a.ask(ctx, id, control.AttachRequested{Attempt: id, Incarnation: attach.GetIncarnation()})
	if !ok {
		return
	}
	if d.reads != "" && !a.readable(d.reads, attach) {
		d.verdict = control.Verdict{Outcome: control.OutcomeUnknown, Code: control.CodeNeverSeen}
		d.reads = ""
	}
	if err := s.Send(peer.NewVerdict(d.verdict, d.load)); err != nil || d.reads == "" {
		return
	}
	a.sendOutput(ctx, d.reads, attach.GetPosition(), s)
}

// readable tells whether an output exists and belongs to who asks for it.
func (a *Agent) readable(id control.AttemptID, attach *peer.Attach) bool {
	o, ok := a.output(id)
	return ok && o.organisation == attach.GetOrganisation()
}

func (a *Agent) output(id control.AttemptID) (*output, bool) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	o, ok := a.outputs[id]
	return o, ok
}

// sendOutput sends an answer from a position on until it has ended.
func (a *Agent) sendOutput(ctx context.Context, id control.AttemptID, position uint64, s *peer.Stream) {
	o, ok := a.output(id)
	if !ok {
		_ = s.Send(endAnswer(piece{code: control.CodeNeverSeen}, control.Load{}))
		return
	}
	a.node.Send(control.WatchersChanged{Attempt: id, Watchers: o.watch(1)})
	defer func() { a.node.Send(control.WatchersChanged{Attempt: id, Watchers: o.watch(-1)}) }()
	hints, headSeen := 0, false
	for {
		p, ok := o.next(ctx, position, hints, headSeen)
		if !ok {
			_ = s.Send(endAnswer(piece{code: control.CodeNeverSeen}, control.Load{}))
			return
		}
		if err := sendPiece(s, p, position); err != nil {
			return
		}
		hints += len(p.hints)
		headSeen = headSeen || p.status != 0
		position += uint64(len(p.data))
		o.confirm(position, false)
		if p.ended {
			a.sendEnd(ctx, s, o, position, p)
			return
		}
	}
}

func (a *Agent) sendEnd(ctx context.Context, s *peer.Stream, o *output, position uint64, p piece) {
	var load control.Load
	a.node.Query(ctx, func(st *control.State) { load = st.Load() })
	if err := s.Send(endAnswer(p, load)); err == nil {
		o.confirm(position, true)
	}
}

func sendPiece(s *peer.Stream, p piece, position uint64) error {
	for _, h := range p.hints {
		if err := s.Send(headAnswer(h.status, h.header, true)); err != nil {
			return err
		}
	}
	if p.status != 0 {
		if err := s.Send(headAnswer(p.status, p.header, false)); err != nil {
			return err
		}
	}
	if len(p.data) == 0 {
		return nil
	}
	return s.Send(&peer.AttemptResponse{Kind: &peer.AttemptResponse_Data{Data: &peer.Data{Position: position, Bytes: p.data}}})
}

func headAnswer(status int, header http.Header, informational bool) *peer.AttemptResponse {
	return &peer.AttemptResponse{Kind: &peer.AttemptResponse_Head{Head: &peer.Head{
		Status: int32(status), Headers: peer.NewHeaders(header), Informational: informational,
	}}}
}

func endAnswer(p piece, load control.Load) *peer.AttemptResponse {
	return &peer.AttemptResponse{Kind: &peer.AttemptResponse_End{End: &peer.End{
		Whole: p.whole, Code: string(p.code), Trailers: peer.NewHeaders(p.trailer), Load: peer.NewLoad(load),
	}}}
}

// cancelRequest ends the work of all attempts of a request.
func (a *Agent) cancelRequest(c *peer.Cancel) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	for _, o := range a.outputs {
		if o.request == c.GetRequest() && o.organisation == c.GetOrganisation() {
			o.cancel()
		}
	}
}
