package soak

import (
	"context"
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

	"dandeliondoor/httpd"
	"dandeliondoor/kernel"
	"dandeliondoor/platform"
	"dandeliondoor/stand"
	"dandeliondoor/topo"
)

// daemonPorts are those of the daemons. Two soaks at once may choose the same.
var daemonPorts = stand.NewPorts(10000, 18000)

// zones are the availability zones over which daemons and servers are spread.
var zones = []string{"medina", "jdid"}

const (
	service     = "souk"
	host        = "souk.example"
	serverTopic = platform.ServerTopic
	configTopic = platform.OperatorTopic
	drainDue    = 2 * time.Second
	stopLimit   = 6 * time.Second
	// attempts is how many servers may get one request.
	attempts = 2
	// The bound of second sends, which is low so that sick servers reach it.
	retryRatio  = 0.2
	retryWindow = 10 * time.Second
	retrySlack  = 20
)

// fleet is the daemons as processes, and the stand-ins in this process.
type fleet struct {
	options Options
	ends    []<-chan error
	store   *stand.Store
	servers []*server
	daemons []*daemon

	mutex   sync.Mutex
	version uint64
}

// server is a stand-in of a server behind a link; drained is when it reported
// that it leaves, zero if it does not.
type server struct {
	*stand.Server

	link    *stand.Link
	drained time.Time
}

// daemon is one process of the fleet, with links of its own to the store and
// from the other daemons. Starts counts its incarnations.
type daemon struct {
	name    string
	callers netip.AddrPort
	file    string
	store   *stand.Link
	peers   *stand.Link
	client  *http.Client

	// ending is held while the process is paused or restarted.
	ending sync.Mutex

	mutex   sync.Mutex
	command *exec.Cmd
	ended   chan error
	starts  int
}

func newFleet(ctx context.Context, options Options) (*fleet, error) {
	f := &fleet{options: options, store: stand.NewStore()}
	address, err := f.serve(ctx, f.store.Handler())
	if err != nil {
		return nil, err
	}
	if err := f.publish(); err != nil {
		return nil, err
	}
	for i := range options.Servers {
		if err := f.addServer(ctx, i); err != nil {
			return nil, err
		}
	}
	for i := range options.Daemons {
		if err := f.addDaemon(ctx, i, address); err != nil {
			return nil, err
		}
	}
	return f, nil
}

// serve serves a handler on a port of its own until the fleet ends.
func (f *fleet) serve(ctx context.Context, handler http.Handler) (netip.AddrPort, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return netip.AddrPort{}, errors.Wrap(err, "open port")
	}
	f.ends = append(f.ends, kernel.Run(ctx, httpd.NewServer(listener, handler).Serve))
	return netip.ParseAddrPort(listener.Addr().String())
}

// through returns a link to an address and the address of its near end.
func (f *fleet) through(ctx context.Context, target netip.AddrPort) (*stand.Link, netip.AddrPort, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, netip.AddrPort{}, errors.Wrap(err, "open port")
	}
	link := stand.NewLink(target)
	f.ends = append(f.ends, kernel.Run(ctx, func(ctx context.Context) error { return link.Serve(ctx, listener) }))
	near, err := netip.ParseAddrPort(listener.Addr().String())
	return link, near, err
}

func (f *fleet) addServer(ctx context.Context, i int) error {
	s := &server{}
	address, err := f.serve(ctx, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { s.ServeHTTP(w, r) }))
	if err != nil {
		return err
	}
	link, near, err := f.through(ctx, address)
	if err != nil {
		return err
	}
	s.link = link
	s.Server = stand.NewServer(fmt.Sprintf("i-%d", i), service, zones[i%len(zones)], near)
	f.servers = append(f.servers, s)
	return s.Register(f.store, false)
}

func (f *fleet) addDaemon(ctx context.Context, i int, store netip.AddrPort) error {
	d := &daemon{name: fmt.Sprintf("front-%d", i)}
	ports := make([]netip.AddrPort, 4)
	for j := range ports {
		port, err := daemonPorts.Free()
		if err != nil {
			return err
		}
		ports[j] = port
	}
	d.callers = ports[0]
	d.client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: f.options.Callers}}
	var toStore, advertised netip.AddrPort
	var err error
	if d.store, toStore, err = f.through(ctx, store); err != nil {
		return err
	}
	if d.peers, advertised, err = f.through(ctx, ports[2]); err != nil {
		return err
	}
	d.file = filepath.Join(f.options.Directory, d.name+".yaml")
	text := fmt.Sprintf(`name: %s
zone: %s
listen: {callers: %s, readiness: %s, daemons: %s, operators: %s, advertise: %s}
store: {address: %s, drain_due: %s}
retries: {ratio: %v, window: %s, slack: %d}
stop: {balancer_lag: 500ms, limit: %s}
`, d.name, zones[i%len(zones)], ports[0], ports[1], ports[2], ports[3], advertised,
		toStore, drainDue, retryRatio, retryWindow, retrySlack, stopLimit)
	if err := os.WriteFile(d.file, []byte(text), 0o600); err != nil {
		return errors.Wrap(err, "write settings")
	}
	f.daemons = append(f.daemons, d)
	return f.start(d)
}

// start starts the process of a daemon.
func (f *fleet) start(d *daemon) error {
	log, err := os.OpenFile(d.file+".log", os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return errors.Wrap(err, "open log")
	}
	defer func() { _ = log.Close() }()
	command := exec.Command(f.options.Program, "front", "--settings", d.file)
	command.Stdout, command.Stderr = log, log
	if err := command.Start(); err != nil {
		return errors.Wrap(err, "start daemon")
	}
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.command, d.ended = command, make(chan error, 1)
	d.starts++
	go func(ended chan<- error) {
		defer close(ended)
		ended <- command.Wait()
	}(d.ended)
	return nil
}

// signal sends a signal to the process that the soak started.
func (d *daemon) signal(signal syscall.Signal) error {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.command.Process.Signal(signal)
}

// incarnation returns the number of the daemon's present process.
func (d *daemon) incarnation() int {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.starts
}

// restart signals a daemon's end, waits for it, and starts the daemon again.
func (f *fleet) restart(d *daemon, signal syscall.Signal) error {
	d.ending.Lock()
	defer d.ending.Unlock()
	if err := d.signal(signal); err != nil {
		return errors.Wrap(err, "signal daemon")
	}
	err := <-d.ended
	if signal != syscall.SIGTERM || endedBy(err, signal) {
		// A process that just began has no handler for SIGTERM yet, nor requests.
		err = nil
	}
	if err != nil {
		err = errors.Wrapf(err, "planned stop of %s", d.name)
	}
	return errors.Join(err, f.start(d))
}

// endedBy reports whether a signal itself ended a process.
func endedBy(err error, signal syscall.Signal) bool {
	var ended *exec.ExitError
	if !errors.As(err, &ended) {
		return false
	}
	status, known := ended.Sys().(syscall.WaitStatus)
	return known && status.Signaled() && status.Signal() == signal
}

// publish stores the next version of the configuration: the route of the version
// before is gone.
func (f *fleet) publish() error {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.version++
	target := []topo.Target{{Service: service, Weight: 1}}
	config := &topo.Config{Version: f.version, Limits: topo.Limits{BodyBytes: 1 << 20}}
	for _, route := range []struct {
		name       string
		idempotent bool
	}{
		{name: "bales"},
		{name: "lots", idempotent: true},
		{name: versionRoute(f.version), idempotent: true},
	} {
		config.Routes = append(config.Routes, topo.Route{
			Name: route.name, Host: host, Prefix: "/" + route.name + "/", Idempotent: route.idempotent,
			Timeout: 2 * time.Second, Objective: time.Second, Attempts: attempts, Targets: target,
		})
	}
	data, err := platform.EncodeConfig(config)
	if err != nil {
		return err
	}
	f.store.Put(platform.OperatorTopic, platform.ConfigKey, data)
	return nil
}

// newest returns the version that was stored last.
func (f *fleet) newest() uint64 {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.version
}

func versionRoute(version uint64) string { return fmt.Sprintf("v%d", version) }

// end stops all processes and waits for the stand-ins.
func (f *fleet) end(cancel context.CancelFunc) error {
	var failures []error
	for _, d := range f.daemons {
		failures = append(failures, d.signal(syscall.SIGCONT), d.signal(syscall.SIGKILL))
		failures = append(failures, endOfKilled(<-d.ended))
	}
	cancel()
	for _, end := range f.ends {
		failures = append(failures, <-end)
	}
	return errors.Join(failures...)
}

// endOfKilled drops the error that says that a process was killed.
func endOfKilled(err error) error {
	var killed *exec.ExitError
	if errors.As(err, &killed) {
		return nil
	}
	return err
}
