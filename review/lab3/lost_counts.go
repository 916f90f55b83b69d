package main

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"syscall"
	"time"

	"dandeliondoor/fakes"
	"dandeliondoor/topo"
)

// The deployment, the disruptions and the requests of lostCounts.
const (
	countsDaemons   = 8
	countsServers   = 12
	countsPerSecond = 60
	countsWork      = 50 * time.Millisecond
	serverBack      = 2 * time.Second
	storeDown       = 4500 * time.Millisecond
	// killAt and startAt count from the begin of the store's outage.
	killAt        = 2500 * time.Millisecond
	startAt       = 3 * time.Second
	crashInterval = 2 * time.Second
	// watchFor is how long the request that crashes servers comes again.
	watchFor         = 24 * time.Second
	allowedRetries   = 3
	crashingDeadline = 1500 * time.Millisecond
)

// lostCounts sends a request that crashes servers while the store is down, kills all daemons
// before it is back, and counts how many servers the request reaches afterwards.
func lostCounts(ctx context.Context, l *lab) error {
	f, err := newFleet(ctx, l.directory, l.record, shape{
		Zones: []string{"medina", "jdid", "brahim"}, Daemons: countsDaemons,
		Terms: "base, drain, config, cost, retry, recover, health, platform",
	})
	defer f.close()
	if err != nil {
		return err
	}
	lots := topo.Route{
		Name: "lots", Host: "souk.example", Prefix: "/lots/", Timeout: 1500 * time.Millisecond, Objective: 800 * time.Millisecond,
		Attempts: 2, Idempotent: true, Targets: []topo.Target{{Service: "souk", Weight: 1}},
	}
	if err := f.publish(&topo.Config{Version: 1, Limits: limits, Routes: []topo.Route{lots}}, nil); err != nil {
		return err
	}
	hosts, err := f.addCrashHosts()
	if err != nil {
		return err
	}
	defer func() {
		for _, host := range hosts {
			host.Stop()
		}
	}()
	if err := f.startAll(ctx); err != nil {
		return err
	}
	c := newClients(l.record)
	loadCtx, stopLoad := context.WithCancel(ctx)
	defer stopLoad()
	wait := c.send(loadCtx, f, countsPerSecond, func(i int) call {
		return call{method: http.MethodGet, host: "souk.example", path: "/lots/" + strconv.Itoa(i), deadline: crashingDeadline}
	})
	time.Sleep(4 * time.Second)
	if err := f.crashAndForget(ctx, l, c); err != nil {
		return err
	}
	for i, end := 0, time.Now().Add(watchFor); time.Now().Before(end); i++ {
		c.do(ctx, f.daemons[i%len(f.daemons)], crashing)
		time.Sleep(crashInterval)
	}
	stopLoad()
	wait()
	return checkRetries(l.record, hosts)
}

// crashing is the request that crashes the servers that run it.
var crashing = call{method: http.MethodGet, host: "souk.example", path: "/lots" + fakes.CrashPath, deadline: crashingDeadline}

// addCrashHosts starts the servers, which crash on some requests.
func (f *fleet) addCrashHosts() ([]*fakes.CrashHost, error) {
	var hosts []*fakes.CrashHost
	for i := range countsServers {
		address, err := f.ports.Free()
		if err != nil {
			return hosts, err
		}
		host := fakes.NewCrashHost(f.store, "i-"+strconv.Itoa(i), "souk", f.shape.Zones[i%len(f.shape.Zones)], address, serverBack)
		host.SetFaults(fakes.ServerFaults{Work: countsWork})
		if err := host.Start(); err != nil {
			return hosts, err
		}
		hosts = append(hosts, host)
	}
	return hosts, nil
}

// crashAndForget sends the request until it is refused, while the store is down, kills all
// daemons, starts them again and waits until they are in touch.
func (f *fleet) crashAndForget(ctx context.Context, l *lab, c *clients) error {
	began := time.Now()
	if l.trouble {
		l.record.add("the store is down")
		f.store.Faults.Set(fakes.StoreFaults{Refuse: true})
	}
	for i := 0; time.Since(began) < killAt-time.Second/2; i++ {
		c.do(ctx, f.daemons[i%len(f.daemons)], crashing)
		time.Sleep(time.Second / 2)
	}
	time.Sleep(time.Until(began.Add(killAt)))
	if l.trouble {
		for _, d := range f.daemons {
			f.signal(d, syscall.SIGKILL)
		}
		for _, d := range f.daemons {
			<-d.exited
		}
	}
	time.Sleep(time.Until(began.Add(startAt)))
	if l.trouble {
		for _, d := range f.daemons {
			if err := f.start(ctx, d, false); err != nil {
				return err
			}
		}
	}
	time.Sleep(time.Until(began.Add(storeDown)))
	f.store.Faults.Set(fakes.StoreFaults{})
	l.record.add("the store is up")
	for _, d := range f.daemons {
		if err := d.waitReady(ctx); err != nil {
			return err
		}
	}
	time.Sleep(contact + time.Second/2)
	return nil
}

// checkRetries checks that the request reaches servers in three retries at most later than
// contact after it has crashed the third.
func checkRetries(rec *record, hosts []*fakes.CrashHost) error {
	var crashes, arrivals []time.Time
	for _, host := range hosts {
		crashes = append(crashes, host.Crashes()...)
		for _, arrival := range host.Arrivals() {
			arrivals = append(arrivals, arrival.At)
		}
	}
	sortTimes(crashes)
	sortTimes(arrivals)
	for _, at := range arrivals {
		rec.add("the request that crashes servers reached one at %.4f", at.Sub(rec.began).Seconds())
	}
	const third = 2
	if len(crashes) <= third {
		return fmt.Errorf("the request crashed %d servers only", len(crashes))
	}
	retries := 0
	for _, at := range arrivals {
		if at.Sub(crashes[third]) > contact {
			retries++
		}
	}
	if retries > allowedRetries {
		return fmt.Errorf("%w (BUDGET): a request that crashes servers reached them in %d retries later than %s after the third crash",
			errBroken, retries, contact)
	}
	rec.add("%d crashes, %d retries later than %s after the third", len(crashes), retries, contact)
	return nil
}
