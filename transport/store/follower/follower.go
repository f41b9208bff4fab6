// Package follower keeps a state up to date with a stream of the log.
package follower

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/jonboulle/clockwork"

	"github.com/hornbeamspan/hornbeamspan/parts/coordination/replayer"
	"github.com/hornbeamspan/hornbeamspan/transport/eventer"
	"github.com/hornbeamspan/hornbeamspan/transport/store/logger"
)

const (
	// firstPause is the time before the first read after a failure; each next one waits twice as long, up to lastPause.
	firstPause = 100 * time.Millisecond
	lastPause  = 1600 * time.Millisecond
)

// Codec turns payloads into the bytes of log records and back.
type Codec[P any] struct {
	Encode func(P) ([]byte, error)
	Decode func([]byte) (P, error)
}

// Follower reads one stream into a state. All access to the state goes through View.
type Follower[P any] struct {
	stream   string
	log      *logger.Client
	codec    Codec[P]
	clock    clockwork.Clock
	logs     hclog.Logger
	mu       sync.Mutex
	replayer *replayer.Replayer[P]
	changed  chan struct{}
	caughtUp bool
	failing  bool
	done     chan struct{}
}

// New returns a Follower of stream that has read nothing.
func New[P any](stream string, log *logger.Client, codec Codec[P], state replayer.State[P], clock clockwork.Clock, logs hclog.Logger) *Follower[P] {
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

// Position tells how far a follower has read.
type Position struct {
	// Next is the offset of the next record.
	Next uint64
	// Whole tells that the state covers every record before Next.
	Whole bool
	// CaughtUp tells that the end of the stream has been reached since the start.
	CaughtUp bool
}

// Done is closed once Run has returned.
func (f *Follower[P]) Done() <-chan struct{} { return f.done }

// Run reads until ctx ends.
func (f *Follower[P]) Run(ctx context.Context) {
	defer close(f.done)
	pause := firstPause
	for ctx.Err() == nil {
		err := f.read(ctx)
		if err == nil {
			pause = firstPause
			continue
		}
		f.fail(ctx, err, pause)
		pause = min(2*pause, lastPause)
	}
}

func (f *Follower[P]) fail(ctx context.Context, err error, pause time.Duration) {
	if ctx.Err() != nil {
		return
	}
	f.mu.Lock()
	first := !f.failing
	f.failing = true
	f.mu.Unlock()
	if first {
		eventer.Warn(f.logs, eventer.LogUnreachable, "stream", f.stream, "error", err.Error())
	}
	select {
	case <-ctx.Done():
	case <-f.clock.After(pause):
	}
}

func (f *Follower[P]) read(ctx context.Context) error {
	f.mu.Lock()
	from, wait := f.replayer.Next(), logger.ReadWait
	if !f.caughtUp || f.failing {
		wait = 0
	}
	f.mu.Unlock()
	page, err := f.log.Read(ctx, f.stream, from, wait)
	var expired *logger.ExpiredError
	if errors.As(err, &expired) {
		f.restart(expired.Oldest)
		return nil
	}
	if err != nil {
		return err
	}
	f.feed(page)
	return nil
}

func (f *Follower[P]) restart(oldest uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	eventer.Warn(f.logs, eventer.RecordsExpired, "stream", f.stream, "next", f.replayer.Next(), "oldest", oldest)
	f.replayer.Restart(oldest)
	f.notify()
}

func (f *Follower[P]) feed(page logger.Page) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.failing = false
	for _, r := range page.Records {
		payload, err := f.codec.Decode(r.Data)
		if err != nil {
			eventer.Error(f.logs, eventer.RecordInvalid, "stream", f.stream, "offset", r.Offset, "error", err.Error())
		}
		f.replayer.Feed(replayer.Record[P]{Offset: r.Offset, At: r.Time, Payload: payload})
	}
	end := len(page.Records) == 0 && !f.caughtUp
	f.caughtUp = f.caughtUp || end
	if len(page.Records) > 0 || end {
		f.notify()
	}
}

// notify wakes those who wait for a change. The caller holds mu.
func (f *Follower[P]) notify() {
	close(f.changed)
	f.changed = make(chan struct{})
}

// View runs look while the state stands still, and returns a channel that closes at the next change.
func (f *Follower[P]) View(look func(Position)) <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	look(Position{Next: f.replayer.Next(), Whole: f.replayer.IsComplete(), CaughtUp: f.caughtUp})
	return f.changed
}

// Await runs look after each change until it returns true or ctx ends.
func (f *Follower[P]) Await(ctx context.Context, look func(Position) bool) error {
	for {
		var found bool
		changed := f.View(func(p Position) { found = look(p) })
		if found {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// Append adds a record to the stream, once. Errors are those of logger.Client.Append.
func (f *Follower[P]) Append(ctx context.Context, payload P) error {
	data, err := f.codec.Encode(payload)
	if err != nil {
		return &logger.NotAppendedError{Stream: f.stream, Reason: err.Error()}
	}
	_, err = f.log.Append(ctx, f.stream, data)
	return err
}

// Reachable tells whether the last read succeeded.
func (f *Follower[P]) Reachable() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return !f.failing
}
