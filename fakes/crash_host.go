package fakes

import (
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"time"

	"dandeliondoor/platform"
	"dandeliondoor/proto"
)

// CrashPath is the end of the path of requests that crash a CrashHost.
const CrashPath = "/crash"

// CrashHost runs a Server that crashes on requests for CrashPath: it closes its port
// and all connections, and starts again after a pause as another incarnation, in turn
// under a new ID and under the same one. While the server has the fault Fail it
// responds with 500 instead.
type CrashHost struct {
	store   *Store
	name    string
	service string
	zone    string
	address netip.AddrPort
	pause   time.Duration

	mutex    sync.Mutex
	server   *Server
	http     *http.Server
	faults   ServerFaults
	starts   int64
	ended    bool
	crashes  []time.Time
	arrivals []Arrival
}

// NewCrashHost returns a host that is down for a pause after each crash. Start starts
// it.
func NewCrashHost(store *Store, name, service, zone string, address netip.AddrPort, pause time.Duration) *CrashHost {
	return &CrashHost{store: store, name: name, service: service, zone: zone, address: address, pause: pause}
}

// SetFaults replaces the faults of the server, now and after restarts.
func (h *CrashHost) SetFaults(faults ServerFaults) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.faults = faults
	if h.server != nil {
		h.server.Faults.Set(faults)
	}
}

// Start starts the next incarnation and registers it in the store.
func (h *CrashHost) Start() error {
	listener, err := net.Listen("tcp", h.address.String())
	if err != nil {
		return err
	}
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if h.ended {
		return listener.Close()
	}
	h.starts++
	const startsPerID = 2
	id := fmt.Sprintf("%s-%d", h.name, h.starts/startsPerID)
	if previous := h.server; previous != nil && previous.id != id {
		previous.Leave(h.store)
	}
	h.server = NewServer(id, h.service, h.zone, h.address)
	h.server.born = h.starts
	h.server.Faults.Set(h.faults)
	h.http = &http.Server{Handler: h, ReadHeaderTimeout: time.Minute}
	go func(server *http.Server) { _ = server.Serve(listener) }(h.http)
	return h.server.Register(h.store, false)
}

// Stop ends the host for good.
func (h *CrashHost) Stop() {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.ended = true
	if h.http != nil {
		_ = h.http.Close()
	}
}

// Crashes returns the times of all crashes.
func (h *CrashHost) Crashes() []time.Time {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return append([]time.Time(nil), h.crashes...)
}

// Arrivals returns all requests for CrashPath that reached the server, whether it
// crashed or responded with an error.
func (h *CrashHost) Arrivals() []Arrival {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return append([]Arrival(nil), h.arrivals...)
}

// ServeHTTP crashes the server or lets it handle the request.
func (h *CrashHost) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.mutex.Lock()
	server := h.server
	expected := r.Header.Get(platform.HeaderInstance)
	isCrash := strings.HasSuffix(r.URL.Path, CrashPath) && (expected == "" || expected == server.id)
	if isCrash {
		h.arrivals = append(h.arrivals, Arrival{ID: r.Header.Get(proto.HeaderRequestID), At: time.Now()})
	}
	if !isCrash || h.faults.Fail {
		h.mutex.Unlock()
		server.ServeHTTP(w, r)
		return
	}
	h.crashes = append(h.crashes, time.Now())
	closing := h.http
	h.mutex.Unlock()
	_ = closing.Close()
	time.AfterFunc(h.pause, h.restart)
	panic(http.ErrAbortHandler)
}

// restart starts the next incarnation, again after a while if its port is still in use.
func (h *CrashHost) restart() {
	const retryWait = 50 * time.Millisecond
	if h.Start() != nil {
		time.AfterFunc(retryWait, h.restart)
	}
}
