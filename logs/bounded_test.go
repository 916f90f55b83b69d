package logs_test

import (
	"io"
	"testing"

	"github.com/prometheus/client_golang/prometheus"

	"dandeliondoor/logs"
)

// TestLogAfterClose guards against the end of the process by a panic when a task that
// outlasts the stop logs a line.
func TestLogAfterClose(t *testing.T) {
	t.Parallel()
	logger, closer, err := logs.NewBounded(io.Discard, "json", "info", 10)
	if err != nil {
		t.Fatal(err)
	}
	registry := prometheus.NewRegistry()
	logger.Register(registry)
	if err := closer.Close(); err != nil {
		t.Fatal(err)
	}
	logger.Part("test").Info("too late")
	families, err := registry.Gather()
	if err != nil {
		t.Fatal(err)
	}
	if got := families[0].GetMetric()[0].GetCounter().GetValue(); got != 1 {
		t.Errorf("got %v dropped lines, want 1", got)
	}
}
