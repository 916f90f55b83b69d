package httpd

import (
	"net"
	"net/http"
)

// Abort resets the caller's connection, so that an incomplete response does not look
// complete, even if the end of the connection delimits it. The handler must not use
// the writer afterwards.
func Abort(w http.ResponseWriter) error {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return err
	}
	if tcp, isTCP := underlying(conn).(*net.TCPConn); isTCP {
		// Without lingering, closing a connection resets it.
		if err := tcp.SetLinger(0); err != nil {
			_ = conn.Close()
			return err
		}
	}
	return conn.Close()
}

// underlying returns the connection that a listener of this package has wrapped.
func underlying(conn net.Conn) net.Conn {
	for {
		switch wrapped := conn.(type) {
		case *framingConn:
			conn = wrapped.Conn
		case *readAheadConn:
			conn = wrapped.Conn
		default:
			return conn
		}
	}
}
