package broker

import (
	"time"

	"dandeliondoor/health"
)

// PoolState is the state of one pool in a state dump.
type PoolState struct {
	Key         string                 `yaml:"key"`
	Slots       int                    `yaml:"slots"`
	Free        int                    `yaml:"free"`
	Running     int                    `yaml:"running"`
	RunningLong int                    `yaml:"running_long"`
	LongLimit   int                    `yaml:"long_limit"`
	QueuedShort int                    `yaml:"queued_short"`
	QueuedLong  int                    `yaml:"queued_long"`
	Suspects    int                    `yaml:"suspects"`
	Upstreams   []health.UpstreamState `yaml:"upstreams"`
}

// Dump returns the current state of the pool. Its Suspects is the number of
// fingerprints on record, not of queued suspects.
func (p *Pool) Dump(now time.Time) PoolState {
	slots, free := p.usableSlots(now)
	return PoolState{
		Key:         p.key,
		Slots:       slots,
		Free:        free,
		Running:     len(p.grants),
		RunningLong: p.runningLong,
		LongLimit:   p.longLimit(now),
		QueuedShort: p.queues[0].count,
		QueuedLong:  p.queues[1].count,
		Suspects:    p.crashes.Len(),
		Upstreams:   p.tracker.Dump(now),
	}
}
