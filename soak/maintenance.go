package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"syscall"
	"time"

	"github.com/go-faster/errors"

	"dandeliondoor/fakes"
	"dandeliondoor/kernel"
)

// Settings of planned maintenance.
const (
	// maxStepInterval is the maximum time between two steps of a series.
	maxStepInterval = 1500 * time.Millisecond
	// maxRollDaemons is the maximum number of daemons that are restarted in a series.
	maxRollDaemons = 8
	// maxReloads is the maximum number of SIGHUP signals in a series.
	maxReloads = 4
	// Numbers of requests in LongRequests, and how long their servers work.
	maxLongRequests = 3
	minLongWork     = time.Second
	maxLongWork     = 7 * time.Second
	reloadInterval  = 200 * time.Millisecond
)

// idleLimits are the idle limits that configurations choose from.
var idleLimits = []time.Duration{600 * time.Millisecond, time.Second, 2 * time.Second, 5 * time.Second}

// randomMaintenance returns a series of planned maintenance, in which a daemon may stop
// while something else changes.
func randomMaintenance(random *rand.Rand, daemons int) []event {
	d := random.IntN(daemons)
	begin := randomPeriod(random, maxDelay)
	stop := event{fault: Restart{Daemon: d, Signal: syscall.SIGTERM}, delay: begin + randomPeriod(random, maxStepInterval)}
	limits := event{fault: randomIdleLimits(random), delay: begin}
	switch random.IntN(6) {
	case 0:
		return []event{limits}
	case 1:
		return []event{limits, stop}
	case 2:
		return []event{{fault: Reload{Daemon: d, Signals: 1 + random.IntN(maxReloads)}, delay: begin}, stop}
	case 3:
		return append(randomRoll(random, daemons, begin), limits)
	case 4:
		works := make([]time.Duration, 1+random.IntN(maxLongRequests))
		for i := range works {
			works[i] = minLongWork + randomPeriod(random, maxLongWork-minLongWork)
		}
		pause := randomPeriod(random, maxStepInterval) * time.Duration(random.IntN(2))
		return []event{{fault: LongRequests{Daemon: d, Works: works, Pause: pause}, delay: begin}, stop}
	default:
		return []event{{fault: SickStore{Faults: fakes.StoreFaults{Silent: true}}, delay: begin}, stop}
	}
}

// randomIdleLimits returns idle limits that are lowered and raised in turn.
func randomIdleLimits(random *rand.Rand) IdleLimits {
	series := IdleLimits{Interval: randomPeriod(random, maxStepInterval)}
	for range 1 + random.IntN(maxEvents) {
		series.Limits = append(series.Limits, idleLimits[random.IntN(len(idleLimits))])
	}
	return series
}

// randomRoll restarts daemons one after the other, without waiting for the end of each
// restart.
func randomRoll(random *rand.Rand, daemons int, begin time.Duration) []event {
	interval := randomPeriod(random, maxStepInterval)
	events := make([]event, 0, maxRollDaemons+1)
	for i := range min(daemons, maxRollDaemons) {
		events = append(events, event{
			fault: Restart{Daemon: i, Signal: syscall.SIGTERM}, delay: begin + time.Duration(i)*interval,
		})
	}
	return events
}

// publishSeries stores a configuration for each idle limit of a series.
func (f *fleet) publishSeries(ctx context.Context, series IdleLimits) error {
	for i, limit := range series.Limits {
		if i > 0 {
			sleep(ctx, series.Interval)
		}
		if err := f.publish(limit); err != nil {
			return err
		}
	}
	return nil
}

// reload changes a daemon's settings and sends it SIGHUP, several times. It waits until
// the daemon accepts connections, since SIGHUP ends a process that has just started.
func (f *fleet) reload(ctx context.Context, d *daemon, signals int) error {
	for i := range signals {
		sleep(ctx, reloadInterval)
		conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", d.callersAddress.String())
		if err != nil {
			continue
		}
		_ = conn.Close()
		settings := fmt.Sprintf("%slogs: {level: %s}\n", d.settings, []string{"debug", "info"}[i%2])
		if err := os.WriteFile(d.settingsFile, []byte(settings), 0o600); err != nil {
			return errors.Wrap(err, "write settings file")
		}
		reloaded := f.history.begin(time.Now(), mark{kind: daemonReloaded, name: d.name})
		err = d.signal(syscall.SIGHUP)
		reloaded(time.Now())
		if err != nil {
			return errors.Wrap(err, "signal daemon")
		}
	}
	return nil
}

// sendLong sends long requests, each on a connection that has been used before.
func (f *fleet) sendLong(ctx context.Context, fault LongRequests) error {
	results := make([]<-chan error, len(fault.Works))
	for i, work := range fault.Works {
		s := &session{fleet: f, recorder: f.recorder, daemon: f.daemons[fault.Daemon]}
		results[i] = kernel.Run(ctx, func(ctx context.Context) error {
			defer s.disconnect()
			if !s.connect(ctx) {
				return nil
			}
			s.exchange(s.newMessage(http.MethodGet, "/lots/a", routeTimeout))
			if s.connect(ctx) {
				m := s.newMessage(http.MethodPost, fmt.Sprintf("/longs/a?%s=%s", fakes.WorkParameter, work), longTimeout)
				m.split(fault.Pause)
				s.exchange(m)
			}
			return nil
		})
	}
	return waitAll(results)
}
