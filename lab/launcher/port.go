package launcher

import (
	"net"
	"net/netip"
	"os"
	"sync"

	"github.com/joomcode/errorx"
)

const (
	// firstPort and lastPort lie below the ports that the kernel gives to outgoing connections.
	firstPort = 10000
	lastPort  = 32000
	// portsPerProcess spreads the first ports of different launching processes.
	portsPerProcess = 500
)

// allocator hands out each port once. It keeps the UDP port of the same number bound, which tells allocators of other
// processes that the port is taken until this process ends.
type portAllocator struct {
	mu           sync.Mutex
	next         int
	reservations []net.PacketConn
}

var ports = portAllocator{next: firstPort + os.Getpid()*portsPerProcess%(lastPort-firstPort)}

// FreePort returns a loopback address with a port that is free and that no launching process gives to anybody else.
func FreePort() (netip.AddrPort, error) {
	return ports.allocate()
}

func (a *portAllocator) allocate() (netip.AddrPort, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for range lastPort - firstPort {
		address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), uint16(a.next))
		a.next++
		if a.next > lastPort {
			a.next = firstPort
		}
		if a.reserve(address) {
			return address, nil
		}
	}
	return netip.AddrPort{}, errorx.ExternalError.New("launcher: unable to find a free port")
}

func (a *portAllocator) reserve(address netip.AddrPort) bool {
	claim, err := net.ListenPacket("udp", address.String())
	if err != nil {
		return false
	}
	l, err := net.Listen("tcp", address.String())
	if err != nil {
		_ = claim.Close()
		return false
	}
	_ = l.Close()
	a.reservations = append(a.reservations, claim)
	return true
}
