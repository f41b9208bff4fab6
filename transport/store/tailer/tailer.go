// Package tailer follows a topic of a compacted log, which keeps the newest record of each key.
package tailer

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/jonboulle/clockwork"

	"github.com/hornbeamspan/hornbeamspan/parts/state/replicator"
	"github.com/hornbeamspan/hornbeamspan/transport/eventlogger"
)

const (
	// minRetryDelay is the delay after the first failed call; it doubles with each further failure, up to maxRetryDelay.
	minRetryDelay = 200 * time.Millisecond
	maxRetryDelay = time.Second
)

// Record is one record of a keyed topic. An empty Value deletes the key.
type Record = replicator.Record

// Page is one page of the newest records of all keys. The pages of a listing do not form a consistent snapshot.
type Page struct {
	Records []Record
	More    bool
	// End is the offset after the last record of the topic.
	End uint64
}

// Log is a log with keyed topics.
type Log interface {
	// Newest returns the newest record of each key that sorts after the key after.
	Newest(ctx context.Context, topic, after string) (Page, error)
	// Read returns the records from an offset on as soon as there are any, or none after wait, and the offset of the next
	// read.
	Read(ctx context.Context, topic string, from uint64, wait time.Duration) (records []Record, next uint64, err error)
}

// ExpiredError reports that records were deleted before they were read.
type ExpiredError struct {
	Topic string
	// First is the position of the oldest record, 0 if it is not known.
	First uint64
}

func (e *ExpiredError) Error() string {
	return "tailer: unable to read " + e.Topic + ": records expired before they were read"
}

// RestoredError reports a log that was restored from an older copy: records acknowledged since that copy are lost.
type RestoredError struct {
	Topic string
	// Era is the number of restores so far.
	Era uint64
}

func (e *RestoredError) Error() string {
	return fmt.Sprintf("tailer: unable to follow %s: the log was restored from an older copy and is now in era %d", e.Topic, e.Era)
}

// ImmediateError is an error of a Log after which the next read may succeed without a delay.
type ImmediateError interface {
	error
	MayRetryAtOnce() bool
}

// Sink receives the records and the state of the log. Its methods are called by one goroutine.
type Sink interface {
	// Record handles one record.
	Record(r Record)
	// Listed handles the end of a full listing: keys are the existing keys, end is the offset up to which they were read.
	Listed(keys map[string]bool, end uint64)
	// Lost and Regained report that the log became unreachable, or is reachable. They are called repeatedly.
	Lost(err error)
	Regained()
}

// Options configures a Tailer.
type Options struct {
	Log   Log
	Topic string
	Sink  Sink
	// Wait is how long a read waits for records; with 0 it returns immediately.
	Wait time.Duration
	// OnEra is called with the era of each listing; it may be nil.
	OnEra func(era uint64)
	Clock clockwork.Clock
	Logs  hclog.Logger
}

// Tailer passes the records of one topic to a Sink.
type Tailer struct {
	options  Options
	next     uint64
	isListed bool
	// hasListedBefore is set once the topic has been listed and stays set.
	hasListedBefore bool
	isLost          bool
	done            chan struct{}
}

// New returns a Tailer; Run starts it.
func New(o Options) *Tailer { return &Tailer{options: o, done: make(chan struct{})} }

// Done returns a channel that is closed once Run has returned.
func (t *Tailer) Done() <-chan struct{} { return t.done }

// Run follows the topic until ctx is done.
func (t *Tailer) Run(ctx context.Context) {
	defer close(t.done)
	delay := minRetryDelay
	for ctx.Err() == nil {
		err := t.read(ctx)
		if ctx.Err() != nil {
			return
		}
		if err == nil {
			t.reportState(nil)
			delay = minRetryDelay
			continue
		}
		var expired *ExpiredError
		if errors.As(err, &expired) {
			eventlogger.Warn(t.options.Logs, eventlogger.RecordsExpired, "stream", t.options.Topic, "from", t.next)
			t.isListed = false
			continue
		}
		t.reportState(err)
		var immediate ImmediateError
		if errors.As(err, &immediate) && immediate.MayRetryAtOnce() {
			continue
		}
		t.sleep(ctx, delay)
		delay = min(2*delay, maxRetryDelay)
	}
}

func (t *Tailer) read(ctx context.Context) error {
	if !t.isListed {
		return t.list(ctx)
	}
	records, next, err := t.options.Log.Read(ctx, t.options.Topic, t.next, t.options.Wait)
	if err != nil {
		return err
	}
	for _, r := range records {
		t.options.Sink.Record(r)
	}
	t.next = next
	return nil
}

// list reads the newest record of every key and sets the next read to the end given by the first page.
func (t *Tailer) list(ctx context.Context) error {
	keys := make(map[string]bool)
	end, err := List(ctx, t.options.Log, t.options.Topic, func(r Record) {
		keys[r.Key] = true
		t.options.Sink.Record(r)
	})
	if err != nil {
		return err
	}
	if t.hasListedBefore && replicator.Era(end) > replicator.Era(t.next) {
		// Live writers will write the lost records again, so a missing key does not mean yet that it was deleted.
		t.reportState(&RestoredError{Topic: t.options.Topic, Era: replicator.Era(end)})
	}
	t.next = end
	t.isListed, t.hasListedBefore = true, true
	t.options.Sink.Listed(keys, end)
	if t.options.OnEra != nil {
		t.options.OnEra(replicator.Era(end))
	}
	return nil
}

// Lister lists the newest records of a topic.
type Lister interface {
	Newest(ctx context.Context, topic, after string) (Page, error)
}

// List calls handle with the newest record of every key of a topic and returns the end of the topic as of the first page.
// Records appended during the listing must be read from there.
func List(ctx context.Context, l Lister, topic string, handle func(Record)) (end uint64, err error) {
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
			return 0, &RestoredError{Topic: topic, Era: era}
		}
		for _, r := range page.Records {
			after = r.Key
			handle(r)
		}
		if !page.More || len(page.Records) == 0 {
			return end, nil
		}
	}
}

func (t *Tailer) reportState(err error) {
	if err == nil {
		if t.isLost {
			eventlogger.Info(t.options.Logs, eventlogger.LogReachable, "stream", t.options.Topic)
		}
		t.isLost = false
		t.options.Sink.Regained()
		return
	}
	if !t.isLost {
		eventlogger.Warn(t.options.Logs, eventlogger.LogUnreachable, "stream", t.options.Topic, "error", err.Error())
	}
	t.isLost = true
	t.options.Sink.Lost(err)
}

func (t *Tailer) sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-t.options.Clock.After(d):
	}
}
