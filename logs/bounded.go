package logs

import (
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"golang.org/x/time/rate"
)

// queueLines is how many lines may wait for a slow reader of the log.
const queueLines = 1024

// bounded writes lines in the background, at most some a second, and counts
// those that it drops; it never blocks the process.
type bounded struct {
	lines   chan []byte
	limit   *rate.Limiter
	dropped atomic.Uint64
	ended   chan struct{}
	once    sync.Once
}

func newBounded(w io.Writer, perSecond int) *bounded {
	b := &bounded{
		lines: make(chan []byte, queueLines),
		limit: rate.NewLimiter(rate.Limit(perSecond), perSecond),
		ended: make(chan struct{}),
	}
	go b.run(w)
	return b
}

// run writes until Close; a line that cannot be written counts as dropped.
func (b *bounded) run(w io.Writer) {
	defer close(b.ended)
	for line := range b.lines {
		if _, err := w.Write(line); err != nil {
			b.dropped.Add(1)
		}
	}
}

// Write queues a line, or drops it.
func (b *bounded) Write(line []byte) (int, error) {
	if !b.limit.AllowN(time.Now(), 1) {
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

// Close writes what waits; nothing may be logged afterwards.
func (b *bounded) Close() error {
	b.once.Do(func() { close(b.lines) })
	<-b.ended
	return nil
}

// NewBounded returns a logger of at most so many lines a second that never
// blocks; the closer writes what waits.
func NewBounded(w io.Writer, format, level string, perSecond int) (*Logger, io.Closer, error) {
	b := newBounded(w, perSecond)
	logger, err := New(b, format, level)
	if err != nil {
		return nil, nil, err
	}
	logger.dropped = &b.dropped
	return logger, b, nil
}

// Register publishes the count of dropped lines.
func (l *Logger) Register(registry prometheus.Registerer) {
	registry.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{
		Name: "dandeliondoor_log_dropped_lines_total",
		Help: "Lines that were not logged, to bound the volume or because nobody read them.",
	}, func() float64 {
		if l.dropped == nil {
			return 0
		}
		return float64(l.dropped.Load())
	}))
}
