package dialer

import (
	"crypto/tls"
	"errors"
	"io"
	"net"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

const (
	// endCheckTimeout bounds the check whether the other side has reset a connection after its end. Go's HTTP server reads nothing after the
	// end of an early answer, and resets the connection after 500 ms if the request has not been read by then.
	endCheckTimeout = 100 * time.Millisecond
	// endCheckInterval is the time between two looks at the connection.
	endCheckInterval = time.Millisecond
)

// BrokenConnError reports an answer whose connection ended before the other side had received the whole request. An answer that ends with
// its connection is then not known to be complete.
type BrokenConnError struct {
	Reason string
}

func (e *BrokenConnError) Error() string {
	return "dialer: unable to read the answer to its end: " + e.Reason
}

// endConn is a connection whose reader learns whether it ended regularly. The kernel reports a reset to one system call only. If that is
// a write, or if the end of the other side's bytes came before the reset, the next read gets io.EOF, which is the regular end of an
// answer without a length.
type endConn struct {
	net.Conn
	clock clockwork.Clock
	// state returns what the kernel knows of the connection.
	state func() tcpState
	mu    sync.Mutex
	// isSending is set while a request is being written, also between two of its writes. isWriting is set during a write.
	isSending bool
	isWriting bool
	// writeErr is the first error of a write.
	writeErr error
}

func newEndConn(conn net.Conn) net.Conn {
	return &endConn{Conn: conn, clock: clockwork.NewRealClock(), state: func() tcpState { return tcpStateOf(conn) }}
}

// endConnOf returns the endConn of a connection that a client of this package uses.
func endConnOf(conn net.Conn) *endConn {
	if secured, ok := conn.(*tls.Conn); ok {
		conn = secured.NetConn()
	}
	if head, ok := conn.(*headConn); ok {
		conn = head.Conn
	}
	return conn.(*endConn)
}

// setSending tells whether a request is being written.
func (c *endConn) setSending(isSending bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.isSending = isSending
}

// Write implements net.Conn.
func (c *endConn) Write(b []byte) (int, error) {
	c.mu.Lock()
	c.isWriting = true
	c.mu.Unlock()
	n, err := c.Conn.Write(b)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.isWriting = false
	if c.writeErr == nil {
		c.writeErr = err
	}
	return n, err
}

// Read implements net.Conn. The error is a *BrokenConnError in place of io.EOF if the connection is broken.
func (c *endConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if errors.Is(err, io.EOF) {
		if broken := c.checkEnd(); broken != nil {
			return n, broken
		}
	}
	return n, err
}

// checkEnd returns a *BrokenConnError if the connection is broken, once the other side has sent its last byte. It waits while the other
// side has not received the whole request: if it has closed the connection, it answers the next bytes with a reset.
func (c *endConn) checkEnd() error {
	for waited := time.Duration(0); ; waited += endCheckInterval {
		isReceived, err := c.isReceived()
		if err != nil || isReceived || waited >= endCheckTimeout {
			return err
		}
		c.clock.Sleep(endCheckInterval)
	}
}

// isReceived reports whether the other side has received the whole request. The error is a *BrokenConnError.
func (c *endConn) isReceived() (bool, error) {
	c.mu.Lock()
	isWritten, writeErr := !c.isSending && !c.isWriting, c.writeErr
	c.mu.Unlock()
	state := c.state() // read last, as it has the bytes of writes that end meanwhile
	switch {
	case writeErr != nil:
		return false, &BrokenConnError{Reason: "unable to write the request: " + writeErr.Error()}
	case isWritten && !state.isPending:
		return true, nil
	case state.isClosed:
		return false, &BrokenConnError{Reason: "the connection was reset"}
	}
	return false, nil
}

// tcpState is what the kernel knows of a TCP connection.
type tcpState struct {
	// isClosed is set once both directions have ended, as by a reset.
	isClosed bool
	// isPending is set if the other side has not acknowledged all bytes.
	isPending bool
}
