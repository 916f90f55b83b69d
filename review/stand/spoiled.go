package main

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Sizes and doses of the scenario.
const (
	spoiledDaemons = 4
	spoiledServers = 10
	spoiledCallers = 96
	// faultyShare is the share of the servers that are faulty, and spoiledShare the most that these
	// send bytes for that are no response, as a share of the requests that they answer.
	faultyShare  = 0.5
	spoiledShare = 0.05
	spoiledFor   = 90 * time.Second
	// payBytes is the size of a body.
	payBytes      = 3000
	spoiledTarget = "/reserve/a?work=1ms"
	spoiledBytes  = "these bytes are no response\r\n\r\n"
	// enough is the number of requests that ran twice after which the scenario ends.
	enough        = 3
	totalInterval = 5 * time.Second
)

// spoilingListener accepts the connections of a server. If the server is faulty, it sends bytes that are
// no response at the begin of some of them.
type spoilingListener struct {
	net.Listener

	upstream *upstream
}

// Accept implements net.Listener.
func (s spoilingListener) Accept() (net.Conn, error) {
	conn, err := s.Listener.Accept()
	if err != nil {
		return nil, err
	}
	s.upstream.lab.accepted.Add(1)
	if s.upstream.spoilsNext() {
		s.upstream.lab.spoiled.Add(1)
		_, err = io.WriteString(conn, spoiledBytes)
	}
	return conn, err
}

// runSpoiled has some of the servers send bytes that are no response on a few of their connections, while
// clients send requests that may run once only.
func runSpoiled(ctx context.Context, l *lab, trouble bool) (bool, error) {
	l.quiet = true
	if err := l.publish(); err != nil {
		return false, err
	}
	servers, err := l.startUpstreams(spoiledServers)
	if err != nil {
		return false, err
	}
	if trouble {
		for _, u := range servers[:int(faultyShare*spoiledServers)] {
			u.faulty.Store(true)
			l.log.printf("server %s is faulty", u.id)
		}
	}
	if err := l.addDaemons(spoiledDaemons); err != nil {
		return false, err
	}
	ctx, cancel := context.WithTimeout(ctx, spoiledFor)
	defer cancel()
	answers := &tally{counts: make(map[int]int)}
	var callers sync.WaitGroup
	for i := range spoiledCallers {
		callers.Go(func() { l.keepCalling(ctx, l.daemons[i%len(l.daemons)], answers) })
	}
	ticker := time.NewTicker(totalInterval)
	defer ticker.Stop()
	for ctx.Err() == nil && len(l.ranTwice()) < enough {
		select {
		case <-ctx.Done():
		case <-ticker.C:
			l.recordTotals(answers)
		}
	}
	cancel()
	callers.Wait()
	l.recordTotals(answers)
	return l.recordTwice(answers), nil
}

// tally counts answers by status. It keeps those of requests that were not served.
type tally struct {
	mutex  sync.Mutex
	counts map[int]int
	status map[string]int
}

func (t *tally) add(id string, status int) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.counts[status]++
	if t.status == nil {
		t.status = make(map[string]int)
	}
	t.status[id] = status
}

// keepCalling sends requests on a kept connection, each after the answer to the one before.
func (l *lab) keepCalling(ctx context.Context, d *daemon, answers *tally) {
	body := []byte(strings.Repeat("b", payBytes))
	for ctx.Err() == nil {
		conn, err := net.DialTimeout("tcp", d.callers.String(), time.Second)
		if err != nil {
			return
		}
		reader := bufio.NewReader(conn)
		for ctx.Err() == nil {
			id := newID()
			status, closes := exchangeOn(conn, reader, id, body)
			answers.add(id, status)
			if status == 0 || closes {
				break
			}
		}
		_ = conn.Close()
	}
}

// exchangeOn sends one request on a connection and reads the answer. The status is 0 if there is none.
func exchangeOn(conn net.Conn, reader *bufio.Reader, id string, body []byte) (status int, closes bool) {
	if conn.SetDeadline(time.Now().Add(callDeadline)) != nil {
		return 0, true
	}
	if _, err := conn.Write(message(id, http.MethodPost, spoiledTarget, body, callDeadline)); err != nil {
		return 0, true
	}
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		return 0, true
	}
	defer response.Body.Close()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return 0, true
	}
	return response.StatusCode, response.Close
}

// counters are what the quiet scenario counts instead of recording each event.
type counters struct {
	quiet    bool
	accepted atomic.Int64
	spoiled  atomic.Int64
}

// ranTwice returns the requests that ran more than once.
func (l *lab) ranTwice() map[string][]arrival {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	first := make(map[string]arrival, len(l.arrivals))
	twice := make(map[string][]arrival)
	for _, a := range l.arrivals {
		before, ran := first[a.id]
		switch {
		case !ran:
			first[a.id] = a
		case len(twice[a.id]) == 0:
			twice[a.id] = []arrival{before, a}
		default:
			twice[a.id] = append(twice[a.id], a)
		}
	}
	return twice
}

func (l *lab) recordTotals(answers *tally) {
	l.mutex.Lock()
	runs := len(l.arrivals)
	l.mutex.Unlock()
	answers.mutex.Lock()
	defer answers.mutex.Unlock()
	l.log.printf("so far: answers to clients by status %v, runs %d, connections to servers %d, %d of them spoiled",
		answers.counts, runs, l.accepted.Load(), l.spoiled.Load())
}

// recordTwice records the requests that ran more than once and reports whether there are any.
func (l *lab) recordTwice(answers *tally) bool {
	twice := l.ranTwice()
	for id, runs := range twice {
		for _, a := range runs {
			l.log.printf("%s POST %s ran at %s at %.6f s", id, spoiledTarget, a.server, a.ranAt.Sub(l.log.start).Seconds())
		}
		l.log.printf("%s ran %d times; the client got %d", id, len(runs), answers.status[id])
	}
	l.log.printf("%d requests were answered 503 and had run", l.ranThoughRefused(answers))
	l.log.printf("%d requests that may run once ran more often", len(twice))
	return len(twice) > 0
}

// ranThoughRefused returns how many requests ran that were answered by the promise that they never will.
func (l *lab) ranThoughRefused(answers *tally) int {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	count := 0
	for _, a := range l.arrivals {
		if answers.status[a.id] == http.StatusServiceUnavailable {
			count++
		}
	}
	return count
}

// spoilsNext reports whether the server is faulty and has not yet spoiled its share of the answers.
func (u *upstream) spoilsNext() bool {
	if !u.faulty.Load() || float64(u.spoiled.Load()+1) > spoiledShare*float64(u.answered.Load()) {
		return false
	}
	u.spoiled.Add(1)
	return true
}
