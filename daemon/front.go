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
	"dandeliondoor/credit"
	"dandeliondoor/feed"
	"dandeliondoor/front"
	"dandeliondoor/httpd"
	"dandeliondoor/kernel"
	"dandeliondoor/logs"
	"dandeliondoor/proto"
	"dandeliondoor/quota"
	"dandeliondoor/rank"
	"dandeliondoor/slots"
	"dandeliondoor/topo"
	"dandeliondoor/wire"
)

// The shares of the platform's limits that a daemon uses.
const (
	// readIntervalDivisor and staleAfterDivisor divide the time within which a
	// draining server has to be out of use. The first quotient is the interval
	// between reads of the store, the second the age from which a view is stale.
	readIntervalDivisor = 4
	staleAfterDivisor   = 2
	// brokerSlackShare is the share of the retry slack that one broker uses. The rest
	// is left for brokers that replace it within the same window, which don't know how
	// much of the slack has been used.
	brokerSlackShare = 0.3
	// retryRatioShare is the share of the retry ratio that a broker uses. The broker
	// counts the requests that the platform sends to check the configuration, but the
	// platform doesn't, so the full ratio would allow too many retries.
	retryRatioShare = 0.7
	// The divisors of the memory of the process. The quotients are for buffered bodies, for
	// responses that are read ahead of slow callers, and for what callers send ahead.
	bodyMemoryDivisor     = 8
	responseMemoryDivisor = 8
	aheadMemoryDivisor    = 16
	mebibyte              = 1 << 20
)

var (
	errDraining        = errors.New("stopping")
	errNoConfiguration = errors.New("no configuration is in force")
)

// Platform contains what a front daemon needs from the platform: the sources in its
// store, its HTTP headers, the path of its readiness probe and the metrics of the
// store client.
type Platform struct {
	Sources   feed.Sources
	Dialect   proto.Dialect
	ReadyPath string
	Collector prometheus.Collector
}

// Front is a daemon that gets its configuration, the servers and the other daemons
// from the platform's store.
type Front struct {
	settings config.Front
	kernel   *kernel.Kernel
	feed     *feed.Service
	front    *front.Service
	logger   *logs.Logger
	broker   *slots.Broker
	fallback *slots.Broker
}

// NewFront opens the daemon's ports and constructs its services. Start starts them.
func NewFront(settings config.Front, platform Platform, logger *logs.Logger) (*Front, error) {
	listeners, err := listenAll(settings.Listen.Callers, settings.Listen.Readiness, settings.Listen.Daemons, settings.Listen.Operators)
	if err != nil {
		return nil, err
	}
	f := &Front{settings: settings, logger: logger}
	meter := &wire.Meter{}
	registry := prometheus.NewRegistry()
	registry.MustRegister(collectors.NewGoCollector(), platform.Collector)
	registerMeter(registry, meter)
	logger.Register(registry)
	peers := wire.NewPeers(meter)
	seed := rank.Score(settings.Name, settings.Zone)
	f.feed = f.newFeed(platform, peers, seed)
	slotsLog := logger.Part(slots.Name)
	clock, err := credit.NewBootClock()
	if err != nil {
		return nil, err
	}
	credits := credit.NewService(f.feed, peers, clock, logger.Part(credit.Name))
	registry.MustRegister(credits)
	f.feed.Watch(credits.SetView)
	crashes := slots.NewCrashes(slots.WithFleet(f.feed, peers, platform.Sources.Crashes), slots.WithCrashLog(slotsLog))
	options, fallbackOptions := brokerOptions(settings.Scheduling, registry)
	options = append(options, slots.WithCrashes(crashes), slots.WithSelf(f.feed.Self().Name), slots.WithAdmitter(credits))
	fallbackOptions = append(fallbackOptions, slots.WithCrashes(crashes), slots.WithAdmitter(credits))
	broker := slots.NewBroker(f.retryLimits(), seed, options...)
	fallback := slots.NewFallback(f.retryLimits(), seed, fallbackOptions...)
	f.broker, f.fallback = broker, fallback
	f.feed.Watch(func(view *feed.View) { broker.SetView(time.Now(), view) })
	f.feed.Watch(func(view *feed.View) { fallback.SetView(time.Now(), view) })
	slotService := slots.NewService(broker, fallback)
	client := slots.NewClient(f.feed, peers, broker, fallback, slotsLog)
	memory := settings.MemoryMB * mebibyte
	handlerOptions := []front.HandlerOption{
		front.WithMemory(quota.New(memory / bodyMemoryDivisor)), front.WithAhead(quota.New(memory / responseMemoryDivisor)),
		front.WithKeyPolicy(front.KeyPolicy{RevokeDue: settings.Accounts.RevokeDue, FailClosed: settings.Accounts.RevokeFailClosed}),
	}
	if settings.Scheduling.Placement == config.PlacementCost {
		handlerOptions = append(handlerOptions, front.WithCostTraits())
	}
	handler := front.NewHandler(f.feed, client, platform.Dialect, registry, logger.Part(front.Name), handlerOptions...)
	f.front = front.NewService(
		listeners[0], handler, logger.Part(front.Name), httpd.WithAheadQuota(quota.New(memory/aheadMemoryDivisor)),
	)
	operators, err := admin.New(listeners[3], registry, logger, f.Ready, f.status)
	if err != nil {
		return nil, err
	}
	server := wire.NewServer(meter)
	server.Add(f.feed.Receivers)
	server.Add(slotService.Receivers)
	server.Add(credits.Receivers)
	f.kernel = kernel.New(
		operators,
		admin.NewProbe(listeners[1], platform.ReadyPath, f.Ready),
		&peerService{peers: peers, server: server, listener: listeners[2]},
		f.feed,
		credits,
		slotService,
		f.front,
	)
	return f, nil
}

// brokerOptions returns the options of the broker and of the local fallback broker that the
// settings of scheduling ask for.
func brokerOptions(scheduling config.Scheduling, registry prometheus.Registerer) (broker, fallback []slots.BrokerOption) {
	if scheduling.Queue {
		broker = append(broker, slots.WithQueue(slots.NewQueueMetrics(registry, "shared")))
		fallback = append(fallback, slots.WithQueue(slots.NewQueueMetrics(registry, "fallback")))
	}
	if scheduling.Placement == config.PlacementCost {
		estimates := slots.WithCosts(slots.NewCosts(registry))
		broker, fallback = append(broker, estimates), append(fallback, estimates)
	}
	return broker, fallback
}

func (f *Front) newFeed(platform Platform, peers *wire.Peers, seed uint64) *feed.Service {
	self := topo.Daemon{
		Name: f.settings.Name, Zone: f.settings.Zone, Address: f.settings.Listen.PeerAddress(),
		Capacity: topo.Capacity(f.settings.Cores, f.settings.LinkMbps),
	}
	return feed.New(self, platform.Sources, peers, feed.Settings{
		Interval:   f.settings.Store.DrainDue / readIntervalDivisor,
		StaleAfter: f.settings.Store.DrainDue / staleAfterDivisor,
		FirstStart: f.settings.FirstStart,
		Seeds:      f.settings.Seeds,
		Seed:       seed,
	}, f.logger.Part(feed.Name))
}

func (f *Front) retryLimits() choose.RetryLimits {
	retries := f.settings.Retries
	return choose.RetryLimits{Ratio: retries.Ratio * retryRatioShare, Window: retries.Window, Slack: retries.Slack * brokerSlackShare}
}

// Start starts all services. They run until they are stopped or ctx ends.
func (f *Front) Start(ctx context.Context) error { return f.kernel.Start(ctx) }

// Ready returns an error if no requests should be sent to the daemon.
func (f *Front) Ready() error {
	if f.front.Draining() {
		return errDraining
	}
	if !f.feed.View().Ready() {
		return errNoConfiguration
	}
	return nil
}

// Stop drains the daemon and then stops all services, within the stop limit of its
// settings from the given time on.
func (f *Front) Stop(ctx context.Context, began time.Time) error {
	stop := front.NewStop(began, f.settings.Stop.BalancerLag, f.settings.Stop.Limit)
	f.front.BeginStop(stop)
	stopCtx, cancel := context.WithDeadline(ctx, stop.ClosesAt())
	defer cancel()
	return errors.Join(f.kernel.Drain(stopCtx), f.kernel.Stop())
}

// Reload applies the log level and the retry limits of new settings. It reports
// whether other settings changed, which take effect only after a restart.
func (f *Front) Reload(settings config.Front) (restart bool, err error) {
	if err := f.logger.SetLevel(settings.Logs.Level); err != nil {
		return false, err
	}
	settings.Logs.Level = f.settings.Logs.Level
	f.settings.Retries = settings.Retries
	f.broker.SetLimits(f.retryLimits())
	f.fallback.SetLimits(f.retryLimits())
	return !reflect.DeepEqual(settings, f.settings), nil
}

// Dump returns the state of all services as YAML.
func (f *Front) Dump(now time.Time) (string, error) { return admin.Dump(f.kernel, now, "") }

func (f *Front) status(now time.Time) any { return f.feed.Dump(now) }

// listenAll listens on all addresses. If one fails, it closes the others.
func listenAll(addresses ...netip.AddrPort) ([]net.Listener, error) {
	listeners := make([]net.Listener, 0, len(addresses))
	for _, address := range addresses {
		listener, err := net.Listen("tcp", address.String())
		if err != nil {
			for _, opened := range listeners {
				_ = opened.Close()
			}
			return nil, errors.Wrap(err, "open port")
		}
		listeners = append(listeners, listener)
	}
	return listeners, nil
}
