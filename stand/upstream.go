package stand

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

// UpstreamFaults are the faults and the drain of an upstream. FailEvery fails
// each n-th request; ResetEvery breaks the connection of each n-th request
// after it ran; SlowFactor multiplies the service time; CutAnswers breaks the
// connection within the answer; FalseLoad is reported in place of the load.
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

// Run is one request that an upstream ran.
type Run struct {
	RequestID string        `json:"request_id"`
	Method    string        `json:"method"`
	Path      string        `json:"path"`
	Started   time.Duration `json:"started"`
}

// Upstream stands in for a server behind the fleet: it has slots, sheds beyond
// them, reports its load and remembers each run.
//
// The path says what a request does: /…/sleep-40ms takes that long,
// /…/size-1000 answers with that many bytes, and /…/crash breaks all
// connections of the upstream.
type Upstream struct {
	Faults Switch[UpstreamFaults]

	name    string
	slots   int
	service time.Duration
	began   time.Time
	crash   func()

	mutex    sync.Mutex
	inFlight int
	served   int
	runs     []Run
	crashes  int
	sheds    int
}

// NewUpstream returns an upstream whose requests take the service time unless
// their path says otherwise. Each call of crash has to break all connections.
func NewUpstream(name string, slots int, service time.Duration, crash func()) *Upstream {
	return &Upstream{name: name, slots: slots, service: service, began: time.Now(), crash: crash}
}

// Handler returns the work of the upstream.
func (u *Upstream) Handler() http.Handler {
	return http.HandlerFunc(u.serve)
}

// Control returns the port over which faults are switched and runs are read.
func (u *Upstream) Control() (http.Handler, error) {
	router := httpd.NewRouter()
	router.Handle(http.MethodGet, "/v1/runs", httpd.JSON(func(context.Context, struct{}) ([]Run, error) {
		return u.Runs(), nil
	}))
	router.Handle(http.MethodGet, "/v1/sheds", httpd.JSON(func(context.Context, struct{}) (int, error) {
		return u.Sheds(), nil
	}))
	u.Faults.route(router)
	return router.Handler()
}

// Sheds returns how many requests found no free slot.
func (u *Upstream) Sheds() int {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	return u.sheds
}

// Runs returns each request that ran, in order.
func (u *Upstream) Runs() []Run {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	return append([]Run{}, u.runs...)
}

// Crashes returns how often a request crashed the upstream.
func (u *Upstream) Crashes() int {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	return u.crashes
}

func (u *Upstream) serve(w http.ResponseWriter, r *http.Request) {
	faults := u.Faults.Get()
	u.describe(w, faults)
	if !u.enter(faults) {
		w.Header().Set(proto.HeaderShed, proto.ShedNotRun)
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer u.leave()
	count := u.record(r)
	if strings.HasSuffix(r.URL.Path, "/crash") {
		u.crashNow()
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	u.work(r, faults)
	if faults.ResetEvery > 0 && count%faults.ResetEvery == 0 {
		panic(http.ErrAbortHandler)
	}
	if faults.FailEvery > 0 && count%faults.FailEvery == 0 {
		http.Error(w, "internal fault", http.StatusInternalServerError)
		return
	}
	u.answer(w, r, body, faults)
}

func (u *Upstream) describe(w http.ResponseWriter, faults UpstreamFaults) {
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

func (u *Upstream) enter(faults UpstreamFaults) bool {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	if u.inFlight >= u.slots || faults.ShedAll {
		u.sheds++
		return false
	}
	u.inFlight++
	return true
}

func (u *Upstream) leave() {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	u.inFlight--
}

func (u *Upstream) record(r *http.Request) int {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	u.served++
	u.runs = append(u.runs, Run{
		RequestID: r.Header.Get(proto.HeaderRequestID),
		Method:    r.Method,
		Path:      r.URL.Path,
		Started:   time.Since(u.began),
	})
	return u.served
}

func (u *Upstream) crashNow() {
	u.mutex.Lock()
	u.crashes++
	u.mutex.Unlock()
	if u.crash != nil {
		u.crash()
	}
	panic(http.ErrAbortHandler)
}

func (u *Upstream) work(r *http.Request, faults UpstreamFaults) {
	service := u.service
	if text, found := pathValue(r.URL.Path, "sleep-"); found {
		if parsed, err := time.ParseDuration(text); err == nil {
			service = parsed
		}
	}
	if faults.SlowFactor > 0 {
		service = time.Duration(float64(service) * faults.SlowFactor)
	}
	sleep(r.Context(), service)
}

// answer writes who ran what, a digest of the body, and the size that the path
// asks for.
func (u *Upstream) answer(w http.ResponseWriter, r *http.Request, body []byte, faults UpstreamFaults) {
	w.Header().Set("Content-Type", "text/plain")
	w.Header().Set("Trailer", "Answer-Digest")
	head := fmt.Sprintf("%s %s %s body=%d/%x\n",
		u.name, r.Method, r.URL.Path, len(body), xxhash.Sum64(body))
	_, _ = io.WriteString(w, head)
	size := 0
	if text, found := pathValue(r.URL.Path, "size-"); found {
		size, _ = strconv.Atoi(text)
	}
	if faults.CutAnswers {
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
	for written := 0; written < size; {
		part := strings.Repeat("x", min(size-written, 32<<10))
		if _, err := io.WriteString(w, part); err != nil {
			return
		}
		written += len(part)
	}
	w.Header().Set("Answer-Digest", strconv.Itoa(len(head)+size))
}

// pathValue returns what follows a marker in the last path element.
func pathValue(path, marker string) (string, bool) {
	last := path[strings.LastIndexByte(path, '/')+1:]
	return strings.CutPrefix(last, marker)
}
