package demo

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"dandeliondoor/kernel"
	"dandeliondoor/proto"
)

// The load of the callers.
const (
	callerCount  = 8
	callInterval = 10 * time.Millisecond
	// callTimeout is longer than the timeout of the routes, so that a request that the
	// fleet does not end in time is noticed.
	callTimeout = 4 * time.Second
	// probeInterval is the interval at which the load balancer checks the daemons, and
	// probeTimeout the timeout of each check.
	probeInterval = 100 * time.Millisecond
	probeTimeout  = time.Second
	// writeEvery makes every n-th request a write that must not run twice.
	writeEvery = 3
	decimal    = 10
)

var errNoReadyDaemon = errors.New("no daemon is ready")

// counts are the results of the callers' requests. The keys of notRun are the IDs of the
// requests that were rejected as not run. lost counts requests on a daemon that was killed,
// incomplete other requests without a complete response.
type counts struct {
	mutex      sync.Mutex
	served     int
	failed     int
	lost       int
	incomplete int
	foreign    int
	notRun     map[string]struct{}
}

// load sends requests to the daemons that the load balancer considers ready.
type load struct {
	fleet  *fleet
	client *http.Client
	ready  atomic.Pointer[[]*daemon]
	lastID atomic.Int64
	counts counts
}

// newLoad returns a load on the fleet.
func newLoad(f *fleet) *load {
	l := &load{
		fleet:  f,
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: callerCount}},
		counts: counts{notRun: make(map[string]struct{})},
	}
	l.ready.Store(&[]*daemon{})
	return l
}

// probe updates the list of ready daemons once and returns its length.
func (l *load) probe(ctx context.Context) int {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	var ready []*daemon
	for _, d := range l.fleet.daemons {
		if d.ready(ctx, l.client) {
			ready = append(ready, d)
		}
	}
	l.ready.Store(&ready)
	return len(ready)
}

// waitReady waits until all daemons are ready.
func (l *load) waitReady(ctx context.Context) error {
	for l.probe(ctx) < len(l.fleet.daemons) {
		if !sleep(ctx, probeInterval) {
			return errors.Wrap(ctx.Err(), "wait for the daemons to be ready")
		}
	}
	return nil
}

// start starts the load balancer's checks and the callers. They end with the context.
func (l *load) start(ctx context.Context) []<-chan error {
	results := []<-chan error{kernel.Run(ctx, func(ctx context.Context) error {
		for sleep(ctx, probeInterval) {
			l.probe(ctx)
		}
		return nil
	})}
	for first := range callerCount {
		results = append(results, kernel.Run(ctx, func(ctx context.Context) error {
			for i := first; ctx.Err() == nil; i++ {
				if err := l.call(ctx, i); err != nil {
					return err
				}
				sleep(ctx, callInterval)
			}
			return nil
		}))
	}
	return results
}

// call sends one request to a ready daemon and counts its result.
func (l *load) call(ctx context.Context, i int) error {
	ready := *l.ready.Load()
	if len(ready) == 0 {
		return errNoReadyDaemon
	}
	d := ready[i%len(ready)]
	id := "r-" + strconv.FormatInt(l.lastID.Add(1), decimal)
	method, target, body := http.MethodGet, "/lots/12?id="+id, ""
	if i%writeEvery == 0 {
		method, target, body = http.MethodPost, "/bales/3?id="+id, "lot="+id
	}
	// The end of the load must not cut off a request: only its own timeout does.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), callTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+d.callers.String()+target, strings.NewReader(body))
	if err != nil {
		return errors.Wrap(err, "create request")
	}
	request.GetBody = nil // So that the client sends no request twice.
	request.Host = host
	request.Header.Set(proto.HeaderRequestID, id)
	request.Header.Set(proto.HeaderDeadline, strconv.FormatInt(routeTimeout.Milliseconds(), decimal))
	status, text, err := l.do(request)
	l.counts.add(d, id, status, err, strings.HasSuffix(text, fmt.Sprintf(" %s %s %s", method, target, body)))
	return nil
}

func (l *load) do(request *http.Request) (status int, body string, err error) {
	response, err := l.client.Do(request)
	if err != nil {
		return 0, "", err
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	return response.StatusCode, string(text), err
}

// add counts the result of a request; own says that the response is that to the request.
func (c *counts) add(d *daemon, id string, status int, err error, own bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	switch {
	case err != nil && d.lost.Load():
		c.lost++
	case err != nil:
		c.incomplete++
	case guaranteesNotRun(status):
		c.notRun[id] = struct{}{}
	case status != http.StatusOK:
		c.failed++
	case !own:
		c.foreign++
	default:
		c.served++
	}
}

// guaranteesNotRun reports whether a status says that the request did not run.
func guaranteesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	default:
		return false
	}
}

// sleep waits for a period. It returns false if the context ended before.
func sleep(ctx context.Context, period time.Duration) bool {
	timer := time.NewTimer(period)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
