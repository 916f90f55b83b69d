package main

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/go-faster/errors"

	"dandeliondoor/fakes"
	"dandeliondoor/platform"
	"dandeliondoor/topo"
)

// program is the daemon as the deploy file builds it.
const program = "target/dandeliondoor"

// Figures of the small deployments and of the example of a configuration.
const (
	heartbeat     = 1450 * time.Millisecond // Of about heartbeat_s, 1.5 s.
	drainDue      = 2 * time.Second
	contact       = 3 * time.Second
	headerLimit   = 16 << 10
	bodyLimit     = 64 << 20
	headerTimeout = 3 * time.Second
	idleTimeout   = 15 * time.Second
	readyInterval = 50 * time.Millisecond
)

// The ports of the daemons, apart from those of the project's tests.
const (
	firstPort = 26000
	lastPort  = 30000
)

// settingsFormat has what the template of the deploy file gives for a small deployment.
const settingsFormat = `name: %s
zone: zone-%d
cores: 0.32
link_mbps: 1000.0
memory_mb: 284
first_start: true
terms: [base,drain,config,cost,retry,recover,health,platform]
listen:
  callers: %s
  readiness: %s
  daemons: %s
  operators: %s
store:
  address: %s
  drain_due: 2s
retries:
  ratio: 0.2
  window: 10s
  slack: 64
stop:
  limit: 6s
`

// zoneCount is the number of availability zones.
const zoneCount = 3

// rig is the deployment of a script. Its stand-ins run until cancel is called.
type rig struct {
	trouble   bool
	directory string
	ports     *fakes.Ports
	store     *fakes.Store
	address   netip.AddrPort
	daemons   []*daemon
	cancel    context.CancelFunc
	running   sync.WaitGroup

	mutex  sync.Mutex
	file   *os.File
	record *bufio.Writer
	began  time.Time
}

// newRig starts the store and creates the record.
func newRig(ctx context.Context, record string, trouble bool) (*rig, error) {
	file, err := os.Create(record) //nolint:gosec // The script names its own record.
	if err != nil {
		return nil, errors.Wrap(err, "create record")
	}
	directory, err := os.MkdirTemp("", "rig")
	if err != nil {
		return nil, errors.Join(err, file.Close())
	}
	ctx, cancel := context.WithCancel(ctx)
	r := &rig{
		trouble: trouble, directory: directory, ports: fakes.NewPorts(firstPort, lastPort), store: fakes.NewStore(),
		cancel: cancel, file: file, record: bufio.NewWriter(file), began: time.Now(),
	}
	r.logf("with the disruption: %v", trouble)
	listener, address, err := listen(ctx)
	if err != nil {
		return nil, errors.Join(err, r.close())
	}
	r.address = address
	server := &http.Server{Handler: r.recordLists(r.store.Handler()), ReadHeaderTimeout: headerTimeout}
	r.running.Go(func() { _ = server.Serve(listener) })
	context.AfterFunc(ctx, func() { _ = server.Close() })
	return r, nil
}

// recordLists adds a line to the record when a daemon lists the servers in the store.
func (r *rig) recordLists(handler http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
		if request.URL.Path == platform.NewestPath && request.URL.Query().Get("topic") == platform.ServerTopic {
			r.logf("store: a daemon lists the servers")
		}
		handler.ServeHTTP(w, request)
	})
}

// listen listens on a free port of the loopback address.
func listen(ctx context.Context) (net.Listener, netip.AddrPort, error) {
	listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", "127.0.0.1:0")
	if err != nil {
		return nil, netip.AddrPort{}, errors.Wrap(err, "listen")
	}
	address, err := netip.ParseAddrPort(listener.Addr().String())
	if err != nil {
		return nil, netip.AddrPort{}, errors.Join(err, listener.Close())
	}
	return listener, address, nil
}

// logf adds a line to the record.
func (r *rig) logf(format string, arguments ...any) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	fmt.Fprintf(r.record, "%8.3f %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, arguments...))
}

// publish writes a configuration to the store, as the operator does.
func (r *rig) publish(version uint64, routes ...topo.Route) error {
	data, err := platform.EncodeConfig(&topo.Config{
		Version: version, Routes: routes,
		Limits: topo.Limits{HeaderBytes: headerLimit, BodyBytes: bodyLimit, HeaderTimeout: headerTimeout, IdleTimeout: idleTimeout},
	})
	if err != nil {
		return err
	}
	r.store.Put(platform.OperatorTopic, platform.ConfigKey, data)
	r.logf("operator: version %d is acknowledged", version)
	return nil
}

// daemon is one process of the front role.
type daemon struct {
	name      string
	callers   netip.AddrPort
	readiness netip.AddrPort
	operators netip.AddrPort
	settings  string
	command   *exec.Cmd
}

// addDaemons adds daemons and starts their processes.
func (r *rig) addDaemons(ctx context.Context, count int) error {
	for range count {
		d := &daemon{name: fmt.Sprintf("front-%d", len(r.daemons)+1)}
		var peers netip.AddrPort
		for _, address := range []*netip.AddrPort{&d.callers, &d.readiness, &peers, &d.operators} {
			port, err := r.ports.Free()
			if err != nil {
				return err
			}
			*address = port
		}
		d.settings = filepath.Join(r.directory, d.name+".yaml")
		text := fmt.Sprintf(settingsFormat, d.name, len(r.daemons)%zoneCount, d.callers, d.readiness, peers, d.operators, r.address)
		if err := os.WriteFile(d.settings, []byte(text), 0o600); err != nil { //nolint:gosec // In the temporary folder.
			return errors.Wrap(err, "write settings")
		}
		if err := r.start(ctx, d); err != nil {
			return err
		}
		r.daemons = append(r.daemons, d)
	}
	return nil
}

// start starts the process of a daemon. Its log goes to the temporary folder.
func (r *rig) start(ctx context.Context, d *daemon) error {
	log, err := os.OpenFile(d.settings+".log", os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600) //nolint:gosec // In the temporary folder.
	if err != nil {
		return errors.Wrap(err, "open log")
	}
	defer func() { _ = log.Close() }()
	d.command = exec.CommandContext(ctx, program, "front")
	d.command.Env = append(os.Environ(), "DANDELIONDOOR_CONFIG="+d.settings)
	d.command.Stdout, d.command.Stderr = log, log
	if err := d.command.Start(); err != nil {
		return errors.Wrap(err, "start daemon")
	}
	r.logf("daemon %s is started", d.name)
	return nil
}

// kill kills the process of a daemon.
func (r *rig) kill(d *daemon) error {
	r.logf("daemon %s is killed", d.name)
	if err := d.command.Process.Kill(); err != nil {
		return errors.Wrap(err, "kill daemon")
	}
	_ = d.command.Wait() // It reports the signal.
	return nil
}

// restart starts the process of a daemon that has ended. The fleet no longer starts for the
// first time.
func (r *rig) restart(ctx context.Context, d *daemon) error {
	text, err := os.ReadFile(d.settings) //nolint:gosec // In the temporary folder.
	if err != nil {
		return errors.Wrap(err, "read settings")
	}
	text = bytes.Replace(text, []byte("first_start: true"), []byte("first_start: false"), 1)
	if err := os.WriteFile(d.settings, text, 0o600); err != nil { //nolint:gosec // In the temporary folder.
		return errors.Wrap(err, "write settings")
	}
	return r.start(ctx, d)
}

// waitReady waits until all daemons are ready, and for contact_s after that.
func (r *rig) waitReady(ctx context.Context) error {
	for _, d := range r.daemons {
		for !d.ready(ctx) {
			if err := pause(ctx, readyInterval); err != nil {
				return errors.Wrap(err, d.name+" is not ready")
			}
		}
	}
	r.logf("all daemons are ready")
	return pause(ctx, contact+readyInterval)
}

// readsStore reports whether a daemon reads the store for others, by its status.
func (d *daemon) readsStore(ctx context.Context) bool {
	url := "http://" + d.operators.String() + "/v1/status"
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, http.NoBody) //nolint:gosec // A loopback address.
	if err != nil {
		return false
	}
	response, err := http.DefaultClient.Do(request) //nolint:gosec // A loopback address.
	if err != nil {
		return false
	}
	defer func() { _ = response.Body.Close() }()
	var status struct{ Source string }
	return json.NewDecoder(response.Body).Decode(&status) == nil && status.Source == d.name
}

// stop tells a daemon to stop.
func (r *rig) stop(d *daemon) error {
	r.logf("daemon %s gets SIGTERM", d.name)
	return d.command.Process.Signal(syscall.SIGTERM)
}

// ready reports whether the readiness check of a daemon succeeds.
func (d *daemon) ready(ctx context.Context) bool {
	url := "http://" + d.readiness.String() + platform.ReadyPath
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, http.NoBody) //nolint:gosec // A loopback address.
	if err != nil {
		return false
	}
	response, err := http.DefaultClient.Do(request) //nolint:gosec // A loopback address.
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// close ends all processes and stand-ins.
func (r *rig) close() error {
	for _, d := range r.daemons {
		_ = d.command.Process.Kill()
		_ = d.command.Wait()
	}
	r.cancel()
	r.running.Wait()
	err := os.RemoveAll(r.directory) //nolint:gosec // The temporary folder.
	return errors.Join(r.record.Flush(), r.file.Close(), r.ports.Close(), err)
}
