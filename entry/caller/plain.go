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
	// heldBodyBytes is the largest body that is kept so that it can be sent again.
	heldBodyBytes = 1 << 20
)

// servePlain routes a request to a plain service.
func (e *Entry) servePlain(w http.ResponseWriter, r *http.Request) {
	x, begin, err := e.plainExchange(w, r)
	if err != nil {
		writeError(w, err)
		return
	}
	err = x.run(r.Context(), begin)
	sent := x.sink.(*plainSink)
	switch {
	case err != nil && sent.began:
		panic(http.ErrAbortHandler) // The answer must not look whole.
	case err != nil:
		writeError(w, err)
	default:
		for name, values := range x.trailer {
			w.Header()[http.TrailerPrefix+name] = values
		}
	}
}

func writeError(w http.ResponseWriter, err error) {
	status, body := describe(err)
	writeFailure(w, status, body)
}

// plainExchange checks a request and makes its exchange.
func (e *Entry) plainExchange(w http.ResponseWriter, r *http.Request) (*exchange, control.Event, error) {
	organisation, ok := e.organisation(strings.TrimPrefix(r.Header.Get("Authorization"), "Bearer "))
	if !ok {
		return nil, nil, errNoOrganisation
	}
	name := r.PathValue("service")
	// Rules match the decoded path; the target gets it as the caller wrote it.
	path := strings.TrimPrefix(r.URL.Path, "/services/"+name)
	escaped := strings.TrimPrefix(r.URL.EscapedPath(), "/services/"+name)
	service, err := e.plainService(organisation, name, r.Method, path)
	if err != nil {
		return nil, nil, err
	}
	id, key, err := requestNames(r)
	if err != nil {
		return nil, nil, err
	}
	idempotent := service.Repeatable(r.Method, path)
	if idempotent {
		key = "" // A repeatable request needs no memory of its key.
	}
	held, rest, err := holdBody(r, key != "")
	if err != nil {
		return nil, nil, err
	}
	request := control.Request{
		ID: requestID(organisation, id), Organisation: organisation, Service: name,
		Idempotent: idempotent, Replayable: held != nil, Key: key,
	}
	submit := &peer.Submit{
		Request: id, Service: name, Organisation: organisation, Method: r.Method, Path: withQuery(escaped, r.URL.RawQuery),
		Headers: requestHeaders(r), Idempotent: idempotent, Key: scopedKey(organisation, key),
		Fingerprint: fingerprint(r.Method, path, held),
	}
	x := newExchange(e, request, submit, &plainSink{writer: w, method: r.Method})
	x.held, x.body = held, rest
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

// requestNames gives the request's id and its idempotency key, if it has one.
func requestNames(r *http.Request) (id, key string, err error) {
	key = r.Header.Get(keyHeader)
	if len(key) > maxKeyBytes {
		return "", "", &badRequest{status: http.StatusBadRequest, code: "badRequest", field: keyHeader, message: fmt.Sprintf("longer than %d bytes", maxKeyBytes)}
	}
	// The caller's id may come again with a retry; here each HTTP request is one.
	return uuid.NewString(), key, nil
}

func scopedKey(organisation, key string) string {
	if key == "" {
		return ""
	}
	return organisation + "/" + key
}

// holdBody reads a body that is small enough to be sent again. A request with a
// key must have such a body, since its content is part of what the key names.
func holdBody(r *http.Request, must bool) (held []byte, rest io.Reader, err error) {
	if r.ContentLength > heldBodyBytes && !must {
		return nil, r.Body, nil
	}
	head, err := io.ReadAll(io.LimitReader(r.Body, heldBodyBytes+1))
	if err != nil {
		return nil, nil, &badRequest{status: http.StatusBadRequest, code: "badRequest", field: "body", message: err.Error()}
	}
	if len(head) <= heldBodyBytes {
		return head, nil, nil
	}
	if must {
		return nil, nil, &badRequest{status: http.StatusRequestEntityTooLarge, code: "bodyTooLarge", field: "body", message: fmt.Sprintf("a request with %s has at most %d bytes", keyHeader, heldBodyBytes)}
	}
	return nil, io.MultiReader(bytes.NewReader(head), r.Body), nil
}

// requestHeaders are the fields for the target: end-to-end ones, without the
// caller's key to this system.
func requestHeaders(r *http.Request) []*peer.Header {
	header := r.Header.Clone()
	header.Del("Authorization")
	header.Del("Expect") // The library's server answers it.
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

func fingerprint(method, path string, body []byte) uint64 {
	hash := xxhash.New()
	_, _ = hash.WriteString(method + "\x00" + path + "\x00") // A hash cannot fail.
	_, _ = hash.Write(body)
	return hash.Sum64()
}

// plainSink writes an answer to the caller's connection.
type plainSink struct {
	writer http.ResponseWriter
	method string
	began  bool
}

func (p *plainSink) hint(status int, header http.Header) {
	for name, values := range header {
		p.writer.Header()[name] = values
	}
	p.writer.WriteHeader(status)
	for name := range header {
		p.writer.Header().Del(name)
	}
}

func (p *plainSink) head(status int, header http.Header) error {
	p.began = true
	for name, values := range header {
		p.writer.Header()[name] = values
	}
	p.writer.WriteHeader(status)
	return nil
}

func (p *plainSink) write(_ where, data []byte) error {
	if _, err := p.writer.Write(data); err != nil {
		return err
	}
	err := http.NewResponseController(p.writer).Flush()
	if errors.Is(err, http.ErrNotSupported) {
		return nil
	}
	return err
}
