package listener

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"github.com/zeromicro/go-zero/rest"
)

// longerThanDefault exceeds go-zero's default time-out for a handler.
const longerThanDefault = 3200 * time.Millisecond

func listen(t *testing.T, h http.HandlerFunc) *Listener {
	l, err := Listen(Options{
		Name: "test", Address: netip.MustParseAddrPort("127.0.0.1:0"),
		Routes: []rest.Route{{Method: http.MethodPost, Path: "/", Handler: h}},
	})
	require.NoError(t, err)
	t.Cleanup(l.Close)
	return l
}

func post(l *Listener, body io.Reader) (string, error) {
	resp, err := http.Post(fmt.Sprintf("http://%s/", l.Address()), "text/plain", body)
	if err != nil {
		return "", err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return string(data), err
}

func TestAHandlerMayRunLongerThanTheDefaultTimeoutOfGoZero(t *testing.T) {
	l := listen(t, func(w http.ResponseWriter, _ *http.Request) {
		time.Sleep(longerThanDefault)
		_, _ = io.WriteString(w, "whole")
	})
	answer, err := post(l, nil)
	require.NoError(t, err)
	assert.Equal(t, "whole", answer)
}

func TestABodyMayExceedTheDefaultLimitOfGoZero(t *testing.T) {
	const size = 3 << 20
	l := listen(t, func(w http.ResponseWriter, r *http.Request) {
		n, _ := io.Copy(io.Discard, r.Body)
		_, _ = fmt.Fprint(w, n)
	})
	answer, err := post(l, bytes.NewReader(make([]byte, size)))
	require.NoError(t, err)
	assert.Equal(t, fmt.Sprint(size), answer)
}

func TestRequestsAreNotRefusedByACircuitBreakerAfterManyFailures(t *testing.T) {
	calls := 0
	l := listen(t, func(w http.ResponseWriter, _ *http.Request) {
		calls++
		w.WriteHeader(http.StatusInternalServerError)
	})
	for range 300 {
		_, err := post(l, nil)
		require.NoError(t, err)
	}
	assert.Equal(t, 300, calls)
}

func TestAnAbortedAnswerIsNotTerminatedRegularly(t *testing.T) {
	l := listen(t, func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, "part")
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	})
	_, err := post(l, nil)
	assert.True(t, errors.Is(err, io.ErrUnexpectedEOF))
}

func TestShutdownWaitsForRequestsInFlight(t *testing.T) {
	entered := make(chan struct{})
	leave := make(chan struct{})
	l := listen(t, func(w http.ResponseWriter, _ *http.Request) {
		close(entered)
		<-leave
		_, _ = io.WriteString(w, "whole")
	})
	answers := make(chan string)
	go func() {
		answer, _ := post(l, nil)
		answers <- answer
	}()
	<-entered
	stopped := make(chan error)
	go func() { stopped <- l.Shutdown(context.Background()) }()
	<-l.Done()
	close(leave)
	assert.Equal(t, "whole", <-answers)
	assert.NoError(t, <-stopped)
}

func TestNewLimitsApplyToNewConnectionsOnly(t *testing.T) {
	release := make(chan struct{})
	l := listen(t, func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get("Wait") != "" {
			<-release
		}
		_, _ = io.WriteString(w, "whole")
	})
	waiting, err := http.NewRequest(http.MethodPost, fmt.Sprintf("http://%s/", l.Address()), nil)
	require.NoError(t, err)
	waiting.Header.Set("Wait", "1")
	answers := make(chan string, 1)
	go func() {
		resp, err := http.DefaultClient.Do(waiting)
		if err != nil {
			answers <- err.Error()
			return
		}
		defer resp.Body.Close()
		data, _ := io.ReadAll(resp.Body)
		answers <- string(data)
	}()
	l.SetLimits(Limits{HeaderBytes: 1024})
	long, err := http.NewRequest(http.MethodPost, fmt.Sprintf("http://%s/", l.Address()), nil)
	require.NoError(t, err)
	long.Header.Set("Long", strings.Repeat("x", 16<<10))
	resp, err := (&http.Client{Transport: &http.Transport{}}).Do(long)
	require.NoError(t, err)
	_ = resp.Body.Close()
	assert.Equal(t, http.StatusRequestHeaderFieldsTooLarge, resp.StatusCode)
	close(release)
	assert.Equal(t, "whole", <-answers)
}

// A server that was just replaced may be about to call Accept again when the next connection arrives.
func TestAConnectionAfterNewLimitsIsNeverAcceptedByThePreviousServer(t *testing.T) {
	l := &Listener{conns: make(chan net.Conn, 1), closed: make(chan struct{})}
	previous := &serverListener{listener: l, closed: make(chan struct{})}
	previous.stop()
	current := &serverListener{listener: l, closed: make(chan struct{})}
	conn, other := net.Pipe()
	defer conn.Close()
	defer other.Close()
	for range 100 {
		l.conns <- conn
		_, err := previous.Accept()
		require.ErrorIs(t, err, net.ErrClosed)
		accepted, err := current.Accept()
		require.NoError(t, err)
		require.Equal(t, conn, accepted)
	}
}
