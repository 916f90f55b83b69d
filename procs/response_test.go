package procs_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"time"

	"dandeliondoor/fakes"
	"dandeliondoor/platform"
	"dandeliondoor/proto"
)

// rawServer answers each request with a text that its path selects, in which HEAD stands for
// the headers with the request ID and the signature, and ID for the request ID. It closes the
// connection behind a text that says so.
type rawServer struct {
	listener  net.Listener
	responses map[string]string
}

// startRawServer starts a rawServer and registers it in the store.
func (f *frontFleet) startRawServer(responses map[string]string) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must(f.t, err)
	f.t.Cleanup(func() { _ = listener.Close() })
	s := &rawServer{listener: listener, responses: responses}
	go s.accept()
	address := netip.MustParseAddrPort(listener.Addr().String())
	must(f.t, fakes.NewServer("i-raw", "souk", zones[0], address).Register(f.store, false))
}

func (s *rawServer) accept() {
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return
		}
		go s.serve(conn)
	}
}

// serve answers requests until one has no response.
func (s *rawServer) serve(conn net.Conn) {
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
		text := s.responses[request.URL.Path]
		id := request.Header.Get(proto.HeaderRequestID)
		head := proto.HeaderRequestID + ": " + id + "\r\n" + platform.HeaderSignature + ": signed\r\n"
		if _, err := io.WriteString(conn, strings.NewReplacer("HEAD\r\n", head, ": ID\r\n", ": "+id+"\r\n").Replace(text)); err != nil {
			return
		}
		if strings.Contains(text, ": close") {
			return
		}
	}
}

// oddResponse is a response of a server, and what the caller gets for it. HEAD stands
// for the headers with the request ID and the signature.
type oddResponse struct {
	name   string
	method string
	text   string
	status int
	body   string
}

var oddResponses = []oddResponse{
	{name: "informational first", text: "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\nHTTP/1.1 200 OK\r\nHEAD\r\nContent-Length: 3\r\n\r\nlot", status: 200, body: "lot"},
	{name: "switching protocols", text: "HTTP/1.1 101 Switching Protocols\r\nUpgrade: lots\r\nConnection: Upgrade\r\nHEAD\r\n\r\nX-End: close", status: 502},
	{name: "no content", text: "HTTP/1.1 204 No Content\r\nHEAD\r\n\r\n", status: 204},
	{name: "no content with a body", text: "HTTP/1.1 204 No Content\r\nHEAD\r\nContent-Length: 3\r\n\r\nlot", status: 204},
	{name: "not modified", text: "HTTP/1.1 304 Not Modified\r\nHEAD\r\nContent-Length: 3\r\n\r\n", status: 304},
	{name: "HEAD", method: http.MethodHead, text: "HTTP/1.1 200 OK\r\nHEAD\r\nContent-Length: 3\r\n\r\n", status: 200},
	{name: "HEAD with a body", method: http.MethodHead, text: "HTTP/1.1 200 OK\r\nHEAD\r\nContent-Length: 3\r\n\r\nlot", status: 200},
	{name: "HEAD without a length", method: http.MethodHead, text: "HTTP/1.1 200 OK\r\nHEAD\r\n\r\nX-End: close", status: 200},
	{name: "ends with the connection", text: "HTTP/1.1 200 OK\r\nHEAD\r\nX-End: close\r\n\r\nlot", status: 200, body: "lot"},
	{name: "trailer", text: "HTTP/1.1 200 OK\r\nHEAD\r\nTrailer: Digest\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nlot\r\n0\r\nDigest: 1\r\n\r\n", status: 200, body: "lot"},
	{name: "status 600", text: "HTTP/1.1 600 Odd\r\nHEAD\r\nContent-Length: 3\r\n\r\nlot", status: 600, body: "lot"},
	{name: "status 999", text: "HTTP/1.1 999 Odd\r\nHEAD\r\nContent-Length: 3\r\n\r\nlot", status: 999, body: "lot"},
	{name: "two lengths", text: "HTTP/1.1 200 OK\r\nHEAD\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nlot", status: 502},
	{name: "negative length", text: "HTTP/1.1 200 OK\r\nHEAD\r\nContent-Length: -3\r\n\r\nlot", status: 502},
	{name: "huge length", text: "HTTP/1.1 200 OK\r\nHEAD\r\nContent-Length: 99999999999999999999\r\n\r\nlot", status: 502},
	{name: "length and chunks", text: "HTTP/1.1 200 OK\r\nHEAD\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nlot\r\n0\r\n\r\n", status: 200, body: "lot"},
	{name: "bad chunk", text: "HTTP/1.1 200 OK\r\nHEAD\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\nlot", status: 502},
	{name: "connection headers", text: "HTTP/1.1 200 OK\r\nHEAD\r\nConnection: close, X-Lot\r\nX-Lot: 1\r\nKeep-Alive: timeout=-5\r\nContent-Length: 3\r\n\r\nlot", status: 200, body: "lot"},
	{name: "bytes after the response", text: "HTTP/1.1 200 OK\r\nHEAD\r\nContent-Length: 3\r\n\r\nlotHTTP/1.1 200 OK\r\n", status: 200, body: "lot"},
	{name: "control character", text: "HTTP/1.1 200 OK\r\nHEAD\r\nX-Lot: a\x01b\r\nContent-Length: 3\r\n\r\nlot", status: 502},
	{name: "empty header name", text: "HTTP/1.1 200 OK\r\nHEAD\r\n: lot\r\nContent-Length: 3\r\n\r\nlot", status: 502},
	{name: "not HTTP", text: "lots of bytes\r\n\r\nX-End: close", status: 502},
	{name: "nothing", text: "X-End: close", status: 502},
}

// TestFrontOddResponses lets a server answer in unusual forms. Each caller must get an
// answer, over the same connection if it is kept.
func TestFrontOddResponses(t *testing.T) {
	t.Parallel()
	newFrontFleet(t, 1, 0).testOddResponses(oddResponses)
}

// testOddResponses sends a request for each response of a server. Every second one follows
// another one on its connection to the server, if that is kept.
func (f *frontFleet) testOddResponses(tests []oddResponse) {
	f.t.Helper()
	const whole = "/bales/whole"
	responses := map[string]string{whole: "HTTP/1.1 204 No Content\r\nHEAD\r\n\r\n"}
	for i, test := range tests {
		responses[fmt.Sprintf("/bales/%d", i)] = test.text
	}
	f.startRawServer(responses)
	f.eventually("the server to be known", func() bool {
		_, status, _, err := f.send(f.fronts[0], http.MethodPost, whole, "")
		return err == nil && status == http.StatusNoContent
	})
	for i, test := range tests {
		if i%2 == 1 {
			_, _, _, err := f.send(f.fronts[0], http.MethodPost, whole, "")
			must(f.t, err)
		}
		method := http.MethodPost
		if test.method != "" {
			method = test.method
		}
		start := time.Now()
		_, status, body, err := f.send(f.fronts[0], method, fmt.Sprintf("/bales/%d", i), "")
		if err != nil || status != test.status || ((status == http.StatusOK || test.body != "") && body != test.body) {
			f.t.Errorf("%s: got status %d %q, error %v after %s, want %d %q", test.name, status, body, err, time.Since(start), test.status, test.body)
		}
	}
}

// partialBody is a part of a request body, and the status that its caller gets at the
// route's timeout.
type partialBody struct {
	name   string
	sent   string
	status int
}

var partialBodies = []partialBody{
	{name: "length", sent: "Content-Length: 10\r\n\r\nlot", status: http.StatusRequestTimeout},
	{name: "chunked", sent: "Transfer-Encoding: chunked\r\n\r\n3\r\nlot\r\n", status: http.StatusRequestTimeout},
	{name: "not yet passed on", sent: "Content-Length: 300000\r\n\r\nlot", status: http.StatusServiceUnavailable},
	{
		name:   "passed on while it comes",
		sent:   "Content-Length: 300000\r\n\r\n" + strings.Repeat("lot", 10000),
		status: http.StatusGatewayTimeout,
	},
}

// TestFrontSlowBody sends a part of a request body and waits. It guards against a caller
// that gets no answer at the route's timeout since the rest of the body has not come.
func TestFrontSlowBody(t *testing.T) {
	t.Parallel()
	f := newFrontFleet(t, 1, 1)
	config := newFrontConfig(2, "sacks")
	config.Limits.BodyBytes = 1 << 20
	data, err := platform.EncodeConfig(config)
	must(t, err)
	f.store.Put(platform.OperatorTopic, platform.ConfigKey, data)
	f.eventually("version 2 to be in force", func() bool {
		_, status, _, err := f.send(f.fronts[0], http.MethodPost, "/sacks/1", "")
		return err == nil && status == http.StatusOK
	})
	for _, test := range partialBodies {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			conn, err := net.Dial("tcp", f.fronts[0].callers.String())
			must(t, err)
			defer conn.Close()
			_, err = io.WriteString(conn, "POST /brief/1 HTTP/1.1\r\nHost: souk.example\r\n"+proto.HeaderRequestID+": "+test.name+
				"\r\n"+proto.HeaderDeadline+": 2500\r\n"+test.sent)
			must(t, err)
			must(t, conn.SetReadDeadline(time.Now().Add(10*time.Second)))
			response, err := http.ReadResponse(bufio.NewReader(conn), nil)
			if err != nil {
				t.Fatalf("no answer: %v", err)
			}
			if response.StatusCode != test.status {
				t.Errorf("got status %d, want %d", response.StatusCode, test.status)
			}
			if runs := f.runCount(test.name); runs > 0 {
				t.Errorf("an incomplete request ran %d times", runs)
			}
		})
	}
}
