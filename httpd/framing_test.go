package httpd_test

import (
	"bufio"
	"io"
	"net/http"
	"strings"
	"testing"

	"dandeliondoor/httpd"
)

// TestFramingOfRequestsBefore sends requests in one piece of which the last is chunked. It
// guards against requests that have been read and are dropped or rejected because of the
// framing of a request behind them.
func TestFramingOfRequestsBefore(t *testing.T) {
	t.Parallel()
	const chunked = "POST /last HTTP/1.1\r\nHost: souk.example\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nlot\r\n0\r\n\r\n"
	for _, test := range []struct {
		name string
		last string
		want httpd.Framing
	}{
		{name: "chunked", last: chunked, want: httpd.Framing{Chunked: true}},
		{
			name: "ambiguous", want: httpd.Framing{Chunked: true, Ambiguous: true},
			last: strings.Replace(chunked, "Transfer", "Content-Length: 3\r\nTransfer", 1),
		},
		{
			name: "HTTP/1.0", want: httpd.Framing{Chunked: true, Ambiguous: true},
			last: "POST /last HTTP/1.0\r\nConnection: keep-alive\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\nlot",
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			const before = 3
			size := len(shortRequest)*before + len(test.last)
			recorded := make(chan struct{})
			framings := make(chan httpd.Framing, before+1)
			address := startRecording(t, size, recorded, func(w http.ResponseWriter, r *http.Request) {
				<-recorded
				framing := httpd.FramingOf(r)
				framings <- framing
				if framing.Chunked {
					w.Header().Set("Connection", "close")
				}
			})
			conn := dialServer(t, address)
			if _, err := io.WriteString(conn, strings.Repeat(shortRequest, before)+test.last); err != nil {
				t.Fatal(err)
			}
			reader := bufio.NewReader(conn)
			for i := range before + 1 {
				response, err := http.ReadResponse(reader, nil)
				if err != nil {
					t.Fatalf("response %d: %v", i, err)
				}
				var want httpd.Framing
				if i == before {
					want = test.want
				}
				if got := <-framings; got != want || response.Close != want.Chunked {
					t.Errorf("request %d: got %+v, Connection: close %t, want %+v", i, got, response.Close, want)
				}
			}
		})
	}
}

// TestOptionsOfServer asks for the options of the server itself, twice. It guards against
// a response of net/http without the handler, after which requests are counted wrong and
// no response announces the end of the connection any more.
func TestOptionsOfServer(t *testing.T) {
	t.Parallel()
	const options = "OPTIONS * HTTP/1.1\r\nHost: souk.example\r\n\r\n"
	server, address := startServer(t, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNotFound) })
	conn := dialServer(t, address)
	reader := bufio.NewReader(conn)
	for i := range 2 {
		if i == 1 {
			server.DisableKeepAlives()
		}
		if _, err := io.WriteString(conn, options); err != nil {
			t.Fatal(err)
		}
		response, err := http.ReadResponse(reader, nil)
		if err != nil {
			t.Fatal(err)
		}
		if last := i == 1; response.StatusCode != http.StatusNotFound || response.Close != last {
			t.Errorf("got status %d, Connection: close %t, want 404 and %t", response.StatusCode, response.Close, last)
		}
	}
}
