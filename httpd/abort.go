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
	underlying := conn
	if caller, isCaller := conn.(*callerConn); isCaller {
		underlying = caller.Conn
	}
	if tcp, isTCP := underlying.(*net.TCPConn); isTCP {
		// Without lingering, closing a connection resets it.
		if err := tcp.SetLinger(0); err != nil {
			_ = conn.Close()
			return err
		}
	}
	return conn.Close()
}
