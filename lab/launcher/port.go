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

// ports hands out each port once, so that systems launched side by side never share one.
var ports = struct {
	mu   sync.Mutex
	next int
}{next: firstPort + os.Getpid()*portsPerProcess%(lastPort-firstPort)}

// FreePort returns a loopback address with a port that is free and that this process gives to nobody else.
func FreePort() (netip.AddrPort, error) {
	ports.mu.Lock()
	defer ports.mu.Unlock()
	for range lastPort - firstPort {
		address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), uint16(ports.next))
		ports.next++
		if ports.next > lastPort {
			ports.next = firstPort
		}
		if l, err := net.Listen("tcp", address.String()); err == nil {
			_ = l.Close()
			return address, nil
		}
	}
	return netip.AddrPort{}, errorx.ExternalError.New("launcher: unable to find a free port")
}
