package daemon

import (
	"context"
	"net"
	"net/netip"
	"time"

	"github.com/go-faster/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"

	"dandeliondoor/admin"
	"dandeliondoor/config"
	"dandeliondoor/entry"
	"dandeliondoor/grant"
	"dandeliondoor/infra"
	"dandeliondoor/kernel"
	"dandeliondoor/logs"
	"dandeliondoor/member"
	"dandeliondoor/rank"
	"dandeliondoor/spread"
	"dandeliondoor/wire"
)

// Daemon is a daemon that gets its configuration from the platform's log and finds
// the other daemons in the platform's list of VMs.
type Daemon struct {
	settings  config.Settings
	listeners Listeners
	kernel    *kernel.Kernel
	entry     *entry.Service
	spread    *spread.Service
	meter     *wire.Meter
	logger    *logs.Logger
}

var (
	errDraining        = errors.New("stopping")
	errNoConfiguration = errors.New("no configuration is in force")
)

// Listeners are the listeners on a daemon's ports.
type Listeners struct {
	Callers   net.Listener
	Daemons   net.Listener
	Operators net.Listener
}

// Option is an option of New.
type Option func(*Daemon)

// WithListeners makes the daemon use the given listeners instead of opening its
// own.
func WithListeners(listeners Listeners) Option {
	return func(d *Daemon) { d.listeners = listeners }
}

// New opens the daemon's ports and constructs its services. Start starts them.
func New(settings config.Settings, logger *logs.Logger, options ...Option) (*Daemon, error) {
	d := &Daemon{settings: settings, meter: &wire.Meter{}, logger: logger}
	for _, option := range options {
		option(d)
	}
	if d.listeners == (Listeners{}) {
		listeners, err := openListeners(settings)
		if err != nil {
			return nil, err
		}
		d.listeners = listeners
	}
	if err := d.build(d.listeners); err != nil {
		return nil, err
	}
	return d, nil
}

func openListeners(settings config.Settings) (Listeners, error) {
	var listeners Listeners
	for _, port := range []struct {
		address  netip.AddrPort
		listener *net.Listener
	}{
		{address: settings.Listen.Callers, listener: &listeners.Callers},
		{address: settings.Listen.Daemons, listener: &listeners.Daemons},
		{address: settings.Listen.Operators, listener: &listeners.Operators},
	} {
		listener, err := net.Listen("tcp", port.address.String())
		if err != nil {
			listeners.close()
			return Listeners{}, errors.Wrap(err, "open port")
		}
		*port.listener = listener
	}
	return listeners, nil
}

func (l Listeners) close() {
	for _, listener := range []net.Listener{l.Callers, l.Daemons, l.Operators} {
		if listener != nil {
			_ = listener.Close()
		}
	}
}

func (d *Daemon) build(listeners Listeners) error {
	settings := d.settings
	seed := rank.Score(settings.Name, settings.Zone)
	registry := prometheus.NewRegistry()
	registry.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	registerMeter(registry, d.meter)
	peers := wire.NewPeers(d.meter)
	lister := infra.NewVMClient(settings.Platform.VMs, settings.Platform.Timeout)
	members := member.New(d.self(), settings.Zones, lister, peers, settings.Platform.VMsInterval, d.logger.Part(member.Name))
	log := infra.NewLogClient(settings.Platform.Log, settings.Platform.Timeout)
	d.spread = spread.New(members, peers, log, spread.Settings{
		Retention: settings.Platform.LogRetention,
		Seed:      seed,
	}, d.logger.Part(spread.Name))
	brokers := grant.New(members, d.spread, peers, registry, seed, d.logger.Part(grant.Name))
	d.spread.Watch(brokers.RequestReconfigure)
	members.OnChange(brokers.RequestReconfigure)
	client := grant.NewClient(members, peers, brokers, seed, d.logger.Part(grant.Name))
	handler := entry.NewHandler(d.spread, members, client, registry, d.logger.Part(entry.Name))
	d.entry = entry.NewService(listeners.Callers, handler, client, settings.Stop.BalancerLag, d.logger.Part(entry.Name))
	operators, err := admin.New(listeners.Operators, registry, d.logger, d.Ready,
		func(now time.Time) any { return d.spread.Status(now) })
	if err != nil {
		return err
	}
	server := wire.NewServer(d.meter)
	server.Add(d.spread.Receivers)
	server.Add(brokers.Receivers)
	d.kernel = kernel.New(
		operators,
		&peerService{peers: peers, server: server, listener: listeners.Daemons},
		members,
		d.spread,
		brokers,
		d.entry,
	)
	return nil
}

func (d *Daemon) self() member.Self {
	address := d.settings.Listen.Advertised
	if !address.IsValid() {
		address = d.settings.Listen.Daemons
	}
	return member.Self{Name: d.settings.Name, Zone: d.settings.Zone, Address: address}
}

// Start starts all services. They run until they are stopped or ctx ends.
func (d *Daemon) Start(ctx context.Context) error {
	return d.kernel.Start(ctx)
}

// Ready returns an error if no requests should be sent to the daemon.
func (d *Daemon) Ready() error {
	if d.entry.Draining() {
		return errDraining
	}
	if !d.spread.Ready() {
		return errNoConfiguration
	}
	return nil
}

// Stop drains the daemon, for at most the stop limit of its settings, and then
// stops all services. Draining hands this daemon's pools over to other brokers and
// waits for requests in flight.
func (d *Daemon) Stop(ctx context.Context) error {
	stopCtx, cancel := context.WithTimeout(ctx, d.settings.Stop.Limit)
	defer cancel()
	return errors.Join(d.kernel.Drain(stopCtx), d.kernel.Stop())
}

// Kill stops all services without draining.
func (d *Daemon) Kill() error {
	return d.kernel.Stop()
}

// Dump returns the state of all services as YAML.
func (d *Daemon) Dump(now time.Time) (string, error) {
	return admin.Dump(d.kernel, now, "")
}

// Status returns the status of the active configuration.
func (d *Daemon) Status(now time.Time) spread.Status {
	return d.spread.Status(now)
}

// Meter returns the counters of the traffic between daemons.
func (d *Daemon) Meter() *wire.Meter { return d.meter }
