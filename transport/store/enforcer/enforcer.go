// Package enforcer holds the active rule file and publishes changes to it.
package enforcer

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
	return fmt.Sprintf("enforcer: unable to publish %s: %s", e.ID, e.Reason)
}

// UnknownPublicationError reports a publication whose verdict was not read in time. Publishing the same ID again is safe.
type UnknownPublicationError struct {
	ID string
}

func (e *UnknownPublicationError) Error() string {
	return fmt.Sprintf("enforcer: unable to read the verdict on publication %s in time", e.ID)
}

// Enforcer follows the rules stream. The active version never decreases.
type Enforcer struct {
	logs           hclog.Logger
	evaluator      *publisher.Evaluator
	follower       *follower.Follower[publisher.Payload]
	checkpointer   *follower.Checkpointer[publisher.Payload]
	current        atomic.Pointer[ActiveRules]
	mu             sync.Mutex
	versionChanged chan struct{}
	done           chan struct{}
}

// Options configures an Enforcer.
type Options struct {
	Log  *logclient.Client
	Logs hclog.Logger
	// CheckpointInterval is the time between checkpoints of the stream; 0 disables checkpoints.
	CheckpointInterval time.Duration
	// IsOwner reports whether this host writes the checkpoints.
	IsOwner func() bool
	Clock   clockwork.Clock
}

// New returns an Enforcer without active rules.
func New(o Options) *Enforcer {
	judge := publisher.NewEvaluator(map[int]publisher.Validator{parser.Version: parser.Check})
	codec := follower.Codec[publisher.Payload]{Encode: encoder.EncodeRulesRecord, Decode: encoder.DecodeRulesRecord}
	e := &Enforcer{
		logs:           o.Logs,
		evaluator:      judge,
		follower:       follower.New[publisher.Payload](Stream, o.Log, codec, judge, o.Clock, o.Logs),
		versionChanged: make(chan struct{}),
		done:           make(chan struct{}),
	}
	if o.CheckpointInterval > 0 {
		e.checkpointer = &follower.Checkpointer[publisher.Payload]{Follower: e.follower, Interval: o.CheckpointInterval, IsOwner: o.IsOwner, Checkpoint: e.checkpoint, Clock: o.Clock}
	}
	return e
}

func (e *Enforcer) checkpoint(upto uint64) []publisher.Payload {
	c := e.evaluator.Checkpoint(upto)
	return []publisher.Payload{{Checkpoint: &c}}
}

// Done returns a channel that is closed once Run has returned.
func (e *Enforcer) Done() <-chan struct{} { return e.done }

// Run follows the stream until ctx is done.
func (e *Enforcer) Run(ctx context.Context) {
	defer close(e.done)
	if e.checkpointer != nil {
		go e.checkpointer.Run(ctx)
	}
	go e.follower.Run(ctx)
	for {
		var file publisher.File
		var stalled error
		changed := e.follower.View(func(p follower.Position) {
			if p.IsComplete {
				file = e.evaluator.File()
			}
			stalled = e.evaluator.Err()
		})
		if stalled != nil {
			eventlogger.Error(e.logs, eventlogger.RulesNotEvaluated, "error", stalled.Error())
		}
		e.activate(file)
		select {
		case <-changed:
		case <-ctx.Done():
			<-e.follower.Done()
			return
		}
	}
}

// File returns the active rule file; its version is 0 if there is none.
func (e *Enforcer) File() publisher.File {
	if current := e.Current(); current != nil {
		return current.File
	}
	return publisher.File{}
}

// activate makes file the active one if its version is higher than the active version.
func (e *Enforcer) activate(file publisher.File) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if file.Version <= e.Version() {
		return false
	}
	rules, err := parser.Parse(file.Text)
	if err != nil {
		eventlogger.Error(e.logs, eventlogger.RulesNotEvaluated, "version", file.Version, "error", err.Error())
		return false
	}
	e.current.Store(&ActiveRules{File: file, Rules: rules})
	close(e.versionChanged)
	e.versionChanged = make(chan struct{})
	eventlogger.Info(e.logs, eventlogger.RulesInForce, "version", file.Version, "author", file.Author)
	return true
}

// Offer activates a rule file received from another host if it is newer than the active one.
func (e *Enforcer) Offer(file publisher.File) {
	if e.activate(file) {
		eventlogger.Info(e.logs, eventlogger.RulesFromPeer, "version", file.Version)
	}
}

// Current returns the active rules, or nil if there are none.
func (e *Enforcer) Current() *ActiveRules { return e.current.Load() }

// Version returns the active version, or 0 if there is none.
func (e *Enforcer) Version() uint64 {
	if c := e.Current(); c != nil {
		return c.File.Version
	}
	return 0
}

// AwaitVersion waits until version or a higher one is active, or ctx is done, and returns the active version.
func (e *Enforcer) AwaitVersion(ctx context.Context, version uint64) uint64 {
	for {
		e.mu.Lock()
		changed := e.versionChanged
		e.mu.Unlock()
		if v := e.Version(); v >= version {
			return v
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return e.Version()
		}
	}
}

// History returns the verdicts of the last day, oldest first.
func (e *Enforcer) History() []publisher.Decision {
	var list []publisher.Decision
	e.follower.View(func(follower.Position) { list = e.evaluator.Decisions() })
	return list
}

// Publish appends a publication of text based on version base and waits for the verdict. The error is a
// *NotPublishedError or an *UnknownPublicationError. Publishing the same id again does not create another publication.
func (e *Enforcer) Publish(ctx context.Context, id string, base uint64, text, author string) (publisher.Decision, error) {
	file, d, err := e.awaitBase(ctx, id, base)
	if err != nil || d.ID != "" {
		return d, err
	}
	p := publisher.Publication{
		ID: id, Base: base, Author: author,
		Change: publisher.Diff(file.Text, text), Sum: publisher.SumOf(text), Validator: parser.Version,
	}
	err = e.follower.Append(ctx, publisher.Payload{Publication: &p})
	var notAppended *logclient.NotAppendedError
	if errors.As(err, &notAppended) {
		return d, &NotPublishedError{ID: id, Reason: notAppended.Reason}
	}
	awaitErr := e.follower.Await(ctx, func(follower.Position) bool {
		d, _ = e.evaluator.Decision(id)
		return d.ID != ""
	})
	if awaitErr != nil {
		return d, &UnknownPublicationError{ID: id}
	}
	return d, nil
}

// awaitBase waits until this host has read version base from the log and returns the active file, or the verdict on id if
// there is one already.
func (e *Enforcer) awaitBase(ctx context.Context, id string, base uint64) (file publisher.File, d publisher.Decision, err error) {
	ctx, cancel := context.WithTimeout(ctx, logclient.AppendTimeout)
	defer cancel()
	err = e.follower.Await(ctx, func(p follower.Position) bool {
		if !p.IsComplete || !p.IsCaughtUp {
			return false
		}
		file = e.evaluator.File()
		d, _ = e.evaluator.Decision(id)
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
