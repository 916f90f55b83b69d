package stand

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

// ServerFaults are the faults of a server. Before a run, Shed refuses and Moved
// answers as another server at the address would. After it, Cut breaks the
// connection, Short breaks it within the body, Fail answers 500, Mute answers 503
// without saying that nothing ran, Unsigned leaves the signature out, and Foreign
// sends an answer to another request first. Work is how long a run takes, Size
// how many bytes the body has at least.
type ServerFaults struct {
	Cut      bool
	Fail     bool
	Foreign  bool
	Moved    bool
	Mute     bool
	Shed     bool
	Short    bool
	Unsigned bool
	Size     int
	Work     time.Duration
}

// Server stands in for a server of the platform: it registers itself in the
// store, runs requests that are meant for it, and counts its runs.
type Server struct {
	Faults Switch[ServerFaults]

	id      string
	service string
	zone    string
	address netip.AddrPort

	mutex    sync.Mutex
	sequence int64
	running  int
	runs     map[string]int
	posts    map[string]int
	arrivals []Arrival
}

// Arrival is a request that reached a server, whether it ran or not.
type Arrival struct {
	ID string
	At time.Time
}

// NewServer returns a server with an address, which its owner serves.
func NewServer(id, service, zone string, address netip.AddrPort) *Server {
	return &Server{id: id, service: service, zone: zone, address: address, runs: make(map[string]int), posts: make(map[string]int)}
}

// serverSlots is how many requests a server says that it runs at once.
const serverSlots = 3

// Register writes the server's entry to the store.
func (s *Server) Register(store *Store, draining bool) error {
	s.mutex.Lock()
	s.sequence++
	sequence := s.sequence
	s.mutex.Unlock()
	data, err := platform.EncodeServer(topo.Server{
		Service: s.service, Address: s.address, Zone: s.zone, Slots: serverSlots, Draining: draining, Born: 1,
	}, sequence)
	if err != nil {
		return err
	}
	store.Put(platform.ServerTopic, s.id, data)
	return nil
}

// Leave removes the server's entry from the store.
func (s *Server) Leave(store *Store) { store.Put(platform.ServerTopic, s.id, nil) }

// Runs returns how often each request ran, by its id.
func (s *Server) Runs() map[string]int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return maps.Clone(s.runs)
}

// Arrivals returns all requests in the order in which they came.
func (s *Server) Arrivals() []Arrival {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return slices.Clone(s.arrivals)
}

// UnsafeRuns returns how often each request with the method POST ran.
func (s *Server) UnsafeRuns() map[string]int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return maps.Clone(s.posts)
}

// ServeHTTP runs one request by the platform's protocol.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(proto.HeaderRequestID)
	s.arrive(id)
	faults := s.Faults.Get()
	header := w.Header()
	header.Set(proto.HeaderRequestID, id)
	header.Set(platform.HeaderLoad, fmt.Sprintf("%d,0,%d", s.count(0), serverSlots))
	switch expected := r.Header.Get(platform.HeaderInstance); {
	case (expected != "" && expected != s.id) || faults.Moved:
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	case faults.Shed:
		header.Set(platform.HeaderNotRun, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	s.run(id, r.Method, faults.Work)
	if !faults.Unsigned {
		header.Set(platform.HeaderSignature, "signed-"+id)
	}
	s.answer(w, id, faults, fmt.Sprintf("%s %s %s %s", s.id, r.Method, r.RequestURI, body))
}

// answer answers a request that has run.
func (s *Server) answer(w http.ResponseWriter, id string, faults ServerFaults, text string) {
	body := strings.Repeat(".", max(faults.Size-len(text), 0)) + text
	switch {
	case faults.Cut:
		panic(http.ErrAbortHandler)
	case faults.Fail:
		w.WriteHeader(http.StatusInternalServerError)
	case faults.Foreign:
		s.answerTwice(w, id)
	case faults.Mute:
		w.WriteHeader(http.StatusServiceUnavailable)
	case faults.Short:
		_, _ = io.WriteString(w, body[:len(body)/2])
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	default:
		_, _ = io.WriteString(w, body)
	}
}

// answerTwice sends an answer to another request before the right one.
func (s *Server) answerTwice(w http.ResponseWriter, id string) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer conn.Close()
	for _, answered := range []string{"another", id} {
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n"+proto.HeaderRequestID+": "+answered+"\r\n"+
			platform.HeaderSignature+": signed-"+answered+"\r\nContent-Length: "+strconv.Itoa(len(answered))+"\r\n\r\n"+answered)
	}
}

func (s *Server) arrive(id string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.arrivals = append(s.arrivals, Arrival{ID: id, At: time.Now()})
}

// run counts a request, which has run as soon as work on it begins.
func (s *Server) run(id, method string, work time.Duration) {
	s.count(1)
	defer s.count(-1)
	s.mutex.Lock()
	s.runs[id]++
	if method == http.MethodPost {
		s.posts[id]++
	}
	s.mutex.Unlock()
	time.Sleep(work)
}

// count adds to the running requests and returns them.
func (s *Server) count(change int) int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.running += change
	return s.running
}
