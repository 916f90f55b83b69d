package fakes

import (
	"net"
	"net/netip"
	"os"
	"sync"

	"github.com/go-faster/errors"
)

// portStride is the distance between the first ports that programs with consecutive
// process IDs try, so that programs that run at the same time rarely choose the same
// port.
const portStride = 500

var errNoPort = errors.New("no free port")

// Ports allocates ports of the loopback address. Its range should lie below the
// system's range of ephemeral ports, so that no outgoing connection takes a port
// between its allocation and its use, or while the process that uses it restarts.
type Ports struct {
	first int
	last  int

	mutex sync.Mutex
	next  int
}

// NewPorts returns an allocator of the ports from first up to, but excluding, last.
func NewPorts(first, last int) *Ports {
	return &Ports{first: first, last: last, next: first + os.Getpid()*portStride%(last-first)}
}

// Free returns an address on which nothing listens.
func (p *Ports) Free() (netip.AddrPort, error) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for range p.last - p.first {
		address := netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(p.next))
		if p.next++; p.next == p.last {
			p.next = p.first
		}
		listener, err := net.Listen("tcp", address.String())
		if err != nil {
			continue
		}
		return address, listener.Close()
	}
	return netip.AddrPort{}, errNoPort
}
