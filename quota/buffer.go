package quota

import (
	"io"
	"sync"

	"github.com/go-faster/errors"
)

// freeBytes is the size up to which a buffer takes nothing of the quota. It bounds what a
// connection holds when the quota is used up.
const freeBytes = 4 << 10

// growthFactor is the factor by which a full buffer grows.
const growthFactor = 4

// Buffer holds the begin of a stream. Release must be called when it isn't needed any more.
type Buffer struct {
	quota *Quota
	data  []byte
	taken int64
	once  sync.Once
}

// Read reads a stream into a new buffer, up to a number of bytes, and reports whether it
// came to the end of the stream. It stops before if the quota is used up.
func (q *Quota) Read(stream io.Reader, limit int) (buffer *Buffer, ended bool, err error) {
	b := &Buffer{quota: q, data: make([]byte, 0, min(limit, firstBytes))}
	for {
		if len(b.data) == cap(b.data) && !b.grow(limit) {
			return b, false, nil
		}
		count, err := stream.Read(b.data[len(b.data):cap(b.data)])
		b.data = b.data[:len(b.data)+count]
		if errors.Is(err, io.EOF) {
			return b, true, nil
		}
		if err != nil {
			return b, false, err
		}
	}
}

// firstBytes is the size of a new buffer, which most bodies fit into.
const firstBytes = 512

// grow enlarges a full buffer and reports whether it may be larger.
func (b *Buffer) grow(limit int) bool {
	size := min(growthFactor*cap(b.data), limit)
	if size <= cap(b.data) {
		return false
	}
	if size > freeBytes {
		more := int64(size) - b.taken
		if !b.quota.Take(more) {
			return false
		}
		b.taken += more
	}
	data := make([]byte, len(b.data), size)
	copy(data, b.data)
	b.data = data
	return true
}

// Bytes returns what was read.
func (b *Buffer) Bytes() []byte { return b.data }

// Release returns the buffer's part of the quota and drops what was read. Later calls do
// nothing.
func (b *Buffer) Release() {
	b.once.Do(func() {
		b.quota.Give(b.taken)
		b.data = nil
	})
}
