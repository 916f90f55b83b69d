package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"dandeliondoor/fakes"
	"dandeliondoor/platform"
	"dandeliondoor/proto"
)

// What a server of the deployment can take.
const (
	slots       = 3
	queue       = 12
	idleClose   = 10 * time.Second
	defaultWork = 40 * time.Millisecond
	// busyInterval is how often it is looked whether a server is at work.
	busyInterval = 10 * time.Millisecond
)

// crashPath is the path of requests that crash the servers that run them.
const crashPath = "boom"

// arrival is a request that reached a server at a time, and was run by it from another one on.
type arrival struct {
	id     string
	path   string
	server string
	at     time.Time
	ranAt  time.Time
}

// upstream is a server of the platform. Each start is another incarnation.
type upstream struct {
	lab     *lab
	id      string
	service string
	address netip.AddrPort

	faulty   atomic.Bool
	spoiled  atomic.Int64
	answered atomic.Int64

	mutex    sync.Mutex
	server   *http.Server
	born     int64
	sequence int64
	state    string
	running  int
	waiting  int
	free     chan struct{}
	stopped  chan struct{}
	conns    map[net.Conn]struct{}
}

// entry is the registration of a server, with the fields of the users' pages.
type entry struct {
	Service    string  `json:"service"`
	Address    string  `json:"address"`
	Zone       string  `json:"zone"`
	Version    string  `json:"version,omitempty"`
	Slots      int     `json:"slots"`
	State      string  `json:"state"`
	WarmupLeft float64 `json:"warmup_left_s"`
	Sequence   int64   `json:"seq"`
	Born       int64   `json:"born"`
}

// start starts a server on an address, or on a free port if there is none, with the time of day
// that it takes for the present one.
func (l *lab) startUpstream(id, service string, address netip.AddrPort, timeOfDay time.Time) (*upstream, error) {
	u := &upstream{
		lab: l, id: id, service: service, state: "ready", born: timeOfDay.UnixMilli(),
		free: make(chan struct{}, slots), stopped: make(chan struct{}), conns: make(map[net.Conn]struct{}),
	}
	listenOn := "127.0.0.1:0"
	if address.IsValid() {
		listenOn = address.String()
	}
	listener, err := net.Listen("tcp", listenOn)
	if err != nil {
		return nil, err
	}
	if u.address, err = netip.ParseAddrPort(listener.Addr().String()); err != nil {
		return nil, err
	}
	u.server = &http.Server{Handler: u, ReadHeaderTimeout: headTimeout, IdleTimeout: idleClose, ConnState: u.track}
	go func() { _ = u.server.Serve(spoilingListener{Listener: listener, upstream: u}) }()
	go u.keepRegistered()
	l.log.printf("server %s (%s) starts at %s, born %d", id, service, u.address, u.born)
	return u, nil
}

func (u *upstream) track(conn net.Conn, state http.ConnState) {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	switch state {
	case http.StateNew:
		u.conns[conn] = struct{}{}
	case http.StateClosed, http.StateHijacked:
		delete(u.conns, conn)
	case http.StateActive, http.StateIdle:
	}
}

// keepRegistered writes the entry at each heartbeat until the server ends.
func (u *upstream) keepRegistered() {
	u.beat()
	ticker := time.NewTicker(heartbeatInterval)
	defer ticker.Stop()
	for {
		select {
		case <-u.stopped:
			return
		case <-ticker.C:
			u.beat()
		}
	}
}

// beat writes the entry once.
func (u *upstream) beat() {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	u.sequence++
	u.lab.writeEntry(u.id, u.entryLocked())
}

func (u *upstream) entryLocked() entry {
	return entry{
		Service: u.service, Address: u.address.String(), Zone: zoneName, Version: "v1", Slots: slots, State: u.state,
		Sequence: u.sequence, Born: u.born,
	}
}

// drain announces that the server leaves and returns when the store has accepted that.
func (u *upstream) drain() time.Time {
	u.mutex.Lock()
	u.state = "draining"
	u.mutex.Unlock()
	u.beat()
	u.lab.log.printf("server %s: store accepted that it is draining", u.id)
	return time.Now()
}

// waitBusy waits for a while until the server runs a request that began after a time.
func (u *upstream) waitBusy(after time.Time) {
	for end := time.Now().Add(drainTime); time.Now().Before(end); time.Sleep(busyInterval) {
		runs := u.lab.arrivalsOf("/")
		for _, a := range runs {
			if a.server == u.id && a.at.After(after) && time.Since(a.ranAt) < busyWork {
				return
			}
		}
	}
}

// end ends the server at once: its connections are reset. Removed says that it also takes its entry
// away, as one that leaves does.
func (u *upstream) end(removed bool) {
	u.mutex.Lock()
	select {
	case <-u.stopped:
		u.mutex.Unlock()
		return
	default:
	}
	close(u.stopped)
	open := u.conns
	u.conns = make(map[net.Conn]struct{})
	u.mutex.Unlock()
	for conn := range open {
		if tcp, isTCP := conn.(*net.TCPConn); isTCP {
			_ = tcp.SetLinger(0)
		}
	}
	_ = u.server.Close()
	if removed {
		u.lab.removeEntry(u.id)
	}
	u.lab.log.printf("server %s ended", u.id)
}

// ServeHTTP handles a request as the users' pages say.
func (u *upstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	reachedAt := time.Now()
	id := r.Header.Get(proto.HeaderRequestID)
	header := w.Header()
	header.Set(proto.HeaderRequestID, id)
	if expected := r.Header.Get(platform.HeaderInstance); expected != "" && expected != u.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	millis, err := strconv.Atoi(r.Header.Get(proto.HeaderDeadline))
	if err != nil {
		millis = int(stopLimit.Milliseconds())
	}
	deadline := time.NewTimer(time.Duration(millis) * time.Millisecond)
	defer deadline.Stop()
	if !u.enter(r, deadline) {
		header.Set(platform.HeaderNotRun, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer u.leave()
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	u.lab.ran(arrival{id: id, path: r.URL.Path, server: u.id, at: reachedAt, ranAt: time.Now()})
	if strings.Contains(r.URL.Path, crashPath) {
		u.lab.crashed(u)
		panic(http.ErrAbortHandler)
	}
	work, err := time.ParseDuration(r.URL.Query().Get(fakes.WorkParameter))
	if err != nil {
		work = defaultWork
	}
	timer := time.NewTimer(work)
	defer timer.Stop()
	header.Set(platform.HeaderSignature, "signed."+id)
	header.Set(platform.HeaderLoad, u.load())
	header.Set("Keep-Alive", "timeout="+strconv.Itoa(int(idleClose.Seconds())))
	select {
	case <-timer.C:
		u.answered.Add(1)
		fmt.Fprintf(w, "%s served a request with a body of %d bytes\n", u.id, len(body))
	case <-deadline.C:
		w.WriteHeader(http.StatusGatewayTimeout)
	case <-r.Context().Done():
		panic(http.ErrAbortHandler)
	case <-u.stopped:
		panic(http.ErrAbortHandler)
	}
}

// enter waits for a slot. It reports false if the request is rejected.
func (u *upstream) enter(r *http.Request, deadline *time.Timer) bool {
	u.mutex.Lock()
	if u.waiting >= queue {
		u.mutex.Unlock()
		return false
	}
	u.waiting++
	u.mutex.Unlock()
	entered := false
	select {
	case u.free <- struct{}{}:
		entered = true
	case <-deadline.C:
	case <-r.Context().Done():
	}
	u.mutex.Lock()
	defer u.mutex.Unlock()
	u.waiting--
	if entered {
		u.running++
	}
	return entered
}

func (u *upstream) leave() {
	<-u.free
	u.mutex.Lock()
	defer u.mutex.Unlock()
	u.running--
}

func (u *upstream) load() string {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	return fmt.Sprintf("%d,%d,%d", u.running, u.waiting, slots)
}

// writeEntry stores the entry of a server.
func (l *lab) writeEntry(id string, registration entry) {
	data, err := json.Marshal(registration)
	if err != nil {
		return
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.beats[id] = time.Now()
	l.store.Put(platform.ServerTopic, id, data)
}

func (l *lab) removeEntry(id string) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	delete(l.beats, id)
	l.store.Put(platform.ServerTopic, id, nil)
}

// expireEntries removes the entries of servers that have been silent for three heartbeats.
func (l *lab) expireEntries(now time.Time) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for id, at := range l.beats {
		if now.Sub(at) > 3*heartbeatInterval {
			delete(l.beats, id)
			l.store.Put(platform.ServerTopic, id, nil)
			l.log.printf("store: entry of %s expired", id)
		}
	}
}

func (l *lab) ran(a arrival) {
	l.mutex.Lock()
	l.arrivals = append(l.arrivals, a)
	l.mutex.Unlock()
	if l.quiet {
		return
	}
	l.log.printf("%s runs %s %s", a.server, a.id, a.path)
}

// arrivalsOf returns the runs of requests whose path contains a text, in order.
func (l *lab) arrivalsOf(text string) []arrival {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return slices.DeleteFunc(slices.Clone(l.arrivals), func(a arrival) bool { return !strings.Contains(a.path, text) })
}
