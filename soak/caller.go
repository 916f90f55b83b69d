package soak

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"dandeliondoor/platform"
	"dandeliondoor/proto"
)

// Settings of the callers.
const (
	// callTimeout is longer than the timeout of every route, so that a request that the
	// fleet does not end in time is noticed.
	callTimeout = 4 * time.Second
	// callInterval is the pause of a caller between two requests.
	callInterval = 30 * time.Millisecond
	// callKinds is the number of calls after which a caller repeats their kinds.
	callKinds = 12
	// abandonAfter is the timeout of a caller that abandons its request.
	abandonAfter = 15 * time.Millisecond
	// largeBodyBytes is larger than the part of a request body that a daemon buffers.
	largeBodyBytes = 600 << 10
	// deadlineSlack is by how much the deadline of a request exceeds its route's timeout.
	deadlineSlack = 500 * time.Millisecond
	decimal       = 10
)

// call is one request of a caller and its result. limit is the timeout of its route,
// lastByteAt when its last byte was sent, or zero if it was not, begunAt when the head of a
// response had come, or zero, and endedAt when the response was complete or the connection
// ended. status is 0 if there was no complete response; cut says that then the daemon ended
// the connection. kept says that the connection had been used before, behind that an
// earlier request on it had no response yet, and signed that the response is a server's.
// abandoned says that the caller ended the request early on purpose, and planned that it
// was sent in a round with planned maintenance only. key is the API key, if any, account the
// account whose key that is or was, and keyVersion the only version of the configuration
// with the key, 0 if all have it; public says that the route needs no key.
type call struct {
	id         string
	method     string
	daemon     string
	limit      time.Duration
	sentAt     time.Time
	lastByteAt time.Time
	begunAt    time.Time
	endedAt    time.Time
	status     int
	signed     bool
	cut        bool
	kept       bool
	behind     bool
	abandoned  bool
	planned    bool
	key        string
	keyVersion uint64
	account    string
	public     bool
}

// generateLoad sends requests to the daemons in turn until the context ends. Some are
// abandoned early, some have large bodies, and some check that a daemon does not
// revert to an older configuration.
func (f *fleet) generateLoad(ctx context.Context, r *recorder, first int, planned bool) error {
	for i := first; ctx.Err() == nil; i++ {
		d := f.daemons[i%len(f.daemons)]
		c := f.keyedCall(http.MethodPost)
		c.planned = planned
		switch i % callKinds {
		case 0, 3, 6:
			c.method = http.MethodGet
			r.send(ctx, d, c, "/lots/a", 0)
		case 9:
			// With four daemons, d would be the same one each time.
			f.probeVersion(ctx, r, f.daemons[i/callKinds%len(f.daemons)])
		case 10:
			c.abandoned = true
			r.send(ctx, d, c, "/bales/a", 0)
		case 11:
			r.send(ctx, d, c, "/bales/a", largeBodyBytes)
		default:
			r.send(ctx, d, c, "/bales/a", 0)
		}
		sleep(ctx, callInterval)
	}
	return nil
}

// probeVersion reports whether a daemon serves the newest version of the configuration.
// If it does, probeVersion also checks that the same process does not then serve the
// previous version.
func (f *fleet) probeVersion(ctx context.Context, r *recorder, d *daemon) bool {
	version, incarnation := f.newestVersion(), d.incarnation()
	get := f.keyedCall(http.MethodGet)
	switch status := r.send(ctx, d, get, "/"+versionRoute(version)+"/a", 0); {
	case status == http.StatusOK:
		d.recordServed(incarnation, version)
	case status == http.StatusNotFound && d.hasServed(incarnation, version) && f.newestVersion() == version:
		r.addFinding("%s lost version %d after it had served it", d.name, version)
		return false
	default:
		return false
	}
	if version == 1 {
		return true
	}
	older := r.send(ctx, d, get, "/"+versionRoute(version-1)+"/a", 0)
	if older == http.StatusOK && d.incarnation() == incarnation {
		r.addFinding("%s served an older configuration after version %d", d.name, version)
	}
	if f.accounts {
		removed := call{method: http.MethodGet, key: versionKey(version - 1), keyVersion: version - 1, account: mainAccount}
		if r.send(ctx, d, removed, "/lots/a", 0) == http.StatusOK && d.incarnation() == incarnation {
			r.addFinding("%s accepted a key that version %d removed after it had served that version", d.name, version)
		}
	}
	return true
}

// send sends one request to a daemon and returns the response status, or 0 if there was
// no complete response. A POST request has a body of at least size bytes.
func (r *recorder) send(ctx context.Context, d *daemon, c call, path string, size int) int {
	timeout := callTimeout
	if c.abandoned {
		timeout = abandonAfter
	}
	// The end of the load must not cut off a request: only its own timeout does.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), timeout)
	defer cancel()
	c.id, c.daemon, c.limit, c.sentAt = r.newID(), d.name, routeTimeout, time.Now()
	body := ""
	if c.method == http.MethodPost {
		body = "lot=" + c.id + strings.Repeat("=", size)
	}
	target := path + "?id=" + c.id
	responseBody, signature := roundTrip(ctx, d, &c, target, body)
	r.addCall(c)
	if c.status == http.StatusOK {
		r.checkResponse(c.id, signature, responseBody, c.method+" "+target+" "+body)
	}
	return c.status
}

// roundTrip sends one request, which the client does not retry, and records the result in
// the call.
func roundTrip(ctx context.Context, d *daemon, c *call, target, body string) (responseBody, signature string) {
	var lastByteAt atomic.Pointer[time.Time]
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) { c.kept = info.Reused },
		WroteRequest: func(info httptrace.WroteRequestInfo) {
			if now := time.Now(); info.Err == nil {
				lastByteAt.Store(&now)
			}
		},
	})
	defer func() {
		c.endedAt = time.Now()
		c.cut = c.status == 0 && ctx.Err() == nil
		if at := lastByteAt.Load(); at != nil {
			c.lastByteAt = *at
		}
	}()
	request, err := http.NewRequestWithContext(ctx, c.method, "http://"+d.callersAddress.String()+target, http.NoBody)
	if err != nil {
		return "", ""
	}
	request.Body = io.NopCloser(strings.NewReader(body))
	request.ContentLength = int64(len(body))
	request.Host = host
	request.Header.Set(proto.HeaderRequestID, c.id)
	request.Header.Set(platform.HeaderAccount, forgedAccount)
	if c.key != "" {
		request.Header.Set(platform.HeaderKey, c.key)
	}
	request.Header.Set(proto.HeaderDeadline, strconv.FormatInt((routeTimeout+deadlineSlack).Milliseconds(), decimal))
	response, err := d.client.Do(request)
	if err != nil {
		return "", ""
	}
	defer response.Body.Close()
	c.begunAt = time.Now()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return "", ""
	}
	signature = response.Header.Get(platform.HeaderSignature)
	c.status, c.signed = response.StatusCode, signature != ""
	return string(data), signature
}

// checkResponse checks that a successful response belongs to the request and is
// complete.
func (r *recorder) checkResponse(id, signature, responseBody, want string) {
	complete := strings.HasSuffix(responseBody, want) || responseBody == id
	if signature != "signed-"+id || !complete {
		r.addFinding("request %s got the response %.80q with signature %q", id, responseBody, signature)
	}
}

// String returns the call as text for the report.
func (c call) String() string {
	text := fmt.Sprintf("request %s (%s, %s, status %d after %s, limit %s)", c.id, c.method, c.daemon, c.status,
		c.endedAt.Sub(c.sentAt).Round(time.Millisecond), c.limit)
	if c.cut {
		text += fmt.Sprintf(", which %s cut %s after its last byte (kept %t, behind another %t),",
			c.daemon, c.endedAt.Sub(c.lastByteAt).Round(time.Millisecond), c.kept, c.behind)
	}
	return text
}
