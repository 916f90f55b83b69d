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

// Tables gives the configuration in force.
type Tables interface {
	Table() *route.Table
	Ready() bool
}

// Handler serves the requests of callers.
type Handler struct {
	tables     Tables
	members    *member.Service
	client     *grant.Client
	transports *transports
	metrics    *metrics
	log        *logrus.Entry

	mutex   sync.Mutex
	paths   *choose.PathTracker
	budgets map[string]*retry.Budget
}

var _ http.Handler = &Handler{}

// NewHandler returns a handler that gets its slots from the client.
func NewHandler(
	tables Tables, members *member.Service, client *grant.Client, registry prometheus.Registerer, log *logrus.Entry,
) *Handler {
	return &Handler{
		tables:     tables,
		members:    members,
		client:     client,
		transports: newTransports(),
		metrics:    newMetrics(registry),
		log:        log,
		paths:      choose.NewPathTracker(),
		budgets:    make(map[string]*retry.Budget),
	}
}

// ServeHTTP takes one request.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	now := time.Now()
	e := &exchange{id: uuid.NewString(), request: r}
	if refused, found := h.prepare(now, w, e); found {
		h.answer(w, e, refused)
		return
	}
	ctx, cancel := context.WithDeadline(r.Context(), e.deadline)
	defer cancel()
	h.run(ctx, w, e)
}

// prepare looks everything up that the request needs, or returns why it is
// refused before anything is sent on.
func (h *Handler) prepare(now time.Time, w http.ResponseWriter, e *exchange) (ownAnswer, bool) {
	r := e.request
	framing := httpd.FramingOf(r)
	if framing.Chunked {
		w.Header().Set("Connection", "close")
	}
	if framing.Ambiguous {
		return refuse(http.StatusBadRequest, ReasonBadFraming), true
	}
	if !h.tables.Ready() {
		return refuse(http.StatusServiceUnavailable, ReasonNotReady), true
	}
	target, found := h.tables.Table().Find(r.Host, r.URL.Path)
	if !found {
		return refuse(http.StatusNotFound, ReasonNoRoute), true
	}
	e.target = target
	period, given, err := callerDeadline(r)
	if err != nil {
		return refuse(http.StatusBadRequest, ReasonBadDeadline), true
	}
	if !given || period > target.Route.Deadline {
		period = target.Route.Deadline
	}
	e.deadline = now.Add(period)
	controller := http.NewResponseController(w)
	if err := controller.EnableFullDuplex(); err != nil {
		h.log.WithError(err).Debug("full duplex is not available")
	}
	_ = controller.SetReadDeadline(e.deadline)
	e.body, err = readBody(r)
	if err != nil {
		return refuse(http.StatusBadRequest, ReasonBodyBroken), true
	}
	_ = controller.SetReadDeadline(e.body.readDeadline(e.deadline))
	e.fingerprint = e.body.fingerprint(r)
	e.history.Repeatable = target.Route.Repeatable && r.Header.Get(proto.HeaderUnrepeatable) != "true"
	return ownAnswer{}, false
}

func refuse(status int, reason Reason) ownAnswer {
	return ownAnswer{status: status, outcome: proto.OutcomeNotRun, reason: reason}
}

// answer sends the system's own answer.
func (h *Handler) answer(w http.ResponseWriter, e *exchange, answer ownAnswer) {
	h.metrics.own.WithLabelValues(string(answer.outcome), string(answer.reason)).Inc()
	h.log.WithField("request_id", e.id).WithField("outcome", answer.outcome).
		WithField("reason", answer.reason).Debug("answered without an upstream")
	answer.write(w, e.id)
}

// avoided returns the upstreams of a service that this daemon cannot reach.
func (h *Handler) avoided(service *route.Service) []string {
	now := time.Now()
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if !h.paths.Any() {
		return nil
	}
	var names []string
	for _, upstream := range service.Upstreams {
		if h.paths.ShouldAvoid(now, upstream.Name) {
			names = append(names, upstream.Name)
		}
	}
	return names
}

func (h *Handler) notePath(upstream string, outcome health.Outcome) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	switch outcome {
	case health.Unreachable:
		h.paths.RecordFailure(time.Now(), upstream)
	case health.Success, health.Failed, health.Shed, health.Lost:
		h.paths.RecordSuccess(upstream)
	case health.TimedOut, health.Cancelled:
	}
}

func (h *Handler) noteSuccess(service *route.Service) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.budget(service.Name).Succeeded(service.RetryBudgetPercent)
}

// budget returns the retry budget of a service; the lock is held.
func (h *Handler) budget(service string) *retry.Budget {
	known, found := h.budgets[service]
	if !found {
		known = retry.NewBudget()
		h.budgets[service] = known
	}
	return known
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
