package listener

import (
	"crypto/tls"
	"net"
	"net/http"
	"sync"
)

// connLimiter bounds the open connections of a listener. At the limit, a new connection replaces the one that has been
// idle for longest; only if all are serving a request is the new connection closed.
type connLimiter struct {
	limit int
	mu    sync.Mutex
	// idleSince is the value of seq when a connection became idle; 0 while it serves a request.
	idleSince map[net.Conn]uint64
	seq       uint64
}

func newConnLimiter(limit int) *connLimiter {
	return &connLimiter{limit: limit, idleSince: make(map[net.Conn]uint64)}
}

// admit adds a new connection. At the limit it closes an idle one, or does not admit the new one.
func (c *connLimiter) admit(conn net.Conn) (isAdmitted, isAtLimit bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	isAtLimit = c.limit > 0 && len(c.idleSince) >= c.limit
	if isAtLimit {
		oldest := c.longestIdle()
		if oldest == nil {
			return false, true
		}
		delete(c.idleSince, oldest)
		_ = oldest.Close()
	}
	c.seq++
	c.idleSince[conn] = c.seq
	return true, isAtLimit
}

// longestIdle returns the connection that has been idle for longest, nil if none is idle. The caller holds mu.
func (c *connLimiter) longestIdle() net.Conn {
	var oldest net.Conn
	var since uint64
	for conn, idle := range c.idleSince {
		if idle > 0 && (oldest == nil || idle < since) {
			oldest, since = conn, idle
		}
	}
	return oldest
}

// trackState is the ConnState hook of the servers.
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
