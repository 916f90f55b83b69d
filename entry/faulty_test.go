package entry_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"testing"
	"time"

	"dandeliondoor/proto"
)

// mode is where the connection to a faulty upstream breaks.
type mode string

const (
	modeRefused        mode = "refused"
	modeClosedAtOnce   mode = "closed before the request"
	modeWithinRequest  mode = "closed within the request"
	modeAfterRequest   mode = "closed after the request"
	modeWithinHead     mode = "closed within the head of the answer"
	modeShortLength    mode = "answer shorter than its length"
	modeUnendedChunks  mode = "chunked answer without its end"
	modeShed           mode = "shed"
	modeLate           mode = "answer after the deadline"
	modeKeptConnection mode = "kept connection dies at its second use"
	modeServerError    mode = "server error"
	modeGood           mode = "good"
)

// faultyUpstream speaks HTTP by hand, so that it can break off anywhere, and
// counts what it ran.
type faultyUpstream struct {
	address netip.AddrPort
	mode    mode

	mutex sync.Mutex
	runs  map[string]int
}

func newFaultyUpstream(t *testing.T, mode mode) *faultyUpstream {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	u := &faultyUpstream{mode: mode, runs: make(map[string]int)}
	u.address = listener.Addr().(*net.TCPAddr).AddrPort()
	if mode == modeRefused {
		listener.Close()
		return u
	}
	t.Cleanup(func() { listener.Close() })
	go u.accept(listener)
	return u
}

func (u *faultyUpstream) accept(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		go u.serve(conn)
	}
}

func (u *faultyUpstream) serve(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for use := 1; ; use++ {
		if u.mode == modeClosedAtOnce {
			return
		}
		if u.mode == modeWithinRequest {
			_, _ = reader.ReadByte()
			return
		}
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return
		}
		if !u.answer(conn, request, use) {
			return
		}
	}
}

// answer answers one request and reports whether the connection is kept.
func (u *faultyUpstream) answer(conn net.Conn, request *http.Request, use int) bool {
	if u.mode == modeShed {
		fmt.Fprintf(conn, "HTTP/1.1 503 Shed\r\n%s: not-run\r\nContent-Length: 0\r\n\r\n", proto.HeaderShed)
		return true
	}
	u.mutex.Lock()
	u.runs[request.Header.Get(proto.HeaderRequestID)]++
	u.mutex.Unlock()
	switch u.mode {
	case modeAfterRequest:
		return false
	case modeWithinHead:
		io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Le")
		return false
	case modeShortLength:
		io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nshort")
		return false
	case modeUnendedChunks:
		io.WriteString(conn, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nshort\r\n")
		return false
	case modeLate:
		time.Sleep(600 * time.Millisecond)
		io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nlate")
		return true
	case modeServerError:
		io.WriteString(conn, "HTTP/1.1 500 Fault\r\nContent-Length: 5\r\n\r\nfault")
		return true
	case modeKeptConnection:
		if use > 1 {
			return false
		}
	}
	body := "complete"
	if request.Method == http.MethodHead {
		body = ""
	}
	io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 8\r\n\r\n"+body)
	return true
}

// ran returns how often a request ran here.
func (u *faultyUpstream) ran(id string) int {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	return u.runs[id]
}
