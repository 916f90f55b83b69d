package stand

import (
	"net"
	"net/netip"
	"os"
	"sync"

	"github.com/go-faster/errors"
)

// portStride lies between the first ports of programs with neighbouring process
// IDs, so that those that run beside each other rarely choose the same.
const portStride = 500

var errNoPort = errors.New("no free port")

// Ports hands out ports of the loopback address. Its range should lie below the
// ports that the system gives to outgoing connections, so that nothing takes a
// port between its choice and its use, nor while its process starts again.
type Ports struct {
	first int
	last  int

	mutex sync.Mutex
	next  int
}

// NewPorts returns the ports from first up to but without last.
func NewPorts(first, last int) *Ports {
	return &Ports{first: first, last: last, next: first + os.Getpid()*portStride%(last-first)}
}

// Free returns an address whose port nothing listens on.
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
