package fakes

import (
	"fmt"
	"io"
	"maps"
	"net/http"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"dandeliondoor/platform"
	"dandeliondoor/proto"
	"dandeliondoor/topo"
)

// ServerFaults selects the faults that a Server injects. The soak prints the field
// names.
//
// Before a request runs, Shed rejects it, and Moved responds as a different server
// would that took over the address. After the run, Cut closes the connection
// without a response, Short closes it in the middle of the body, Fail responds with
// 500, Mute responds with 503 but without the header that says that the request did
// not run, Unsigned omits the signature, and Foreign first sends the response to
// another request. EndlessHead sends header lines and EndlessBody a body without end,
// until the connection is closed. Leaving announces in each response that the server
// leaves. RetryAfter is what Shed tells callers to wait, and ShedEvery limits Shed to
// every n-th request. Work is how long a request runs, Size is the minimum length of
// the response body in bytes, and Stream is how long the server waits after half of it.
type ServerFaults struct {
	Cut         bool
	EndlessBody bool
	EndlessHead bool
	Fail        bool
	Foreign     bool
	Leaving     bool
	Moved       bool
	Mute        bool
	Shed        bool
	Short       bool
	Unsigned    bool
	RetryAfter  time.Duration
	ShedEvery   int
	Size        int
	Stream      time.Duration
	Work        time.Duration
}

// Server simulates a server of the platform: it registers itself in the store, runs
// the requests that are addressed to it, and counts the runs.
type Server struct {
	Faults FaultSet[ServerFaults]

	id      string
	service string
	zone    string
	address netip.AddrPort
	born    int64

	mutex      sync.Mutex
	sequence   int64
	announced  bool
	running    int
	runs       map[string]int
	posts      map[string]int
	arrivals   []Arrival
	executions []Execution
}

// Arrival is a request that reached a server, whether or not it ran. Left is the time
// that the request gave the server, 0 if it gave none. Born identifies the start of the
// server. Leaving says that the response announces that the server leaves, and RetryAfter
// is how long the response, a rejection, asks to wait. Key and Account are the API key and
// the name of the client account that came with the request.
type Arrival struct {
	ID         string
	At         time.Time
	Left       time.Duration
	Born       int64
	Leaving    bool
	RetryAfter time.Duration
	Key        string
	Account    string
}

// Execution is one run of a request. End is zero while the request runs.
type Execution struct {
	ID    string
	Begin time.Time
	End   time.Time
}

// WorkParameter is the query parameter that sets how long a request runs, in addition to
// the fault Work.
const WorkParameter = "work"

// SizeParameter is the query parameter that sets the minimum length of the response body in
// bytes.
const SizeParameter = "size"

// NewServer returns a server with the given address. The caller listens on the address
// and serves it.
func NewServer(id, service, zone string, address netip.AddrPort) *Server {
	return &Server{
		id: id, service: service, zone: zone, address: address, born: 1, runs: make(map[string]int), posts: make(map[string]int),
	}
}

const bits64 = 64

// ID returns the server's ID.
func (s *Server) ID() string { return s.id }

// serverSlots is the number of concurrent requests that a server reports as its limit.
const serverSlots = 3

// Register writes the server's registration to the store.
func (s *Server) Register(store *Store, draining bool) error {
	s.mutex.Lock()
	s.sequence++
	sequence, born := s.sequence, s.born
	s.mutex.Unlock()
	data, err := platform.EncodeServer(topo.Server{
		Service: s.service, Address: s.address, Zone: s.zone, Slots: serverSlots, Draining: draining, Born: born,
	}, sequence)
	if err != nil {
		return err
	}
	store.Put(platform.ServerTopic, s.id, data)
	return nil
}

// Restart makes the server another incarnation under the same ID. Register shows it.
func (s *Server) Restart() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.born++
	s.sequence = 0
	s.announced = false
}

// Announced reports whether a response of the server's current start announced that the
// server leaves.
func (s *Server) Announced() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.announced
}

// Leave deletes the server's registration from the store.
func (s *Server) Leave(store *Store) { store.Put(platform.ServerTopic, s.id, nil) }

// Runs returns how often each request ran, by request ID.
func (s *Server) Runs() map[string]int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return maps.Clone(s.runs)
}

// Arrivals returns all requests that reached the server, in order of arrival.
func (s *Server) Arrivals() []Arrival {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return slices.Clone(s.arrivals)
}

// Executions returns all runs of requests, in order of their begin.
func (s *Server) Executions() []Execution {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return slices.Clone(s.executions)
}

// UnsafeRuns returns how often each POST request ran, by request ID.
func (s *Server) UnsafeRuns() map[string]int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return maps.Clone(s.posts)
}

// ServeHTTP handles a request as the platform's protocol specifies.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(proto.HeaderRequestID)
	faults := s.Faults.Get()
	expected := r.Header.Get(platform.HeaderInstance)
	misdirected := (expected != "" && expected != s.id) || faults.Moved
	arrival, shed := s.recordArrival(r, faults, misdirected)
	header := w.Header()
	header.Set(proto.HeaderRequestID, id)
	if faults.Leaving {
		header.Set(platform.HeaderLeaving, "1")
	}
	header.Set(platform.HeaderLoad, fmt.Sprintf("%d,0,%d", s.addRunning(0), serverSlots))
	switch {
	case misdirected:
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	case shed:
		header.Set(platform.HeaderNotRun, "1")
		if arrival.RetryAfter > 0 {
			header.Set("Retry-After", strconv.FormatFloat(arrival.RetryAfter.Seconds(), 'f', -1, bits64))
		}
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	requested, _ := time.ParseDuration(r.URL.Query().Get(WorkParameter))
	size, _ := strconv.Atoi(r.URL.Query().Get(SizeParameter))
	faults.Size = max(faults.Size, size)
	s.run(id, r.Method, faults.Work+requested)
	if !faults.Unsigned {
		header.Set(platform.HeaderSignature, "signed-"+id)
	}
	s.respond(w, id, faults, fmt.Sprintf("%s %s %s %s", s.id, r.Method, r.RequestURI, body))
}

// respond writes the response to a request that has run, with the configured faults.
func (s *Server) respond(w http.ResponseWriter, id string, faults ServerFaults, content string) {
	body := strings.Repeat(".", max(faults.Size-len(content), 0)) + content
	switch {
	case faults.Cut:
		panic(http.ErrAbortHandler)
	case faults.EndlessBody:
		s.respondEndless(w, id, "\r\n", "endless")
	case faults.EndlessHead:
		s.respondEndless(w, id, "", "X-Line: endless\r\n")
	case faults.Fail:
		w.WriteHeader(http.StatusInternalServerError)
	case faults.Foreign:
		s.respondTwice(w, id)
	case faults.Mute:
		w.WriteHeader(http.StatusServiceUnavailable)
	case faults.Short:
		_, _ = io.WriteString(w, body[:len(body)/2])
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	default:
		_, _ = io.WriteString(w, body[:len(body)/2])
		if faults.Stream > 0 {
			_ = http.NewResponseController(w).Flush()
			time.Sleep(faults.Stream)
		}
		_, _ = io.WriteString(w, body[len(body)/2:])
	}
}

// respondEndless sends the head of a response with a tail, and then repeats a text until
// the connection is closed. The body ends with the connection.
func (s *Server) respondEndless(w http.ResponseWriter, id, tail, text string) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer conn.Close()
	_, err = io.WriteString(conn, "HTTP/1.1 200 OK\r\n"+proto.HeaderRequestID+": "+id+"\r\n"+
		platform.HeaderSignature+": signed-"+id+"\r\n"+tail)
	const repeats = 1024
	for block := strings.Repeat(text, repeats); err == nil; {
		_, err = io.WriteString(conn, block)
	}
}

// respondTwice sends the response to another request before the correct one, and closes
// the connection.
func (s *Server) respondTwice(w http.ResponseWriter, id string) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer conn.Close()
	for _, requestID := range []string{"another", id} {
		connection := ""
		if requestID == id {
			connection = "\r\nConnection: close"
		}
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n"+proto.HeaderRequestID+": "+requestID+"\r\n"+
			platform.HeaderSignature+": signed-"+requestID+"\r\nContent-Length: "+strconv.Itoa(len(requestID))+connection+"\r\n\r\n"+requestID)
	}
}

// recordArrival records a request and how it is answered, and reports whether it is
// rejected. The response to a misdirected request says nothing about this server.
func (s *Server) recordArrival(r *http.Request, faults ServerFaults, misdirected bool) (arrival Arrival, shed bool) {
	millis, _ := strconv.ParseInt(r.Header.Get(proto.HeaderDeadline), 10, bits64)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	arrival = Arrival{
		ID: r.Header.Get(proto.HeaderRequestID), At: time.Now(), Left: time.Duration(millis) * time.Millisecond,
		Born: s.born, Leaving: faults.Leaving && !misdirected,
		Key: r.Header.Get(platform.HeaderKey), Account: r.Header.Get(platform.HeaderAccount),
	}
	shed = faults.Shed && !misdirected && (faults.ShedEvery == 0 || len(s.arrivals)%faults.ShedEvery == 0)
	if shed {
		arrival.RetryAfter = faults.RetryAfter
	}
	s.announced = s.announced || arrival.Leaving
	s.arrivals = append(s.arrivals, arrival)
	return arrival, shed
}

// run simulates the execution of a request. It counts the request as run as soon as
// its work starts.
func (s *Server) run(id, method string, work time.Duration) {
	s.addRunning(1)
	defer s.addRunning(-1)
	s.mutex.Lock()
	s.runs[id]++
	if method == http.MethodPost {
		s.posts[id]++
	}
	index := len(s.executions)
	s.executions = append(s.executions, Execution{ID: id, Begin: time.Now()})
	s.mutex.Unlock()
	time.Sleep(work)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.executions[index].End = time.Now()
}

// addRunning adds delta to the number of running requests and returns the new number.
func (s *Server) addRunning(delta int) int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.running += delta
	return s.running
}
