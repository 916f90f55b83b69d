package daemon

import (
	"context"
	"net"

	"github.com/prometheus/client_golang/prometheus"

	"dandeliondoor/kernel"
	"dandeliondoor/wire"
)

// peerName is the name of the service that talks to other daemons.
const peerName = "peers"

// peerService serves the calls of other daemons and keeps the connections to
// them.
type peerService struct {
	peers    *wire.Peers
	server   *wire.Server
	listener net.Listener
}

var _ kernel.Service = &peerService{}

// Name returns peerName.
func (p *peerService) Name() string { return peerName }

// Start serves until the context ends.
func (p *peerService) Start(ctx context.Context, _ *kernel.Kernel) (<-chan error, error) {
	beats := kernel.Run(ctx, p.peers.Run)
	return kernel.Run(ctx, func(ctx context.Context) error {
		err := p.server.Serve(ctx, p.listener)
		if beatErr := <-beats; err == nil {
			err = beatErr
		}
		return err
	}), nil
}

// registerMeter publishes the counts of control traffic.
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
