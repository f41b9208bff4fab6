// Package listener serves HTTP routes on one address through go-zero's rest, with every default of it set on purpose.
package listener

import (
	"context"
	"crypto/tls"
	"log"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"time"

	"github.com/joomcode/errorx"
	"github.com/zeromicro/go-zero/core/proc"
	"github.com/zeromicro/go-zero/rest"
)

const (
	// HeaderTimeout is how long a caller may take to send its headers.
	HeaderTimeout = 5 * time.Second
	// BodyTimeout is how long a caller may take to send headers and body.
	BodyTimeout = 30 * time.Second
	// IdleTimeout is how long an unused connection stays open.
	IdleTimeout = 60 * time.Second
	// MaxHeaderBytes bounds the headers of one request.
	MaxHeaderBytes = 32 << 10
	// forceQuit keeps go-zero from ending the process by itself after SIGTERM while streams are still open.
	forceQuit = 10 * 365 * 24 * time.Hour
)

// Options are the settings of one listener.
type Options struct {
	// Name stands in logs.
	Name string
	// Address is where to listen; port 0 takes a free port.
	Address netip.AddrPort
	// TLS is nil for plain HTTP.
	TLS *tls.Config
	// Routes are go-zero routes.
	Routes []rest.Route
	// Subtrees serve all paths below a prefix that ends with a slash, with any method.
	Subtrees map[string]http.HandlerFunc
}

// Listener is a running HTTP server.
type Listener struct {
	server  *http.Server
	address netip.AddrPort
	done    chan struct{}
}

// Handler returns the routes as one handler. Go-zero's own middlewares stay off: what to refuse is this system's
// decision, and its recovery would give an aborted stream a regular end.
func Handler(o Options) (http.Handler, error) {
	proc.SetTimeToForceQuit(forceQuit)
	conf := rest.RestConf{
		Host: o.Address.Addr().String(),
		Port: int(o.Address.Port()),
	}
	conf.Name = o.Name
	conf.Log.Stat = false
	server, err := rest.NewServer(conf)
	if err != nil {
		return nil, errorx.Decorate(err, "listener: unable to build %s", o.Name)
	}
	server.AddRoutes(o.Routes)
	routes, err := rest.NewServerless(server)
	if err != nil {
		return nil, errorx.Decorate(err, "listener: unable to route %s", o.Name)
	}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		for prefix, h := range o.Subtrees {
			if strings.HasPrefix(r.URL.Path, prefix) {
				h(w, r)
				return
			}
		}
		routes.Serve(w, r)
	}), nil
}

// Listen starts to serve.
func Listen(o Options) (*Listener, error) {
	handler, err := Handler(o)
	if err != nil {
		return nil, err
	}
	socket, err := net.Listen("tcp", o.Address.String())
	if err != nil {
		return nil, errorx.Decorate(err, "listener: unable to listen for %s", o.Name)
	}
	l := &Listener{
		address: socket.Addr().(*net.TCPAddr).AddrPort(),
		done:    make(chan struct{}),
		server: &http.Server{
			Handler:           handler,
			TLSConfig:         o.TLS,
			ReadHeaderTimeout: HeaderTimeout,
			ReadTimeout:       BodyTimeout,
			IdleTimeout:       IdleTimeout,
			MaxHeaderBytes:    MaxHeaderBytes,
			ErrorLog:          log.New(discard{}, "", 0),
		},
	}
	go l.serve(socket)
	return l, nil
}

// discard drops the HTTP server's notes on broken connections of callers.
type discard struct{}

func (discard) Write(p []byte) (int, error) { return len(p), nil }

func (l *Listener) serve(socket net.Listener) {
	defer close(l.done)
	if l.server.TLSConfig != nil {
		_ = l.server.ServeTLS(socket, "", "")
		return
	}
	_ = l.server.Serve(socket)
}

// Address returns the address listened on.
func (l *Listener) Address() netip.AddrPort { return l.address }

// Done is closed once no connection is accepted any more.
func (l *Listener) Done() <-chan struct{} { return l.done }

// Shutdown closes the socket and waits for requests in flight until ctx ends.
func (l *Listener) Shutdown(ctx context.Context) error {
	if err := l.server.Shutdown(ctx); err != nil {
		return errorx.Decorate(err, "listener: unable to finish all requests")
	}
	return nil
}

// Close ends all connections at once.
func (l *Listener) Close() { _ = l.server.Close() }
