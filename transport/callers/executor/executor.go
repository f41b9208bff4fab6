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
	"github.com/hornbeamspan/hornbeamspan/transport/eventer"
	"github.com/hornbeamspan/hornbeamspan/transport/hosts/gossiper"
	"github.com/hornbeamspan/hornbeamspan/transport/hosts/messenger"
	"github.com/hornbeamspan/hornbeamspan/transport/store/registrar"
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
	Answer     registrar.Answer
}

// Executor runs at-most-once calls: it claims their keys, sends them and records their answers.
type Executor struct {
	host        string
	incarnation uint64
	sequence    atomic.Uint64
	hosts       *gossiper.Gossiper
	messenger   *messenger.Messenger
	registrar   *registrar.Registrar
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
	Registrar   *registrar.Registrar
	Sender      *sender.Sender
	Clock       clockwork.Clock
	Logs        hclog.Logger
}

// New returns an Executor and registers handlers for the messages that it gets as the owner of keys.
func New(o Options) *Executor {
	x := &Executor{
		host: o.Host, incarnation: o.Incarnation, hosts: o.Hosts, messenger: o.Messenger,
		registrar: o.Registrar, sender: o.Sender, clock: o.Clock, logs: o.Logs,
	}
	messenger.Handle(o.Messenger, kindClaim, x.handleClaim)
	messenger.Handle(o.Messenger, kindFinish, x.handleFinish)
	messenger.Handle(o.Messenger, kindRelease, x.handleRelease)
	messenger.Handle(o.Messenger, kindJoin, x.handleJoin)
	return x
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
func (x *Executor) Execute(ctx context.Context, c Call) Result {
	key := KeyDigest(c.Organisation, c.Rule.Service, c.Key)
	fingerprint := digest([]byte(c.Job.Method), []byte(c.Job.Target), c.Job.Body)
	id := x.nextID()
	owner, isLocal := x.hosts.Owner(x.registrar.Stream(key))
	o, err := x.claim(ctx, owner.Address, isLocal, id, key, fingerprint)
	var remote *messenger.RemoteError
	if err != nil && !isLocal && !errors.As(err, &remote) {
		x.registrar.Release(id, key)
		id, isLocal = x.nextID(), true
		o, err = x.claim(ctx, owner.Address, isLocal, id, key, fingerprint)
	}
	if err != nil {
		return x.abandon(id, key, err)
	}
	switch o.Verdict {
	case claimer.Won:
		return x.run(ctx, c, id, key)
	case claimer.Mismatch:
		return Result{
			Outcome: OutcomeUnknown, Code: "key_reused", HTTPStatus: http.StatusUnprocessableEntity,
			Message: "this Idempotency-Key was used for a call with another body",
		}
	}
	return x.join(ctx, c, key)
}

func (x *Executor) nextID() claimer.ID {
	return claimer.ID{Host: x.host, Incarnation: x.incarnation, Sequence: x.sequence.Add(1)}
}

// abandon releases the claim for good, so that the outcome "not run" is correct and a repeat may use the key.
func (x *Executor) abandon(id claimer.ID, key claimer.Digest, err error) Result {
	var notClaimed *registrar.NotClaimedError
	if !errors.As(err, &notClaimed) {
		x.registrar.Release(id, key)
		eventer.Warn(x.logs, eventer.ClaimAbandoned, "claim", id.Sequence, "error", err.Error())
	}
	return Result{
		Outcome: OutcomeNotRun, Code: "claim_failed", HTTPStatus: http.StatusServiceUnavailable, RetryAfter: retryAfter,
		Message: "the call has not run: unable to reach the log that prevents repeated runs",
	}
}

// run sends the call. It continues when the caller disconnects, so that a repeat finds the answer.
func (x *Executor) run(ctx context.Context, c Call, id claimer.ID, key claimer.Digest) Result {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), RunTimeout)
	defer cancel()
	c.Job.Expires = x.clock.Now().Add(RunTimeout)
	reply, err := x.sender.AtMostOnce(ctx, c.Job)
	var failed *sender.SendError
	if errors.As(err, &failed) && failed.Outcome != sender.Unknown {
		x.release(id, key)
		return Result{
			Outcome: OutcomeNotRun, Code: "service_unreachable", HTTPStatus: http.StatusServiceUnavailable, RetryAfter: retryAfter,
			Message: "the call has not run: " + failed.Reason,
		}
	}
	if err != nil {
		eventer.Warn(x.logs, eventer.OutcomeUnknown, "service", c.Rule.Service, "error", err.Error())
		return unknownOutcome("the call was sent, but its answer was lost")
	}
	answer := answerToKeep(reply)
	if answer.Status >= http.StatusInternalServerError {
		return Result{Outcome: OutcomeUnknown, Answer: answer}
	}
	x.finish(ctx, id, key, answer)
	return Result{Outcome: OutcomeDone, Answer: answer}
}

func unknownOutcome(message string) Result {
	return Result{
		Outcome: OutcomeUnknown, Code: "outcome_unknown", HTTPStatus: http.StatusConflict, RetryAfter: retryAfter, Message: message,
	}
}

// join returns the answer of the attempt that holds the key, or its state.
func (x *Executor) join(ctx context.Context, c Call, key claimer.Digest) Result {
	state, a, err := x.awaitAnswer(ctx, key)
	if err != nil {
		return unknownOutcome("another attempt holds this key, and the host that owns the key does not answer")
	}
	switch state {
	case registrar.Kept:
		return Result{Outcome: OutcomeDone, Repeated: true, Answer: a}
	case registrar.Done:
		return x.queryStatus(ctx, c, Result{
			Outcome: OutcomeDone, Code: "already_run", HTTPStatus: http.StatusConflict, Repeated: true,
			Message: "the call has already run; its answer is no longer stored",
		})
	case registrar.Running:
		return x.queryStatus(ctx, c, unknownOutcome("another attempt with this key is still running"))
	}
	return Result{
		Outcome: OutcomeNotRun, Code: "attempt_given_up", HTTPStatus: http.StatusServiceUnavailable, RetryAfter: retryAfter,
		Message: "this attempt has not run; the one that held the key was abandoned",
	}
}

// queryStatus queries the service's status path, if the rules name one, and returns otherwise if it gives no answer.
func (x *Executor) queryStatus(ctx context.Context, c Call, otherwise Result) Result {
	if c.Rule.Status == "" {
		return otherwise
	}
	j := &sender.Job{
		Service: c.Rule.Service, Method: http.MethodGet, Target: c.Rule.Status + "/" + url.PathEscape(c.Key),
		Expires: x.clock.Now().Add(RunTimeout), MaxAttempts: statusAttempts,
	}
	j.Fingerprint = sender.Fingerprint(j)
	x.sender.CountRequest(j.Service)
	reply, err := x.sender.Lookup(ctx, j)
	if err != nil || reply.Status != http.StatusOK {
		return otherwise
	}
	return Result{Outcome: OutcomeDone, Repeated: true, Answer: answerToKeep(reply)}
}

// answerToKeep returns the part of a service's answer that is stored for repeats of a call.
func answerToKeep(r *sender.Reply) registrar.Answer {
	return registrar.Answer{Status: r.Status, Type: r.Header.Get("Content-Type"), Body: r.Body}
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
