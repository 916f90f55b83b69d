package fakes_test

import (
	"context"
	"io"
	"net"
	"net/netip"
	"testing"

	"github.com/go-faster/errors"

	"dandeliondoor/fakes"
	"dandeliondoor/kernel"
)

// TestReset checks that both ends of each connection see an error, in whatever order a
// link resets its connections. It guards against a reset that looks like the end of a
// response without a length, which the soak then reports as one that is complete.
func TestReset(t *testing.T) {
	t.Parallel()
	target := listen(t)
	ctx, cancel := context.WithCancel(context.Background())
	link := fakes.NewLink(netip.MustParseAddrPort(target.Addr().String()))
	listener := listen(t)
	served := kernel.Run(ctx, func(ctx context.Context) error { return link.Serve(ctx, listener) })
	t.Cleanup(func() {
		cancel()
		if err := <-served; err != nil {
			t.Error(err)
		}
	})
	ends := make([]net.Conn, 0, 2*200)
	for len(ends) < cap(ends) {
		dialed, err := net.Dial("tcp", listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		accepted, err := target.Accept()
		if err != nil {
			t.Fatal(err)
		}
		// The link tracks a connection before it forwards the first byte.
		if _, err := io.WriteString(dialed, "a"); err != nil {
			t.Fatal(err)
		}
		if _, err := accepted.Read(make([]byte, 1)); err != nil {
			t.Fatal(err)
		}
		ends = append(ends, dialed, accepted)
	}
	link.Reset()
	clean := 0
	for _, conn := range ends {
		if _, err := conn.Read(make([]byte, 1)); errors.Is(err, io.EOF) {
			clean++
		}
		_ = conn.Close()
	}
	if clean > 0 {
		t.Errorf("%d of %d ends saw the end of the stream instead of an error", clean, len(ends))
	}
}

func listen(t *testing.T) net.Listener {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	return listener
}
