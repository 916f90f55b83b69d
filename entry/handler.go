package entry

import (
	"context"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"

	"dandeliondoor/choose"
	"dandeliondoor/grant"
	"dandeliondoor/health"
	"dandeliondoor/httpd"
	"dandeliondoor/member"
	"dandeliondoor/proto"
	"dandeliondoor/retry"
	"dandeliondoor/route"
)

// TableSource provides the current route table. Ready reports whether there is a
// configuration to serve from.
type TableSource interface {
	Table() *route.Table
	Ready() bool
}

// Handler proxies callers' requests to upstreams.
type Handler struct {
	tables     TableSource
	members    *member.Service
	client     *grant.Client
	transports *transportPool
	metrics    *metrics
	log        *logrus.Entry

	mutex        sync.Mutex
	reachability *choose.PathTracker
	budgets      map[string]*retry.Budget
}

var _ http.Handler = &Handler{}

// NewHandler returns a handler that acquires slots through the client.
func NewHandler(
	tables TableSource, members *member.Service, client *grant.Client, registry prometheus.Registerer, log *logrus.Entry,
) *Handler {
	return &Handler{
		tables:       tables,
		members:      members,
		client:       client,
		transports:   newTransportPool(),
		metrics:      newMetrics(registry),
		log:          log,
		reachability: choose.NewPathTracker(),
		budgets:      make(map[string]*retry.Budget),
	}
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) { h.serve(r.Context(), w, r) }

// serve handles a request within a context, which may end before that of the request.
func (h *Handler) serve(ctx context.Context, w http.ResponseWriter, r *http.Request) {
	now := time.Now()
	e := &exchange{id: uuid.NewString(), request: r}
	if rejection, rejected := h.prepare(now, w, e); rejected {
		if rejection.reason == ReasonBodyBroken {
			rejection = whileStopping(ctx, rejection)
		}
		h.respond(w, e, rejection)
		return
	}
	ctx, cancel := context.WithDeadline(ctx, e.deadline)
	defer cancel()
	h.forward(ctx, w, e)
}

// prepare validates the request, finds its route, sets its deadline and buffers a
// small body. If the request is rejected, it returns the response and true.
func (h *Handler) prepare(now time.Time, w http.ResponseWriter, e *exchange) (localResponse, bool) {
	r := e.request
	framing := httpd.FramingOf(r)
	if framing.Chunked {
		w.Header().Set("Connection", "close")
	}
	if framing.Ambiguous {
		return reject(http.StatusBadRequest, ReasonBadFraming), true
	}
	if !h.tables.Ready() {
		return reject(http.StatusServiceUnavailable, ReasonNotReady), true
	}
	target, found := h.tables.Table().Find(r.Host, r.URL.Path)
	if !found {
		return reject(http.StatusNotFound, ReasonNoRoute), true
	}
	e.target = target
	timeout, given, err := parseDeadline(r)
	if err != nil {
		return reject(http.StatusBadRequest, ReasonBadDeadline), true
	}
	if !given || timeout > target.Route.Deadline {
		timeout = target.Route.Deadline
	}
	e.deadline = now.Add(timeout)
	controller := http.NewResponseController(w)
	if err := controller.EnableFullDuplex(); err != nil {
		h.log.WithError(err).Debug("full duplex is not available")
	}
	_ = controller.SetReadDeadline(e.deadline)
	e.body, err = readBody(r)
	if err != nil {
		return reject(http.StatusBadRequest, ReasonBodyBroken), true
	}
	_ = controller.SetReadDeadline(e.body.readDeadline(e.deadline))
	e.fingerprint = e.body.fingerprint(r)
	e.history.Repeatable = target.Route.Repeatable && r.Header.Get(proto.HeaderUnrepeatable) != "true"
	return localResponse{}, false
}

func reject(status int, reason Reason) localResponse {
	return localResponse{status: status, outcome: proto.OutcomeNotRun, reason: reason}
}

// respond sends a locally generated response to the caller.
func (h *Handler) respond(w http.ResponseWriter, e *exchange, response localResponse) {
	h.metrics.localResponses.WithLabelValues(string(response.outcome), string(response.reason)).Inc()
	h.log.WithField("request_id", e.id).WithField("outcome", response.outcome).
		WithField("reason", response.reason).Debug("request answered without an upstream")
	response.write(w, e.id)
}

// unreachableUpstreams returns the upstreams of a service that this daemon can't
// reach at present.
func (h *Handler) unreachableUpstreams(service *route.Service) []string {
	now := time.Now()
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if !h.reachability.Any() {
		return nil
	}
	var names []string
	for _, upstream := range service.Upstreams {
		if h.reachability.ShouldAvoid(now, upstream.Name) {
			names = append(names, upstream.Name)
		}
	}
	return names
}

// recordReachability records whether an attempt reached the upstream. Outcomes from
// which this doesn't follow are ignored.
func (h *Handler) recordReachability(upstream string, outcome health.Outcome) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	switch outcome {
	case health.Unreachable:
		h.reachability.RecordFailure(time.Now(), upstream)
	case health.Success, health.Failed, health.Shed, health.Lost:
		h.reachability.RecordSuccess(upstream)
	case health.TimedOut, health.Cancelled:
	}
}

// recordSuccess adds to the retry budget of a service.
func (h *Handler) recordSuccess(service *route.Service) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.budget(service.Name).RecordSuccess(service.RetryBudgetPercent)
}

// budget returns the retry budget of a service. h.mutex must be held.
func (h *Handler) budget(service string) *retry.Budget {
	budget, found := h.budgets[service]
	if !found {
		budget = retry.NewBudget()
		h.budgets[service] = budget
	}
	return budget
}

func (h *Handler) budgetStates() []BudgetState {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	states := make([]BudgetState, 0, len(h.budgets))
	for service, budget := range h.budgets {
		states = append(states, BudgetState{Service: service, Retries: budget.Tokens()})
	}
	slices.SortFunc(states, func(a, b BudgetState) int { return strings.Compare(a.Service, b.Service) })
	return states
}
