// Package keyowner implements the owner of idempotency keys: it appends claims to the log in batches, reads their verdicts
// back from the log and keeps the answers of executed calls.
package keyowner

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/jonboulle/clockwork"

	"github.com/hornbeamspan/hornbeamspan/parts/coordination/claimer"
	"github.com/hornbeamspan/hornbeamspan/transport/store/logclient"
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
	// Stored means that the call has completed and its answer is available.
	Stored
)

// NotClaimedError reports a claim that was not appended and will not be.
type NotClaimedError struct {
	Reason string
}

func (e *NotClaimedError) Error() string { return "keyowner: unable to claim the key: " + e.Reason }

// UnknownClaimError reports a claim that may have been appended to the log. The caller must release its ID.
type UnknownClaimError struct{}

func (e *UnknownClaimError) Error() string {
	return "keyowner: unable to read the verdict on the claim in time"
}

// Options configures an Owner.
type Options struct {
	Log  *logclient.Client
	Logs hclog.Logger
	// Streams is the number of streams that keys are distributed over. It must be the same on every host and never change.
	Streams int
	// Retention is how long a key is remembered after its claim.
	Retention time.Duration
	// AppendInterval is the minimum time between two appends to a stream.
	AppendInterval time.Duration
	// CheckpointInterval is the time between checkpoints of a stream; 0 disables checkpoints.
	CheckpointInterval time.Duration
	// IsOwner reports whether this host owns a stream.
	IsOwner func(stream string) bool
	Clock   clockwork.Clock
}

// Owner manages the streams that this host follows. Each stream has its own lock.
type Owner struct {
	options Options
	mu      sync.Mutex
	streams map[string]*claimStream
	ctx     context.Context
	cancel  context.CancelFunc
	wg      sync.WaitGroup
	done    chan struct{}
}

// New returns an Owner that follows no stream yet.
func New(o Options) *Owner {
	ctx, cancel := context.WithCancel(context.Background())
	return &Owner{options: o, streams: make(map[string]*claimStream), ctx: ctx, cancel: cancel, done: make(chan struct{})}
}

// Stream returns the name of the stream that holds key.
func (o *Owner) Stream(key claimer.Digest) string {
	n := (int(key[0])<<8 | int(key[1])) % o.options.Streams
	return fmt.Sprintf("once-%03d", n)
}

// Follow starts to follow the streams that this host owns, so that later claims need not wait for them to be read, and
// stops following other streams that have not been used for idleTimeout.
func (o *Owner) Follow() {
	for _, name := range o.Streams() {
		if o.options.IsOwner(name) {
			o.open(name)
		}
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	for name, s := range o.streams {
		if !o.options.IsOwner(name) && s.isIdle(o.options.Clock.Now()) {
			s.stop()
			delete(o.streams, name)
		}
	}
}

// Streams returns the names of all streams.
func (o *Owner) Streams() []string {
	names := make([]string, o.options.Streams)
	for i := range names {
		names[i] = fmt.Sprintf("once-%03d", i)
	}
	return names
}

func (o *Owner) open(name string) *claimStream {
	o.mu.Lock()
	defer o.mu.Unlock()
	s := o.streams[name]
	if s == nil {
		s = newClaimStream(name, o.options)
		o.streams[name] = s
		ctx, stop := context.WithCancel(o.ctx)
		s.stop = stop
		o.wg.Go(func() { s.run(ctx) })
	}
	s.markUsed()
	return s
}

// Close waits until all queued releases and completions have been appended or ctx is done, and stops all streams.
func (o *Owner) Close(ctx context.Context) {
	o.mu.Lock()
	streams := make([]*claimStream, 0, len(o.streams))
	for _, s := range o.streams {
		streams = append(streams, s)
	}
	o.mu.Unlock()
	for _, s := range streams {
		s.drain(ctx)
	}
	o.cancel()
	o.wg.Wait()
	close(o.done)
}

// Done returns a channel that is closed once Close has returned.
func (o *Owner) Done() <-chan struct{} { return o.done }

// Keys returns the number of keys in the streams that this host follows.
func (o *Owner) Keys() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	n := 0
	for _, s := range o.streams {
		n += s.keys()
	}
	return n
}

// Claim appends a claim of key and returns its outcome. The error is a *NotClaimedError or an *UnknownClaimError.
func (o *Owner) Claim(ctx context.Context, id claimer.ID, key, fingerprint claimer.Digest) (claimer.Outcome, error) {
	s := o.open(o.Stream(key))
	if !s.follower.IsReachable() {
		return claimer.Outcome{}, &NotClaimedError{Reason: "the log is unreachable"}
	}
	return s.claim(ctx, claimer.Entry{Kind: claimer.Claim, ID: id, Key: key, Fingerprint: fingerprint})
}

// Release queues the release of a claim. The append is retried until it succeeds.
func (o *Owner) Release(id claimer.ID, key claimer.Digest) {
	s := o.open(o.Stream(key))
	s.enqueue(claimer.Entry{Kind: claimer.Release, ID: id, Key: key})
}

// Finish keeps the answer of a call and queues its completion. The append is retried until it succeeds.
func (o *Owner) Finish(id claimer.ID, key claimer.Digest, a Answer) {
	s := o.open(o.Stream(key))
	s.storeAnswer(key, a)
	s.enqueue(claimer.Entry{Kind: claimer.Done, ID: id, Key: key, Status: a.Status})
}

// Join waits until the call that holds key has completed or ctx is done.
func (o *Owner) Join(ctx context.Context, key claimer.Digest) (State, Answer) {
	return o.open(o.Stream(key)).join(ctx, key)
}

// isNotAppended reports whether an append certainly did not take effect.
func isNotAppended(err error) bool {
	var notAppended *logclient.NotAppendedError
	return errors.As(err, &notAppended)
}
