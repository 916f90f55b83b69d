package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"dandeliondoor/proto"
)

// answer is what a client saw of one request. Status is 0 if there was no complete answer.
type answer struct {
	id     string
	daemon string
	path   string
	sentAt time.Time
	ended  time.Duration
	status int
	signed bool
	body   string
	err    error
}

// clients sends requests and keeps what was answered.
type clients struct {
	record *record
	client *http.Client
	prefix string
	lastID atomic.Int64

	mutex   sync.Mutex
	answers []answer
}

func newClients(rec *record) *clients {
	return &clients{
		record: rec, prefix: strconv.FormatInt(time.Now().UnixNano(), 36),
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256, IdleConnTimeout: 5 * time.Second, DisableCompression: true}},
	}
}

// call is one request that a client sends.
type call struct {
	method   string
	host     string
	path     string
	body     string
	key      string
	deadline time.Duration
	// patience is how long the client waits for the end, the deadline if it is 0.
	patience time.Duration
}

// do sends a request to a daemon and waits for the answer until the client's deadline.
func (c *clients) do(ctx context.Context, d *daemon, sent call) answer {
	a := answer{id: fmt.Sprintf("%s-%d", c.prefix, c.lastID.Add(1)), daemon: d.name, path: sent.path, sentAt: time.Now()}
	ctx, cancel := context.WithTimeout(ctx, max(sent.deadline, sent.patience))
	defer cancel()
	c.record.add("%s sent to %s: %s %s", a.id, d.name, sent.method, sent.path)
	request, err := http.NewRequestWithContext(ctx, sent.method, "http://"+d.callers.String()+sent.path, bytes.NewReader([]byte(sent.body)))
	if err != nil {
		a.err = err
		return a
	}
	request.Host = sent.host
	request.Header.Set(proto.HeaderRequestID, a.id)
	request.Header.Set(proto.HeaderDeadline, strconv.FormatInt(sent.deadline.Milliseconds(), 10))
	if sent.key != "" {
		request.Header.Set("Dandeliondoor-Key", sent.key)
	}
	response, err := c.client.Do(request)
	if err == nil {
		var body []byte
		body, err = io.ReadAll(response.Body)
		_ = response.Body.Close()
		if err == nil {
			a.status, a.body = response.StatusCode, string(body)
			a.signed = response.Header.Get("Dandeliondoor-Server-Signature") != ""
		}
	}
	a.err, a.ended = err, time.Since(a.sentAt)
	if err != nil {
		c.record.add("%s ends without an answer after %d ms: %v", a.id, a.ended.Milliseconds(), err)
	} else {
		c.record.add("%s answered %d after %d ms, signed %t, reason %q", a.id, a.status, a.ended.Milliseconds(), a.signed,
			response.Header.Get("Dandeliondoor-Reason"))
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.answers = append(c.answers, a)
	return a
}

// all returns all answers so far.
func (c *clients) all() []answer {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return append([]answer(nil), c.answers...)
}

// send sends a number of calls a second to all daemons in turn until the context ends, and
// returns a function that waits for their ends.
func (c *clients) send(ctx context.Context, f *fleet, perSecond int, next func(i int) call) (wait func()) {
	var sending sync.WaitGroup
	sending.Go(func() {
		ticker := time.NewTicker(time.Second / time.Duration(perSecond))
		defer ticker.Stop()
		for i := 0; ctx.Err() == nil; i++ {
			<-ticker.C
			d := f.daemons[i%len(f.daemons)]
			sending.Go(func() { c.do(context.WithoutCancel(ctx), d, next(i)) })
		}
	})
	return sending.Wait
}
