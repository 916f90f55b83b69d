package broker_test

import (
	"testing"
	"time"

	"dandeliondoor/broker"
	"dandeliondoor/model"
)

// TestSlotsTarget holds the stated targets on a short run of the measured
// workload: at load 0.9 the 99th percentile wait of short work is at most a
// tenth of that of two random choices, and no long work is refused.
func TestSlotsTarget(t *testing.T) {
	t.Parallel()
	const length, warm = 60 * time.Second, 10 * time.Second
	w := market(20261204)
	load := func(time.Duration) float64 { return 0.9 }
	baseline, jobs := w.jobs(length, load), w.jobs(length, load)
	simulate(w, newAlone(w, false), baseline, length)
	simulate(w, newBrokered(w, broker.LongByDemand{}), jobs, length)
	two := quantile(waits(baseline, model.ClassShort, warm, length), 0.99)
	own := quantile(waits(jobs, model.ClassShort, warm, length), 0.99)
	if own > two/10 {
		t.Errorf("p99 wait of short work is %.1f ms, two random choices have %.1f ms", own, two)
	}
	if count := refused(jobs); count > 0 {
		t.Errorf("%d requests refused below capacity", count)
	}
}

// TestCrestTarget holds the stated targets of a crest: 95% of the capacity is
// answered in time, refusals come within 50 ms, and 2 s later all is normal.
func TestCrestTarget(t *testing.T) {
	t.Parallel()
	const length = 50 * time.Second
	w := market(20261204)
	jobs := w.jobs(length, crestLoad)
	simulate(w, newBrokered(w, broker.LongByDemand{}), jobs, length)
	crest := measureCrest(w, jobs)
	if crest.capacityInTime < 0.95 {
		t.Errorf("%.3f of the capacity answered in time", crest.capacityInTime)
	}
	if crest.refusalP99 > 50 {
		t.Errorf("p99 of refusals after %.1f ms", crest.refusalP99)
	}
	if crest.recovery > 2*time.Second {
		t.Errorf("waits are normal %s after the crest", crest.recovery)
	}
}
