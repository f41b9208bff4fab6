// Package registrar serves a host's part as home of idempotency keys: it batches claims into appends, reads their
// verdicts back from the log and keeps the answers of calls that ran.
package registrar

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/jonboulle/clockwork"

	"github.com/hornbeamspan/hornbeamspan/parts/coordination/claimer"
	"github.com/hornbeamspan/hornbeamspan/transport/store/logger"
)

// Answer is the answer of a call that ran. Body may have been too large to keep.
type Answer struct {
	Status int
	Type   string
	Body   []byte
}

// State is what a home knows of a key's call.
type State uint8

// The states.
const (
	Unknown State = iota
	Running
	Done
	Kept
)

// NotClaimedError reports a claim that was not appended and never will be.
type NotClaimedError struct {
	Reason string
}

func (e *NotClaimedError) Error() string { return "registrar: unable to claim: " + e.Reason }

// UnknownClaimError reports a claim that may stand in the log. Its ID must be released.
type UnknownClaimError struct{}

func (e *UnknownClaimError) Error() string { return "registrar: unable to learn the verdict in time" }

// Options are the settings of a Registrar.
type Options struct {
	Log  *logger.Client
	Logs hclog.Logger
	// Streams is the number of streams that keys are spread over, the same on every host for good.
	Streams int
	// Horizon is how long a key is remembered.
	Horizon time.Duration
	// Interval is the least time between two appends to a stream.
	AppendInterval time.Duration
	// Carry is the time between checkpoints of a stream, 0 for none.
	CheckpointInterval time.Duration
	// IsHome tells whether this host is the home of a stream.
	IsOwner func(stream string) bool
	Clock   clockwork.Clock
}

// Registrar holds the streams that this host follows, each with its own lock.
type Registrar struct {
	options Options
	mu      sync.Mutex
	streams map[string]*claimStream
	ctx     context.Context
	cancel  context.CancelFunc
	wait    sync.WaitGroup
	done    chan struct{}
}

// New returns a Registrar that follows no stream yet.
func New(o Options) *Registrar {
	ctx, cancel := context.WithCancel(context.Background())
	return &Registrar{options: o, streams: make(map[string]*claimStream), ctx: ctx, cancel: cancel, done: make(chan struct{})}
}

// Stream returns the name of the stream of key.
func (r *Registrar) Stream(key claimer.Digest) string {
	n := (int(key[0])<<8 | int(key[1])) % r.options.Streams
	return fmt.Sprintf("once-%03d", n)
}

// Follow starts to follow the streams that this host is home of, so that later claims find them read, and stops to
// follow others that were not used for idleTime.
func (r *Registrar) Follow() {
	for _, s := range r.Streams() {
		if r.options.IsOwner(s) {
			r.open(s)
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for s, b := range r.streams {
		if !r.options.IsOwner(s) && b.isIdle(r.options.Clock.Now()) {
			b.stop()
			delete(r.streams, s)
		}
	}
}

// Streams returns the names of all streams.
func (r *Registrar) Streams() []string {
	names := make([]string, r.options.Streams)
	for i := range names {
		names[i] = fmt.Sprintf("once-%03d", i)
	}
	return names
}

func (r *Registrar) open(stream string) *claimStream {
	r.mu.Lock()
	defer r.mu.Unlock()
	b := r.streams[stream]
	if b == nil {
		b = newClaimStream(stream, r.options)
		r.streams[stream] = b
		ctx, stop := context.WithCancel(r.ctx)
		b.stop = stop
		r.wait.Go(func() { b.run(ctx) })
	}
	b.markUsed()
	return b
}

// Close waits until the releases and ends of calls have been appended or ctx ends, and stops.
func (r *Registrar) Close(ctx context.Context) {
	r.mu.Lock()
	books := make([]*claimStream, 0, len(r.streams))
	for _, b := range r.streams {
		books = append(books, b)
	}
	r.mu.Unlock()
	for _, b := range books {
		b.drain(ctx)
	}
	r.cancel()
	r.wait.Wait()
	close(r.done)
}

// Done is closed once Close has returned.
func (r *Registrar) Done() <-chan struct{} { return r.done }

// Keys returns the number of keys held in the streams that this host follows.
func (r *Registrar) Keys() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := 0
	for _, b := range r.streams {
		n += b.keys()
	}
	return n
}

// Claim appends a claim of key and returns its verdict. The error is a *NotClaimedError or an *UnknownClaimError.
func (r *Registrar) Claim(ctx context.Context, id claimer.ID, key, fingerprint claimer.Digest) (claimer.Outcome, error) {
	b := r.open(r.Stream(key))
	if !b.follower.IsReachable() {
		return claimer.Outcome{}, &NotClaimedError{Reason: "the log is out of reach"}
	}
	return b.claim(ctx, claimer.Entry{Kind: claimer.Claim, ID: id, Key: key, Fingerprint: fingerprint})
}

// Release appends, however long it takes, that the claim was given up.
func (r *Registrar) Release(id claimer.ID, key claimer.Digest) {
	b := r.open(r.Stream(key))
	b.enqueue(claimer.Entry{Kind: claimer.Release, ID: id, Key: key})
}

// Finish keeps the answer of a call and appends, however long it takes, that it ended.
func (r *Registrar) Finish(id claimer.ID, key claimer.Digest, a Answer) {
	b := r.open(r.Stream(key))
	b.keep(key, a)
	b.enqueue(claimer.Entry{Kind: claimer.Done, ID: id, Key: key, Status: a.Status})
}

// Join waits for the end of the call that holds key, until ctx ends.
func (r *Registrar) Join(ctx context.Context, key claimer.Digest) (State, Answer) {
	return r.open(r.Stream(key)).join(ctx, key)
}

// isDefinite tells whether an append certainly did not take effect.
func isNotAppended(err error) bool {
	var not *logger.NotAppendedError
	return errors.As(err, &not)
}
