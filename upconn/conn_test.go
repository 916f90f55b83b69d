package upconn_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/go-faster/errors"

	"dandeliondoor/upconn"
)

const idHeader = "X-Id"

// script answers the requests of one connection, one text each; an empty text
// closes the connection.
func script(t *testing.T, answers ...string) upconn.Target {
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
			go play(conn, answers)
		}
	}()
	return upconn.Target{Address: netip.MustParseAddrPort(listener.Addr().String()), ID: "i-1"}
}

func play(conn net.Conn, answers []string) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for _, answer := range answers {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, request.Body); err != nil || answer == "" {
			return
		}
		if _, err := io.WriteString(conn, answer); err != nil {
			return
		}
	}
	time.Sleep(time.Second)
}

// response returns an answer with an id and a body.
func response(id, body string) string {
	return "HTTP/1.1 200 OK\r\n" + idHeader + ": " + id + "\r\nContent-Length: " + string(rune('0'+len(body))) + "\r\n\r\n" + body
}

// do sends one request over a connection of the pool and returns its body.
func do(ctx context.Context, pool *upconn.Pool, target upconn.Target, id string) (string, error) {
	conn, err := pool.Get(ctx, target, time.Minute)
	if err != nil {
		return "", err
	}
	answer, err := conn.Do(ctx, &upconn.Request{
		Method: http.MethodPost, Target: "/bales", Host: "souk.example",
		Header: http.Header{idHeader: {id}}, Body: strings.NewReader("lot=12"), Length: 6,
		Matches: func(header http.Header) bool { return header.Get(idHeader) == id },
	})
	if err != nil {
		conn.Close()
		return "", err
	}
	body, err := io.ReadAll(answer.Body)
	if err != nil {
		conn.Close()
		return "", err
	}
	conn.Finish(answer)
	pool.Put(conn)
	return string(body), nil
}

func TestDo(t *testing.T) {
	t.Parallel()
	for _, test := range []struct {
		name    string
		answers []string
		bodies  []string
		opened  int
	}{
		{name: "extra answer at once", answers: []string{response("0", "a") + response("0", "x"), response("1", "b")}, bodies: []string{"a", "b"}, opened: 2},
		{name: "extra answer late", answers: []string{response("0", "a"), response("0", "x") + response("1", "b")}, bodies: []string{"a", "b"}, opened: 1},
		{name: "interim answer", answers: []string{"HTTP/1.1 103 Early Hints\r\n\r\n" + response("0", "a")}, bodies: []string{"a"}, opened: 1},
		{name: "kept", answers: []string{response("0", "a"), response("1", "b")}, bodies: []string{"a", "b"}, opened: 1},
		{name: "no bytes of HTTP", answers: []string{"\x00\x01\x02\r\n\r\n"}, bodies: []string{""}, opened: 1},
		{name: "cut body", answers: []string{"HTTP/1.1 200 OK\r\n" + idHeader + ": 0\r\nContent-Length: 9\r\n\r\nhalf"}, bodies: []string{""}, opened: 1},
		{name: "no answer", answers: []string{""}, bodies: []string{""}, opened: 1},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			opened := 0
			pool := upconn.NewPool(func() { opened++ })
			answers := test.answers
			if test.name == "extra answer at once" {
				answers = []string{test.answers[0]}
			}
			target := script(t, answers...)
			for i, want := range test.bodies {
				if i == 1 && test.name == "extra answer at once" {
					target = script(t, test.answers[1])
				}
				ctx, cancel := context.WithTimeout(context.Background(), 500*time.Millisecond)
				got, err := do(ctx, pool, target, string(rune('0'+i)))
				cancel()
				if got != want || (want == "") != (err != nil) {
					t.Fatalf("request %d: got %q, error %v, want %q", i, got, err, want)
				}
			}
			if opened != test.opened {
				t.Errorf("opened %d connections, want %d", opened, test.opened)
			}
		})
	}
}

// TestUnwritten connects to a port that nobody serves: nothing was sent.
func TestUnwritten(t *testing.T) {
	t.Parallel()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	target := upconn.Target{Address: netip.MustParseAddrPort(listener.Addr().String())}
	listener.Close()
	_, err = do(context.Background(), upconn.NewPool(func() {}), target, "0")
	var dial *upconn.DialError
	if !errors.As(err, &dial) {
		t.Fatalf("got %v", err)
	}
}

// TestCancelled ends a request whose upstream never answers.
func TestCancelled(t *testing.T) {
	t.Parallel()
	target := script(t, "HTTP/1.1 ")
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	_, err := do(ctx, upconn.NewPool(func() {}), target, "0")
	var broken *upconn.ConnError
	if !errors.As(err, &broken) || !broken.Written {
		t.Fatalf("got %v", err)
	}
}

// open sends one request and returns its connection to the pool.
func open(t *testing.T, pool *upconn.Pool, target upconn.Target) {
	t.Helper()
	if _, err := do(context.Background(), pool, target, "0"); err != nil {
		t.Fatal(err)
	}
}

// TestAge takes no connection that was idle for longer than asked for.
func TestAge(t *testing.T) {
	t.Parallel()
	opened := 0
	pool := upconn.NewPool(func() { opened++ })
	target := script(t, response("0", "a"))
	open(t, pool, target)
	time.Sleep(20 * time.Millisecond)
	conn, err := pool.Get(context.Background(), target, 10*time.Millisecond)
	if err != nil {
		t.Fatal(err)
	}
	conn.Close()
	if opened != 2 {
		t.Errorf("opened %d connections, want 2", opened)
	}
}

// TestSweep closes kept connections to upstreams that are not in use any more.
func TestSweep(t *testing.T) {
	t.Parallel()
	opened := 0
	pool := upconn.NewPool(func() { opened++ })
	left, stays := script(t, response("0", "a"), response("0", "b")), script(t, response("0", "a"), response("0", "b"))
	open(t, pool, left)
	open(t, pool, stays)
	pool.CloseStale(time.Now(), func(target upconn.Target) bool { return target == stays })
	open(t, pool, left)
	open(t, pool, stays)
	if opened != 3 {
		t.Errorf("opened %d connections, want 3", opened)
	}
}

// TestEarlyAnswer gets an answer before the body was sent: the connection is not
// used again, for the rest of the body would be read as a request.
func TestEarlyAnswer(t *testing.T) {
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
			_, _ = io.WriteString(conn, response("0", "a"))
			time.Sleep(time.Second)
			conn.Close()
		}
	}()
	target := upconn.Target{Address: netip.MustParseAddrPort(listener.Addr().String())}
	opened := 0
	pool := upconn.NewPool(func() { opened++ })
	const size = 64 << 20
	for range 2 {
		conn, err := pool.Get(context.Background(), target, time.Minute)
		if err != nil {
			t.Fatal(err)
		}
		answer, err := conn.Do(context.Background(), &upconn.Request{
			Method: http.MethodPost, Target: "/bales", Host: "souk.example", Header: http.Header{},
			Body: strings.NewReader(strings.Repeat("x", size)), Length: size,
			Matches: func(http.Header) bool { return true },
		})
		if err != nil {
			t.Fatal(err)
		}
		if _, err := io.Copy(io.Discard, answer.Body); err != nil {
			t.Fatal(err)
		}
		conn.Finish(answer)
		pool.Put(conn)
	}
	if opened != 2 {
		t.Errorf("opened %d connections, want 2", opened)
	}
}
