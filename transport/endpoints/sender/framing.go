package sender

import (
	"context"
	"errors"
	"mime"
	"net"
	"net/http"
	"os"
	"syscall"
	"time"

	"github.com/hornbeamspan/hornbeamspan/transport/endpoints/discoverer"
)

// Framing is what delimits the body of an answer.
type Framing string

// The framings of an answer.
const (
	FramedByLength Framing = "length"
	FramedByChunks Framing = "chunks"
	// FramedByClose is the framing of a body that ends with its connection, whole or not.
	FramedByClose Framing = "close"
)

// FramingOf returns the framing of an answer.
func FramingOf(resp *http.Response) Framing {
	switch {
	case resp.ContentLength >= 0:
		return FramedByLength
	case len(resp.TransferEncoding) > 0:
		return FramedByChunks
	}
	return FramedByClose
}

const (
	// endCheckTimeout bounds the check whether an endpoint has ended.
	endCheckTimeout = 100 * time.Millisecond
	// endCheckWait is how long a new connection must stay open. The kernel closes the sockets of a process that is killed one after
	// the other, and may accept connections for it in between.
	endCheckWait = 10 * time.Millisecond
)

// HasEnded reports whether an endpoint refuses connections, or closes a new one at once. One that does not answer in time may be slow, or
// cut off.
func (s *Sender) HasEnded(ctx context.Context, e *discoverer.Endpoint) bool {
	ctx, cancel := context.WithTimeout(ctx, endCheckTimeout)
	defer cancel()
	conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", e.Address.String())
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED)
	}
	defer conn.Close()
	_ = conn.SetReadDeadline(s.Clock.Now().Add(endCheckWait))
	_, err = conn.Read(make([]byte, 1))
	return err != nil && !errors.Is(err, os.ErrDeadlineExceeded)
}

// IsDocument reports whether the body of an answer is a JSON document, which has an end of its own.
func IsDocument(resp *http.Response) bool {
	kind, _, err := mime.ParseMediaType(resp.Header.Get("Content-Type"))
	return err == nil && kind == "application/json"
}
