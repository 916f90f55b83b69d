package slots_test

import (
	"fmt"
	"testing"
	"time"

	"dandeliondoor/choose"
	"dandeliondoor/feed"
	"dandeliondoor/slots"
	"dandeliondoor/topo"
)

// TestHandOver lets two brokers of a part and the fallbacks of all daemons act at the
// same time, as around a hand-over. Together they must stay within the platform's
// limit of retries, of which each broker may use three tenths of the slack.
func TestHandOver(t *testing.T) {
	t.Parallel()
	for _, test := range []struct {
		name    string
		daemons int
		slack   float64
	}{
		{name: "few daemons", daemons: 48, slack: 64},
		{name: "hundreds of daemons", daemons: 443, slack: 630},
		{name: "thousands of daemons", daemons: 4100, slack: 5800},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			const slackShare = 0.3
			limits := choose.RetryLimits{Ratio: 0.2, Window: 10 * time.Second, Slack: slackShare * test.slack}
			now := time.Now()
			view := newView(make([]topo.Daemon, test.daemons), newServer("i-1"))
			retries := 0
			for i := range 2 {
				retries += takeRetries(now, slots.NewBroker(limits, uint64(i)), view, fmt.Sprintf("broker-%d", i))
			}
			for i := range test.daemons {
				retries += takeRetries(now, slots.NewFallback(limits, uint64(i)), view, fmt.Sprintf("front-%d", i))
			}
			if float64(retries) > test.slack {
				t.Errorf("%d retries without any requests, more than %g", retries, test.slack)
			}
		})
	}
}

// takeRetries asks a broker for retries until it refuses, and returns their number.
func takeRetries(now time.Time, broker *slots.Broker, view *feed.View, daemon string) int {
	broker.SetView(now, view)
	key := slots.PoolKey{Service: service, Parts: 1}
	for count := 0; ; count++ {
		ticket := uint64(count + 1)
		decision := broker.Ask(now, slots.AskRequest{Pool: key, Ask: choose.Ask{Daemon: daemon, Ticket: ticket, Left: time.Minute, Repeat: true}})
		if _, isGranted := decision.(choose.Granted); !isGranted {
			return count
		}
		broker.Release(now, slots.ReleaseRequest{Pool: key, Release: choose.Release{
			Daemon: daemon, Ticket: ticket, Server: "i-1", Outcome: choose.Cancelled, Running: -1,
		}})
	}
}
