package quota

import (
	"context"
	"io"
	"sync"

	"github.com/go-faster/errors"
)

// chunkSize is the unit in which streams take bytes of the quota.
const chunkSize = 32 << 10

// pacedChunkSize is the size of the only chunk of a stream that gets nothing of the quota.
// It bounds what a stream holds when the quota is used up.
const pacedChunkSize = 4 << 10

// errClosed is the cause of a read of a stream that was closed.
var errClosed = errors.New("stream is closed")

// Stream is read from its source as fast as that sends, ahead of the goroutine that uses
// it. What is read ahead is bounded for each stream, and by a quota for all of them. Once
// the stream gets no more memory, its source is read at the pace of its use.
//
// Fill must run in another goroutine than WriteTo. Close must be called after Fill has ended.
type Stream struct {
	quota  *Quota
	source io.Reader
	limit  int64

	// added and removed wake the user and Fill. Settled is closed when Fill has ended, or
	// has come to a bound for the first time.
	added   chan struct{}
	removed chan struct{}
	settled chan struct{}

	mutex      sync.Mutex
	chunks     []*chunk
	held       int64
	paced      bool
	hasSettled bool
	ended      bool
	writing    bool
	closed     bool
	err        error
}

// chunk is a part of a stream of which the bytes from start to end are unused. Taken is what
// it has of the quota, and pooled is set if its memory is of chunkPool.
type chunk struct {
	data   []byte
	start  int
	end    int
	taken  int64
	pooled bool
}

// allocate gives the chunk memory of chunkPool.
func (c *chunk) allocate() {
	c.data = chunkPool.Get().(*[chunkSize]byte)[:] //nolint:forcetypeassert // The pool holds nothing else.
	c.pooled = true
}

// chunkPool holds the memory of released chunks, which would otherwise be garbage at the
// rate at which streams pass.
var chunkPool = sync.Pool{New: func() any { return new([chunkSize]byte) }}

// Stream returns a stream that reads at most a number of bytes ahead of its use. With 0, its
// source is read at the pace of its use, and nothing counts against the quota.
func (q *Quota) Stream(source io.Reader, limit int64) *Stream {
	return &Stream{
		quota: q, source: source, limit: limit,
		added: make(chan struct{}, 1), removed: make(chan struct{}, 1), settled: make(chan struct{}),
	}
}

// Fill reads the source to its end, which is no error. It ends with the context only if it
// waits for memory: whoever ends the context must also make the source fail.
func (s *Stream) Fill(ctx context.Context) error {
	err := s.fill(ctx)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.ended, s.err = true, err
	s.settle()
	s.setPaced(false)
	wake(s.added)
	return err
}

func (s *Stream) fill(ctx context.Context) error {
	for {
		tail := s.tail()
		if tail == nil {
			select {
			case <-s.removed:
				continue
			case <-ctx.Done():
				return context.Cause(ctx)
			}
		}
		// Only this goroutine changes the end of a chunk, and none uses what is behind it.
		count, err := s.source.Read(tail.data[tail.end:])
		s.add(tail, count)
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// tail returns a chunk with room, or nil if there is none until a chunk is removed.
func (s *Stream) tail() *chunk {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if last := len(s.chunks) - 1; last >= 0 && s.chunks[last].end < len(s.chunks[last].data) {
		return s.chunks[last]
	}
	next := &chunk{}
	switch {
	case s.limit <= 0:
		s.settle()
		if len(s.chunks) > 0 {
			return nil
		}
		next.allocate()
	case s.held+chunkSize <= s.limit && s.quota.TakeFair(s.held, chunkSize):
		next.taken = chunkSize
		next.allocate()
		s.held += chunkSize
		s.setPaced(false)
	case len(s.chunks) == 0:
		next.data = make([]byte, pacedChunkSize)
		s.setPaced(true)
		s.settle()
	default:
		s.setPaced(true)
		s.settle()
		return nil
	}
	s.chunks = append(s.chunks, next)
	return next
}

func (s *Stream) add(tail *chunk, count int) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	tail.end += count
	wake(s.added)
}

// settle must be called with the mutex held, as setPaced.
func (s *Stream) settle() {
	if !s.hasSettled {
		s.hasSettled = true
		close(s.settled)
	}
}

func (s *Stream) setPaced(paced bool) {
	switch {
	case paced && !s.paced:
		s.quota.paced.Add(1)
	case !paced && s.paced:
		s.quota.paced.Add(-1)
	}
	s.paced = paced
}

// Settled returns a channel that is closed once the source has been read to its end or has
// failed, or more of it would exceed a bound.
func (s *Stream) Settled() <-chan struct{} { return s.settled }

// Err returns the error that Fill ended with, nil while it runs.
func (s *Stream) Err() error {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.err
}

// WriteTo implements io.WriterTo. It returns the error of Fill after it has written what was
// read before, and ends before that if the stream is closed.
func (s *Stream) WriteTo(w io.Writer) (int64, error) {
	s.setWriting(true)
	defer s.setWriting(false)
	var written int64
	for {
		data, err := s.next()
		if err != nil {
			return written, err
		}
		if data == nil {
			return written, nil
		}
		count, err := w.Write(data)
		written += int64(count)
		if err != nil {
			return written, err
		}
		s.use(len(data))
	}
}

// next waits for unused bytes and returns them, nil at the end of the stream.
func (s *Stream) next() ([]byte, error) {
	for {
		if data, ended, err := s.unused(); data != nil || ended {
			return data, err
		}
		<-s.added
	}
}

func (s *Stream) unused() (data []byte, ended bool, err error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.closed {
		return nil, true, errClosed
	}
	if len(s.chunks) > 0 && s.chunks[0].start < s.chunks[0].end {
		return s.chunks[0].data[s.chunks[0].start:s.chunks[0].end], false, nil
	}
	return nil, s.ended, s.err
}

// use marks bytes of the first chunk as used, and drops the chunk if no more follow in it.
func (s *Stream) use(count int) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	first := s.chunks[0]
	first.start += count
	if first.start < len(first.data) {
		return
	}
	s.chunks[0] = nil
	s.chunks = s.chunks[1:]
	s.drop(first)
	wake(s.removed)
}

func (s *Stream) drop(dropped *chunk) {
	s.held -= dropped.taken
	s.quota.Give(dropped.taken)
	if dropped.pooled {
		chunkPool.Put((*[chunkSize]byte)(dropped.data))
	}
}

// Close drops what is left of the stream. What WriteTo is writing is dropped at its end,
// since the memory may be given to another stream.
func (s *Stream) Close() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.closed = true
	s.dropAll()
}

func (s *Stream) setWriting(writing bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.writing = writing
	s.dropAll()
}

// dropAll drops all chunks of a closed stream that isn't being written.
func (s *Stream) dropAll() {
	if !s.closed || s.writing {
		return
	}
	for _, left := range s.chunks {
		s.drop(left)
	}
	s.chunks = nil
}

// wake signals a goroutine that waits, or will.
func wake(signal chan<- struct{}) {
	select {
	case signal <- struct{}{}:
	default:
	}
}
