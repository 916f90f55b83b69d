package httpd

import (
	"net/http"
	"sync/atomic"
)

// responseWriter adds Connection: close to each response whose head is written once
// closing is set, unless the next request has been read already, and to each whose
// request has not been read to its end: net/http would hold it back until then. It does so,
// too, if the context of the request has ended, which is that of all further requests on
// the connection: net/http cancels it when reading a body fails, also at a deadline.
type responseWriter struct {
	http.ResponseWriter

	request     *http.Request
	conn        *callerConn
	closing     *atomic.Bool
	wroteHeader bool
}

// Unwrap returns the writer of net/http, for http.ResponseController.
func (w *responseWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// WriteHeader implements http.ResponseWriter.
func (w *responseWriter) WriteHeader(status int) {
	if !w.wroteHeader && status >= http.StatusOK {
		w.wroteHeader = true
		w.setConnection()
	}
	w.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (w *responseWriter) Write(data []byte) (int, error) {
	if !w.wroteHeader {
		w.WriteHeader(http.StatusOK)
	}
	return w.ResponseWriter.Write(data)
}

// FlushError sends buffered data to the caller.
func (w *responseWriter) FlushError() error {
	if !w.wroteHeader {
		w.WriteHeader(http.StatusOK)
	}
	return http.NewResponseController(w.ResponseWriter).Flush()
}

func (w *responseWriter) setConnection() {
	if w.conn == nil {
		return
	}
	if w.request.Context().Err() != nil || w.conn.bodyIncomplete() || (w.closing.Load() && !w.conn.hasNext()) {
		w.Header().Set("Connection", "close")
	}
}

// closesConnection reports whether the response says that the connection is closed
// behind it, or the request has demanded that.
func (w *responseWriter) closesConnection(r *http.Request) bool {
	return r.Close || w.Header().Get("Connection") == "close"
}
