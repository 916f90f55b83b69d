package httpd

import "net/http"

// Abort resets the caller's connection, so that an incomplete response does not look
// complete, even if the end of the connection delimits it. The handler must not use
// the writer afterwards.
func Abort(w http.ResponseWriter) error {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return err
	}
	if caller, isCaller := conn.(*callerConn); isCaller {
		return caller.abort()
	}
	return conn.Close()
}
