package dialer

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// startClosingServer answers the first request of each connection and closes the connection after it has read the second.
func startClosingServer(t *testing.T) (address string, runs *atomic.Int64) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	runs = new(atomic.Int64)
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go serveTwoRequests(conn, runs)
		}
	}()
	return l.Addr().String(), runs
}

func serveTwoRequests(conn net.Conn, runs *atomic.Int64) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for i := range 2 {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		if r.Method == http.MethodPost {
			runs.Add(1)
		}
		if i == 0 {
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
		}
	}
}

func drain(resp *http.Response, err error) {
	if err == nil {
		_, _ = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
	}
}

func TestDefaultTransportSendsAPostWithAnIdempotencyKeyTwice(t *testing.T) {
	address, runs := startClosingServer(t)
	client := &http.Client{Transport: &http.Transport{}}
	drain(client.Get("http://" + address))
	r, err := http.NewRequest(http.MethodPost, "http://"+address, strings.NewReader("ticket"))
	require.NoError(t, err)
	r.Header.Set("Idempotency-Key", "k")
	drain(client.Do(r))
	assert.Equal(t, int64(2), runs.Load())
}

func testSentOnce(t *testing.T, client *Client, body string) {
	address, runs := startClosingServer(t)
	get, err := Request(context.Background(), http.MethodGet, "http://"+address, nil, 0)
	require.NoError(t, err)
	resp, _, err := client.Do(get)
	drain(resp, err)
	post, err := Request(context.Background(), http.MethodPost, "http://"+address, strings.NewReader(body), int64(len(body)))
	require.NoError(t, err)
	post.Header.Set("Idempotency-Key", "k")
	resp, sent, err := client.Do(post)
	drain(resp, err)
	assert.True(t, sent)
	assert.Equal(t, int64(1), runs.Load())
}

func TestAtMostOnceClientSendsAPostOnce(t *testing.T) {
	testSentOnce(t, NewAtMostOnce("test-once", nil), "ticket")
}

func TestAtMostOnceClientSendsAPostWithoutABodyOnce(t *testing.T) {
	testSentOnce(t, NewAtMostOnce("test-once-empty", nil), "")
}

func TestSharedClientSendsAPostWithABodyOnce(t *testing.T) {
	testSentOnce(t, New("test-shared", nil), "record")
}

func TestRefusedConnectionIsReportedAsNotSent(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	address := l.Addr().String()
	require.NoError(t, l.Close())
	r, err := Request(context.Background(), http.MethodPost, "http://"+address, strings.NewReader("x"), 1)
	require.NoError(t, err)
	_, sent, err := NewAtMostOnce("test-refused", nil).Do(r)
	assert.Error(t, err)
	assert.False(t, sent)
}

func TestRedirectsAreNotFollowed(t *testing.T) {
	var followed atomic.Int64
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/other" {
			followed.Add(1)
			return
		}
		http.Redirect(w, r, "/other", http.StatusTemporaryRedirect)
	}))
	defer server.Close()
	r, err := Request(context.Background(), http.MethodPost, server.URL+"/tickets", strings.NewReader("x"), 1)
	require.NoError(t, err)
	resp, _, err := NewAtMostOnce("test-redirect", nil).Do(r)
	require.NoError(t, err)
	defer resp.Body.Close()
	assert.Equal(t, http.StatusTemporaryRedirect, resp.StatusCode)
	assert.Zero(t, followed.Load())
}

func TestFailuresDoNotTripACircuitBreaker(t *testing.T) {
	var calls atomic.Int64
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		calls.Add(1)
		w.WriteHeader(http.StatusInternalServerError)
	}))
	defer server.Close()
	client := New("test-breaker", nil)
	for range 300 {
		r, err := Request(context.Background(), http.MethodGet, server.URL, nil, 0)
		require.NoError(t, err)
		resp, _, err := client.Do(r)
		require.NoError(t, err)
		drain(resp, nil)
	}
	assert.Equal(t, int64(300), calls.Load())
}

func TestProxySettingsOfTheEnvironmentAreIgnored(t *testing.T) {
	t.Setenv("HTTP_PROXY", "http://192.0.2.1:1")
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	defer server.Close()
	r, err := Request(context.Background(), http.MethodGet, server.URL, nil, 0)
	require.NoError(t, err)
	resp, _, err := New("test-proxy", nil).Do(r)
	require.NoError(t, err)
	drain(resp, nil)
}
