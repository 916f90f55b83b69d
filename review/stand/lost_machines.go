package main

import (
	"context"
	"net/netip"
	"slices"
	"time"

	"dandeliondoor/topo"
)

// Sizes and times of the scenario.
const (
	wholeFleet  = 12
	lostDaemons = 4
	cores       = 0.32
	linkMbps    = 1000.0
	lossWatch   = 40 * time.Second
)

// runLostMachines removes the machines for good whose daemons rank first as brokers of the service.
// Afterwards a client sends a request that crashes each server that runs it, again and again, each time to
// the next daemon that is left.
func runLostMachines(ctx context.Context, l *lab, trouble bool) (bool, error) {
	l.onCrash = l.replaceCrashed()
	if err := l.publish(); err != nil {
		return false, err
	}
	if _, err := l.startUpstreams(rolledServers); err != nil {
		return false, err
	}
	if err := l.addDaemons(wholeFleet); err != nil {
		return false, err
	}
	time.Sleep(settleTime)
	lost := l.brokers()
	for _, d := range lost {
		l.log.printf("daemon %s ranks first for %s", d.name, serviceName)
	}
	whole := l.daemons
	l.daemons = slices.DeleteFunc(slices.Clone(whole), func(d *daemon) bool { return slices.Contains(lost, d) })
	defer func() { l.daemons = whole }()
	if trouble {
		for _, d := range lost {
			if err := d.command.Process.Kill(); err != nil {
				return false, err
			}
			l.log.printf("daemon %s killed, its machine is gone", d.name)
		}
	}
	stop := l.startCallers(ctx, callerCount)
	time.Sleep(writeDelay + contactTime)
	touchedFrom := time.Now()
	for turn := 0; time.Since(touchedFrom) < lossWatch; turn++ {
		l.sendCrash(turn)
		time.Sleep(crashPause)
	}
	l.recordLost(touchedFrom, stop())
	return l.tooManyRetries(touchedFrom), nil
}

// brokers returns the daemons that rank first as brokers of the service.
func (l *lab) brokers() []*daemon {
	var ranked []topo.Daemon
	byName := make(map[string]*daemon)
	for _, d := range l.daemons {
		byName[d.name] = d
		ranked = append(ranked, topo.Daemon{Name: d.name, Zone: zoneName, Address: netip.AddrPort{}, Capacity: topo.Capacity(cores, linkMbps)})
	}
	var first []*daemon
	for _, d := range topo.RankDaemons(serviceName, ranked)[:lostDaemons] {
		first = append(first, byName[d.Name])
	}
	return first
}
