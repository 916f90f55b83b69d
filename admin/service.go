package admin

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/go-faster/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/zeromicro/go-zero/rest/httpx"

	"dandeliondoor/check"
	"dandeliondoor/httpd"
	"dandeliondoor/kernel"
	"dandeliondoor/logs"
)

// Name is the name of the service in the kernel.
const Name = "operators"

// shutdownTimeout limits the wait for operators' requests in flight at shutdown. It is a
// part of the time that a stop leaves for the exit of the process.
const shutdownTimeout = 100 * time.Millisecond

// Readiness returns nil if the daemon is ready for requests, and otherwise the reason
// why it is not.
type Readiness func() error

// Service serves the operators' port.
type Service struct {
	server *httpd.Server
	kernel *kernel.Kernel
	logger *logs.Logger
	ready  Readiness
	status func(now time.Time) any
}

var _ kernel.Service = &Service{}

// New returns a service on the listener. The status function returns the value that
// /v1/status serves as JSON.
func New(
	listener net.Listener, registry *prometheus.Registry, logger *logs.Logger,
	ready Readiness, status func(now time.Time) any,
) (*Service, error) {
	s := &Service{logger: logger, ready: ready, status: status}
	router := httpd.NewRouter()
	router.Handle(http.MethodGet, "/healthz", http.HandlerFunc(s.serveHealth))
	router.Handle(http.MethodGet, "/metrics", promhttp.HandlerFor(registry, promhttp.HandlerOpts{}))
	router.Handle(http.MethodGet, "/readyz", http.HandlerFunc(s.serveReadiness))
	router.Handle(http.MethodGet, "/v1/log_level", httpd.JSON(s.getLogLevel))
	router.Handle(http.MethodPut, "/v1/log_level", httpd.JSON(s.setLogLevel))
	router.Handle(http.MethodGet, "/v1/state", http.HandlerFunc(s.serveState))
	router.Handle(http.MethodGet, "/v1/status", http.HandlerFunc(s.serveStatus))
	handler, err := router.Handler()
	if err != nil {
		return nil, err
	}
	s.server = httpd.NewServer(listener, handler)
	return s, nil
}

// Name returns Name.
func (s *Service) Name() string { return Name }

// Start serves until the context ends.
func (s *Service) Start(ctx context.Context, k *kernel.Kernel) (<-chan error, error) {
	s.kernel = k
	return kernel.Run(ctx, func(ctx context.Context) error {
		serveCtx, abort := context.WithCancel(context.WithoutCancel(ctx))
		defer abort()
		served := kernel.Run(serveCtx, s.server.Serve)
		select {
		case err := <-served:
			return err
		case <-ctx.Done():
		}
		shutdownCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), shutdownTimeout)
		defer cancel()
		err := s.server.Shutdown(shutdownCtx)
		if errors.Is(err, context.DeadlineExceeded) {
			err = nil // An operator's open connection is no fault of the stop.
		}
		abort()
		return errors.Join(err, <-served)
	}), nil
}

func (s *Service) serveHealth(w http.ResponseWriter, _ *http.Request) {
	_, _ = w.Write([]byte("ok\n"))
}

func (s *Service) serveReadiness(w http.ResponseWriter, _ *http.Request) {
	if err := s.ready(); err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	_, _ = w.Write([]byte("ready\n"))
}

// LogLevel is the request and the response of /v1/log_level.
type LogLevel struct {
	Level string `json:"level"`
}

func (s *Service) getLogLevel(context.Context, struct{}) (LogLevel, error) {
	return LogLevel{Level: s.logger.Level()}, nil
}

func (s *Service) setLogLevel(_ context.Context, request LogLevel) (LogLevel, error) {
	if err := s.logger.SetLevel(request.Level); err != nil {
		return LogLevel{}, err
	}
	return LogLevel{Level: s.logger.Level()}, nil
}

func (s *Service) serveState(w http.ResponseWriter, r *http.Request) {
	text, err := Dump(s.kernel, time.Now(), r.URL.Query().Get("part"))
	if err != nil {
		http.Error(w, err.Error(), http.StatusNotFound)
		return
	}
	w.Header().Set("Content-Type", "application/yaml")
	_, _ = w.Write([]byte(text))
}

func (s *Service) serveStatus(w http.ResponseWriter, r *http.Request) {
	httpx.OkJsonCtx(r.Context(), w, s.status(time.Now()))
}

// Dump returns the state of the part with the given name as YAML, or of all parts if
// the name is empty.
func Dump(k *kernel.Kernel, now time.Time, part string) (string, error) {
	var selected []kernel.PartState
	for _, state := range k.Dump(now) {
		if part == "" || state.Part == part {
			selected = append(selected, state)
		}
	}
	if len(selected) == 0 {
		return "", errors.Errorf("part %q does not exist or has no state", part)
	}
	return check.Encode(selected)
}
