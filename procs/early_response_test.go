package procs_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/go-faster/errors"

	"dandeliondoor/fakes"
	"dandeliondoor/platform"
	"dandeliondoor/proto"
)

// connEnd is how a server ends a connection behind its response.
type connEnd int

const (
	endReset connEnd = iota
	// endOrderly sends a FIN and reads on, endClosed sends one and then answers further bytes
	// with a RST.
	endOrderly
	endClosed
)

// earlyResponse is a response that a server sends before it has read the request, and how
// it ends the connection behind it. HEAD stands for the headers with the request ID and the
// signature. Whole means that the response is complete.
type earlyResponse struct {
	name  string
	text  string
	body  string
	end   connEnd
	whole bool
}

const (
	earlyHead       = "HTTP/1.1 200 OK\r\nHEAD\r\n"
	earlyHeadHTTP10 = "HTTP/1.0 200 OK\r\nHEAD\r\n"
)

// longBody exceeds what a daemon buffers of a response.
var longBody = strings.Repeat("lots of sacks\n", 40<<10)

var earlyResponses = []earlyResponse{
	{name: "no length", text: earlyHead + "\r\nlots", end: endReset},
	{name: "no length, closed", text: earlyHead + "Connection: close\r\n\r\nlots", end: endReset},
	{name: "no length, no body yet", text: earlyHead + "\r\n", end: endReset},
	{name: "no length, HTTP 1.0", text: earlyHeadHTTP10 + "\r\nlots", end: endReset},
	{name: "no length, streamed", text: earlyHead + "\r\n" + longBody, end: endReset},
	{name: "short of its length", text: earlyHead + "Content-Length: 9\r\n\r\nlots", end: endReset},
	{name: "short of its length, HTTP 1.0", text: earlyHeadHTTP10 + "Content-Length: 9\r\n\r\nlots", end: endReset},
	{name: "chunks without an end", text: earlyHead + "Transfer-Encoding: chunked\r\n\r\n4\r\nlots\r\n", end: endReset},
	{name: "no length, orderly", text: earlyHead + "\r\nlots", body: "lots", end: endOrderly, whole: true},
	{name: "no length, orderly, HTTP 1.0", text: earlyHeadHTTP10 + "\r\nlots", body: "lots", end: endOrderly, whole: true},
	{name: "no length, orderly, streamed", text: earlyHead + "\r\n" + longBody, body: longBody, end: endOrderly, whole: true},
	{name: "no length, FIN before the RST", text: earlyHead + "\r\nlots", body: "lots", end: endClosed, whole: true},
	{name: "length", text: earlyHead + "Content-Length: 4\r\n\r\nlots", body: "lots", end: endReset, whole: true},
	{name: "chunks", text: earlyHead + "Transfer-Encoding: chunked\r\n\r\n4\r\nlots\r\n0\r\n\r\n", body: "lots", end: endReset, whole: true},
}

// earlyServer responds to the requests for some paths before it has read their bodies, and
// to others with a complete response. Order is the number of requests before the one for a
// path on its connection.
type earlyServer struct {
	listener net.Listener

	mutex     sync.Mutex
	responses map[string]earlyResponse
	order     map[string]int
}

// startEarlyServer starts an earlyServer and registers it in the store.
func (f *frontFleet) startEarlyServer() *earlyServer {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must(f.t, err)
	f.t.Cleanup(func() { _ = listener.Close() })
	s := &earlyServer{listener: listener, responses: make(map[string]earlyResponse), order: make(map[string]int)}
	go s.accept()
	address := netip.MustParseAddrPort(listener.Addr().String())
	must(f.t, fakes.NewServer("i-early", "souk", zones[0], address).Register(f.store, false))
	return s
}

// respond sets the response to the requests for a path.
func (s *earlyServer) respond(path string, response earlyResponse) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.responses[path] = response
}

// position returns how many requests came before the one for a path on its connection, and
// whether it came.
func (s *earlyServer) position(path string) (position int, arrived bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	position, arrived = s.order[path]
	return position, arrived
}

func (s *earlyServer) accept() {
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return
		}
		go s.serve(conn.(*net.TCPConn))
	}
}

func (s *earlyServer) serve(conn *net.TCPConn) {
	defer conn.Close()
	// Keeps an upload from fitting into the buffers of the connection.
	_ = conn.SetReadBuffer(16 << 10)
	reader := bufio.NewReader(conn)
	for position := 0; ; position++ {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		head := proto.HeaderRequestID + ": " + request.Header.Get(proto.HeaderRequestID) + "\r\n" + platform.HeaderSignature + ": signed\r\n"
		s.mutex.Lock()
		response, early := s.responses[request.URL.Path]
		s.order[request.URL.Path] = position
		s.mutex.Unlock()
		if early {
			_, _ = io.WriteString(conn, strings.Replace(response.text, "HEAD\r\n", head, 1))
			s.end(conn, request, response.end)
			return
		}
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return
		}
		if _, err := io.WriteString(conn, "HTTP/1.1 200 OK\r\n"+head+"Content-Length: 4\r\n\r\nlots"); err != nil {
			return
		}
	}
}

func (s *earlyServer) end(conn *net.TCPConn, request *http.Request, end connEnd) {
	switch end {
	case endReset:
		_ = conn.SetLinger(0)
	case endOrderly:
		_ = conn.CloseWrite()
		_, _ = io.Copy(io.Discard, request.Body)
	case endClosed:
		_ = conn.CloseWrite()
		_, _ = io.CopyN(io.Discard, request.Body, 64<<10)
	}
}

// upload is a request whose body is longer than a server reads of it.
type upload struct {
	name    string
	proto   string
	path    string
	framing string
	body    string
}

func uploads() []upload {
	const size = 4 << 20
	body := strings.Repeat("x", size)
	short := body[:200<<10]
	chunks := strings.Repeat(fmt.Sprintf("%x\r\n%s\r\n", 32<<10, body[:32<<10]), size/(32<<10)) + "0\r\n\r\n"
	length := func(body string) string { return fmt.Sprintf("Content-Length: %d\r\n", len(body)) }
	return []upload{
		{name: "streamed", proto: "1.1", path: "/bales/", framing: length(body), body: body},
		{name: "chunked", proto: "1.1", path: "/bales/", framing: "Transfer-Encoding: chunked\r\n", body: chunks},
		{name: "buffered", proto: "1.1", path: "/bales/", framing: length(short), body: short},
		{name: "buffered, idempotent", proto: "1.1", path: "/lots/", framing: length(short), body: short},
		{name: "HTTP 1.0", proto: "1.0", path: "/bales/", framing: length(body), body: body},
	}
}

// send sends the request while it reads the response, and returns the status and the body.
// The error is set if the response is incomplete: if the end of the connection delimits it,
// that is the case, too, if the write got the report of a reset instead of the read.
func (u upload) send(address netip.AddrPort, id, path string) (status int, body string, err error) {
	conn, err := net.Dial("tcp", address.String())
	if err != nil {
		return 0, "", err
	}
	_ = conn.SetDeadline(time.Now().Add(waitTimeout))
	written := make(chan error, 1)
	go func() {
		_, err := io.WriteString(conn, "POST "+path+" HTTP/"+u.proto+"\r\nHost: souk.example\r\n"+proto.HeaderRequestID+": "+id+
			"\r\n"+proto.HeaderDeadline+": 2500\r\n"+u.framing+"\r\n"+u.body)
		written <- err
	}()
	status, body, delimited, err := readAll(conn)
	conn.Close()
	if writeErr := <-written; err == nil && !delimited && errors.Is(writeErr, syscall.ECONNRESET) {
		err = writeErr
	}
	return status, body, err
}

// readAll reads a response. Delimited means that its head tells where its body ends.
func readAll(conn net.Conn) (status int, body string, delimited bool, err error) {
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0, "", false, err
	}
	data, err := io.ReadAll(response.Body)
	return response.StatusCode, string(data), response.ContentLength >= 0 || len(response.TransferEncoding) > 0, err
}

// TestFrontEarlyResponse lets a server respond while a request is being sent to it, and end
// the connection in order or reset it. It guards against a response that the reset cuts
// short and that the caller gets as a complete one.
func TestFrontEarlyResponse(t *testing.T) {
	t.Parallel()
	for _, u := range uploads() {
		t.Run(u.name, func(t *testing.T) {
			t.Parallel()
			f := newFrontFleet(t, 1, 0)
			server := f.startEarlyServer()
			f.allowUploads(server)
			for i, response := range earlyResponses {
				f.testEarlyResponse(t, server, u, response, fmt.Sprintf("early-%d", i))
			}
		})
	}
}

// allowUploads publishes a configuration that allows long bodies, and waits until it is in
// force and the server is known.
func (f *frontFleet) allowUploads(server *earlyServer) {
	f.t.Helper()
	config := newFrontConfig(2, "bales")
	config.Limits.BodyBytes = 64 << 20
	data, err := platform.EncodeConfig(config)
	must(f.t, err)
	f.store.Put(platform.OperatorTopic, platform.ConfigKey, data)
	f.eventually("the server and version 2 to be known", func() bool {
		const path = "/bales/ready"
		_, status, _, err := f.send(f.fronts[0], http.MethodPost, path, strings.Repeat("x", 2000))
		_, arrived := server.position(path)
		return err == nil && status == http.StatusOK && arrived
	})
}

// testEarlyResponse sends requests, every second one over a connection to the server that
// has carried another one.
func (f *frontFleet) testEarlyResponse(t *testing.T, server *earlyServer, u upload, response earlyResponse, name string) {
	t.Helper()
	const rounds = 10
	positions := make(map[bool]int)
	for round := range rounds {
		id := fmt.Sprintf("%s-%d", name, round)
		path := u.path + id
		server.respond(path, response)
		if round%2 == 1 {
			_, _, _, err := f.send(f.fronts[0], http.MethodPost, "/bales/before", "")
			must(t, err)
		}
		status, body, err := u.send(f.fronts[0].callers, id, path)
		complete := err == nil && status < http.StatusMultipleChoices
		if complete != response.whole || (complete && body != response.body) {
			t.Errorf("%s, round %d: got status %d, %d bytes, error %v", response.name, round, status, len(body), err)
		}
		if position, arrived := server.position(path); arrived {
			positions[position > 0]++
		}
	}
	if positions[false] == 0 || positions[true] == 0 {
		t.Errorf("%s: got %d requests on new and %d on reused connections to the server", response.name, positions[false], positions[true])
	}
}
