// Package listener serves HTTP routes on one address through go-zero's rest, with every default of it set on purpose.
package listener

import (
	"cmp"
	"context"
	"crypto/tls"
	"errors"
	"log"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
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
	// acceptPause is the time before another try after a connection could not be accepted.
	acceptRetryDelay = 5 * time.Millisecond
	// forceQuit keeps go-zero from ending the process by itself after SIGTERM while streams are still open.
	forceQuitDelay = 10 * 365 * 24 * time.Hour
)

// Limits bound what a caller may send and how long it may take or stay idle. A limit of 0 stands for the default.
type Limits struct {
	HeaderBytes   int
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

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
	// MaxConnections bounds the open connections; 0 leaves them unbounded.
	MaxConnections int
	// Crowded is told of a new connection at that bound: it takes the place of another one, or is closed. nil: nobody is.
	OnConnectionLimit func(isClosed bool)
	// Subtrees serve all paths below a prefix that ends with a slash, with any method.
	Subtrees map[string]http.HandlerFunc
	// Clock is the system's own if nil.
	Clock clockwork.Clock
}

// Listener is a running HTTP server.
type Listener struct {
	options Options
	handler http.Handler
	socket  net.Listener
	conns   chan net.Conn
	closed  chan struct{}
	once    sync.Once
	done    chan struct{}
	mu      sync.Mutex
	// servers are one for each limits that were in force; the last one takes new connections.
	servers         []*http.Server
	serverListeners []*serverListener
	limits          Limits
	connLimiter     *connLimiter
}

// Handler returns the routes as one handler. Go-zero's own middlewares stay off: what to refuse is this system's
// decision, and its recovery would give an aborted stream a regular end.
func Handler(o Options) (http.Handler, error) {
	proc.SetTimeToForceQuit(forceQuitDelay)
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
	if o.Clock == nil {
		o.Clock = clockwork.NewRealClock()
	}
	handler, err := Handler(o)
	if err != nil {
		return nil, err
	}
	socket, err := net.Listen("tcp", o.Address.String())
	if err != nil {
		return nil, errorx.Decorate(err, "listener: unable to listen for %s", o.Name)
	}
	l := &Listener{
		options: o, handler: handler, socket: socket, conns: make(chan net.Conn),
		closed: make(chan struct{}), done: make(chan struct{}), connLimiter: newConnLimiter(o.MaxConnections),
	}
	go l.accept()
	l.serve(Limits{})
	return l, nil
}

// accept hands connections to the newest server until the socket is closed.
func (l *Listener) accept() {
	defer close(l.done)
	for {
		conn, err := l.socket.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			l.options.Clock.Sleep(acceptRetryDelay) // out of descriptors, or the caller left at once
			continue
		}
		isAdmitted, isCrowded := l.connLimiter.admit(conn)
		if isCrowded && l.options.OnConnectionLimit != nil {
			l.options.OnConnectionLimit(!isAdmitted)
		}
		if !isAdmitted {
			_ = conn.Close()
			continue
		}
		l.deliver(conn)
	}
}

// hand gives a connection to the newest server.
func (l *Listener) deliver(conn net.Conn) {
	select {
	case l.conns <- conn:
	case <-l.closed:
		_ = conn.Close()
	}
}

// Limit puts other limits in force for new connections; those that are open keep theirs.
func (l *Listener) SetLimits(limits Limits) {
	l.mu.Lock()
	same := limits == l.limits
	l.mu.Unlock()
	if !same {
		l.serve(limits)
	}
}

// serve starts a server with limits in place of the one before.
func (l *Listener) serve(limits Limits) {
	server := &http.Server{
		Handler:           l.handler,
		TLSConfig:         l.options.TLS,
		ReadHeaderTimeout: cmp.Or(limits.HeaderTimeout, HeaderTimeout),
		ReadTimeout:       max(BodyTimeout, limits.HeaderTimeout),
		IdleTimeout:       cmp.Or(limits.IdleTimeout, IdleTimeout),
		MaxHeaderBytes:    cmp.Or(limits.HeaderBytes, MaxHeaderBytes),
		ConnState:         l.connLimiter.trackState,
		ErrorLog:          log.New(discardWriter{}, "", 0),
	}
	in := &serverListener{listener: l, closed: make(chan struct{})}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.limits = limits
	for _, old := range l.serverListeners {
		old.stop()
	}
	l.servers = append(l.servers, server)
	l.serverListeners = append(l.serverListeners, in)
	go func() {
		if server.TLSConfig != nil {
			_ = server.ServeTLS(in, "", "") // returns once the intake is closed
			return
		}
		_ = server.Serve(in)
	}()
}

// intake is the part of a listener that one server accepts from.
type serverListener struct {
	listener *Listener
	once     sync.Once
	closed   chan struct{}
}

func (in *serverListener) stop() { in.once.Do(func() { close(in.closed) }) }

func (in *serverListener) isStopped() bool {
	select {
	case <-in.closed:
		return true
	default:
		return false
	}
}

// Accept returns the next connection. One that comes while the intake is stopped belongs to the next one: a select with
// both at hand would choose at random.
func (in *serverListener) Accept() (net.Conn, error) {
	if in.isStopped() {
		return nil, net.ErrClosed
	}
	select {
	case conn := <-in.listener.conns:
		if in.isStopped() {
			go in.listener.deliver(conn)
			return nil, net.ErrClosed
		}
		return conn, nil
	case <-in.closed:
		return nil, net.ErrClosed
	}
}

// Close has Accept return. The socket stays open.
func (in *serverListener) Close() error {
	in.stop()
	return nil
}

// Addr returns the socket's address.
func (in *serverListener) Addr() net.Addr { return in.listener.socket.Addr() }

// discard drops the HTTP server's notes on broken connections of callers.
type discardWriter struct{}

func (discardWriter) Write(p []byte) (int, error) { return len(p), nil }

// Address returns the address listened on.
func (l *Listener) Address() netip.AddrPort { return l.socket.Addr().(*net.TCPAddr).AddrPort() }

// Done is closed once no connection is accepted any more.
func (l *Listener) Done() <-chan struct{} { return l.done }

func (l *Listener) allServers() []*http.Server {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.servers)
}

// refuse closes the socket.
func (l *Listener) closeSocket() {
	l.once.Do(func() { close(l.closed) })
	_ = l.socket.Close()
}

// Shutdown closes the socket and waits for requests in flight until ctx ends.
func (l *Listener) Shutdown(ctx context.Context) error {
	l.closeSocket()
	for _, server := range l.allServers() {
		if err := server.Shutdown(ctx); err != nil {
			return errorx.Decorate(err, "listener: unable to finish all requests")
		}
	}
	return nil
}

// Close ends all connections at once.
func (l *Listener) Close() {
	l.closeSocket()
	for _, server := range l.allServers() {
		_ = server.Close()
	}
}
