package demo

import (
	"context"
	"io"
	"net/http"
	"strings"
	"time"

	"dandeliondoor/proto"
)

// maxCallerConns bounds the kept connections of a caller to one daemon.
const maxCallerConns = 256

// Request is what a caller sends.
type Request struct {
	Account string
	Body    string
	Headers http.Header
	Host    string
	Method  string
	Path    string
}

// Response is what a caller receives; Err is set when no complete answer came.
type Response struct {
	Body    string
	Elapsed time.Duration
	Err     error
	Header  http.Header
	ID      string
	Outcome proto.Outcome
	Reason  string
	Status  int
	Trailer http.Header
}

// Caller sends requests to daemons.
type Caller struct {
	client *http.Client
}

// NewCaller returns a caller that keeps its connections.
func NewCaller() *Caller {
	return &Caller{client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: maxCallerConns}}}
}

// Call sends one request through a daemon.
func (c *Caller) Call(ctx context.Context, d *Daemon, request Request) Response {
	began := time.Now()
	answer := c.call(ctx, d, request)
	answer.Elapsed = time.Since(began)
	return answer
}

func (c *Caller) call(ctx context.Context, d *Daemon, request Request) Response {
	target := "http://" + d.Settings.Listen.Callers.String() + request.Path
	outgoing, err := http.NewRequestWithContext(ctx, request.Method, target, strings.NewReader(request.Body))
	if err != nil {
		return Response{Err: err}
	}
	outgoing.GetBody = nil
	outgoing.Host = request.Host
	for name, values := range request.Headers {
		outgoing.Header[name] = values
	}
	if request.Account != "" {
		outgoing.Header.Set(proto.HeaderAccount, request.Account)
	}
	response, err := c.client.Do(outgoing)
	if err != nil {
		return Response{Err: err}
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return Response{
		Body:    string(body),
		Err:     err,
		Header:  response.Header,
		ID:      response.Header.Get(proto.HeaderRequestID),
		Outcome: proto.Outcome(response.Header.Get(proto.HeaderOutcome)),
		Reason:  response.Header.Get(proto.HeaderReason),
		Status:  response.StatusCode,
		Trailer: response.Trailer,
	}
}

// Close closes the kept connections.
func (c *Caller) Close() {
	c.client.CloseIdleConnections()
}
