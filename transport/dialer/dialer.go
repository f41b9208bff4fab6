// Package dialer makes HTTP clients whose retries, redirects, proxies, limits and breakers are set on purpose.
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
	// ConnectTimeout bounds the connecting to an endpoint.
	ConnectTimeout = time.Second
	// idleTimeout is how long an unused connection is kept.
	idleTimeout = 30 * time.Second
	// probeAfter and probePeriod are the times of keep-alive probes. A connection that went silent ends after three
	// unanswered ones, sooner than most bounds on calls.
	probeIdle     = time.Second
	probeInterval = time.Second
	probeCount    = 2
	// idleConnections is how many unused connections to one endpoint are kept.
	maxIdleConnsPerEndpoint = 64
	// maxHeadBytes bounds the head of an answer, interim answers included.
	maxHeaderBytes = 64 << 10
)

// Client sends requests to endpoints and the platform.
type Client struct {
	service httpc.Service
}

// New returns a client that reuses connections.
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

// NewOnce returns a client for calls that must not run twice. Each call has a connection of its own, because
// http.Transport replays a request by itself on a reused connection that dies.
func NewAtMostOnce(name string, tls *tls.Config) *Client {
	return newClient(name, &http.Transport{
		TLSClientConfig:    tls,
		DialContext:        newDialContext(),
		DisableCompression: true,
		DisableKeepAlives:  true,

		MaxResponseHeaderBytes: maxHeaderBytes,
	})
}

func newDialContext() func(context.Context, string, string) (net.Conn, error) {
	return (&net.Dialer{
		Timeout:         ConnectTimeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: probeIdle, Interval: probeInterval, Count: probeCount},
	}).DialContext
}

func newClient(name string, t *http.Transport) *Client {
	breaker.NoBreakerFor(name)
	return &Client{service: httpc.NewServiceWithClient(name, &http.Client{
		Transport:     t,
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	})}
}

// Do sends r. Sent is false if no byte of r can have reached the other side.
func (c *Client) Do(r *http.Request) (resp *http.Response, sent bool, err error) {
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	r = r.WithContext(httptrace.WithClientTrace(r.Context(), trace))
	resp, err = c.service.DoRequest(r)
	return resp, connected.Load(), err
}

// Body hides the type of a request body, so that http.Transport cannot rewind and send it again.
type OneShotBody struct {
	io.Reader
}

// Close does nothing.
func (OneShotBody) Close() error { return nil }

// Request returns a request whose body cannot be replayed.
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
