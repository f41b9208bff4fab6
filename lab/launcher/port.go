package launcher

import (
	"net"
	"net/netip"
	"os"
	"sync"

	"github.com/joomcode/errorx"
)

const (
	// firstPort and lastPort are below the kernel's range of ephemeral ports.
	firstPort = 10000
	lastPort  = 32000
	// portsPerProcess spaces the first ports of concurrent launching processes.
	portsPerProcess = 500
)

// portAllocator returns each port once. It reserves a port by binding the UDP port of the same number until the process
// ends, which prevents allocators in other processes from returning it.
type portAllocator struct {
	mu           sync.Mutex
	next         int
	reservations []net.PacketConn
}

var ports = portAllocator{next: firstPort + os.Getpid()*portsPerProcess%(lastPort-firstPort)}

// FreePort returns a loopback address with a free TCP port that no other launching process will use.
func FreePort() (netip.AddrPort, error) {
	return ports.allocate()
}

func (p *portAllocator) allocate() (netip.AddrPort, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for range lastPort - firstPort {
		address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), uint16(p.next))
		p.next++
		if p.next > lastPort {
			p.next = firstPort
		}
		if p.reserve(address) {
			return address, nil
		}
	}
	return netip.AddrPort{}, errorx.ExternalError.New("launcher: unable to find a free port: all ports of the range are in use")
}

func (p *portAllocator) reserve(address netip.AddrPort) bool {
	reservation, err := net.ListenPacket("udp", address.String())
	if err != nil {
		return false
	}
	l, err := net.Listen("tcp", address.String())
	if err != nil {
		_ = reservation.Close()
		return false
	}
	_ = l.Close()
	p.reservations = append(p.reservations, reservation)
	return true
}
