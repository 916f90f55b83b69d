package crash

import (
	"fmt"
	"strconv"
	"time"
)

// The limits on the number and the lifetime of entries.
const (
	maxFingerprints = 1024
	suspectPeriod   = 10 * time.Minute
	confirmedPeriod = 24 * time.Hour
)

// Fingerprint is a hash of the method, path and body of a request; 0 means that
// the request has none.
type Fingerprint uint64

// String returns the fingerprint in hexadecimal digits, as in log lines.
func (f Fingerprint) String() string { return fmt.Sprintf("%016x", uint64(f)) }

// ParseFingerprint is the inverse of String.
func ParseFingerprint(text string) (Fingerprint, error) {
	const base, bits = 16, 64
	value, err := strconv.ParseUint(text, base, bits)
	return Fingerprint(value), err
}

// Standing is the degree of suspicion against a fingerprint, in ascending order.
type Standing uint8

// The degrees of suspicion against a fingerprint.
const (
	// Clear is a fingerprint that may run concurrently with other requests.
	Clear Standing = iota
	// Suspect is a fingerprint whose requests run in isolation, each with no other
	// request on its upstream.
	Suspect
	// Confirmed is a fingerprint whose requests are refused.
	Confirmed
)

type entry struct {
	standing Standing
	until    time.Time
}

// Tracker holds a limited number of suspect and confirmed fingerprints, each for a
// limited time.
type Tracker struct {
	entries map[Fingerprint]entry
}

// NewTracker returns a Tracker without entries.
func NewTracker() *Tracker {
	return &Tracker{entries: make(map[Fingerprint]entry)}
}

// Standing returns the current standing of a fingerprint.
func (t *Tracker) Standing(now time.Time, fingerprint Fingerprint) Standing {
	found, known := t.entries[fingerprint]
	if !known || !now.Before(found.until) {
		return Clear
	}
	return found.standing
}

// RecordCrash records that an upstream crashed while it ran a request with the
// fingerprint, and returns the new standing. The fingerprint is confirmed only if
// it was already suspect and its request ran in isolation, since otherwise another
// request may have caused the crash.
func (t *Tracker) RecordCrash(now time.Time, fingerprint Fingerprint, isolated bool) Standing {
	if fingerprint == 0 {
		return Clear
	}
	standing := t.Standing(now, fingerprint)
	if standing == Clear {
		standing = Suspect
	} else if isolated {
		standing = Confirmed
	}
	t.Learn(now, fingerprint, standing)
	return standing
}

// RecordSuccess clears a suspect fingerprint after a successful request. A confirmed
// one stays confirmed.
func (t *Tracker) RecordSuccess(fingerprint Fingerprint) {
	if t.entries[fingerprint].standing == Suspect {
		delete(t.entries, fingerprint)
	}
}

// Learn stores a standing, such as one that another broker reported, unless a
// higher one is known.
func (t *Tracker) Learn(now time.Time, fingerprint Fingerprint, standing Standing) {
	if fingerprint == 0 || standing == Clear || standing < t.Standing(now, fingerprint) {
		return
	}
	period := suspectPeriod
	if standing == Confirmed {
		period = confirmedPeriod
	}
	if _, known := t.entries[fingerprint]; !known && len(t.entries) >= maxFingerprints {
		t.evict(now)
	}
	t.entries[fingerprint] = entry{standing: standing, until: now.Add(period)}
}

// Len returns the number of stored fingerprints.
func (t *Tracker) Len() int { return len(t.entries) }

// evict removes all expired entries. If there are none, it removes the suspect entry
// that expires first, or the first confirmed one if there is no suspect.
func (t *Tracker) evict(now time.Time) {
	var victim Fingerprint
	var victimEntry entry
	for fingerprint, candidate := range t.entries {
		if !now.Before(candidate.until) {
			delete(t.entries, fingerprint)
			continue
		}
		if victim == 0 || evictsBefore(candidate, victimEntry) {
			victim, victimEntry = fingerprint, candidate
		}
	}
	if len(t.entries) >= maxFingerprints {
		delete(t.entries, victim)
	}
}

// evictsBefore reports whether a is evicted before b.
func evictsBefore(a, b entry) bool {
	if a.standing != b.standing {
		return a.standing < b.standing
	}
	return a.until.Before(b.until)
}
