package dialer

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// tcpClose is TCP_CLOSE in the kernel's list of states.
const tcpClose = unix.BPF_TCP_CLOSE

// tcpStateOf returns the state of a connection, the zero value if it is not known.
func tcpStateOf(conn net.Conn) (state tcpState) {
	socket, ok := conn.(syscall.Conn)
	if !ok {
		return state
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return state
	}
	_ = raw.Control(func(fd uintptr) { // fails only if this side has closed the connection
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		state.isClosed = err == nil && info.State == tcpClose
		unacknowledged, err := unix.IoctlGetInt(int(fd), unix.TIOCOUTQ)
		state.isPending = err == nil && unacknowledged > 0
	})
	return state
}
