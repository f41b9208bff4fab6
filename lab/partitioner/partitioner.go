// Package partitioner forwards the sessions between hosts, and cuts hosts off from each other.
package partitioner

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/joomcode/errorx"

	"github.com/hornbeamspan/hornbeamspan/transport/hosts/messenger"
)

const (
	// headerTimeout bounds the time in which a host states its name on a new connection.
	headerTimeout = 5 * time.Second
	// connectTimeout bounds the connection to the host behind an address.
	connectTimeout = time.Second
	bufferBytes    = 4 << 10
)

// Partitioner stands between hosts: each host advertises the address that Forward returns for it. Hosts in different groups
// are cut off from each other: their connections stay open, but no byte passes in either direction.
type Partitioner struct {
	mu sync.Mutex
	// groups holds the group of each host that is not in group 0.
	groups    map[string]int
	listeners []net.Listener
	conns     map[net.Conn]bool
	wg        sync.WaitGroup
	done      chan struct{}
}

// New returns a Partitioner that forwards everything.
func New() *Partitioner {
	return &Partitioner{groups: make(map[string]int), conns: make(map[net.Conn]bool), done: make(chan struct{})}
}

// Done returns a channel that is closed once Close has been called.
func (p *Partitioner) Done() <-chan struct{} { return p.done }

// Forward listens on a free loopback port for sessions to a host, and returns the address.
func (p *Partitioner) Forward(host string, address netip.AddrPort) (netip.AddrPort, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return netip.AddrPort{}, errorx.Decorate(err, "partitioner: unable to listen for sessions to %s", host)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.listeners = append(p.listeners, l)
	p.wg.Go(func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			p.wg.Go(func() { p.forward(conn, host, address) })
		}
	})
	return l.Addr().(*net.TCPAddr).AddrPort(), nil
}

// SetGroup puts hosts into a group. All hosts start in group 0.
func (p *Partitioner) SetGroup(group int, hosts ...string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, h := range hosts {
		p.groups[h] = group
	}
}

func (p *Partitioner) isCut(a, b string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.groups[a] != p.groups[b]
}

// Close ends all connections and waits until nothing is forwarded.
func (p *Partitioner) Close() {
	p.mu.Lock()
	close(p.done)
	for _, l := range p.listeners {
		_ = l.Close()
	}
	for c := range p.conns {
		_ = c.Close()
	}
	p.mu.Unlock()
	p.wg.Wait()
}

// track registers a connection until the returned function is called, which closes it.
func (p *Partitioner) track(c net.Conn) func() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.conns[c] = true
	select {
	case <-p.done:
		_ = c.Close()
	default:
	}
	return func() {
		_ = c.Close()
		p.mu.Lock()
		defer p.mu.Unlock()
		delete(p.conns, c)
	}
}

func (p *Partitioner) forward(from net.Conn, host string, address netip.AddrPort) {
	defer p.track(from)()
	_ = from.SetReadDeadline(time.Now().Add(headerTimeout))
	reader := bufio.NewReader(from)
	request, err := http.ReadRequest(reader)
	if err != nil {
		return
	}
	_ = from.SetReadDeadline(time.Time{})
	caller := request.Header.Get(messenger.HostHeader)
	if p.isCut(caller, host) {
		_, _ = io.Copy(io.Discard, reader) // until the caller gives up
		return
	}
	to, err := net.DialTimeout("tcp", address.String(), connectTimeout)
	if err != nil {
		return
	}
	defer p.track(to)()
	if err := request.Write(to); err != nil {
		return
	}
	var wg sync.WaitGroup
	for _, way := range []struct {
		to   net.Conn
		from io.Reader
	}{{to: to, from: reader}, {to: from, from: to}} {
		wg.Go(func() {
			p.copy(way.to, way.from, caller, host)
			_ = from.Close()
			_ = to.Close()
		})
	}
	wg.Wait()
}

// copy forwards bytes until one side closes the connection. Bytes that arrive during a cut are lost, and so is the session.
func (p *Partitioner) copy(to io.Writer, from io.Reader, caller, host string) {
	buffer := make([]byte, bufferBytes)
	isLost := false
	for {
		n, err := from.Read(buffer)
		if isLost = isLost || p.isCut(caller, host); !isLost && n > 0 {
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}
