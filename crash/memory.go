package crash

import "time"

// The bounds of the memory.
const (
	maxFingerprints = 1024
	suspectPeriod   = 10 * time.Minute
	convictedPeriod = 10 * time.Minute
)

// Fingerprint is a hash over a request's method, path and body; 0 is none.
type Fingerprint uint64

// Standing is what is known of a fingerprint.
type Standing uint8

// The standings of a fingerprint.
const (
	// Clear may run beside other work.
	Clear Standing = iota
	// Suspect has to run alone.
	Suspect
	// Convicted is refused.
	Convicted
)

type entry struct {
	standing Standing
	until    time.Time
}

// Memory keeps a bounded count of suspects and convicts for a time.
type Memory struct {
	entries map[Fingerprint]entry
}

// NewMemory returns an empty memory.
func NewMemory() *Memory {
	return &Memory{entries: make(map[Fingerprint]entry)}
}

// Standing returns what is known of a fingerprint.
func (m *Memory) Standing(now time.Time, fingerprint Fingerprint) Standing {
	found, known := m.entries[fingerprint]
	if !known || !now.Before(found.until) {
		return Clear
	}
	return found.standing
}

// Crashed notes that an upstream crashed while it ran a fingerprint and
// returns the standing that follows; only a suspect that ran alone is
// convicted.
func (m *Memory) Crashed(now time.Time, fingerprint Fingerprint, alone bool) Standing {
	if fingerprint == 0 {
		return Clear
	}
	standing := m.Standing(now, fingerprint)
	if standing == Clear {
		standing = Suspect
	} else if alone {
		standing = Convicted
	}
	m.Learn(now, fingerprint, standing)
	return standing
}

// Succeeded clears a suspect; a convict stays convicted.
func (m *Memory) Succeeded(fingerprint Fingerprint) {
	if m.entries[fingerprint].standing == Suspect {
		delete(m.entries, fingerprint)
	}
}

// Learn takes a standing that another broker found, unless a graver one is
// known.
func (m *Memory) Learn(now time.Time, fingerprint Fingerprint, standing Standing) {
	if fingerprint == 0 || standing == Clear || standing < m.Standing(now, fingerprint) {
		return
	}
	period := suspectPeriod
	if standing == Convicted {
		period = convictedPeriod
	}
	if _, known := m.entries[fingerprint]; !known && len(m.entries) >= maxFingerprints {
		m.evict(now)
	}
	m.entries[fingerprint] = entry{standing: standing, until: now.Add(period)}
}

// Len returns the count of fingerprints remembered.
func (m *Memory) Len() int { return len(m.entries) }

// evict removes ended entries, or else the one that ends first, suspects
// before convicts.
func (m *Memory) evict(now time.Time) {
	var first Fingerprint
	var least entry
	for fingerprint, candidate := range m.entries {
		if !now.Before(candidate.until) {
			delete(m.entries, fingerprint)
			continue
		}
		if first == 0 || before(candidate, least) {
			first, least = fingerprint, candidate
		}
	}
	if len(m.entries) >= maxFingerprints {
		delete(m.entries, first)
	}
}

func before(a, b entry) bool {
	if a.standing != b.standing {
		return a.standing < b.standing
	}
	return a.until.Before(b.until)
}
