package messenger

import (
	"context"
	"net/netip"
	"sync"
	"sync/atomic"

	"github.com/coder/websocket"
	"github.com/joomcode/errorx"

	"github.com/hornbeamspan/hornbeamspan/protocol/encoder"
	"github.com/hornbeamspan/hornbeamspan/protocol/wire"
	"github.com/hornbeamspan/hornbeamspan/transport/eventlogger"
)

// frameOverheadBytes is the size of a masked WebSocket frame header of a small message.
const frameOverheadBytes = 8

var errClosed = errorx.ExternalError.New("session closed")

// session is one connection to another host. The host that opened it calls, the other one answers.
type session struct {
	messenger *Messenger
	// to is the address of the other host, invalid in sessions that it opened.
	to        netip.AddrPort
	conn      *websocket.Conn
	ready     chan struct{}
	openErr   error
	closed    chan struct{}
	mu        sync.Mutex
	lastCall  uint64
	pending   map[uint64]chan wire.Envelope
	isProbing atomic.Bool
}

func newSession(m *Messenger, conn *websocket.Conn) *session {
	return &session{
		messenger: m,
		conn:      conn,
		ready:     make(chan struct{}),
		closed:    make(chan struct{}),
		pending:   make(map[uint64]chan wire.Envelope),
	}
}

// close closes the connection. A session that is still being opened ends with the messenger's context.
func (s *session) close() {
	select {
	case <-s.ready:
		if s.conn != nil {
			_ = s.conn.CloseNow()
		}
	default:
	}
}

func (s *session) call(ctx context.Context, kind string, body []byte) (wire.Envelope, error) {
	id, answer := s.registerCall()
	defer s.unregisterCall(id)
	if err := s.write(ctx, wire.Envelope{Call: id, Kind: kind, Body: body}); err != nil {
		return wire.Envelope{}, err
	}
	select {
	case e := <-answer:
		return e, nil
	case <-s.closed:
		return wire.Envelope{}, errClosed
	case <-ctx.Done():
		return wire.Envelope{}, ctx.Err()
	}
}

func (s *session) registerCall() (uint64, <-chan wire.Envelope) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastCall++
	answer := make(chan wire.Envelope, 1)
	s.pending[s.lastCall] = answer
	return s.lastCall, answer
}

func (s *session) unregisterCall(id uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.pending, id)
}

// write sends e within writeTimeout and ignores the cancellation of ctx, because a partially written message would end
// the session.
func (s *session) write(ctx context.Context, e wire.Envelope) error {
	data, err := encoder.Encode(e)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), writeTimeout)
	defer cancel()
	if err := s.conn.Write(ctx, websocket.MessageBinary, data); err != nil {
		return errorx.Decorate(err, "messenger: unable to send a message")
	}
	s.messenger.sent.Inc(int64(len(data) + frameOverheadBytes))
	s.messenger.bytes.Add(int64(len(data) + frameOverheadBytes))
	if s.to.IsValid() && s.isProbing.CompareAndSwap(false, true) {
		go s.probe()
	}
	return nil
}

func (s *session) isClosed() bool {
	select {
	case <-s.closed:
		return true
	default:
		return false
	}
}

// probe checks after a message whether the other host still receives any. A cut network loses messages without an error, and
// the session stays open; further messages then go over a new one. This one still receives answers that come late.
func (s *session) probe() {
	defer s.isProbing.Store(false)
	ctx, cancel := context.WithTimeout(s.messenger.ctx, probeTimeout)
	defer cancel()
	if err := s.conn.Ping(ctx); err != nil {
		s.messenger.removeSession(s)
		if s.messenger.ctx.Err() == nil && !s.isClosed() {
			eventlogger.Info(s.messenger.logs, eventlogger.SessionReplaced, "address", s.to, "error", err.Error())
		}
		return
	}
	pause, endPause := context.WithTimeout(s.messenger.ctx, probeInterval)
	defer endPause()
	select {
	case <-s.closed:
	case <-pause.Done():
	}
}

// read handles messages until the session ends or receives none for idleTimeout.
func (s *session) read(ctx context.Context) {
	defer close(s.closed)
	defer func() { _ = s.conn.CloseNow() }()
	s.conn.SetReadLimit(maxMessageBytes)
	for {
		data, err := s.readMessage(ctx)
		if err != nil {
			return
		}
		e, err := encoder.Decode[wire.Envelope](data)
		if err != nil {
			return
		}
		s.dispatch(ctx, e)
	}
}

func (s *session) readMessage(ctx context.Context) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, idleTimeout)
	defer cancel()
	_, data, err := s.conn.Read(ctx)
	s.messenger.received.Inc(int64(len(data) + frameOverheadBytes))
	s.messenger.bytes.Add(int64(len(data) + frameOverheadBytes))
	return data, err
}

func (s *session) dispatch(ctx context.Context, e wire.Envelope) {
	if e.Kind == answerKind {
		s.mu.Lock()
		answer := s.pending[e.Call]
		delete(s.pending, e.Call)
		s.mu.Unlock()
		if answer != nil {
			answer <- e
		}
		return
	}
	go s.serve(ctx, e)
}

func (s *session) serve(ctx context.Context, e wire.Envelope) {
	answer := wire.Envelope{Call: e.Call, Kind: answerKind}
	h := s.messenger.handlers[e.Kind]
	if h == nil {
		answer.Error = "unknown kind " + e.Kind
	} else if body, err := h(ctx, e.Body); err != nil {
		answer.Error = err.Error()
	} else {
		answer.Body = body
	}
	if e.Call != 0 {
		_ = s.write(ctx, answer)
	}
}
