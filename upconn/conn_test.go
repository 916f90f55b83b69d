package upconn_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/go-faster/errors"

	"dandeliondoor/fakes"
	"dandeliondoor/kernel"
	"dandeliondoor/upconn"
)

const idHeader = "X-Id"

// startUpstream starts an upstream that sends one of the raw responses for each
// request on a connection. An empty response closes the connection.
func startUpstream(t *testing.T, responses ...string) upconn.Target {
	t.Helper()
	return startUpstreamThat(t, func(conn *net.TCPConn) { respond(conn, responses) })
}

// startUpstreamThat starts an upstream that serves each connection with a function, and
// closes it when that returns.
func startUpstreamThat(t *testing.T, serve func(conn *net.TCPConn)) upconn.Target {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				serve(conn.(*net.TCPConn))
			}()
		}
	}()
	return upconn.Target{Address: netip.MustParseAddrPort(listener.Addr().String()), ID: "i-1"}
}

func respond(conn net.Conn, responses []string) {
	reader := bufio.NewReader(conn)
	for _, response := range responses {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, request.Body); err != nil || response == "" {
			return
		}
		if _, err := io.WriteString(conn, response); err != nil {
			return
		}
	}
	time.Sleep(time.Second)
}

// rawResponse returns a response with a request ID and a body.
func rawResponse(id, body string) string {
	return "HTTP/1.1 200 OK\r\n" + idHeader + ": " + id + "\r\nContent-Length: " + string(rune('0'+len(body))) + "\r\n\r\n" + body
}

// connect gets a connection of a pool, also if that takes longer than the short time that
// the pool allows, which a busy machine exceeds.
func connect(ctx context.Context, pool *upconn.Pool, target upconn.Target, maxIdleTime time.Duration) (*upconn.Conn, error) {
	for {
		conn, err := pool.Get(ctx, target, maxIdleTime)
		var netErr net.Error
		if err == nil || ctx.Err() != nil || !errors.As(err, &netErr) || !netErr.Timeout() {
			return conn, err
		}
	}
}

// do sends one request over a connection of the pool and returns the response
// body.
func do(ctx context.Context, pool *upconn.Pool, target upconn.Target, id string) (string, error) {
	return doBody(ctx, pool, target, id, "lot=12")
}

// doBody is like do with a request body.
func doBody(ctx context.Context, pool *upconn.Pool, target upconn.Target, id, requestBody string) (string, error) {
	conn, err := connect(ctx, pool, target, time.Minute)
	if err != nil {
		return "", err
	}
	response, err := conn.Do(ctx, &upconn.Request{
		Method: http.MethodPost, Target: "/bales", Host: "souk.example",
		Header: http.Header{idHeader: {id}}, Body: strings.NewReader(requestBody), Length: int64(len(requestBody)),
		Matches: func(header http.Header, _ bool) bool { return header.Get(idHeader) == id },
	})
	if err != nil {
		conn.Close()
		return "", err
	}
	body, err := io.ReadAll(response.Body)
	if err != nil {
		conn.Close()
		return "", err
	}
	conn.Finish(response)
	pool.Put(conn)
	return string(body), nil
}

// TestDo sends requests to an upstream that sends extra, interim, malformed or
// incomplete responses. No request may get the response to another one.
func TestDo(t *testing.T) {
	t.Parallel()
	for _, test := range []struct {
		name      string
		responses []string
		bodies    []string
		dials     int
	}{
		{name: "extra response with the first", responses: []string{rawResponse("0", "a") + rawResponse("0", "x"), rawResponse("1", "b")}, bodies: []string{"a", "b"}, dials: 2},
		{name: "extra response before the second", responses: []string{rawResponse("0", "a"), rawResponse("0", "x") + rawResponse("1", "b")}, bodies: []string{"a", "b"}, dials: 1},
		{name: "interim response", responses: []string{"HTTP/1.1 103 Early Hints\r\n\r\n" + rawResponse("0", "a")}, bodies: []string{"a"}, dials: 1},
		{name: "connection reused", responses: []string{rawResponse("0", "a"), rawResponse("1", "b")}, bodies: []string{"a", "b"}, dials: 1},
		{name: "not HTTP", responses: []string{"\x00\x01\x02\r\n\r\n"}, bodies: []string{""}, dials: 1},
		// http.ResponseWriter panics on such a status, so that the caller got no response.
		{name: "status below 100", responses: []string{"HTTP/1.1 099 X\r\n" + idHeader + ": 0\r\nContent-Length: 1\r\n\r\na"}, bodies: []string{""}, dials: 1},
		{name: "truncated body", responses: []string{"HTTP/1.1 200 OK\r\n" + idHeader + ": 0\r\nContent-Length: 9\r\n\r\nhalf"}, bodies: []string{""}, dials: 1},
		{name: "no response", responses: []string{""}, bodies: []string{""}, dials: 1},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			dials := 0
			pool := upconn.NewPool(func() { dials++ })
			responses := test.responses
			if test.name == "extra response with the first" {
				responses = []string{test.responses[0]}
			}
			target := startUpstream(t, responses...)
			for i, want := range test.bodies {
				if i == 1 && test.name == "extra response with the first" {
					target = startUpstream(t, test.responses[1])
				}
				ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
				got, err := do(ctx, pool, target, string(rune('0'+i)))
				cancel()
				if got != want || (want == "") != (err != nil) {
					t.Fatalf("request %d: got body %q, error %v; want body %q", i, got, err, want)
				}
			}
			if dials != test.dials {
				t.Errorf("got %d dials, want %d", dials, test.dials)
			}
		})
	}
}

// TestLateCopy lets an upstream send a second copy of its response while the
// connection is idle in the pool. The next request must use another connection, or
// skip the copy, but never get it.
func TestLateCopy(t *testing.T) {
	t.Parallel()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	const delay = 30 * time.Millisecond
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go respondTwice(conn, delay)
		}
	}()
	target := upconn.Target{Address: netip.MustParseAddrPort(listener.Addr().String()), ID: "i-1"}
	pool := upconn.NewPool(func() {})
	for i, wait := range []time.Duration{delay / 2, delay, 2 * delay, 0, 0} {
		id := strconv.Itoa(i)
		got, err := do(context.Background(), pool, target, id)
		if err != nil || got != id {
			t.Errorf("request %d: got body %q, error %v", i, got, err)
		}
		time.Sleep(wait)
	}
}

// respondTwice responds to each request with its ID, and once more after a delay.
func respondTwice(conn net.Conn, delay time.Duration) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return
		}
		response := rawResponse(request.Header.Get(idHeader), request.Header.Get(idHeader))
		if _, err := io.WriteString(conn, response); err != nil {
			return
		}
		time.AfterFunc(delay, func() { _, _ = io.WriteString(conn, response) })
	}
}

// TestDialError connects to a port without a listener. The error must be a
// DialError, which implies that no part of the request was sent.
func TestDialError(t *testing.T) {
	t.Parallel()
	// No other process listens there, as one may on a port that the system assigns.
	ports := fakes.NewPorts(32000, 32700)
	defer ports.Close()
	address, err := ports.Free()
	if err != nil {
		t.Fatal(err)
	}
	_, err = do(context.Background(), upconn.NewPool(func() {}), upconn.Target{Address: address}, "0")
	var dialErr *upconn.DialError
	if !errors.As(err, &dialErr) {
		t.Fatalf("got error %v, want a DialError", err)
	}
}

// TestContextEnds ends the context of a request while the upstream's response is
// incomplete. The request must fail and be reported as written.
func TestContextEnds(t *testing.T) {
	t.Parallel()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	upstream := kernel.Run(ctx, func(context.Context) error {
		conn, err := listener.Accept()
		if err != nil {
			return err
		}
		defer conn.Close()
		if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
			return err
		}
		if _, err := io.WriteString(conn, "HTTP/1.1 "); err != nil {
			return err
		}
		cancel()
		_, _ = io.Copy(io.Discard, conn) // The client closes the connection.
		return nil
	})
	target := upconn.Target{Address: netip.MustParseAddrPort(listener.Addr().String())}
	_, err = do(ctx, upconn.NewPool(func() {}), target, "0")
	_ = listener.Close()
	if upstreamErr := <-upstream; upstreamErr != nil {
		t.Fatal(upstreamErr)
	}
	var connErr *upconn.ConnError
	if !errors.As(err, &connErr) || !connErr.Written {
		t.Fatalf("got error %v, want a ConnError with Written set", err)
	}
}

// warmUp sends one request and returns its connection to the pool.
func warmUp(t *testing.T, pool *upconn.Pool, target upconn.Target) {
	t.Helper()
	if _, err := do(context.Background(), pool, target, "0"); err != nil {
		t.Fatal(err)
	}
}

// TestMaxIdleTime asks for a connection after the only one has been idle for longer
// than the given time. The pool must open a new connection.
func TestMaxIdleTime(t *testing.T) {
	t.Parallel()
	dials := 0
	pool := upconn.NewPool(func() { dials++ })
	target := startUpstream(t, rawResponse("0", "a"))
	warmUp(t, pool, target)
	time.Sleep(20 * time.Millisecond)
	conn, err := connect(context.Background(), pool, target, 10*time.Millisecond)
	if err != nil {
		t.Fatal(err)
	}
	conn.Close()
	if dials != 2 {
		t.Errorf("got %d dials, want 2", dials)
	}
}

// TestCloseStale checks that idle connections to an upstream that isn't in use any
// more are closed and those to another upstream are kept.
func TestCloseStale(t *testing.T) {
	t.Parallel()
	dials := 0
	pool := upconn.NewPool(func() { dials++ })
	removed, inUse := startUpstream(t, rawResponse("0", "a"), rawResponse("0", "b")), startUpstream(t, rawResponse("0", "a"), rawResponse("0", "b"))
	warmUp(t, pool, removed)
	warmUp(t, pool, inUse)
	pool.CloseStale(time.Now(), func(target upconn.Target) bool { return target == inUse })
	warmUp(t, pool, removed)
	warmUp(t, pool, inUse)
	if dials != 3 {
		t.Errorf("got %d dials, want 3", dials)
	}
}

// TestEarlyResponse receives a response before the request body was fully sent.
// The connection must not be reused, because the upstream would read the rest of
// the body as a request.
func TestEarlyResponse(t *testing.T) {
	t.Parallel()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			// A response that comes before any of the request is not one to it.
			if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
				conn.Close()
				continue
			}
			_, _ = io.WriteString(conn, rawResponse("0", "a"))
			time.Sleep(time.Second)
			conn.Close()
		}
	}()
	target := upconn.Target{Address: netip.MustParseAddrPort(listener.Addr().String())}
	dials := 0
	pool := upconn.NewPool(func() { dials++ })
	const size = 64 << 20
	for range 2 {
		conn, err := connect(context.Background(), pool, target, time.Minute)
		if err != nil {
			t.Fatal(err)
		}
		response, err := conn.Do(context.Background(), &upconn.Request{
			Method: http.MethodPost, Target: "/bales", Host: "souk.example", Header: http.Header{},
			Body: strings.NewReader(strings.Repeat("x", size)), Length: size,
			Matches: func(http.Header, bool) bool { return true },
		})
		if err != nil {
			t.Fatal(err)
		}
		if _, err := io.Copy(io.Discard, response.Body); err != nil {
			t.Fatal(err)
		}
		conn.Finish(response)
		pool.Put(conn)
	}
	if dials != 2 {
		t.Errorf("got %d dials, want 2", dials)
	}
}
