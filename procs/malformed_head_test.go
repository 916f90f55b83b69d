package procs_test

import (
	"fmt"
	"net/http"
	"testing"
)

// noAnswer is the body of the response to a request without a usable response of a server.
const noAnswer = "unknown: no_answer\n"

// TestFrontMalformedStatus lets a server send status codes that are not three digits above
// 099. No caller may get such a response as an answer.
func TestFrontMalformedStatus(t *testing.T) {
	t.Parallel()
	var responses []oddResponse
	for _, version := range []string{"HTTP/1.0", "HTTP/1.1"} {
		for _, status := range []string{"000", "00", "0", "0000", "001", "099", "-01", "+20", "20", "2000", "2x0", "x", ""} {
			for _, rest := range []string{"Content-Length: 4\r\n\r\nlots", "Transfer-Encoding: chunked\r\n\r\n4\r\nlots\r\n0\r\n\r\n", "X-End: close\r\n\r\nlots"} {
				text := version + " " + status + " Odd\r\nHEAD\r\n" + rest
				responses = append(responses, oddResponse{name: fmt.Sprintf("%q", text), text: text, status: http.StatusBadGateway, body: noAnswer})
			}
		}
	}
	responses = append(responses, oddResponse{
		name:   "before the final response",
		text:   "HTTP/1.1 000 Odd\r\n\r\nHTTP/1.1 200 OK\r\nHEAD\r\nContent-Length: 4\r\n\r\nlots",
		status: http.StatusBadGateway, body: noAnswer,
	})
	newFrontFleet(t, 1, 0).testOddResponses(responses)
}
