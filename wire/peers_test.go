package wire_test

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"testing"
	"time"

	"dandeliondoor/stand"
	"dandeliondoor/wire"
)

// Message is what the tests exchange; it is about as large as an ask.
type Message struct {
	Pool    string
	Route   string
	Account string
	Seq     uint64
	Budget  time.Duration
}

// Echo answers with what it is sent, or never.
type Echo struct{ stop <-chan struct{} }

// Back answers at once.
func (*Echo) Back(request Message, reply *Message) error {
	*reply = request
	return nil
}

// Never answers when the test ends.
func (e *Echo) Never(Message, *Message) error {
	<-e.stop
	return nil
}

// newPeer serves an Echo and returns its address and peers that call it.
func newPeer(t testing.TB) (netip.AddrPort, *wire.Peers) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := wire.NewServer(&wire.Meter{})
	server.Add(func(*wire.Session) []wire.Receiver {
		return []wire.Receiver{{Name: "Echo", Methods: &Echo{stop: ctx.Done()}}}
	})
	peers := wire.NewPeers(&wire.Meter{})
	ends := make(chan error, 2)
	go func() { ends <- server.Serve(ctx, listener) }()
	go func() { ends <- peers.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		for range cap(ends) {
			if err := <-ends; err != nil {
				t.Error(err)
			}
		}
	})
	return listener.Addr().(*net.TCPAddr).AddrPort(), peers
}

var message = Message{Pool: "souk-catalogue/fes-medina/0", Route: "lots", Account: "atlas", Seq: 1 << 60, Budget: time.Second}

// TestOneDirection loses one direction of a path under a waiting call: the call
// ends as unreachable long before its deadline, the daemon is not called while
// the path is dead, and is called again once it is whole.
func TestOneDirection(t *testing.T) {
	t.Parallel()
	for _, test := range []struct {
		name   string
		faults stand.LinkFaults
	}{
		{name: "backward", faults: stand.LinkFaults{DropBackward: true}},
		{name: "forward", faults: stand.LinkFaults{DropForward: true}},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			target, peers := newPeer(t)
			link := stand.NewLink(target)
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			linkCtx, cancel := context.WithCancel(context.Background())
			ended := make(chan error, 1)
			go func() { ended <- link.Serve(linkCtx, listener) }()
			defer func() {
				cancel()
				<-ended
			}()
			address := listener.Addr().(*net.TCPAddr).AddrPort()
			ctx, cancelCalls := context.WithTimeout(context.Background(), 30*time.Second)
			defer cancelCalls()
			call := func(method string) error {
				_, err := wire.Call[Message, Message](ctx, peers, address, method, message)
				return err
			}
			if err := call("Echo.Back"); err != nil {
				t.Fatal(err)
			}
			link.Faults.Set(test.faults)
			var unreachable *wire.UnreachableError
			if err := call("Echo.Never"); !errors.As(err, &unreachable) {
				t.Fatalf("a call over a dead path ended with %v", err)
			}
			if peers.Usable(address) {
				t.Error("the daemon is called although its path is dead")
			}
			link.Faults.Set(stand.LinkFaults{})
			for !peers.Usable(address) && ctx.Err() == nil {
				time.Sleep(10 * time.Millisecond)
			}
			if err := call("Echo.Back"); err != nil {
				t.Error(err)
			}
		})
	}
}

// BenchmarkCall measures one call and its reply, both ends in this process.
func BenchmarkCall(b *testing.B) {
	address, peers := newPeer(b)
	ctx := context.Background()
	for b.Loop() {
		if _, err := wire.Call[Message, Message](ctx, peers, address, "Echo.Back", message); err != nil {
			b.Fatal(err)
		}
	}
}
