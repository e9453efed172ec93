package target

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"time"

	"chervilswitch.example/shared/control"
	"chervilswitch.example/shared/events"
	"chervilswitch.example/shared/http1"
	"chervilswitch.example/shared/peer"

	"github.com/apex/log"
)

const (
	// bootHeader identifies the engine's run in a response; it changes when the
	// engine restarts.
	bootHeader = "X-Engine-Boot"
	// attemptHeader passes the attempt's ID to the engine.
	attemptHeader    = "X-Attempt"
	copyBufferBytes  = 32 << 10
	loadPollInterval = 100 * time.Millisecond
	loadTimeout      = time.Second
	// maxHeadBytes bounds the head of a response, and maxReportBytes a load report.
	maxHeadBytes   = 64 << 10
	maxReportBytes = 64 << 10
	// maxInterimResponses bounds the interim responses of one attempt. http.Transport does
	// not limit those that are passed to a trace.
	maxInterimResponses = 16
)

var errInterim = fmt.Errorf("target sent more than %d interim responses, expected a final one", maxInterimResponses)

// pendingAttempt is a submitted attempt that was not forwarded yet.
type pendingAttempt struct {
	submit *peer.Submit
	body   *io.PipeReader
}

// startAttempt forwards an admitted attempt. It runs on the control goroutine.
func (a *Agent) startAttempt(id control.AttemptID) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	attempt, ok := a.pending[id]
	if !ok {
		return
	}
	delete(a.pending, id)
	ctx, cancel := context.WithCancel(a.ctx)
	retention := outputRetention
	if attempt.submit.GetKey() != "" {
		retention = keyedRetention
	}
	o := newOutput(attempt.submit.GetRequest(), attempt.submit.GetOrganisation(), retention, cancel)
	a.outputs[id] = o
	go a.forward(ctx, id, attempt, o)
}

// forward sends an attempt to the target and copies the response to the output.
func (a *Agent) forward(ctx context.Context, id control.AttemptID, attempt *pendingAttempt, o *output) {
	defer o.cancel()
	started := time.Now()
	response, err := a.sendRequest(ctx, id, attempt, o)
	if err != nil {
		a.failAttempt(id, o, err)
		return
	}
	defer response.Body.Close()
	o.setHead(response.StatusCode, response.Header)
	err = a.copyBody(ctx, id, response, o, started)
	if err != nil {
		a.failAttempt(id, o, err)
		return
	}
	o.finish(true, "", response.Trailer)
	a.node.Send(control.TargetFinished{Attempt: id, Failed: response.StatusCode >= http.StatusInternalServerError})
}

// failAttempt ends an output whose attempt failed. An attempt that was cancelled does
// not count as a failure of the target.
func (a *Agent) failAttempt(id control.AttemptID, o *output, err error) {
	events.Log(a.logger, events.TargetFailed, log.Fields{"request": id, "error": err.Error()})
	o.finish(false, control.CodeTargetLost, nil)
	a.node.Send(control.TargetFinished{Attempt: id, Failed: !errors.Is(err, context.Canceled)})
}

// sendRequest sends an attempt to the target and returns the response's head. It adds
// interim responses other than 100 (Continue) to the output.
func (a *Agent) sendRequest(ctx context.Context, id control.AttemptID, attempt *pendingAttempt, o *output) (*http.Response, error) {
	submit := attempt.submit
	interim := 0
	trace := &httptrace.ClientTrace{Got1xxResponse: func(status int, header textproto.MIMEHeader) error {
		if interim++; interim > maxInterimResponses {
			return errInterim
		}
		if err := http1.CheckHeader(http.Header(header)); err != nil {
			return err
		}
		if status != http.StatusContinue {
			o.addInterim(status, http.Header(header))
		}
		return nil
	}}
	address := "http://" + a.options.Target.String() + submit.GetPath()
	request, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), submit.GetMethod(), address, attempt.body)
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
	// Without GetBody, http.Transport cannot resend a request with a body after the
	// connection broke.
	request.GetBody = nil
	return a.clientFor(submit).Do(request)
}

// clientFor returns a client that opens a new connection if the request is not
// idempotent, because http.Transport may resend a request after a reused connection
// broke.
func (a *Agent) clientFor(submit *peer.Submit) *http.Client {
	if submit.GetIdempotent() {
		return a.client
	}
	return newClient(&http.Transport{DisableKeepAlives: true, DisableCompression: true, MaxResponseHeaderBytes: maxHeadBytes})
}

// copyBody copies the response body to the output and reports the time of the first
// output to the reducer.
func (a *Agent) copyBody(ctx context.Context, id control.AttemptID, response *http.Response, o *output, started time.Time) error {
	buffer := make([]byte, copyBufferBytes)
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

// pollLoad sends the target's load reports to the reducer until the context ends. It
// skips a report that cannot be fetched.
func (a *Agent) pollLoad(ctx context.Context) {
	ticker := time.NewTicker(loadPollInterval)
	defer ticker.Stop()
	for {
		if report, err := a.fetchLoad(ctx); err == nil {
			a.node.Send(report)
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (a *Agent) fetchLoad(ctx context.Context) (control.TargetReport, error) {
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
	if err := json.NewDecoder(io.LimitReader(response.Body, maxReportBytes)).Decode(&report); err != nil {
		return control.TargetReport{}, err
	}
	return control.TargetReport{Boot: report.Boot, Running: report.Running, Cold: report.Cold, Leaving: report.Leaving}, nil
}
