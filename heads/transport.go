package heads

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
)

// Transport is an http.RoundTripper that fails with ErrMalformed if the head of a response is
// malformed.
type Transport struct {
	transport *http.Transport
}

var _ http.RoundTripper = &Transport{}

// NewTransport returns a round tripper that sends requests with a copy of a transport, which
// must have a DialContext function. It is for requests over HTTP without TLS.
func NewTransport(transport *http.Transport) *Transport {
	checked := transport.Clone()
	dial := checked.DialContext
	checked.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &conn{Conn: c, reader: NewReader(c)}, nil
	}
	return &Transport{transport: checked}
}

// RoundTrip implements http.RoundTripper.
func (t *Transport) RoundTrip(request *http.Request) (*http.Response, error) {
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		if c, isChecked := info.Conn.(*conn); isChecked {
			c.expectHead()
		}
	}}
	return t.transport.RoundTrip(request.WithContext(httptrace.WithClientTrace(request.Context(), trace)))
}

// conn is a connection whose responses are checked.
type conn struct {
	net.Conn

	reader *Reader
}

// expectHead says that a request is about to be sent. Nothing of its response has been read:
// net/http closes a connection on which bytes arrive before the request.
func (c *conn) expectHead() { _ = c.reader.ExpectHead(nil) }

// Read implements net.Conn.
func (c *conn) Read(data []byte) (int, error) { return c.reader.Read(data) }
