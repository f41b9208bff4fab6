// Package executor runs calls that must run at most once.
//
// A call is sent to its service only after its claim was read back from the log as won. A failure after the send has an
// unknown outcome; only a failure before it is reported as not run.
package executor

import (
	"context"
	"crypto/sha256"
	"errors"
	"net/http"
	"net/url"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/jonboulle/clockwork"

	"github.com/hornbeamspan/hornbeamspan/parts/coordination/claimer"
	"github.com/hornbeamspan/hornbeamspan/parts/coordination/parser"
	"github.com/hornbeamspan/hornbeamspan/protocol/encoder"
	"github.com/hornbeamspan/hornbeamspan/protocol/wire"
	"github.com/hornbeamspan/hornbeamspan/transport/endpoints/sender"
	"github.com/hornbeamspan/hornbeamspan/transport/eventlogger"
	"github.com/hornbeamspan/hornbeamspan/transport/hosts/gossiper"
	"github.com/hornbeamspan/hornbeamspan/transport/hosts/messenger"
	"github.com/hornbeamspan/hornbeamspan/transport/store/keyowner"
)

const (
	// ClaimTimeout bounds the wait for the verdict on a claim.
	ClaimTimeout = 1500 * time.Millisecond
	// JoinTimeout bounds the wait for the answer to a call that another attempt is running.
	JoinTimeout = 5 * time.Second
	// RunTimeout bounds the execution of a call by its service.
	RunTimeout = 30 * time.Second
	// statusAttempts bounds the endpoints that are queried for the status of a call.
	statusAttempts = 2
	// retryAfter is the Retry-After of failed calls and of those with an unknown outcome.
	retryAfter = 2 * time.Second
)

// Outcome is the final state of a call as far as it is known.
type Outcome string

// The outcomes of a call; their values are sent to callers.
const (
	OutcomeNotRun  Outcome = "not_run"
	OutcomeUnknown Outcome = "unknown"
	OutcomeDone    Outcome = "done"
)

// Call is a call with its idempotency key and the rule that demands one.
type Call struct {
	Organisation string
	Rule         parser.Once
	Key          string
	Job          *sender.Job
}

// Result is the answer to a call. A non-empty Code means an error of this host instead of the service's answer.
type Result struct {
	Outcome    Outcome
	Code       string
	Message    string
	HTTPStatus int
	RetryAfter time.Duration
	Repeated   bool
	Answer     keyowner.Answer
}

// Executor runs at-most-once calls: it claims their keys, sends them and records their answers.
type Executor struct {
	host        string
	incarnation uint64
	sequence    atomic.Uint64
	hosts       *gossiper.Gossiper
	messenger   *messenger.Messenger
	keyOwner    *keyowner.Owner
	sender      *sender.Sender
	clock       clockwork.Clock
	logs        hclog.Logger
}

// Options are the dependencies of an Executor.
type Options struct {
	Host        string
	Incarnation uint64
	Hosts       *gossiper.Gossiper
	Messenger   *messenger.Messenger
	KeyOwner    *keyowner.Owner
	Sender      *sender.Sender
	Clock       clockwork.Clock
	Logs        hclog.Logger
}

// New returns an Executor and registers handlers for the messages that it gets as the owner of keys.
func New(o Options) *Executor {
	e := &Executor{
		host: o.Host, incarnation: o.Incarnation, hosts: o.Hosts, messenger: o.Messenger,
		keyOwner: o.KeyOwner, sender: o.Sender, clock: o.Clock, logs: o.Logs,
	}
	messenger.Handle(o.Messenger, kindClaim, e.handleClaim)
	messenger.Handle(o.Messenger, kindFinish, e.handleFinish)
	messenger.Handle(o.Messenger, kindRelease, e.handleRelease)
	messenger.Handle(o.Messenger, kindJoin, e.handleJoin)
	return e
}

// KeyDigest identifies the action that an idempotency key of an organisation stands for at a service.
func KeyDigest(organisation, service, key string) claimer.Digest {
	return digest([]byte(organisation), []byte(service), []byte(key))
}

func digest(parts ...[]byte) claimer.Digest {
	h := sha256.New()
	for _, p := range parts {
		var size [8]byte
		for i := range size {
			size[i] = byte(len(p) >> (8 * i))
		}
		h.Write(size[:])
		h.Write(p)
	}
	var d claimer.Digest
	copy(d[:], h.Sum(nil))
	return d
}

// Execute runs c, waits for another attempt that runs it, or returns why neither is possible.
func (e *Executor) Execute(ctx context.Context, c Call) Result {
	key := KeyDigest(c.Organisation, c.Rule.Service, c.Key)
	fingerprint := digest([]byte(c.Job.Method), []byte(c.Job.Target), c.Job.Body)
	id := e.nextID()
	owner, isLocal := e.hosts.Owner(e.keyOwner.Stream(key))
	o, err := e.claim(ctx, owner.Address, isLocal, id, key, fingerprint)
	var remote *messenger.RemoteError
	if err != nil && !isLocal && !errors.As(err, &remote) {
		e.keyOwner.Release(id, key)
		id, isLocal = e.nextID(), true
		o, err = e.claim(ctx, owner.Address, isLocal, id, key, fingerprint)
	}
	if err != nil {
		return e.abandon(id, key, err)
	}
	switch o.Verdict {
	case claimer.Won:
		return e.run(ctx, c, id, key)
	case claimer.Mismatch:
		return Result{
			Outcome: OutcomeUnknown, Code: "key_reused", HTTPStatus: http.StatusUnprocessableEntity,
			Message: "this Idempotency-Key was used for a call with another body",
		}
	}
	return e.join(ctx, c, key)
}

func (e *Executor) nextID() claimer.ID {
	return claimer.ID{Host: e.host, Incarnation: e.incarnation, Sequence: e.sequence.Add(1)}
}

// abandon releases the claim for good, so that the outcome "not run" is correct and a repeat may use the key.
func (e *Executor) abandon(id claimer.ID, key claimer.Digest, err error) Result {
	var notClaimed *keyowner.NotClaimedError
	if !errors.As(err, &notClaimed) {
		e.keyOwner.Release(id, key)
		eventlogger.Warn(e.logs, eventlogger.ClaimAbandoned, "claim", id.Sequence, "error", err.Error())
	}
	return Result{
		Outcome: OutcomeNotRun, Code: "claim_failed", HTTPStatus: http.StatusServiceUnavailable, RetryAfter: retryAfter,
		Message: "the call has not run: unable to reach the log that prevents repeated runs",
	}
}

// run sends the call. It continues when the caller disconnects, so that a repeat finds the answer.
func (e *Executor) run(ctx context.Context, c Call, id claimer.ID, key claimer.Digest) Result {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), RunTimeout)
	defer cancel()
	c.Job.Expires = e.clock.Now().Add(RunTimeout)
	reply, err := e.sender.AtMostOnce(ctx, c.Job)
	var failed *sender.SendError
	if errors.As(err, &failed) && failed.Outcome != sender.Unknown {
		e.release(id, key)
		return Result{
			Outcome: OutcomeNotRun, Code: "service_unreachable", HTTPStatus: http.StatusServiceUnavailable, RetryAfter: retryAfter,
			Message: "the call has not run: " + failed.Reason,
		}
	}
	if err != nil {
		eventlogger.Warn(e.logs, eventlogger.OutcomeUnknown, "service", c.Rule.Service, "error", err.Error())
		return unknownOutcome("the call was sent, but its answer was lost")
	}
	answer := answerToStore(reply)
	if answer.Status >= http.StatusInternalServerError {
		return Result{Outcome: OutcomeUnknown, Answer: answer}
	}
	e.finish(ctx, id, key, answer)
	return Result{Outcome: OutcomeDone, Answer: answer}
}

func unknownOutcome(message string) Result {
	return Result{
		Outcome: OutcomeUnknown, Code: "outcome_unknown", HTTPStatus: http.StatusConflict, RetryAfter: retryAfter, Message: message,
	}
}

// join returns the answer of the attempt that holds the key, or its state.
func (e *Executor) join(ctx context.Context, c Call, key claimer.Digest) Result {
	state, a, err := e.awaitAnswer(ctx, key)
	if err != nil {
		return unknownOutcome("another attempt holds this key, and the host that owns the key does not answer")
	}
	switch state {
	case keyowner.Stored:
		return Result{Outcome: OutcomeDone, Repeated: true, Answer: a}
	case keyowner.Done:
		return e.queryStatus(ctx, c, Result{
			Outcome: OutcomeDone, Code: "already_run", HTTPStatus: http.StatusConflict, Repeated: true,
			Message: "the call has already run; its answer is no longer stored",
		})
	case keyowner.Running:
		return e.queryStatus(ctx, c, unknownOutcome("another attempt with this key is still running"))
	}
	return Result{
		Outcome: OutcomeNotRun, Code: "attempt_given_up", HTTPStatus: http.StatusServiceUnavailable, RetryAfter: retryAfter,
		Message: "this attempt has not run; the one that held the key was abandoned",
	}
}

// queryStatus queries the service's status path, if the rules name one, and returns otherwise if it gives no answer.
func (e *Executor) queryStatus(ctx context.Context, c Call, otherwise Result) Result {
	if c.Rule.Status == "" {
		return otherwise
	}
	j := &sender.Job{
		Service: c.Rule.Service, Method: http.MethodGet, Target: c.Rule.Status + "/" + url.PathEscape(c.Key),
		Expires: e.clock.Now().Add(RunTimeout), MaxAttempts: statusAttempts,
	}
	j.Fingerprint = sender.Fingerprint(j)
	defer e.sender.Release(j)
	e.sender.CountRequest(j.Service)
	reply, err := e.sender.Lookup(ctx, j)
	if err != nil || reply.Status != http.StatusOK {
		return otherwise
	}
	return Result{Outcome: OutcomeDone, Repeated: true, Answer: answerToStore(reply)}
}

// answerToStore returns the part of a service's answer that is stored for repeats of a call.
func answerToStore(r *sender.Reply) keyowner.Answer {
	return keyowner.Answer{Status: r.Status, Type: r.Header.Get("Content-Type"), Body: r.Body}
}

func decodeOutcome(w wire.ClaimResponse) (claimer.Outcome, error) {
	o := claimer.Outcome{Verdict: claimer.Verdict(w.Verdict)}
	if w.Holder == nil {
		return o, nil
	}
	h, err := encoder.ClaimerHolding(*w.Holder)
	o.Holder = h
	return o, err
}
