package main

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"dandeliondoor/platform"
	"dandeliondoor/proto"
)

// What a server can hold.
const (
	serverSlots = 3
	serverQueue = 3
	bodyLength  = 100
	// beatInterval is how often waitBeat looks.
	beatInterval = 5 * time.Millisecond
)

// The states of a server.
const (
	stateDraining = "draining"
	stateReady    = "ready"
)

// server is a stand-in for a server, which writes its answers itself. While repeats is set,
// it begins to send a share of them a second time and breaks that off. The begin arrives
// late: where the next answer on the connection is expected.
type server struct {
	rig     *rig
	id      string
	service string
	address netip.AddrPort
	work    time.Duration
	repeats atomic.Bool
	share   float64
	held    atomic.Int64
	lateBy  atomic.Int64
	slots   chan struct{}
	exit    context.CancelFunc

	mutex     sync.Mutex
	ran       map[string]int
	state     string
	drainedAt time.Time
	lateAt    time.Time
	beatAt    time.Time
	late      []string
	counted   int
	repeated  int
	sequence  int64
	born      int64
}

// addServer starts a server that registers itself, and does so again every heartbeat_s.
func (r *rig) addServer(ctx context.Context, id, service string, work time.Duration) (*server, error) {
	listener, address, err := listen(ctx)
	if err != nil {
		return nil, err
	}
	s := &server{
		rig: r, id: id, service: service, address: address, work: work,
		slots: make(chan struct{}, serverSlots), ran: make(map[string]int), born: time.Now().UnixMilli(), state: stateReady,
	}
	ctx, s.exit = context.WithCancel(ctx)
	s.register(0)
	r.running.Go(func() {
		for pause(ctx, heartbeat) == nil {
			s.register(time.Duration(s.lateBy.Swap(0)))
		}
		// The store removes the entry of a server that has left.
		r.store.Put(platform.ServerTopic, s.id, nil)
	})
	context.AfterFunc(ctx, func() { _ = listener.Close() })
	r.running.Go(func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			context.AfterFunc(ctx, func() { _ = conn.Close() })
			r.running.Go(func() { s.serve(ctx, conn) })
		}
	})
	return s, nil
}

// register writes the server's entry to the store. A write that the store does late is
// executed only after a delay.
func (s *server) register(delay time.Duration) {
	s.mutex.Lock()
	s.sequence++
	s.beatAt = time.Now()
	sequence, state := s.sequence, s.state
	s.mutex.Unlock()
	data, err := json.Marshal(map[string]any{
		"service": s.service, "address": s.address.String(), "zone": "zone-0", "version": "v1", "slots": serverSlots,
		"state": state, "warmup_left_s": 0.0, "seq": sequence, "born": s.born,
	})
	if err != nil {
		return
	}
	put := func() {
		s.rig.store.Put(platform.ServerTopic, s.id, data)
		if state == stateDraining || delay > 0 {
			s.rig.logf("store: %s is %s, heartbeat %d", s.id, state, sequence)
		}
	}
	if delay == 0 {
		put()
		return
	}
	s.rig.logf("store: heartbeat %d of %s, %s, gets no answer and is done %s later", sequence, s.id, state, delay)
	s.mutex.Lock()
	s.lateAt = time.Now()
	s.mutex.Unlock()
	time.AfterFunc(delay, put)
}

// drain makes the server report that it leaves.
func (s *server) drain() {
	s.mutex.Lock()
	s.state, s.drainedAt = stateDraining, time.Now()
	s.mutex.Unlock()
	s.register(0)
}

// lostWriteAt returns when the server sent the heartbeat that the store does late, zero
// before that.
func (s *server) lostWriteAt() time.Time {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.lateAt
}

// waitBeat waits until the server has just written its entry.
func (s *server) waitBeat(ctx context.Context) error {
	last := s.lastBeat()
	for s.lastBeat().Equal(last) {
		if err := pause(ctx, beatInterval); err != nil {
			return err
		}
	}
	return nil
}

func (s *server) lastBeat() time.Time {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.beatAt
}

// forge writes an entry under the server's ID as another writer does: it names another
// service and lacks the field born.
func (s *server) forge(service string) error {
	data, err := json.Marshal(map[string]any{
		"service": service, "address": s.address.String(), "zone": "zone-0", "version": "v1", "slots": serverSlots,
		"state": stateReady, "warmup_left_s": 0.0, "seq": 1,
	})
	if err != nil {
		return errors.Wrap(err, "encode entry")
	}
	s.rig.store.Put(platform.ServerTopic, s.id, data)
	s.rig.logf("store: another writer's entry of %s: %s", s.id, data)
	return nil
}

// recordLate records a request that reaches the server later than drain_s after the store
// accepted that it drains.
func (s *server) recordLate(id string) {
	since := s.since()
	if since <= drainDue {
		return
	}
	s.rig.logf("BROKEN: %s reaches %s %.2f s after the store accepted that it drains", id, s.id, since.Seconds())
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.late = append(s.late, id)
}

// lateRequests returns the requests that came too late.
func (s *server) lateRequests() []string {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return slices.Clone(s.late)
}

// since returns how long ago the store accepted that the server drains, 0 if it has not.
func (s *server) since() time.Duration {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.drainedAt.IsZero() {
		return 0
	}
	return time.Since(s.drainedAt)
}

// runs returns how often the server ran each request.
func (s *server) runs() map[string]int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	counts := make(map[string]int, len(s.ran))
	for id, count := range s.ran {
		counts[id] = count
	}
	return counts
}

// serve answers the requests of one connection, one at a time.
func (s *server) serve(ctx context.Context, conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	left := ""
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return
		}
		id := request.Header.Get(proto.HeaderRequestID)
		text := s.answer(ctx, id, request.Header.Get(platform.HeaderInstance))
		if text == "" {
			return
		}
		if left != "" {
			s.rig.logf("%s writes %q before its answer to %s", s.id, left, id)
		}
		if _, err := io.WriteString(conn, left+text); err != nil {
			return
		}
		left = ""
		if s.repeats.Load() && s.mayRepeat() {
			left = text[:1+rand.IntN(len(text)-1)]
		}
	}
}

// mayRepeat counts an answer and reports whether a part of it is repeated. Never are more
// than the share of all answers counted so far.
func (s *server) mayRepeat() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.counted++
	if float64(s.repeated+1) > s.share*float64(s.counted) {
		return false
	}
	s.repeated++
	return true
}

// answer runs a request, if there is room, and returns the answer. It is empty if the server
// exits meanwhile.
func (s *server) answer(ctx context.Context, id, expected string) string {
	if expected != "" && expected != s.id {
		return s.format(http.StatusMisdirectedRequest, "", id, "")
	}
	s.recordLate(id)
	if s.held.Add(1) > serverSlots+serverQueue {
		s.held.Add(-1)
		return s.format(http.StatusServiceUnavailable, platform.HeaderNotRun+": 1\r\n", id, "")
	}
	defer s.held.Add(-1)
	s.slots <- struct{}{}
	defer func() { <-s.slots }()
	s.mutex.Lock()
	s.ran[id]++
	s.mutex.Unlock()
	s.rig.logf("%s runs %s", s.id, id)
	if pause(ctx, s.work) != nil {
		s.rig.logf("%s exits while it runs %s", s.id, id)
		return ""
	}
	return s.format(http.StatusOK, "", id, platform.HeaderSignature+": signed-"+id+"\r\n")
}

// format returns an answer: the status line, a header of the status, the usual ones of an
// HTTP server, and those of the platform.
func (s *server) format(status int, first, id, signature string) string {
	body := ""
	if status == http.StatusOK {
		body = id + " " + s.id + " " + strings.Repeat(".", bodyLength)
	}
	return fmt.Sprintf("HTTP/1.1 %d %s\r\n", status, http.StatusText(status)) + first +
		"Date: " + time.Now().UTC().Format(http.TimeFormat) + "\r\nServer: souk/1.4\r\nContent-Type: text/plain; charset=utf-8\r\n" +
		"Keep-Alive: timeout=10\r\n" + proto.HeaderRequestID + ": " + id + "\r\n" + signature +
		fmt.Sprintf("%s: %d,%d,%d\r\n", platform.HeaderLoad, len(s.slots), max(s.held.Load()-serverSlots, 0), serverSlots) +
		fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body)
}
