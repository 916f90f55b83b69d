package daemon

import (
	"context"
	"net"

	"github.com/prometheus/client_golang/prometheus"

	"dandeliondoor/kernel"
	"dandeliondoor/wire"
)

// peerServiceName is the name under which the kernel knows the service.
const peerServiceName = "peers"

// peerService serves RPCs from other daemons and maintains the connections to
// them.
type peerService struct {
	peers    *wire.Peers
	server   *wire.Server
	listener net.Listener
}

var _ kernel.Service = &peerService{}

// Name implements kernel.Service.
func (p *peerService) Name() string { return peerServiceName }

// Start implements kernel.Service.
func (p *peerService) Start(ctx context.Context, _ *kernel.Kernel) (<-chan error, error) {
	heartbeats := kernel.Run(ctx, p.peers.Run)
	return kernel.Run(ctx, func(ctx context.Context) error {
		err := p.server.Serve(ctx, p.listener)
		if heartbeatErr := <-heartbeats; err == nil {
			err = heartbeatErr
		}
		return err
	}), nil
}

// registerMeter registers the counters of the traffic between daemons.
func registerMeter(registry prometheus.Registerer, meter *wire.Meter) {
	for _, counter := range []struct {
		name string
		help string
		read func() float64
	}{
		{
			name: "dandeliondoor_control_calls_total",
			help: "Calls sent to other daemons.",
			read: func() float64 { return float64(meter.Calls.Load()) },
		},
		{
			name: "dandeliondoor_control_received_bytes_total",
			help: "Bytes received from other daemons.",
			read: func() float64 { return float64(meter.Received.Load()) },
		},
		{
			name: "dandeliondoor_control_sent_bytes_total",
			help: "Bytes sent to other daemons.",
			read: func() float64 { return float64(meter.Sent.Load()) },
		},
	} {
		registry.MustRegister(prometheus.NewCounterFunc(
			prometheus.CounterOpts{Name: counter.name, Help: counter.help}, counter.read,
		))
	}
}
