package front

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"runtime/debug"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"

	"dandeliondoor/choose"
	"dandeliondoor/feed"
	"dandeliondoor/httpd"
	"dandeliondoor/proto"
	"dandeliondoor/quota"
	"dandeliondoor/slots"
	"dandeliondoor/upconn"
)

// Handler proxies the requests of callers to servers.
type Handler struct {
	views   slots.ViewSource
	slots   *slots.Client
	conns   *upconn.Pool
	dialect proto.Dialect
	zone    string
	metrics *metrics
	memory  *quota.Quota
	keys    KeyPolicy
	ahead   *quota.Quota
	log     *logrus.Entry

	// costTraits is set if brokers estimate the cost of requests.
	costTraits bool

	stop          atomic.Pointer[Stop]
	interrupts    interrupts
	held          *heldServers
	answeredAtEnd atomic.Int64
	abortedAtEnd  atomic.Int64

	mutex        sync.Mutex
	reachability *choose.PathTracker
}

var _ http.Handler = &Handler{}

// HandlerOption configures a Handler.
type HandlerOption func(*Handler)

// WithMemory bounds the bytes of all bodies that the handler buffers at the same time.
func WithMemory(memory *quota.Quota) HandlerOption { return func(h *Handler) { h.memory = memory } }

// WithAhead bounds the bytes of all responses that the handler reads ahead of slow callers,
// beyond those of WithMemory.
func WithAhead(ahead *quota.Quota) HandlerOption { return func(h *Handler) { h.ahead = ahead } }

// WithCostTraits makes the handler tell brokers what may predict the cost of a request.
func WithCostTraits() HandlerOption { return func(h *Handler) { h.costTraits = true } }

// defaultMemory is each quota of a handler without these options.
const defaultMemory = 64 << 20

// NewHandler returns a handler that obtains leases on servers from a slots client.
func NewHandler(
	views slots.ViewSource, client *slots.Client, dialect proto.Dialect, registry prometheus.Registerer, log *logrus.Entry,
	options ...HandlerOption,
) *Handler {
	h := &Handler{
		views:        views,
		slots:        client,
		dialect:      dialect,
		zone:         views.Self().Zone,
		metrics:      newMetrics(registry),
		log:          log,
		reachability: choose.NewPathTracker(),
		memory:       quota.New(defaultMemory),
		ahead:        quota.New(defaultMemory),
	}
	for _, option := range options {
		option(h)
	}
	registerAhead(registry, h.ahead)
	h.held = newHeldServers(h.metrics, log)
	h.conns = upconn.NewPool(h.metrics.connections.Inc)
	return h
}

// ServeHTTP handles one request.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e := h.newExchange(r)
	defer h.recoverPanic(w, e)
	if h.currentStop().Refuses(e.arrived) {
		h.respondLocally(w, e, stoppingResponse)
		return
	}
	if local, rejected := h.prepare(r.Context(), w, e); rejected {
		h.respondLocally(w, e, local)
		return
	}
	defer e.body.release()
	ctx, interrupt := context.WithCancelCause(r.Context())
	defer interrupt(nil)
	ctx, cancel := context.WithDeadline(ctx, e.deadline)
	defer cancel()
	remove := h.interrupts.add(func() { interrupt(errStopping) })
	defer remove()
	response, local := h.run(ctx, e)
	switch {
	case response != nil:
		h.forward(ctx, w, e, response)
	case errors.Is(r.Context().Err(), context.Canceled):
		h.logAborted(e, context.Cause(r.Context()))
		panic(http.ErrAbortHandler)
	default:
		if errors.Is(context.Cause(ctx), errStopping) {
			h.answeredAtEnd.Add(1)
		}
		h.respondLocally(w, e, local)
	}
}

// recoverPanic responds to a request whose handling has panicked, since net/http would
// close the connection without a response.
func (h *Handler) recoverPanic(w http.ResponseWriter, e *exchange) {
	cause := recover()
	if cause == nil {
		return
	}
	if err, isErr := cause.(error); isErr && errors.Is(err, http.ErrAbortHandler) {
		panic(http.ErrAbortHandler)
	}
	h.logPanic(e, cause)
	if e.responded {
		h.abort(w, e)
		return
	}
	// The header may hold that of a server's response.
	clear(w.Header())
	w.Header().Set("Connection", "close")
	local := localResponse{status: http.StatusInternalServerError, reason: reasonInternal}
	if e.history.sends > 0 {
		local.status = http.StatusBadGateway
	}
	h.respondLocally(w, e, local)
}

// logPanic records a panic. It must be called while the goroutine panics.
func (h *Handler) logPanic(e *exchange, cause any) {
	h.metrics.panics.Inc()
	h.log.WithField("request_id", e.id).WithField("panic", fmt.Sprint(cause)).
		WithField("stack", string(debug.Stack())).Error("handling a request panicked")
}

// currentStop returns the schedule of the planned stop.
func (h *Handler) currentStop() Stop {
	if stop := h.stop.Load(); stop != nil {
		return *stop
	}
	return Stop{}
}

func (h *Handler) newExchange(r *http.Request) *exchange {
	return &exchange{id: h.dialect.RequestID(r.Header), request: r, arrived: time.Now(), history: &History{}}
}

// prepare validates the request and sets its route, deadline and body. It returns
// a local response and true if the request is rejected.
func (h *Handler) prepare(ctx context.Context, w http.ResponseWriter, e *exchange) (localResponse, bool) {
	r := e.request
	framing := httpd.FramingOf(r)
	if framing.Chunked {
		w.Header().Set("Connection", "close")
	}
	view := h.readyView(ctx)
	switch {
	case framing.Ambiguous:
		return localResponse{status: http.StatusBadRequest, reason: reasonBadFraming}, true
	case !view.Ready():
		return localResponse{status: http.StatusServiceUnavailable, reason: reasonNotReady, retryAfter: minRetryAfter}, true
	case e.id == "":
		return localResponse{status: http.StatusBadRequest, reason: reasonNoID}, true
	}
	e.largeResponses = view.Table.HasDownloads
	limits := view.Table.Config.Limits
	if limits.HeaderBytes > 0 && headSize(r) > limits.HeaderBytes {
		return localResponse{status: http.StatusRequestHeaderFieldsTooLarge, reason: reasonHeadTooLarge}, true
	}
	if local, rejected := h.authorize(ctx, e, view); rejected {
		return local, true
	}
	remaining, given, err := h.dialect.Deadline(r.Header)
	if err != nil {
		return localResponse{status: http.StatusBadRequest, reason: reasonBadDeadline}, true
	}
	if !given || remaining > e.route.Timeout {
		remaining = e.route.Timeout
	}
	e.deadline = e.arrived.Add(remaining)
	return h.readBody(w, e, limits.BodyBytes)
}

// headSize estimates the size of the request line and header fields in bytes.
func headSize(r *http.Request) int {
	const separators, line = 4, 12
	size := len(r.Method) + len(r.RequestURI) + len(r.Host) + line
	for name, values := range r.Header {
		for _, value := range values {
			size += len(name) + len(value) + separators
		}
	}
	return size
}

// The wait for a usable view, for requests that arrive just after the daemon
// started or just after its process was paused.
const (
	viewWait         = 250 * time.Millisecond
	viewPollInterval = 20 * time.Millisecond
	// renewedViewWait bounds the wait of a request for an unknown route or key, and is how
	// long after the renewal of an old view the configuration may still be missing.
	// A failed read of the configuration is retried within 0.3 s.
	renewedViewWait = 600 * time.Millisecond
	// staleViewAge exceeds the age of any view while the store can be read, since
	// the store is polled often enough to see a server drain before it shuts down.
	staleViewAge = 3 * time.Second
)

// mayBeStale reports whether a request without a matching route or with an unknown API key
// should wait for a newer view.
func mayBeStale(now, arrived time.Time, view *feed.View) bool {
	if now.Sub(arrived) >= renewedViewWait {
		return false
	}
	return now.Sub(view.FreshAt) > staleViewAge || now.Sub(view.RenewedAt) < renewedViewWait
}

// readyView returns the current view, after a short wait if it is not ready yet.
func (h *Handler) readyView(ctx context.Context) *feed.View {
	view := h.views.View()
	for end := time.Now().Add(viewWait); !view.Ready() && time.Now().Before(end) && ctx.Err() == nil; {
		sleep(ctx, viewPollInterval)
		view = h.views.View()
	}
	return view
}

// readBody reads the body of a request with a route and sets the remaining fields
// that sending it needs: body, fingerprint, service, header and history.
func (h *Handler) readBody(w http.ResponseWriter, e *exchange, limit int64) (localResponse, bool) {
	var err error
	if e.request.ContentLength != 0 {
		// Without a body, net/http reads ahead already, and must not time out.
		h.setBodyDeadline(w, e, e.deadline)
	}
	remove := h.interrupts.add(func() { h.setBodyDeadline(w, e, time.Now()) })
	e.body, err = readBody(e.request, limit, h.memory)
	switch {
	case !remove():
		h.answeredAtEnd.Add(1)
		return stoppingResponse, true
	case errors.Is(err, os.ErrDeadlineExceeded):
		return localResponse{status: http.StatusRequestTimeout, reason: reasonDeadline}, true
	case errors.Is(err, errTooLarge):
		return localResponse{status: http.StatusRequestEntityTooLarge, reason: reasonBodyTooLarge}, true
	case err != nil:
		return localResponse{status: http.StatusBadRequest, reason: reasonBodyBroken}, true
	}
	if e.body.resendable() {
		e.received = time.Now()
	} else {
		// A read that times out would cancel the request.
		h.setBodyDeadline(w, e, time.Time{})
	}
	e.identity = e.body.identity(e.request, e.callerIdentity(h.dialect))
	e.service = e.route.Pick(rand.Float64())
	e.header = httpd.EndToEndHeaders(e.request.Header)
	e.header.Del("Content-Length")
	e.history = NewHistory(e.route.Idempotent, e.route.Attempts)
	return localResponse{}, false
}

// setBodyDeadline sets the time after which reading the body of a request fails.
func (h *Handler) setBodyDeadline(w http.ResponseWriter, e *exchange, deadline time.Time) {
	if err := http.NewResponseController(w).SetReadDeadline(deadline); err != nil {
		h.log.WithField("request_id", e.id).WithError(err).Debug("limiting the time to read the request body failed")
	}
}

// forward writes a server's response to the caller. If the server's body is cut
// short, the caller's connection is aborted, so that the response never looks
// complete.
func (h *Handler) forward(ctx context.Context, w http.ResponseWriter, e *exchange, resp *serverResponse) {
	header := w.Header()
	for name, values := range httpd.EndToEndHeaders(resp.header) {
		header[name] = values
	}
	if _, present := header["Content-Type"]; !present {
		// A nil value keeps net/http from adding a Content-Type of its own.
		header["Content-Type"] = nil
	}
	err := h.write(ctx, w, e, resp)
	if err != nil {
		if ctx.Err() != nil {
			err = context.Cause(ctx)
		}
		if errors.Is(err, errStopping) {
			h.abortedAtEnd.Add(1)
		}
		h.logAborted(e, errors.Wrap(err, "response aborted"))
		h.abort(w, e)
		return
	}
	h.metrics.responses.WithLabelValues(e.service, statusClass(resp.status)).Inc()
	h.metrics.durations.Observe(time.Since(e.arrived).Seconds())
	h.logEntry(e).WithField("status", resp.status).Info("answer passed on")
}

// abort ends the connection of a caller that got a part of a response. The end of the
// connection delimits a response to HTTP/1.0, so it must be a reset there; otherwise
// a reset could destroy earlier responses that are still on their way.
func (h *Handler) abort(w http.ResponseWriter, e *exchange) {
	if e.request.ProtoAtLeast(1, 1) {
		panic(http.ErrAbortHandler)
	}
	if err := httpd.Abort(w); err != nil {
		h.log.WithField("request_id", e.id).WithError(err).Debug("resetting the caller's connection failed")
		panic(http.ErrAbortHandler)
	}
}

func (h *Handler) write(ctx context.Context, w http.ResponseWriter, e *exchange, resp *serverResponse) error {
	if resp.rest == nil {
		w.Header().Set("Content-Length", contentLength(resp))
		w.WriteHeader(resp.status)
		e.responded = true
		_, err := w.Write(resp.buffered)
		return ignoreNoBody(err)
	}
	if resp.length >= 0 {
		w.Header().Set("Content-Length", contentLength(resp))
	}
	if e.largeResponses {
		remove := h.endWrites(ctx, w, e)
		defer remove()
	}
	w.WriteHeader(resp.status)
	e.responded = true
	_, err := w.Write(resp.buffered)
	resp.buffered = nil
	resp.release()
	if err == nil {
		_, err = resp.rest.WriteTo(w)
	}
	resp.finish()
	return err
}

// endWrites makes writes to a caller that doesn't read fail when the context ends. The
// returned function ends that.
func (h *Handler) endWrites(ctx context.Context, w http.ResponseWriter, e *exchange) (remove func()) {
	setDeadline := func(deadline time.Time) {
		if err := http.NewResponseController(w).SetWriteDeadline(deadline); err != nil {
			h.log.WithField("request_id", e.id).WithError(err).Debug("limiting the time to send the response failed")
		}
	}
	ended := make(chan struct{})
	stop := context.AfterFunc(ctx, func() {
		defer close(ended)
		setDeadline(time.Now())
	})
	return func() {
		if !stop() {
			<-ended
			setDeadline(time.Time{}) // The connection may carry further responses.
		}
	}
}

// respondLocally writes a response generated by the daemon.
func (h *Handler) respondLocally(w http.ResponseWriter, e *exchange, local localResponse) {
	h.metrics.localResponses.WithLabelValues(string(local.reason)).Inc()
	if e.route != nil {
		h.metrics.durations.Observe(time.Since(e.arrived).Seconds())
	}
	h.logEntry(e).WithField("status", local.status).WithField("reason", local.reason).
		WithField("refused", e.lastRefusal.Reason).WithField("fingerprint", e.identity.Caller.String()).
		WithField("content", e.identity.Content.String()).Info("request answered without a server")
	e.responded = true
	if err := local.write(w, e.id); err != nil {
		h.log.WithField("request_id", e.id).WithError(err).Debug("writing the response to the caller failed")
	}
}

func (h *Handler) logAborted(e *exchange, err error) {
	cause := endCauseOf(err)
	h.metrics.ended.WithLabelValues(string(cause)).Inc()
	h.logEntry(e).WithField("cause", cause).WithField("end", err.Error()).Info("request ended")
}

func (h *Handler) logEntry(e *exchange) *logrus.Entry {
	entry := h.log.WithField("request_id", e.id).WithField("ms", time.Since(e.arrived).Milliseconds()).
		WithField("version", e.version).WithField("service", e.service).
		WithField("tried", e.history.tried).WithField("view_age_ms", time.Since(h.views.View().FreshAt).Milliseconds())
	if e.route != nil {
		entry = entry.WithField("route", e.route.Name)
	}
	if e.account != nil {
		entry = entry.WithField("account", e.account.Name)
	}
	return entry
}

// avoidedServers returns the servers that this daemon currently cannot reach, and those
// of a service that asked it for no further requests.
func (h *Handler) avoidedServers(service string) []string {
	now := time.Now()
	avoided := h.held.of(now, h.views.View().Services[service])
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if h.reachability.Any() {
		avoided = append(avoided, h.reachability.AvoidedUpstreams(now)...)
	}
	return avoided
}

// allHeld reports whether no server can take a request until a time, because servers
// want no requests of this daemon, and the request has been sent to the others or they
// can't be reached.
func (h *Handler) allHeld(e *exchange, now, until time.Time) bool {
	if until.Before(now) {
		until = now
	}
	held := false
	for _, server := range h.views.View().Services[e.service] {
		switch {
		case h.held.isHeld(until, server):
			held = true
		case server.Draining, slices.Contains(e.history.tried, server.ID), h.isUnreachable(until, server.ID):
		default:
			return false
		}
	}
	return held
}

func (h *Handler) isUnreachable(now time.Time, server string) bool {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return h.reachability.ShouldAvoid(now, server)
}

// nextServer returns the time until the first server of a service wants requests of this
// daemon again, 0 if one does now or all are leaving.
func (h *Handler) nextServer(service string) time.Duration {
	return h.held.nextEnd(time.Now(), h.views.View().Services[service])
}

// recordReachability records whether an attempt reached the server. Outcomes from
// which this does not follow are ignored.
func (h *Handler) recordReachability(server string, outcome choose.Outcome) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	switch outcome {
	case choose.Unreachable:
		h.reachability.RecordFailure(time.Now(), server)
	case choose.Served, choose.Failed, choose.Shed:
		h.reachability.RecordSuccess(server)
	case choose.Cancelled, choose.Misdirected, choose.ConnectionLost, choose.TimedOut:
	}
}
