// Package messenger implements typed calls between hosts as CBOR messages over WebSocket.
package messenger

import (
	"context"
	"crypto/subtle"
	"fmt"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/coder/websocket"
	"github.com/hashicorp/go-hclog"
	"github.com/joomcode/errorx"
	"github.com/uber-go/tally/v4"

	"github.com/hornbeamspan/hornbeamspan/protocol/encoder"
	"github.com/hornbeamspan/hornbeamspan/protocol/wire"
	"github.com/hornbeamspan/hornbeamspan/transport/eventlogger"
)

const (
	// Path is the HTTP path at which hosts accept sessions from other hosts.
	Path = "/v1/peers"
	// HostHeader is the header in which a host states its name when it opens a session.
	HostHeader = "Peer-Host"
	// answerKind is the kind of messages that answer a call.
	answerKind = "answer"
	// maxMessageBytes bounds the size of one message.
	maxMessageBytes = 8 << 20
	// idleTimeout is the time without a received message after which a session is closed.
	idleTimeout = 15 * time.Second
	// connectTimeout bounds the time to open a session.
	connectTimeout = time.Second
	// writeTimeout bounds the time to send one message.
	writeTimeout = 2 * time.Second
	// probeTimeout is how long a host may take to answer a probe before its session gets no further messages.
	probeTimeout = time.Second
	// probeInterval is the shortest time between two probes of a session.
	probeInterval = time.Second
)

// RemoteError reports that the handler on the other host failed.
type RemoteError struct {
	Kind   string
	Reason string
}

func (e *RemoteError) Error() string {
	return fmt.Sprintf("messenger: unable to complete call %s: error from the other host: %s", e.Kind, e.Reason)
}

// handler handles one kind of message.
type handler func(ctx context.Context, body []byte) ([]byte, error)

// Messenger manages the sessions of a host with other hosts.
type Messenger struct {
	key      string
	name     string
	logs     hclog.Logger
	handlers map[string]handler
	mu       sync.Mutex
	sessions map[netip.AddrPort]*session
	received tally.Counter
	sent     tally.Counter
	bytes    atomic.Int64
	ctx      context.Context
	cancel   context.CancelFunc
	done     chan struct{}
}

// New returns a Messenger that authenticates hosts by the shared key.
func New(key string, logs hclog.Logger, scope tally.Scope) *Messenger {
	ctx, cancel := context.WithCancel(context.Background())
	return &Messenger{
		key:      key,
		logs:     logs,
		handlers: make(map[string]handler),
		sessions: make(map[netip.AddrPort]*session),
		received: scope.Counter("peer_received_bytes"),
		sent:     scope.Counter("peer_sent_bytes"),
		ctx:      ctx,
		cancel:   cancel,
		done:     make(chan struct{}),
	}
}

// Identify sets the name that this host states to others. It must be called before the first session.
func (m *Messenger) Identify(name string) { m.name = name }

// Handle registers h for messages of kind. All handlers must be registered before the first session.
func Handle[Req, Resp any](m *Messenger, kind string, h func(context.Context, Req) (Resp, error)) {
	m.handlers[kind] = func(ctx context.Context, body []byte) ([]byte, error) {
		req, err := encoder.Decode[Req](body)
		if err != nil {
			return nil, err
		}
		resp, err := h(ctx, req)
		if err != nil {
			return nil, err
		}
		return encoder.Encode(resp)
	}
}

// Call sends req to the host at address to and waits for the answer.
func Call[Req, Resp any](ctx context.Context, m *Messenger, to netip.AddrPort, kind string, req Req) (Resp, error) {
	var zero Resp
	s, err := m.session(ctx, to)
	if err != nil {
		return zero, err
	}
	body, err := encoder.Encode(req)
	if err != nil {
		return zero, err
	}
	answer, err := s.call(ctx, kind, body)
	if err != nil {
		return zero, errorx.Decorate(err, "messenger: unable to call %s at the host at %s", kind, to)
	}
	if answer.Error != "" {
		return zero, &RemoteError{Kind: kind, Reason: answer.Error}
	}
	return encoder.Decode[Resp](answer.Body)
}

// Notify sends req to the host at address to without waiting for an answer.
func Notify[Req any](ctx context.Context, m *Messenger, to netip.AddrPort, kind string, req Req) error {
	s, err := m.session(ctx, to)
	if err != nil {
		return err
	}
	body, err := encoder.Encode(req)
	if err != nil {
		return err
	}
	return s.write(ctx, wire.Envelope{Kind: kind, Body: body})
}

// Bytes returns the total bytes of all messages sent and received.
func (m *Messenger) Bytes() int64 { return m.bytes.Load() }

// Done returns a channel that is closed once Close has been called.
func (m *Messenger) Done() <-chan struct{} { return m.done }

// Close closes all sessions.
func (m *Messenger) Close() {
	m.cancel()
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, s := range m.sessions {
		s.close()
	}
	select {
	case <-m.done:
	default:
		close(m.done)
	}
}

func (m *Messenger) session(ctx context.Context, to netip.AddrPort) (*session, error) {
	m.mu.Lock()
	s := m.sessions[to]
	if s == nil {
		s = newSession(m, nil)
		s.to = to
		m.sessions[to] = s
		go m.open(s)
	}
	m.mu.Unlock()
	select {
	case <-s.ready:
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	if s.openErr != nil {
		return nil, s.openErr
	}
	return s, nil
}

// open connects s and reads from it until the session ends.
func (m *Messenger) open(s *session) {
	defer m.removeSession(s)
	ctx, cancel := context.WithTimeout(m.ctx, connectTimeout)
	defer cancel()
	header := http.Header{"Authorization": {"Bearer " + m.key}, HostHeader: {m.name}}
	conn, resp, err := websocket.Dial(ctx, fmt.Sprintf("ws://%s%s", s.to, Path), &websocket.DialOptions{HTTPHeader: header})
	if resp != nil && resp.Body != nil {
		_ = resp.Body.Close()
	}
	if err != nil {
		s.openErr = errorx.Decorate(err, "messenger: unable to connect to the host at %s", s.to)
		close(s.ready)
		return
	}
	s.conn = conn
	close(s.ready)
	s.read(m.ctx)
}

func (m *Messenger) removeSession(s *session) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.sessions[s.to] == s {
		delete(m.sessions, s.to)
	}
}

// Accept serves a session that another host opens.
func (m *Messenger) Accept(w http.ResponseWriter, r *http.Request) {
	key := strings.TrimPrefix(r.Header.Get("Authorization"), "Bearer ")
	if subtle.ConstantTimeCompare([]byte(key), []byte(m.key)) != 1 {
		eventlogger.Warn(m.logs, eventlogger.PeerRefused, "address", r.RemoteAddr, "host", r.Header.Get(HostHeader), "reason", "wrong key")
		http.Error(w, "wrong key", http.StatusUnauthorized)
		return
	}
	conn, err := websocket.Accept(w, r, nil)
	if err != nil {
		eventlogger.Warn(m.logs, eventlogger.PeerRefused, "address", r.RemoteAddr, "host", r.Header.Get(HostHeader), "reason", err.Error())
		return
	}
	s := newSession(m, conn)
	close(s.ready)
	s.read(m.ctx)
}
