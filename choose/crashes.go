package choose

import (
	"time"

	"dandeliondoor/crash"
)

// The rule for requests that crash the servers that run them.
const (
	// crashLimit is how many connections in a row a content may lose before it
	// is refused.
	crashLimit = 3
	// crashPeriod is how long a content is remembered after its last loss.
	crashPeriod = 20 * time.Second
	maxContents = 1024
)

// crashes remembers contents whose requests lost their connection each time.
type crashes struct {
	lost map[crash.Fingerprint]losses
}

type losses struct {
	count int
	until time.Time
}

// refuses reports whether a content has lost so many connections in a row that
// no further server should get it.
func (c *crashes) refuses(now time.Time, content crash.Fingerprint) bool {
	found, known := c.lost[content]
	return known && found.count >= crashLimit && now.Before(found.until)
}

// note takes the outcome of a request.
func (c *crashes) note(now time.Time, content crash.Fingerprint, outcome Outcome) {
	switch {
	case content == 0:
	case outcome == Served || outcome == Failed:
		delete(c.lost, content)
	case outcome == ConnectionLost:
		c.lose(now, content)
	}
}

func (c *crashes) lose(now time.Time, content crash.Fingerprint) {
	if c.lost == nil || len(c.lost) >= maxContents {
		c.lost = make(map[crash.Fingerprint]losses)
	}
	found := c.lost[content]
	if !now.Before(found.until) {
		found.count = 0
	}
	c.lost[content] = losses{count: found.count + 1, until: now.Add(crashPeriod)}
}
