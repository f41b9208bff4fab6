// Package executor runs calls that must run at most once.
//
// A call is sent to its service only after its claim was read back from the log as won. Whatever fails after the
// sending has an unknown outcome; only what fails before it is reported as not run.
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
	// ClaimTimeout bounds the wait for a verdict.
	ClaimTimeout = 1500 * time.Millisecond
	// JoinTimeout bounds the wait for the answer of a call that another attempt runs.
	JoinTimeout = 5 * time.Second
	// RunTimeout bounds the run of a call at its service.
	RunTimeout = 30 * time.Second
	// statusAttempts bounds the endpoints that are asked what became of a call.
	statusAttempts = 2
	// comeBack is when a caller may try again after a failure of the log.
	comeBack = 2 * time.Second
)

// Outcome is what became of a call.
type Outcome string

// The outcomes.
const (
	NotRun  Outcome = "not_run"
	Unclear Outcome = "unknown"
	Done    Outcome = "done"
)

// Call is a call with its idempotency key.
type Call struct {
	Organisation string
	Rule         parser.Once
	Key          string
	Job          *sender.Job
}

// Result is the answer to a call. If Code is set there is no answer of the service, but an error with that code.
type Result struct {
	Outcome    Outcome
	Code       string
	Message    string
	HTTPStatus int
	RetryAfter time.Duration
	Repeated   bool
	Answer     registrar.Answer
}

// Executor runs once calls.
type Executor struct {
	node        string
	incarnation uint64
	sequence    atomic.Uint64
	hosts       *gossiper.Gossiper
	messenger   *messenger.Messenger
	registrar   *registrar.Registrar
	sender      *sender.Sender
	clock       clockwork.Clock
	logs        hclog.Logger
}

// Options are the parts that an Executor uses.
type Options struct {
	Node        string
	Incarnation uint64
	Hosts       *gossiper.Gossiper
	Messenger   *messenger.Messenger
	Registrar   *registrar.Registrar
	Sender      *sender.Sender
	Clock       clockwork.Clock
	Logs        hclog.Logger
}

// New returns an Executor and takes the kinds of messages it answers as home of keys.
func New(o Options) *Executor {
	x := &Executor{
		node: o.Node, incarnation: o.Incarnation, hosts: o.Hosts, messenger: o.Messenger,
		registrar: o.Registrar, sender: o.Sender, clock: o.Clock, logs: o.Logs,
	}
	messenger.Handle(o.Messenger, kindClaim, x.answerClaim)
	messenger.Handle(o.Messenger, kindFinish, x.answerFinish)
	messenger.Handle(o.Messenger, kindRelease, x.answerRelease)
	messenger.Handle(o.Messenger, kindJoin, x.answerJoin)
	return x
}

// KeyDigest names the business action that key stands for.
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

// Execute runs c, joins the attempt that runs it, or says why neither can be.
func (x *Executor) Execute(ctx context.Context, c Call) Result {
	key := KeyDigest(c.Organisation, c.Rule.Service, c.Key)
	fingerprint := digest([]byte(c.Job.Method), []byte(c.Job.Target), c.Job.Body)
	id := x.nextID()
	home, own := x.hosts.Home(x.registrar.Stream(key))
	o, err := x.claim(ctx, home.Address, own, id, key, fingerprint)
	var lost *messenger.RemoteError
	if err != nil && !own && !errors.As(err, &lost) {
		x.registrar.Release(id, key)
		id, own = x.nextID(), true
		o, err = x.claim(ctx, home.Address, own, id, key, fingerprint)
	}
	if err != nil {
		return x.abandon(id, key, err)
	}
	switch o.Verdict {
	case claimer.Won:
		return x.run(ctx, c, id, key)
	case claimer.Mismatch:
		return Result{
			Outcome: Unclear, Code: "key_reused", HTTPStatus: http.StatusUnprocessableEntity,
			Message: "this Idempotency-Key belongs to a call with another body",
		}
	}
	return x.join(ctx, c, key)
}

func (x *Executor) nextID() claimer.ID {
	return claimer.ID{Node: x.node, Incarnation: x.incarnation, Sequence: x.sequence.Add(1)}
}

// abandon gives up the claim for good, so that "not run" is true, and frees the key for a repeat.
func (x *Executor) abandon(id claimer.ID, key claimer.Digest, err error) Result {
	var not *registrar.NotClaimedError
	if !errors.As(err, &not) {
		x.registrar.Release(id, key)
		eventer.Warn(x.logs, eventer.ClaimAbandoned, "claim", id.Sequence, "error", err.Error())
	}
	return Result{
		Outcome: NotRun, Code: "claim_failed", HTTPStatus: http.StatusServiceUnavailable, RetryAfter: comeBack,
		Message: "the call has not run: the log that guards it is out of reach",
	}
}

// run sends the call. It goes on when the caller leaves, so that a repeat finds the answer.
func (x *Executor) run(ctx context.Context, c Call, id claimer.ID, key claimer.Digest) Result {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), RunTimeout)
	defer cancel()
	c.Job.Expires = x.clock.Now().Add(RunTimeout)
	reply, err := x.sender.Once(ctx, c.Job)
	var failed *sender.SendError
	if errors.As(err, &failed) && failed.Outcome != sender.Unknown {
		x.release(id, key)
		return Result{
			Outcome: NotRun, Code: "service_unreachable", HTTPStatus: http.StatusServiceUnavailable, RetryAfter: comeBack,
			Message: "the call has not run: " + failed.Reason,
		}
	}
	if err != nil {
		eventer.Warn(x.logs, eventer.OutcomeUnknown, "service", c.Rule.Service, "error", err.Error())
		return unclear("the call was sent, but its answer was lost")
	}
	answer := kept(reply)
	if answer.Status >= http.StatusInternalServerError {
		return Result{Outcome: Unclear, Answer: answer}
	}
	x.finish(ctx, id, key, answer)
	return Result{Outcome: Done, Answer: answer}
}

func unclear(message string) Result {
	return Result{
		Outcome: Unclear, Code: "outcome_unknown", HTTPStatus: http.StatusConflict, RetryAfter: comeBack, Message: message,
	}
}

// join gives the answer of the attempt that holds the key, or what is known of it.
func (x *Executor) join(ctx context.Context, c Call, key claimer.Digest) Result {
	state, a, err := x.askJoin(ctx, key)
	if err != nil {
		return unclear("another attempt holds this key, and its home is out of reach")
	}
	switch state {
	case registrar.Kept:
		return Result{Outcome: Done, Repeated: true, Answer: a}
	case registrar.Done:
		return x.settle(ctx, c, Result{
			Outcome: Done, Code: "already_run", HTTPStatus: http.StatusConflict, Repeated: true,
			Message: "the call has run before; its answer is no longer kept",
		})
	case registrar.Running:
		return x.settle(ctx, c, unclear("another attempt holds this key and has not ended"))
	}
	return Result{
		Outcome: NotRun, Code: "attempt_given_up", HTTPStatus: http.StatusServiceUnavailable, RetryAfter: comeBack,
		Message: "this attempt has not run; the one that held the key was given up",
	}
}

// settle asks the service's status path, if the rules name one, and returns otherwise if that does not tell.
func (x *Executor) settle(ctx context.Context, c Call, otherwise Result) Result {
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
	return Result{Outcome: Done, Repeated: true, Answer: kept(reply)}
}

// kept returns what of a service's answer is kept for repeats of a call.
func kept(r *sender.Reply) registrar.Answer {
	return registrar.Answer{Status: r.Status, Type: r.Header.Get("Content-Type"), Body: r.Body}
}

func verdict(w wire.ClaimResponse) (claimer.Outcome, error) {
	o := claimer.Outcome{Verdict: claimer.Verdict(w.Verdict)}
	if w.Holder == nil {
		return o, nil
	}
	h, err := encoder.ClaimerHolding(*w.Holder)
	o.Holder = h
	return o, err
}
