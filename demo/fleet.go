package demo

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/go-faster/errors"
	"github.com/google/uuid"

	"dandeliondoor/config"
	"dandeliondoor/daemon"
	"dandeliondoor/fold"
	"dandeliondoor/httpd"
	"dandeliondoor/kernel"
	"dandeliondoor/logs"
	"dandeliondoor/model"
	"dandeliondoor/plat"
	"dandeliondoor/pubs"
	"dandeliondoor/stand"
)

// The times of a small fleet.
const (
	vmsInterval    = 100 * time.Millisecond
	balancerLag    = 200 * time.Millisecond
	readyWait      = 30 * time.Second
	readyPoll      = 10 * time.Millisecond
	publishTimeout = 10 * time.Second
)

// Options say what fleet to start. With LogLinks each daemon reaches the log
// over a path of its own that can be cut.
type Options struct {
	Daemons  int
	LogLinks bool
	Logger   *logs.Logger
	Zones    []string
}

// Daemon is one daemon of the fleet.
type Daemon struct {
	*daemon.Daemon

	LogLink  *stand.Link
	Settings config.Settings
	cancel   context.CancelFunc
	stopped  bool
}

// Upstream is one upstream stand-in with its place.
type Upstream struct {
	*stand.Upstream

	VM    plat.VM
	Slots int
}

// Fleet is a set of daemons with stand-ins for the platform and upstreams.
type Fleet struct {
	Daemons   []*Daemon
	Log       *stand.Log
	Upstreams []*Upstream
	VMs       *stand.VMs

	options    Options
	logAddress netip.AddrPort
	vmsAddress netip.AddrPort
	list       []plat.VM
	cancels    []context.CancelFunc
	ends       []<-chan error
}

// NewFleet starts the platform's stand-ins and the daemons, spread over the
// zones in turn.
func NewFleet(ctx context.Context, options Options) (*Fleet, error) {
	if options.Logger == nil {
		options.Logger = logs.Discard()
	}
	options.Logger.TakeLibraryLogs()
	f := &Fleet{Log: stand.NewLog(), VMs: stand.NewVMs(nil), options: options}
	if err := f.startPlatform(ctx); err != nil {
		return nil, errors.Join(err, f.Stop())
	}
	for i := range options.Daemons {
		name := fmt.Sprintf("daemon-%02d", i+1)
		if err := f.AddDaemon(ctx, name, options.Zones[i%len(options.Zones)]); err != nil {
			return nil, errors.Join(err, f.Stop())
		}
	}
	return f, nil
}

func (f *Fleet) startPlatform(ctx context.Context) error {
	for _, part := range []struct {
		handler func() (http.Handler, error)
		address *netip.AddrPort
	}{
		{handler: f.Log.Handler, address: &f.logAddress},
		{handler: f.VMs.Handler, address: &f.vmsAddress},
	} {
		handler, err := part.handler()
		if err != nil {
			return err
		}
		address, err := f.serve(ctx, handler)
		if err != nil {
			return err
		}
		*part.address = address
	}
	return nil
}

// serve serves a handler on a free port until the context ends.
func (f *Fleet) serve(ctx context.Context, handler http.Handler) (netip.AddrPort, error) {
	listener, address, err := listenFree()
	if err != nil {
		return netip.AddrPort{}, err
	}
	f.run(ctx, httpd.NewServer(listener, handler).Serve)
	return address, nil
}

// run runs a server that Stop ends.
func (f *Fleet) run(ctx context.Context, work func(ctx context.Context) error) {
	ctx, cancel := context.WithCancel(ctx)
	f.cancels = append(f.cancels, cancel)
	f.ends = append(f.ends, kernel.Run(ctx, work))
}

func listenFree() (net.Listener, netip.AddrPort, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, netip.AddrPort{}, errors.Wrap(err, "open port")
	}
	address, err := netip.ParseAddrPort(listener.Addr().String())
	return listener, address, err
}

// AddDaemon starts one more daemon.
func (f *Fleet) AddDaemon(ctx context.Context, name, zone string) error {
	settings, open, err := f.settings(name, zone)
	if err != nil {
		return err
	}
	link, err := f.linkToLog(ctx, &settings)
	if err != nil {
		return err
	}
	d, err := daemon.New(settings, f.options.Logger, daemon.WithListeners(open))
	if err != nil {
		return err
	}
	f.setVM(plat.VM{Name: name, Address: settings.Listen.Daemons, Zone: zone, Role: plat.RoleDaemon, State: plat.VMLive})
	ctx, cancel := context.WithCancel(ctx)
	if err := d.Start(ctx); err != nil {
		cancel()
		return err
	}
	f.Daemons = append(f.Daemons, &Daemon{Daemon: d, LogLink: link, Settings: settings, cancel: cancel})
	return nil
}

// linkToLog puts a path that can be cut between a daemon and the log, when the
// fleet has such paths.
func (f *Fleet) linkToLog(ctx context.Context, settings *config.Settings) (*stand.Link, error) {
	if !f.options.LogLinks {
		return nil, nil
	}
	listener, address, err := listenFree()
	if err != nil {
		return nil, err
	}
	link := stand.NewLink(f.logAddress)
	settings.Platform.Log = address
	f.run(ctx, func(ctx context.Context) error { return link.Serve(ctx, listener) })
	return link, nil
}

// settings returns the settings of a daemon on ports that are open already.
func (f *Fleet) settings(name, zone string) (config.Settings, daemon.Listeners, error) {
	settings := config.Defaults()
	settings.Name, settings.Zone, settings.Zones = name, zone, f.options.Zones
	settings.Platform.Log, settings.Platform.VMs = f.logAddress, f.vmsAddress
	settings.Platform.VMsInterval = vmsInterval
	settings.Stop.BalancerLag = balancerLag
	var open daemon.Listeners
	for _, port := range []struct {
		address  *netip.AddrPort
		listener *net.Listener
	}{
		{address: &settings.Listen.Callers, listener: &open.Callers},
		{address: &settings.Listen.Daemons, listener: &open.Daemons},
		{address: &settings.Listen.Operators, listener: &open.Operators},
	} {
		listener, free, err := listenFree()
		if err != nil {
			return settings, open, err
		}
		*port.address, *port.listener = free, listener
	}
	return settings, open, nil
}

// setVM adds or replaces an entry of the list of VMs.
func (f *Fleet) setVM(vm plat.VM) {
	list := make([]plat.VM, 0, len(f.list)+1)
	for _, known := range f.list {
		if known.Name != vm.Name {
			list = append(list, known)
		}
	}
	list = append(list, vm)
	f.list = list
	f.VMs.Set(list)
}

// AddUpstream starts an upstream stand-in.
func (f *Fleet) AddUpstream(ctx context.Context, name, zone string, slots int, service time.Duration) (*Upstream, error) {
	listener, address, err := listenFree()
	if err != nil {
		return nil, err
	}
	tracked := stand.NewTrackedListener(listener)
	u := &Upstream{
		Upstream: stand.NewUpstream(name, slots, service, tracked.CloseConns),
		VM:       plat.VM{Name: name, Address: address, Zone: zone, Role: plat.RoleUpstream, State: plat.VMLive},
		Slots:    slots,
	}
	f.run(ctx, httpd.NewServer(tracked, u.Handler()).Serve)
	f.Upstreams = append(f.Upstreams, u)
	f.setVM(u.VM)
	return u, nil
}

// SetLeaving changes what the list of VMs says of an upstream.
func (f *Fleet) SetLeaving(u *Upstream, leaving bool) {
	u.VM.State = plat.VMLive
	if leaving {
		u.VM.State = plat.VMLeaving
	}
	f.setVM(u.VM)
}

// Publish publishes a deployment and waits until it is in force in all running
// daemons.
func (f *Fleet) Publish(ctx context.Context, deployment model.Deployment) error {
	documents, err := model.Documents(deployment)
	if err != nil {
		return err
	}
	publisher := pubs.NewPublisher(plat.NewLog(f.logAddress, publishTimeout))
	if result := publisher.Load(ctx); result != nil {
		return errors.Errorf("cannot load the log: %+v", result)
	}
	changes := pubs.Plan(publisher.State(), documents, false)
	result := publisher.Publish(ctx, fold.Publication{ID: uuid.NewString(), Operator: "demo", Documents: changes})
	accepted, isAccepted := result.(pubs.Accepted)
	if !isAccepted {
		return errors.Errorf("publication not accepted: %+v", result)
	}
	return f.waitInForce(ctx, accepted.Documents)
}

func (f *Fleet) waitInForce(ctx context.Context, documents []fold.Document) error {
	ctx, cancel := context.WithTimeout(ctx, readyWait)
	defer cancel()
	for !f.inForce(documents) {
		select {
		case <-ctx.Done():
			return errors.New("not in force in all daemons in time")
		case <-time.After(readyPoll):
		}
	}
	return nil
}

func (f *Fleet) inForce(documents []fold.Document) bool {
	for _, d := range f.Daemons {
		if d.stopped {
			continue
		}
		revisions := make(map[string]uint64)
		for _, status := range d.Status(time.Now()).Documents {
			revisions[status.Name] = status.Revision
		}
		for _, document := range documents {
			if revisions[document.Name] < document.Revision || d.Ready() != nil {
				return false
			}
		}
	}
	return true
}

// StopDaemon stops a daemon as planned and takes it off the list of VMs.
func (f *Fleet) StopDaemon(ctx context.Context, d *Daemon) error {
	if d.stopped {
		return nil
	}
	d.stopped = true
	defer d.cancel()
	f.setVM(plat.VM{
		Name: d.Settings.Name, Address: d.Settings.Listen.Daemons, Zone: d.Settings.Zone,
		Role: plat.RoleDaemon, State: plat.VMLeaving,
	})
	return d.Stop(ctx)
}

// KillDaemon ends a daemon at once; the list of VMs does not notice.
func (f *Fleet) KillDaemon(d *Daemon) error {
	d.stopped = true
	defer d.cancel()
	return d.Kill()
}

// Stop ends everything at once.
func (f *Fleet) Stop() error {
	var failures []error
	for _, d := range f.Daemons {
		if !d.stopped {
			failures = append(failures, f.KillDaemon(d))
		}
	}
	for _, cancel := range f.cancels {
		cancel()
	}
	for _, end := range f.ends {
		failures = append(failures, <-end)
	}
	return errors.Join(failures...)
}
