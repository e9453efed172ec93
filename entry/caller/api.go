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
	// chatPath is the engine's path for model requests.
	chatPath = "/v1/chat/completions"
	// maxPrefixBytes is the number of bytes of a prompt that make up its prefix.
	maxPrefixBytes = 1024
	// maxCompletionBytes limits a completion that is not streamed.
	maxCompletionBytes = 16 << 20
)

// callersAPI implements the operations of the callers' API.
type callersAPI struct{ entry *Entry }

// security authenticates callers by their organisation's key.
type security struct{ entry *Entry }

// organisationContextKey is the context key for the caller's organisation.
type organisationContextKey struct{}

// HandleOrganisationKey adds the key's organisation to the context. The error is
// errUnknownKey if the key belongs to no organisation.
func (s *security) HandleOrganisationKey(ctx context.Context, _ api.OperationName, key api.OrganisationKey) (context.Context, error) {
	name, ok := s.entry.organisation(key.Token)
	if !ok {
		return ctx, errUnknownKey
	}
	return context.WithValue(ctx, organisationContextKey{}, name), nil
}

const unknownKeyMessage = "the key belongs to no organisation"

var errUnknownKey = fault.NewSentinel("caller", "noOrganisation").New(unknownKeyMessage)

// organisation returns the organisation of a key, which is looked up by its SHA-256
// hash.
func (e *Entry) organisation(key string) (string, bool) {
	sum := sha256.Sum256([]byte(key))
	name, ok := e.node.View().Organisations[hex.EncodeToString(sum[:])]
	return name, ok
}

// ListEntries returns the entries that accept callers. It lists those of the given data
// centre first, or those of this entry's data centre if none is given.
func (a *callersAPI) ListEntries(ctx context.Context, params api.ListEntriesParams) (*api.EntryList, error) {
	nearest := params.DataCentre.Or(a.entry.options.DataCentre)
	list := &api.EntryList{
		KeepSeconds: int(time.Duration(a.entry.options.AddressKeep).Seconds()),
		Entries:     []api.EntryAddress{},
	}
	var remote []api.EntryAddress
	a.entry.node.Query(ctx, func(s *control.State) {
		for _, name := range s.LiveEntries() {
			instance := s.Config().Inventory().Instances[name]
			address := api.EntryAddress{Instance: name, DataCentre: instance.DataCentre, Address: instance.Caller.String()}
			if instance.DataCentre == nearest {
				list.Entries = append(list.Entries, address)
			} else {
				remote = append(remote, address)
			}
		}
	})
	list.Entries = append(list.Entries, remote...)
	return list, nil
}

// CreateChatCompletion runs a model request and returns the completion, whole or as
// an event stream.
func (a *callersAPI) CreateChatCompletion(ctx context.Context, req *api.ChatRequest, params api.CreateChatCompletionParams) (api.CreateChatCompletionRes, error) {
	organisation, _ := ctx.Value(organisationContextKey{}).(string)
	id := params.XRequestID.Or(uuid.NewString())
	service, err := a.entry.modelService(organisation, req.Model)
	if err != nil {
		return nil, err
	}
	body, err := req.MarshalJSON()
	if err != nil {
		return nil, fmt.Errorf("encode the chat request: %w", err)
	}
	request := control.Request{
		ID: requestID(organisation, id), Organisation: organisation, Service: service,
		Idempotent: true, Replayable: true, Priority: req.Priority.Or(0), Prefix: prefixHash(req),
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
	x.buffered = body
	p.start(ctx, x, control.RequestArrived{Request: request})
	if req.Stream.Or(false) {
		return a.streamCompletion(ctx, id, p)
	}
	return readCompletion(ctx, id, p)
}

// modelService returns the first service by name that serves the model. It returns an
// error if there is none or the organisation may not use it.
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

// prefixHash hashes the model, the adapter and the first maxPrefixBytes bytes of the
// messages. Requests with the same hash share a prefix in the target's cache.
func prefixHash(req *api.ChatRequest) uint64 {
	hash := xxhash.New()
	_, _ = hash.WriteString(req.Model + "\x00" + req.Adapter.Or("") + "\x00") // Writing to a hash cannot fail.
	remaining := maxPrefixBytes
	for _, m := range req.Messages {
		text := m.Content[:min(remaining, len(m.Content))]
		_, _ = hash.WriteString(text)
		remaining -= len(text)
	}
	return hash.Sum64()
}

func (a *callersAPI) streamCompletion(ctx context.Context, id string, p *pipeSink) (api.CreateChatCompletionRes, error) {
	status, _, err := p.awaitHead(ctx)
	if err != nil {
		return nil, err
	}
	if status != http.StatusOK {
		return nil, p.readTargetError(status)
	}
	return &api.CreateChatCompletionOKTextEventStreamHeaders{
		XRequestID: id, Response: api.CreateChatCompletionOKTextEventStream{Data: p.reader},
	}, nil
}

func readCompletion(ctx context.Context, id string, p *pipeSink) (api.CreateChatCompletionRes, error) {
	status, _, err := p.awaitHead(ctx)
	if err != nil {
		return nil, err
	}
	if status != http.StatusOK {
		return nil, p.readTargetError(status)
	}
	raw, err := io.ReadAll(io.LimitReader(p.reader, maxCompletionBytes))
	if err != nil {
		return nil, err
	}
	completion := make(api.CreateChatCompletionOKApplicationJSON)
	if err := completion.Decode(jx.DecodeBytes(raw)); err != nil {
		return nil, &failure{control.Failure{Outcome: control.OutcomeRan, Code: "badTargetAnswer"}}
	}
	return &api.CreateChatCompletionOKApplicationJSONHeaders{XRequestID: id, Response: completion}, nil
}

// ResumeStream continues a stream after the last event that the caller received.
func (a *callersAPI) ResumeStream(ctx context.Context, params api.ResumeStreamParams) (*api.ResumeStreamOKHeaders, error) {
	organisation, _ := ctx.Value(organisationContextKey{}).(string)
	delivered, err := parseEventID(params.LastEventID)
	if err != nil {
		return nil, err
	}
	id := requestID(organisation, params.Request)
	if !strings.HasPrefix(string(delivered.attempt), string(id)+"/") {
		return nil, &badRequest{status: http.StatusBadRequest, code: "wrongEventId", field: "Last-Event-ID", message: "the event belongs to another request"}
	}
	service := a.entry.node.View().Inventory.Instances[delivered.target].Service
	request := control.Request{ID: id, Organisation: organisation, Service: service, Idempotent: true}
	p := newPipeSink(true)
	x := newExchange(a.entry, request, &peer.Submit{}, p)
	x.delivered = delivered
	p.start(ctx, x, control.ResumeArrived{
		Request: request, Attempt: delivered.attempt, Target: delivered.target, Incarnation: delivered.incarnation,
	})
	if _, _, err := p.awaitHead(ctx); err != nil {
		return nil, err
	}
	return &api.ResumeStreamOKHeaders{XRequestID: params.Request, Response: api.ResumeStreamOK{Data: p.reader}}, nil
}

// CancelRequest sends a cancellation of the request to every agent it can reach.
func (a *callersAPI) CancelRequest(ctx context.Context, params api.CancelRequestParams) error {
	organisation, _ := ctx.Value(organisationContextKey{}).(string)
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

// badRequest is the error for a request that the caller must change.
type badRequest struct {
	status  int
	code    string
	field   string
	message string
}

// Error returns the name of the field and the reason.
func (b *badRequest) Error() string { return b.field + ": " + b.message }

// NewError converts an error to the response for the caller.
func (a *callersAPI) NewError(_ context.Context, err error) *api.FailureStatusCodeWithHeaders {
	status, body := failureResponse(err)
	response := &api.FailureStatusCodeWithHeaders{StatusCode: status, Response: body}
	if seconds, ok := body.RetryAfterSeconds.Get(); ok {
		response.RetryAfter = api.NewOptInt(seconds)
	}
	return response
}

// failureResponse returns the HTTP status and body for an error.
func failureResponse(err error) (int, api.Failure) {
	var bad *badRequest
	var failed *failure
	switch {
	case errors.As(err, &bad):
		return bad.status, api.Failure{Code: bad.code, Outcome: api.FailureOutcomeNotRun, Message: bad.message, Field: api.NewOptString(bad.field)}
	case errors.As(err, &failed):
		return requestFailureResponse(failed.Failure)
	case errors.Is(err, errUnknownKey):
		return http.StatusUnauthorized, api.Failure{Code: "noOrganisation", Outcome: api.FailureOutcomeNotRun, Message: unknownKeyMessage, Field: api.NewOptString("Authorization")}
	}
	return http.StatusInternalServerError, api.Failure{Code: "internal", Outcome: api.FailureOutcomeUnknown, Message: err.Error()}
}

func requestFailureResponse(f control.Failure) (int, api.Failure) {
	body := api.Failure{Code: string(f.Code), Outcome: api.FailureOutcome(f.Outcome), Message: failureMessages[f.Code]}
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

// failureMessages holds the message to callers for each failure code.
var failureMessages = map[control.Code]string{
	control.CodeGateClosed:         "this process cannot verify that its configuration is current",
	control.CodeLeaving:            "the target is draining",
	control.CodeDataCentreOut:      "the data centre is out of service",
	control.CodeBusy:               "all targets that were tried are busy",
	control.CodeOverloaded:         "more requests are queued than can be served in time",
	control.CodeSuperseded:         "a newer agent process controls the target",
	control.CodeOtherIncarnation:   "the target's agent process was replaced",
	control.CodeDuplicateAttempt:   "another request with this id is in progress",
	control.CodeNeverSeen:          "the target has no record of the attempt",
	control.CodeLogUnavailable:     "the platform's log is unavailable, which a request with an idempotency key needs",
	control.CodeKeyReused:          "the idempotency key was already used for a different request",
	control.CodeKeyMayHaveRun:      "a request with this idempotency key may have run on a target that was replaced",
	control.CodeNoTarget:           "the service has no target that could run the request",
	control.CodeLinkLost:           "the target's agent is unreachable",
	control.CodeTargetLost:         "the target ended the response before it was complete",
	control.CodeUnknownTargetState: "the target does not report its load",
}

// writeDecodeError responds to requests that the generated server cannot decode.
func writeDecodeError(_ context.Context, w http.ResponseWriter, _ *http.Request, err error) {
	status, body := decodeFailureResponse(err)
	writeFailure(w, status, body)
}

func writeNotFound(w http.ResponseWriter, r *http.Request) {
	writeFailure(w, http.StatusNotFound, api.Failure{
		Code: "notFound", Outcome: api.FailureOutcomeNotRun, Message: "the path does not exist", Field: api.NewOptString(r.URL.Path),
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
	_, _ = w.Write(raw) // On an error, the caller gets a truncated response.
}
