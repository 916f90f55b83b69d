package httpd

import (
	"context"
	"net/http"

	"github.com/go-faster/errors"
	"github.com/zeromicro/go-zero/rest/httpx"
	"github.com/zeromicro/go-zero/rest/router"
)

// Router dispatches requests to handlers by method and path.
type Router struct {
	router httpx.Router
	err    error
}

// NewRouter returns a router without routes.
func NewRouter() *Router {
	return &Router{router: router.NewRouter()}
}

// Handle registers a handler. Handler returns the error if that fails.
func (r *Router) Handle(method, path string, handler http.Handler) {
	if err := r.router.Handle(method, path, handler); err != nil {
		r.err = errors.Join(r.err, errors.Wrapf(err, "route %s %s", method, path))
	}
}

// Handler returns the router as a handler and the errors of all calls of Handle.
func (r *Router) Handler() (http.Handler, error) {
	return r.router, r.err
}

// JSON returns a handler that decodes a request by go-zero's rules, calls handle
// and sends its reply as JSON.
func JSON[Request, Reply any](handle func(ctx context.Context, request Request) (Reply, error)) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var request Request
		if err := httpx.Parse(r, &request); err != nil {
			httpx.ErrorCtx(r.Context(), w, err)
			return
		}
		reply, err := handle(r.Context(), request)
		if err != nil {
			httpx.ErrorCtx(r.Context(), w, err)
			return
		}
		httpx.OkJsonCtx(r.Context(), w, reply)
	})
}
