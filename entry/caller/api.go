package caller

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"chervilswitch.example/entry/api"
	"chervilswitch.example/shared/control"
	"chervilswitch.example/shared/fault"
	"chervilswitch.example/shared/operator"
	"chervilswitch.example/shared/peer"

	"github.com/cespare/xxhash/v2"
	"github.com/go-faster/jx"
	"github.com/google/uuid"
)

const (
	chatPath = "/v1/chat/completions"
	// prefixBytes is how much of a prompt counts as its prefix.
	prefixBytes = 1024
	// maxWholeBytes bounds an answer that is not streamed.
	maxWholeBytes = 16 << 20
)

// callersAPI serves the operations of the callers' API.
type callersAPI struct{ entry *Entry }

// security finds the organisation of a key.
type security struct{ entry *Entry }

type organisationKey struct{}

// HandleOrganisationKey looks a key up by its hash.
func (s *security) HandleOrganisationKey(ctx context.Context, _ api.OperationName, key api.OrganisationKey) (context.Context, error) {
	name, ok := s.entry.organisation(key.Token)
	if !ok {
		return ctx, errNoOrganisation
	}
	return context.WithValue(ctx, organisationKey{}, name), nil
}

const noOrganisation = "the key belongs to no organisation"

var errNoOrganisation = fault.NewSentinel("caller", "noOrganisation").New(noOrganisation)

func (e *Entry) organisation(key string) (string, bool) {
	sum := sha256.Sum256([]byte(key))
	name, ok := e.node.View().Organisations[hex.EncodeToString(sum[:])]
	return name, ok
}

// ListEntries answers with the entries that take callers, nearest first.
func (a *callersAPI) ListEntries(ctx context.Context, params api.ListEntriesParams) (*api.EntryList, error) {
	near := params.DataCentre.Or(a.entry.options.DataCentre)
	list := &api.EntryList{
		KeepSeconds: int(time.Duration(a.entry.options.AddressKeep).Seconds()),
		Entries:     []api.EntryAddress{},
	}
	var far []api.EntryAddress
	a.entry.node.Query(ctx, func(s *control.State) {
		for _, name := range s.LiveEntries() {
			instance := s.Config().Inventory().Instances[name]
			address := api.EntryAddress{Instance: name, DataCentre: instance.DataCentre, Address: instance.Caller.String()}
			if instance.DataCentre == near {
				list.Entries = append(list.Entries, address)
			} else {
				far = append(far, address)
			}
		}
	})
	list.Entries = append(list.Entries, far...)
	return list, nil
}

// CreateChatCompletion runs a model request.
func (a *callersAPI) CreateChatCompletion(ctx context.Context, req *api.ChatRequest, params api.CreateChatCompletionParams) (api.CreateChatCompletionRes, error) {
	organisation, _ := ctx.Value(organisationKey{}).(string)
	id := params.XRequestID.Or(uuid.NewString())
	service, err := a.entry.modelService(organisation, req.Model)
	if err != nil {
		return nil, err
	}
	body, err := req.MarshalJSON()
	if err != nil {
		return nil, fmt.Errorf("encode the request: %w", err)
	}
	request := control.Request{
		ID: requestID(organisation, id), Organisation: organisation, Service: service,
		Idempotent: true, Replayable: true, Priority: req.Priority.Or(0), Prefix: prefixOf(req),
	}
	submit := &peer.Submit{
		Request: id, Service: service, Organisation: organisation, Method: http.MethodPost, Path: chatPath,
		Headers: []*peer.Header{
			{Name: "Content-Type", Value: "application/json"},
			{Name: "Content-Length", Value: strconv.Itoa(len(body))},
		},
		Idempotent: true, Priority: int32(req.Priority.Or(0)), Stream: req.Stream.Or(false),
	}
	p := newPipeSink(req.Stream.Or(false))
	x := newExchange(a.entry, request, submit, p)
	x.held = body
	p.start(ctx, x, control.RequestArrived{Request: request})
	if req.Stream.Or(false) {
		return a.streamed(ctx, id, p)
	}
	return whole(ctx, id, p)
}

// modelService finds the service of a model that the organisation may use.
func (e *Entry) modelService(organisation, model string) (string, error) {
	view := e.node.View()
	found := ""
	for name, service := range view.Inventory.Services {
		for _, m := range service.Models {
			if m == model && (found == "" || name < found) {
				found = name
			}
		}
	}
	if found == "" {
		return "", &badRequest{status: http.StatusNotFound, code: "unknownModel", field: "model", message: fmt.Sprintf("model %q does not exist", model)}
	}
	if !view.Inventory.Organisations[organisation].Allows(found) {
		return "", &badRequest{status: http.StatusForbidden, code: "notAllowed", field: "model", message: fmt.Sprintf("organisation %q may not use model %q", organisation, model)}
	}
	return found, nil
}

// prefixOf hashes the model, the adapter and the start of the prompt.
func prefixOf(req *api.ChatRequest) uint64 {
	hash := xxhash.New()
	_, _ = hash.WriteString(req.Model + "\x00" + req.Adapter.Or("") + "\x00") // A hash cannot fail.
	left := prefixBytes
	for _, m := range req.Messages {
		text := m.Content[:min(left, len(m.Content))]
		_, _ = hash.WriteString(text)
		left -= len(text)
	}
	return hash.Sum64()
}

func (a *callersAPI) streamed(ctx context.Context, id string, p *pipeSink) (api.CreateChatCompletionRes, error) {
	status, _, err := p.awaitHead(ctx)
	if err != nil {
		return nil, err
	}
	if status != http.StatusOK {
		return nil, p.targetError(status)
	}
	return &api.CreateChatCompletionOKTextEventStreamHeaders{
		XRequestID: id, Response: api.CreateChatCompletionOKTextEventStream{Data: p.reader},
	}, nil
}

func whole(ctx context.Context, id string, p *pipeSink) (api.CreateChatCompletionRes, error) {
	status, _, err := p.awaitHead(ctx)
	if err != nil {
		return nil, err
	}
	if status != http.StatusOK {
		return nil, p.targetError(status)
	}
	raw, err := io.ReadAll(io.LimitReader(p.reader, maxWholeBytes))
	if err != nil {
		return nil, err
	}
	answer := make(api.CreateChatCompletionOKApplicationJSON)
	if err := answer.Decode(jx.DecodeBytes(raw)); err != nil {
		return nil, &failure{control.Failure{Outcome: control.OutcomeRan, Code: "badTargetAnswer"}}
	}
	return &api.CreateChatCompletionOKApplicationJSONHeaders{XRequestID: id, Response: answer}, nil
}

// ResumeStream goes on with a stream after the event that the caller saw last.
func (a *callersAPI) ResumeStream(ctx context.Context, params api.ResumeStreamParams) (*api.ResumeStreamOKHeaders, error) {
	organisation, _ := ctx.Value(organisationKey{}).(string)
	place, err := parseEventID(params.LastEventID)
	if err != nil {
		return nil, err
	}
	id := requestID(organisation, params.Request)
	if !strings.HasPrefix(string(place.attempt), string(id)+"/") {
		return nil, &badRequest{status: http.StatusBadRequest, code: "wrongEventId", field: "Last-Event-ID", message: "the event belongs to another request"}
	}
	service := a.entry.node.View().Inventory.Instances[place.target].Service
	request := control.Request{ID: id, Organisation: organisation, Service: service, Idempotent: true}
	p := newPipeSink(true)
	x := newExchange(a.entry, request, &peer.Submit{}, p)
	x.place = place
	p.start(ctx, x, control.ResumeArrived{
		Request: request, Attempt: place.attempt, Target: place.target, Incarnation: place.incarnation,
	})
	if _, _, err := p.awaitHead(ctx); err != nil {
		return nil, err
	}
	return &api.ResumeStreamOKHeaders{XRequestID: params.Request, Response: api.ResumeStreamOK{Data: p.reader}}, nil
}

// CancelRequest tells every agent of the organisation's services to end a request.
func (a *callersAPI) CancelRequest(ctx context.Context, params api.CancelRequestParams) error {
	organisation, _ := ctx.Value(organisationKey{}).(string)
	for name, instance := range a.entry.node.View().Inventory.Instances {
		if instance.Role != operator.RoleAgent {
			continue
		}
		if link, release, ok := a.entry.node.LinkOrDial(ctx, name); ok {
			sendCancel(link, requestID(organisation, params.Request))
			release()
		}
	}
	return nil
}

// badRequest is a request that cannot be served as it is.
type badRequest struct {
	status  int
	code    string
	field   string
	message string
}

// Error says what is wrong with which field.
func (b *badRequest) Error() string { return b.field + ": " + b.message }

// NewError maps an error to what the caller is told.
func (a *callersAPI) NewError(_ context.Context, err error) *api.FailureStatusCodeWithHeaders {
	status, body := describe(err)
	answer := &api.FailureStatusCodeWithHeaders{StatusCode: status, Response: body}
	if seconds, ok := body.RetryAfterSeconds.Get(); ok {
		answer.RetryAfter = api.NewOptInt(seconds)
	}
	return answer
}

// describe gives the status and body for an error.
func describe(err error) (int, api.Failure) {
	var bad *badRequest
	var failed *failure
	switch {
	case errors.As(err, &bad):
		return bad.status, api.Failure{Code: bad.code, Outcome: api.FailureOutcomeNotRun, Message: bad.message, Field: api.NewOptString(bad.field)}
	case errors.As(err, &failed):
		return describeFailure(failed.Failure)
	case errors.Is(err, errNoOrganisation):
		return http.StatusUnauthorized, api.Failure{Code: "noOrganisation", Outcome: api.FailureOutcomeNotRun, Message: noOrganisation, Field: api.NewOptString("Authorization")}
	}
	return http.StatusInternalServerError, api.Failure{Code: "internal", Outcome: api.FailureOutcomeUnknown, Message: err.Error()}
}

func describeFailure(f control.Failure) (int, api.Failure) {
	body := api.Failure{Code: string(f.Code), Outcome: api.FailureOutcome(f.Outcome), Message: messages[f.Code]}
	if f.RetryAfter > 0 && f.Outcome == control.OutcomeNotRun {
		body.RetryAfterSeconds = api.NewOptInt(max(1, int(f.RetryAfter.Seconds())))
	}
	switch {
	case f.Code == control.CodeKeyReused:
		return http.StatusUnprocessableEntity, body
	case f.Code == control.CodeDuplicateAttempt, f.Code == control.CodeKeyMayHaveRun:
		return http.StatusConflict, body
	case f.Outcome == control.OutcomeNotRun:
		return http.StatusServiceUnavailable, body
	}
	return http.StatusBadGateway, body
}

// messages explains each cause to callers.
var messages = map[control.Code]string{
	control.CodeOutOfTouch:         "this process cannot tell whether its configuration is current",
	control.CodeLeaving:            "the target is leaving",
	control.CodeDataCentreOut:      "the data centre is taken out",
	control.CodeBusy:               "every target that was asked is busy",
	control.CodeOverloaded:         "more requests wait than can be served in time",
	control.CodeSuperseded:         "a newer process took the target over",
	control.CodeOtherIncarnation:   "the target's process was replaced",
	control.CodeDuplicateAttempt:   "a request with this id is being served",
	control.CodeNeverSeen:          "the attempt is not known",
	control.CodeLogUnavailable:     "the platform's log cannot be reached, which a request with an idempotency key needs",
	control.CodeKeyReused:          "the idempotency key was used for another request",
	control.CodeKeyMayHaveRun:      "a request with this idempotency key may have run on a target that was replaced",
	control.CodeNoTarget:           "no target serves this",
	control.CodeLinkLost:           "the target's process cannot be reached",
	control.CodeTargetLost:         "the target broke off the answer",
	control.CodeUnknownTargetState: "the target does not report its load",
}

// writeDecodeError answers requests that the generated server cannot decode.
func writeDecodeError(_ context.Context, w http.ResponseWriter, _ *http.Request, err error) {
	status, body := describeDecode(err)
	writeFailure(w, status, body)
}

func writeNotFound(w http.ResponseWriter, r *http.Request) {
	writeFailure(w, http.StatusNotFound, api.Failure{
		Code: "notFound", Outcome: api.FailureOutcomeNotRun, Message: "no such path", Field: api.NewOptString(r.URL.Path),
	})
}

func writeFailure(w http.ResponseWriter, status int, body api.Failure) {
	raw, err := json.Marshal(&body)
	if err != nil {
		raw = []byte(`{}`)
	}
	if seconds, ok := body.RetryAfterSeconds.Get(); ok {
		w.Header().Set("Retry-After", strconv.Itoa(seconds))
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(raw) // The caller sees a cut-off answer.
}
