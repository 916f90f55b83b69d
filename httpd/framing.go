package httpd

import (
	"bytes"
	"net/http"
	"strconv"
	"sync/atomic"
)

// framingParser parses the framing headers of the requests on a connection. This
// duplicates work of net/http, because net/http removes the Content-Length header
// of a request that also has Transfer-Encoding and so hides the ambiguity. Heads counts
// the heads that are complete; inHead is set within an incomplete one.
type framingParser struct {
	line          []byte
	heads         int
	inHead        bool
	bodyRemaining int64
	stopped       bool
	length        int64
	hasLength     bool
	hasEncoding   bool
	ambiguous     atomic.Bool
	chunked       atomic.Bool
}

// maxParsedLine limits how much of a header line is parsed.
const maxParsedLine = 256

// parse processes the next bytes that the caller sent.
func (f *framingParser) parse(data []byte) {
	for len(data) > 0 && !f.stopped {
		if f.bodyRemaining > 0 {
			skipped := min(f.bodyRemaining, int64(len(data)))
			f.bodyRemaining -= skipped
			data = data[skipped:]
			continue
		}
		f.inHead = true
		end := bytes.IndexByte(data, '\n')
		if end < 0 {
			f.appendLine(data)
			return
		}
		f.appendLine(data[:end])
		f.endLine()
		data = data[end+1:]
	}
}

func (f *framingParser) appendLine(part []byte) {
	f.line = append(f.line, part[:min(len(part), maxParsedLine-len(f.line))]...)
}

func (f *framingParser) endLine() {
	line := bytes.TrimRight(f.line, "\r")
	f.line = f.line[:0]
	if len(line) == 0 {
		f.endHead()
		return
	}
	name, value, found := bytes.Cut(line, []byte(":"))
	if !found {
		return
	}
	switch {
	case bytes.EqualFold(name, []byte("Content-Length")):
		f.hasLength = true
		f.length, _ = strconv.ParseInt(string(bytes.TrimSpace(value)), 10, 64)
	case bytes.EqualFold(name, []byte("Transfer-Encoding")):
		f.hasEncoding = true
	}
}

// endHead evaluates the headers of a request. After a chunked request parsing
// stops, since chunks aren't parsed; the connection has to be closed after that
// request.
func (f *framingParser) endHead() {
	f.heads++
	f.inHead = false
	if f.hasEncoding {
		f.chunked.Store(true)
		f.ambiguous.Store(f.hasLength)
		f.stopped = true
		return
	}
	f.bodyRemaining = f.length
	f.length, f.hasLength = 0, false
}

// betweenRequests reports whether the next byte would be the first of a request.
func (f *framingParser) betweenRequests() bool {
	return !f.inHead && f.bodyRemaining == 0 && !f.stopped
}

// headsWith returns how many heads there are once data has been parsed, too.
func (f *framingParser) headsWith(data []byte) int {
	ahead := framingParser{
		line: bytes.Clone(f.line), heads: f.heads, bodyRemaining: f.bodyRemaining,
		stopped: f.stopped, length: f.length, hasLength: f.hasLength, hasEncoding: f.hasEncoding,
	}
	ahead.parse(data)
	return ahead.heads
}

// Framing describes how the length of a request body is given. Ambiguous is set
// for a request with both Content-Length and Transfer-Encoding, which can be used
// for request smuggling. Chunked is set for a request with Transfer-Encoding.
type Framing struct {
	Ambiguous bool
	Chunked   bool
}

// FramingOf returns the framing of a request. The connection has to be closed
// after a chunked request, since the framing of later requests isn't parsed. The
// framing of a pipelined later request is returned if that one has been read from
// the connection already and is chunked.
func FramingOf(r *http.Request) Framing {
	conn := connOf(r.Context())
	if conn == nil {
		return Framing{}
	}
	return Framing{Ambiguous: conn.parser.ambiguous.Load(), Chunked: conn.parser.chunked.Load()}
}
