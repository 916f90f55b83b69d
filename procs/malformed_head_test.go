package procs_test

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"testing"

	"dandeliondoor/platform"
	"dandeliondoor/proto"
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

// TestFrontMalformedName lets a server send a blank or control character at the front of a
// field name, in it, or at its end. No caller may get such a response as an answer, whether
// the field frames the body, signs the response or is another one.
func TestFrontMalformedName(t *testing.T) {
	t.Parallel()
	fields := []string{"X-Lot: 1", "X-End: close", proto.HeaderRequestID + ": ID", platform.HeaderSignature + ": signed"}
	var responses []oddResponse
	for _, framing := range []struct {
		version string
		fields  []string
		body    string
	}{
		{version: "HTTP/1.1", fields: []string{"Content-Length: 4"}, body: "lots"},
		{version: "HTTP/1.1", fields: []string{"Transfer-Encoding: chunked"}, body: "4\r\nlots\r\n0\r\n\r\n"},
		{version: "HTTP/1.1", body: "lots"},
		{version: "HTTP/1.0", fields: []string{"Content-Length: 4"}, body: "lots"},
		{version: "HTTP/1.0", body: "lots"},
	} {
		all := slices.Concat(fields, framing.fields)
		for i, field := range all {
			for _, character := range " \t\x00\x01\x0b\x1f\x7f\n\r" {
				for _, malformed := range malformedFields(field, string(character)) {
					head := slices.Clone(all)
					head[i] = malformed
					text := framing.version + " 200 OK\r\n" + strings.Join(head, "\r\n") + "\r\n\r\n" + framing.body
					responses = append(responses, oddResponse{name: fmt.Sprintf("%q", text), text: text, status: http.StatusBadGateway, body: noAnswer})
				}
			}
		}
	}
	for _, malformed := range malformedFields("X-Lot: 2", " ") {
		const whole = "HTTP/1.1 200 OK\r\nHEAD\r\nContent-Length: 4\r\n\r\nlots"
		for _, text := range []string{
			"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n" + malformed + "\r\n\r\n" + whole,
			"HTTP/1.1 103 Early Hints\r\n\r\n" + strings.Replace(whole, "HEAD", "HEAD\r\n"+malformed, 1),
			"HTTP/1.1 200 OK\r\n" + proto.HeaderRequestID + ": another\r\nContent-Length: 4\r\n\r\nsack" +
				strings.Replace(whole, "HEAD", "HEAD\r\n"+malformed, 1),
		} {
			responses = append(responses, oddResponse{name: fmt.Sprintf("%q", text), text: text, status: http.StatusBadGateway, body: noAnswer})
		}
	}
	newFrontFleet(t, 1, 0).testOddResponses(responses)
}

// malformedFields returns a field with a character at the front of its name, in it, and at
// its end.
func malformedFields(field, character string) []string {
	name, value, _ := strings.Cut(field, ":")
	return []string{character + field, name[:1] + character + name[1:] + ":" + value, name + character + ":" + value}
}

// TestFrontWholeHeads lets a server send heads of unusual forms that are not malformed. Each
// caller must get the response.
func TestFrontWholeHeads(t *testing.T) {
	t.Parallel()
	var responses []oddResponse
	for _, test := range []struct{ name, text string }{
		{name: "blanks around a value", text: "HTTP/1.1 200 OK\r\nHEAD\r\nX-Lot: \t 1 2 \t\r\nContent-Length:4\r\n\r\nlots"},
		{name: "empty value", text: "HTTP/1.1 200 OK\r\nHEAD\r\nX-Lot:\r\nContent-Length: 4\r\n\r\nlots"},
		{name: "all characters of a token", text: "HTTP/1.1 200 OK\r\nHEAD\r\n!#$%&'*+-.^_`|~09azAZ: 1\r\nContent-Length: 4\r\n\r\nlots"},
		{name: "lower case", text: "HTTP/1.1 200 OK\r\nHEAD\r\ncontent-length: 4\r\n\r\nlots"},
		{name: "colons in a value", text: "HTTP/1.1 200 OK\r\nHEAD\r\nX-Lot: a: b : c\r\nContent-Length: 4\r\n\r\nlots"},
		{name: "no reason", text: "HTTP/1.1 200\r\nHEAD\r\nContent-Length: 4\r\n\r\nlots"},
		{name: "long value", text: "HTTP/1.1 200 OK\r\nHEAD\r\nX-Lot: " + strings.Repeat("1 ", 20<<10) + "\r\nContent-Length: 4\r\n\r\nlots"},
		{name: "many fields", text: "HTTP/1.1 200 OK\r\nHEAD\r\n" + strings.Repeat("X-Lot: 1\r\n", 1000) + "Content-Length: 4\r\n\r\nlots"},
		{name: "line feeds alone", text: "HTTP/1.1 200 OK\nHEAD\r\nContent-Length: 4\n\nlots"},
		{name: "informational first", text: "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\nHTTP/1.1 200 OK\r\nHEAD\r\nContent-Length: 4\r\n\r\nlots"},
		{name: "body like a head", text: "HTTP/1.1 200 OK\r\nHEAD\r\nX-End: close\r\n\r\nlots"},
		{name: "HTTP 1.0", text: "HTTP/1.0 200 OK\r\nHEAD\r\nX-End: close\r\n\r\nlots"},
		{name: "response to another request first", text: "HTTP/1.1 200 OK\r\n" + proto.HeaderRequestID + ": another\r\nContent-Length: 9\r\n\r\n X Y: 1\r\nHTTP/1.1 200 OK\r\nHEAD\r\nContent-Length: 4\r\n\r\nlots"},
	} {
		responses = append(responses, oddResponse{name: test.name, text: test.text, status: http.StatusOK, body: "lots"})
	}
	newFrontFleet(t, 1, 0).testOddResponses(responses)
}
