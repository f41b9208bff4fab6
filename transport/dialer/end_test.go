package dialer

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// uploadBytes is the size of a request body that is larger than the buffers of a connection.
const uploadBytes = 1 << 30

// serveEarly starts a server that answers as soon as it has read the head of a request, and passes the connection to end.
func serveEarly(t *testing.T, answer string, end func(*net.TCPConn)) (url string) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		defer conn.Close()
		if _, err := http.ReadRequest(bufio.NewReaderSize(conn, 16)); err != nil {
			return
		}
		_, _ = io.WriteString(conn, answer)
		end(conn.(*net.TCPConn))
	}()
	return "http://" + l.Addr().String() + "/"
}

// upload is a request body whose first bytes are sent at once and whose rest is sent once goOn is closed. The client closes it when a
// write has failed, before it closes the connection; the close waits for isRead.
type upload struct {
	isBegun  bool
	goOn     chan struct{}
	isFailed chan struct{}
	isRead   chan struct{}
}

func newUpload() *upload {
	return &upload{goOn: make(chan struct{}), isFailed: make(chan struct{}), isRead: make(chan struct{})}
}

// Read implements io.Reader.
func (u *upload) Read(b []byte) (int, error) {
	if u.isBegun {
		<-u.goOn
	}
	u.isBegun = true
	return len(b), nil
}

// Close implements io.Closer.
func (u *upload) Close() error {
	close(u.isFailed)
	<-u.isRead
	return nil
}

// reset resets the connection.
func reset(conn *net.TCPConn) {
	_ = conn.SetLinger(0)
	_ = conn.Close()
}

// closeEmpty closes the connection when there is nothing to read. The kernel resets it only once more bytes arrive.
func closeEmpty(conn *net.TCPConn) {
	_ = conn.SetReadDeadline(time.Now().Add(20 * time.Millisecond))
	_, _ = io.Copy(io.Discard, conn)
	_ = conn.Close()
}

// An endpoint sent a part of an answer without a length and reset the connection while the request was still being written. The write
// got the reset, the read after it a regular end, and the part was taken for the whole answer.
func TestAnAnswerWithoutALengthIsNotCompleteIfAWriteHasFailed(t *testing.T) {
	for _, end := range []func(*net.TCPConn){reset, closeEmpty} {
		for name, c := range map[string]*Client{"shared": New("test-reset-shared", nil), "once": NewAtMostOnce("test-reset-once", nil)} {
			isEnded := make(chan struct{})
			url := serveEarly(t, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\npart", func(conn *net.TCPConn) {
				end(conn)
				close(isEnded)
			})
			body := newUpload()
			r, err := http.NewRequestWithContext(t.Context(), http.MethodPost, url, body)
			require.NoError(t, err)
			r.ContentLength = uploadBytes
			resp, _, err := c.Do(r)
			require.NoError(t, err)
			<-isEnded
			close(body.goOn)
			<-body.isFailed
			got, err := io.ReadAll(resp.Body)
			assert.Error(t, err, name)
			assert.Equal(t, "part", string(got))
			close(body.isRead)
			_ = resp.Body.Close()
		}
	}
}

// A server may end its answer, and with it its side of the connection, before it has read the request.
func TestAnAnswerWithoutALengthIsCompleteIfOnlyItsSideOfTheConnectionEnds(t *testing.T) {
	const requestBytes = 8 << 20
	isRead := make(chan struct{})
	defer close(isRead)
	for name, read := range map[string]func(*net.TCPConn){
		"nothing": func(*net.TCPConn) {},
		"all":     func(conn *net.TCPConn) { _, _ = io.CopyN(io.Discard, conn, requestBytes) },
	} {
		url := serveEarly(t, "HTTP/1.1 200 OK\r\n\r\nwhole", func(conn *net.TCPConn) {
			_ = conn.CloseWrite()
			read(conn)
			<-isRead
		})
		r, err := Request(t.Context(), http.MethodPost, url, strings.NewReader(strings.Repeat("x", requestBytes)), requestBytes)
		require.NoError(t, err)
		resp, _, err := NewAtMostOnce("test-half", nil).Do(r)
		require.NoError(t, err)
		got, err := io.ReadAll(resp.Body)
		require.NoError(t, err, name)
		assert.Equal(t, "whole", string(got))
		_ = resp.Body.Close()
	}
}

// endedConn is a connection whose other side has sent its last byte.
type endedConn struct {
	net.Conn
	writeErr error
}

// Read implements net.Conn.
func (endedConn) Read([]byte) (int, error) { return 0, io.EOF }

// Write implements net.Conn.
func (c endedConn) Write(b []byte) (int, error) { return len(b), c.writeErr }

// readWhileSending reads from a connection between two writes of a request. The second write returns writeErr, and the connection has the
// given state from then on.
func readWhileSending(t *testing.T, writeErr error, then tcpState) error {
	clock := clockwork.NewFakeClock()
	var state atomic.Value
	state.Store(tcpState{})
	c := &endConn{Conn: endedConn{writeErr: writeErr}, clock: clock, state: func() tcpState { return state.Load().(tcpState) }}
	c.setSending(true)
	result := make(chan error, 1)
	go func() {
		_, err := c.Read(make([]byte, 1))
		result <- err
	}()
	require.NoError(t, clock.BlockUntilContext(t.Context(), 1))
	_, _ = c.Write([]byte("body"))
	state.Store(then)
	c.setSending(false)
	for {
		clock.Advance(endCheckInterval)
		select {
		case err := <-result:
			return err
		case <-time.After(time.Millisecond):
		}
	}
}

func TestTheEndOfAConnectionIsRegularOnlyIfTheRequestWasReceivedOrIsStillRead(t *testing.T) {
	var broken *BrokenConnError
	assert.ErrorAs(t, readWhileSending(t, syscall.ECONNRESET, tcpState{}), &broken, "the write took the reset")
	assert.ErrorAs(t, readWhileSending(t, nil, tcpState{isClosed: true, isPending: true}), &broken, "the reset came after the write")
	assert.Equal(t, io.EOF, readWhileSending(t, nil, tcpState{isClosed: true}), "all was received before the connection was lost")
	assert.Equal(t, io.EOF, readWhileSending(t, nil, tcpState{}), "all was received")
	assert.Equal(t, io.EOF, readWhileSending(t, nil, tcpState{isPending: true}), "the other side reads slowly")
}
