package cmds_test

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"testing"

	"dandeliondoor/cmds"
)

// TestBrokenResponses sends the commands that read from a daemon broken responses. They must
// report a failure and print nothing of them.
func TestBrokenResponses(t *testing.T) {
	t.Parallel()
	const body = `{"version":1,"source":"store"}`
	for _, test := range []struct {
		name  string
		text  string
		reset bool
		code  int
	}{
		{name: "whole", text: "HTTP/1.1 200 OK\r\nX-Lot: 1\r\n\r\n" + body, code: cmds.ExitOK},
		{name: "cut", text: "HTTP/1.1 200 OK\r\n\r\n" + body, reset: true, code: cmds.ExitUnreachable},
		{name: "short of its length", text: "HTTP/1.1 200 OK\r\nContent-Length: 90\r\n\r\n" + body, code: cmds.ExitUnreachable},
		{name: "status 000", text: "HTTP/1.1 000 Odd\r\n\r\n" + body, code: cmds.ExitFailed},
		{name: "blank in a name", text: "HTTP/1.1 200 OK\r\nX Lot: 1\r\n\r\n" + body, code: cmds.ExitUnreachable},
		{name: "folded", text: "HTTP/1.1 200 OK\r\nX-Lot: 1\r\n Content-Length: 1\r\n\r\n" + body, code: cmds.ExitUnreachable},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			address := startDaemon(t, test.text, test.reset)
			var stdout, stderr bytes.Buffer
			code := cmds.Main([]string{"state", "--daemon", address}, &stdout, &stderr)
			if code != test.code || (code == cmds.ExitOK) != (stdout.String() == body) {
				t.Errorf("state: got exit code %d, want %d; printed %q", code, test.code, stdout.String())
			}
			code = cmds.Main([]string{"status", "--daemon", address}, &stdout, &stderr)
			if (code == cmds.ExitOK) != (test.code == cmds.ExitOK) {
				t.Errorf("status: got exit code %d; printed %q", code, stdout.String())
			}
		})
	}
}

// startDaemon starts a stand-in of a daemon's operators' port that answers each request with a
// text, and then closes or resets the connection.
func startDaemon(t *testing.T, text string, reset bool) string {
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
				if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
					return
				}
				_, _ = io.WriteString(conn, text)
				if reset {
					_ = conn.(*net.TCPConn).SetLinger(0)
				}
			}()
		}
	}()
	return listener.Addr().String()
}
