package broker

import (
	"time"

	"dandeliondoor/model"
)

// The times between hints to sibling pools.
const (
	calmHintInterval = 400 * time.Millisecond
	busyHintInterval = 50 * time.Millisecond
	minHintInterval  = 10 * time.Millisecond
)

// siblingHint is a hint with the time that it came or went.
type siblingHint struct {
	hint Hint
	at   time.Time
}

// Hint returns how busy this pool is.
func (p *Pool) Hint(now time.Time) Hint {
	_, free := p.usableSlots(now)
	return Hint{
		Pool: p.key,
		Free: max(0, free-p.queues[0].count-p.queues[1].count),
		Wait: p.expectedWait(now, model.ClassShort),
	}
}

// DueHint returns the hint when sibling pools should hear it: at once when the
// pool has filled or freed, else now and then, more often while asks wait.
func (p *Pool) DueHint(now time.Time) (Hint, bool) {
	hint := p.Hint(now)
	interval := calmHintInterval
	switch {
	case (hint.Free == 0) != (p.hinted.hint.Free == 0):
		interval = minHintInterval
	case hint.Free == 0:
		interval = busyHintInterval
	}
	if now.Sub(p.hinted.at) < interval {
		return hint, false
	}
	p.hinted = siblingHint{hint: hint, at: now}
	return hint, true
}

// TakeHint takes what a sibling pool's broker says of its load.
func (p *Pool) TakeHint(now time.Time, hint Hint) {
	p.siblings[hint.Pool] = siblingHint{hint: hint, at: now}
}
