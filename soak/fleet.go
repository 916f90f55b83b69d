package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
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
	"dandeliondoor/httpd"
	"dandeliondoor/kernel"
	"dandeliondoor/platform"
	"dandeliondoor/topo"
)

// daemonPorts allocates the ports of the daemons. Soaks that run at the same time may
// choose the same ports.
var daemonPorts = fakes.NewPorts(10000, 18000)

// zones are the availability zones of the daemons and servers, assigned in turn.
var zones = []string{"medina", "jdid"}

const (
	service     = "souk"
	host        = "souk.example"
	serverTopic = platform.ServerTopic
	configTopic = platform.OperatorTopic
	drainDue    = 2 * time.Second
	stopLimit   = 6 * time.Second
	// attempts is the maximum number of servers that one request is sent to.
	attempts = 2
	// The timeouts of the routes. That of longTimeout exceeds the limit of a stop.
	routeTimeout = 2 * time.Second
	longTimeout  = 9 * time.Second
	// firstIdleLimit is the idle limit of the first configuration.
	firstIdleLimit = 2 * time.Second
	// balancerLag and longBalancerLag are the balancer's lag that the daemons assume, in turn.
	balancerLag     = 500 * time.Millisecond
	longBalancerLag = 2500 * time.Millisecond
	// The limits of retries. They are low enough that faults of the servers exhaust them.
	retryRatio  = 0.2
	retryWindow = 10 * time.Second
	retrySlack  = 20
)

// fleet is the daemon processes and the stand-ins, which run in this process.
type fleet struct {
	options Options
	results []<-chan error
	store   *fakes.Store
	servers []*server
	daemons []*daemon
	history history
	// recorder records the calls of all callers.
	recorder *recorder
	// accounts says that callers need API keys.
	accounts bool
	// downloads chooses the daemon of each round's downloads, and the seeds of their callers.
	downloads *rand.Rand

	mutex   sync.Mutex
	version uint64
	idle    time.Duration
	// publishedAt is when each version of the configuration was first stored.
	publishedAt map[uint64]time.Time

	crashMutex sync.Mutex
	crashes    crashRecord
}

// server is a stand-in for a server behind a link. drainStart is when the server
// reported that it is draining, or zero if it is not draining.
type server struct {
	*fakes.Server

	link       *fakes.Link
	drainStart time.Time
}

// daemon is one process of the fleet. Its connections to the store and those from the
// other daemons each go through a link. starts counts the processes started so far, and
// served is the newest version of the configuration that the one servedBy is known to have had.
type daemon struct {
	name           string
	callersAddress netip.AddrPort
	settingsFile   string
	settings       string
	storeLink      *fakes.Link
	peersLink      *fakes.Link
	client         *http.Client

	// processMutex is held while the process is paused or restarted.
	processMutex sync.Mutex

	mutex   sync.Mutex
	command *exec.Cmd
	exited  chan error
	starts  int

	servedBy int
	served   uint64
}

func newFleet(ctx context.Context, options Options) (*fleet, error) {
	f := &fleet{options: options, store: fakes.NewStore(), recorder: &recorder{}, publishedAt: make(map[uint64]time.Time)}
	f.accounts = hasAccounts(options.Seed)
	f.downloads = rand.New(rand.NewPCG(options.Seed, downloadStream))
	// Half of the stores have no era before their first restore.
	f.store.SetEra(options.Seed % 2) //nolint:mnd // Two kinds of stores.
	storeAddress, err := f.serve(ctx, f.store.Handler())
	if err != nil {
		return nil, err
	}
	if err := f.publish(firstIdleLimit); err != nil {
		return nil, err
	}
	for i := range options.Servers {
		if err := f.addServer(ctx, i); err != nil {
			return nil, err
		}
	}
	for i := range options.Daemons {
		if err := f.addDaemon(ctx, i, storeAddress); err != nil {
			return nil, err
		}
	}
	return f, nil
}

// serve serves a handler on its own port until the context ends.
func (f *fleet) serve(ctx context.Context, handler http.Handler) (netip.AddrPort, error) {
	listener, address, err := listen()
	if err == nil {
		f.results = append(f.results, kernel.Run(ctx, httpd.NewServer(listener, handler).Serve))
	}
	return address, err
}

// listen listens on a free port of the loopback interface.
func listen() (net.Listener, netip.AddrPort, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, netip.AddrPort{}, errors.Wrap(err, "listen on loopback address")
	}
	address, err := netip.ParseAddrPort(listener.Addr().String())
	return listener, address, err
}

// addLink starts a link to an address and returns it with the address that it listens on.
func (f *fleet) addLink(ctx context.Context, target netip.AddrPort) (*fakes.Link, netip.AddrPort, error) {
	listener, address, err := listen()
	if err != nil {
		return nil, netip.AddrPort{}, err
	}
	link := fakes.NewLink(target)
	f.results = append(f.results, kernel.Run(ctx, func(ctx context.Context) error { return link.Serve(ctx, listener) }))
	return link, address, nil
}

func (f *fleet) addServer(ctx context.Context, i int) error {
	s := &server{}
	address, err := f.serve(ctx, f.crashHandler(ctx, s))
	if err != nil {
		return err
	}
	link, linkAddress, err := f.addLink(ctx, address)
	if err != nil {
		return err
	}
	s.link = link
	s.Server = fakes.NewServer(fmt.Sprintf("i-%d", i), service, zones[i%len(zones)], linkAddress)
	f.servers = append(f.servers, s)
	return s.Register(f.store, false)
}

func (f *fleet) addDaemon(ctx context.Context, i int, storeAddress netip.AddrPort) error {
	d := &daemon{name: fmt.Sprintf("front-%d", i)}
	ports := make([]netip.AddrPort, 4)
	for j := range ports {
		port, err := daemonPorts.Free()
		if err != nil {
			return err
		}
		ports[j] = port
	}
	d.callersAddress = ports[0]
	d.client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: f.options.Callers}}
	var storeLinkAddress, peersLinkAddress netip.AddrPort
	var err error
	if d.storeLink, storeLinkAddress, err = f.addLink(ctx, storeAddress); err != nil {
		return err
	}
	if d.peersLink, peersLinkAddress, err = f.addLink(ctx, ports[2]); err != nil {
		return err
	}
	d.settingsFile = filepath.Join(f.options.Directory, d.name+".yaml")
	lag := []time.Duration{balancerLag, longBalancerLag}[i%2]
	d.settings = fmt.Sprintf(`name: %s
zone: %s
listen: {callers: %s, readiness: %s, daemons: %s, operators: %s, advertise: %s}
store: {address: %s, drain_due: %s}
retries: {ratio: %v, window: %s, slack: %d}
stop: {balancer_lag: %s, limit: %s}
scheduling: {queue: %t}
`, d.name, zones[i%len(zones)], ports[0], ports[1], ports[2], ports[3], peersLinkAddress,
		storeLinkAddress, drainDue, retryRatio, retryWindow, retrySlack, lag, stopLimit, f.options.Queue)
	if hasDownloads(f.options.Seed) {
		d.settings += fmt.Sprintf("memory_mb: %d\n", memoryMB)
	}
	f.daemons = append(f.daemons, d)
	return f.start(d)
}

// start starts a daemon's process.
func (f *fleet) start(d *daemon) error {
	settings := fmt.Sprintf("%sfirst_start: %t\n", d.settings, d.incarnation() == 0)
	if err := os.WriteFile(d.settingsFile, []byte(settings), 0o600); err != nil {
		return errors.Wrap(err, "write settings file")
	}
	logFile, err := os.OpenFile(d.settingsFile+".log", os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return errors.Wrap(err, "open log file")
	}
	defer func() { _ = logFile.Close() }()
	command := exec.Command(f.options.Program, "front", "--settings", d.settingsFile)
	command.Stdout, command.Stderr = logFile, logFile
	if err := command.Start(); err != nil {
		return errors.Wrap(err, "start daemon")
	}
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.command, d.exited = command, make(chan error, 1)
	d.starts++
	go func(exited chan<- error) {
		defer close(exited)
		exited <- command.Wait()
	}(d.exited)
	return nil
}

// signal sends a signal to the daemon's process.
func (d *daemon) signal(signal syscall.Signal) error {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.command.Process.Signal(signal)
}

// incarnation returns the number of times that the daemon was started.
func (d *daemon) incarnation() int {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.starts
}

// recordServed records that a process of the daemon has served a version.
func (d *daemon) recordServed(incarnation int, version uint64) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if d.servedBy != incarnation {
		d.servedBy, d.served = incarnation, 0
	}
	d.served = max(d.served, version)
}

// hasServed reports whether the daemon's present process is the given one and has served a
// version.
func (d *daemon) hasServed(incarnation int, version uint64) bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.starts == incarnation && d.servedBy == incarnation && d.served >= version
}

// restart ends a daemon's process with a signal, waits for its exit, and starts it again.
func (f *fleet) restart(d *daemon, signal syscall.Signal) error {
	d.processMutex.Lock()
	defer d.processMutex.Unlock()
	kind := daemonDisturbed
	if signal == syscall.SIGTERM {
		kind = daemonStopped
	}
	started := f.history.begin(time.Now(), marks(d.name, kind, daemonReset)...)
	defer func() { started(time.Now()) }()
	if err := d.signal(signal); err != nil {
		return errors.Wrap(err, "signal daemon")
	}
	err := <-d.exited
	if signal != syscall.SIGTERM || killedBy(err, signal) {
		// SIGTERM kills a process that has just started and has no handler yet. It has
		// no requests yet, either.
		err = nil
	}
	if err != nil {
		err = errors.Wrapf(err, "graceful stop of %s", d.name)
	}
	return errors.Join(err, f.start(d))
}

// killedBy reports whether a process was terminated by the given signal itself.
func killedBy(err error, signal syscall.Signal) bool {
	var exitErr *exec.ExitError
	if !errors.As(err, &exitErr) {
		return false
	}
	status, known := exitErr.Sys().(syscall.WaitStatus)
	return known && status.Signaled() && status.Signal() == signal
}

// publish stores the next version of the configuration with an idle limit. It adds a
// route for this version and removes that of the previous version.
func (f *fleet) publish(idle time.Duration) error {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.version++
	f.idle = idle
	return f.storeVersion()
}

// publishAgain stores the newest version of the configuration again.
func (f *fleet) publishAgain() error {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.storeVersion()
}

// storeVersion stores the newest version of the configuration; the mutex must be held.
func (f *fleet) storeVersion() error {
	config := &topo.Config{Version: f.version, Limits: topo.Limits{BodyBytes: 1 << 20, IdleTimeout: f.idle}}
	config.Routes = []topo.Route{
		{Name: "bales", Timeout: routeTimeout},
		{Name: "longs", Timeout: longTimeout},
		{Name: "lots", Idempotent: true, Timeout: routeTimeout},
		{Name: downloadRoute, Idempotent: true, Timeout: downloadTimeout, Download: true},
		{Name: publicRoute, Idempotent: true, Timeout: routeTimeout, Public: true},
		{Name: versionRoute(f.version), Idempotent: true, Timeout: routeTimeout},
	}
	for i := range config.Routes {
		route := &config.Routes[i]
		route.Host, route.Prefix, route.Objective, route.Attempts = host, "/"+route.Name+"/", time.Second, attempts
		route.Targets = []topo.Target{{Service: service, Weight: 1}}
	}
	var keys map[string][]string
	if f.accounts {
		config.Accounts, keys = newAccounts(f.version)
	}
	data, err := platform.EncodeConfigWithKeys(config, keys)
	if err != nil {
		return err
	}
	published := f.history.begin(time.Now(), mark{kind: configPublished})
	f.store.Put(platform.OperatorTopic, platform.ConfigKey, data)
	published(time.Now())
	if _, known := f.publishedAt[f.version]; !known {
		f.publishedAt[f.version] = time.Now()
	}
	return nil
}

// idleLimit returns the idle limit of the newest configuration.
func (f *fleet) idleLimit() time.Duration {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.idle
}

// newestVersion returns the version of the configuration that was stored last.
func (f *fleet) newestVersion() uint64 {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.version
}

func versionRoute(version uint64) string { return fmt.Sprintf("v%d", version) }

// shutdown kills all processes and stops the stand-ins.
func (f *fleet) shutdown(cancel context.CancelFunc) error {
	var errs []error
	for _, d := range f.daemons {
		errs = append(errs, d.signal(syscall.SIGCONT), d.signal(syscall.SIGKILL))
		errs = append(errs, ignoreExitError(<-d.exited))
	}
	cancel()
	f.crashMutex.Lock()
	defer f.crashMutex.Unlock()
	return errors.Join(append(errs, waitAll(f.results))...)
}

// ignoreExitError drops the error that reports how a process exited, which is expected
// after a kill.
func ignoreExitError(err error) error {
	var exitErr *exec.ExitError
	if errors.As(err, &exitErr) {
		return nil
	}
	return err
}
