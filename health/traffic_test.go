package health_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"dandeliondoor/health"
)

// epoch is the start of simulated time.
var epoch = time.Date(2026, 8, 1, 0, 0, 0, 0, time.UTC)

// The pool that all tests and benchmarks simulate: 7 upstreams with 3 slots each,
// used by 48 daemons, at a normal rate of 40 requests per second and upstream.
const (
	poolSize     = 7
	poolSlots    = 3
	reporters    = 48
	normalRate   = 40.0
	meanLatency  = 0.020
	latencySigma = 0.5
)

// behaviour is how an upstream responds at some point in time. Its first
// cutReporters reporters cannot reach it.
type behaviour struct {
	failureRate  float64
	slowFactor   float64
	cutReporters int
}

// detector is an outlier detector under test, either health.Tracker or a simpler
// one for comparison.
type detector interface {
	observe(now time.Time, sample health.Sample)
	tick(now time.Time)
	inUse(upstream int) bool
}

// tracked is a detector that wraps a health.Tracker and records its ejections.
type tracked struct {
	*health.Tracker
	ejected       []ejection
	floorsReached int
	names         []string
	lastTick      time.Time
	minCapacity   int
}

type ejection struct {
	upstream string
	cause    health.Cause
	at       time.Time
}

func upstreamName(i int) string { return fmt.Sprintf("souk-%02d", i) }

func newTracked(floor int) *tracked {
	t := &tracked{Tracker: health.NewTracker(floor), minCapacity: math.MaxInt}
	for i := range poolSize {
		t.names = append(t.names, upstreamName(i))
		t.Add(epoch, upstreamName(i), poolSlots, false)
	}
	return t
}

func (t *tracked) observe(now time.Time, sample health.Sample) {
	for _, verdict := range t.Observe(now, sample) {
		switch verdict := verdict.(type) {
		case health.Ejected:
			t.ejected = append(t.ejected, ejection{upstream: verdict.Upstream, cause: verdict.Cause, at: now})
		case health.FloorReached:
			t.floorsReached++
		}
	}
	t.minCapacity = min(t.minCapacity, t.Capacity())
}

func (t *tracked) tick(now time.Time) {
	if now.Sub(t.lastTick) >= 20*time.Millisecond {
		t.lastTick = now
		t.Tick(now)
	}
}

func (t *tracked) inUse(upstream int) bool {
	return t.State(t.names[upstream]) != health.Out
}

// consecutive is a detector that ejects an upstream for 30 s after limit
// consecutive failures.
type consecutive struct {
	limit         int
	failuresInRow [poolSize]int
	until         [poolSize]time.Time
	now           time.Time
	ejected       int
}

func (c *consecutive) observe(now time.Time, sample health.Sample) {
	i := indexOf(sample.Upstream)
	if sample.Outcome == health.Success {
		c.failuresInRow[i] = 0
		return
	}
	c.failuresInRow[i]++
	if c.failuresInRow[i] >= c.limit {
		c.failuresInRow[i] = 0
		c.until[i] = now.Add(30 * time.Second)
		c.ejected++
	}
}
func (c *consecutive) tick(now time.Time)      { c.now = now }
func (c *consecutive) inUse(upstream int) bool { return !c.now.Before(c.until[upstream]) }

// windowed is a detector that ejects an upstream for 30 s if at least minRequests
// requests ended within a fixed window and more than maxFailureRate of them
// failed.
type windowed struct {
	window         time.Duration
	maxFailureRate float64
	minRequests    int
	start          [poolSize]time.Time
	failed         [poolSize]int
	count          [poolSize]int
	until          [poolSize]time.Time
	now            time.Time
	ejected        int
}

func (w *windowed) observe(now time.Time, sample health.Sample) {
	i := indexOf(sample.Upstream)
	if now.Sub(w.start[i]) >= w.window {
		if w.count[i] >= w.minRequests && float64(w.failed[i]) > w.maxFailureRate*float64(w.count[i]) {
			w.until[i] = now.Add(30 * time.Second)
			w.ejected++
		}
		w.start[i], w.failed[i], w.count[i] = now, 0, 0
	}
	w.count[i]++
	if sample.Outcome != health.Success {
		w.failed[i]++
	}
}
func (w *windowed) tick(now time.Time)      { w.now = now }
func (w *windowed) inUse(upstream int) bool { return !w.now.Before(w.until[upstream]) }

func indexOf(upstream string) int {
	var i int
	_, _ = fmt.Sscanf(upstream, "souk-%02d", &i)
	return i
}

// traffic generates a stream of finished requests.
type traffic struct {
	random        *rand.Rand
	now           time.Time
	names         []string
	reporterNames []string
	pauses        []time.Time
	bursts        []int
	// noisy adds pauses, bursts of failures, servers of different speed and load
	// peaks.
	noisy bool
}

func newTraffic(seed uint64, noisy bool) *traffic {
	t := &traffic{random: rand.New(rand.NewPCG(seed, 3)), now: epoch, noisy: noisy}
	for i := range poolSize {
		t.names = append(t.names, upstreamName(i))
	}
	for i := range reporters {
		t.reporterNames = append(t.reporterNames, fmt.Sprintf("daemon-%02d", i))
	}
	t.pauses, t.bursts = make([]time.Time, poolSize), make([]int, poolSize)
	return t
}

// The noise of healthy servers: 0.3% of requests fail independently, each server
// pauses for 150 ms about every 30 s and fails 3 consecutive requests about every
// 10 minutes, servers differ in latency by up to 30%, and every hour the whole
// pool is 3 times slower for 5 minutes while the load triples.
const (
	isolatedFailureRate = 0.003
	pauseInterval       = 30.0
	pauseLength         = 150 * time.Millisecond
	burstInterval       = 600.0
	burstLength         = 3
	serverSpread        = 0.3
	peakInterval        = time.Hour
	peakLength          = 5 * time.Minute
	peakFactor          = 3
)

func (t *traffic) isPeak() bool {
	return t.noisy && t.now.Sub(epoch)%peakInterval < peakLength
}

// next returns the next finished request. Upstreams that are out of use get none,
// and a slow upstream takes no more than its slots allow.
func (t *traffic) next(d detector, behave func(upstream int, now time.Time) behaviour) (health.Sample, bool) {
	rate := normalRate * poolSize
	if t.isPeak() {
		rate *= peakFactor
	}
	t.now = t.now.Add(time.Duration(t.random.ExpFloat64() / rate * float64(time.Second)))
	d.tick(t.now)
	i := t.random.IntN(poolSize)
	if !d.inUse(i) {
		return health.Sample{}, false
	}
	b := behave(i, t.now)
	mean := meanLatency * max(b.slowFactor, 1)
	if t.noisy {
		mean *= 1 + serverSpread*float64(i)/poolSize
	}
	if t.isPeak() {
		mean *= peakFactor
	}
	if capacityRate := poolSlots / mean; capacityRate < normalRate && t.random.Float64() > capacityRate/normalRate {
		return health.Sample{}, false
	}
	reporter := t.random.IntN(reporters)
	sample := health.Sample{
		Upstream: t.names[i], Reporter: t.reporterNames[reporter], Route: "lots",
		Duration: time.Duration(mean * math.Exp(latencySigma*t.random.NormFloat64()) * float64(time.Second)),
	}
	if t.noisy {
		t.addNoise(i, rate/poolSize, &sample)
	}
	switch {
	case b.cutReporters > 0 && reporter < b.cutReporters:
		sample.Outcome = health.Unreachable
	case t.random.Float64() < b.failureRate:
		sample.Outcome = health.Failed
	}
	return sample, true
}

// addNoise adds the noise of a healthy server to one request.
func (t *traffic) addNoise(i int, rate float64, sample *health.Sample) {
	if t.random.Float64() < 1/(pauseInterval*rate) {
		t.pauses[i] = t.now.Add(pauseLength)
	}
	if t.now.Before(t.pauses[i]) {
		sample.Duration += time.Duration(t.random.Float64() * float64(pauseLength))
	}
	if t.random.Float64() < 1/(burstInterval*rate) {
		t.bursts[i] = burstLength
	}
	if t.bursts[i] > 0 {
		t.bursts[i]--
		sample.Outcome = health.Failed
	}
	if t.random.Float64() < isolatedFailureRate {
		sample.Outcome = health.Failed
	}
}

// healthy is the behaviour of upstreams without a fault.
func healthy(int, time.Time) behaviour { return behaviour{} }

// faultyFrom makes the first upstream faulty after a warm-up.
func faultyFrom(warmUp time.Duration, faulty behaviour) func(int, time.Time) behaviour {
	return func(upstream int, now time.Time) behaviour {
		if upstream == 0 && now.Sub(epoch) >= warmUp {
			return faulty
		}
		return behaviour{}
	}
}

// detection is how long and how many of its own requests it took until the first
// upstream was taken out of use; found is false if it never was.
type detection struct {
	found    bool
	after    time.Duration
	requests int
}

func detect(d detector, seed uint64, noisy bool, faulty behaviour, limit time.Duration) detection {
	const warmUp = 60 * time.Second
	t := newTraffic(seed, noisy)
	if noisy {
		// Start after the first load peak, since the targets are for normal load.
		t.now = epoch.Add(peakLength + time.Minute)
	}
	begin := t.now.Sub(epoch) + warmUp
	behave := faultyFrom(begin, faulty)
	requests := 0
	for t.now.Sub(epoch) < begin+limit {
		sample, sent := t.next(d, behave)
		if !sent {
			continue
		}
		isFaulty := sample.Upstream == t.names[0] && t.now.Sub(epoch) >= begin
		if isFaulty {
			requests++
		}
		d.observe(t.now, sample)
		if isFaulty && !d.inUse(0) {
			return detection{found: true, after: t.now.Sub(epoch) - begin, requests: requests}
		}
	}
	return detection{requests: requests}
}
