package heads

import "golang.org/x/net/http/httpguts"

// state is the place of the next byte in a response.
type state int

const (
	inBody state = iota
	inStatusLine
	atLineStart
	inName
	inValue
	// inEmptyLine is behind the CR of the line that ends a head.
	inEmptyLine
)

// maxStatusBytes is the length of a status line up to the end of the status code, which has
// statusCodeBytes.
const (
	maxStatusBytes  = len("HTTP/1.1 200")
	statusCodeBytes = len("200")
)

// scanner checks a head byte by byte. Status is the begin of the status line. Lenient means
// that the status line ends with a line feed alone, as other lines may then.
type scanner struct {
	state   state
	status  []byte
	last    byte
	lenient bool
}

// next checks the next byte.
func (s *scanner) next(b byte) error {
	last := s.last
	s.last = b
	switch s.state {
	case inStatusLine:
		s.readStatus(b, last)
	case atLineStart:
		return s.startLine(b)
	case inName:
		return s.readName(b)
	case inValue:
		return s.readValue(b, last)
	case inEmptyLine:
		if b != '\n' {
			return ErrMalformed
		}
		s.endHead()
	case inBody:
	}
	return nil
}

func (s *scanner) readStatus(b, last byte) {
	switch {
	case b == '\n':
		s.state, s.lenient = atLineStart, last != '\r'
	case len(s.status) < maxStatusBytes:
		s.status = append(s.status, b)
	}
}

// startLine checks the first byte of a line behind the status line. A blank there would
// continue the line before it, which RFC 9112 lets a proxy reject.
func (s *scanner) startLine(b byte) error {
	switch {
	case b == '\r':
		s.state = inEmptyLine
	case b == '\n' && s.lenient:
		s.endHead()
	case httpguts.IsTokenRune(rune(b)):
		s.state = inName
	default:
		return ErrMalformed
	}
	return nil
}

func (s *scanner) readName(b byte) error {
	switch {
	case b == ':':
		s.state = inValue
	case !httpguts.IsTokenRune(rune(b)):
		return ErrMalformed
	}
	return nil
}

func (s *scanner) readValue(b, last byte) error {
	if b != '\n' {
		return nil
	}
	if last != '\r' && !s.lenient {
		return ErrMalformed
	}
	s.state = atLineStart
	return nil
}

// endHead expects another head behind an informational response, unless that switches
// protocols, and otherwise a body.
func (s *scanner) endHead() {
	informational := false
	if len(s.status) == maxStatusBytes {
		code := string(s.status[maxStatusBytes-statusCodeBytes:])
		informational = code[0] == '1' && code != "101"
	}
	*s = scanner{}
	if informational {
		s.state = inStatusLine
	}
}
