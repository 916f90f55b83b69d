package httpd_test

import (
	"bufio"
	"io"
	"net/http"
	"os"
	"testing"
	"time"

	"github.com/go-faster/errors"
)

// TestRestOfBodyAfterDeadline guards against a request that is aborted at once because the
// body of the one before it on the connection came late: a read that times out cancels
// the contexts of all requests of a connection, so that one must be closed.
func TestRestOfBodyAfterDeadline(t *testing.T) {
	t.Parallel()
	const late = "POST /late HTTP/1.1\r\nHost: souk.example\r\nContent-Length: 10\r\n\r\n12345"
	timedOut, aborted := make(chan struct{}), make(chan error, 1)
	_, address := startServer(t, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/late" {
			aborted <- r.Context().Err()
			return
		}
		controller := http.NewResponseController(w)
		_ = controller.SetReadDeadline(time.Now().Add(time.Millisecond))
		if _, err := io.ReadAll(r.Body); !errors.Is(err, os.ErrDeadlineExceeded) {
			t.Errorf("the body ended with %v", err)
		}
		close(timedOut)
		// The rest of the body comes before the response.
		_ = controller.SetReadDeadline(time.Time{})
		_, _ = io.ReadAll(r.Body)
		w.WriteHeader(http.StatusRequestTimeout)
	})
	conn := dialServer(t, address)
	_, err := io.WriteString(conn, late)
	if err != nil {
		t.Fatal(err)
	}
	<-timedOut
	if _, err := io.WriteString(conn, "67890"); err != nil {
		t.Fatal(err)
	}
	reader := bufio.NewReader(conn)
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		t.Fatal(err)
	}
	_, _ = io.Copy(io.Discard, response.Body)
	if response.Close {
		return
	}
	if _, err := io.WriteString(conn, shortRequest); err != nil {
		t.Fatal(err)
	}
	if err := <-aborted; err != nil {
		t.Errorf("the next request on the connection was aborted at once: %v", err)
	}
}
