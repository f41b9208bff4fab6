package rig

import (
	"io"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Proxy forwards connections to an address. While it is silent it holds back all bytes, as a link that is cut does: connections
// hang and nothing is reset.
type Proxy struct {
	Address string
	to      string
	socket  net.Listener
	mu      sync.Mutex
	silent  chan struct{} // nil while bytes pass, closed when the silence ends
	conns   map[net.Conn]bool
	// reads counts the reads of the list of engines that passed.
	reads atomic.Int64
}

// StartProxy forwards from a free loopback port.
func StartProxy(to string) (*Proxy, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &Proxy{Address: l.Addr().String(), to: to, socket: l, conns: make(map[net.Conn]bool)}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go p.serve(c)
		}
	}()
	return p, nil
}

// Silence holds back all bytes until Heal.
func (p *Proxy) Silence() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.silent = make(chan struct{})
}

// Heal ends the silence.
func (p *Proxy) Heal() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.silent != nil {
		close(p.silent)
		p.silent = nil
	}
}

// Close ends the proxy and its connections.
func (p *Proxy) Close() {
	_ = p.socket.Close()
	p.Heal()
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		_ = c.Close()
	}
}

func (p *Proxy) await() {
	p.mu.Lock()
	silent := p.silent
	p.mu.Unlock()
	if silent != nil {
		<-silent
	}
}

func (p *Proxy) keep(c net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.conns[c] = true
}

func (p *Proxy) drop(c net.Conn) {
	_ = c.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.conns, c)
}

func (p *Proxy) serve(from net.Conn) {
	p.keep(from)
	defer p.drop(from)
	p.await()
	to, err := net.DialTimeout("tcp", p.to, time.Second)
	if err != nil {
		return
	}
	p.keep(to)
	defer p.drop(to)
	ended := make(chan struct{}, 2)
	go func() {
		p.copy(to, from, true)
		ended <- struct{}{}
	}()
	go func() {
		p.copy(from, to, false)
		ended <- struct{}{}
	}()
	<-ended
}

func (p *Proxy) copy(to, from net.Conn, isRequest bool) {
	buffer := make([]byte, 64<<10)
	for {
		n, err := from.Read(buffer)
		p.await()
		if n > 0 {
			if isRequest && strings.Contains(string(buffer[:n]), "/api/log-read") && strings.Contains(string(buffer[:n]), "topic="+serversTopic) {
				p.reads.Add(1)
			}
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err == io.EOF {
			if c, ok := to.(*net.TCPConn); ok {
				_ = c.CloseWrite()
			}
		}
		if err != nil {
			return
		}
	}
}
