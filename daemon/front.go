package daemon

import (
	"context"
	"net"
	"net/netip"
	"reflect"
	"time"

	"github.com/go-faster/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"

	"dandeliondoor/admin"
	"dandeliondoor/choose"
	"dandeliondoor/config"
	"dandeliondoor/feed"
	"dandeliondoor/front"
	"dandeliondoor/kernel"
	"dandeliondoor/logs"
	"dandeliondoor/proto"
	"dandeliondoor/rank"
	"dandeliondoor/slots"
	"dandeliondoor/topo"
	"dandeliondoor/wire"
)

// The parts of the platform's bounds that a daemon uses itself.
const (
	// intervalPart is the part of the time for a leaving server after which the
	// store is read again, and staleParts the part after which what a daemon
	// knows is old.
	intervalPart = 4
	staleParts   = 2
	// slackPart leaves the rest of the retry slack to brokers that follow one another
	// within the window and do not know what was spent.
	slackPart = 0.3
	// ratioPart leaves out of the retry ratio what requests add that the platform
	// sends to check the configuration and does not count.
	ratioPart = 0.7
	// stopMargin is what is left of the limit of a planned stop for the end of
	// the process.
	stopMargin = 400 * time.Millisecond
)

// Platform are what a front daemon needs of the platform: the parts of its
// store, its headers, and the path at which it asks whether the daemon is ready.
type Platform struct {
	Sources   feed.Sources
	Dialect   proto.Dialect
	ReadyPath string
	Collector prometheus.Collector
}

// Front is one daemon that takes its configuration and servers from the
// platform's store.
type Front struct {
	settings config.Front
	kernel   *kernel.Kernel
	feed     *feed.Service
	front    *front.Service
	logger   *logs.Logger
	broker   *slots.Broker
	alone    *slots.Broker
}

// NewFront opens the daemon's ports and builds its services; nothing runs yet.
func NewFront(settings config.Front, around Platform, logger *logs.Logger) (*Front, error) {
	ports, err := openAll(settings.Listen.Callers, settings.Listen.Readiness, settings.Listen.Daemons, settings.Listen.Operators)
	if err != nil {
		return nil, err
	}
	f := &Front{settings: settings, logger: logger}
	meter := &wire.Meter{}
	registry := prometheus.NewRegistry()
	registry.MustRegister(collectors.NewGoCollector(), around.Collector)
	registerMeter(registry, meter)
	logger.Register(registry)
	peers := wire.NewPeers(meter)
	seed := rank.Score(settings.Name, settings.Zone)
	f.feed = f.newFeed(around, peers, seed)
	broker := slots.NewBroker(f.retryLimits(1), seed)
	alone := slots.NewBroker(f.retryLimits(aloneShare), seed)
	f.broker, f.alone = broker, alone
	f.feed.Watch(func(view *feed.View) { broker.SetView(time.Now(), view) })
	f.feed.Watch(func(view *feed.View) { alone.SetView(time.Now(), view) })
	brokers := slots.NewService(broker)
	client := slots.NewClient(f.feed, peers, broker, alone, logger.Part(slots.Name))
	handler := front.NewHandler(f.feed, client, around.Dialect, registry, logger.Part(front.Name))
	f.front = front.NewService(ports[0], handler, settings.Stop.BalancerLag, logger.Part(front.Name))
	operators, err := admin.New(ports[3], registry, logger, f.Ready, f.status)
	if err != nil {
		return nil, err
	}
	server := wire.NewServer(meter)
	server.Add(f.feed.Receivers)
	server.Add(brokers.Receivers)
	f.kernel = kernel.New(
		operators,
		admin.NewProbe(ports[1], around.ReadyPath, f.Ready),
		&peerService{peers: peers, server: server, listener: ports[2]},
		f.feed,
		brokers,
		f.front,
	)
	return f, nil
}

// aloneShare is the part of the retry slack that a daemon uses that reaches no
// broker, since many may be in that state.
const aloneShare = 0.02

func (f *Front) newFeed(around Platform, peers *wire.Peers, seed uint64) *feed.Service {
	self := topo.Daemon{
		Name: f.settings.Name, Zone: f.settings.Zone, Address: f.settings.Listen.Reached(),
		Capacity: topo.Capacity(f.settings.Cores, f.settings.LinkMbps),
	}
	return feed.New(self, around.Sources, peers, feed.Settings{
		Interval:   f.settings.Store.DrainDue / intervalPart,
		StaleAfter: f.settings.Store.DrainDue / staleParts,
		FirstStart: f.settings.FirstStart,
		Seeds:      f.settings.Seeds,
		Seed:       seed,
	}, f.logger.Part(feed.Name))
}

func (f *Front) retryLimits(share float64) choose.RetryLimits {
	retries := f.settings.Retries
	return choose.RetryLimits{Ratio: retries.Ratio * ratioPart, Window: retries.Window, Slack: retries.Slack * slackPart * share}
}

// Start starts all services.
func (f *Front) Start(ctx context.Context) error { return f.kernel.Start(ctx) }

// Ready reports why the daemon should get no work, or nil.
func (f *Front) Ready() error {
	if f.front.Draining() {
		return errDraining
	}
	if !f.feed.View().Ready() {
		return errNoConfiguration
	}
	return nil
}

// Stop finishes what is in flight within the settings' limit and ends all
// services.
func (f *Front) Stop(ctx context.Context) error {
	limit, cancel := context.WithTimeout(ctx, f.settings.Stop.Limit-stopMargin)
	defer cancel()
	return errors.Join(f.kernel.Drain(limit), f.kernel.Stop())
}

// Reload takes new settings: the level of the log and the limits of second sends
// hold at once. It reports whether others differ, which need a restart.
func (f *Front) Reload(settings config.Front) (restart bool, err error) {
	if err := f.logger.SetLevel(settings.Logs.Level); err != nil {
		return false, err
	}
	settings.Logs.Level = f.settings.Logs.Level
	f.settings.Retries = settings.Retries
	f.broker.SetLimits(f.retryLimits(1))
	f.alone.SetLimits(f.retryLimits(aloneShare))
	return !reflect.DeepEqual(settings, f.settings), nil
}

// Dump returns the YAML of the state of all parts.
func (f *Front) Dump(now time.Time) (string, error) { return admin.Dump(f.kernel, now, "") }

func (f *Front) status(now time.Time) any { return f.feed.Dump(now) }

// openAll opens ports, all or none.
func openAll(addresses ...netip.AddrPort) ([]net.Listener, error) {
	open := make([]net.Listener, 0, len(addresses))
	for _, address := range addresses {
		listener, err := net.Listen("tcp", address.String())
		if err != nil {
			for _, opened := range open {
				_ = opened.Close()
			}
			return nil, errors.Wrap(err, "open port")
		}
		open = append(open, listener)
	}
	return open, nil
}
