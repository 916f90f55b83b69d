package logs

import (
	"io"
	"strings"
	"sync/atomic"

	"github.com/go-faster/errors"
	"github.com/sirupsen/logrus"
	"github.com/zeromicro/go-zero/core/logx"
)

// partField is the key of the field with the component that logged a line.
const partField = "part"

// timeFormat has milliseconds, so that lines of several daemons can be put in order.
const timeFormat = "2006-01-02T15:04:05.000Z07:00"

// Logger writes the log of a process.
type Logger struct {
	root    *logrus.Logger
	dropped *atomic.Uint64
}

// New returns a logger that writes to w in the format text or json.
func New(w io.Writer, format, level string) (*Logger, error) {
	root := logrus.New()
	root.SetOutput(w)
	switch format {
	case "json":
		root.SetFormatter(&logrus.JSONFormatter{TimestampFormat: timeFormat})
	case "text":
		root.SetFormatter(&logrus.TextFormatter{DisableColors: true, FullTimestamp: true, TimestampFormat: timeFormat})
	default:
		return nil, errors.Errorf("log format %q is neither text nor json", format)
	}
	logger := &Logger{root: root}
	return logger, logger.SetLevel(level)
}

// Discard returns a logger that writes nothing.
func Discard() *Logger {
	root := logrus.New()
	root.SetOutput(io.Discard)
	return &Logger{root: root}
}

// Part returns a log entry whose lines have the component's name in the field part.
func (l *Logger) Part(name string) *logrus.Entry {
	return l.root.WithField(partField, name)
}

// Level returns the current level.
func (l *Logger) Level() string {
	return l.root.GetLevel().String()
}

// SetLevel changes the level while the process runs.
func (l *Logger) SetLevel(level string) error {
	parsed, err := logrus.ParseLevel(level)
	if err != nil {
		return errors.Wrap(err, "set log level")
	}
	l.root.SetLevel(parsed)
	return nil
}

// RedirectLibraryLogs redirects the logs of go-zero's logx to the logger and turns
// off its periodic statistics.
func (l *Logger) RedirectLibraryLogs() {
	logx.SetWriter(libraryWriter{entry: l.Part("library")})
	logx.DisableStat()
}

// libraryWriter is a logx.Writer that writes to a logrus entry.
type libraryWriter struct {
	entry *logrus.Entry
}

var _ logx.Writer = libraryWriter{}

// Alert logs at error level.
func (w libraryWriter) Alert(v any) { w.entry.Error(v) }

// Close does nothing.
func (w libraryWriter) Close() error { return nil }

// Debug logs at debug level.
func (w libraryWriter) Debug(v any, fields ...logx.LogField) { w.withFields(fields).Debug(v) }

// Error logs at error level.
func (w libraryWriter) Error(v any, fields ...logx.LogField) { w.withFields(fields).Error(v) }

// Info logs at trace level, since the messages of a library are too detailed for
// operators.
func (w libraryWriter) Info(v any, fields ...logx.LogField) { w.withFields(fields).Trace(v) }

// Severe logs at error level.
func (w libraryWriter) Severe(v any) { w.entry.Error(v) }

// Slow logs at warning level.
func (w libraryWriter) Slow(v any, fields ...logx.LogField) { w.withFields(fields).Warn(v) }

// Stack logs the first line of a stack trace at error level.
func (w libraryWriter) Stack(v any) {
	stack, isString := v.(string)
	if !isString {
		w.entry.Error(v)
		return
	}
	line, _, _ := strings.Cut(stack, "\n")
	w.entry.Error(line)
}

// Stat logs at debug level.
func (w libraryWriter) Stat(v any, fields ...logx.LogField) { w.withFields(fields).Debug(v) }

func (w libraryWriter) withFields(fields []logx.LogField) *logrus.Entry {
	entry := w.entry
	for _, field := range fields {
		entry = entry.WithField(field.Key, field.Value)
	}
	return entry
}
