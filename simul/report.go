package simul

import (
	"fmt"
	"io"
	"slices"
	"time"

	"dandeliondoor/costs"
)

// ClassReport counts the requests of a class by their end. Refusals counts each
// refusal, also of requests that were served after their caller returned.
type ClassReport struct {
	Name     string
	Owed     int
	InTime   int
	Late     int
	Refused  int
	Failed   int
	Refusals int

	durations []time.Duration
}

// Quantile returns the duration that a share of the served requests did not exceed.
func (c *ClassReport) Quantile(share float64) time.Duration {
	if len(c.durations) == 0 {
		return 0
	}
	slices.Sort(c.durations)
	return c.durations[min(int(share*float64(len(c.durations))), len(c.durations)-1)]
}

// Report is the result of a run. LowestSpread is the lowest share of the sound
// servers that got a request, over all spans of spreadSpan; a server is sound unless
// a request failed on it in the span or just before. MostInPause is the highest number of
// requests that one daemon sent to one server in a pause that it was asked for.
type Report struct {
	Classes      []*ClassReport
	Accounts     []*ClassReport
	LowestSpread float64
	MostInPause  int
	// Deciles counts, for placement by cost, the observed durations by the tenth of the
	// estimated distribution that they were in.
	Deciles [10]int

	model    *costs.Model
	ratios   []float64
	length   time.Duration
	capacity float64
	work     float64
	arrived  []time.Duration
	unserved []time.Duration
}

func newReport(load *Load) *Report {
	r := &Report{length: load.Length}
	if load.Stop > 0 {
		r.length = min(r.length, load.Stop)
	}
	for _, class := range load.Classes {
		r.Classes = append(r.Classes, &ClassReport{Name: class.Name})
		r.work += class.Rate * class.Work.Seconds()
	}
	r.capacity = float64(load.Servers*load.Slots) * (1 - load.Health.UnhealthyShare)
	return r
}

// account returns the report of an account. Its InTime counts all that were served.
func (r *Report) account(name string) *ClassReport {
	i := slices.IndexFunc(r.Accounts, func(c *ClassReport) bool { return c.Name == name })
	if i < 0 {
		r.Accounts = append(r.Accounts, &ClassReport{Name: name})
		i = len(r.Accounts) - 1
	}
	return r.Accounts[i]
}

// ServedShare returns the share of the requests that were served, in time or late.
func (c *ClassReport) ServedShare() float64 {
	return float64(c.InTime+c.Late) / float64(max(c.Owed, 1))
}

func (r *Report) class(class *Class) *ClassReport {
	i := slices.IndexFunc(r.Classes, func(c *ClassReport) bool { return c.Name == class.Name })
	return r.Classes[i]
}

// compare records the comparison of an estimate with the truth.
func (r *Report) compare(observation costs.Observation) {
	r.Deciles[observation.Decile]++
	r.ratios = append(r.ratios, observation.Ratio)
}

// Ratio returns the ratio of actual to estimated duration that a share of the requests did
// not exceed, 0 without estimates.
func (r *Report) Ratio(share float64) float64 {
	if len(r.ratios) == 0 {
		return 0
	}
	slices.Sort(r.ratios)
	return r.ratios[min(int(share*float64(len(r.ratios))), len(r.ratios)-1)]
}

// Explained returns the share of the variance that each trait explains in a class, for
// placement by cost.
func (r *Report) Explained(class string) [costs.TraitCount]float64 {
	if r.model == nil {
		return [costs.TraitCount]float64{}
	}
	return r.model.Explained(routePrefix + class)
}

// Load returns the offered work as a share of the healthy servers' capacity, without
// bursts.
func (r *Report) Load() float64 { return r.work / r.capacity }

// Total returns the sum of all classes.
func (r *Report) Total() ClassReport {
	total := ClassReport{Name: "all"}
	for _, c := range r.Classes {
		total.Owed += c.Owed
		total.InTime += c.InTime
		total.Late += c.Late
		total.Refused += c.Refused
		total.Failed += c.Failed
		total.Refusals += c.Refusals
		total.durations = append(total.durations, c.durations...)
	}
	return total
}

const (
	// spreadSpan is the length of the spans in which servers are counted, and
	// spreadStep the distance between the starts of two spans.
	spreadSpan = 2 * time.Second
	spreadStep = 250 * time.Millisecond
	// spreadStart is the time that a new pool gets to learn which servers are
	// healthy.
	spreadStart = 6 * time.Second
)

// Served returns the share of the requests of a span that were served.
func (r *Report) Served(from, to time.Duration) float64 {
	arrived, unserved := countWithin(r.arrived, from, to), countWithin(r.unserved, from, to)
	return float64(arrived-unserved) / float64(max(arrived, 1))
}

func countWithin(times []time.Duration, from, to time.Duration) int {
	count := 0
	for _, at := range times {
		if at >= from && at < to {
			count++
		}
	}
	return count
}

// measurePauses sets MostInPause.
func (r *Report) measurePauses(servers []*server) {
	for _, s := range servers {
		for _, pauses := range s.pauses {
			for _, p := range pauses {
				r.MostInPause = max(r.MostInPause, p.requests)
			}
		}
	}
}

// measureSpread sets LowestSpread.
func (r *Report) measureSpread(servers []*server) {
	r.LowestSpread = 1
	for from := spreadStart; from+spreadSpan <= r.length; from += spreadStep {
		sound, used := 0, 0
		for _, s := range servers {
			if anyWithin(s.failures, from-spreadSpan, from+spreadSpan) {
				continue
			}
			sound++
			if anyWithin(s.arrivals, from, from+spreadSpan) {
				used++
			}
		}
		if sound > 0 {
			r.LowestSpread = min(r.LowestSpread, float64(used)/float64(sound))
		}
	}
}

// anyWithin reports whether any of the sorted times lies within a span.
func anyWithin(times []time.Duration, from, to time.Duration) bool {
	i, _ := slices.BinarySearch(times, from)
	return i < len(times) && times[i] < to
}

// Write prints the report as a table.
func (r *Report) Write(w io.Writer) error {
	total := r.Total()
	_, err := fmt.Fprintf(w, "%-16s %8s %8s %8s %8s %8s %9s %8s %8s\n",
		"class", "owed", "in time", "late", "refused", "failed", "refusals", "p50 ms", "p99 ms")
	if err != nil {
		return err
	}
	for _, c := range append(slices.Clone(r.Classes), &total) {
		if err := c.write(w); err != nil {
			return err
		}
	}
	if err := r.writeEstimates(w); err != nil {
		return err
	}
	_, err = fmt.Fprintf(w, "load %.2f of the healthy servers; at least %.2f of the sound servers in use\n", r.Load(), r.LowestSpread)
	return err
}

// writeEstimates prints the comparison of the estimates with the truth.
func (r *Report) writeEstimates(w io.Writer) error {
	if r.model == nil {
		return nil
	}
	const median, tail = 0.5, 0.99
	_, err := fmt.Fprintf(w, "actual/estimated p50 %.2f, p99 %.2f; in each tenth of the estimated distribution:",
		r.Ratio(median), r.Ratio(tail))
	if err != nil {
		return err
	}
	for _, count := range r.Deciles {
		if _, err := fmt.Fprintf(w, " %.3f", float64(count)/float64(max(len(r.ratios), 1))); err != nil {
			return err
		}
	}
	for _, c := range r.Classes {
		shares := r.Explained(c.Name)
		_, err := fmt.Fprintf(w, "\n%-16s explained by body %.2f, account %.2f, path %.2f, query %.2f", c.Name,
			shares[costs.TraitBody], shares[costs.TraitAccount], shares[costs.TraitPath], shares[costs.TraitQuery])
		if err != nil {
			return err
		}
	}
	_, err = fmt.Fprintln(w)
	return err
}

func (c *ClassReport) write(w io.Writer) error {
	const median, tail = 0.5, 0.99
	_, err := fmt.Fprintf(w, "%-16s %8d %8d %8d %8d %8d %9d %8d %8d\n", c.Name, c.Owed, c.InTime, c.Late, c.Refused,
		c.Failed, c.Refusals, c.Quantile(median).Milliseconds(), c.Quantile(tail).Milliseconds())
	return err
}
