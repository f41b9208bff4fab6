package daemon

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/hornbeamspan/hornbeamspan/lab/emulator"
)

// connect opens a TCP connection to the callers' address of host i.
func (r *rig) connect(i int) net.Conn {
	conn, err := net.Dial("tcp", r.settings[i].Callers.String())
	require.NoError(r.t, err)
	r.t.Cleanup(func() { _ = conn.Close() })
	return conn
}

// lookupRequest returns the text of a lookup request, with further header lines in more.
func lookupRequest(id int, more string) string {
	return fmt.Sprintf("GET /lookup/%d HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: conn-%d\r\nDeadline-Ms: 2000\r\n%s\r\n", id, id, more)
}

// roundTrip sends a request on a connection and returns the status of the answer, 0 if the connection was closed.
func roundTrip(t *testing.T, conn net.Conn, text string) int {
	t.Helper()
	require.NoError(t, conn.SetDeadline(time.Now().Add(awaitTimeout)))
	if _, err := io.WriteString(conn, text); err != nil {
		return 0
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	_, err = io.ReadAll(resp.Body)
	require.NoError(t, err)
	return resp.StatusCode
}

// isClosed reports whether the host closes a connection within limit.
func isClosed(t *testing.T, conn net.Conn, limit time.Duration) bool {
	t.Helper()
	require.NoError(t, conn.SetReadDeadline(time.Now().Add(limit)))
	_, err := io.Copy(io.Discard, conn)
	return !errors.Is(err, os.ErrDeadlineExceeded)
}

func TestConnectionsWithoutARequestOrWithIncompleteHeadersAreClosed(t *testing.T) {
	r := newRig(t, sizes{hosts: 1, plain: 1})
	r.headerTimeoutMs = 300
	r.configureAndAwait()
	idle, partial := r.connect(0), r.connect(0)
	_, err := io.WriteString(partial, "GET /lookup/1 HTTP/1.1\r\nHost: sh")
	require.NoError(t, err)
	assert.True(t, isClosed(t, idle, 2*time.Second))
	assert.True(t, isClosed(t, partial, 2*time.Second))
	assert.Zero(t, r.plain[0].RequestCount())
}

func TestAPersistentConnectionIsReusedAndClosedWhenIdle(t *testing.T) {
	r := newRig(t, sizes{hosts: 1, plain: 1})
	r.idleTimeoutMs = 400
	r.configureAndAwait()
	conn := r.connect(0)
	for i := range 5 {
		assert.Equal(t, http.StatusOK, roundTrip(t, conn, lookupRequest(i, "")))
	}
	assert.True(t, isClosed(t, conn, 3*time.Second))
	assert.Equal(t, 5, r.plain[0].RequestCount())
}

func TestAnIncompleteBodyIsNotForwarded(t *testing.T) {
	r := newRig(t, sizes{hosts: 1, plain: 1})
	r.configureAndAwait()
	conn := r.connect(0)
	_, err := io.WriteString(conn, "POST /submit/ HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: half\r\nDeadline-Ms: 500\r\nContent-Length: 100\r\n\r\nhalf a body")
	require.NoError(t, err)
	_ = isClosed(t, conn, 1500*time.Millisecond)
	require.NoError(t, conn.Close())
	assert.Equal(t, http.StatusOK, r.call(0, http.MethodGet, "/lookup/1", "").status)
	assert.Equal(t, 1, r.plain[0].RequestCount(), "only the lookup")
}

func TestACallerThatSendsItsBodySlowlyIsServed(t *testing.T) {
	r := newRig(t, sizes{hosts: 1, plain: 1})
	r.configureAndAwait()
	conn := r.connect(0)
	body := strings.Repeat("slow ", 20)
	_, err := fmt.Fprintf(conn, "POST /submit/ HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: slow\r\nDeadline-Ms: 5000\r\nContent-Length: %d\r\n\r\n", len(body))
	require.NoError(t, err)
	for i := range len(body) - 1 {
		_, err = io.WriteString(conn, body[i:i+1])
		require.NoError(t, err)
		time.Sleep(2 * time.Millisecond)
	}
	assert.Equal(t, http.StatusOK, roundTrip(t, conn, body[len(body)-1:]))
	assert.Equal(t, body, r.plain[0].Runs()[0].Body)
}

func TestACallerThatReadsSlowlyGetsItsWholeStreamAndDelaysNoOtherCaller(t *testing.T) {
	r := newRig(t, sizes{hosts: 1, prefill: 1, decode: 1, plain: 1})
	r.configureAndAwait()
	resp, err := http.DefaultClient.Do(r.request(context.Background(), 0, http.MethodPost, "/brief/x", "b"))
	require.NoError(t, err)
	defer resp.Body.Close()
	var got strings.Builder
	one := make([]byte, 1)
	for {
		n, err := resp.Body.Read(one)
		got.Write(one[:n])
		if err != nil {
			require.ErrorIs(t, err, io.EOF)
			break
		}
		if got.Len()%20 == 0 {
			assert.Equal(t, http.StatusOK, r.call(0, http.MethodGet, "/lookup/1", "").status)
		}
	}
	assert.Equal(t, emulator.Events(streamEvents), got.String())
}

func TestResetsOfCallersConnectionsReleaseAllMemory(t *testing.T) {
	r := newRig(t, sizes{hosts: 1, prefill: 1, decode: 1})
	r.configureAndAwait()
	r.decode[0].SetFault(emulator.Hang)
	var conns []net.Conn
	for i := range 3 {
		conn := r.connect(0)
		_, err := fmt.Fprintf(conn, "POST /brief/x HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: reset-%d\r\nDeadline-Ms: 2500\r\nModel: m\r\n"+
			"Token-Count: 2000,2000\r\nLength-Hint: 300\r\nContent-Length: 1\r\n\r\nb", i)
		require.NoError(t, err)
		conns = append(conns, conn)
	}
	r.await("the runs", func() bool { return len(r.decode[0].Runs()) == 3 })
	for _, conn := range conns {
		require.NoError(t, conn.(*net.TCPConn).SetLinger(0)) // makes Close reset the connection
		require.NoError(t, conn.Close())
	}
	r.awaitMemory()
}

// Without a limit, a thousand idle connections would use up the file descriptors that the host needs for endpoints and
// the store.
func TestIdleConnectionsUseOnlyTheirShareOfTheFileDescriptors(t *testing.T) {
	r := newRig(t, sizes{plain: 1})
	r.maxFiles = 100
	r.addHost()
	r.configureAndAwait()
	const share = 40
	var conns []net.Conn
	for i := range 3 * share {
		conn := r.connect(0)
		require.Equal(t, http.StatusOK, roundTrip(t, conn, lookupRequest(i, "")), "a new caller is served although others are idle")
		conns = append(conns, conn)
	}
	for _, conn := range conns[:2*share] {
		assert.True(t, isClosed(t, conn, 2*time.Second), "the connections that were idle longest")
	}
	assert.Equal(t, http.StatusOK, roundTrip(t, conns[len(conns)-1], lookupRequest(1000, "")))
}

func TestConnectionsWithARequestAreNotClosedForNewOnes(t *testing.T) {
	r := newRig(t, sizes{plain: 1, prefill: 1, decode: 1})
	r.maxFiles = 10
	r.addHost()
	r.configureAndAwait()
	r.decode[0].SetFault(emulator.Hang)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	for range 4 {
		go r.send(r.request(ctx, 0, http.MethodPost, "/brief/x", "b"))
	}
	r.await("all slots in use", func() bool { return len(r.decode[0].Runs()) == 4 })
	assert.Zero(t, roundTrip(t, r.connect(0), lookupRequest(1, "")), "the connection is closed and nothing ran")
	assert.Zero(t, r.plain[0].RequestCount())
	_, _, active := r.decode[0].Reserved()
	assert.Equal(t, 4, active)
}

func TestAnAnswerBeforeTheEndOfALongBodyIsForwarded(t *testing.T) {
	r := newRig(t, sizes{hosts: 1, plain: 1})
	r.configureAndAwait()
	r.plain[0].SetFault(emulator.EarlyAnswer)
	got := r.call(0, http.MethodPost, "/submit/", strings.Repeat("x", 1<<16))
	assert.Equal(t, http.StatusRequestEntityTooLarge, got.status)
	r.plain[0].SetFault(emulator.Healthy)
	assert.Equal(t, http.StatusOK, r.call(0, http.MethodPost, "/submit/", "x").status)
}

func TestALeaseWhoseAnswerFromTheStoreIsLostIsTakenByOnlyOneHost(t *testing.T) {
	r := newRig(t, sizes{hosts: 3, prefill: 0, decode: 3})
	r.configureAndAwait()
	r.store.LoseAnswers(1)
	for i := range 3 {
		r.call(i, http.MethodPost, "/brief/x", "b")
	}
	r.await("a prefill engine", func() bool { return len(r.orders()) > 0 })
	time.Sleep(300 * time.Millisecond) // the stage change and the owner's next load report
	assert.Len(t, r.orders(), 1)
}

func TestAnOrderThatIsExecutedLateIsNotSentTwice(t *testing.T) {
	r := newRig(t, sizes{hosts: 3, prefill: 0, decode: 3})
	r.configureAndAwait()
	for _, e := range r.decode {
		e.SetOrderDelay(time.Second) // longer than the sender's timeout and the lease
	}
	for i := range 3 {
		r.call(i, http.MethodPost, "/brief/x", "b")
	}
	r.await("a prefill engine", func() bool { return len(r.orders()) > 0 })
	time.Sleep(1500 * time.Millisecond) // a second order would have been accepted by then
	assert.Len(t, r.orders(), 1)
}

func TestAnUnsolicitedAnswerOfAnEndpointIsNotForwarded(t *testing.T) {
	r := newRig(t, sizes{hosts: 1, plain: 1})
	r.configureAndAwait()
	r.plain[0].SetFault(emulator.ExtraAnswer)
	conn := r.connect(0)
	for i := range 5 {
		require.NoError(t, conn.SetDeadline(time.Now().Add(awaitTimeout)))
		_, err := io.WriteString(conn, lookupRequest(i, ""))
		require.NoError(t, err)
		resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
		require.NoError(t, err)
		body, err := io.ReadAll(resp.Body)
		require.NoError(t, err)
		assert.Equal(t, fmt.Sprintf("answer to conn-%d", i), string(body))
	}
}

func TestASystemWhoseHostsAllStoppedServesAgainAfterTheirRestart(t *testing.T) {
	r := newRig(t, sizes{hosts: 3, prefill: 1, decode: 2, plain: 1})
	r.configureAndAwait()
	assert.True(t, r.call(0, http.MethodPost, "/brief/x", "b").complete)
	for _, rh := range r.hosts {
		rh.Close(context.Background())
	}
	for range 3 {
		r.addHost() // their seeds are the stopped hosts and each other
	}
	r.await("the new hosts to list each other", func() bool { return r.listEachOther(3, 4, 5) })
	for i := 3; i < 6; i++ {
		got := r.call(i, http.MethodPost, "/brief/x", "b")
		assert.Equal(t, emulator.Events(streamEvents), got.body)
		assert.Equal(t, http.StatusOK, r.call(i, http.MethodPost, "/submit/", "x").status)
	}
}

// Callers of HTTP/1.0 have nothing but the end of the connection to tell them that an answer is complete.
func TestABrokenStreamEndsWithAResetForCallersOfHTTP10(t *testing.T) {
	for fault, isWhole := range map[emulator.Fault]bool{emulator.Healthy: true, emulator.Truncate: false, emulator.CutUnframed: false} {
		r := newRig(t, sizes{hosts: 1, prefill: 1, decode: 1})
		r.configureAndAwait()
		r.decode[0].SetFault(fault)
		conn := r.connect(0)
		require.NoError(t, conn.SetDeadline(time.Now().Add(awaitTimeout)))
		_, err := io.WriteString(conn, "POST /brief/x HTTP/1.0\r\nHost: shop.example\r\nRequest-Id: old\r\nDeadline-Ms: 2000\r\nModel: m\r\n"+
			"Token-Count: 2000,2000\r\nContent-Length: 1\r\n\r\nb")
		require.NoError(t, err)
		data, err := io.ReadAll(conn)
		if isWhole {
			assert.NoError(t, err)
			assert.True(t, strings.HasSuffix(string(data), emulator.Events(streamEvents)))
		} else {
			assert.ErrorIs(t, err, syscall.ECONNRESET, "%s: %s", fault, data)
		}
		r.close()
	}
}
