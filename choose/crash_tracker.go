package choose

import (
	"time"

	"dandeliondoor/crash"
)

// Limits for requests that crash the servers that run them.
const (
	// maxConsecutiveLosses is how many connections in a row a fingerprint may
	// lose before its requests are refused.
	maxConsecutiveLosses = 3
	// lossRetention is how long a fingerprint is remembered after its last loss.
	lossRetention   = 20 * time.Second
	maxFingerprints = 1024
)

// crashTracker counts consecutive lost connections by request fingerprint.
type crashTracker struct {
	lost map[crash.Fingerprint]losses
}

type losses struct {
	count int
	until time.Time
}

// blocked reports whether a fingerprint has lost so many connections in a row
// that its requests must not be sent to another server.
func (c *crashTracker) blocked(now time.Time, fingerprint crash.Fingerprint) bool {
	found, known := c.lost[fingerprint]
	return known && found.count >= maxConsecutiveLosses && now.Before(found.until)
}

// record updates the tracker with the outcome of an attempt.
func (c *crashTracker) record(now time.Time, fingerprint crash.Fingerprint, outcome Outcome) crash.Observation {
	observed := crash.Observation{Fingerprint: fingerprint}
	switch {
	case fingerprint == 0:
		if outcome == ConnectionLost {
			observed.Change = crash.ChangeMissed
		}
	case outcome == Served || outcome == Failed:
		if _, known := c.lost[fingerprint]; known {
			observed.Change = crash.ChangeCleared
		}
		delete(c.lost, fingerprint)
	case outcome == ConnectionLost:
		observed.Change, observed.Count = c.recordLoss(now, fingerprint)
	}
	return observed
}

// recordLoss counts a loss and returns the change with the count. A full table is
// cleared, which bounds its memory.
func (c *crashTracker) recordLoss(now time.Time, fingerprint crash.Fingerprint) (crash.Change, int) {
	change := crash.ChangeCounted
	if c.lost == nil || len(c.lost) >= maxFingerprints {
		if c.lost != nil {
			change = crash.ChangeEvicted
		}
		c.lost = make(map[crash.Fingerprint]losses)
	}
	found, known := c.lost[fingerprint]
	if known && !now.Before(found.until) {
		change, found.count = crash.ChangeExpired, 0
	}
	c.lost[fingerprint] = losses{count: found.count + 1, until: now.Add(lossRetention)}
	return change, found.count + 1
}
