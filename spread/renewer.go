package spread

import (
	"math/rand/v2"
	"time"
)

// The times of renewal.
const (
	renewalsPerRetention = 4
	renewalSpread        = 10 * time.Second
	renewalUnderWay      = time.Minute
)

// Renewer decides when this reader writes a checkpoint, so that the log never
// forgets the configuration and few readers write at once.
type Renewer struct {
	every    time.Duration
	random   *rand.Rand
	due      time.Time
	urgent   bool
	position uint64
}

// NewRenewer returns a renewer for a log that keeps records for the retention.
func NewRenewer(now time.Time, retention time.Duration, seed uint64) *Renewer {
	r := &Renewer{
		every:  retention / renewalsPerRetention,
		random: rand.New(rand.NewPCG(seed, seed)),
	}
	r.due = now.Add(r.delay(r.every))
	return r
}

// Began notes that somebody's checkpoint has started to appear.
func (r *Renewer) Began(now time.Time) {
	if until := now.Add(renewalUnderWay + r.delay(renewalSpread)); r.due.Before(until) {
		r.due = until
	}
}

// Completed notes a checkpoint that covers the log from a position on.
func (r *Renewer) Completed(now time.Time, position uint64) {
	r.position = max(r.position, position)
	r.urgent = false
	r.due = now.Add(r.every + r.delay(renewalSpread))
}

// Truncated notes the log's earliest offset; once that passes the last
// checkpoint, a new one is urgent.
func (r *Renewer) Truncated(now time.Time, earliest uint64) {
	if earliest > r.position {
		r.hurry(now)
	}
}

// Emptied notes that the log lost its records.
func (r *Renewer) Emptied(now time.Time) {
	r.position = 0
	r.hurry(now)
}

// Due reports whether to write a checkpoint now.
func (r *Renewer) Due(now time.Time) bool {
	return !now.Before(r.due)
}

// hurry brings the next renewal forward, to a random time within the spread.
func (r *Renewer) hurry(now time.Time) {
	if r.urgent {
		return
	}
	r.urgent = true
	r.due = now.Add(r.delay(renewalSpread))
}

func (r *Renewer) delay(most time.Duration) time.Duration {
	return time.Duration(r.random.Float64() * float64(most))
}
