// Package registrar implements the owner of idempotency keys: it appends claims to the log in batches, reads their verdicts
// back from the log and keeps the answers of executed calls.
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

// Answer is the answer of an executed call. An answer with a large Body is not kept.
type Answer struct {
	Status int
	Type   string
	Body   []byte
}

// State is the state of a key's call as known to its owner.
type State uint8

// States of a call.
const (
	Unknown State = iota
	Running
	// Done means that the call has completed but its answer is not kept.
	Done
	// Kept means that the call has completed and its answer is available.
	Kept
)

// NotClaimedError reports a claim that was not appended and will not be.
type NotClaimedError struct {
	Reason string
}

func (e *NotClaimedError) Error() string { return "registrar: unable to claim the key: " + e.Reason }

// UnknownClaimError reports a claim that may have been appended to the log. The caller must release its ID.
type UnknownClaimError struct{}

func (e *UnknownClaimError) Error() string {
	return "registrar: unable to read the verdict on the claim in time"
}

// Options configures a Registrar.
type Options struct {
	Log  *logger.Client
	Logs hclog.Logger
	// Streams is the number of streams that keys are distributed over. It must be the same on every host and never change.
	Streams int
	// Horizon is how long a key is remembered after its claim.
	Horizon time.Duration
	// AppendInterval is the minimum time between two appends to a stream.
	AppendInterval time.Duration
	// CheckpointInterval is the time between checkpoints of a stream; 0 disables checkpoints.
	CheckpointInterval time.Duration
	// IsOwner reports whether this host owns a stream.
	IsOwner func(stream string) bool
	Clock   clockwork.Clock
}

// Registrar manages the streams that this host follows. Each stream has its own lock.
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

// Stream returns the name of the stream that holds key.
func (r *Registrar) Stream(key claimer.Digest) string {
	n := (int(key[0])<<8 | int(key[1])) % r.options.Streams
	return fmt.Sprintf("once-%03d", n)
}

// Follow starts to follow the streams that this host owns, so that later claims need not wait for them to be read, and
// stops following other streams that have not been used for idleTimeout.
func (r *Registrar) Follow() {
	for _, name := range r.Streams() {
		if r.options.IsOwner(name) {
			r.open(name)
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for name, s := range r.streams {
		if !r.options.IsOwner(name) && s.isIdle(r.options.Clock.Now()) {
			s.stop()
			delete(r.streams, name)
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

func (r *Registrar) open(name string) *claimStream {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.streams[name]
	if s == nil {
		s = newClaimStream(name, r.options)
		r.streams[name] = s
		ctx, stop := context.WithCancel(r.ctx)
		s.stop = stop
		r.wait.Go(func() { s.run(ctx) })
	}
	s.markUsed()
	return s
}

// Close waits until all queued releases and completions have been appended or ctx is done, and stops all streams.
func (r *Registrar) Close(ctx context.Context) {
	r.mu.Lock()
	streams := make([]*claimStream, 0, len(r.streams))
	for _, s := range r.streams {
		streams = append(streams, s)
	}
	r.mu.Unlock()
	for _, s := range streams {
		s.drain(ctx)
	}
	r.cancel()
	r.wait.Wait()
	close(r.done)
}

// Done returns a channel that is closed once Close has returned.
func (r *Registrar) Done() <-chan struct{} { return r.done }

// Keys returns the number of keys in the streams that this host follows.
func (r *Registrar) Keys() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := 0
	for _, s := range r.streams {
		n += s.keys()
	}
	return n
}

// Claim appends a claim of key and returns its outcome. The error is a *NotClaimedError or an *UnknownClaimError.
func (r *Registrar) Claim(ctx context.Context, id claimer.ID, key, fingerprint claimer.Digest) (claimer.Outcome, error) {
	s := r.open(r.Stream(key))
	if !s.follower.IsReachable() {
		return claimer.Outcome{}, &NotClaimedError{Reason: "the log is unreachable"}
	}
	return s.claim(ctx, claimer.Entry{Kind: claimer.Claim, ID: id, Key: key, Fingerprint: fingerprint})
}

// Release queues the release of a claim. The append is retried until it succeeds.
func (r *Registrar) Release(id claimer.ID, key claimer.Digest) {
	s := r.open(r.Stream(key))
	s.enqueue(claimer.Entry{Kind: claimer.Release, ID: id, Key: key})
}

// Finish keeps the answer of a call and queues its completion. The append is retried until it succeeds.
func (r *Registrar) Finish(id claimer.ID, key claimer.Digest, a Answer) {
	s := r.open(r.Stream(key))
	s.keep(key, a)
	s.enqueue(claimer.Entry{Kind: claimer.Done, ID: id, Key: key, Status: a.Status})
}

// Join waits until the call that holds key has completed or ctx is done.
func (r *Registrar) Join(ctx context.Context, key claimer.Digest) (State, Answer) {
	return r.open(r.Stream(key)).join(ctx, key)
}

// isNotAppended reports whether an append certainly did not take effect.
func isNotAppended(err error) bool {
	var notAppended *logger.NotAppendedError
	return errors.As(err, &notAppended)
}
