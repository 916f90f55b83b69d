package httpd_test

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"

	"dandeliondoor/httpd"
)

// TestFoldedLength sends requests whose length stands on a line of its own below the
// header's name. It guards against a body that is taken for the heads of further
// requests: these count as ambiguous, as read behind the last one, or as incomplete.
func TestFoldedLength(t *testing.T) {
	t.Parallel()
	const body = "lot=1\r\n\r\nTransfer-Encoding: chunked\r\nContent-Length: 3\r\n\r\nlot"
	for _, test := range []struct {
		name   string
		header string
	}{
		{name: "one line", header: "Content-Length: %d\r\n"},
		{name: "folded", header: "Content-Length:\r\n %d\r\n"},
		{name: "folded with a tab", header: "Content-Length:\r\n\t %d \r\n"},
		{name: "folded twice", header: "Content-Length: \r\n \r\n %d\r\n"},
		{name: "folded, another header behind", header: "Content-Length:\r\n %d\r\nX-Lot: 1\r\n 2\r\n"},
		{name: "another header folded", header: "Content-Length: %d\r\nX-Lot: 1\r\n 2\r\n"},
		{name: "a length within another header", header: "Content-Length: %d\r\nX-Lot: 1\r\n Content-Length: 2\r\n"},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			server, address := startServer(t, func(w http.ResponseWriter, r *http.Request) {
				if httpd.FramingOf(r) != (httpd.Framing{}) {
					w.WriteHeader(http.StatusBadRequest)
					return
				}
				_, _ = io.Copy(w, r.Body)
			})
			conn := dialServer(t, address)
			reader := bufio.NewReader(conn)
			request := "POST / HTTP/1.1\r\nHost: souk.example\r\n" + fmt.Sprintf(test.header, len(body)) + "\r\n" + body
			for i := range 3 {
				if i == 2 {
					server.DisableKeepAlives()
				}
				if _, err := io.WriteString(conn, request); err != nil {
					t.Fatal(err)
				}
				response, err := http.ReadResponse(reader, nil)
				if err != nil {
					t.Fatal(err)
				}
				text, err := io.ReadAll(response.Body)
				if err != nil || response.StatusCode != http.StatusOK || string(text) != body {
					t.Errorf("request %d: got status %d %q, error %v", i, response.StatusCode, text, err)
				}
				if last := i == 2; response.Close != last {
					t.Errorf("request %d: got Connection: close %t, want %t", i, response.Close, last)
				}
			}
		})
	}
}

// TestFoldedLengthIdle lets a connection rest behind a request with a folded length. It
// guards against a connection that is never taken for idle.
func TestFoldedLengthIdle(t *testing.T) {
	t.Parallel()
	server, address := startServer(t, func(_ http.ResponseWriter, r *http.Request) { _, _ = io.Copy(io.Discard, r.Body) })
	conn := dialServer(t, address)
	if _, err := io.WriteString(conn, "POST / HTTP/1.1\r\nHost: souk.example\r\nContent-Length:\r\n 3\r\n\r\nlot"); err != nil {
		t.Fatal(err)
	}
	reader := bufio.NewReader(conn)
	readResponse(t, reader)
	for end := time.Now().Add(5 * time.Second); time.Now().Before(end); {
		server.CloseExpired(time.Now().Add(time.Hour), httpd.Limits{IdleTimeout: time.Second, HeaderTimeout: 2 * time.Hour})
		_ = conn.SetReadDeadline(time.Now().Add(50 * time.Millisecond))
		if _, err := reader.ReadByte(); err == io.EOF {
			return
		}
	}
	t.Error("the connection was not closed")
}
