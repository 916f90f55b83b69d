package broker_test

import (
	"testing"
	"time"

	"dandeliondoor/broker"
	"dandeliondoor/model"
)

// TestSlotsTarget checks the performance targets on a shorter run of the benchmark
// workload: at load 0.9, the 99th percentile wait of short requests is at most a
// tenth of that with two random choices, and no request is refused.
func TestSlotsTarget(t *testing.T) {
	t.Parallel()
	const length, warm = 60 * time.Second, 10 * time.Second
	w := catalogueWorkload(20261204)
	load := func(time.Duration) float64 { return 0.9 }
	baseline, jobs := w.jobs(length, load), w.jobs(length, load)
	simulate(w, newTwoChoices(w, false), baseline, length)
	simulate(w, newBrokerChooser(w, broker.LongByDemand{}), jobs, length)
	baselineP99 := quantile(waits(baseline, model.ClassShort, warm, length), 0.99)
	brokerP99 := quantile(waits(jobs, model.ClassShort, warm, length), 0.99)
	if brokerP99 > baselineP99/10 {
		t.Errorf("p99 wait of short requests is %.1f ms, more than a tenth of %.1f ms with two random choices", brokerP99, baselineP99)
	}
	if count := countRefused(jobs); count > 0 {
		t.Errorf("%d requests refused below capacity", count)
	}
}

// TestSurgeTarget checks the performance targets for a load surge: at least 95% of
// the capacity is used for requests that are answered before their deadlines, 99%
// of refusals take at most 50 ms, and waits are back to normal within 2 s.
func TestSurgeTarget(t *testing.T) {
	t.Parallel()
	const length = 50 * time.Second
	w := catalogueWorkload(20261204)
	jobs := w.jobs(length, surgeLoad)
	simulate(w, newBrokerChooser(w, broker.LongByDemand{}), jobs, length)
	result := measureSurge(w, jobs)
	if result.capacityInTime < 0.95 {
		t.Errorf("fraction of the capacity answered in time is %.3f, want at least 0.95", result.capacityInTime)
	}
	if result.refusalP99 > 50 {
		t.Errorf("p99 time to refusal is %.1f ms, want at most 50 ms", result.refusalP99)
	}
	if result.recovery > 2*time.Second {
		t.Errorf("waits are back to normal %s after the surge, want at most 2s", result.recovery)
	}
}
