// Package dialer creates HTTP clients with explicit limits and without the retries, redirects, proxies and circuit breakers
// that the libraries enable by default.
package dialer

import (
	"context"
	"crypto/tls"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"github.com/zeromicro/go-zero/core/breaker"
	"github.com/zeromicro/go-zero/rest/httpc"
)

const (
	// ConnectTimeout bounds the time for connecting to an endpoint.
	ConnectTimeout = time.Second
	// idleTimeout is how long an idle connection is kept open.
	idleTimeout = 30 * time.Second
	// probeIdle, probeInterval and probeCount configure TCP keep-alive probes. A connection to an unresponsive peer is
	// closed about three seconds after its last packet, sooner than most call time-outs.
	probeIdle     = time.Second
	probeInterval = time.Second
	probeCount    = 2
	// maxIdleConnsPerEndpoint is the number of idle connections kept open to one endpoint.
	maxIdleConnsPerEndpoint = 64
	// maxHeaderBytes bounds the response headers, including those of interim (1xx) responses.
	maxHeaderBytes = 32 << 10
)

// Client sends HTTP requests to endpoints and the platform.
type Client struct {
	service httpc.Service
}

// New returns a client that reuses connections. Use NewAtMostOnce for calls that must not run twice.
func New(name string, tls *tls.Config) *Client {
	return newClient(name, &http.Transport{
		TLSClientConfig:     tls,
		DialContext:         newDialContext(),
		DisableCompression:  true,
		MaxIdleConnsPerHost: maxIdleConnsPerEndpoint,
		IdleConnTimeout:     idleTimeout,

		MaxResponseHeaderBytes: maxHeaderBytes,
	})
}

// NewAtMostOnce returns a client for calls that must not run twice. It opens a new connection for each call, because
// http.Transport resends a request on its own when a reused connection is closed.
func NewAtMostOnce(name string, tls *tls.Config) *Client {
	return newClient(name, &http.Transport{
		TLSClientConfig:    tls,
		DialContext:        boundHeads(newDialContext()),
		DisableCompression: true,
		DisableKeepAlives:  true,

		MaxResponseHeaderBytes: maxHeaderBytes,
	})
}

// dialFunc opens a connection to an address of a network.
type dialFunc func(ctx context.Context, network, address string) (net.Conn, error)

func newDialContext() dialFunc {
	dialer := &net.Dialer{
		Timeout:         ConnectTimeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: probeIdle, Interval: probeInterval, Count: probeCount},
	}
	return wrapConns(dialer.DialContext, newEndConn)
}

// boundHeads bounds the head of the first answer on each connection.
func boundHeads(dial dialFunc) dialFunc {
	return wrapConns(dial, func(conn net.Conn) net.Conn { return &headConn{Conn: conn} })
}

// wrapConns returns dial with wrap applied to each connection.
func wrapConns(dial dialFunc, wrap func(net.Conn) net.Conn) dialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return wrap(conn), nil
	}
}

func newClient(name string, t *http.Transport) *Client {
	breaker.NoBreakerFor(name)
	return &Client{service: httpc.NewServiceWithClient(name, &http.Client{
		Transport:     t,
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	})}
}

// Do sends r. Sent is false if no connection was established, so that the other side cannot have received any of r. The error is an
// *InvalidAnswerError if there is an answer that must not be used.
func (c *Client) Do(r *http.Request) (resp *http.Response, sent bool, err error) {
	var connected atomic.Pointer[endConn]
	trace := &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			conn := endConnOf(info.Conn)
			conn.setSending(true)
			connected.Store(conn)
		},
		WroteRequest: func(httptrace.WroteRequestInfo) { connected.Load().setSending(false) },
	}
	r = r.WithContext(httptrace.WithClientTrace(r.Context(), trace))
	resp, err = c.service.DoRequest(r)
	if err == nil {
		if err = checkAnswer(resp); err != nil {
			_ = resp.Body.Close()
			resp = nil
		}
	}
	return resp, connected.Load() != nil, err
}

// OneShotBody hides the type of a request body, so that http.Transport cannot rewind and resend it.
type OneShotBody struct {
	io.Reader
}

// Close does nothing: the caller owns the underlying reader.
func (OneShotBody) Close() error { return nil }

// Request returns a request whose body cannot be resent by http.Transport.
func Request(ctx context.Context, method, url string, body io.Reader, length int64) (*http.Request, error) {
	r, err := http.NewRequestWithContext(ctx, method, url, nil)
	if err != nil {
		return nil, err
	}
	if body != nil && length != 0 {
		r.Body = OneShotBody{body}
		r.ContentLength = length
	}
	return r, nil
}
