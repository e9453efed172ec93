package caller

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"

	"chervilswitch.example/shared/control"
	"chervilswitch.example/shared/operator"
	"chervilswitch.example/shared/peer"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"
)

const (
	keyHeader       = "Idempotency-Key"
	requestIDHeader = "X-Request-Id"
	maxKeyBytes     = 255
	// maxBufferedBodyBytes is the largest body that is kept in memory so that another
	// attempt can send it again.
	maxBufferedBodyBytes = 1 << 20
)

// servePlain forwards a request to a plain service, that is, one without a model
// engine.
func (e *Entry) servePlain(w http.ResponseWriter, r *http.Request) {
	x, initial, err := e.plainExchange(w, r)
	if err != nil {
		writeError(w, err)
		return
	}
	err = x.run(r.Context(), initial)
	response := x.sink.(*plainSink)
	switch {
	case err != nil && response.wroteHeader:
		panic(http.ErrAbortHandler) // The caller must not take a truncated response for a complete one.
	case err != nil:
		writeError(w, err)
	default:
		for name, values := range x.trailer {
			w.Header()[http.TrailerPrefix+name] = values
		}
	}
}

func writeError(w http.ResponseWriter, err error) {
	status, body := failureResponse(err)
	writeFailure(w, status, body)
}

// plainExchange validates a request and returns its exchange with the event that
// starts it.
func (e *Entry) plainExchange(w http.ResponseWriter, r *http.Request) (*exchange, control.Event, error) {
	organisation, ok := e.organisation(strings.TrimPrefix(r.Header.Get("Authorization"), "Bearer "))
	if !ok {
		return nil, nil, errUnknownKey
	}
	name := r.PathValue("service")
	// Routes and rules match the decoded path; the target receives the escaped one.
	path := strings.TrimPrefix(r.URL.Path, "/services/"+name)
	escaped := strings.TrimPrefix(r.URL.EscapedPath(), "/services/"+name)
	service, err := e.plainService(organisation, name, r.Method, path)
	if err != nil {
		return nil, nil, err
	}
	id, key, err := requestIDAndKey(r)
	if err != nil {
		return nil, nil, err
	}
	idempotent := service.Repeatable(r.Method, path)
	if idempotent {
		key = "" // An idempotent request may run again, so it needs no key.
	}
	buffered, rest, err := bufferBody(r, key != "")
	if err != nil {
		return nil, nil, err
	}
	request := control.Request{
		ID: requestID(organisation, id), Organisation: organisation, Service: name,
		Idempotent: idempotent, Replayable: buffered != nil, Key: key,
	}
	submit := &peer.Submit{
		Request: id, Service: name, Organisation: organisation, Method: r.Method, Path: withQuery(escaped, r.URL.RawQuery),
		Headers: requestHeaders(r), Idempotent: idempotent, Key: qualifiedKey(organisation, key),
		Fingerprint: fingerprint(r.Method, path, buffered),
	}
	x := newExchange(e, request, submit, &plainSink{writer: w, method: r.Method})
	x.buffered, x.body = buffered, rest
	return x, control.RequestArrived{Request: request}, nil
}

func (e *Entry) plainService(organisation, name, method, path string) (operator.Service, error) {
	view := e.node.View()
	service, ok := view.Inventory.Services[name]
	switch {
	case !ok || service.Kind != operator.KindPlain:
		return service, &badRequest{status: http.StatusNotFound, code: "unknownService", field: "path", message: fmt.Sprintf("service %q does not exist", name)}
	case !view.Inventory.Organisations[organisation].Allows(name):
		return service, &badRequest{status: http.StatusForbidden, code: "notAllowed", field: "path", message: fmt.Sprintf("organisation %q may not use service %q", organisation, name)}
	case !service.Serves(method, path):
		return service, &badRequest{status: http.StatusNotFound, code: "notRouted", field: "path", message: fmt.Sprintf("service %q does not serve %s %s", name, method, path)}
	}
	return service, nil
}

// requestIDAndKey returns a new request ID and the caller's idempotency key, if any.
func requestIDAndKey(r *http.Request) (id, key string, err error) {
	key = r.Header.Get(keyHeader)
	if len(key) > maxKeyBytes {
		return "", "", &badRequest{status: http.StatusBadRequest, code: "badRequest", field: keyHeader, message: fmt.Sprintf("the key is longer than %d bytes", maxKeyBytes)}
	}
	// The caller's X-Request-Id is not used: a retry may carry the same ID, but each
	// HTTP request needs its own.
	return uuid.NewString(), key, nil
}

// qualifiedKey prefixes an idempotency key with its organisation.
func qualifiedKey(organisation, key string) string {
	if key == "" {
		return ""
	}
	return organisation + "/" + key
}

// bufferBody reads a body of at most maxBufferedBodyBytes into memory; a larger one is
// returned as a reader. With required set, a larger body is an error, because
// the fingerprint of a request with an idempotency key covers the whole body.
func bufferBody(r *http.Request, required bool) (buffered []byte, rest io.Reader, err error) {
	if r.ContentLength > maxBufferedBodyBytes && !required {
		return nil, r.Body, nil
	}
	head, err := io.ReadAll(io.LimitReader(r.Body, maxBufferedBodyBytes+1))
	if err != nil {
		return nil, nil, &badRequest{status: http.StatusBadRequest, code: "badRequest", field: "body", message: err.Error()}
	}
	if len(head) <= maxBufferedBodyBytes {
		return head, nil, nil
	}
	if required {
		return nil, nil, &badRequest{status: http.StatusRequestEntityTooLarge, code: "bodyTooLarge", field: "body", message: fmt.Sprintf("a request with %s may have a body of at most %d bytes", keyHeader, maxBufferedBodyBytes)}
	}
	return nil, io.MultiReader(bytes.NewReader(head), r.Body), nil
}

// requestHeaders returns the header fields for the target: the end-to-end ones without
// the organisation's key.
func requestHeaders(r *http.Request) []*peer.Header {
	header := r.Header.Clone()
	header.Del("Authorization")
	header.Del("Expect") // The HTTP server handles it.
	header.Del("Content-Length")
	if r.ContentLength >= 0 {
		header.Set("Content-Length", strconv.FormatInt(r.ContentLength, 10))
	}
	return peer.NewHeaders(header)
}

func withQuery(path, query string) string {
	if query == "" {
		return path
	}
	return path + "?" + query
}

// fingerprint hashes a request. The agent compares the fingerprints of requests with the
// same idempotency key to detect a key that is reused for a different request.
func fingerprint(method, path string, body []byte) uint64 {
	hash := xxhash.New()
	_, _ = hash.WriteString(method + "\x00" + path + "\x00") // Writing to a hash cannot fail.
	_, _ = hash.Write(body)
	return hash.Sum64()
}

// plainSink writes a response directly to the caller's connection.
type plainSink struct {
	writer      http.ResponseWriter
	method      string
	wroteHeader bool
}

func (p *plainSink) writeInformational(status int, header http.Header) {
	for name, values := range header {
		p.writer.Header()[name] = values
	}
	p.writer.WriteHeader(status)
	for name := range header {
		p.writer.Header().Del(name)
	}
}

func (p *plainSink) writeHead(status int, header http.Header) error {
	p.wroteHeader = true
	for name, values := range header {
		p.writer.Header()[name] = values
	}
	p.writer.WriteHeader(status)
	return nil
}

func (p *plainSink) write(_ outputPoint, data []byte) error {
	if _, err := p.writer.Write(data); err != nil {
		return err
	}
	err := http.NewResponseController(p.writer).Flush()
	if errors.Is(err, http.ErrNotSupported) {
		return nil
	}
	return err
}
