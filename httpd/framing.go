package httpd

import (
	"bytes"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
)

// framingParser parses the framing headers of the requests on a connection. This
// duplicates work of net/http, because net/http removes the Content-Length header
// of a request that also has Transfer-Encoding and so hides the ambiguity. Heads counts
// the heads that are complete; inHead is set within an incomplete one, hasLine once it has
// a line that is not empty. Ids are the values of idHeader in the last heads.
type framingParser struct {
	idHeader      string
	id            string
	ids           []string
	line          []byte
	hasLine       bool
	heads         int
	inHead        bool
	bodyRemaining int64
	stopped       bool
	length        string
	hasLength     bool
	inLength      bool
	hasEncoding   bool
	ambiguous     atomic.Bool
	chunked       atomic.Bool
}

// Limits of what is kept of a head.
const (
	// maxParsedLine limits how much of a header line is parsed, in bytes.
	maxParsedLine = 256
	maxIDLength   = 64
	maxIDs        = 16
)

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
	switch {
	case len(line) > 0:
		f.hasLine = true
	case f.hasLine:
		f.endHead()
		return
	default:
		// Empty lines before a request are not a part of it.
		f.inHead = false
		return
	}
	if line[0] == ' ' || line[0] == '\t' {
		f.continueHeader(line)
		return
	}
	f.inLength = false
	name, value, found := bytes.Cut(line, []byte(":"))
	switch {
	case !found:
	case bytes.EqualFold(name, []byte("Content-Length")):
		f.hasLength, f.inLength = true, true
		f.length = string(bytes.TrimSpace(value))
	case bytes.EqualFold(name, []byte("Transfer-Encoding")):
		f.hasEncoding = true
	case f.idHeader != "" && bytes.EqualFold(name, []byte(f.idHeader)):
		id := bytes.TrimSpace(value)
		f.id = string(id[:min(len(id), maxIDLength)])
	}
}

// continueHeader processes a line that continues the header before it.
func (f *framingParser) continueHeader(line []byte) {
	if f.inLength && len(f.length)+len(line) < maxParsedLine {
		f.length = strings.TrimSpace(f.length + " " + string(bytes.TrimSpace(line)))
	}
}

// endHead evaluates the headers of a request. After a chunked request parsing
// stops, since chunks aren't parsed; the connection has to be closed after that
// request.
func (f *framingParser) endHead() {
	f.heads++
	f.inHead, f.hasLine = false, false
	if f.ids = append(f.ids, f.id); len(f.ids) > maxIDs {
		f.ids = f.ids[1:]
	}
	f.id = ""
	if f.hasEncoding {
		f.chunked.Store(true)
		f.ambiguous.Store(f.hasLength)
		f.stopped = true
		return
	}
	// net/http rejects a request with a length that isn't valid.
	f.bodyRemaining, _ = strconv.ParseInt(f.length, 10, 64)
	f.length, f.hasLength, f.inLength = "", false, false
}

// betweenRequests reports whether the next byte would be the first of a request.
func (f *framingParser) betweenRequests() bool {
	return !f.inHead && f.bodyRemaining == 0 && !f.stopped
}

// with returns the state that the parser would have once data has been parsed, too.
func (f *framingParser) with(data []byte) *framingParser {
	ahead := &framingParser{
		idHeader: f.idHeader, id: f.id, ids: slices.Clip(f.ids),
		line: bytes.Clone(f.line), hasLine: f.hasLine, heads: f.heads, bodyRemaining: f.bodyRemaining,
		stopped: f.stopped, length: f.length, hasLength: f.hasLength, inLength: f.inLength, hasEncoding: f.hasEncoding,
	}
	ahead.parse(data)
	return ahead
}

// forget drops the IDs of all heads up to one with a number.
func (f *framingParser) forget(number int) {
	first := f.heads - len(f.ids) + 1
	f.ids = f.ids[min(max(number+1-first, 0), len(f.ids)):]
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
