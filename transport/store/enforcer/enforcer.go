// Package enforcer keeps the rule file that is in force and publishes changes of it.
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
	"github.com/hornbeamspan/hornbeamspan/transport/eventer"
	"github.com/hornbeamspan/hornbeamspan/transport/store/follower"
	"github.com/hornbeamspan/hornbeamspan/transport/store/logger"
)

// Stream is the name of the rules stream.
const Stream = "rules"

// InForce is a rule file in force, parsed. It does not change.
type InForce struct {
	File  publisher.File
	Rules *parser.Rules
}

// NotPublishedError reports a publication that was not appended and never will be under this attempt.
type NotPublishedError struct {
	ID     string
	Reason string
}

func (e *NotPublishedError) Error() string {
	return fmt.Sprintf("enforcer: unable to publish %s: %s", e.ID, e.Reason)
}

// UnknownPublicationError reports a publication whose verdict is not known yet. Publishing the same ID again is safe.
type UnknownPublicationError struct {
	ID string
}

func (e *UnknownPublicationError) Error() string {
	return fmt.Sprintf("enforcer: unable to learn the verdict on publication %s in time", e.ID)
}

// Enforcer follows the rules stream. The version in force only rises.
type Enforcer struct {
	logs     hclog.Logger
	judge    *publisher.Evaluator
	follower *follower.Follower[publisher.Payload]
	keeper   *follower.Keeper[publisher.Payload]
	current  atomic.Pointer[InForce]
	mu       sync.Mutex
	raised   chan struct{}
	done     chan struct{}
}

// Options are the settings of an Enforcer.
type Options struct {
	Log  *logger.Client
	Logs hclog.Logger
	// Carry is the time between checkpoints of the stream, 0 for none.
	Carry time.Duration
	// IsHome tells whether this host writes the checkpoints.
	IsHome func() bool
	Clock  clockwork.Clock
}

// New returns an Enforcer without rules.
func New(o Options) *Enforcer {
	judge := publisher.NewEvaluator(map[int]publisher.Validator{parser.Version: parser.Check})
	codec := follower.Codec[publisher.Payload]{Encode: encoder.EncodeRulesRecord, Decode: encoder.DecodeRulesRecord}
	e := &Enforcer{
		logs:     o.Logs,
		judge:    judge,
		follower: follower.New[publisher.Payload](Stream, o.Log, codec, judge, o.Clock, o.Logs),
		raised:   make(chan struct{}),
		done:     make(chan struct{}),
	}
	if o.Carry > 0 {
		e.keeper = &follower.Keeper[publisher.Payload]{Follower: e.follower, Period: o.Carry, IsHome: o.IsHome, Checkpoint: e.checkpoint, Clock: o.Clock}
	}
	return e
}

func (e *Enforcer) checkpoint(upto uint64) []publisher.Payload {
	c := e.judge.Checkpoint(upto)
	return []publisher.Payload{{Checkpoint: &c}}
}

// Done is closed once Run has returned.
func (e *Enforcer) Done() <-chan struct{} { return e.done }

// Run follows the stream until ctx ends.
func (e *Enforcer) Run(ctx context.Context) {
	defer close(e.done)
	if e.keeper != nil {
		go e.keeper.Run(ctx)
	}
	go e.follower.Run(ctx)
	for {
		var file publisher.File
		var stalled error
		changed := e.follower.View(func(p follower.Position) {
			if p.Whole {
				file = e.judge.File()
			}
			stalled = e.judge.Err()
		})
		if stalled != nil {
			eventer.Error(e.logs, eventer.RulesNotEvaluated, "error", stalled.Error())
		}
		e.raise(file)
		select {
		case <-changed:
		case <-ctx.Done():
			<-e.follower.Done()
			return
		}
	}
}

// File returns the rule file in force; its version is 0 if there is none.
func (e *Enforcer) File() publisher.File {
	if current := e.Current(); current != nil {
		return current.File
	}
	return publisher.File{}
}

// raise puts file in force if its version is higher than the one in force.
func (e *Enforcer) raise(file publisher.File) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if file.Version <= e.Version() {
		return false
	}
	rules, err := parser.Parse(file.Text)
	if err != nil {
		eventer.Error(e.logs, eventer.RulesNotEvaluated, "version", file.Version, "error", err.Error())
		return false
	}
	e.current.Store(&InForce{File: file, Rules: rules})
	close(e.raised)
	e.raised = make(chan struct{})
	eventer.Info(e.logs, eventer.RulesInForce, "version", file.Version, "author", file.Author)
	return true
}

// Offer takes a rule file that is in force at another host.
func (e *Enforcer) Offer(file publisher.File) {
	if e.raise(file) {
		eventer.Info(e.logs, eventer.RulesFromPeer, "version", file.Version)
	}
}

// Current returns the rules in force, nil if there are none.
func (e *Enforcer) Current() *InForce { return e.current.Load() }

// Version returns the version in force, 0 if there is none.
func (e *Enforcer) Version() uint64 {
	if c := e.Current(); c != nil {
		return c.File.Version
	}
	return 0
}

// AwaitVersion waits until version or a higher one is in force and returns the version in force.
func (e *Enforcer) AwaitVersion(ctx context.Context, version uint64) uint64 {
	for {
		e.mu.Lock()
		raised := e.raised
		e.mu.Unlock()
		if v := e.Version(); v >= version {
			return v
		}
		select {
		case <-raised:
		case <-ctx.Done():
			return e.Version()
		}
	}
}

// History returns the verdicts of the last day, oldest first.
func (e *Enforcer) History() []publisher.Decision {
	var list []publisher.Decision
	e.follower.View(func(follower.Position) { list = e.judge.Decisions() })
	return list
}

// Publish appends a publication of text on top of version base and waits for the verdict. The error is a
// *NotPublishedError or an *UnknownPublicationError. The same id is one publication, however often it is published.
func (e *Enforcer) Publish(ctx context.Context, id string, base uint64, text, author string) (publisher.Decision, error) {
	file, d, err := e.basis(ctx, id, base)
	if err != nil || d.ID != "" {
		return d, err
	}
	p := publisher.Publication{
		ID: id, Base: base, Author: author,
		Change: publisher.Diff(file.Text, text), Sum: publisher.SumOf(text), Validator: parser.Version,
	}
	err = e.follower.Append(ctx, publisher.Payload{Publication: &p})
	var not *logger.NotAppendedError
	if errors.As(err, &not) {
		return d, &NotPublishedError{ID: id, Reason: not.Reason}
	}
	found := e.follower.Await(ctx, func(follower.Position) bool {
		d, _ = e.judge.Decision(id)
		return d.ID != ""
	})
	if found != nil {
		return d, &UnknownPublicationError{ID: id}
	}
	return d, nil
}

// basis waits until this host has read version base and returns that file, or the verdict if there is one already.
func (e *Enforcer) basis(ctx context.Context, id string, base uint64) (file publisher.File, d publisher.Decision, err error) {
	ctx, cancel := context.WithTimeout(ctx, logger.AppendTimeout)
	defer cancel()
	err = e.follower.Await(ctx, func(p follower.Position) bool {
		if !p.Whole || !p.CaughtUp {
			return false
		}
		file = e.judge.File()
		d, _ = e.judge.Decision(id)
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
