package broker

import (
	"time"

	"dandeliondoor/health"
)

// PoolState is the dump of one pool.
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

// Dump returns the state of the pool.
func (p *Pool) Dump(now time.Time) PoolState {
	slots, free := p.usableSlots(now)
	return PoolState{
		Key:         p.key,
		Slots:       slots,
		Free:        free,
		Running:     len(p.grants),
		RunningLong: p.longRun,
		LongLimit:   p.longLimit(now),
		QueuedShort: p.queues[0].count,
		QueuedLong:  p.queues[1].count,
		Suspects:    p.memory.Len(),
		Upstreams:   p.tracker.Dump(now),
	}
}
