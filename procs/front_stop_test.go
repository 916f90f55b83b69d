package procs_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"dandeliondoor/fakes"
	"dandeliondoor/proto"
)

// lastSixth is when the last sixth of the time for a stop begins. A request that its
// server still works on may not be ended earlier.
const lastSixth = stopLimit * 5 / 6

// stopAnswer is the response to a request that was sent around a stop, or the error of
// the caller, and when it came.
type stopAnswer struct {
	status     int
	reason     string
	closes     bool
	retryAfter string
	size       int64
	err        error
	at         time.Time
}

// request sends a request with a deadline of 15 s in the background.
func (f *frontFleet) request(p *frontProcess, method, path, id string, body io.Reader, length int64) <-chan stopAnswer {
	answers := make(chan stopAnswer, 1)
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	request, err := http.NewRequestWithContext(ctx, method, "http://"+p.callers.String()+path, body)
	must(f.t, err)
	request.ContentLength = length
	request.Host = "souk.example"
	request.Header.Set(proto.HeaderRequestID, id)
	request.Header.Set(proto.HeaderDeadline, "15000")
	go func() {
		defer cancel()
		answers <- answerTo(request)
	}()
	return answers
}

// answerTo sends a request over a connection of its own.
func answerTo(request *http.Request) stopAnswer {
	transport := &http.Transport{}
	defer transport.CloseIdleConnections()
	response, err := transport.RoundTrip(request)
	if err != nil {
		return stopAnswer{err: err, at: time.Now()}
	}
	defer response.Body.Close()
	size, err := io.Copy(io.Discard, response.Body)
	return stopAnswer{
		status: response.StatusCode, reason: response.Header.Get(proto.HeaderReason), closes: response.Close,
		retryAfter: response.Header.Get("Retry-After"), size: size, err: err, at: time.Now(),
	}
}

// post sends a POST request without a body in the background.
func (f *frontFleet) post(p *frontProcess, path, id string) <-chan stopAnswer {
	return f.request(p, http.MethodPost, path, id, http.NoBody, 0)
}

// arrivals returns the arrivals of a request at all servers.
func (f *frontFleet) arrivals(id string) []fakes.Arrival {
	var arrivals []fakes.Arrival
	for _, server := range f.servers {
		for _, arrival := range server.Arrivals() {
			if arrival.ID == id {
				arrivals = append(arrivals, arrival)
			}
		}
	}
	return arrivals
}

func (f *frontFleet) waitArrival(id string) {
	f.eventually(id+" to reach a server", func() bool { return len(f.arrivals(id)) > 0 })
}

// stop sends SIGTERM to a daemon and returns the time.
func (f *frontFleet) stop(p *frontProcess) time.Time {
	began := time.Now()
	p.signal(f.t, syscall.SIGTERM)
	return began
}

// checkExit waits until a daemon has exited and checks that this was in time.
func (f *frontFleet) checkExit(p *frontProcess, began time.Time) {
	f.t.Helper()
	code := p.waitExit(f.t)
	if took := time.Since(began); code != 0 || took > stopLimit {
		f.t.Errorf("exited with code %d after %s:\n%s", code, took.Round(time.Millisecond), p.output)
	}
}

// checkDrained checks the counts in the log line at the end of a stop: of the requests
// that were answered then, and of those that got no complete answer.
func (f *frontFleet) checkDrained(p *frontProcess, answered, aborted int) {
	f.t.Helper()
	for line := range strings.Lines(p.output.String()) {
		var entry struct {
			Message  string `json:"msg"`
			Answered int    `json:"answered_at_end"`
			Aborted  int    `json:"aborted"`
		}
		if json.Unmarshal([]byte(line), &entry) != nil || entry.Message != "drained" {
			continue
		}
		if entry.Answered != answered || entry.Aborted != aborted {
			f.t.Errorf("got the log line %s, want %d answered at the end and %d aborted", line, answered, aborted)
		}
		return
	}
	f.t.Error("there is no line at the end of the stop")
}

// checkEnds checks how a daemon's log says that requests ended without a complete answer.
func (f *frontFleet) checkEnds(p *frontProcess, want map[string]string) {
	f.t.Helper()
	f.eventually("the ends of the requests in the log", func() bool {
		ends := make(map[string]string)
		for line := range strings.Lines(p.output.String()) {
			var entry struct {
				Message string `json:"msg"`
				ID      string `json:"request_id"`
				Cause   string `json:"cause"`
			}
			if json.Unmarshal([]byte(line), &entry) == nil && entry.Message == "request ended" {
				ends[entry.ID] = entry.Cause
			}
		}
		return maps.Equal(ends, want)
	})
}

// TestFrontEndCauses ends requests without a complete answer in several ways. The log
// and the metric must tell these apart. Issue 27: all lines said that the caller left.
func TestFrontEndCauses(t *testing.T) {
	t.Parallel()
	f := newFrontFleet(t, 1, 3)
	p := f.fronts[0]
	f.setServerFaults(fakes.ServerFaults{Short: true, Size: 4 << 20})
	<-f.post(p, "/works/1", "cut")
	f.setServerFaults(fakes.ServerFaults{EndlessBody: true})
	<-f.post(p, "/brief/1", "late")
	stream := f.post(p, "/works/2", "stream")
	f.waitArrival("stream")
	f.setServerFaults(fakes.ServerFaults{Work: 3 * time.Second})
	conn, err := net.Dial("tcp", p.callers.String())
	must(t, err)
	_, err = io.WriteString(conn, "POST /works/3 HTTP/1.1\r\nHost: souk.example\r\n"+proto.HeaderRequestID+": left\r\nContent-Length: 0\r\n\r\n")
	must(t, err)
	f.waitArrival("left")
	must(t, conn.Close())
	ends := map[string]string{"cut": "server", "late": "deadline", "left": "caller_left"}
	f.checkEnds(p, ends)
	metrics, err := http.Get("http://" + p.operators.String() + "/metrics")
	must(t, err)
	defer metrics.Body.Close()
	text, err := io.ReadAll(metrics.Body)
	must(t, err)
	for _, cause := range ends {
		if line := fmt.Sprintf("dandeliondoor_front_ended_total{cause=%q} 1\n", cause); !strings.Contains(string(text), line) {
			t.Errorf("the metrics lack %s", line)
		}
	}
	began := f.stop(p)
	<-stream
	f.checkExit(p, began)
	ends["stream"] = "daemon_stopping"
	f.checkEnds(p, ends)
}

// TestFrontStopSignals sends more signals and new settings to a daemon that is stopping,
// some of them invalid. It must go on as before.
func TestFrontStopSignals(t *testing.T) {
	t.Parallel()
	f := newFrontFleet(t, 1, 2)
	p := f.fronts[0]
	f.setServerFaults(fakes.ServerFaults{Work: 3 * time.Second})
	pending := f.post(p, "/works/1", "pending")
	f.waitArrival("pending")
	began := f.stop(p)
	settings, err := os.ReadFile(p.settingsFile)
	must(t, err)
	for i := range 10 {
		time.Sleep(200 * time.Millisecond)
		text := strings.Replace(string(settings), "limit: 6s", "limit: 1s", 1)
		if i%2 == 0 {
			text = "name: ["
		}
		must(t, os.WriteFile(p.settingsFile, []byte(text), 0o600))
		for _, signal := range []syscall.Signal{syscall.SIGHUP, syscall.SIGTERM, syscall.SIGINT, syscall.SIGUSR1} {
			p.signal(t, signal)
		}
	}
	if answer := <-pending; answer.err != nil || answer.status != http.StatusOK {
		t.Errorf("got %+v, want status 200", answer)
	}
	f.checkExit(p, began)
}

// checkRefused checks that a request was refused because the daemon stops, and that no
// server got it.
func (f *frontFleet) checkRefused(id string, answer stopAnswer) {
	f.t.Helper()
	if answer.err != nil || answer.status != http.StatusServiceUnavailable || answer.reason != "daemon_is_stopping" {
		f.t.Errorf("%s: got %+v, want a refusal", id, answer)
	}
	if arrivals := f.arrivals(id); len(arrivals) > 0 {
		f.t.Errorf("%s reached a server %d times", id, len(arrivals))
	}
}

// slowBody is a request body whose end comes when its channel is closed.
type slowBody struct {
	start io.Reader
	end   <-chan struct{}
	ended bool
}

// Read implements io.Reader.
func (b *slowBody) Read(data []byte) (int, error) {
	if count, err := b.start.Read(data); err == nil {
		return count, nil
	}
	<-b.end
	if b.ended {
		return 0, io.EOF
	}
	b.ended = true
	return copy(data, "."), nil
}

// TestFrontStopCutsAtEnd stops a daemon while servers work on more requests than fit
// into the grace. Issue 27: they were cut with no answer at its end.
func TestFrontStopCutsAtEnd(t *testing.T) {
	t.Parallel()
	f := newFrontFleet(t, 1, 4)
	f.setServerFaults(fakes.ServerFaults{Work: 10 * time.Second})
	const count = 8
	var answers []<-chan stopAnswer
	for i := range count {
		id := fmt.Sprintf("long-%d", i)
		answers = append(answers, f.post(f.fronts[0], fmt.Sprintf("/works/%d", i), id))
		f.waitArrival(id)
	}
	began := f.stop(f.fronts[0])
	for i, pending := range answers {
		answer := <-pending
		if answer.err != nil || answer.status != http.StatusGatewayTimeout || answer.reason != "daemon_is_stopping" {
			t.Errorf("request %d: got %+v, want status 504", i, answer)
		}
		if after := answer.at.Sub(began); after < lastSixth {
			t.Errorf("request %d was ended %s after the signal", i, after)
		}
	}
	f.checkExit(f.fronts[0], began)
	f.checkDrained(f.fronts[0], count, 0)
}

// TestFrontStopAbortsStreams stops a daemon while it passes on a response without end.
// The response must not look complete, and the daemon must exit in time.
func TestFrontStopAbortsStreams(t *testing.T) {
	t.Parallel()
	f := newFrontFleet(t, 1, 1)
	f.setServerFaults(fakes.ServerFaults{EndlessBody: true})
	pending := f.post(f.fronts[0], "/works/1", "stream")
	f.waitArrival("stream")
	began := f.stop(f.fronts[0])
	answer := <-pending
	if answer.err == nil || answer.status != http.StatusOK {
		t.Errorf("got %+v, want a response that is cut short", answer)
	}
	if after := answer.at.Sub(began); after < lastSixth {
		t.Errorf("the response was cut %s after the signal", after)
	}
	f.checkExit(f.fronts[0], began)
	f.checkDrained(f.fronts[0], 0, 1)
}

// TestFrontStopLateBody sends a request whose body is complete only after the daemon
// refuses new requests, and one whose body is never complete. Issue 27: a request that
// came late in the grace was passed on.
func TestFrontStopLateBody(t *testing.T) {
	t.Parallel()
	f := newFrontFleet(t, 1, 2)
	complete, never := make(chan struct{}), make(chan struct{})
	time.AfterFunc(stopLimit+2*time.Second, func() { close(never) })
	late := f.request(f.fronts[0], http.MethodPost, "/works/1", "late", &slowBody{start: strings.NewReader("lot"), end: complete}, 4)
	open := f.request(f.fronts[0], http.MethodPost, "/works/2", "open", &slowBody{start: strings.NewReader("lot"), end: never}, 4)
	time.Sleep(200 * time.Millisecond)
	began := f.stop(f.fronts[0])
	time.Sleep(time.Second)
	close(complete)
	f.checkRefused("late", <-late)
	f.checkRefused("open", <-open)
	f.checkExit(f.fronts[0], began)
}

// TestFrontStopLateRetry makes servers fail late in the grace. Issue 27: a request that
// came late in the grace was passed on; this one was sent once more and was cut.
func TestFrontStopLateRetry(t *testing.T) {
	t.Parallel()
	f := newFrontFleet(t, 1, 3)
	f.setServerFaults(fakes.ServerFaults{Work: stopLimit - time.Second, Fail: true})
	pending := f.request(f.fronts[0], http.MethodGet, "/waits/1", "retried", http.NoBody, 0)
	f.waitArrival("retried")
	began := f.stop(f.fronts[0])
	answer := <-pending
	if answer.err != nil || answer.status < http.StatusInternalServerError {
		t.Errorf("got %+v, want an error status", answer)
	}
	for _, arrival := range f.arrivals("retried") {
		if after := arrival.At.Sub(began); after > stopLimit-2*time.Second {
			t.Errorf("it reached a server %s after the signal", after)
		}
	}
	f.checkExit(f.fronts[0], began)
}

// TestFrontStopSilentStore stops a daemon while the store does not answer. Issue 27: a
// request that came late in the grace was passed on, since the daemon waited for the
// store before the time until it refuses new requests.
func TestFrontStopSilentStore(t *testing.T) {
	t.Parallel()
	f := newFrontFleetWithLag(t, 1, 2, 2800*time.Millisecond)
	f.store.Faults.Set(fakes.StoreFaults{Silent: true})
	f.setServerFaults(fakes.ServerFaults{Work: 10 * time.Millisecond})
	began := f.stop(f.fronts[0])
	for i := 0; time.Since(began) < 3200*time.Millisecond; i++ {
		id := fmt.Sprintf("steady-%d", i)
		sent := time.Since(began)
		answer := <-f.post(f.fronts[0], "/works/1", id)
		switch {
		case sent < 2500*time.Millisecond && (answer.err != nil || answer.status != http.StatusOK):
			t.Errorf("%s, sent after %s: got %+v, want status 200", id, sent, answer)
		case sent > 3*time.Second && answer.err == nil:
			f.checkRefused(id, answer)
		case sent > 3*time.Second:
			if arrivals := f.arrivals(id); len(arrivals) > 0 {
				t.Errorf("%s, sent after %s, reached a server", id, sent)
			}
		}
		time.Sleep(20 * time.Millisecond)
	}
	f.checkExit(f.fronts[0], began)
}

// TestFrontStopBounds sends requests between the signal and the refusal of new requests.
// One that can't be finished in time is refused, the others reach a server with no more
// time than is left, and all responses end their connections, also those to requests
// that came before the signal. Issue 27: requests that came late in the grace were
// passed on and cut at its end.
func TestFrontStopBounds(t *testing.T) {
	t.Parallel()
	f := newFrontFleetWithLag(t, 1, 4, 2500*time.Millisecond)
	f.setServerFaults(fakes.ServerFaults{Work: time.Second})
	before := f.post(f.fronts[0], "/works/1", "before")
	f.waitArrival("before")
	began := f.stop(f.fronts[0])
	time.Sleep(300 * time.Millisecond)
	after, endless := f.post(f.fronts[0], "/works/2", "after"), f.post(f.fronts[0], "/years/1", "endless")
	for id, pending := range map[string]<-chan stopAnswer{"before": before, "after": after} {
		if answer := <-pending; answer.err != nil || answer.status != http.StatusOK || !answer.closes {
			t.Errorf("%s: got %+v, want status 200 and the end of the connection", id, answer)
		}
	}
	answer := <-endless
	f.checkRefused("endless", answer)
	if !answer.closes || answer.retryAfter == "" || answer.at.Sub(began) > 2*time.Second {
		t.Errorf("endless: got %+v", answer)
	}
	for _, arrival := range f.arrivals("after") {
		if end := arrival.At.Add(arrival.Left); arrival.Left <= 0 || end.After(began.Add(stopLimit)) {
			t.Errorf("a server got %s, until %s after the signal", arrival.Left, end.Sub(began))
		}
	}
	f.checkExit(f.fronts[0], began)
}

// TestFrontStopAllServersFull stops a daemon while more requests wait for a server than
// the servers can work on. Each gets a response, and one that promises that the request
// has not run is true.
func TestFrontStopAllServersFull(t *testing.T) {
	t.Parallel()
	f := newFrontFleetWithLag(t, 1, 1, 1500*time.Millisecond)
	f.setServerFaults(fakes.ServerFaults{Work: 10 * time.Second})
	answers := make(map[string]<-chan stopAnswer)
	send := func(count int) {
		for range count {
			id := fmt.Sprintf("full-%d", len(answers))
			answers[id] = f.post(f.fronts[0], "/works/"+id, id)
			time.Sleep(10 * time.Millisecond)
		}
	}
	send(12)
	began := f.stop(f.fronts[0])
	send(12)
	for id, pending := range answers {
		answer := <-pending
		ran := f.runCount(id) > 0
		if answer.err != nil || (ran && answer.status != http.StatusGatewayTimeout) || (!ran && answer.status != http.StatusServiceUnavailable) {
			t.Errorf("%s: ran %t, got %+v", id, ran, answer)
		}
	}
	f.checkExit(f.fronts[0], began)
}
