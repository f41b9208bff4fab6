package hostrunner

import (
	"net"
	"net/netip"

	"github.com/joomcode/errorx"
)

// boundAddress is an address to listen on. For port 0 the socket is open already, because hosts announce the address to each
// other before its listener starts, and a port that is only looked up can be taken by another process meanwhile.
type boundAddress struct {
	netip.AddrPort
	socket net.Listener
}

// bind opens a socket on a free port if the port of address is 0.
func bind(address netip.AddrPort) (boundAddress, error) {
	if address.Port() != 0 {
		return boundAddress{AddrPort: address}, nil
	}
	socket, err := net.Listen("tcp", address.String())
	if err != nil {
		return boundAddress{}, errorx.Decorate(err, "hostrunner: unable to find a free port")
	}
	return boundAddress{AddrPort: socket.Addr().(*net.TCPAddr).AddrPort(), socket: socket}, nil
}

// close closes the socket of a host that could not be started.
func (b boundAddress) close() {
	if b.socket != nil {
		_ = b.socket.Close()
	}
}
