package listener

import (
	"context"
	"crypto/tls"
	"iter"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/hornbeamspan/hornbeamspan/parts/coordination/evictor"
)

const (
	// replacedFraction is the fraction of the limit of connections that may be open in addition while they are being closed. Each of
	// them needs a descriptor until its answer has been written.
	replacedFraction = 0.125
	// minReplaced is the lowest number of such connections, for low limits.
	minReplaced = 8
	// replacedTimeout is how long new connections wait for those. Then they are closed without an answer.
	replacedTimeout = time.Second
)

// connLimiter tracks the open connections of a listener and bounds their number. At the limit, a new connection replaces the one that
// makes the least progress; only if all have sent their requests is the new connection closed.
type connLimiter struct {
	limit int
	clock clockwork.Clock
	mu    sync.Mutex
	conns map[*callerConn]bool
	// replaced are the connections that are about to be closed and no longer count, with the time of the decision.
	replaced map[*callerConn]time.Time
	// hasChanged has a value after a replaced connection was closed.
	hasChanged chan struct{}
}

func newConnLimiter(limit int, clock clockwork.Clock) *connLimiter {
	return &connLimiter{
		limit: limit, clock: clock, conns: make(map[*callerConn]bool), replaced: make(map[*callerConn]time.Time), hasChanged: make(chan struct{}, 1),
	}
}

// admit adds a new connection. At the limit it closes another one, or does not admit the new one.
func (c *connLimiter) admit(conn *callerConn) (isAdmitted, isAtLimit bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for c.limit > 0 && len(c.conns) >= c.limit {
		isAtLimit = true
		least, ok := evictor.Least(c.progress(), c.clock.Now())
		if !ok {
			return false, true
		}
		if least.replace() {
			delete(c.conns, least)
			c.replaced[least] = c.clock.Now()
		}
	}
	c.conns[conn] = true
	return true, isAtLimit
}

// progress returns the progress of all connections that count. The caller holds mu.
func (c *connLimiter) progress() iter.Seq2[*callerConn, evictor.Progress] {
	return func(yield func(*callerConn, evictor.Progress) bool) {
		for conn := range c.conns {
			if !yield(conn, conn.progress()) {
				return
			}
		}
	}
}

// awaitClosed waits until few enough connections are being closed, at most for replacedTimeout or until ctx is done.
func (c *connLimiter) awaitClosed(ctx context.Context) {
	if c.limit <= 0 {
		return
	}
	maxReplaced := max(minReplaced, int(replacedFraction*float64(c.limit)))
	for c.closeReplaced(maxReplaced) >= maxReplaced && ctx.Err() == nil {
		select {
		case <-c.hasChanged:
		case <-c.clock.After(closePollInterval):
		case <-ctx.Done():
		}
	}
}

// closeReplaced returns the number of replaced connections that are open. From maxReplaced, it closes those that have their answer and
// those that have had replacedTimeout for it.
func (c *connLimiter) closeReplaced(maxReplaced int) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.replaced) < maxReplaced {
		return len(c.replaced)
	}
	now := c.clock.Now()
	for conn, at := range c.replaced {
		if conn.progress().Phase == evictor.Ended || now.Sub(at) >= replacedTimeout {
			_ = conn.Conn.Close()
			delete(c.replaced, conn)
		}
	}
	return len(c.replaced)
}

// trackState is the ConnState hook of the servers.
func (c *connLimiter) trackState(nc net.Conn, state http.ConnState) {
	conn, ok := callerConnOf(nc)
	if !ok {
		return
	}
	switch state {
	case http.StateActive:
		conn.setActive()
		c.restore(conn)
	case http.StateIdle:
		conn.setIdle()
	case http.StateClosed, http.StateHijacked:
		c.remove(conn)
	}
}

func callerConnOf(nc net.Conn) (*callerConn, bool) {
	if t, ok := nc.(*tls.Conn); ok {
		nc = t.NetConn()
	}
	conn, ok := nc.(*callerConn)
	return conn, ok
}

// restore counts a replaced connection again, because the header of a request was read before it was closed.
func (c *connLimiter) restore(conn *callerConn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, ok := c.replaced[conn]; ok {
		delete(c.replaced, conn)
		c.conns[conn] = true
	}
}

func (c *connLimiter) remove(conn *callerConn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.conns, conn)
	if _, ok := c.replaced[conn]; ok {
		delete(c.replaced, conn)
		select {
		case c.hasChanged <- struct{}{}:
		default:
		}
	}
}

// closeUnused makes the servers close all connections, those with a request after its answer.
func (c *connLimiter) closeUnused() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for conn := range c.conns {
		conn.closeUnlessUsed()
	}
}

// open returns the number of open connections.
func (c *connLimiter) open() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.conns) + len(c.replaced)
}
