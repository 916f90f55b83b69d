package httpd

import (
	"context"
	"net/http"

	"github.com/go-faster/errors"
	"github.com/zeromicro/go-zero/rest/httpx"
	"github.com/zeromicro/go-zero/rest/router"
)

// Router maps methods and paths to handlers.
type Router struct {
	router httpx.Router
	err    error
}

// NewRouter returns a router without routes.
func NewRouter() *Router {
	return &Router{router: router.NewRouter()}
}

// Handle adds a handler.
func (r *Router) Handle(method, path string, handler http.Handler) {
	if err := r.router.Handle(method, path, handler); err != nil {
		r.err = errors.Join(r.err, errors.Wrapf(err, "route %s %s", method, path))
	}
}

// Handler returns the router as a handler, or what was wrong with its routes.
func (r *Router) Handler() (http.Handler, error) {
	return r.router, r.err
}

// JSON returns a handler that parses a request into Request by go-zero's rules
// and answers with the JSON of Reply.
func JSON[Request, Reply any](answer func(ctx context.Context, request Request) (Reply, error)) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var request Request
		if err := httpx.Parse(r, &request); err != nil {
			httpx.ErrorCtx(r.Context(), w, err)
			return
		}
		reply, err := answer(r.Context(), request)
		if err != nil {
			httpx.ErrorCtx(r.Context(), w, err)
			return
		}
		httpx.OkJsonCtx(r.Context(), w, reply)
	})
}
