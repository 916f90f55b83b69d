package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"syscall"
	"time"

	"dandeliondoor/fakes"
	"dandeliondoor/platform"
	"dandeliondoor/topo"
)

// The deployment and the disruptions of lateWrite.
const (
	lateDaemons   = 8
	lateServers   = 20
	lateWork      = 250 * time.Millisecond
	latePerSecond = 180
	heartbeat     = 1500 * time.Millisecond
	expiry        = 3 * heartbeat
	// lateBy is how long after its call the store executes a write whose answer was lost.
	lateBy = 6 * time.Second
	// leavesAt, killAt and watchFor count from the lost answer.
	leavesAt = 3700 * time.Millisecond
	killAt   = 4700 * time.Millisecond
	watchFor = 11 * time.Second
	drainDue = 2 * time.Second
)

// entry writes the entry of one server to the store, as the server does at each heartbeat.
type entry struct {
	fleet  *fleet
	server *fakes.Server
	record topo.Server

	mutex     sync.Mutex
	sequence  int64
	left      bool
	writtenAt time.Time
}

// next returns the next entry of the server, and false if it has left.
func (e *entry) next() ([]byte, bool) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if e.left {
		return nil, false
	}
	e.sequence++
	data, err := platform.EncodeServer(e.record, e.sequence)
	return data, err == nil
}

// put has the store execute a write of the entry.
func (e *entry) put(data []byte) {
	e.mutex.Lock()
	e.writtenAt = time.Now()
	e.mutex.Unlock()
	e.fleet.store.Put(platform.ServerTopic, e.server.ID(), data)
}

// beat writes the entry at each heartbeat until the server leaves, and has the store remove it
// after three of them without one.
func (e *entry) beat(ctx context.Context) {
	ticker := time.NewTicker(heartbeat)
	defer ticker.Stop()
	for {
		if data, lives := e.next(); lives {
			e.put(data)
		} else {
			e.mutex.Lock()
			silent := time.Since(e.writtenAt) > expiry
			e.mutex.Unlock()
			if silent {
				e.server.Leave(e.fleet.store)
			}
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// leave makes the server leave without a report that it drains: its entry is removed. It says
// so in all answers and goes on serving.
func (e *entry) leave() time.Time {
	e.mutex.Lock()
	e.left = true
	e.mutex.Unlock()
	e.server.Faults.Set(fakes.ServerFaults{Work: lateWork, Leaving: true})
	e.server.Leave(e.fleet.store)
	return time.Now()
}

// reader returns the daemon that reads the store for the others.
func (f *fleet) reader(ctx context.Context) (*daemon, error) {
	for _, d := range f.daemons {
		request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+d.operators.String()+"/v1/status", http.NoBody)
		if err != nil {
			return nil, err
		}
		response, err := http.DefaultClient.Do(request)
		if err != nil {
			return nil, err
		}
		var status map[string]any
		err = json.NewDecoder(response.Body).Decode(&status)
		_ = response.Body.Close()
		if err != nil {
			return nil, err
		}
		for _, value := range status {
			if value == d.name {
				return d, nil
			}
		}
	}
	return nil, fmt.Errorf("no daemon reads the store")
}

// lateWrite has the store execute a heartbeat of a server six seconds late, after the server
// has left, and kills the daemon that reads the store in between.
func lateWrite(ctx context.Context, l *lab) error {
	f, err := newFleet(ctx, l.directory, l.record, shape{
		Zones: []string{"medina", "jdid", "brahim"}, Daemons: lateDaemons,
		Terms: "base, drain, config, cost, retry, recover, health, platform",
	})
	defer f.close()
	if err != nil {
		return err
	}
	bales := topo.Route{
		Name: "bales", Host: "souk.example", Prefix: "/bales/", Timeout: 2 * time.Second, Objective: 800 * time.Millisecond,
		Attempts: 2, Targets: []topo.Target{{Service: "souk", Weight: 1}},
	}
	lots := bales
	lots.Name, lots.Prefix, lots.Idempotent = "lots", "/lots/", true
	config := &topo.Config{Version: 1, Limits: limits, Routes: []topo.Route{bales, lots}}
	if err := f.publish(config, nil); err != nil {
		return err
	}
	entries, err := f.addEntries(ctx, "souk", lateServers, lateWork)
	if err != nil {
		return err
	}
	if err := f.startAll(ctx); err != nil {
		return err
	}
	c := newClients(l.record)
	loadCtx, stopLoad := context.WithCancel(ctx)
	defer stopLoad()
	reader, err := f.reader(ctx)
	if err != nil {
		return err
	}
	callers := *f
	callers.daemons = slices.DeleteFunc(slices.Clone(f.daemons), func(d *daemon) bool { return d == reader })
	wait := c.send(loadCtx, &callers, latePerSecond, func(i int) call {
		if i%2 == 0 {
			return call{method: http.MethodGet, host: "souk.example", path: "/lots/" + strconv.Itoa(i), deadline: 2 * time.Second}
		}
		return call{method: http.MethodPost, host: "souk.example", path: "/bales/" + strconv.Itoa(i), body: "bale", deadline: 2 * time.Second}
	})
	time.Sleep(4 * time.Second)
	leaving := entries[0]
	began := time.Now()
	if l.trouble {
		if data, lives := leaving.next(); lives {
			l.record.add("the store gives no answer to a heartbeat of %s and executes it %s later", leaving.server.ID(), lateBy)
			time.AfterFunc(lateBy, func() {
				leaving.put(data)
				l.record.add("the store executes the late heartbeat of %s", leaving.server.ID())
			})
		}
	}
	time.Sleep(time.Until(began.Add(leavesAt)))
	gone := leaving.leave()
	l.record.add("%s leaves, its entry is removed", leaving.server.ID())
	time.Sleep(time.Until(began.Add(killAt)))
	if l.trouble {
		f.signal(reader, syscall.SIGKILL)
		<-reader.exited
		time.Sleep(time.Second)
		if err := f.start(ctx, reader, false); err != nil {
			return err
		}
	}
	time.Sleep(time.Until(began.Add(watchFor)))
	stopLoad()
	wait()
	return checkDrained(l.record, leaving.server, gone)
}

// addEntries starts servers that write their entries at heartbeats.
func (f *fleet) addEntries(ctx context.Context, service string, count int, work time.Duration) ([]*entry, error) {
	var entries []*entry
	for i := range count {
		var server *fakes.Server
		address, err := serve(ctx, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { server.ServeHTTP(w, r) }))
		if err != nil {
			return nil, err
		}
		zone := f.shape.Zones[i%len(f.shape.Zones)]
		server = fakes.NewServer(fmt.Sprintf("i-%s-%d", service, i), service, zone, address)
		server.Faults.Set(fakes.ServerFaults{Work: work})
		const slots = 3
		e := &entry{fleet: f, server: server, record: topo.Server{
			Service: service, Address: address, Zone: zone, Slots: slots, Born: time.Now().UnixMilli(),
		}}
		entries = append(entries, e)
		go e.beat(ctx)
	}
	return entries, nil
}

// checkDrained checks that no request reaches a server later than the due time after the store
// has acknowledged that it is gone.
func checkDrained(rec *record, server *fakes.Server, gone time.Time) error {
	late := 0
	for _, arrival := range server.Arrivals() {
		after := arrival.At.Sub(gone)
		if after > 0 {
			rec.add("%s reached %s %d ms after its entry was removed", arrival.ID, server.ID(), after.Milliseconds())
		}
		if after > drainDue {
			late++
		}
	}
	if late > 0 {
		return fmt.Errorf("%w (DRAIN): %d requests reached %s later than %s after its entry was removed", errBroken, late, server.ID(), drainDue)
	}
	return nil
}
