package soak

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"dandeliondoor/platform"
	"dandeliondoor/proto"
)

// callTimeout is longer than each route's timeout, so that a request that the
// fleet holds on to shows.
const callTimeout = 4 * time.Second

// ledger keeps what callers were told.
type ledger struct {
	mutex    sync.Mutex
	next     int
	refused  []string
	findings []string
	served   int
	unserved int
}

// id returns a new name of a request.
func (l *ledger) id() string {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.next++
	return fmt.Sprintf("r-%d", l.next)
}

func (l *ledger) find(format string, arguments ...any) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.findings = append(l.findings, fmt.Sprintf(format, arguments...))
}

// count notes the end of a request; a refusal promises that it has not run.
func (l *ledger) count(id string, status int) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	switch status {
	case http.StatusOK:
		l.served++
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		l.refused = append(l.refused, id)
		l.unserved++
	default:
		l.unserved++
	}
}

// call sends one request to a daemon and returns the status, 0 for none.
func (l *ledger) call(ctx context.Context, d *daemon, method, path string) int {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	id := l.id()
	body := ""
	if method == http.MethodPost {
		body = "lot=" + id
	}
	request, err := http.NewRequestWithContext(ctx, method, "http://"+d.callers.String()+path+"?id="+id, strings.NewReader(body))
	if err != nil {
		l.find("request could not be made: %v", err)
		return 0
	}
	request.Host = host
	request.Header.Set(proto.HeaderRequestID, id)
	request.Header.Set(proto.HeaderDeadline, "2500")
	response, err := d.client.Do(request)
	if err != nil {
		l.count(id, 0)
		return 0
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		l.count(id, 0)
		return 0
	}
	l.count(id, response.StatusCode)
	if response.StatusCode == http.StatusOK {
		l.check(id, response.Header.Get(platform.HeaderSignature), string(data), method+" "+path+"?id="+id+" "+body)
	}
	return response.StatusCode
}

// check compares a served answer with what the server makes of the request.
func (l *ledger) check(id, signature, answer, want string) {
	whole := strings.HasSuffix(answer, want) || answer == id
	if signature != "signed-"+id || !whole {
		l.find("request %s got the answer %q with signature %q", id, answer, signature)
	}
}

// load calls daemons in turn until the context ends.
func (f *fleet) load(ctx context.Context, l *ledger, first int) error {
	for i := first; ctx.Err() == nil; i++ {
		d := f.daemons[i%len(f.daemons)]
		if i%3 == 0 {
			l.call(ctx, d, http.MethodGet, "/lots/a")
		} else {
			l.call(ctx, d, http.MethodPost, "/bales/a")
		}
		sleep(ctx, callPause)
	}
	return nil
}

// callPause is the wait of a caller between two requests.
const callPause = 30 * time.Millisecond
