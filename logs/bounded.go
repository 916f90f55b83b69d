package logs

import (
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/prometheus/client_golang/prometheus"
	"golang.org/x/time/rate"
)

// maxQueuedLines is the number of lines that are queued while a write is slow or
// blocked.
const maxQueuedLines = 1024

// closeTimeout limits the wait for the queued lines at the end: the reader of the log may
// have stalled.
const closeTimeout = 150 * time.Millisecond

var errNotWritten = errors.New("the last log lines were not written in time")

// boundedWriter writes lines in the background so that logging never blocks. It drops
// and counts lines above the rate limit and lines that do not fit in the queue.
type boundedWriter struct {
	lines     chan []byte
	limiter   *rate.Limiter
	dropped   atomic.Uint64
	closed    chan struct{}
	done      chan struct{}
	closeOnce sync.Once
}

func newBoundedWriter(w io.Writer, linesPerSecond int) *boundedWriter {
	b := &boundedWriter{
		lines:   make(chan []byte, maxQueuedLines),
		limiter: rate.NewLimiter(rate.Limit(linesPerSecond), linesPerSecond),
		closed:  make(chan struct{}),
		done:    make(chan struct{}),
	}
	go b.run(w)
	return b
}

// run writes lines until Close, and then those that are queued.
func (b *boundedWriter) run(w io.Writer) {
	defer close(b.done)
	for {
		select {
		case line := <-b.lines:
			b.writeLine(w, line)
		case <-b.closed:
			b.writeQueued(w)
			return
		}
	}
}

func (b *boundedWriter) writeQueued(w io.Writer) {
	for {
		select {
		case line := <-b.lines:
			b.writeLine(w, line)
		default:
			return
		}
	}
}

// writeLine writes a line. One whose write fails counts as dropped.
func (b *boundedWriter) writeLine(w io.Writer, line []byte) {
	if _, err := w.Write(line); err != nil {
		b.dropped.Add(1)
	}
}

// Write queues a line or drops it. It never returns an error.
func (b *boundedWriter) Write(line []byte) (int, error) {
	if b.isClosed() || !b.limiter.AllowN(time.Now(), 1) {
		b.dropped.Add(1)
		return len(line), nil
	}
	select {
	case b.lines <- append([]byte(nil), line...):
	default:
		b.dropped.Add(1)
	}
	return len(line), nil
}

func (b *boundedWriter) isClosed() bool {
	select {
	case <-b.closed:
		return true
	default:
		return false
	}
}

// Close writes the queued lines and waits until they are written, or for closeTimeout.
// Lines that are logged afterwards are dropped.
func (b *boundedWriter) Close() error {
	b.closeOnce.Do(func() { close(b.closed) })
	timer := time.NewTimer(closeTimeout)
	defer timer.Stop()
	select {
	case <-b.done:
		return nil
	case <-timer.C:
		return errNotWritten
	}
}

// NewBounded returns a logger that never blocks and writes at most linesPerSecond
// lines per second. Closing the closer writes the queued lines.
func NewBounded(w io.Writer, format, level string, linesPerSecond int) (*Logger, io.Closer, error) {
	b := newBoundedWriter(w, linesPerSecond)
	logger, err := New(b, format, level)
	if err != nil {
		return nil, nil, err
	}
	logger.dropped = &b.dropped
	return logger, b, nil
}

// Register registers the metric of dropped lines.
func (l *Logger) Register(registry prometheus.Registerer) {
	registry.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{
		Name: "dandeliondoor_log_dropped_lines_total",
		Help: "Log lines dropped because of the rate limit, a full queue or a failed write.",
	}, func() float64 {
		if l.dropped == nil {
			return 0
		}
		return float64(l.dropped.Load())
	}))
}
