package main

import (
	"context"
	"time"
)

// clockStep is how far the time of day of a server's machine is ahead for a while, and restartAfter how
// long after its start the server crashes and starts again under its ID.
const (
	// flapServers makes one server a tenth of them.
	flapServers  = 10
	clockStep    = 2400 * time.Millisecond
	restartAfter = 1400 * time.Millisecond
)

// runClock has a server start while the time of day of its machine is ahead, and start again under its
// ID when it no longer is. Later the server drains, and ends after a while.
func runClock(ctx context.Context, l *lab, trouble bool) (bool, error) {
	if err := l.publish(); err != nil {
		return false, err
	}
	servers, err := l.startUpstreams(flapServers)
	if err != nil {
		return false, err
	}
	if err := l.addDaemons(daemonCount); err != nil {
		return false, err
	}
	stop := l.startCallers(ctx, busyCallers)
	time.Sleep(settleTime)
	leaving := servers[0]
	step := time.Duration(0)
	if trouble {
		step = clockStep
	}
	for _, ahead := range []time.Duration{step, 0} {
		leaving.end(false)
		if leaving, err = l.startUpstream(leaving.id, serviceName, leaving.address, time.Now().Add(ahead)); err != nil {
			return false, err
		}
		time.Sleep(restartAfter)
	}
	time.Sleep(settleTime)
	acknowledged := leaving.drain()
	time.Sleep(drainingFor)
	leaving.waitBusy(acknowledged.Add(drainTime))
	leaving.end(true)
	results := stop()
	return l.lateAtDraining(leaving, acknowledged, results), nil
}
