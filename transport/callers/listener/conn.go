package listener

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/hornbeamspan/hornbeamspan/parts/coordination/evictor"
)

// headerWait is how long a closing listener waits for the rest of a request whose first bytes it has read.
const headerWait = time.Second

// past is a deadline that ends a read at once.
var past = time.Unix(1, 0)

// ReplacedError is the cause of the contexts of requests whose connection is closed before their body has been read, because there are
// too many connections, and the error of a read of their body.
type ReplacedError struct{}

func (e *ReplacedError) Error() string {
	return "listener: unable to wait for the rest of the request body: the connection has made room for a new one"
}

// connKey is the key of the *callerConn in the contexts of requests.
type connKey struct{}

// callerConn is a connection of a caller that can be closed without cutting a request: once it is closing, nothing of a further
// request is read, but one whose first byte was read still gets its answer.
type callerConn struct {
	net.Conn
	clock clockwork.Clock
	// onClose is called when the connection is closed.
	onClose func(*callerConn)
	mu      sync.Mutex
	// hasRequest is set from the first byte of a request to the end of its answer, isActive once its header was read, isReceived once
	// its body was read, too.
	hasRequest bool
	isActive   bool
	isReceived bool
	isClosing  bool
	// isReplaced is set if the connection is closed before it has received the rest of a request.
	isReplaced bool
	// hasEnded is set once everything has been sent to the caller.
	hasEnded bool
	// since is when the connection became idle or received the first byte of a request.
	since    time.Time
	lastByte time.Time
	bytes    int64
	// cancel ends the context of a request with a body. It is nil until the header was read.
	cancel context.CancelCauseFunc
}

func newCallerConn(conn net.Conn, clock clockwork.Clock, onClose func(*callerConn)) *callerConn {
	return &callerConn{Conn: conn, clock: clock, onClose: onClose, since: clock.Now()}
}

// Read implements net.Conn.
func (c *callerConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 {
		now := c.clock.Now()
		c.mu.Lock()
		defer c.mu.Unlock()
		if !c.hasRequest {
			c.since, c.bytes = now, 0
			if c.isClosing {
				_ = c.Conn.SetReadDeadline(now.Add(headerWait)) // the read was ahead of the deadline of closeUnlessUsed
			}
		}
		c.hasRequest = true
		c.lastByte = now
		c.bytes += int64(n)
	}
	return n, err
}

// isReplacedInHeader reports whether the connection is closed inside the header of a request.
func (c *callerConn) isReplacedInHeader() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.isReplaced && c.cancel == nil
}

// progress returns how far the connection's request has come.
func (c *callerConn) progress() evictor.Progress {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := evictor.Progress{Since: c.since, LastByte: c.lastByte, Bytes: c.bytes}
	switch {
	case c.hasEnded:
		p.Phase = evictor.Ended
	case c.isReceived:
		p.Phase = evictor.Received
	case c.hasRequest:
		p.Phase = evictor.Receiving
	}
	return p
}

// replace closes the connection, unless its request has been received meanwhile. A request whose header was read gets an answer first.
func (c *callerConn) replace() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.hasEnded {
		_ = c.Conn.Close()
		return true
	}
	if c.isReceived {
		return false
	}
	c.isClosing = true
	c.isReplaced = c.hasRequest
	_ = c.Conn.SetReadDeadline(past)
	if c.cancel != nil {
		c.cancel(&ReplacedError{})
	}
	return true
}

// receive prepares a request whose header was read, and returns it with a body that tells when it has been read.
func (c *callerConn) receive(w http.ResponseWriter, r *http.Request) *http.Request {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.isClosing {
		w.Header().Set("Connection", "close")
	}
	if r.ContentLength == 0 || r.Body == nil || r.Body == http.NoBody {
		c.isReceived, c.isReplaced = true, false
		return r
	}
	ctx, cancel := context.WithCancelCause(r.Context()) // ends with the context of the server
	if c.isReplaced {
		_ = c.Conn.SetReadDeadline(past)
		cancel(&ReplacedError{})
	}
	c.cancel = cancel
	r = r.WithContext(ctx)
	r.Body = &callerBody{ReadCloser: r.Body, conn: c}
	return r
}

// endBody records that a body has been read. It returns false if the connection is closed before that.
func (c *callerConn) endBody() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.isReplaced {
		return false
	}
	c.isReceived = true
	return true
}

func (c *callerConn) hasBeenReplaced() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.isReplaced
}

// callerBody is the body of a request.
type callerBody struct {
	io.ReadCloser
	conn *callerConn
}

// Read implements io.Reader. The error is a *ReplacedError if the connection is closed before the body has been read.
func (b *callerBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	switch {
	case errors.Is(err, io.EOF):
		if !b.conn.endBody() {
			return 0, &ReplacedError{} // without the last bytes, or the reader would not see the error
		}
	case err != nil && b.conn.hasBeenReplaced():
		return n, &ReplacedError{}
	}
	return n, err
}

// SetReadDeadline implements net.Conn. While the connection is closing, the server sets the deadlines of requests only, and none of a
// request that is no longer read.
func (c *callerConn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.isClosing && !c.isActive || c.isReplaced {
		return nil
	}
	return c.Conn.SetReadDeadline(t)
}

// closeUnlessUsed makes the server close the connection, at once if no byte of a request was read, otherwise after the answer.
func (c *callerConn) closeUnlessUsed() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.isClosing = true
	switch {
	case !c.hasRequest:
		_ = c.Conn.SetReadDeadline(past)
	case !c.isActive:
		_ = c.Conn.SetReadDeadline(c.clock.Now().Add(headerWait))
	}
}

// setActive records that the header of a request was read.
func (c *callerConn) setActive() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.hasRequest, c.isActive = true, true
	if c.isClosing {
		_ = c.Conn.SetReadDeadline(time.Time{})
	}
}

// setIdle records that a request has its answer.
func (c *callerConn) setIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.hasRequest, c.isActive, c.isReceived, c.cancel = false, false, false, nil
	c.since = c.clock.Now()
	if c.isClosing {
		_ = c.Conn.SetReadDeadline(past)
	}
}

// Close implements net.Conn.
func (c *callerConn) Close() error {
	c.onClose(c)
	return c.Conn.Close()
}

// CloseWrite ends the sending direction, so that the caller reads the end of the answer before the connection is reset. The server
// then waits for some time before it closes the connection.
func (c *callerConn) CloseWrite() error {
	c.mu.Lock()
	c.hasEnded = true
	c.mu.Unlock()
	if w, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return w.CloseWrite()
	}
	return nil
}

// SetLinger sets how Close treats unsent bytes, as that of net.TCPConn.
func (c *callerConn) SetLinger(seconds int) error {
	if l, ok := c.Conn.(interface{ SetLinger(int) error }); ok {
		return l.SetLinger(seconds)
	}
	return nil
}
