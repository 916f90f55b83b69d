package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"dandeliondoor/fakes"
	"dandeliondoor/platform"
	"dandeliondoor/topo"
)

const (
	program      = "target/dandeliondoor"
	firstPort    = 10000
	lastPort     = 18000
	killedAfter  = 8 * time.Second
	readyPoll    = 50 * time.Millisecond
	readyTimeout = 15 * time.Second
)

// daemon is one process of the front command.
type daemon struct {
	name      string
	zone      string
	settings  string
	callers   netip.AddrPort
	readiness netip.AddrPort
	peers     netip.AddrPort
	operators netip.AddrPort
	command   *exec.Cmd
	exited    chan struct{}
}

// shape is what a case sets of the deployment. Extra is appended to the settings of each
// daemon, and Reach is the address by which the others reach a daemon, if it is not its own.
type shape struct {
	Zones   []string
	Daemons int
	Terms   string
	Extra   string
	Reach   func(i int, own netip.AddrPort) netip.AddrPort
	// StoreOf is the address of the store for a daemon, if not that of the store itself.
	StoreOf func(i int, own netip.AddrPort) netip.AddrPort
}

// fleet is the daemons and the store that they share.
type fleet struct {
	directory string
	record    *record
	ports     *fakes.Ports
	store     *fakes.Store
	storeAt   netip.AddrPort
	shape     shape
	daemons   []*daemon
}

// newFleet starts a store without daemons.
func newFleet(ctx context.Context, directory string, rec *record, s shape) (*fleet, error) {
	f := &fleet{directory: directory, record: rec, ports: fakes.NewPorts(firstPort, lastPort), store: fakes.NewStore(), shape: s}
	var err error
	f.storeAt, err = serve(ctx, f.store.Handler())
	return f, err
}

// serve serves a handler on a loopback port until the context ends.
func serve(ctx context.Context, handler http.Handler) (netip.AddrPort, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return netip.AddrPort{}, err
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: time.Minute}
	go func() { _ = server.Serve(listener) }()
	context.AfterFunc(ctx, func() { _ = server.Close() })
	return netip.MustParseAddrPort(listener.Addr().String()), nil
}

// publish stores a configuration, as the operator does.
func (f *fleet) publish(config *topo.Config, keys map[string][]string) error {
	data, err := platform.EncodeConfigWithKeys(config, keys)
	if err != nil {
		return err
	}
	f.store.Put(platform.OperatorTopic, platform.ConfigKey, data)
	f.record.add("operator stores configuration %d", config.Version)
	return nil
}

// startAll starts all daemons as at the first start of the fleet and waits until they are ready.
func (f *fleet) startAll(ctx context.Context) error {
	for i := range f.shape.Daemons {
		if err := f.prepare(i); err != nil {
			return err
		}
	}
	for _, d := range f.daemons {
		if err := f.start(ctx, d, true); err != nil {
			return err
		}
	}
	for _, d := range f.daemons {
		if err := d.waitReady(ctx); err != nil {
			return err
		}
	}
	return nil
}

// prepare chooses the ports of a daemon.
func (f *fleet) prepare(i int) error {
	d := &daemon{name: fmt.Sprintf("front-%d", i), zone: f.shape.Zones[i%len(f.shape.Zones)]}
	for _, address := range []*netip.AddrPort{&d.callers, &d.readiness, &d.peers, &d.operators} {
		port, err := f.ports.Free()
		if err != nil {
			return err
		}
		*address = port
	}
	f.daemons = append(f.daemons, d)
	return nil
}

// seeds returns the addresses of the first three daemons.
func (f *fleet) seeds() string {
	var seeds []string
	for i, d := range f.daemons[:min(len(f.daemons), 3)] {
		seeds = append(seeds, f.reach(i, d).String())
	}
	return strings.Join(seeds, ", ")
}

func (f *fleet) reach(i int, d *daemon) netip.AddrPort {
	if f.shape.Reach == nil {
		return d.peers
	}
	return f.shape.Reach(i, d.peers)
}

// start starts the process of a daemon with settings as the deploy file's template has them.
func (f *fleet) start(ctx context.Context, d *daemon, first bool) error {
	index := 0
	for i, other := range f.daemons {
		if other == d {
			index = i
		}
	}
	store, advertise := f.storeAt, ""
	if f.shape.StoreOf != nil {
		store = f.shape.StoreOf(index, store)
	}
	if f.shape.Reach != nil {
		advertise = "\n  advertise: " + f.reach(index, d).String()
	}
	text := fmt.Sprintf(`name: %s
zone: %s
cores: 0.32
link_mbps: 1000
memory_mb: 284
first_start: %t
terms: [%s]
seeds: [%s]
listen:
  callers: %s
  readiness: %s
  daemons: %s
  operators: %s%s
store:
  address: %s
  drain_due: 2s
retries:
  ratio: 0.2
  window: 10s
  slack: 64
stop:
  limit: 6s
%s`, d.name, d.zone, first, f.shape.Terms, f.seeds(), d.callers, d.readiness, d.peers, d.operators, advertise, store, f.shape.Extra)
	d.settings = filepath.Join(f.directory, d.name+".yaml")
	if err := os.WriteFile(d.settings, []byte(text), 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(f.directory, d.name+".log"), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	d.command = exec.CommandContext(ctx, program, "front")
	d.command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "DANDELIONDOOR_CONFIG=" + d.settings}
	d.command.Stdout, d.command.Stderr = log, log
	if err := d.command.Start(); err != nil {
		return err
	}
	d.exited = make(chan struct{})
	go func(command *exec.Cmd, exited chan struct{}) {
		_ = command.Wait()
		close(exited)
	}(d.command, d.exited)
	f.record.add("%s starts, pid %d", d.name, d.command.Process.Pid)
	return nil
}

// signal sends a signal to the process of a daemon.
func (f *fleet) signal(d *daemon, signal syscall.Signal) {
	f.record.add("%s gets %s", d.name, signal)
	if err := d.command.Process.Signal(signal); err != nil {
		f.record.add("%s could not be signalled: %v", d.name, err)
	}
}

// waitReady waits until the readiness check of a daemon succeeds.
func (d *daemon) waitReady(ctx context.Context) error {
	for end := time.Now().Add(readyTimeout); time.Now().Before(end) && ctx.Err() == nil; time.Sleep(readyPoll) {
		if d.ready(ctx) {
			return nil
		}
	}
	return fmt.Errorf("%s is not ready", d.name)
}

// ready reports whether the readiness check of a daemon succeeds.
func (d *daemon) ready(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+d.readiness.String()+platform.ReadyPath, http.NoBody)
	if err != nil {
		return false
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// close ends all processes that were started.
func (f *fleet) close() {
	for _, d := range f.daemons {
		if d.command == nil {
			continue
		}
		_ = d.command.Process.Signal(syscall.SIGCONT)
		_ = d.command.Process.Kill()
		select {
		case <-d.exited:
		case <-time.After(killedAfter):
		}
	}
	_ = f.ports.Close()
}
