package admin

import (
	"context"
	"net"
	"net/http"

	"dandeliondoor/httpd"
	"dandeliondoor/kernel"
)

// Probe serves the load balancer's readiness check.
type Probe struct {
	server *httpd.Server
}

var _ kernel.Service = &Probe{}

// NewProbe returns a service that serves the readiness check at a path of the
// listener. A daemon that is not ready responds with status 503.
func NewProbe(listener net.Listener, path string, ready Readiness) *Probe {
	handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != path {
			http.NotFound(w, r)
			return
		}
		if err := ready(); err != nil {
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
		}
	})
	return &Probe{server: httpd.NewServer(listener, handler)}
}

// Name returns the name of the service.
func (p *Probe) Name() string { return "probe" }

// Start serves until the context ends.
func (p *Probe) Start(ctx context.Context, _ *kernel.Kernel) (<-chan error, error) {
	return kernel.Run(ctx, p.server.Serve), nil
}
