package soak

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"dandeliondoor/platform"
	"dandeliondoor/proto"
)

// The callers.
const (
	// callTimeout is longer than each route's timeout, so that a request that the
	// fleet holds on to shows.
	callTimeout = 4 * time.Second
	// callPause is the wait of a caller between two requests.
	callPause = 30 * time.Millisecond
	// leaveAfter is when a caller that leaves early does so.
	leaveAfter = 15 * time.Millisecond
	// bigBody is larger than what a daemon keeps of a request.
	bigBody = 600 << 10
)

// call is one request of a caller and what it was told. Status is 0 if no answer
// came; left says that the caller gave up by itself, planned that only planned
// work was under way.
type call struct {
	id      string
	method  string
	at      time.Time
	status  int
	left    bool
	planned bool
}

// load calls daemons in turn until the context ends. Some callers leave early,
// some send large bodies, and some look whether a daemon goes back.
func (f *fleet) load(ctx context.Context, l *ledger, first int, planned bool) error {
	for i := first; ctx.Err() == nil; i++ {
		d := f.daemons[i%len(f.daemons)]
		c := call{method: http.MethodPost, planned: planned}
		switch i % 12 {
		case 0, 3, 6:
			c.method = http.MethodGet
			l.send(ctx, d, c, "/lots/a", 0)
		case 9:
			f.probe(ctx, l, d)
		case 10:
			c.left = true
			l.send(ctx, d, c, "/bales/a", 0)
		case 11:
			l.send(ctx, d, c, "/bales/a", bigBody)
		default:
			l.send(ctx, d, c, "/bales/a", 0)
		}
		sleep(ctx, callPause)
	}
	return nil
}

// probe looks whether a daemon serves the newest version and then, still the same
// process, one before it; it reports whether it serves the newest.
func (f *fleet) probe(ctx context.Context, l *ledger, d *daemon) bool {
	version, incarnation := f.newest(), d.incarnation()
	get := call{method: http.MethodGet}
	if l.send(ctx, d, get, "/"+versionRoute(version)+"/a", 0) != http.StatusOK {
		return false
	}
	if version == 1 {
		return true
	}
	older := l.send(ctx, d, get, "/"+versionRoute(version-1)+"/a", 0)
	if older == http.StatusOK && d.incarnation() == incarnation {
		l.find("%s went back from version %d", d.name, version)
	}
	return true
}

// send sends one request to a daemon, with a body of at least size bytes if it is
// a POST, and returns the status, 0 for none.
func (l *ledger) send(ctx context.Context, d *daemon, c call, path string, size int) int {
	timeout := callTimeout
	if c.left {
		timeout = leaveAfter
	}
	// A caller ends its last request itself, so that none is cut by the soak.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), timeout)
	defer cancel()
	c.id, c.at = l.id(), time.Now()
	body := ""
	if c.method == http.MethodPost {
		body = "lot=" + c.id + strings.Repeat("=", size)
	}
	target := path + "?id=" + c.id
	status, answer, signature := exchange(ctx, d, c, target, body)
	c.status = status
	l.add(c)
	if c.status == http.StatusOK {
		l.check(c.id, signature, answer, c.method+" "+target+" "+body)
	}
	return c.status
}

// exchange makes a call without any repetition by the client.
func exchange(ctx context.Context, d *daemon, c call, target, body string) (status int, answer, signature string) {
	request, err := http.NewRequestWithContext(ctx, c.method, "http://"+d.callers.String()+target, http.NoBody)
	if err != nil {
		return 0, "", ""
	}
	request.Body = io.NopCloser(strings.NewReader(body))
	request.ContentLength = int64(len(body))
	request.Host = host
	request.Header.Set(proto.HeaderRequestID, c.id)
	request.Header.Set(proto.HeaderDeadline, "2500")
	response, err := d.client.Do(request)
	if err != nil {
		return 0, "", ""
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, "", ""
	}
	return response.StatusCode, string(data), response.Header.Get(platform.HeaderSignature)
}

// check compares a served answer with what the server makes of the request.
func (l *ledger) check(id, signature, answer, want string) {
	whole := strings.HasSuffix(answer, want) || answer == id
	if signature != "signed-"+id || !whole {
		l.find("request %s got the answer %.80q with signature %q", id, answer, signature)
	}
}

// String names a call for the report.
func (c call) String() string {
	return fmt.Sprintf("request %s (%s, status %d)", c.id, c.method, c.status)
}
