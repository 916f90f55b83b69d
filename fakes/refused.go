package fakes

import (
	"net/netip"
	"syscall"

	"github.com/go-faster/errors"
)

// RefusedAddress is a loopback address that refuses connections until Close. Its port is
// bound, so that no other listener or connection gets it meanwhile, as it could that of a
// closed listener.
type RefusedAddress struct {
	descriptor int
	address    netip.AddrPort
}

// NewRefusedAddress returns an address with a free port, or the system's error.
func NewRefusedAddress() (*RefusedAddress, error) {
	descriptor, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		return nil, errors.Wrap(err, "open socket")
	}
	loopback := netip.AddrFrom4([4]byte{127, 0, 0, 1})
	err = syscall.Bind(descriptor, &syscall.SockaddrInet4{Addr: loopback.As4()})
	if err != nil {
		return nil, errors.Join(errors.Wrap(err, "bind socket"), syscall.Close(descriptor))
	}
	name, err := syscall.Getsockname(descriptor)
	bound, isInet4 := name.(*syscall.SockaddrInet4)
	if err != nil || !isInet4 {
		return nil, errors.Join(errors.New("address of bound socket is not known"), err, syscall.Close(descriptor))
	}
	return &RefusedAddress{descriptor: descriptor, address: netip.AddrPortFrom(loopback, uint16(bound.Port))}, nil
}

// Address returns the address.
func (a *RefusedAddress) Address() netip.AddrPort { return a.address }

// Close frees the port.
func (a *RefusedAddress) Close() error { return syscall.Close(a.descriptor) }
