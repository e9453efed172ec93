package caller

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"chervilswitch.example/platform"
	"chervilswitch.example/shared/admission"
	"chervilswitch.example/shared/events"
	"chervilswitch.example/shared/fleet"
	"chervilswitch.example/shared/intake"

	"github.com/apex/log"
	"github.com/cespare/xxhash/v2"
)

const (
	// maxBodyBytes bounds a request body if the configuration sets no limit.
	maxBodyBytes = 4 << 20
	// defaultRetryAfter is the Retry-After of an instance that has no configuration or
	// an outdated one, and of requests that reach their deadline without having run.
	defaultRetryAfter = 500 * time.Millisecond
	// staleAfter is the age from which an unconfirmed configuration no longer justifies
	// a permanent denial: a newer one may allow the request.
	staleAfter = 4 * time.Second
	// defaultTimeout applies to routes without a timeout; the caller may shorten it.
	defaultTimeout = 30 * time.Second
)

// ServeHTTP serves one request of a caller.
func (r *Router) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	began := time.Now()
	headers := platform.ParseCallerHeaders(request.Header)
	x := &exchange{
		router: r, writer: w, request: request, headers: headers, began: began,
		logger: r.logger.WithField("request", headers.Attempt),
		client: intake.From(request.Context()),
	}
	if !x.client.Begin() {
		panic(http.ErrAbortHandler) // The connection was closed before the request was read.
	}
	defer x.client.End()
	x.writer = &clientWriter{ResponseWriter: w, client: x.client}
	if r.isStopping() {
		w.Header().Set("Connection", "close")
	}
	defer x.recordEnd()
	x.limitUnreadBody()
	if !x.authorize(r.core.View()) || !x.checkHead() || !x.readBody() {
		return
	}
	x.identity = x.contentIdentity()
	x.serve()
}

// authorize finds the route and the organisation of the request, or denies the request.
// It reports whether the request may proceed.
func (x *exchange) authorize(view *fleet.View) bool {
	configuration := view.Configuration
	if configuration == nil {
		x.refuse(defaultRetryAfter, "noConfiguration")
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
	x.priority = x.route.Priority
	switch {
	case organisation != nil:
		x.organisation = organisation.Name
		if organisation.Priority != nil {
			x.priority = *organisation.Priority
		}
	case !x.route.Anonymous:
		x.deny(stale, http.StatusUnauthorized, "unknownKey")
		return false
	}
	x.service = x.route.Pick(rand.Float64())
	if s := configuration.Services[x.service]; s != nil && s.Prioritised {
		x.urgency = &x.priority
	}
	x.limits = configuration.Limits
	return true
}

// deny responds with a permanent failure, or with a refusal that permits a retry if the
// configuration may be outdated.
func (x *exchange) deny(stale bool, status int, reason string) {
	if stale {
		x.refuse(defaultRetryAfter, reason+"Stale")
		return
	}
	x.fail(status, reason)
}

// contentIdentity returns the identity of what makes two requests the same one: method,
// host, path with query, organisation, prompt and body.
func (x *exchange) contentIdentity() string {
	digest := xxhash.New()
	for _, part := range []string{x.request.Method, x.request.Host, x.request.RequestURI, x.organisation, x.headers.Prompt, string(x.body)} {
		// The length keeps parts apart. Writing to a digest does not fail.
		_, _ = fmt.Fprintf(digest, "%d:%s", len(part), part)
	}
	return admission.Identity(digest.Sum64())
}

// serveReadiness reports to the platform whether this instance accepts callers.
func (r *Router) serveReadiness(w http.ResponseWriter, request *http.Request) {
	if request.URL.Path != platform.ReadinessPath {
		http.NotFound(w, request)
		return
	}
	if reason := r.unreadyReason(); reason != "" {
		http.Error(w, reason, http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// unreadyReason returns why this instance accepts no callers, or an empty string.
func (r *Router) unreadyReason() string {
	switch {
	case r.isStopping():
		return "stopping"
	case r.core.View().Configuration == nil:
		return "no configuration yet"
	case len(r.core.View().Targets) == 0:
		return "no targets yet"
	case !r.entries.Known():
		return "other entry instances not listed yet"
	default:
		return ""
	}
}

// serveResolution returns the addresses that callers can connect to.
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
	_, _ = w.Write(body) // A failure means that the caller disconnected.
}
