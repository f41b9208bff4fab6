package listener

import (
	"crypto/tls"
	"net"
	"net/http"
	"sync"
)

// crowd bounds the open connections of a listener. At the bound, a new connection takes the place of the one that has
// been without a request for longest; only if all have one is the new connection closed.
type connLimiter struct {
	limit int
	mu    sync.Mutex
	// idle tells since which step a connection has no request; busy connections have 0.
	idleSince map[net.Conn]uint64
	seq       uint64
}

func newConnLimiter(most int) *connLimiter {
	return &connLimiter{limit: most, idleSince: make(map[net.Conn]uint64)}
}

// admit counts a new connection. At the bound it closes another one, or does not admit it.
func (c *connLimiter) admit(conn net.Conn) (isAdmitted, isCrowded bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	isCrowded = c.limit > 0 && len(c.idleSince) >= c.limit
	if isCrowded {
		oldest := c.longestIdle()
		if oldest == nil {
			return false, true
		}
		delete(c.idleSince, oldest)
		_ = oldest.Close()
	}
	c.seq++
	c.idleSince[conn] = c.seq
	return true, isCrowded
}

// oldest returns the connection without a request for longest, nil if all have one. The caller holds mu.
func (c *connLimiter) longestIdle() net.Conn {
	var oldest net.Conn
	var since uint64
	for conn, step := range c.idleSince {
		if step > 0 && (oldest == nil || step < since) {
			oldest, since = conn, step
		}
	}
	return oldest
}

// follow takes in what a connection does.
func (c *connLimiter) trackState(conn net.Conn, state http.ConnState) {
	if t, ok := conn.(*tls.Conn); ok {
		conn = t.NetConn()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, ok := c.idleSince[conn]; !ok {
		return
	}
	switch state {
	case http.StateActive:
		c.idleSince[conn] = 0
	case http.StateIdle:
		c.seq++
		c.idleSince[conn] = c.seq
	case http.StateClosed, http.StateHijacked:
		delete(c.idleSince, conn)
	}
}
