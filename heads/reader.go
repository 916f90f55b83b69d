package heads

import (
	"io"
	"sync"

	"github.com/go-faster/errors"
)

// ErrMalformed means that the head of a response has a line that isn't a field: it doesn't
// begin with a name without blanks and control characters, or is ended by a line feed alone.
var ErrMalformed = errors.New("head of the response is malformed")

// Reader reads from a connection and fails with ErrMalformed as soon as an expected head is
// malformed. It is safe for concurrent use.
type Reader struct {
	source io.Reader

	mutex sync.Mutex
	scan  scanner
	err   error
}

// NewReader returns a reader that expects no head yet.
func NewReader(source io.Reader) *Reader { return &Reader{source: source} }

// ExpectHead says that the next bytes are the head of a response, including those of
// informational responses before it. Buffered are the bytes of it that have been read.
func (r *Reader) ExpectHead(buffered []byte) error {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.scan = scanner{state: inStatusLine}
	return r.check(buffered)
}

// Read implements io.Reader.
func (r *Reader) Read(data []byte) (int, error) {
	count, err := r.source.Read(data)
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if headErr := r.check(data[:count]); headErr != nil {
		return 0, headErr
	}
	return count, err
}

// check checks the next bytes; the mutex must be held.
func (r *Reader) check(data []byte) error {
	for i := 0; i < len(data) && r.err == nil && r.scan.state != inBody; i++ {
		r.err = r.scan.next(data[i])
	}
	return r.err
}
