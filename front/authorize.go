package front

import (
	"context"
	"net/http"
	"strings"
	"time"

	"dandeliondoor/feed"
	"dandeliondoor/proto"
)

// KeyPolicy sets how API keys are handled while the configuration cannot be confirmed. With
// FailClosed, none is accepted once the configuration is older than RevokeDue, since the key
// may have been revoked.
type KeyPolicy struct {
	RevokeDue  time.Duration
	FailClosed bool
}

// WithKeyPolicy sets how API keys are handled while the configuration cannot be confirmed.
// Without it, the known keys stay valid.
func WithKeyPolicy(policy KeyPolicy) HandlerOption { return func(h *Handler) { h.keys = policy } }

// authorize sets the route and the client account of a request. It returns a local response
// and true if there is no route or the request needs an API key and has no valid one.
func (h *Handler) authorize(ctx context.Context, e *exchange, view *feed.View) (localResponse, bool) {
	key := h.dialect.Key(e.request.Header)
	e.resolve(view, key)
	for !e.authorized(view) && ctx.Err() == nil && mayBeStale(time.Now(), e.arrived, view) {
		sleep(ctx, viewPollInterval)
		view = h.views.View()
		e.resolve(view, key)
	}
	now := time.Now()
	switch {
	case e.route == nil:
		return localResponse{status: http.StatusNotFound, reason: reasonNoRoute}, true
	case e.authorized(view) && h.keys.expired(now, view) && view.Table.Accounts.Required() && !e.route.Public:
		return localResponse{status: http.StatusServiceUnavailable, reason: reasonStaleKeys, retryAfter: minRetryAfter}, true
	case e.authorized(view):
		return localResponse{}, false
	case key != "" && now.Sub(view.FreshAt) > staleViewAge:
		// The key may be newer than this daemon's configuration; another daemon may know it.
		return localResponse{status: http.StatusServiceUnavailable, reason: reasonStaleKeys, retryAfter: minRetryAfter}, true
	default:
		return localResponse{status: http.StatusUnauthorized, reason: reasonUnknownKey}, true
	}
}

// expired reports whether the configuration of a view is too old to accept keys.
func (p KeyPolicy) expired(now time.Time, view *feed.View) bool {
	return p.FailClosed && now.Sub(view.ConfigFreshAt) > p.RevokeDue
}

// resolve sets the route and the client account of the request, from one version of the
// configuration.
func (e *exchange) resolve(view *feed.View, key string) {
	path, _, _ := strings.Cut(e.request.RequestURI, "?")
	e.route = view.Table.Find(e.request.Host, path)
	e.account = view.Table.Accounts.Find(key)
	e.version = view.Table.Config.Version
}

// authorized reports whether the request has a route, and an account if it needs one.
func (e *exchange) authorized(view *feed.View) bool {
	return e.route != nil && (e.account != nil || e.route.Public || !view.Table.Accounts.Required())
}

// accountName returns the name of the client account, empty without one.
func (e *exchange) accountName() string {
	if e.account == nil {
		return ""
	}
	return e.account.Name
}

// callerIdentity returns what identifies the caller: the client account, or else the API key
// that it sent, or else nothing.
func (e *exchange) callerIdentity(dialect proto.Dialect) string {
	if e.account != nil {
		return e.account.Name
	}
	return dialect.Key(e.request.Header)
}
