package caller

import (
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"chervilswitch.example/platform"
	"chervilswitch.example/shared/events"
	"chervilswitch.example/shared/fleet"

	"github.com/apex/log"
)

const (
	// maxBody bounds a body if the operators set no bound.
	maxBody = 4 << 20
	// unknownRetryAfter is when a caller may come back to an instance that does not
	// know the configuration, or not whether it is current.
	unknownRetryAfter = 500 * time.Millisecond
	// staleAfter is when a configuration that was not confirmed is no reason to
	// deny a request: a newer one may allow it.
	staleAfter = 4 * time.Second
	// defaultTimeout is used where neither the route nor the caller sets one.
	defaultTimeout = 30 * time.Second
)

// ServeHTTP takes one request of a caller.
func (r *Router) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	began := time.Now()
	headers := platform.ParseCallerHeaders(request.Header)
	x := &exchange{
		router: r, writer: w, request: request, headers: headers, began: began,
		logger: r.logger.WithField("request", headers.Attempt),
	}
	if r.stopping.Load() {
		w.Header().Set("Connection", "close")
	}
	defer x.end()
	if !x.authorize(r.core.View()) || !x.readBody() {
		return
	}
	x.serve()
}

// authorize finds the route and the organisation, or answers that there is none.
func (x *exchange) authorize(view *fleet.View) bool {
	configuration := view.Configuration
	if configuration == nil {
		x.refuse(unknownRetryAfter, "noConfiguration")
		return false
	}
	x.version = configuration.Version
	host, _, _ := strings.Cut(x.request.Host, ":")
	path, _, _ := strings.Cut(x.request.RequestURI, "?")
	x.route = configuration.Match(host, path)
	stale := time.Since(view.ConfirmedAt) > staleAfter
	if x.route == nil {
		x.deny(stale, http.StatusNotFound, "noRoute")
		return false
	}
	organisation := configuration.Organisations[x.headers.Key]
	switch {
	case organisation != nil:
		x.organisation, x.priority = organisation.Name, x.route.Priority
		if organisation.Priority != nil {
			x.priority = *organisation.Priority
		}
	case !x.route.Anonymous:
		x.deny(stale, http.StatusUnauthorized, "unknownKey")
		return false
	}
	x.service = x.route.Pick(rand.Float64())
	x.maxBody = configuration.Limits.BodyBytes
	return true
}

// deny answers for good, or asks to come back if the configuration may be old.
func (x *exchange) deny(stale bool, status int, reason string) {
	if stale {
		x.refuse(unknownRetryAfter, reason+"Stale")
		return
	}
	x.fail(status, reason)
}

// readBody takes the whole body, since an attempt may have to be repeated.
func (x *exchange) readBody() bool {
	limit := x.maxBody
	if limit <= 0 {
		limit = maxBody
	}
	body, err := io.ReadAll(http.MaxBytesReader(x.writer, x.request.Body, limit))
	if err != nil {
		var tooLarge *http.MaxBytesError
		if errors.As(err, &tooLarge) {
			x.fail(http.StatusRequestEntityTooLarge, "bodyTooLarge")
			return false
		}
		x.outcome = "bodyNotRead"
		panic(http.ErrAbortHandler)
	}
	x.body = body
	return true
}

// serveReadiness tells the platform whether this instance takes callers.
func (r *Router) serveReadiness(w http.ResponseWriter, request *http.Request) {
	if request.URL.Path != platform.ReadinessPath {
		http.NotFound(w, request)
		return
	}
	if reason := r.unready(); reason != "" {
		http.Error(w, reason, http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// unready says why this instance takes no callers, or is empty.
func (r *Router) unready() string {
	switch {
	case r.stopping.Load():
		return "stopping"
	case r.core.View().Configuration == nil:
		return "no configuration yet"
	case len(r.core.View().Targets) == 0:
		return "no targets yet"
	default:
		return ""
	}
}

// serveResolution tells callers where to connect.
func (r *Router) serveResolution(w http.ResponseWriter, request *http.Request) {
	if request.URL.Path != platform.ResolutionPath {
		http.NotFound(w, request)
		return
	}
	addresses := r.entries.Callers()
	if len(addresses) == 0 {
		http.Error(w, "no entry instance takes callers", http.StatusServiceUnavailable)
		return
	}
	body, err := platform.EncodeResolution(addresses[:min(len(addresses), maxAddresses)], time.Duration(r.current.Load().AddressKeep))
	if err != nil {
		events.Log(r.logger, events.RequestFailed, log.Fields{"error": err.Error()})
		http.Error(w, "no answer", http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(body) // The caller has gone; it asks again.
}
