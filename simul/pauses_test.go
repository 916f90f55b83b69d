package simul_test

import (
	"testing"
	"time"

	"dandeliondoor/simul"
)

// allowedInPause is the platform's limit for the requests of one daemon that reach a server
// in a pause that it has asked that daemon for.
const allowedInPause = 2

// When the servers want no requests, and by how much shares and counts may differ.
const (
	pausesBegin     = 8 * time.Second
	pausesEnd       = 14 * time.Second
	shareTolerance  = 0.03
	classTolerance  = 0.05
	failedTolerance = 5
)

// fishery returns the load of a small service in which a share of the servers wants no
// requests for a while: 20 servers, 100 requests a second, 3 tenths of the capacity.
func fishery(share float64, retryAfter time.Duration) simul.Load {
	load := simul.Defaults()
	load.Servers, load.Daemons, load.Zones, load.Length = 20, 6, 2, 24*time.Second
	load.Health.UnhealthyShare = 0
	booking := simul.Class{
		Name: "booking", Rate: 75, Work: 200 * time.Millisecond,
		Objective: 1200 * time.Millisecond, Deadline: 3 * time.Second, Attempts: 2,
	}
	lookup := booking
	lookup.Name, lookup.Rate, lookup.Work, lookup.Idempotent, lookup.Priority = "lookup", 25, 100*time.Millisecond, true, 1
	load.Classes = []simul.Class{booking, lookup}
	load.Pauses = []simul.Pause{{At: pausesBegin, For: pausesEnd - pausesBegin, Share: share, RetryAfter: retryAfter}}
	return load
}

// TestManyPauses guards against requests to servers in their pauses, and against pauses of
// many servers that take more from callers than the capacity of these servers.
func TestManyPauses(t *testing.T) {
	t.Parallel()
	for _, test := range []struct {
		name       string
		share      float64
		retryAfter time.Duration
	}{
		{name: "all", share: 1, retryAfter: 2 * time.Second},
		{name: "all but two", share: 0.9, retryAfter: 2 * time.Second},
		{name: "all but two, short pauses", share: 0.9, retryAfter: 800 * time.Millisecond},
		{name: "half", share: 0.5, retryAfter: 2 * time.Second},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			load := fishery(test.share, test.retryAfter)
			heeded := simul.Run(epoch, load)
			load.IgnorePauses = true
			ignored := simul.Run(epoch, load)
			checkInPause(t, heeded, ignored)
			checkShares(t, heeded, test.share)
		})
	}
}

// checkInPause checks that the servers' pauses are heeded, and that callers wait less for
// requests that can't be served than without that.
func checkInPause(t *testing.T, heeded, ignored *simul.Report) {
	t.Helper()
	t.Logf("in one pause at most %d requests, %d if pauses are ignored", heeded.MostInPause, ignored.MostInPause)
	if heeded.MostInPause > allowedInPause {
		t.Errorf("%d requests in a pause, want at most %d", heeded.MostInPause, allowedInPause)
	}
	if ignored.MostInPause <= allowedInPause {
		t.Errorf("%d requests in a pause if pauses are ignored, which proves nothing", ignored.MostInPause)
	}
	before, after := ignored.Total(), heeded.Total()
	if after.Refusals > before.Refusals || after.Failed > before.Failed+failedTolerance {
		t.Errorf("%d refused and %d without an answer in time, %d and %d if pauses are ignored",
			after.Refusals, after.Failed, before.Refusals, before.Failed)
	}
}

// checkShares checks that the share of the requests that are served is that of the
// servers' capacity during the pauses, and soon after them that of before, in each class.
func checkShares(t *testing.T, report *simul.Report, paused float64) {
	t.Helper()
	before := report.Served(2*time.Second, pausesBegin)
	// Later requests may wait for the end of the pauses.
	during := report.Served(pausesBegin, pausesBegin+3*time.Second)
	after := report.Served(pausesEnd+2*time.Second, pausesEnd+7*time.Second)
	possible := min((1-paused)/report.Load(), 1) * before
	t.Logf("served before %.3f, during %.3f of at most %.3f, after %.3f", before, during, possible, after)
	if during < possible-shareTolerance {
		t.Errorf("%.3f served during the pauses, want %.3f", during, possible)
	}
	if after < before-shareTolerance {
		t.Errorf("%.3f served after the pauses, want %.3f", after, before)
	}
	total := report.Total()
	share := float64(total.InTime+total.Late) / float64(total.Owed)
	for _, c := range report.Classes {
		if served := float64(c.InTime+c.Late) / float64(c.Owed); served < share-classTolerance {
			t.Errorf("%.3f of class %s served, %.3f of all", served, c.Name, share)
		}
	}
}
