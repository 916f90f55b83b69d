package demo

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/go-faster/errors"

	"dandeliondoor/fakes"
	"dandeliondoor/httpd"
	"dandeliondoor/kernel"
	"dandeliondoor/platform"
	"dandeliondoor/topo"
)

// daemonPorts allocates the ports of the daemons, below those of procs and in the range
// of soak, with which it shares the reservations.
var daemonPorts = fakes.NewPorts(10000, 18000)

// zones are the availability zones of the daemons and servers, assigned in turn.
var zones = []string{"medina", "jdid"}

// The deployment of the demonstration.
const (
	service      = "souk"
	host         = "souk.example"
	daemonCount  = 4
	serverCount  = 6
	serverWork   = 5 * time.Millisecond
	routeTimeout = 2 * time.Second
	objective    = time.Second
	attempts     = 2
	bodyLimit    = 1 << 20
	idleLimit    = 15 * time.Second
	// drainDue is the time within which a draining server must get no more requests.
	drainDue = 2 * time.Second
	// The time that a stopping daemon waits for the load balancer, and that its stop takes
	// at most.
	balancerLag = 300 * time.Millisecond
	stopLimit   = 6 * time.Second
	// exitSlack is how long after stopLimit a process that was told to stop is killed.
	exitSlack = 2 * time.Second
)

// daemon is a process of the front command. lost is set before it is killed.
type daemon struct {
	name      string
	callers   netip.AddrPort
	readiness netip.AddrPort
	command   *exec.Cmd
	exited    chan error
	lost      atomic.Bool
}

// fleet is the daemons, which are processes, and the stand-ins, which run in this process.
type fleet struct {
	program   string
	directory string
	cancel    context.CancelFunc
	results   []<-chan error
	store     *fakes.Store
	servers   []*fakes.Server
	daemons   []*daemon
}

// newFleet starts the stand-ins and the daemons. The program is the daemons' executable,
// and the directory gets their settings and logs. The caller shuts the fleet down also if
// newFleet returns an error.
func newFleet(ctx context.Context, program, directory string) (*fleet, error) {
	ctx, cancel := context.WithCancel(ctx)
	f := &fleet{program: program, directory: directory, cancel: cancel, store: fakes.NewStore()}
	storeAddress, err := f.serve(ctx, func(netip.AddrPort) http.Handler { return f.store.Handler() })
	if err != nil {
		return f, err
	}
	if err := f.publish(); err != nil {
		return f, err
	}
	for i := range serverCount {
		if err := f.addServer(ctx, i); err != nil {
			return f, err
		}
	}
	for i := range daemonCount {
		if err := f.startDaemon(i, storeAddress); err != nil {
			return f, err
		}
	}
	return f, nil
}

// serve serves a handler on its own port until the context ends.
func (f *fleet) serve(ctx context.Context, newHandler func(address netip.AddrPort) http.Handler) (netip.AddrPort, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return netip.AddrPort{}, errors.Wrap(err, "listen on loopback address")
	}
	address, err := netip.ParseAddrPort(listener.Addr().String())
	if err != nil {
		return netip.AddrPort{}, errors.Join(err, listener.Close())
	}
	f.results = append(f.results, kernel.Run(ctx, httpd.NewServer(listener, newHandler(address)).Serve))
	return address, nil
}

// publish stores the configuration: reads that may be repeated and writes that may not.
func (f *fleet) publish() error {
	route := topo.Route{
		Name: "bales", Host: host, Prefix: "/bales/", Timeout: routeTimeout, Objective: objective,
		Attempts: attempts, Targets: []topo.Target{{Service: service, Weight: 1}},
	}
	repeatable := route
	repeatable.Name, repeatable.Prefix, repeatable.Idempotent = "lots", "/lots/", true
	data, err := platform.EncodeConfig(&topo.Config{
		Version: 1, Limits: topo.Limits{BodyBytes: bodyLimit, IdleTimeout: idleLimit}, Routes: []topo.Route{route, repeatable},
	})
	if err != nil {
		return err
	}
	f.store.Put(platform.OperatorTopic, platform.ConfigKey, data)
	return nil
}

// addServer starts a stand-in for a server, which registers itself in the store.
func (f *fleet) addServer(ctx context.Context, i int) error {
	var server *fakes.Server
	_, err := f.serve(ctx, func(address netip.AddrPort) http.Handler {
		server = fakes.NewServer(fmt.Sprintf("i-%d", i), service, zones[i%len(zones)], address)
		server.Faults.Set(fakes.ServerFaults{Work: serverWork})
		return server
	})
	if err != nil {
		return err
	}
	f.servers = append(f.servers, server)
	return server.Register(f.store, false)
}

// startDaemon starts the process of a daemon, which logs to a file.
func (f *fleet) startDaemon(i int, storeAddress netip.AddrPort) error {
	d := &daemon{name: fmt.Sprintf("front-%d", i), exited: make(chan error, 1)}
	var peers, operators netip.AddrPort
	for _, address := range []*netip.AddrPort{&d.callers, &d.readiness, &peers, &operators} {
		port, err := daemonPorts.Free()
		if err != nil {
			return err
		}
		*address = port
	}
	settingsFile := filepath.Join(f.directory, d.name+".yaml")
	settings := fmt.Sprintf(`name: %s
zone: %s
listen: {callers: %s, readiness: %s, daemons: %s, operators: %s}
store: {address: %s, drain_due: %s}
stop: {balancer_lag: %s, limit: %s}
`, d.name, zones[i%len(zones)], d.callers, d.readiness, peers, operators, storeAddress, drainDue, balancerLag, stopLimit)
	if err := os.WriteFile(settingsFile, []byte(settings), 0o600); err != nil {
		return errors.Wrap(err, "write settings file")
	}
	logFile, err := os.Create(settingsFile + ".log")
	if err != nil {
		return errors.Wrap(err, "open log file")
	}
	defer func() { _ = logFile.Close() }()
	d.command = exec.Command(f.program, "front", "--settings", settingsFile)
	d.command.Stdout, d.command.Stderr = logFile, logFile
	if err := d.command.Start(); err != nil {
		return errors.Wrap(err, "start daemon")
	}
	go func() { d.exited <- d.command.Wait() }()
	f.daemons = append(f.daemons, d)
	return nil
}

// ready reports whether the daemon's readiness check succeeds.
func (d *daemon) ready(ctx context.Context, client *http.Client) bool {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+d.readiness.String()+platform.ReadyPath, http.NoBody)
	if err != nil {
		return false
	}
	response, err := client.Do(request)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// kill kills the process of a daemon and waits for its end.
func (d *daemon) kill() error {
	d.lost.Store(true)
	if err := d.command.Process.Kill(); err != nil {
		return errors.Wrapf(err, "kill %s", d.name)
	}
	if err := <-d.exited; err != nil && !wasKilled(err) {
		return errors.Wrapf(err, "kill %s", d.name)
	}
	return nil
}

// wasKilled reports whether an error is that of a process that a signal ended.
func wasKilled(err error) bool {
	var exitErr *exec.ExitError
	if !errors.As(err, &exitErr) {
		return false
	}
	status, known := exitErr.Sys().(syscall.WaitStatus)
	return known && status.Signaled()
}

// stop tells a daemon to stop and returns an error if it does not exit cleanly in time.
func (d *daemon) stop() error {
	if err := d.command.Process.Signal(syscall.SIGTERM); err != nil {
		return errors.Wrapf(err, "stop %s", d.name)
	}
	timer := time.NewTimer(stopLimit + exitSlack)
	defer timer.Stop()
	select {
	case err := <-d.exited:
		if err != nil {
			return errors.Wrapf(err, "stop %s", d.name)
		}
		return nil
	case <-timer.C:
		return errors.Join(errors.Errorf("%s did not stop within %s", d.name, stopLimit+exitSlack), d.kill())
	}
}

// shutdown stops the daemons that are not lost, all at once, and then the stand-ins, also
// if the context has ended.
func (f *fleet) shutdown(ctx context.Context) error {
	ctx = context.WithoutCancel(ctx)
	var stops []<-chan error
	for _, d := range f.daemons {
		if !d.lost.Load() {
			stops = append(stops, kernel.Run(ctx, func(context.Context) error { return d.stop() }))
		}
	}
	var errs []error
	for _, result := range stops {
		errs = append(errs, <-result)
	}
	f.cancel()
	for _, result := range f.results {
		errs = append(errs, <-result)
	}
	return errors.Join(errs...)
}
