package crash

import "time"

const (
	// silenceRetention is how long an attempt without a response, or the end of a
	// server, waits for the other one to become known. A server's entry is removed
	// after some missed heartbeats.
	silenceRetention = 8 * time.Second
	maxSilent        = 8192
)

// silentAttempt is an attempt that got no response and whose server may have ended.
type silentAttempt struct {
	identity  Identity
	end       End
	sentAt    time.Time
	learnedAt time.Time
}

// Silent records an attempt that got no complete response. It returns the reports of an
// end if the server is known to have ended.
func (c *Counter) Silent(now time.Time, identity Identity, end End, sentAgo time.Duration) []Report {
	attempt := silentAttempt{identity: identity, end: end, sentAt: now.Add(-sentAgo), learnedAt: now}
	key := incarnation{server: end.Server, born: end.Born}
	if _, known := c.ended[key]; known {
		return attempt.reports(now)
	}
	if c.silents < maxSilent {
		c.silent[key] = append(c.silent[key], attempt)
		c.silents++
	}
	return nil
}

// EndServer records that a server is gone without notice, or was started again. It
// returns the reports of the attempts that got no response from it, unless it responded
// to a request that was sent after they were given up.
func (c *Counter) EndServer(now time.Time, server string, born int64) []Report {
	key := incarnation{server: server, born: born}
	c.ended[key] = now
	var reports []Report
	for _, attempt := range c.silent[key] {
		if now.Sub(attempt.learnedAt) <= silenceRetention && !c.alive[key].After(attempt.learnedAt) {
			reports = append(reports, attempt.reports(now)...)
		}
	}
	c.silents -= len(c.silent[key])
	delete(c.silent, key)
	return reports
}

func (a silentAttempt) reports(now time.Time) []Report {
	return EndReports(a.identity, a.end, now.Sub(a.sentAt), true)
}
