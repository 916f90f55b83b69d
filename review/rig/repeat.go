package main

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"dandeliondoor/topo"
)

// The load and the disruption of the script. The share of the servers and of their answers,
// and the time, are those of the largest "garble" of the site file.
const (
	repeatServers  = 5
	repeatDaemons  = 4
	repeatCallers  = 48
	repeatWork     = 40 * time.Millisecond
	repeatBody     = 300
	repeatDeadline = 2 * time.Second
	calmTime       = 3 * time.Second
	garbledServers = 3 // 0.6 of them
	garbledShare   = 0.03
	garbledTime    = 5 * time.Second
	garbledTimes   = 6
	returnWait     = 50 * time.Millisecond
)

// runRepeat lets servers repeat a part of their answers, and checks that no request that is
// not idempotent runs and is answered with a status that says that it did not.
func runRepeat(ctx context.Context, r *rig) (broken bool, err error) {
	route := topo.Route{
		Name: "payments", Host: host, Prefix: "/payments/", Timeout: repeatDeadline, Objective: 500 * time.Millisecond,
		Attempts: 3, Targets: []topo.Target{{Service: "souk", Weight: 1}},
	}
	if err := r.publish(1, route); err != nil {
		return false, err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var servers []*server
	for i := range repeatServers {
		s, err := r.addServer(ctx, fmt.Sprintf("i-%d", i), "souk", repeatWork)
		if err != nil {
			return false, err
		}
		s.share = garbledShare
		servers = append(servers, s)
	}
	if err := r.addDaemons(ctx, repeatDaemons); err != nil {
		return false, err
	}
	if err := r.waitReady(ctx); err != nil {
		return false, err
	}
	answers, err := r.sendPayments(ctx, r.daemons, repeatCallers, func() error { return r.garble(ctx, servers[:garbledServers]) })
	if err != nil {
		return false, err
	}
	for _, s := range servers {
		r.logf("%s repeated a part of %d of %d answers", s.id, s.repeated, s.counted)
	}
	return r.checkRuns(servers, answers), nil
}

// garble makes servers repeat a part of their answers at times.
func (r *rig) garble(ctx context.Context, servers []*server) error {
	for range garbledTimes {
		if err := pause(ctx, calmTime); err != nil {
			return err
		}
		for _, s := range servers {
			s.repeats.Store(r.trouble)
		}
		if err := pause(ctx, garbledTime); err != nil {
			return err
		}
		for _, s := range servers {
			s.repeats.Store(false)
		}
	}
	return nil
}

var errNothingServed = errors.New("no request was served")

// sendPayments sends requests to daemons until a function returns, and returns the status of
// the answer to each. It fails if the function does or no request was served.
func (r *rig) sendPayments(ctx context.Context, daemons []*daemon, count int, during func() error) (map[string]int, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var mutex sync.Mutex
	var callers sync.WaitGroup
	answers := make(map[string]int)
	for i := range count {
		c := &caller{rig: r, name: fmt.Sprintf("caller-%d", i), daemon: daemons[i%len(daemons)]}
		callers.Go(func() {
			defer c.close()
			for ctx.Err() == nil {
				a := c.post(ctx, fmt.Sprintf("/payments/%d/%d", i, c.count), strings.Repeat("x", repeatBody), repeatDeadline)
				mutex.Lock()
				answers[a.id] = a.status
				mutex.Unlock()
				if a.status != http.StatusOK {
					_ = pause(ctx, returnWait)
				}
			}
		})
	}
	err := during()
	cancel()
	callers.Wait()
	if err != nil {
		return nil, err
	}
	for _, status := range answers {
		if status == http.StatusOK {
			return answers, nil
		}
	}
	return nil, errNothingServed
}

// checkRuns reports whether a request ran that was answered with a status that promises the
// contrary, and records each such request, and each that ran more than once.
func (r *rig) checkRuns(servers []*server, answers map[string]int) bool {
	total := make(map[string]int)
	for _, s := range servers {
		for id, count := range s.runs() {
			total[id] += count
		}
	}
	served, refused, twice := 0, 0, 0
	for id, status := range answers {
		if status == http.StatusOK {
			served++
		}
		if promisesNotRun(status) && total[id] > 0 {
			refused++
			r.logf("BROKEN: %s was answered %d and ran %d times", id, status, total[id])
		}
		if total[id] > 1 {
			twice++
			r.logf("TWICE: %s ran %d times; its answer was %d", id, total[id], status)
		}
	}
	r.logf("%d requests sent, %d served, %d refused although they ran, %d ran more than once", len(answers), served, refused, twice)
	return refused > 0
}

// promisesNotRun reports whether a status says that the request has not run and will not.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	default:
		return false
	}
}
