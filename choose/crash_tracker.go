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
func (c *crashTracker) record(now time.Time, fingerprint crash.Fingerprint, outcome Outcome) {
	switch {
	case fingerprint == 0:
	case outcome == Served || outcome == Failed:
		delete(c.lost, fingerprint)
	case outcome == ConnectionLost:
		c.recordLoss(now, fingerprint)
	}
}

// recordLoss counts a loss. A full table is cleared, which bounds its memory.
func (c *crashTracker) recordLoss(now time.Time, fingerprint crash.Fingerprint) {
	if c.lost == nil || len(c.lost) >= maxFingerprints {
		c.lost = make(map[crash.Fingerprint]losses)
	}
	found := c.lost[fingerprint]
	if !now.Before(found.until) {
		found.count = 0
	}
	c.lost[fingerprint] = losses{count: found.count + 1, until: now.Add(lossRetention)}
}
