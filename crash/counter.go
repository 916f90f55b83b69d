package crash

import (
	"cmp"
	"hash/maphash"
	"maps"
	"math"
	"slices"
	"time"
)

// Limits of the counts and of what a Counter remembers.
const (
	// MaxEnds is the number of servers that a request may end before it is refused, unless
	// counts were lost.
	MaxEnds = 3
	// maxTests is how many tests are made of a refused request while it is remembered.
	maxTests = 3
	// maxEndsAfterLoss and maxTestsAfterLoss replace them after a loss of all counts. The request
	// may have ended MaxEnds servers before, so that their sum is maxTests.
	maxEndsAfterLoss  = 2
	maxTestsAfterLoss = 1
	// maxKnownEnds bounds the ends that are kept of one fingerprint, and
	// maxWithdrawn those that were withdrawn.
	maxKnownEnds = 8
	maxWithdrawn = 16
	// maxCounts bounds the fingerprints. At the bound, evictedShare of them goes:
	// those with the fewest ends, the oldest first.
	maxCounts    = 8192
	evictedShare = 8
	// countRetention is how long a fingerprint is remembered after its last end.
	countRetention = 48 * time.Hour
	// copyWait is the advised wait when other copies of a suspected request run.
	copyWait = time.Second
	// minRestartTime is shorter than any restart of a server, so that a response
	// within it proves that the server did not end.
	minRestartTime = 500 * time.Millisecond
)

// refusalPeriods are how long a request is refused before each of its tests. A single copy
// tests after each period whether it still ends servers. The first one is short for the
// callers that met an outage with another cause. After the last test, the request is refused
// until it is forgotten.
var refusalPeriods = [maxTests]time.Duration{8 * time.Second, 5 * time.Minute, 5 * time.Hour}

// refusalSpread is by how much the periods of different processes differ at most, as a
// share, so that their tests of one request don't coincide.
const refusalSpread = 0.3

// burstTime is how long after a refusal began further ends are of copies that were sent
// before it, and not of a test.
const burstTime = 5 * time.Second

// incarnation is one start of a server.
type incarnation struct {
	server string
	born   int64
}

// knownEnd is an end with what this process knows about it. Reported is set if a daemon
// reported it, and stored if the fleet's record lists it.
type knownEnd struct {
	End

	sentAt    time.Time
	learnedAt time.Time
	late      bool
	reported  bool
	stored    bool
}

// count is what is known of one fingerprint. RefusedAt is when the present period of
// refusal began, and tests how many have been made, here or elsewhere. EarlierAt is when the
// period before the last test of this process began, which was admitted at testedAt.
// AfterLoss is Record.AfterLoss as stored.
type count struct {
	ends      []knownEnd
	withdrawn []Attempt
	lastAt    time.Time
	tests     int
	refusedAt time.Time
	testedAt  time.Time
	earlierAt time.Time
	afterLoss int
}

// Counter counts the servers that ended while they ran the same request, and decides
// whether the request may be sent once more. It is not safe for concurrent use.
type Counter struct {
	seed     maphash.Seed
	counts   map[Fingerprint]*count
	suspects map[incarnation]map[Fingerprint]struct{}
	silent   map[incarnation][]silentAttempt
	silents  int
	ended    map[incarnation]time.Time
	alive    map[incarnation]time.Time

	rememberedSince time.Time
}

// NewCounter returns a Counter without ends.
func NewCounter() *Counter {
	return &Counter{
		seed:     maphash.MakeSeed(),
		counts:   make(map[Fingerprint]*count),
		suspects: make(map[incarnation]map[Fingerprint]struct{}),
		silent:   make(map[incarnation][]silentAttempt),
		ended:    make(map[incarnation]time.Time),
		alive:    make(map[incarnation]time.Time),
	}
}

// Ends returns the number of servers that ended while they ran a request.
func (c *Counter) Ends(fingerprint Fingerprint) int {
	if found, known := c.counts[fingerprint]; known {
		return len(found.ends)
	}
	return 0
}

// IsConfirmed reports whether a request has ended so many servers that it is refused, up to
// single tests.
func (c *Counter) IsConfirmed(fingerprint Fingerprint) bool {
	found, known := c.counts[fingerprint]
	return known && c.isConfirmed(found)
}

func (c *Counter) isConfirmed(found *count) bool { return len(found.ends) >= c.limitsOf(found).ends }

// limits are how many servers a request may end before it is refused, and how many tests are
// made then.
type limits struct{ ends, tests int }

func (c *Counter) limitsOf(found *count) limits {
	if !c.isAfterLoss(found) {
		return limits{ends: MaxEnds, tests: maxTests}
	}
	return limits{ends: maxEndsAfterLoss, tests: min(max(maxTests-c.endsAfterLoss(found), 0), maxTestsAfterLoss)}
}

// RememberSince sets the time since which the fleet has lost no counts: the start of its oldest
// daemon, or zero if it never has. It must not be later than in an earlier call.
func (c *Counter) RememberSince(since time.Time) {
	if c.rememberedSince.Equal(since) {
		return
	}
	c.rememberedSince = since
	for _, found := range c.counts {
		if !c.isConfirmed(found) {
			found.refusedAt = time.Time{}
		}
	}
}

// isLossRecent reports whether the fleet may have forgotten, at a time, ends that it would still
// remember otherwise.
func (c *Counter) isLossRecent(at time.Time) bool {
	return at.Before(c.rememberedSince.Add(countRetention))
}

// isAfterLoss reports whether ends of a request may have been forgotten.
func (c *Counter) isAfterLoss(found *count) bool {
	return found.afterLoss > 0 || (len(found.ends) > 0 && c.isLossRecent(found.ends[0].learnedAt))
}

// endsAfterLoss returns the number of ends that were counted soon after a loss of all counts.
func (c *Counter) endsAfterLoss(found *count) int {
	ends := found.afterLoss
	for _, end := range found.ends {
		if !end.stored && c.isLossRecent(end.learnedAt) {
			ends++
		}
	}
	return ends
}

// Record returns what is known of a fingerprint.
func (c *Counter) Record(fingerprint Fingerprint) Record {
	var record Record
	if found, known := c.counts[fingerprint]; known {
		record.Tests, record.AfterLoss = found.tests, c.endsAfterLoss(found)
		for _, end := range found.ends {
			record.Ends = append(record.Ends, end.End)
		}
	}
	return record
}

// Suspects reports whether a request has ended servers.
func (c *Counter) Suspects(identity Identity) bool {
	return slices.ContainsFunc(identity.Fingerprints(), func(f Fingerprint) bool { return c.Ends(f) > 0 })
}

// Admit reports whether a request may be sent to a server, and otherwise how long to
// wait. A request that could end the last allowed server has only one copy under way;
// then it is refused, up to single tests. InFlight counts the copies.
func (c *Counter) Admit(now time.Time, identity Identity, inFlight func(fingerprint Fingerprint) int) (wait time.Duration, admitted bool) {
	var tested []Fingerprint
	for _, fingerprint := range identity.Fingerprints() {
		found, known := c.counts[fingerprint]
		if !known || now.Sub(found.lastAt) > countRetention {
			continue
		}
		limits := c.limitsOf(found)
		if len(found.ends) < limits.ends-1 {
			continue
		}
		refused := len(found.ends) >= limits.ends
		if until := c.refusedUntil(fingerprint, found); refused && (now.Before(until) || found.tests >= limits.tests) {
			return max(until.Sub(now), copyWait), false
		}
		// Other callers may send the same content, and mostly with success.
		if (refused || !fingerprint.Shared()) && inFlight(fingerprint) > 0 {
			return copyWait, false
		}
		if refused {
			tested = append(tested, fingerprint)
		}
	}
	for _, fingerprint := range tested {
		found := c.counts[fingerprint]
		found.testedAt, found.earlierAt = now, found.refusedAt
		found.tests++
		found.refusedAt = now
	}
	return 0, true
}

// Withdraw takes back the tests of a request that was admitted at some time and then not sent
// to any server.
func (c *Counter) Withdraw(admittedAt time.Time, identity Identity) {
	for _, fingerprint := range identity.Fingerprints() {
		found, known := c.counts[fingerprint]
		if !known || !found.testedAt.Equal(admittedAt) || !found.refusedAt.Equal(admittedAt) {
			continue
		}
		found.testedAt = time.Time{}
		found.tests--
		found.refusedAt = found.earlierAt
	}
}

// Refused returns how long a request is refused, whatever copies of it run; 0 if it is
// not.
func (c *Counter) Refused(now time.Time, identity Identity) time.Duration {
	var longest time.Duration
	for _, fingerprint := range identity.Fingerprints() {
		if found, known := c.counts[fingerprint]; known && c.isConfirmed(found) {
			longest = max(longest, c.refusedUntil(fingerprint, found).Sub(now))
		}
	}
	return longest
}

// refusedUntil returns the end of the present period of refusal.
func (c *Counter) refusedUntil(fingerprint Fingerprint, found *count) time.Time {
	period := countRetention
	if found.tests < c.limitsOf(found).tests {
		period = refusalPeriods[found.tests]
	}
	spread := refusalSpread * float64(maphash.Comparable(c.seed, fingerprint)) / math.MaxUint64
	return found.refusedAt.Add(time.Duration(period.Seconds() * (1 + spread) * float64(time.Second)))
}

// Apply applies a report and returns the change.
func (c *Counter) Apply(now time.Time, report Report) Observation {
	change := ChangeNone
	switch report.Kind {
	case ServerEnded:
		change = c.add(now, report.Fingerprint, knownEnd{
			End: report.End, sentAt: now.Add(-report.SentAgo), learnedAt: now, late: report.Late, reported: true,
		})
	case Unstored:
		change = c.add(now, report.Fingerprint, knownEnd{End: report.End, sentAt: now, learnedAt: now, late: true})
	case Succeeded:
		if c.clear(report.Fingerprint) {
			change = ChangeCleared
		}
	case Withdrawn:
		if c.withdraw(now, report.Fingerprint, report.End) {
			change = ChangeWithdrawn
		}
	}
	return Observation{Fingerprint: report.Fingerprint, Change: change, Count: c.Ends(report.Fingerprint)}
}

// add adds an end unless it is known or withdrawn.
func (c *Counter) add(now time.Time, fingerprint Fingerprint, end knownEnd) Change {
	if fingerprint == 0 {
		return ChangeNone
	}
	found, known := c.counts[fingerprint]
	if !known {
		c.makeRoom(now)
		found = &count{}
		c.counts[fingerprint] = found
	}
	at := slices.IndexFunc(found.ends, func(k knownEnd) bool { return k.Attempt == end.Attempt })
	switch {
	case at >= 0:
		found.ends[at].reported = found.ends[at].reported || end.reported
		found.ends[at].stored = found.ends[at].stored || end.stored
		return ChangeNone
	case slices.Contains(found.withdrawn, end.Attempt), found.coincides(end, fingerprint.Shared()):
		return ChangeNone
	}
	found.ends = append(found.ends, end)
	if len(found.ends) > maxKnownEnds {
		c.unindex(fingerprint, found.ends[0])
		found.ends = slices.Delete(found.ends, 0, 1)
	}
	key := incarnation{server: end.Server, born: end.Born}
	if c.suspects[key] == nil {
		c.suspects[key] = make(map[Fingerprint]struct{})
	}
	c.suspects[key][fingerprint] = struct{}{}
	found.lastAt = now
	c.refuseAfterEnd(now, found)
	return ChangeCounted
}

// refuseAfterEnd begins a refusal if there are enough ends. An end that comes long after
// the last one began is of a test, made by this process or another one.
func (c *Counter) refuseAfterEnd(now time.Time, found *count) {
	switch {
	case !c.isConfirmed(found):
	case found.refusedAt.IsZero():
		found.refusedAt = now
	case now.Sub(found.refusedAt) > burstTime:
		found.tests++
		found.refusedAt = now
	}
}

// coincides reports whether the attempt of an end was under way when an earlier end of
// the same server, or of any server if that is asked for, was noticed. A server that ends
// ends all copies that it runs, and servers that end together many of what several
// callers send.
func (c *count) coincides(end knownEnd, anyServer bool) bool {
	return end.reported && slices.ContainsFunc(c.ends, func(k knownEnd) bool {
		sameServer := k.Server == end.Server && k.Born == end.Born
		return (anyServer || sameServer) && !end.sentAt.After(k.learnedAt)
	})
}

// withdraw removes an end and remembers it, since other daemons may report it later.
func (c *Counter) withdraw(now time.Time, fingerprint Fingerprint, end End) bool {
	found, known := c.counts[fingerprint]
	if !known {
		// The report of the end may be processed after its withdrawal.
		c.makeRoom(now)
		found = &count{lastAt: now}
		c.counts[fingerprint] = found
	}
	found.forget(end.Attempt)
	return c.removeEnds(fingerprint, found, func(k knownEnd) bool { return k.Attempt == end.Attempt })
}

// clear removes all ends of a fingerprint after a success, and reports whether there were
// any. They are remembered, since the fleet's record lists them for a while.
func (c *Counter) clear(fingerprint Fingerprint) bool {
	found, known := c.counts[fingerprint]
	if !known {
		return false
	}
	for _, end := range found.ends {
		found.forget(end.Attempt)
	}
	found.tests = 0
	return c.removeEnds(fingerprint, found, func(knownEnd) bool { return true })
}

// forget remembers that the end of an attempt does not count.
func (c *count) forget(attempt Attempt) {
	if !slices.Contains(c.withdrawn, attempt) {
		c.withdrawn = append(c.withdrawn, attempt)
		c.withdrawn = c.withdrawn[max(len(c.withdrawn)-maxWithdrawn, 0):]
	}
}

// removeEnds removes the ends that match and reports whether there were any.
func (c *Counter) removeEnds(fingerprint Fingerprint, found *count, matches func(end knownEnd) bool) bool {
	before := len(found.ends)
	for _, end := range found.ends {
		if matches(end) {
			c.unindex(fingerprint, end)
		}
	}
	found.ends = slices.DeleteFunc(found.ends, matches)
	if len(found.ends) == 0 {
		found.afterLoss = 0
	}
	if !c.isConfirmed(found) {
		found.refusedAt = time.Time{}
	}
	return len(found.ends) < before
}

// remove forgets a fingerprint.
func (c *Counter) remove(fingerprint Fingerprint) {
	if found, known := c.counts[fingerprint]; known {
		for _, end := range found.ends {
			c.unindex(fingerprint, end)
		}
		delete(c.counts, fingerprint)
	}
}

// unindex removes a fingerprint from the suspects of an end's server.
func (c *Counter) unindex(fingerprint Fingerprint, end knownEnd) {
	key := incarnation{server: end.Server, born: end.Born}
	delete(c.suspects[key], fingerprint)
	if len(c.suspects[key]) == 0 {
		delete(c.suspects, key)
	}
}

// makeRoom evicts fingerprints if the table is full: those without recent ends, and
// then those with the fewest ends, the oldest first.
func (c *Counter) makeRoom(now time.Time) {
	if len(c.counts) < maxCounts {
		return
	}
	order := slices.SortedFunc(maps.Keys(c.counts), func(a, b Fingerprint) int {
		x, y := c.counts[a], c.counts[b]
		return cmp.Or(cmp.Compare(len(x.ends), len(y.ends)), x.lastAt.Compare(y.lastAt), cmp.Compare(a, b))
	})
	for i, fingerprint := range order {
		if i < len(order)/evictedShare || now.Sub(c.counts[fingerprint].lastAt) > countRetention {
			c.remove(fingerprint)
		}
	}
}

// SetStored replaces what the fleet has stored. Ends that only the store knew are
// dropped with their record.
func (c *Counter) SetStored(now time.Time, stored map[Fingerprint]Record) {
	for fingerprint, found := range c.counts {
		listed := stored[fingerprint].Ends
		c.removeEnds(fingerprint, found, func(k knownEnd) bool {
			return k.stored && !k.reported && !slices.ContainsFunc(listed, func(e End) bool { return e.Attempt == k.Attempt })
		})
	}
	for fingerprint, record := range stored {
		for _, end := range record.Ends {
			c.add(now, fingerprint, knownEnd{End: end, learnedAt: now, late: true, stored: true})
		}
		found, known := c.counts[fingerprint]
		if !known {
			continue
		}
		if len(found.ends) > 0 {
			found.afterLoss = max(found.afterLoss, record.AfterLoss)
		}
		if c.isConfirmed(found) && (found.refusedAt.IsZero() || record.Tests > found.tests) {
			found.tests, found.refusedAt = max(found.tests, record.Tests), now
		}
	}
}

// Responded returns the reports that withdraw the ends of a server which a response
// proves wrong. It was received over a connection that was opened at openedAt, for a
// request that was sent at sentAt.
func (c *Counter) Responded(now time.Time, server string, born int64, openedAt, sentAt time.Time) []Report {
	key := incarnation{server: server, born: born}
	if sentAt.After(c.alive[key]) {
		c.alive[key] = sentAt
	}
	var reports []Report
	for fingerprint := range c.suspects[key] {
		for _, end := range c.counts[fingerprint].ends {
			if end.Server == server && end.Born == born && end.disproved(now, openedAt, sentAt) {
				reports = append(reports, Report{Kind: Withdrawn, Fingerprint: fingerprint, End: end.End})
			}
		}
	}
	return reports
}

// disproved reports whether a response proves that the server did not end: its request
// was sent after the end was noticed, over a connection that is older than the attempt,
// or so soon after the end that the server cannot have restarted.
func (e knownEnd) disproved(now, openedAt, sentAt time.Time) bool {
	if !e.reported || !sentAt.After(e.learnedAt) {
		return false
	}
	return openedAt.Before(e.sentAt) || (!e.late && now.Sub(e.learnedAt) < minRestartTime)
}

// Fingerprints returns the fingerprints that have ended servers, in ascending order.
func (c *Counter) Fingerprints() []Fingerprint { return slices.Sorted(maps.Keys(c.counts)) }

// Expire drops what is too old and returns the fingerprints that it forgot.
func (c *Counter) Expire(now time.Time) []Fingerprint {
	maps.DeleteFunc(c.ended, func(_ incarnation, at time.Time) bool { return now.Sub(at) > silenceRetention })
	maps.DeleteFunc(c.alive, func(_ incarnation, at time.Time) bool { return now.Sub(at) > silenceRetention })
	for key, attempts := range c.silent {
		kept := slices.DeleteFunc(attempts, func(a silentAttempt) bool { return now.Sub(a.learnedAt) > silenceRetention })
		c.silents -= len(attempts) - len(kept)
		if c.silent[key] = kept; len(kept) == 0 {
			delete(c.silent, key)
		}
	}
	var expired []Fingerprint
	for fingerprint, found := range c.counts {
		if now.Sub(found.lastAt) > countRetention {
			c.remove(fingerprint)
			expired = append(expired, fingerprint)
		}
	}
	return expired
}
