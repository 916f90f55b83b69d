package fakes

import (
	"net"
	"net/netip"
	"os"
	"sync"

	"github.com/go-faster/errors"
)

// blockSize is the number of ports that a program reserves at a time. The first one of a
// block is the reservation: a listener that stays open while the program runs.
const blockSize = 50

// blockStride is the distance in blocks between the first ones that programs with
// consecutive process IDs try.
const blockStride = 10

var errNoPort = errors.New("no free port")

// Ports allocates ports of the loopback address, none of which another program that uses
// Ports gets while this one runs. Its range should lie below the system's range of
// ephemeral ports, so that no outgoing connection takes a port between its allocation and
// its use, or while the process that uses it restarts.
type Ports struct {
	first  int
	blocks int

	mutex     sync.Mutex
	nextBlock int
	next      int
	end       int
	reserved  []reservedBlock
	reused    int
}

type reservedBlock struct {
	start       int
	reservation net.Listener
}

// NewPorts returns an allocator of the ports from first up to, but excluding, last.
func NewPorts(first, last int) *Ports {
	blocks := (last - first) / blockSize
	return &Ports{first: first, blocks: blocks, nextBlock: os.Getpid() * blockStride % blocks}
}

// Free returns an address on which nothing listens.
func (p *Ports) Free() (netip.AddrPort, error) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for range p.blocks {
		for ; p.next < p.end; p.next++ {
			listener, err := listenOn(p.next)
			if err == nil {
				p.next++
				return netip.MustParseAddrPort(listener.Addr().String()), listener.Close()
			}
		}
		if !p.reserve() && !p.reuse() {
			break
		}
	}
	return netip.AddrPort{}, errNoPort
}

// reserve reserves the next block that no program has.
func (p *Ports) reserve() bool {
	for range p.blocks {
		start := p.first + p.nextBlock*blockSize
		p.nextBlock = (p.nextBlock + 1) % p.blocks
		listener, err := listenOn(start)
		if err == nil {
			p.reserved = append(p.reserved, reservedBlock{start: start, reservation: listener})
			p.next, p.end = start+1, start+blockSize
			return true
		}
	}
	return false
}

// reuse starts anew with a block of this program.
func (p *Ports) reuse() bool {
	if len(p.reserved) == 0 {
		return false
	}
	start := p.reserved[p.reused%len(p.reserved)].start
	p.reused++
	p.next, p.end = start+1, start+blockSize
	return true
}

// Close gives up all reservations.
func (p *Ports) Close() error {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	var errs []error
	for _, block := range p.reserved {
		errs = append(errs, block.reservation.Close())
	}
	p.reserved, p.next, p.end = nil, 0, 0
	return errors.Join(errs...)
}

func listenOn(port int) (net.Listener, error) {
	return net.Listen("tcp", netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(port)).String())
}
