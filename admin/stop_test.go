package admin_test

import (
	"context"
	"io"
	"net"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"dandeliondoor/admin"
	"dandeliondoor/kernel"
	"dandeliondoor/logs"
)

// TestStopBesideOpenRequest stops the operators' port while an operator has sent a part of a
// request. It guards against a process that never exits, exits after the limit of its stop,
// or with an error, because of that connection.
func TestStopBesideOpenRequest(t *testing.T) {
	t.Parallel()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	logger, err := logs.New(io.Discard, "json", "info")
	if err != nil {
		t.Fatal(err)
	}
	service, err := admin.New(listener, prometheus.NewRegistry(), logger,
		func() error { return nil }, func(time.Time) any { return nil })
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	ended, err := service.Start(ctx, kernel.New(service))
	if err != nil {
		t.Fatal(err)
	}
	conn, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	if _, err := io.WriteString(conn, "GET /healthz HTTP/1.1\r\nHost: daemon\r\n\r\nGET /healthz"); err != nil {
		t.Fatal(err)
	}
	// The response shows that what came with it has been read, too.
	if _, err := conn.Read(make([]byte, 1)); err != nil {
		t.Fatal(err)
	}
	began := time.Now()
	cancel()
	select {
	case err := <-ended:
		if took := time.Since(began); err != nil || took > time.Second {
			t.Errorf("the service ended after %s with %v", took, err)
		}
	case <-time.After(20 * time.Second):
		t.Error("the service did not end")
	}
}
