package main

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/go-faster/errors"

	"dandeliondoor/topo"
)

// The load and the course of the script. Times without another note count from the heartbeat
// that the store does late.
const (
	lateServers = 5
	lateDaemons = 4
	lateCallers = 12
	lateWork    = 200 * time.Millisecond
	// lateBy is within the 1 to 6 s of "platform_lost", how = late.
	lateBy = 5950 * time.Millisecond
	// lateDrain is later than contact_s after the last write without an answer.
	lateDrain = 3500 * time.Millisecond
	lateStop  = 6050 * time.Millisecond
	// lateExit is drain_s after lateDrain and a little longer.
	lateExit = 7100 * time.Millisecond
	lateEnd  = 8500 * time.Millisecond
)

var errNoReader = errors.New("no daemon reads the store")

// runLate lets the store do an old heartbeat of a server late, after the server has reported
// that it drains, and stops the daemon that reads the store. It checks that the server gets no
// request later than drain_s after its report was accepted.
func runLate(ctx context.Context, r *rig) (broken bool, err error) {
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
	for i := range lateServers {
		s, err := r.addServer(ctx, fmt.Sprintf("i-%d", i), "souk", lateWork)
		if err != nil {
			return false, err
		}
		servers = append(servers, s)
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
	leaving := servers[0]
	answers, err := r.sendPayments(ctx, others, lateCallers, func() error { return r.leaveLate(ctx, leaving, reader) })
	if err != nil {
		return false, err
	}
	late := leaving.lateRequests()
	lost := 0
	for _, id := range late {
		if answers[id] != http.StatusOK {
			lost++
		}
	}
	r.logf("%d requests sent, %d reached %s too late, %d of these were not answered with success", len(answers), len(late), leaving.id, lost)
	return len(late) > 0, nil
}

// findReader returns the daemon that reads the store for others, and these.
func (r *rig) findReader(ctx context.Context) (reader *daemon, others []*daemon, err error) {
	for _, d := range r.daemons {
		if reader == nil && d.readsStore(ctx) {
			reader = d
			continue
		}
		others = append(others, d)
	}
	if reader == nil {
		return nil, nil, errNoReader
	}
	r.logf("%s reads the store; the callers send to the others", reader.name)
	return reader, others, nil
}

// leaveLate lets a server leave, and a daemon stop meanwhile.
func (r *rig) leaveLate(ctx context.Context, leaving *server, reader *daemon) error {
	if r.trouble {
		leaving.lateBy.Store(int64(lateBy))
	}
	began := time.Now().Add(heartbeat)
	if err := pause(ctx, time.Until(began)); err != nil {
		return err
	}
	if sent := leaving.lostWriteAt(); !sent.IsZero() {
		began = sent
	}
	for _, step := range []struct {
		at time.Duration
		do func() error
	}{
		{at: lateDrain, do: func() error { leaving.drain(); return nil }},
		{at: lateStop, do: func() error { return r.stop(reader) }},
		{at: lateExit, do: func() error { leaving.exit(); r.logf("%s exits", leaving.id); return nil }},
		{at: lateEnd, do: func() error { return nil }},
	} {
		if err := pause(ctx, time.Until(began.Add(step.at))); err != nil {
			return err
		}
		if err := step.do(); err != nil {
			return err
		}
	}
	return nil
}
