package front

import (
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"

	"dandeliondoor/choose"
	"dandeliondoor/feed"
	"dandeliondoor/httpd"
	"dandeliondoor/proto"
	"dandeliondoor/slots"
	"dandeliondoor/upconn"
)

// Handler serves the requests of callers.
type Handler struct {
	views   slots.Views
	slots   *slots.Client
	conns   *upconn.Pool
	dialect proto.Dialect
	zone    string
	metrics *metrics
	log     *logrus.Entry

	mutex sync.Mutex
	paths *choose.Paths
}

var _ http.Handler = &Handler{}

// NewHandler returns a handler that gets its servers from the client.
func NewHandler(
	views slots.Views, client *slots.Client, dialect proto.Dialect, registry prometheus.Registerer, log *logrus.Entry,
) *Handler {
	h := &Handler{
		views:   views,
		slots:   client,
		dialect: dialect,
		zone:    views.Self().Zone,
		metrics: newMetrics(registry),
		log:     log,
		paths:   choose.NewPaths(),
	}
	h.conns = upconn.NewPool(h.metrics.connections.Inc)
	return h
}

// ServeHTTP takes one request.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e := h.newExchange(r)
	if refused, found := h.prepare(r.Context(), w, e); found {
		h.answerSelf(w, e, refused)
		return
	}
	ctx, cancel := context.WithDeadline(r.Context(), e.deadline)
	defer cancel()
	passed, own := h.run(ctx, e)
	switch {
	case passed != nil:
		h.pass(w, e, passed)
	case errors.Is(r.Context().Err(), context.Canceled):
		h.logEnd(e, "caller left")
		panic(http.ErrAbortHandler)
	default:
		h.answerSelf(w, e, own)
	}
}

func (h *Handler) newExchange(r *http.Request) *exchange {
	return &exchange{id: h.dialect.RequestID(r.Header), request: r, arrived: time.Now(), history: &History{}}
}

// prepare looks everything up that the request needs, or returns why it is
// refused before anything is sent on.
func (h *Handler) prepare(ctx context.Context, w http.ResponseWriter, e *exchange) (ownAnswer, bool) {
	r := e.request
	framing := httpd.FramingOf(r)
	if framing.Chunked {
		w.Header().Set("Connection", "close")
	}
	view := h.readyView(ctx)
	switch {
	case framing.Ambiguous:
		return ownAnswer{status: http.StatusBadRequest, reason: reasonBadFraming}, true
	case !view.Ready():
		return ownAnswer{status: http.StatusServiceUnavailable, reason: reasonNotReady, retryAfter: shedRetryAfter}, true
	case e.id == "":
		return ownAnswer{status: http.StatusBadRequest, reason: reasonNoID}, true
	}
	limits := view.Table.Config.Limits
	if limits.HeaderBytes > 0 && headBytes(r) > limits.HeaderBytes {
		return ownAnswer{status: http.StatusRequestHeaderFieldsTooLarge, reason: reasonHeadLarge}, true
	}
	if !h.findRoute(ctx, e, view) {
		return ownAnswer{status: http.StatusNotFound, reason: reasonNoRoute}, true
	}
	left, given, err := h.dialect.Deadline(r.Header)
	if err != nil {
		return ownAnswer{status: http.StatusBadRequest, reason: reasonBadDeadline}, true
	}
	if !given || left > e.route.Timeout {
		left = e.route.Timeout
	}
	e.deadline = e.arrived.Add(left)
	return h.readBody(e, limits.BodyBytes)
}

// headBytes returns about how many bytes the head of a request had.
func headBytes(r *http.Request) int {
	const separators, line = 4, 12
	size := len(r.Method) + len(r.RequestURI) + len(r.Host) + line
	for name, values := range r.Header {
		for _, value := range values {
			size += len(name) + len(value) + separators
		}
	}
	return size
}

// The wait for a view by requests that reach a daemon right after its start, or
// right after its process stood still.
const (
	viewPatience = 250 * time.Millisecond
	viewPause    = 20 * time.Millisecond
	// renewPatience is how long a request for an unknown route waits after the
	// process stood still: a failed read of the configuration is tried again
	// after 0.3 s at most.
	renewPatience = 600 * time.Millisecond
	// staleView is older than any view while the store can be read, for it is
	// read again within the time that a leaving server allows.
	staleView = 3 * time.Second
)

// findRoute sets the request's route and reports whether there is one. A view
// that is old, or was so a moment ago, may lack it, so that a newer one is waited
// for.
func (h *Handler) findRoute(ctx context.Context, e *exchange, view *feed.View) bool {
	path, _, _ := strings.Cut(e.request.RequestURI, "?")
	e.route = view.Table.Find(e.request.Host, path)
	for e.route == nil && ctx.Err() == nil && maybeOld(time.Now(), e.arrived, view) {
		wait(ctx, viewPause)
		view = h.views.View()
		e.route = view.Table.Find(e.request.Host, path)
	}
	e.version = view.Table.Config.Version
	return e.route != nil
}

// maybeOld reports whether a request that arrived a short while ago should wait
// for a newer view.
func maybeOld(now, arrived time.Time, view *feed.View) bool {
	if now.Sub(arrived) >= renewPatience {
		return false
	}
	return now.Sub(view.FreshAt) > staleView || now.Sub(view.RenewedAt) < renewPatience
}

// readyView returns the view, after a short wait if it cannot serve yet.
func (h *Handler) readyView(ctx context.Context) *feed.View {
	view := h.views.View()
	for end := time.Now().Add(viewPatience); !view.Ready() && time.Now().Before(end) && ctx.Err() == nil; {
		wait(ctx, viewPause)
		view = h.views.View()
	}
	return view
}

func (h *Handler) readBody(e *exchange, limit int64) (ownAnswer, bool) {
	var err error
	e.body, err = readBody(e.request, limit)
	switch {
	case errors.Is(err, errTooLarge):
		return ownAnswer{status: http.StatusRequestEntityTooLarge, reason: reasonBodyLarge}, true
	case err != nil:
		return ownAnswer{status: http.StatusBadRequest, reason: reasonBodyBroken}, true
	}
	e.content = e.body.fingerprint(e.request)
	e.service = e.route.Pick(rand.Float64())
	e.header = httpd.EndToEnd(e.request.Header)
	e.header.Del("Content-Length")
	e.history = NewHistory(e.route.Idempotent, e.route.Attempts)
	return ownAnswer{}, false
}

// pass sends a server's answer on. One that breaks off is broken off for the
// caller too, never ended as if it were complete.
func (h *Handler) pass(w http.ResponseWriter, e *exchange, a *answer) {
	header := w.Header()
	for name, values := range httpd.EndToEnd(a.header) {
		header[name] = values
	}
	if _, typed := header["Content-Type"]; !typed {
		header["Content-Type"] = nil
	}
	err := h.write(w, a)
	if err != nil {
		h.logEnd(e, "answer broke off: "+err.Error())
		panic(http.ErrAbortHandler)
	}
	h.metrics.answers.WithLabelValues(e.service, statusClass(a.status)).Inc()
	h.metrics.durations.Observe(time.Since(e.arrived).Seconds())
	h.logEntry(e).WithField("status", a.status).Info("answer passed on")
}

func (h *Handler) write(w http.ResponseWriter, a *answer) error {
	if a.rest == nil {
		w.Header().Set("Content-Length", contentLength(a))
		w.WriteHeader(a.status)
		_, err := w.Write(a.kept)
		return ignoreNoBody(err)
	}
	if a.length >= 0 {
		w.Header().Set("Content-Length", contentLength(a))
	}
	w.WriteHeader(a.status)
	_, err := w.Write(a.kept)
	if err == nil {
		_, err = io.Copy(w, a.rest)
	}
	a.finish(err)
	return err
}

// answerSelf sends the fleet's own answer.
func (h *Handler) answerSelf(w http.ResponseWriter, e *exchange, own ownAnswer) {
	h.metrics.own.WithLabelValues(string(own.reason)).Inc()
	if e.route != nil {
		h.metrics.durations.Observe(time.Since(e.arrived).Seconds())
	}
	h.logEntry(e).WithField("status", own.status).WithField("reason", own.reason).
		WithField("refused", e.refused.Reason).Info("request answered without a server")
	if err := own.write(w, e.id); err != nil {
		h.log.WithField("request_id", e.id).WithError(err).Debug("caller did not take the answer")
	}
}

func (h *Handler) logEnd(e *exchange, how string) {
	h.logEntry(e).WithField("end", how).Info("request ended")
}

func (h *Handler) logEntry(e *exchange) *logrus.Entry {
	entry := h.log.WithField("request_id", e.id).WithField("ms", time.Since(e.arrived).Milliseconds()).
		WithField("version", e.version).WithField("service", e.service).
		WithField("tried", e.history.tried).WithField("view_age_ms", time.Since(h.views.View().FreshAt).Milliseconds())
	if e.route != nil {
		entry = entry.WithField("route", e.route.Name)
	}
	return entry
}

// avoided returns the servers that this daemon cannot reach.
func (h *Handler) avoided() []string {
	now := time.Now()
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if !h.paths.Any() {
		return nil
	}
	return h.paths.AvoidedAll(now)
}

func (h *Handler) notePath(server string, outcome choose.Outcome) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	switch outcome {
	case choose.Unreachable:
		h.paths.Failed(time.Now(), server)
	case choose.Served, choose.Failed, choose.Shed:
		h.paths.Worked(server)
	case choose.Cancelled, choose.Gone, choose.Lost, choose.TimedOut:
	}
}
