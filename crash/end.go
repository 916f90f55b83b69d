package crash

import (
	"slices"
	"time"
)

// Attempt identifies one attempt of a request: the daemon that made it and its number
// there.
type Attempt struct {
	Daemon string
	Ticket uint64
}

// End is a server that ended while it ran an attempt. Born identifies the start of the
// server.
type End struct {
	Attempt Attempt
	Service string
	Server  string
	Born    int64
}

// Record holds the ends of one fingerprint and how often it was tested whether it still
// ends servers, as the fleet stores them. AfterLoss is how many of the ends were counted when
// the fleet may have forgotten earlier ones.
type Record struct {
	Ends      []End
	Tests     int
	AfterLoss int
}

// Equal reports whether two records are the same.
func (r Record) Equal(other Record) bool {
	return r.Tests == other.Tests && r.AfterLoss == other.AfterLoss && slices.Equal(r.Ends, other.Ends)
}

// Kind is what a report says about a fingerprint.
type Kind uint8

// The kinds of reports.
const (
	// ServerEnded is a server that ended while it ran the request.
	ServerEnded Kind = iota
	// Succeeded is a server that ran the request to a good end.
	Succeeded
	// Withdrawn is a reported end of a server that turned out to live.
	Withdrawn
	// Unstored is an end that a daemon has counted and could not store.
	Unstored
)

// Report is what one daemon tells others about a fingerprint. SentAgo is the time since
// the attempt was sent. Late means that the end was noticed some time after it
// occurred. End is empty in a report that the request Succeeded.
type Report struct {
	Kind        Kind
	Fingerprint Fingerprint
	End         End
	SentAgo     time.Duration
	Late        bool
}

// EndReports returns the reports of one end, one for each fingerprint of the request.
func EndReports(identity Identity, end End, sentAgo time.Duration, late bool) []Report {
	var reports []Report
	for _, fingerprint := range identity.Fingerprints() {
		reports = append(reports, Report{Kind: ServerEnded, Fingerprint: fingerprint, End: end, SentAgo: sentAgo, Late: late})
	}
	return reports
}
