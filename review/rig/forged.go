package main

import (
	"context"
	"fmt"
	"time"

	"dandeliondoor/topo"
)

// The load and the course of the script. With these services, the daemon that reads the store is
// also the broker of the first one.
const (
	paymentService = "caisse-regie"
	otherService   = "souk-catalogue"

	forgedServers = 3
	forgedCallers = 12
	forgedWork    = 100 * time.Millisecond
	// forgedStart is the short delay after which a process that was killed is started again.
	forgedStart = 150 * time.Millisecond
	forgedCalm  = 3 * time.Second
)

// runForged lets another writer store an entry under the ID of a server while the process
// that reads the store is killed and started again. It checks that no request runs at a server of another service.
func runForged(ctx context.Context, r *rig) (broken bool, err error) {
	route := func(name, service string) topo.Route {
		return topo.Route{
			Name: name, Host: host, Prefix: "/" + name + "/", Timeout: repeatDeadline, Objective: 500 * time.Millisecond,
			Attempts: 3, Targets: []topo.Target{{Service: service, Weight: 1}},
		}
	}
	if err := r.publish(1, route("payments", paymentService), route("bales", otherService)); err != nil {
		return false, err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	servers := make(map[string][]*server)
	for i := range 2 * forgedServers {
		service := []string{paymentService, otherService}[i%2]
		s, err := r.addServer(ctx, fmt.Sprintf("i-%d", i), service, forgedWork)
		if err != nil {
			return false, err
		}
		servers[service] = append(servers[service], s)
	}
	if err := r.addDaemons(ctx, lateDaemons); err != nil {
		return false, err
	}
	if err := r.waitReady(ctx); err != nil {
		return false, err
	}
	reader, others, err := r.findReader(ctx)
	if err != nil {
		return false, err
	}
	answers, err := r.sendPayments(ctx, others, forgedCallers, func() error { return r.forgeEntry(ctx, servers[otherService][0], reader) })
	if err != nil {
		return false, err
	}
	for _, s := range servers[otherService] {
		for id, count := range s.runs() {
			broken = true
			r.logf("BROKEN: %s, of the route to %s, ran %d times at %s of %s and was answered %d",
				id, paymentService, count, s.id, otherService, answers[id])
		}
	}
	r.logf("%d requests sent", len(answers))
	return broken, nil
}

// forgeEntry kills the process of a daemon and starts it again, and stores an entry of another
// writer meanwhile, just after a heartbeat of the server.
func (r *rig) forgeEntry(ctx context.Context, target *server, reader *daemon) error {
	if err := pause(ctx, forgedCalm); err != nil {
		return err
	}
	if err := target.waitBeat(ctx); err != nil {
		return err
	}
	if err := r.kill(reader); err != nil {
		return err
	}
	if r.trouble {
		if err := target.forge(paymentService); err != nil {
			return err
		}
	}
	if err := pause(ctx, forgedStart); err != nil {
		return err
	}
	if err := r.restart(ctx, reader); err != nil {
		return err
	}
	return pause(ctx, forgedCalm)
}
