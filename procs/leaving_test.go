package procs_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"dandeliondoor/fakes"
	"dandeliondoor/proto"
)

// TestFrontServerLeaving guards against requests to a server whose responses say that it
// leaves, while its entry in the store still says that it is ready: two seconds after a
// daemon has passed such a response on, it may send the server nothing more.
func TestFrontServerLeaving(t *testing.T) {
	t.Parallel()
	const drain = 2 * time.Second
	f := newFrontFleet(t, 3, 3)
	leaving := f.servers[0]
	leaving.Faults.Set(fakes.ServerFaults{Leaving: true})
	f.eventually("a response of the leaving server", func() bool {
		f.sendToAll(t)
		return len(leaving.Arrivals()) > 0
	})
	last := time.Now().Add(drain)
	for end := last.Add(3 * time.Second); time.Now().Before(end); time.Sleep(30 * time.Millisecond) {
		f.sendToAll(t)
	}
	late := 0
	for _, arrival := range leaving.Arrivals() {
		if arrival.At.After(last) {
			late++
		}
	}
	if late > 0 {
		t.Errorf("%d requests reached the leaving server later than %s after its response", late, drain)
	}
}

// sendToAll sends a request to each daemon, which must be served.
func (f *frontFleet) sendToAll(t *testing.T) {
	t.Helper()
	for _, p := range f.fronts {
		if _, status, body, err := f.send(p, http.MethodGet, "/lots/1", ""); err != nil || status != http.StatusOK {
			t.Errorf("status %d %q, error %v", status, body, err)
		}
	}
}

// TestFrontRetryAfter guards against requests to a server that turned one of a daemon
// away and asked it to wait: half a second later at most two may reach it until the end
// of that time, also if no other server is left.
func TestFrontRetryAfter(t *testing.T) {
	t.Parallel()
	const wait, allowedFrom, allowed = 3 * time.Second, 500 * time.Millisecond, 2
	for _, test := range []struct {
		name    string
		servers int
		served  bool
	}{
		{name: "another server", servers: 2, served: true},
		{name: "no other server", servers: 1},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			f := newFrontFleet(t, 1, test.servers)
			busy := f.servers[0]
			busy.Faults.Set(fakes.ServerFaults{Shed: true, RetryAfter: wait})
			served := 0
			for end := time.Now().Add(wait); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
				if _, status, _, err := f.send(f.fronts[0], http.MethodPost, "/bales/1", "lot"); err == nil && status == http.StatusOK {
					served++
				}
			}
			arrivals := busy.Arrivals()
			if len(arrivals) == 0 {
				t.Fatal("no request reached the busy server")
			}
			late := 0
			for _, arrival := range arrivals {
				if arrival.At.After(arrivals[0].At.Add(allowedFrom)) && arrival.At.Before(arrivals[0].At.Add(wait)) {
					late++
				}
			}
			if late > allowed {
				t.Errorf("%d requests reached the server while it wanted none, want at most %d", late, allowed)
			}
			if test.served != (served > 0) {
				t.Errorf("%d requests served", served)
			}
			busy.Faults.Set(fakes.ServerFaults{})
			f.eventually("the server to get requests again", func() bool {
				f.send(f.fronts[0], http.MethodPost, "/bales/1", "lot")
				return len(busy.Arrivals()) > len(arrivals)
			})
		})
	}
}

// TestFrontLeavingStream guards against requests to a server that has announced its end in
// the head of a response whose body is still being passed on.
func TestFrontLeavingStream(t *testing.T) {
	t.Parallel()
	const drain, parallel = 2 * time.Second, 5
	f := newFrontFleet(t, 1, 2)
	leaving := f.servers[0]
	leaving.Faults.Set(fakes.ServerFaults{Leaving: true, Size: 1 << 20, Stream: 3 * drain})
	var response *http.Response
	f.eventually("the head of a response of the leaving server", func() bool {
		if response != nil {
			response.Body.Close()
		}
		response = f.openStream(t, f.fronts[0])
		return len(leaving.Arrivals()) > 0
	})
	defer response.Body.Close()
	last := time.Now().Add(drain)
	// The server announces nothing more, and both are busy enough to get requests.
	f.setServerFaults(fakes.ServerFaults{Work: 100 * time.Millisecond})
	sentLate := make(map[string]bool)
	for end := last.Add(drain); time.Now().Before(end); {
		answers := make([]<-chan stopAnswer, parallel)
		for i := range answers {
			f.requestCount++
			id := fmt.Sprintf("r-%d", f.requestCount)
			sentLate[id] = time.Now().After(last)
			answers[i] = f.post(f.fronts[0], "/bales/1", id)
		}
		for _, answer := range answers {
			<-answer
		}
	}
	late := 0
	for _, arrival := range leaving.Arrivals() {
		if sentLate[arrival.ID] {
			late++
		}
	}
	if late > 0 {
		t.Errorf("%d requests reached the leaving server later than %s after the head of its response", late, drain)
	}
}

// openStream sends a request and returns the response, whose body has not been read.
func (f *frontFleet) openStream(t *testing.T, p *frontProcess) *http.Response {
	t.Helper()
	f.requestCount++
	request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+p.callers.String()+"/works/1", http.NoBody)
	must(t, err)
	request.Host = "souk.example"
	request.Header.Set(proto.HeaderRequestID, fmt.Sprintf("r-%d", f.requestCount))
	request.Header.Set(proto.HeaderDeadline, "15000")
	response, err := (&http.Transport{}).RoundTrip(request)
	must(t, err)
	return response
}
