package listener

import (
	"net"
	"time"
)

const (
	// callerStallTimeout bounds how long a write to a caller waits until the caller reads. A caller that reads steadily at a few
	// kilobytes a second is served; the kernel may announce its reads in steps of 64 KiB only. One that reads nothing must not hold
	// memory for ever.
	callerStallTimeout = 20 * time.Second
	// writeChunkBytes of an answer must be written within callerStallTimeout.
	writeChunkBytes = 16 << 10
)

// Write implements net.Conn. The error of a caller that does not read is os.ErrDeadlineExceeded. The server answers a header that ends early
// with 400, but a connection that is replaced inside one is only closed: its caller made no mistake.
func (c *callerConn) Write(b []byte) (int, error) {
	if c.isReplacedInHeader() {
		return 0, net.ErrClosed
	}
	written := 0
	for {
		chunk := b[written:min(len(b), written+writeChunkBytes)]
		if err := c.SetWriteDeadline(c.clock.Now().Add(callerStallTimeout)); err != nil {
			return written, err
		}
		n, err := c.Conn.Write(chunk)
		if written += n; err != nil || written == len(b) {
			return written, err
		}
	}
}
