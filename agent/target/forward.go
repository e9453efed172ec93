package target

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"time"

	"chervilswitch.example/shared/control"
	"chervilswitch.example/shared/events"
	"chervilswitch.example/shared/peer"

	"github.com/apex/log"
)

const (
	// bootHeader and attemptHeader are what engines understand.
	bootHeader    = "X-Engine-Boot"
	attemptHeader = "X-Attempt"
	copyBytes     = 32 << 10
	loadEvery     = 100 * time.Millisecond
	loadTimeout   = time.Second
)

// attempt is a submission with its body, until it runs.
type attempt struct {
	submit *peer.Submit
	body   *io.PipeReader
}

// run starts the target's work; it runs on the control goroutine.
func (a *Agent) run(id control.AttemptID) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	held, ok := a.bodies[id]
	if !ok {
		return
	}
	delete(a.bodies, id)
	ctx, cancel := context.WithCancel(a.ctx)
	memory := outputMemory
	if held.submit.GetKey() != "" {
		memory = keyedMemory
	}
	o := newOutput(held.submit.GetRequest(), held.submit.GetOrganisation(), memory, cancel)
	a.outputs[id] = o
	go a.forward(ctx, id, held, o)
}

// forward carries a request to the target and its answer into the output.
func (a *Agent) forward(ctx context.Context, id control.AttemptID, held *attempt, o *output) {
	defer o.cancel()
	started := time.Now()
	response, err := a.call(ctx, id, held, o)
	if err != nil {
		a.fail(id, o, err)
		return
	}
	defer response.Body.Close()
	o.begin(response.StatusCode, response.Header)
	err = a.copyBody(ctx, id, response, o, started)
	if err != nil {
		a.fail(id, o, err)
		return
	}
	o.end(true, "", response.Trailer)
	a.node.Send(control.TargetFinished{Attempt: id, Failed: response.StatusCode >= http.StatusInternalServerError})
}

func (a *Agent) fail(id control.AttemptID, o *output, err error) {
	events.Log(a.logger, events.TargetFailed, log.Fields{"request": id, "error": err.Error()})
	o.end(false, control.CodeTargetLost, nil)
	a.node.Send(control.TargetFinished{Attempt: id, Failed: !errors.Is(err, context.Canceled)})
}

func (a *Agent) call(ctx context.Context, id control.AttemptID, held *attempt, o *output) (*http.Response, error) {
	submit := held.submit
	trace := &httptrace.ClientTrace{Got1xxResponse: func(status int, header textproto.MIMEHeader) error {
		if status != http.StatusContinue {
			o.addHint(status, http.Header(header))
		}
		return nil
	}}
	address := "http://" + a.options.Target.String() + submit.GetPath()
	request, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), submit.GetMethod(), address, held.body)
	if err != nil {
		return nil, err
	}
	for _, h := range submit.GetHeaders() {
		request.Header.Add(h.GetName(), h.GetValue())
	}
	request.Header.Set(attemptHeader, string(id))
	request.ContentLength = peer.ContentLength(submit.GetHeaders())
	if request.ContentLength == 0 {
		request.Body = http.NoBody
	}
	// A transport may send a request again after a connection broke; with no
	// way to rewind the body it cannot.
	request.GetBody = nil
	return a.transport(submit).Do(request)
}

// transport gives non-idempotent requests a connection of their own, since the
// library resends requests whose reused connection breaks.
func (a *Agent) transport(submit *peer.Submit) *http.Client {
	if submit.GetIdempotent() {
		return a.client
	}
	return newClient(&http.Transport{DisableKeepAlives: true, DisableCompression: true})
}

func (a *Agent) copyBody(ctx context.Context, id control.AttemptID, response *http.Response, o *output, started time.Time) error {
	buffer := make([]byte, copyBytes)
	produced := false
	for {
		count, err := response.Body.Read(buffer)
		if !produced && (count > 0 || errors.Is(err, io.EOF)) {
			produced = true
			a.node.Send(control.TargetFirstOutput{Attempt: id, Latency: time.Since(started), Boot: response.Header.Get(bootHeader)})
		}
		if count > 0 {
			if err := o.write(ctx, buffer[:count]); err != nil {
				return err
			}
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// pollLoad reads the target's load reports.
func (a *Agent) pollLoad(ctx context.Context) {
	ticker := time.NewTicker(loadEvery)
	defer ticker.Stop()
	for {
		if report, err := a.readLoad(ctx); err == nil {
			a.node.Send(report)
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (a *Agent) readLoad(ctx context.Context) (control.TargetReport, error) {
	ctx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+a.options.Target.String()+"/load", nil)
	if err != nil {
		return control.TargetReport{}, err
	}
	response, err := a.client.Do(request)
	if err != nil {
		return control.TargetReport{}, err
	}
	defer response.Body.Close()
	var report struct {
		Boot    string `json:"boot"`
		Running int    `json:"running"`
		Cold    bool   `json:"cold"`
		Leaving bool   `json:"leaving"`
	}
	if err := json.NewDecoder(response.Body).Decode(&report); err != nil {
		return control.TargetReport{}, err
	}
	return control.TargetReport{Boot: report.Boot, Running: report.Running, Cold: report.Cold, Leaving: report.Leaving}, nil
}
