// Package rulepublisher holds the active rule file and publishes changes to it.
package rulepublisher

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/jonboulle/clockwork"

	"github.com/hornbeamspan/hornbeamspan/parts/coordination/parser"
	"github.com/hornbeamspan/hornbeamspan/parts/coordination/publisher"
	"github.com/hornbeamspan/hornbeamspan/protocol/encoder"
	"github.com/hornbeamspan/hornbeamspan/transport/eventlogger"
	"github.com/hornbeamspan/hornbeamspan/transport/store/follower"
	"github.com/hornbeamspan/hornbeamspan/transport/store/logclient"
)

// Stream is the name of the log stream of rule files.
const Stream = "rules"

// ActiveRules is the active rule file in raw and parsed form. It is immutable.
type ActiveRules struct {
	File  publisher.File
	Rules *parser.Rules
}

// NotPublishedError reports a publication that was not appended and will not be by this attempt.
type NotPublishedError struct {
	ID     string
	Reason string
}

func (e *NotPublishedError) Error() string {
	return fmt.Sprintf("rulepublisher: unable to publish %s: %s", e.ID, e.Reason)
}

// UnknownPublicationError reports a publication whose verdict was not read in time. Publishing the same ID again is safe.
type UnknownPublicationError struct {
	ID string
}

func (e *UnknownPublicationError) Error() string {
	return fmt.Sprintf("rulepublisher: unable to read the verdict on publication %s in time", e.ID)
}

// Publisher follows the rules stream. The active version never decreases.
type Publisher struct {
	logs           hclog.Logger
	evaluator      *publisher.Evaluator
	follower       *follower.Follower[publisher.Payload]
	checkpointer   *follower.Checkpointer[publisher.Payload]
	current        atomic.Pointer[ActiveRules]
	mu             sync.Mutex
	versionChanged chan struct{}
	done           chan struct{}
}

// Options configures a Publisher.
type Options struct {
	Log  *logclient.Client
	Logs hclog.Logger
	// CheckpointInterval is the time between checkpoints of the stream; 0 disables checkpoints.
	CheckpointInterval time.Duration
	// IsOwner reports whether this host writes the checkpoints.
	IsOwner func() bool
	Clock   clockwork.Clock
}

// New returns a Publisher without active rules.
func New(o Options) *Publisher {
	evaluator := publisher.NewEvaluator(map[int]publisher.Validator{parser.Version: parser.Check})
	codec := follower.Codec[publisher.Payload]{Encode: encoder.EncodeRulesRecord, Decode: encoder.DecodeRulesRecord}
	pb := &Publisher{
		logs:           o.Logs,
		evaluator:      evaluator,
		follower:       follower.New[publisher.Payload](Stream, o.Log, codec, evaluator, o.Clock, o.Logs),
		versionChanged: make(chan struct{}),
		done:           make(chan struct{}),
	}
	if o.CheckpointInterval > 0 {
		pb.checkpointer = &follower.Checkpointer[publisher.Payload]{Follower: pb.follower, Interval: o.CheckpointInterval, IsOwner: o.IsOwner, Checkpoint: pb.checkpoint, Clock: o.Clock}
	}
	return pb
}

func (pb *Publisher) checkpoint(upto uint64) []publisher.Payload {
	c := pb.evaluator.Checkpoint(upto)
	return []publisher.Payload{{Checkpoint: &c}}
}

// Done returns a channel that is closed once Run has returned.
func (pb *Publisher) Done() <-chan struct{} { return pb.done }

// Run follows the stream until ctx is done.
func (pb *Publisher) Run(ctx context.Context) {
	defer close(pb.done)
	if pb.checkpointer != nil {
		go pb.checkpointer.Run(ctx)
	}
	go pb.follower.Run(ctx)
	for {
		var file publisher.File
		var stalled error
		changed := pb.follower.View(func(p follower.Position) {
			if p.IsComplete {
				file = pb.evaluator.File()
			}
			stalled = pb.evaluator.Err()
		})
		if stalled != nil {
			eventlogger.Error(pb.logs, eventlogger.RulesNotEvaluated, "error", stalled.Error())
		}
		pb.activate(file)
		select {
		case <-changed:
		case <-ctx.Done():
			<-pb.follower.Done()
			return
		}
	}
}

// File returns the active rule file; its version is 0 if there is none.
func (pb *Publisher) File() publisher.File {
	if current := pb.Current(); current != nil {
		return current.File
	}
	return publisher.File{}
}

// activate makes file the active one if its version is higher than the active version.
func (pb *Publisher) activate(file publisher.File) bool {
	pb.mu.Lock()
	defer pb.mu.Unlock()
	if file.Version <= pb.Version() {
		return false
	}
	rules, err := parser.Parse(file.Text)
	if err != nil {
		eventlogger.Error(pb.logs, eventlogger.RulesNotEvaluated, "version", file.Version, "error", err.Error())
		return false
	}
	pb.current.Store(&ActiveRules{File: file, Rules: rules})
	close(pb.versionChanged)
	pb.versionChanged = make(chan struct{})
	eventlogger.Info(pb.logs, eventlogger.RulesInForce, "version", file.Version, "author", file.Author)
	return true
}

// Offer activates a rule file received from another host if it is newer than the active one.
func (pb *Publisher) Offer(file publisher.File) {
	if pb.activate(file) {
		eventlogger.Info(pb.logs, eventlogger.RulesFromPeer, "version", file.Version)
	}
}

// Current returns the active rules, or nil if there are none.
func (pb *Publisher) Current() *ActiveRules { return pb.current.Load() }

// Version returns the active version, or 0 if there is none.
func (pb *Publisher) Version() uint64 {
	if active := pb.Current(); active != nil {
		return active.File.Version
	}
	return 0
}

// AwaitVersion waits until version or a higher one is active, or ctx is done, and returns the active version.
func (pb *Publisher) AwaitVersion(ctx context.Context, version uint64) uint64 {
	for {
		pb.mu.Lock()
		changed := pb.versionChanged
		pb.mu.Unlock()
		if v := pb.Version(); v >= version {
			return v
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return pb.Version()
		}
	}
}

// History returns the verdicts of the last day, oldest first.
func (pb *Publisher) History() []publisher.Decision {
	var list []publisher.Decision
	pb.follower.View(func(follower.Position) { list = pb.evaluator.Decisions() })
	return list
}

// Publish appends a publication of text based on version base and waits for the verdict. The error is a
// *NotPublishedError or an *UnknownPublicationError. Publishing the same id again does not create another publication.
func (pb *Publisher) Publish(ctx context.Context, id string, base uint64, text, author string) (publisher.Decision, error) {
	file, d, err := pb.awaitBase(ctx, id, base)
	if err != nil || d.ID != "" {
		return d, err
	}
	p := publisher.Publication{
		ID: id, Base: base, Author: author,
		Change: publisher.Diff(file.Text, text), Sum: publisher.SumOf(text), Validator: parser.Version,
	}
	err = pb.follower.Append(ctx, publisher.Payload{Publication: &p})
	var notAppended *logclient.NotAppendedError
	if errors.As(err, &notAppended) {
		return d, &NotPublishedError{ID: id, Reason: notAppended.Reason}
	}
	awaitErr := pb.follower.Await(ctx, func(follower.Position) bool {
		d, _ = pb.evaluator.Decision(id)
		return d.ID != ""
	})
	if awaitErr != nil {
		return d, &UnknownPublicationError{ID: id}
	}
	return d, nil
}

// awaitBase waits until this host has read version base from the log and returns the active file, or the verdict on id if
// there is one already.
func (pb *Publisher) awaitBase(ctx context.Context, id string, base uint64) (file publisher.File, d publisher.Decision, err error) {
	ctx, cancel := context.WithTimeout(ctx, logclient.AppendTimeout)
	defer cancel()
	err = pb.follower.Await(ctx, func(p follower.Position) bool {
		if !p.IsComplete || !p.IsCaughtUp {
			return false
		}
		file = pb.evaluator.File()
		d, _ = pb.evaluator.Decision(id)
		return d.ID != "" || file.Version >= base
	})
	if err != nil {
		return file, d, &NotPublishedError{ID: id, Reason: fmt.Sprintf("this host has not read version %d from the log", base)}
	}
	if d.ID == "" && file.Version > base {
		d = publisher.Decision{ID: id, Version: file.Version, Reason: publisher.ConflictReason(base, file)}
	}
	return file, d, nil
}
