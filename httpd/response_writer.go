package httpd

import (
	"net/http"
	"sync/atomic"
)

// responseWriter adds Connection: close to each response whose head is written once
// closing is set.
type responseWriter struct {
	http.ResponseWriter

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
	if w.closing.Load() {
		w.Header().Set("Connection", "close")
	}
}
