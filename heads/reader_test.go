package heads_test

import (
	"bufio"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/go-faster/errors"
	"golang.org/x/net/http/httpguts"
	"pgregory.net/rapid"

	"dandeliondoor/heads"
)

// TestReader checks heads that come at once, in single bytes and partly before the head was
// expected. Bytes behind a head are not checked.
func TestReader(t *testing.T) {
	t.Parallel()
	for _, test := range []struct {
		name      string
		text      string
		malformed bool
	}{
		{name: "whole", text: "HTTP/1.1 200 OK\r\nX-Lot: 1\r\n\r\n x"},
		{name: "no fields", text: "HTTP/1.1 200 OK\r\n\r\n x"},
		{name: "line feeds alone", text: "HTTP/1.1 200 OK\nX-Lot: 1\n\n x"},
		{name: "informational first", text: "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nX-Lot: 1\r\n\r\n x"},
		{name: "other protocol", text: "HTTP/1.1 101 Switching Protocols\r\nX-Lot: 1\r\n\r\n x"},
		{name: "folded", text: "HTTP/1.1 200 OK\r\nX-Lot: 1\r\n 2: 3\r\n\r\n", malformed: true},
		{name: "blank at the end", text: "HTTP/1.1 200 OK\r\nX-Lot : 1\r\n\r\n", malformed: true},
		{name: "line feed at the front", text: "HTTP/1.1 200 OK\r\n\nX-Lot: 1\r\n\r\n", malformed: true},
		{name: "line feed between two lines", text: "HTTP/1.1 200 OK\r\nX-Lot: 1\nX-Sack: 2\r\n\r\n", malformed: true},
		{name: "line feed before the empty line", text: "HTTP/1.1 200 OK\r\nX-Lot: 1\n\r\nX-Sack: 2\r\n\r\n", malformed: true},
		{name: "no colon", text: "HTTP/1.1 200 OK\r\nX-Lot\r\n\r\n", malformed: true},
		{name: "no name", text: "HTTP/1.1 200 OK\r\n: 1\r\n\r\n", malformed: true},
		{name: "after an informational one", text: "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nX-Lot : 1\r\n\r\n", malformed: true},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			for split := range test.text {
				for _, source := range []io.Reader{strings.NewReader(test.text[split:]), iotest.OneByteReader(strings.NewReader(test.text[split:]))} {
					reader := heads.NewReader(source)
					err := reader.ExpectHead([]byte(test.text[:split]))
					if err == nil {
						_, err = io.Copy(io.Discard, reader)
					}
					if errors.Is(err, heads.ErrMalformed) != test.malformed {
						t.Errorf("after %d bytes: got error %v", split, err)
					}
				}
			}
		})
	}
}

// TestReaderInsertion puts a byte anywhere into the fields of a head. If the response passes,
// net/http must find the server's body, and no name that isn't a token.
func TestReaderInsertion(t *testing.T) {
	t.Parallel()
	const head = "HTTP/1.1 200 OK\r\nX-Lot: 1\r\nContent-Length: 4\r\n\r\n"
	first := len("HTTP/1.1 200 OK\r\n")
	rapid.Check(t, func(t *rapid.T) {
		at := rapid.IntRange(first, len(head)-len("\r\n")).Draw(t, "at")
		inserted := string([]byte{rapid.Byte().Draw(t, "byte")})
		reader := heads.NewReader(strings.NewReader(head[:at] + inserted + head[at:] + "lots"))
		if err := reader.ExpectHead(nil); err != nil {
			t.Fatal(err)
		}
		response, err := http.ReadResponse(bufio.NewReader(reader), nil)
		if err != nil {
			return
		}
		for name := range response.Header {
			if !httpguts.ValidHeaderFieldName(name) {
				t.Errorf("got the name %q", name)
			}
		}
		if body, err := io.ReadAll(response.Body); err == nil && string(body) != "lots" {
			t.Errorf("got body %q", body)
		}
	})
}
