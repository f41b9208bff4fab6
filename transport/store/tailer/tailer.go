// Package tailer follows a topic of a log that keeps the newest record of each key.
package tailer

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/jonboulle/clockwork"

	"github.com/hornbeamspan/hornbeamspan/parts/state/replicator"
	"github.com/hornbeamspan/hornbeamspan/transport/eventer"
)

const (
	// retryPause is the first pause after a failed call; it doubles up to maxRetryPause.
	retryPause    = 200 * time.Millisecond
	maxRetryPause = time.Second
)

// Record is one record of a keyed topic. An empty Value removes the key.
type Record = replicator.Record

// Page is a part of the newest records of all keys. Pages are not a snapshot.
type Page struct {
	Records []Record
	More    bool
	// End is the offset after the last record of the topic.
	End uint64
}

// Log is a store with keyed topics.
type Log interface {
	// Newest returns the newest record of each key after the key after.
	Newest(ctx context.Context, topic, after string) (Page, error)
	// Read returns the records from an offset on as soon as there are any, or none after wait, and the offset to go on
	// from.
	Read(ctx context.Context, topic string, from uint64, wait time.Duration) (records []Record, next uint64, err error)
}

// ExpiredError reports that records were deleted before they were read.
type ExpiredError struct {
	Topic string
}

func (e *ExpiredError) Error() string { return "tailer: records of " + e.Topic + " expired unread" }

// ReturnedError reports a log that came back from an older copy of itself: what it acknowledged since the copy is gone.
type ReturnedError struct {
	Topic string
	// Era counts the returns.
	Era uint64
}

func (e *ReturnedError) Error() string {
	return fmt.Sprintf("tailer: the log came back from an older copy while %s was read, for the %d. time", e.Topic, e.Era)
}

// Sink takes what was read. Its methods are called by one goroutine.
type Sink interface {
	// Record takes one record.
	Record(r Record)
	// Listed tells the keys that a full reading up to end has found.
	Listed(keys map[string]bool, end uint64)
	// Lost and Regained tell whether the store can be reached.
	Lost(err error)
	Regained()
}

// Options are the settings of a Tailer.
type Options struct {
	Log   Log
	Topic string
	Sink  Sink
	// Wait is how long a call waits for records; 0 asks at once.
	Wait time.Duration
	// OnEra is told of the era of each listing, nil for nobody.
	OnEra func(era uint64)
	Clock clockwork.Clock
	Logs  hclog.Logger
}

// Tailer follows one topic.
type Tailer struct {
	options Options
	from    uint64
	listed  bool
	// follows is set once the topic was listed.
	follows bool
	lost    bool
	done    chan struct{}
}

// New returns a Tailer.
func New(o Options) *Tailer { return &Tailer{options: o, done: make(chan struct{})} }

// Done is closed once Run has returned.
func (t *Tailer) Done() <-chan struct{} { return t.done }

// Run follows the topic until ctx ends.
func (t *Tailer) Run(ctx context.Context) {
	defer close(t.done)
	pause := retryPause
	for ctx.Err() == nil {
		err := t.step(ctx)
		if ctx.Err() != nil {
			return
		}
		if err == nil {
			t.note(nil)
			pause = retryPause
			continue
		}
		var expired *ExpiredError
		if errors.As(err, &expired) {
			eventer.Warn(t.options.Logs, eventer.RecordsExpired, "stream", t.options.Topic, "from", t.from)
			t.listed = false
			continue
		}
		t.note(err)
		t.sleep(ctx, pause)
		pause = min(2*pause, maxRetryPause)
	}
}

func (t *Tailer) step(ctx context.Context) error {
	if !t.listed {
		return t.list(ctx)
	}
	records, next, err := t.options.Log.Read(ctx, t.options.Topic, t.from, t.options.Wait)
	if err != nil {
		return err
	}
	for _, r := range records {
		t.options.Sink.Record(r)
	}
	t.from = next
	return nil
}

// list reads the newest record of every key, then has reading go on from the end that the first page told.
func (t *Tailer) list(ctx context.Context) error {
	keys := make(map[string]bool)
	end, err := List(ctx, t.options.Log, t.options.Topic, func(r Record) {
		keys[r.Key] = true
		t.options.Sink.Record(r)
	})
	if err != nil {
		return err
	}
	if t.follows && replicator.Era(end) > replicator.Era(t.from) {
		// Writers that live write again what was lost, so that a key that is missing now says nothing yet.
		t.note(&ReturnedError{Topic: t.options.Topic, Era: replicator.Era(end)})
	}
	t.from = end
	t.listed, t.follows = true, true
	t.options.Sink.Listed(keys, end)
	if t.options.OnEra != nil {
		t.options.OnEra(replicator.Era(end))
	}
	return nil
}

// Lister is the part of a store that tells the newest records.
type Lister interface {
	Newest(ctx context.Context, topic, after string) (Page, error)
}

// List has take see the newest record of every key of a topic, and returns the end of the topic at the first page: what
// was appended during the listing is to be read from there.
func List(ctx context.Context, l Lister, topic string, take func(Record)) (end uint64, err error) {
	after, first := "", true
	for {
		page, err := l.Newest(ctx, topic, after)
		if err != nil {
			return 0, err
		}
		if first {
			end, first = page.End, false
		}
		if era := replicator.Era(page.End); era != replicator.Era(end) {
			return 0, &ReturnedError{Topic: topic, Era: era}
		}
		for _, r := range page.Records {
			after = r.Key
			take(r)
		}
		if !page.More || len(page.Records) == 0 {
			return end, nil
		}
	}
}

func (t *Tailer) note(err error) {
	if err == nil {
		if t.lost {
			eventer.Info(t.options.Logs, eventer.LogReachable, "stream", t.options.Topic)
		}
		t.lost = false
		t.options.Sink.Regained()
		return
	}
	if !t.lost {
		eventer.Warn(t.options.Logs, eventer.LogUnreachable, "stream", t.options.Topic, "error", err.Error())
	}
	t.lost = true
	t.options.Sink.Lost(err)
}

func (t *Tailer) sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-t.options.Clock.After(d):
	}
}
