// Package listener serves HTTP routes on one address. Routing is that of go-zero's rest; its middlewares and limits are
// not used.
package listener

import (
	"cmp"
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"io"
	"log"
	"net"
	"net/http"
	"net/netip"
	"os"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/joomcode/errorx"
	"github.com/zeromicro/go-zero/core/proc"
	"github.com/zeromicro/go-zero/rest"
)

const (
	// HeaderTimeout bounds the reading of request headers.
	HeaderTimeout = 5 * time.Second
	// BodyTimeout bounds the reading of headers and body.
	BodyTimeout = 30 * time.Second
	// IdleTimeout is how long an idle connection stays open.
	IdleTimeout = 60 * time.Second
	// MaxHeaderBytes bounds the headers of one request.
	MaxHeaderBytes = 32 << 10
	// acceptRetryDelay is the pause after a failed accept.
	acceptRetryDelay = 5 * time.Millisecond
	// forceQuitDelay is practically unlimited: go-zero would otherwise end the process after SIGTERM while streams are open.
	forceQuitDelay = 10 * 365 * 24 * time.Hour
	// maxUnreadBytes bounds what is read of a body that the handler has left unread.
	maxUnreadBytes = 256 << 10
	// unreadBodyTimeout bounds how long that is waited for.
	unreadBodyTimeout = time.Second
	// acceptWait is how long a listener that shuts down goes on to accept the connections that wait already, and how long it
	// waits for requests on those.
	acceptWait = 20 * time.Millisecond
	// closePollInterval is the time between checks for open connections.
	closePollInterval = 2 * time.Millisecond
)

// Limits bound the headers and the idle time of connections. 0 means the default.
type Limits struct {
	HeaderBytes   int
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Options are the settings of one listener.
type Options struct {
	// Name identifies the listener in errors.
	Name string
	// Address is the address to listen on; port 0 selects a free port.
	Address netip.AddrPort
	// Socket is used instead of Address if it is open already.
	Socket net.Listener
	// TLS is nil for plain HTTP.
	TLS    *tls.Config
	Routes []rest.Route
	// MaxConnections bounds the open connections; 0 means no limit.
	MaxConnections int
	// OnConnectionLimit is called for a new connection at that limit, with true if the new one is closed and false if it
	// replaces another one. It may be nil.
	OnConnectionLimit func(isClosed bool)
	// Subtrees handle all methods and all paths below their prefixes, which end with a slash.
	Subtrees map[string]http.HandlerFunc
	// Clock is the system clock if nil.
	Clock clockwork.Clock
}

// Listener is a running HTTP server whose limits can change without closing connections.
type Listener struct {
	options Options
	handler http.Handler
	socket  net.Listener
	conns   chan net.Conn
	closed  chan struct{}
	once    sync.Once
	done    chan struct{}
	mu      sync.Mutex
	// servers has one server for each set of limits so far; the last one gets new connections.
	servers         []*http.Server
	serverListeners []*serverListener
	limits          Limits
	connLimiter     *connLimiter
	// isClosing makes every answer close its connection.
	isClosing atomic.Bool
}

// Handler returns the routes as one handler. Go-zero's middlewares are not used: they would refuse requests by their own
// rules, and their recovery would give an aborted stream a regular end.
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
		handle := routes.Serve
		for prefix, h := range o.Subtrees {
			if strings.HasPrefix(r.URL.Path, prefix) {
				handle = h
				break
			}
		}
		handle(w, r)
		discardUnread(w, r, o.Clock)
	}), nil
}

// discardUnread reads what the handler has left of a body. Otherwise, the kernel may reset the connection before the caller
// has the answer. The server itself does so only for connections that stay open.
func discardUnread(w http.ResponseWriter, r *http.Request, clock clockwork.Clock) {
	if !r.Close || r.ContentLength == 0 || r.Header.Get("Expect") != "" {
		return
	}
	_ = http.NewResponseController(w).SetReadDeadline(clock.Now().Add(unreadBodyTimeout))
	// Beyond its limit, MaxBytesReader makes the server wait before it closes the connection.
	_, _ = io.Copy(io.Discard, http.MaxBytesReader(w, r.Body, maxUnreadBytes))
}

// Listen opens the socket and starts to serve.
func Listen(o Options) (*Listener, error) {
	if o.Clock == nil {
		o.Clock = clockwork.NewRealClock()
	}
	handler, err := Handler(o)
	if err != nil {
		return nil, err
	}
	socket := o.Socket
	if socket == nil {
		if socket, err = net.Listen("tcp", o.Address.String()); err != nil {
			return nil, errorx.Decorate(err, "listener: unable to listen for %s", o.Name)
		}
	}
	l := &Listener{
		options: o, socket: socket, conns: make(chan net.Conn),
		closed: make(chan struct{}), done: make(chan struct{}), connLimiter: newConnLimiter(o.MaxConnections, o.Clock),
	}
	l.handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if l.isClosing.Load() {
			w.Header().Set("Connection", "close")
		}
		if conn, ok := r.Context().Value(connKey{}).(*callerConn); ok && r.ProtoMajor == 1 {
			r = conn.receive(w, r)
		}
		handler.ServeHTTP(w, r)
	})
	go l.accept()
	l.serve(Limits{})
	return l, nil
}

// accept delivers connections to the newest server until the socket is closed.
func (l *Listener) accept() {
	defer close(l.done)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() {
		wait(ctx, l.closed)
		cancel()
	}()
	for {
		nc, err := l.socket.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if errors.Is(err, os.ErrDeadlineExceeded) { // set by Shutdown
			l.closeSocket()
			return
		}
		if err != nil {
			l.options.Clock.Sleep(acceptRetryDelay) // out of file descriptors, or the caller disconnected at once
			continue
		}
		l.connLimiter.awaitClosed(ctx)
		conn := newCallerConn(nc, l.options.Clock, l.connLimiter.remove)
		isAdmitted, isAtLimit := l.connLimiter.admit(conn)
		if isAtLimit && l.options.OnConnectionLimit != nil {
			l.options.OnConnectionLimit(!isAdmitted)
		}
		if !isAdmitted {
			_ = conn.Close()
			continue
		}
		l.deliver(conn)
	}
}

// deliver passes a connection to the newest server.
func (l *Listener) deliver(conn net.Conn) {
	select {
	case l.conns <- conn:
	case <-l.closed:
		_ = conn.Close()
	}
}

// SetLimits sets the limits of new connections; open ones keep theirs.
func (l *Listener) SetLimits(limits Limits) {
	l.mu.Lock()
	same := limits == l.limits
	l.mu.Unlock()
	if !same {
		l.serve(limits)
	}
}

// serve starts a server with limits, which replaces the previous one for new connections.
func (l *Listener) serve(limits Limits) {
	server := &http.Server{
		Handler:           l.handler,
		TLSConfig:         l.options.TLS,
		ReadHeaderTimeout: cmp.Or(limits.HeaderTimeout, HeaderTimeout),
		ReadTimeout:       max(BodyTimeout, limits.HeaderTimeout),
		IdleTimeout:       cmp.Or(limits.IdleTimeout, IdleTimeout),
		MaxHeaderBytes:    cmp.Or(limits.HeaderBytes, MaxHeaderBytes),
		ConnState:         l.connLimiter.trackState,
		ConnContext:       l.connContext,
		ErrorLog:          log.New(discardWriter{}, "", 0),
	}
	sl := &serverListener{listener: l, closed: make(chan struct{})}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.limits = limits
	for _, old := range l.serverListeners {
		old.stop()
	}
	l.servers = append(l.servers, server)
	l.serverListeners = append(l.serverListeners, sl)
	go func() {
		if server.TLSConfig != nil {
			_ = server.ServeTLS(sl, "", "") // returns once sl is stopped
			return
		}
		_ = server.Serve(sl)
	}()
}

// connContext gives the requests of limited connections their connection.
func (l *Listener) connContext(ctx context.Context, nc net.Conn) context.Context {
	if conn, ok := callerConnOf(nc); ok && l.options.MaxConnections > 0 {
		return context.WithValue(ctx, connKey{}, conn)
	}
	return ctx
}

// serverListener is the net.Listener of one server; all of them share one socket.
type serverListener struct {
	listener *Listener
	once     sync.Once
	closed   chan struct{}
}

func (sl *serverListener) stop() { sl.once.Do(func() { close(sl.closed) }) }

func (sl *serverListener) isStopped() bool {
	select {
	case <-sl.closed:
		return true
	default:
		return false
	}
}

// Accept returns the next connection. A connection received after the stop is delivered to the next server: if both
// channels are ready, select chooses at random.
func (sl *serverListener) Accept() (net.Conn, error) {
	if sl.isStopped() {
		return nil, net.ErrClosed
	}
	select {
	case conn := <-sl.listener.conns:
		if sl.isStopped() {
			go sl.listener.deliver(conn)
			return nil, net.ErrClosed
		}
		return conn, nil
	case <-sl.closed:
		return nil, net.ErrClosed
	}
}

// Close makes Accept return. The socket stays open.
func (sl *serverListener) Close() error {
	sl.stop()
	return nil
}

// Addr returns the address of the shared socket.
func (sl *serverListener) Addr() net.Addr { return sl.listener.socket.Addr() }

// discardWriter drops the HTTP server's log lines about broken connections of callers.
type discardWriter struct{}

func (discardWriter) Write(p []byte) (int, error) { return len(p), nil }

// Address returns the address of the socket, with the port that was selected for port 0.
func (l *Listener) Address() netip.AddrPort { return l.socket.Addr().(*net.TCPAddr).AddrPort() }

// Done is closed when no more connections are accepted.
func (l *Listener) Done() <-chan struct{} { return l.done }

func (l *Listener) allServers() []*http.Server {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.servers)
}

// closeSocket stops new connections; open ones stay.
func (l *Listener) closeSocket() {
	l.once.Do(func() { close(l.closed) })
	_ = l.socket.Close()
}

// OpenConnectionsError reports connections that were open when the time for a shutdown was over.
type OpenConnectionsError struct {
	Name  string
	Count int
}

func (e *OpenConnectionsError) Error() string {
	return fmt.Sprintf("listener: unable to finish all requests for %s: %d connections are open", e.Name, e.Count)
}

// Shutdown stops new connections, and closes the open ones until ctx is done: at once those on which no request was read, the others
// after its answer. Requests on connections that the kernel has accepted are still served. The error is an *OpenConnectionsError.
func (l *Listener) Shutdown(ctx context.Context) error {
	l.isClosing.Store(true)
	if s, ok := l.socket.(interface{ SetDeadline(time.Time) error }); ok && s.SetDeadline(l.options.Clock.Now().Add(acceptWait)) == nil {
		wait(ctx, l.done)
	}
	l.closeSocket()
	wait(ctx, l.options.Clock.After(acceptWait))
	l.connLimiter.closeUnused()
	for {
		n := l.connLimiter.open()
		if n == 0 {
			return nil
		}
		if ctx.Err() != nil {
			return &OpenConnectionsError{Name: l.options.Name, Count: n}
		}
		wait(ctx, l.options.Clock.After(closePollInterval))
	}
}

// Close closes the socket and all connections at once.
func (l *Listener) Close() {
	l.closeSocket()
	for _, server := range l.allServers() {
		_ = server.Close()
	}
}

// wait returns when done is closed or has a value, or when ctx is done.
func wait[T any](ctx context.Context, done <-chan T) {
	select {
	case <-done:
	case <-ctx.Done():
	}
}
