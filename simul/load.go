package simul

import (
	"math/rand/v2"
	"time"

	"dandeliondoor/config"
)

// Load describes the simulated service and its traffic. Servers is the number of
// servers with Slots concurrent requests each, and Daemons the number of daemons
// that ask one broker. Length is the simulated time. Stop is when all daemons lose
// power, 0 for never. With IgnorePauses the daemons do not heed the pauses that servers
// ask for. With Queue the asks wait at the broker. Rejects are spans in which each request
// is rejected with the probability Share, and DaemonsGone those after whose start a share of
// the daemons is gone for good.
// With EagerCallers, callers return at once whatever they are told. Placement is the rule by
// which servers are selected; with HideTraits it is told only the route. ServerQueue is the
// number of requests that a server queues, 0 for twice its slots, and SpeedSigma the standard
// deviation of the logarithm of a server's speed.
type Load struct {
	Seed         uint64         `yaml:"seed"`
	Servers      int            `yaml:"servers"`
	Slots        int            `yaml:"slots"`
	Daemons      int            `yaml:"daemons"`
	Zones        int            `yaml:"zones"`
	Length       time.Duration  `yaml:"length"`
	Stop         time.Duration  `yaml:"stop"`
	Health       Health         `yaml:"health"`
	Retries      config.Retries `yaml:"retries"`
	Classes      []Class        `yaml:"classes"`
	Bursts       []Burst        `yaml:"bursts"`
	Pauses       []Pause        `yaml:"pauses"`
	IgnorePauses bool           `yaml:"ignore_pauses"`

	Accounts     []Account `yaml:"accounts"`
	Queue        bool      `yaml:"queue"`
	Rejects      []Span    `yaml:"rejects"`
	DaemonsGone  []Span    `yaml:"daemons_gone"`
	EagerCallers bool      `yaml:"eager_callers"`

	Placement   config.Placement `yaml:"placement"`
	HideTraits  bool             `yaml:"hide_traits"`
	ServerQueue int              `yaml:"server_queue"`
	SpeedSigma  float64          `yaml:"speed_sigma"`
	Slowdowns   []Slowdown       `yaml:"slowdowns"`
	Misreports  []Misreport      `yaml:"misreports"`
}

// Account is a client account that sends a share of all requests. Its first attempts are
// limited to Quota per second, 0 for no limit, with a burst of one second.
type Account struct {
	Name  string  `yaml:"name"`
	Share float64 `yaml:"share"`
	Quota float64 `yaml:"quota"`
}

// Span is a fault from At for a period of For, of a Share of the requests or the daemons.
type Span struct {
	At    time.Duration `yaml:"at"`
	For   time.Duration `yaml:"for"`
	Share float64       `yaml:"share"`
}

// during returns the span that a time is in, or an empty one.
func during(spans []Span, at time.Duration) Span {
	for _, s := range spans {
		if at >= s.At && at < s.At+s.For {
			return s
		}
	}
	return Span{}
}

// Health describes the servers' unhealthy periods. UnhealthyShare is the share of
// time in which a server is unhealthy, and Period the mean length of such a period.
// HealthyFailures and UnhealthyFailures are the shares of requests that fail.
type Health struct {
	UnhealthyShare    float64       `yaml:"unhealthy_share"`
	Period            time.Duration `yaml:"period"`
	HealthyFailures   float64       `yaml:"healthy_failures"`
	UnhealthyFailures float64       `yaml:"unhealthy_failures"`
}

// Class is one kind of request. Rate is in requests per second, Work the mean
// duration on a typical server, Objective the duration within which a response
// earns full credit, and Deadline how long callers wait. Attempts bounds the
// servers that an idempotent request is sent to. With Sigma, which is the standard
// deviation of the logarithm of the work, the work of a request is drawn once, and
// TailShare of the requests take TailFactor times as long; Work is then the mean without
// those. Predictors are the traits that the work depends on.
type Class struct {
	Name       string        `yaml:"name"`
	Rate       float64       `yaml:"rate"`
	Work       time.Duration `yaml:"work"`
	Objective  time.Duration `yaml:"objective"`
	Deadline   time.Duration `yaml:"deadline"`
	Idempotent bool          `yaml:"idempotent"`
	Attempts   int           `yaml:"attempts"`
	Priority   int           `yaml:"priority"`

	Sigma      float64     `yaml:"sigma"`
	TailShare  float64     `yaml:"tail_share"`
	TailFactor float64     `yaml:"tail_factor"`
	Predictors []Predictor `yaml:"predictors"`
}

// Predictor makes the work depend on a trait (account, body, path or query) with a number
// of equally likely values. Share is the share of the variance of the logarithm of the work
// that the trait explains, 0 for one that is sent and says nothing.
type Predictor struct {
	Trait  string  `yaml:"trait"`
	Values int     `yaml:"values"`
	Share  float64 `yaml:"share"`
}

// Slowdown makes a share of the servers slower by Factor, from At for a period of For.
type Slowdown struct {
	At     time.Duration `yaml:"at"`
	For    time.Duration `yaml:"for"`
	Share  float64       `yaml:"share"`
	Factor float64       `yaml:"factor"`
}

// Misreport makes a share of the servers report Waiting requests more than they have.
type Misreport struct {
	Share   float64 `yaml:"share"`
	Waiting int     `yaml:"waiting"`
}

// slowdown returns how many times slower the server with an index is at a time.
func (l *Load) slowdown(index int, at time.Duration) float64 {
	factor := 1.0
	for _, s := range l.Slowdowns {
		if at >= s.At && at < s.At+s.For && float64(index) < s.Share*float64(l.Servers) {
			factor *= s.Factor
		}
	}
	return factor
}

// misreported returns how many waiting requests the server with an index adds to its
// report.
func (l *Load) misreported(index int) int {
	count := 0
	for _, m := range l.Misreports {
		if float64(index) < m.Share*float64(l.Servers) {
			count += m.Waiting
		}
	}
	return count
}

// Burst multiplies the rate by Factor, from At for a period of For. It is of one class or
// account if these are named.
type Burst struct {
	Class   string `yaml:"class"`
	Account string `yaml:"account"`

	At     time.Duration `yaml:"at"`
	For    time.Duration `yaml:"for"`
	Factor float64       `yaml:"factor"`
}

// Pause makes a share of the servers reject all requests, from At for a period of For.
// They ask each daemon that they reject to send nothing for RetryAfter.
type Pause struct {
	At         time.Duration `yaml:"at"`
	For        time.Duration `yaml:"for"`
	Share      float64       `yaml:"share"`
	RetryAfter time.Duration `yaml:"retry_after"`
}

// pause returns what the server with an index asks daemons for at a time, 0 if nothing.
func (l *Load) pause(index int, at time.Duration) time.Duration {
	for _, p := range l.Pauses {
		if at >= p.At && at < p.At+p.For && float64(index) < p.Share*float64(l.Servers) {
			return p.RetryAfter
		}
	}
	return 0
}

// factor returns the multiple of the usual rate of a class and account at a time.
func (l *Load) factor(at time.Duration, class, account string) float64 {
	factor := 1.0
	for _, b := range l.Bursts {
		applies := (b.Class == "" || b.Class == class) && (b.Account == "" || b.Account == account)
		if applies && at >= b.At && at < b.At+b.For {
			factor *= b.Factor
		}
	}
	return factor
}

// maxFactor returns the highest multiple of the usual rate.
func (l *Load) maxFactor() float64 {
	highest := 1.0
	for _, b := range l.Bursts {
		highest = max(highest, l.factor(b.At, b.Class, b.Account))
	}
	return highest
}

// account draws the account of a request by their shares, "" if there are none.
func (l *Load) account(random *rand.Rand) string {
	if len(l.Accounts) == 0 {
		return ""
	}
	total := 0.0
	for _, a := range l.Accounts {
		total += a.Share
	}
	drawn := random.Float64() * total
	for _, a := range l.Accounts {
		if drawn -= a.Share; drawn < 0 {
			return a.Name
		}
	}
	return l.Accounts[0].Name
}

// Defaults returns a load of one service with 20 servers of 3 slots, three tenths
// of which are unhealthy at any time, and no classes.
func Defaults() Load {
	const (
		servers, slots, daemons, zones = 20, 3, 48, 3
		length                         = 30 * time.Second
		period                         = 5 * time.Second
		window                         = 10 * time.Second
		ratio, slack                   = 0.2, 20
	)
	return Load{
		Servers: servers, Slots: slots, Daemons: daemons, Zones: zones, Length: length,
		Health:  Health{UnhealthyShare: 0.3, Period: period, HealthyFailures: 0.015, UnhealthyFailures: 0.85},
		Retries: config.Retries{Ratio: ratio, Window: window, Slack: slack},

		SpeedSigma: speedSpread, Placement: config.PlacementLoad,
	}
}
