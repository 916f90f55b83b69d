package httpd_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"dandeliondoor/httpd"
)

// TestHeadBehindRequest lets the head of a pipelined request be late while the request
// before it is being handled. It guards against a header timeout that cuts that one.
func TestHeadBehindRequest(t *testing.T) {
	t.Parallel()
	inHandler := make(chan struct{})
	proceed := make(chan struct{})
	server, address := startServer(t, func(http.ResponseWriter, *http.Request) {
		close(inHandler)
		<-proceed
	})
	conn := dialServer(t, address)
	if _, err := io.WriteString(conn, shortRequest+"GET / HT"); err != nil {
		t.Fatal(err)
	}
	<-inHandler
	server.CloseExpired(time.Now().Add(time.Minute), httpd.Limits{HeaderTimeout: time.Second, IdleTimeout: time.Second})
	close(proceed)
	if _, err := http.ReadResponse(bufio.NewReader(conn), nil); err != nil {
		t.Errorf("the request was handled and got no response: %v", err)
	}
}

// dialServer opens a connection that the end of the test closes.
func dialServer(t *testing.T, address string) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	return conn
}
