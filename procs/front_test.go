package procs_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"dandeliondoor/platform"
	"dandeliondoor/proto"
	"dandeliondoor/stand"
	"dandeliondoor/topo"
)

// frontFleet is a fleet of processes before stand-ins of the platform's store
// and servers.
type frontFleet struct {
	*fleet

	store   *stand.Store
	address netip.AddrPort
	servers []*stand.Server
	fronts  []*frontProcess
	sent    int
}

// frontProcess is a daemon with its addresses.
type frontProcess struct {
	*process

	callers   netip.AddrPort
	readiness netip.AddrPort
	daemons   netip.AddrPort
	file      string
}

// frontConfig returns a configuration whose last route has the given prefix.
func frontConfig(version uint64, prefix string) *topo.Config {
	souk := []topo.Target{{Service: "souk", Weight: 1}}
	return &topo.Config{
		Version: version,
		Limits:  topo.Limits{HeaderBytes: 16384, BodyBytes: 1000, HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second},
		Routes: []topo.Route{
			{
				Name: "lots", Host: "souk.example", Prefix: "/lots/", Idempotent: true, Timeout: 3 * time.Second,
				Objective: time.Second, Attempts: 3, Priority: 1, Targets: souk,
			},
			{
				Name: "brief", Host: "souk.example", Prefix: "/brief/", Timeout: time.Second,
				Objective: 500 * time.Millisecond, Attempts: 2, Targets: souk,
			},
			{
				Name: "bales", Host: "souk.example", Prefix: "/" + prefix + "/", Timeout: 3 * time.Second,
				Objective: time.Second, Attempts: 2, Targets: souk,
			},
		},
	}
}

func newFrontFleet(t *testing.T, fronts, servers int) *frontFleet {
	t.Helper()
	f := &frontFleet{fleet: &fleet{t: t, directory: t.TempDir()}, store: stand.NewStore()}
	f.address = f.serve(f.store.Handler())
	f.publishFront(1, "bales")
	for i := range servers {
		var server *stand.Server
		address := f.serve(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { server.ServeHTTP(w, r) }))
		server = stand.NewServer(fmt.Sprintf("i-%d", i), "souk", zones[i%2], address)
		must(t, server.Register(f.store, false))
		f.servers = append(f.servers, server)
	}
	for i := range fronts {
		f.startFront(fmt.Sprintf("front-%d", i), zones[i%2])
	}
	for _, p := range f.fronts {
		f.frontReady(p)
	}
	return f
}

// serve serves a handler until the test ends.
func (f *frontFleet) serve(handler http.Handler) netip.AddrPort {
	server := httptest.NewServer(handler)
	f.t.Cleanup(server.CloseClientConnections)
	return netip.MustParseAddrPort(server.Listener.Addr().String())
}

func (f *frontFleet) publishFront(version uint64, prefix string) {
	data, err := platform.EncodeConfig(frontConfig(version, prefix))
	must(f.t, err)
	f.store.Put(platform.OperatorTopic, platform.ConfigKey, data)
}

func (f *frontFleet) startFront(name, zone string) *frontProcess {
	p := &frontProcess{
		callers: freeAddress(f.t), readiness: freeAddress(f.t), daemons: freeAddress(f.t),
		file: filepath.Join(f.directory, name+".yaml"),
	}
	text := fmt.Sprintf(`name: %s
zone: %s
listen: {callers: %s, readiness: %s, daemons: %s, operators: %s}
store: {address: %s, drain_due: 2s}
stop: {balancer_lag: 300ms, limit: 6s}
logs: {level: debug}
`, name, zone, p.callers, p.readiness, p.daemons, freeAddress(f.t), f.address)
	must(f.t, os.WriteFile(p.file, []byte(text), 0o600))
	p.process = f.start(name, "front", "--settings", p.file)
	f.fronts = append(f.fronts, p)
	return p
}

func (f *frontFleet) frontReady(p *frontProcess) {
	f.eventually(p.name+" is ready", func() bool {
		response, err := http.Get("http://" + p.readiness.String() + platform.ReadyPath)
		if err != nil {
			return false
		}
		response.Body.Close()
		return response.StatusCode == http.StatusOK
	})
}

// send sends one request and returns its id, the status and the body.
func (f *frontFleet) send(p *frontProcess, method, path, body string) (id string, status int, answer string, err error) {
	f.sent++
	id = fmt.Sprintf("r-%d", f.sent)
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+p.callers.String()+path, bytes.NewReader([]byte(body)))
	must(f.t, err)
	request.Host = "souk.example"
	request.Header.Set(proto.HeaderRequestID, id)
	request.Header.Set(proto.HeaderDeadline, "2500")
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return id, 0, "", err
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	return id, response.StatusCode, string(data), err
}

// ran returns how often a request ran on all servers.
func (f *frontFleet) ran(id string) int {
	count := 0
	for _, server := range f.servers {
		count += server.Runs()[id]
	}
	return count
}

// all sets the faults of all servers.
func (f *frontFleet) all(faults stand.ServerFaults) {
	for _, server := range f.servers {
		server.Faults.Set(faults)
	}
}

// TestFrontOutcomes breaks all servers in one way: what the caller is told of a
// request is true, and one that is not idempotent runs at most once.
func TestFrontOutcomes(t *testing.T) {
	t.Parallel()
	f := newFrontFleet(t, 2, 3)
	for _, test := range []struct {
		name   string
		faults stand.ServerFaults
		method string
		path   string
		body   string
		status int
		ran    int
	}{
		{name: "answer without signature", faults: stand.ServerFaults{Unsigned: true}, method: http.MethodPost, path: "/bales/1", status: http.StatusBadGateway, ran: 1},
		{name: "another answer first", faults: stand.ServerFaults{Foreign: true}, method: http.MethodPost, path: "/bales/1", status: http.StatusOK, ran: 1},
		{name: "another server at the address", faults: stand.ServerFaults{Moved: true}, method: http.MethodPost, path: "/bales/1", status: http.StatusServiceUnavailable},
		{name: "body too large", method: http.MethodPost, path: "/bales/1", body: strings.Repeat("x", 2000), status: http.StatusRequestEntityTooLarge},
		{name: "cut", faults: stand.ServerFaults{Cut: true}, method: http.MethodPost, path: "/bales/1", status: http.StatusBadGateway, ran: 1},
		{name: "cut, idempotent", faults: stand.ServerFaults{Cut: true}, method: http.MethodGet, path: "/lots/1", status: http.StatusBadGateway, ran: 3},
		{name: "fails", faults: stand.ServerFaults{Fail: true}, method: http.MethodPost, path: "/bales/1", status: http.StatusInternalServerError, ran: 1},
		{name: "half an answer", faults: stand.ServerFaults{Short: true}, method: http.MethodPost, path: "/bales/1", status: http.StatusBadGateway, ran: 1},
		{name: "head too large", method: http.MethodPost, path: "/bales/" + strings.Repeat("x", 17000), status: http.StatusRequestHeaderFieldsTooLarge},
		{name: "large answer", faults: stand.ServerFaults{Size: 1 << 20}, method: http.MethodPost, path: "/bales/1", status: http.StatusOK, ran: 1},
		{name: "longer than the caller waits", faults: stand.ServerFaults{Work: 3 * time.Second}, method: http.MethodPost, path: "/bales/1", status: http.StatusGatewayTimeout, ran: 1},
		{name: "longer than the route allows", faults: stand.ServerFaults{Work: 2 * time.Second}, method: http.MethodPost, path: "/brief/1", status: http.StatusGatewayTimeout, ran: 1},
		{name: "longer than usual, once only", faults: stand.ServerFaults{Work: 1500 * time.Millisecond}, method: http.MethodPost, path: "/bales/1", status: http.StatusOK, ran: 1},
		{name: "no route", method: http.MethodGet, path: "/lotsy/1", status: http.StatusNotFound},
		{name: "refuses after a run", faults: stand.ServerFaults{Mute: true}, method: http.MethodPost, path: "/bales/1", status: http.StatusBadGateway, ran: 1},
		{name: "sheds", faults: stand.ServerFaults{Shed: true}, method: http.MethodPost, path: "/bales/1", status: http.StatusServiceUnavailable},
		{name: "usual", method: http.MethodPost, path: "/bales/1?lot=%2F12", body: "sacks", status: http.StatusOK, ran: 1},
	} {
		f.all(test.faults)
		id, status, answer, err := f.send(f.fronts[0], test.method, test.path, test.body)
		if err != nil || status != test.status {
			t.Errorf("%s: status %d %q, error %v, want %d", test.name, status, answer, err, test.status)
		}
		if ran := f.ran(id); ran != test.ran {
			t.Errorf("%s: ran %d times, want %d", test.name, ran, test.ran)
		}
		if test.name == "usual" && !strings.HasSuffix(answer, "POST /bales/1?lot=%2F12 sacks") {
			t.Errorf("the server got %q", answer)
		}
	}
}

// TestFrontBrokenAnswer lets a server break off within a large answer, of which a
// part was passed on: the caller sees that it is not whole.
func TestFrontBrokenAnswer(t *testing.T) {
	t.Parallel()
	f := newFrontFleet(t, 1, 1)
	f.all(stand.ServerFaults{Short: true, Size: 4 << 20})
	id, _, answer, err := f.send(f.fronts[0], http.MethodPost, "/bales/1", "")
	if err == nil {
		t.Errorf("%d bytes of a broken answer look complete", len(answer))
	}
	if ran := f.ran(id); ran != 1 {
		t.Errorf("ran %d times, want once", ran)
	}
}

// TestFrontThaw stops a daemon's process while a route is added: a request that
// waits for it when it goes on is not told that there is no such route.
func TestFrontThaw(t *testing.T) {
	t.Parallel()
	f := newFrontFleet(t, 2, 2)
	for i, p := range f.fronts {
		p.signal(t, syscall.SIGSTOP)
		prefix := fmt.Sprintf("sacks%d", i)
		f.publishFront(uint64(i+2), prefix)
		time.Sleep(4 * time.Second)
		status := make(chan int, 1)
		go func() {
			_, got, _, err := f.send(p, http.MethodPost, "/"+prefix+"/1", "")
			if err != nil {
				t.Error(err)
			}
			status <- got
		}()
		time.Sleep(200 * time.Millisecond)
		p.signal(t, syscall.SIGCONT)
		if got := <-status; got != http.StatusOK {
			t.Errorf("%s answered %d, want 200", p.name, got)
		}
	}
}

// TestFrontLife takes a small fleet through an outage of the store, a new
// configuration, a leaving server, a killed daemon and a planned stop.
func TestFrontLife(t *testing.T) {
	t.Parallel()
	f := newFrontFleet(t, 4, 3)
	serves := func(p *frontProcess, path string) bool {
		_, status, _, err := f.send(p, http.MethodPost, path, "sacks")
		return err == nil && status == http.StatusOK
	}
	f.store.Faults.Set(stand.StoreFaults{Silent: true})
	time.Sleep(2 * time.Second)
	for _, p := range f.fronts {
		if !serves(p, "/bales/1") {
			t.Errorf("%s does not serve while the store is out", p.name)
		}
	}
	f.store.Faults.Set(stand.StoreFaults{})
	f.publishFront(10, "sacks")
	for _, p := range f.fronts {
		f.eventually(p.name+" serves by version 10", func() bool { return serves(p, "/sacks/1") && !serves(p, "/bales/1") })
	}
	f.publishFront(9, "bales")
	must(t, f.servers[0].Register(f.store, true))
	time.Sleep(2 * time.Second)
	before := len(f.servers[0].Runs())
	f.fronts[0].signal(t, syscall.SIGKILL)
	f.fronts[0].exit(t)
	for _, p := range f.fronts[1:] {
		f.eventually(p.name+" serves after a kill", func() bool { return serves(p, "/sacks/1") })
		if serves(p, "/bales/1") {
			t.Errorf("%s went back to an older version", p.name)
		}
	}
	if after := len(f.servers[0].Runs()); after != before {
		t.Errorf("a draining server got %d requests", after-before)
	}
	f.all(stand.ServerFaults{Work: time.Second})
	served := make(chan bool, 1)
	go func() { served <- serves(f.fronts[1], "/sacks/1") }()
	time.Sleep(300 * time.Millisecond)
	f.fronts[1].signal(t, syscall.SIGTERM)
	time.Sleep(100 * time.Millisecond)
	if !serves(f.fronts[1], "/sacks/1") {
		t.Error("a daemon that is stopping refuses requests that the balancer still sends")
	}
	if !<-served {
		t.Error("a planned stop cut a request")
	}
	if code := f.fronts[1].exit(t); code != 0 {
		t.Errorf("exit code %d", code)
	}
}
