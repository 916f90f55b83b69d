package main

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"syscall"
	"time"

	"dandeliondoor/topo"
)

// The deployment and the disruption of hungBroker.
const (
	hungDaemons   = 16
	hungServers   = 32
	hungWork      = 100 * time.Millisecond
	hungPerSecond = 900
	hungFreezes   = 40
	hungFrozen    = 700 * time.Millisecond
	hungPause     = 500 * time.Millisecond
	hungTimeout   = 2 * time.Second
	hungDeadline  = 3 * time.Second

	// The bounds of the deployment, and the grace of the rule on a route's timeout.
	contact      = 3 * time.Second
	configApply  = 2500 * time.Millisecond
	timeoutGrace = 500 * time.Millisecond
	minOverdue   = 8
)

func hungConfig(version uint64, prefixes ...string) *topo.Config {
	config := &topo.Config{Version: version, Limits: limits}
	for _, prefix := range prefixes {
		config.Routes = append(config.Routes, topo.Route{
			Name: prefix, Host: "hall.example", Prefix: "/" + prefix + "/", Timeout: hungTimeout, Objective: 1200 * time.Millisecond,
			Attempts: 2, Targets: []topo.Target{{Service: "booking", Weight: 1}},
		})
	}
	return config
}

// hungBroker freezes the daemon that assigns the servers of a busy service, again and again,
// and looks afterwards whether each daemon still answers and takes over a new configuration.
func hungBroker(ctx context.Context, l *lab) error {
	f, err := newFleet(ctx, l.directory, l.record, shape{
		Zones: []string{"bole", "kirkos", "yeka"}, Daemons: hungDaemons,
		Terms: "base, drain, config, cost, retry, recover, health, pool, tenants, quota, pressure, platform",
	})
	defer f.close()
	if err != nil {
		return err
	}
	if err := f.publish(hungConfig(1, "hall"), nil); err != nil {
		return err
	}
	if _, err := f.addServers(ctx, "booking", hungServers, hungWork); err != nil {
		return err
	}
	if err := f.startAll(ctx); err != nil {
		return err
	}
	c := newClients(l.record)
	loadCtx, stopLoad := context.WithCancel(ctx)
	defer stopLoad()
	wait := c.send(loadCtx, f, hungPerSecond, func(i int) call {
		return call{method: http.MethodPost, host: "hall.example", path: "/hall/" + strconv.Itoa(i), body: "seat", deadline: hungDeadline}
	})
	time.Sleep(2 * time.Second)
	broker := f.brokerOf("booking")
	for range hungFreezes {
		if l.trouble {
			f.signal(broker, syscall.SIGSTOP)
		}
		time.Sleep(hungFrozen)
		if l.trouble {
			f.signal(broker, syscall.SIGCONT)
		}
		time.Sleep(hungPause)
	}
	time.Sleep(contact + time.Second)
	calm := time.Now()
	time.Sleep(4 * time.Second)
	stopLoad()
	wait()
	overdue := checkAnswered(c.all(), calm, hungTimeout)
	l.record.add("%s: its readiness check succeeds: %t", broker.name, broker.ready(ctx))
	if err := f.publish(hungConfig(2, "hall", "annex"), nil); err != nil {
		return err
	}
	time.Sleep(configApply + 500*time.Millisecond)
	return firstError(overdue, f.checkRoute(ctx, c, call{
		method: http.MethodPost, host: "hall.example", path: "/annex/1", body: "seat", deadline: hungDeadline,
	}))
}

func firstError(errs ...error) error {
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}

// checkAnswered checks the requests sent after a time: of those that have no answer at the
// timeout of their route, eight or more and over a quarter have none half a second later.
func checkAnswered(answers []answer, from time.Time, timeout time.Duration) error {
	overdue, late := 0, make(map[string]int)
	lateCount := 0
	for _, a := range answers {
		if a.sentAt.Before(from) || a.ended <= timeout {
			continue
		}
		overdue++
		if a.ended > timeout+timeoutGrace {
			lateCount++
			late[a.daemon]++
		}
	}
	if lateCount >= minOverdue && 4*lateCount > overdue {
		return fmt.Errorf("%w (CONFIG): of %d requests without an answer at the timeout, %d had none %s later, by daemon: %v",
			errBroken, overdue, lateCount, timeoutGrace, late)
	}
	return nil
}

// checkRoute sends a request on a new route to each daemon. None may answer 404.
func (f *fleet) checkRoute(ctx context.Context, c *clients, sent call) error {
	for _, d := range f.daemons {
		if a := c.do(ctx, d, sent); a.status == http.StatusNotFound {
			return fmt.Errorf("%w (CONFIG): %s answers 404 on a route that was added more than %s before", errBroken, d.name, configApply)
		}
	}
	return nil
}
