package upconn_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"dandeliondoor/platform"
	"dandeliondoor/proto"
	"dandeliondoor/upconn"
)

// platformResponse returns a response of a server of the platform. Without an ID it
// does not tell to which request it belongs.
func platformResponse(status, id, extra string) string {
	response := "HTTP/1.1 " + status + "\r\n" + extra
	if id != "" {
		response += proto.HeaderRequestID + ": " + id + "\r\n"
	}
	return response + "Content-Length: 0\r\n\r\n"
}

// startRepeating starts a server that refuses the first request, and writes the refusal
// once more before its response to the next request on the same connection.
func startRepeating(t *testing.T, refusal string) upconn.Target {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	var refused atomic.Bool
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go repeatRefusal(conn, refusal, &refused)
		}
	}()
	return upconn.Target{Address: netip.MustParseAddrPort(listener.Addr().String()), ID: "i-1"}
}

func repeatRefusal(conn net.Conn, refusal string, refused *atomic.Bool) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	refuses := false
	for i := 0; ; i++ {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if i == 0 {
			refuses = refused.CompareAndSwap(false, true)
		}
		response := platformResponse("200 OK", request.Header.Get(proto.HeaderRequestID), "")
		switch {
		case refuses && i == 0:
			response = refusal
		case refuses:
			response = refusal + response
		}
		if _, err := io.WriteString(conn, response); err != nil {
			return
		}
	}
}

// status sends one request and returns the status of the response, 0 if there was none.
func status(t *testing.T, pool *upconn.Pool, target upconn.Target, id string) int {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	conn, err := connect(ctx, pool, target, time.Minute)
	if err != nil {
		t.Fatal(err)
	}
	response, err := conn.Do(ctx, &upconn.Request{
		Method: http.MethodPost, Target: "/bales", Host: "souk.example", Header: http.Header{proto.HeaderRequestID: {id}},
		Matches: func(header http.Header, first bool) bool { return platform.Dialect{}.MatchesRequest(header, id, first) },
	})
	if err != nil {
		conn.Close()
		return 0
	}
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		t.Fatal(err)
	}
	conn.Finish(response)
	pool.Put(conn)
	return response.StatusCode
}

// TestRepeatedRefusal guards against a faulty server that writes an earlier refusal once
// more on a kept connection while it runs the next request: that request must not count
// as refused, since it would be sent to a second server or its caller told to repeat it.
func TestRepeatedRefusal(t *testing.T) {
	t.Parallel()
	notRun := platform.HeaderNotRun + ": 1\r\n"
	for _, test := range []struct {
		name    string
		refusal string
	}{
		{name: "421 without an ID", refusal: platformResponse("421 Misdirected Request", "", "")},
		{name: "429 without an ID", refusal: platformResponse("429 Too Many Requests", "", notRun)},
		{name: "503 with its ID", refusal: platformResponse("503 Service Unavailable", "r-0", notRun)},
		{name: "503 without an ID", refusal: platformResponse("503 Service Unavailable", "", notRun)},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			target := startRepeating(t, test.refusal)
			pool := upconn.NewPool(func() {})
			if got := status(t, pool, target, "r-0"); got < http.StatusBadRequest {
				t.Fatalf("first request got status %d, want the refusal", got)
			}
			if got := status(t, pool, target, "r-1"); got != http.StatusOK {
				t.Errorf("second request got status %d, which belongs to the first one", got)
			}
		})
	}
}

// TestCutHead guards against a server that closes its connection in the middle of the
// head of its response: at no place may the caller get a response, since it would look
// like a complete one with an empty or short body.
func TestCutHead(t *testing.T) {
	t.Parallel()
	for _, test := range []struct {
		name string
		head string
	}{
		{name: "chunked", head: "HTTP/1.1 200 OK\r\n" + idHeader + ": 0\r\nTransfer-Encoding: chunked\r\n\r\n"},
		{name: "interim response first", head: "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\n" + idHeader + ": 0\r\nContent-Length: 12\r\n\r\n"},
		{name: "length first", head: "HTTP/1.1 200 OK\r\nContent-Length: 12\r\n" + idHeader + ": 0\r\nX-Last: 1\r\n\r\n"},
		{name: "length last", head: "HTTP/1.1 200 OK\r\n" + idHeader + ": 0\r\nContent-Length: 12\r\n\r\n"},
		{name: "line feeds alone", head: "HTTP/1.1 200 OK\n" + idHeader + ": 0\nContent-Length: 12\n\n"},
		{name: "no length", head: "HTTP/1.1 200 OK\r\n" + idHeader + ": 0\r\n\r\n"},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			for cut := 1; cut < len(test.head); cut++ {
				body, err := cutResponse(t, test.head[:cut])
				if err == nil {
					t.Errorf("cut after %q: got a complete response with body %q", test.head[:cut], body)
				}
			}
		})
	}
}

// cutResponse sends a request to a server that writes a text and closes the connection.
func cutResponse(t *testing.T, text string) (string, error) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		defer conn.Close()
		request, err := http.ReadRequest(bufio.NewReader(conn))
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		_, _ = io.WriteString(conn, text)
	}()
	target := upconn.Target{Address: netip.MustParseAddrPort(listener.Addr().String()), ID: "i-1"}
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	return do(ctx, upconn.NewPool(func() {}), target, "0")
}
