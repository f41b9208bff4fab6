package hostrunner

import (
	"net"
	"net/netip"

	"github.com/joomcode/errorx"
)

// pickFreePort replaces port 0 of address with a free port, because hosts announce the address for callers to each other
// before its listener starts.
func pickFreePort(address netip.AddrPort) (netip.AddrPort, error) {
	if address.Port() != 0 {
		return address, nil
	}
	l, err := net.Listen("tcp", address.String())
	if err != nil {
		return netip.AddrPort{}, errorx.Decorate(err, "hostrunner: unable to find a free port")
	}
	defer l.Close()
	return l.Addr().(*net.TCPAddr).AddrPort(), nil
}
