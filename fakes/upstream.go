package fakes

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"dandeliondoor/httpd"
	"dandeliondoor/proto"
)

// UpstreamFaults selects the faults that an Upstream injects, and whether it reports
// that it is draining or warming up. FailEvery responds with 500 to every n-th
// request. ResetEvery closes the connection of every n-th request after the request
// ran. SlowFactor multiplies the service time. CutAnswers closes the connection in
// the middle of the response. ShedAll rejects all requests as if no slot were free.
// FalseLoad is reported in place of the actual load if HasFalseLoad is set.
type UpstreamFaults struct {
	FailEvery    int     `json:"fail_every,optional"`
	ResetEvery   int     `json:"reset_every,optional"`
	SlowFactor   float64 `json:"slow_factor,optional"`
	Draining     bool    `json:"draining,optional"`
	Warming      bool    `json:"warming,optional"`
	CutAnswers   bool    `json:"cut_answers,optional"`
	ShedAll      bool    `json:"shed_all,optional"`
	FalseLoad    float64 `json:"false_load,optional"`
	HasFalseLoad bool    `json:"has_false_load,optional"`
}

// Run is the record of one request that an upstream ran.
type Run struct {
	RequestID string        `json:"request_id"`
	Method    string        `json:"method"`
	Path      string        `json:"path"`
	Started   time.Duration `json:"started"`
}

// Upstream simulates a server behind the fleet: it has a number of slots, sheds
// requests when all are taken, reports its load, and records each run.
//
// The last path element selects what a request does: /…/sleep-40ms runs for that
// long, /…/size-1000 responds with that many bytes after the first line, and
// /…/crash closes all connections of the upstream.
type Upstream struct {
	Faults FaultSet[UpstreamFaults]

	name        string
	slots       int
	serviceTime time.Duration
	startTime   time.Time
	closeConns  func()

	mutex    sync.Mutex
	inFlight int
	runCount int
	runs     []Run
	crashes  int
	sheds    int
}

// NewUpstream returns an upstream whose requests take serviceTime unless their path
// says otherwise. Each call of closeConns must close all connections of the upstream.
func NewUpstream(name string, slots int, serviceTime time.Duration, closeConns func()) *Upstream {
	return &Upstream{name: name, slots: slots, serviceTime: serviceTime, startTime: time.Now(), closeConns: closeConns}
}

// Handler returns the handler for requests to the upstream.
func (u *Upstream) Handler() http.Handler {
	return http.HandlerFunc(u.serve)
}

// Control returns the handler of the control port, which sets faults and lists runs.
func (u *Upstream) Control() (http.Handler, error) {
	router := httpd.NewRouter()
	router.Handle(http.MethodGet, "/v1/runs", httpd.JSON(func(context.Context, struct{}) ([]Run, error) {
		return u.Runs(), nil
	}))
	router.Handle(http.MethodGet, "/v1/sheds", httpd.JSON(func(context.Context, struct{}) (int, error) {
		return u.Sheds(), nil
	}))
	u.Faults.registerRoutes(router)
	return router.Handler()
}

// Sheds returns how many requests the upstream rejected.
func (u *Upstream) Sheds() int {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	return u.sheds
}

// Runs returns all requests that ran, in order.
func (u *Upstream) Runs() []Run {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	return append([]Run{}, u.runs...)
}

// Crashes returns how many requests crashed the upstream.
func (u *Upstream) Crashes() int {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	return u.crashes
}

func (u *Upstream) serve(w http.ResponseWriter, r *http.Request) {
	faults := u.Faults.Get()
	u.setHeaders(w, faults)
	if !u.acquireSlot(faults) {
		w.Header().Set(proto.HeaderShed, proto.ShedNotRun)
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer u.releaseSlot()
	count := u.recordRun(r)
	if strings.HasSuffix(r.URL.Path, "/crash") {
		u.crash()
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	u.simulateWork(r, faults)
	if faults.ResetEvery > 0 && count%faults.ResetEvery == 0 {
		panic(http.ErrAbortHandler)
	}
	if faults.FailEvery > 0 && count%faults.FailEvery == 0 {
		http.Error(w, "internal fault", http.StatusInternalServerError)
		return
	}
	u.respond(w, r, body, faults)
}

func (u *Upstream) setHeaders(w http.ResponseWriter, faults UpstreamFaults) {
	load := u.load()
	if faults.HasFalseLoad {
		load = faults.FalseLoad
	}
	w.Header().Set(proto.HeaderLoad, strconv.FormatFloat(load, 'f', 2, 64))
	if faults.Draining {
		w.Header().Set(proto.HeaderDraining, "true")
	}
	if faults.Warming {
		w.Header().Set(proto.HeaderWarming, "true")
	}
}

func (u *Upstream) load() float64 {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	return float64(u.inFlight) / float64(u.slots)
}

func (u *Upstream) acquireSlot(faults UpstreamFaults) bool {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	if u.inFlight >= u.slots || faults.ShedAll {
		u.sheds++
		return false
	}
	u.inFlight++
	return true
}

func (u *Upstream) releaseSlot() {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	u.inFlight--
}

func (u *Upstream) recordRun(r *http.Request) int {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	u.runCount++
	u.runs = append(u.runs, Run{
		RequestID: r.Header.Get(proto.HeaderRequestID),
		Method:    r.Method,
		Path:      r.URL.Path,
		Started:   time.Since(u.startTime),
	})
	return u.runCount
}

func (u *Upstream) crash() {
	u.mutex.Lock()
	u.crashes++
	u.mutex.Unlock()
	if u.closeConns != nil {
		u.closeConns()
	}
	panic(http.ErrAbortHandler)
}

func (u *Upstream) simulateWork(r *http.Request, faults UpstreamFaults) {
	duration := u.serviceTime
	if value, ok := pathParameter(r.URL.Path, "sleep-"); ok {
		if parsed, err := time.ParseDuration(value); err == nil {
			duration = parsed
		}
	}
	if faults.SlowFactor > 0 {
		duration = time.Duration(float64(duration) * faults.SlowFactor)
	}
	sleep(r.Context(), duration)
}

// respond writes the upstream's name and the request with a digest of its body,
// followed by as many bytes as the path asks for.
func (u *Upstream) respond(w http.ResponseWriter, r *http.Request, body []byte, faults UpstreamFaults) {
	w.Header().Set("Content-Type", "text/plain")
	w.Header().Set("Trailer", "Answer-Digest")
	head := fmt.Sprintf("%s %s %s body=%d/%x\n",
		u.name, r.Method, r.URL.Path, len(body), xxhash.Sum64(body))
	_, _ = io.WriteString(w, head)
	size := 0
	if value, ok := pathParameter(r.URL.Path, "size-"); ok {
		size, _ = strconv.Atoi(value)
	}
	if faults.CutAnswers {
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
	for written := 0; written < size; {
		chunk := strings.Repeat("x", min(size-written, 32<<10))
		if _, err := io.WriteString(w, chunk); err != nil {
			return
		}
		written += len(chunk)
	}
	w.Header().Set("Answer-Digest", strconv.Itoa(len(head)+size))
}

// pathParameter returns what follows a prefix in the last path element.
func pathParameter(path, prefix string) (string, bool) {
	element := path[strings.LastIndexByte(path, '/')+1:]
	return strings.CutPrefix(element, prefix)
}
