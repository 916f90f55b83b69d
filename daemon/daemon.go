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
	"dandeliondoor/kernel"
	"dandeliondoor/logs"
	"dandeliondoor/member"
	"dandeliondoor/plat"
	"dandeliondoor/rank"
	"dandeliondoor/spread"
	"dandeliondoor/wire"
)

// Daemon is one process of the fleet.
type Daemon struct {
	settings config.Settings
	open     Listeners
	kernel   *kernel.Kernel
	entry    *entry.Service
	spread   *spread.Service
	meter    *wire.Meter
	logger   *logs.Logger
}

var (
	errDraining        = errors.New("stopping")
	errNoConfiguration = errors.New("no configuration is in force")
)

// Listeners are the open ports of a daemon.
type Listeners struct {
	Callers   net.Listener
	Daemons   net.Listener
	Operators net.Listener
}

// Option changes a daemon at its construction.
type Option func(*Daemon)

// WithListeners gives the daemon ports that are open already.
func WithListeners(open Listeners) Option {
	return func(d *Daemon) { d.open = open }
}

// New opens the daemon's ports and builds its services; nothing runs yet.
func New(settings config.Settings, logger *logs.Logger, options ...Option) (*Daemon, error) {
	d := &Daemon{settings: settings, meter: &wire.Meter{}, logger: logger}
	for _, option := range options {
		option(d)
	}
	if d.open == (Listeners{}) {
		open, err := listen(settings)
		if err != nil {
			return nil, err
		}
		d.open = open
	}
	if err := d.build(d.open); err != nil {
		return nil, err
	}
	return d, nil
}

func listen(settings config.Settings) (Listeners, error) {
	var open Listeners
	for _, port := range []struct {
		address  netip.AddrPort
		listener *net.Listener
	}{
		{address: settings.Listen.Callers, listener: &open.Callers},
		{address: settings.Listen.Daemons, listener: &open.Daemons},
		{address: settings.Listen.Operators, listener: &open.Operators},
	} {
		listener, err := net.Listen("tcp", port.address.String())
		if err != nil {
			open.close()
			return Listeners{}, errors.Wrap(err, "open port")
		}
		*port.listener = listener
	}
	return open, nil
}

func (l Listeners) close() {
	for _, listener := range []net.Listener{l.Callers, l.Daemons, l.Operators} {
		if listener != nil {
			_ = listener.Close()
		}
	}
}

func (d *Daemon) build(open Listeners) error {
	settings := d.settings
	seed := rank.Score(settings.Name, settings.Zone)
	registry := prometheus.NewRegistry()
	registry.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	registerMeter(registry, d.meter)
	peers := wire.NewPeers(d.meter)
	lister := plat.NewVMs(settings.Platform.VMs, settings.Platform.Timeout)
	members := member.New(d.self(), settings.Zones, lister, peers, settings.Platform.VMsInterval, d.logger.Part(member.Name))
	log := plat.NewLog(settings.Platform.Log, settings.Platform.Timeout)
	d.spread = spread.New(members, peers, log, spread.Settings{
		Retention: settings.Platform.LogRetention,
		Seed:      seed,
	}, d.logger.Part(spread.Name))
	brokers := grant.New(members, d.spread, peers, registry, seed, d.logger.Part(grant.Name))
	d.spread.Watch(brokers.RequestReconfigure)
	members.OnChange(brokers.RequestReconfigure)
	client := grant.NewClient(members, peers, brokers, seed, d.logger.Part(grant.Name))
	handler := entry.NewHandler(d.spread, members, client, registry, d.logger.Part(entry.Name))
	d.entry = entry.NewService(open.Callers, handler, client, settings.Stop.BalancerLag, d.logger.Part(entry.Name))
	operators, err := admin.New(open.Operators, registry, d.logger, d.Ready,
		func(now time.Time) any { return d.spread.Status(now) })
	if err != nil {
		return err
	}
	server := wire.NewServer(d.meter)
	server.Add(d.spread.Receivers)
	server.Add(brokers.Receivers)
	d.kernel = kernel.New(
		operators,
		&peerService{peers: peers, server: server, listener: open.Daemons},
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

// Start starts all services.
func (d *Daemon) Start(ctx context.Context) error {
	return d.kernel.Start(ctx)
}

// Ready reports why the daemon should get no work, or nil.
func (d *Daemon) Ready() error {
	if d.entry.Draining() {
		return errDraining
	}
	if !d.spread.Ready() {
		return errNoConfiguration
	}
	return nil
}

// Stop hands over what others can take, finishes what is in flight within the
// settings' limit and ends all services.
func (d *Daemon) Stop(ctx context.Context) error {
	limit, cancel := context.WithTimeout(ctx, d.settings.Stop.Limit)
	defer cancel()
	return errors.Join(d.kernel.Drain(limit), d.kernel.Stop())
}

// Kill ends all services at once.
func (d *Daemon) Kill() error {
	return d.kernel.Stop()
}

// Dump returns the YAML of the state of all parts.
func (d *Daemon) Dump(now time.Time) (string, error) {
	return admin.Dump(d.kernel, now, "")
}

// Status returns the configuration in force.
func (d *Daemon) Status(now time.Time) spread.Status {
	return d.spread.Status(now)
}

// Meter returns the count of control traffic.
func (d *Daemon) Meter() *wire.Meter { return d.meter }
