package crash

import (
	"fmt"
	"strconv"
)

// Fingerprint is a hash of the method, path and body of a request; 0 means that
// the request has none.
type Fingerprint uint64

// String returns the fingerprint in hexadecimal digits, as in log lines.
func (f Fingerprint) String() string { return fmt.Sprintf("%016x", uint64(f)) }

// ParseFingerprint is the inverse of String.
func ParseFingerprint(text string) (Fingerprint, error) {
	const base, bits = 16, 64
	value, err := strconv.ParseUint(text, base, bits)
	return Fingerprint(value), err
}
