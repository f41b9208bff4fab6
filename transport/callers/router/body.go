package router

import (
	"bytes"
	"cmp"
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/hornbeamspan/hornbeamspan/parts/coordination/evictor"
	"github.com/hornbeamspan/hornbeamspan/transport/callers/listener"
)

const (
	// defaultMaxBodyBytes applies while the configuration sets no limit.
	defaultMaxBodyBytes = 4 << 20
	// defaultBodiesBytes bounds all bodies together if no limit is set.
	defaultBodiesBytes = 64 << 20
	// freeBodyBytes of each body do not count, so that small requests are served while large ones wait.
	freeBodyBytes = 16 << 10
	// bodyChunkBytes of a body without a length are read between two checks of the limit. The first of them are free.
	bodyChunkBytes = freeBodyBytes / 2
	// bodyRetryAfter is the Retry-After of a request without room for its body.
	bodyRetryAfter = 500 * time.Millisecond
	// bodyGrowthTimeout is how long a body without a length waits for more room. It exceeds the time after which other bodies count as
	// stalled. Several such bodies may wait for each other until then.
	bodyGrowthTimeout = 2 * evictor.Grace
)

// NoRoomError reports a body that was not read, because the bodies of all requests together would exceed their limit.
type NoRoomError struct{}

func (e *NoRoomError) Error() string {
	return "router: unable to read the request body: the bodies of all requests use the memory for them"
}

// bodies bounds the memory for the bodies of all requests in flight.
type bodies struct {
	limit int64
	room  *room
}

func newBodies(limit int64, clock clockwork.Clock) bodies {
	if limit <= 0 {
		limit = defaultBodiesBytes
	}
	return bodies{limit: limit, room: newRoom(limit, clock)}
}

// reservation is the memory that one body uses.
type reservation struct {
	bodies bodies
	bytes  int64
	// cancel ends the reading of the body with a cause. It may be nil.
	cancel context.CancelCauseFunc
}

// release frees the memory. The body must not be used any more.
func (r *reservation) release() {
	r.bodies.room.Release(r.bytes)
	r.bytes = 0
}

// read reads a body of n bytes, or one of unknown length if n is negative. With a length, it waits for room until ctx is done and reads
// nothing meanwhile. Bodies without one wait for a short time only: those that are read in part may wait for each other. Bodies that make
// no progress give way to those that wait. The error is a *NoRoomError, a *StalledBodyError, a *listener.ReplacedError or that of body.
func (r *reservation) read(ctx context.Context, body io.Reader, n int64) ([]byte, error) {
	if n >= 0 {
		return r.readKnown(ctx, body, n)
	}
	a := r.begin()
	data, err := r.readUnknown(ctx, &arrivingBody{Reader: body, arrival: a}, a)
	return data, cmp.Or(a.end(), err)
}

// begin registers the body as being read.
func (r *reservation) begin() *arrival {
	cancel := r.cancel
	if cancel == nil {
		cancel = func(error) {}
	}
	return r.bodies.room.begin(r.bytes, cancel)
}

func (r *reservation) readUnknown(ctx context.Context, body io.Reader, a *arrival) ([]byte, error) {
	var data bytes.Buffer
	for {
		// A growing buffer holds up to twice its content.
		if need := 2*int64(data.Len()+bodyChunkBytes) - freeBodyBytes - r.bytes; need > 0 {
			if err := r.grow(ctx, need, a); err != nil {
				return nil, err
			}
		}
		_, err := io.CopyN(&data, body, bodyChunkBytes)
		if errors.Is(err, io.EOF) {
			return data.Bytes(), nil
		}
		if err != nil {
			return nil, err
		}
	}
}

// grow waits for need more bytes of memory.
func (r *reservation) grow(ctx context.Context, need int64, a *arrival) error {
	if r.bytes+need > r.bodies.limit {
		return &NoRoomError{}
	}
	ctx, cancel := clockwork.WithTimeout(ctx, r.bodies.room.clock, bodyGrowthTimeout)
	defer cancel()
	if err := a.acquire(ctx, need); err != nil {
		return withoutRoom(err)
	}
	r.bytes += need
	return nil
}

// withoutRoom returns the error of a body that has no room, by the cause for which the wait for it ended.
func withoutRoom(cause error) error {
	var replaced *listener.ReplacedError
	if errors.As(cause, &replaced) {
		return replaced
	}
	return &NoRoomError{}
}

func (r *reservation) readKnown(ctx context.Context, body io.Reader, n int64) ([]byte, error) {
	if need := min(n-freeBodyBytes, r.bodies.limit); need > 0 {
		if err := r.bodies.room.Acquire(ctx, need, need); err != nil {
			return nil, withoutRoom(err)
		}
		r.bytes = need
	}
	a := r.begin()
	data := make([]byte, n)
	_, err := io.ReadFull(&arrivingBody{Reader: body, arrival: a}, data)
	return data, cmp.Or(a.end(), err)
}

// arrivingBody is a body whose progress is recorded.
type arrivingBody struct {
	io.Reader
	arrival *arrival
}

// Read implements io.Reader.
func (b *arrivingBody) Read(p []byte) (int, error) {
	n, err := b.Reader.Read(p)
	b.arrival.receive(n)
	return n, err
}

// readBody reads the body of a request. It returns a refusal if the body is too large, does not arrive in time or has no room.
func (rt *Router) readBody(w http.ResponseWriter, r *http.Request, j *job, limit int64) *result {
	if limit <= 0 {
		limit = defaultMaxBodyBytes
	}
	if r.ContentLength > limit {
		return &result{status: http.StatusRequestEntityTooLarge, reason: "request body too large"}
	}
	control := http.NewResponseController(w)
	_ = control.SetReadDeadline(j.Expires) // fails only for writers without a connection, such as in tests
	ctx, cancel := rt.stop.startable(r.Context())
	ctx, j.body.cancel = context.WithCancelCause(ctx)
	release := context.AfterFunc(ctx, func() { _ = control.SetReadDeadline(rt.Clock.Now()) })
	ctx, cancelWait := context.WithDeadline(ctx, j.LatestStart)
	body, err := j.body.read(ctx, http.MaxBytesReader(w, r.Body, limit), r.ContentLength)
	release()
	cancelWait()
	j.body.cancel(nil)
	cancel()
	_ = control.SetReadDeadline(time.Time{})
	if err != nil {
		w.Header().Set("Connection", "close") // otherwise, the server waits for the rest of the body before it answers
	}
	var large *http.MaxBytesError
	var noRoom *NoRoomError
	var stalled *StalledBodyError
	var replaced *listener.ReplacedError
	switch {
	case errors.As(err, &large):
		return &result{status: http.StatusRequestEntityTooLarge, reason: "request body too large"}
	case err != nil && rt.stop.isRefusing():
		return shutdownResult()
	case errors.As(err, &stalled), errors.As(err, &replaced):
		return &result{status: http.StatusRequestTimeout, reason: err.Error()}
	case errors.As(err, &noRoom):
		return &result{status: http.StatusServiceUnavailable, reason: err.Error(), retryAfter: bodyRetryAfter}
	case err != nil:
		return &result{status: http.StatusRequestTimeout, reason: "unable to read request body: " + err.Error()}
	}
	j.Body = body
	return nil
}
