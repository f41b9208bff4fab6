// Package follower applies the records of a log stream to a state as they are appended.
package follower

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/jonboulle/clockwork"

	"github.com/hornbeamspan/hornbeamspan/parts/coordination/replayer"
	"github.com/hornbeamspan/hornbeamspan/transport/eventlogger"
	"github.com/hornbeamspan/hornbeamspan/transport/store/logclient"
)

const (
	// initialBackoff is the delay before the first read after a failure; it doubles with each further failure, up to
	// maxBackoff.
	initialBackoff = 100 * time.Millisecond
	maxBackoff     = 1600 * time.Millisecond
)

// Codec encodes payloads as the data of log records and decodes them.
type Codec[P any] struct {
	Encode func(P) ([]byte, error)
	Decode func([]byte) (P, error)
}

// Follower applies one stream to a state. The state must be accessed only through View or Await.
type Follower[P any] struct {
	stream     string
	log        *logclient.Client
	codec      Codec[P]
	clock      clockwork.Clock
	logs       hclog.Logger
	mu         sync.Mutex
	replayer   *replayer.Replayer[P]
	changed    chan struct{}
	isCaughtUp bool
	isFailing  bool
	done       chan struct{}
}

// New returns a Follower of stream that starts at the beginning of the stream.
func New[P any](stream string, log *logclient.Client, codec Codec[P], state replayer.State[P], clock clockwork.Clock, logs hclog.Logger) *Follower[P] {
	return &Follower[P]{
		stream:   stream,
		log:      log,
		codec:    codec,
		clock:    clock,
		logs:     logs,
		replayer: replayer.New(state),
		changed:  make(chan struct{}),
		done:     make(chan struct{}),
	}
}

// Position describes how far a follower has read.
type Position struct {
	// Next is the offset of the next record.
	Next uint64
	// IsComplete reports that the state includes every record before Next.
	IsComplete bool
	// IsCaughtUp reports that the follower has reached the end of the stream at least once.
	IsCaughtUp bool
}

// Done returns a channel that is closed once Run has returned.
func (f *Follower[P]) Done() <-chan struct{} { return f.done }

// Run reads the stream until ctx is done.
func (f *Follower[P]) Run(ctx context.Context) {
	defer close(f.done)
	backoff := initialBackoff
	for ctx.Err() == nil {
		err := f.read(ctx)
		if err == nil {
			backoff = initialBackoff
			continue
		}
		f.handleFailure(ctx, err, backoff)
		backoff = min(2*backoff, maxBackoff)
	}
}

func (f *Follower[P]) handleFailure(ctx context.Context, err error, backoff time.Duration) {
	if ctx.Err() != nil {
		return
	}
	f.mu.Lock()
	first := !f.isFailing
	f.isFailing = true
	f.mu.Unlock()
	if first {
		eventlogger.Warn(f.logs, eventlogger.LogUnreachable, "stream", f.stream, "error", err.Error())
	}
	select {
	case <-ctx.Done():
	case <-f.clock.After(backoff):
	}
}

func (f *Follower[P]) read(ctx context.Context) error {
	f.mu.Lock()
	from, wait := f.replayer.Next(), logclient.ReadWait
	if !f.isCaughtUp || f.isFailing {
		wait = 0
	}
	f.mu.Unlock()
	page, err := f.log.Read(ctx, f.stream, from, wait)
	var expired *logclient.ExpiredError
	if errors.As(err, &expired) {
		f.restart(expired.Oldest)
		return nil
	}
	if err != nil {
		return err
	}
	f.apply(page)
	return nil
}

func (f *Follower[P]) restart(oldest uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	eventlogger.Warn(f.logs, eventlogger.RecordsExpired, "stream", f.stream, "next", f.replayer.Next(), "oldest", oldest)
	f.replayer.Restart(oldest)
	f.notify()
}

func (f *Follower[P]) apply(page logclient.Page) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.isFailing = false
	for _, r := range page.Records {
		payload, err := f.codec.Decode(r.Data)
		if err != nil {
			eventlogger.Error(f.logs, eventlogger.RecordInvalid, "stream", f.stream, "offset", r.Offset, "error", err.Error())
		}
		f.replayer.Feed(replayer.Record[P]{Offset: r.Offset, At: r.Time, Payload: payload})
	}
	end := len(page.Records) == 0 && !f.isCaughtUp
	f.isCaughtUp = f.isCaughtUp || end
	if len(page.Records) > 0 || end {
		f.notify()
	}
}

// notify signals a change to all waiters. The caller holds mu.
func (f *Follower[P]) notify() {
	close(f.changed)
	f.changed = make(chan struct{})
}

// View calls inspect while the state is locked and returns a channel that is closed at the next change.
func (f *Follower[P]) View(inspect func(Position)) <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	inspect(Position{Next: f.replayer.Next(), IsComplete: f.replayer.IsComplete(), IsCaughtUp: f.isCaughtUp})
	return f.changed
}

// Await calls check now and after each change until it returns true or ctx is done.
func (f *Follower[P]) Await(ctx context.Context, check func(Position) bool) error {
	for {
		var done bool
		changed := f.View(func(p Position) { done = check(p) })
		if done {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// Append sends a record to the stream once. The errors are those of logger.Client.Append.
func (f *Follower[P]) Append(ctx context.Context, payload P) error {
	data, err := f.codec.Encode(payload)
	if err != nil {
		return &logclient.NotAppendedError{Stream: f.stream, Reason: err.Error()}
	}
	_, err = f.log.Append(ctx, f.stream, data)
	return err
}

// IsReachable reports whether the last read succeeded.
func (f *Follower[P]) IsReachable() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return !f.isFailing
}
