package generator

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"time"

	"github.com/hornbeamspan/hornbeamspan/protocol/completer"
	"github.com/hornbeamspan/hornbeamspan/transport/endpoints/reserver"
	"github.com/hornbeamspan/hornbeamspan/transport/endpoints/watcher"
	"github.com/hornbeamspan/hornbeamspan/transport/eventlogger"
	"github.com/hornbeamspan/hornbeamspan/transport/hosts/isolator"
)

const (
	// maxOwnerQueries limits the number of engines whose owners are queried for one reservation.
	maxOwnerQueries = 5
	// slotPollInterval is the time between two rounds of requests for a decode slot.
	slotPollInterval = 50 * time.Millisecond
	// holdMargin is subtracted from the time for which a prefill engine promises to keep a result.
	holdMargin = 50 * time.Millisecond
	// reservationGrace is added to the expected end of a request to get the expiry of its reservation.
	reservationGrace = 2 * time.Second
	// prefixWords is the number of leading words that identify a prompt's prefix.
	prefixWords = 128
)

// flow is the execution of one request on a prefill and a decode engine, including retries.
type flow struct {
	generator   *Generator
	request     Request
	emit        func(string) error
	fingerprint uint64
	sequence    uint64
	id          string
	begin       time.Time
	// tries counts started prefills and failed decodes, which maxTries limits; attempt numbers the requests to engines.
	tries   int
	attempt uint64
	// position is that of the next token to emit.
	position int
	// transfer refers to the result of the last prefill, valid until transferEnd.
	transfer       *completer.Transfer
	transferEnd    time.Time
	prefill        watcher.Endpoint
	prefillAttempt uint64
	// ended is set once a token with a finish reason was emitted.
	ended  bool
	failed []string
	// prefixHash is computed on first use; 0 before.
	prefixHash uint64
	// prefillEnd is when the last prefill ended, zero once the first token has arrived.
	prefillEnd time.Time
	// firstTokenAt is when the first token after the last prefill arrived, at firstPosition.
	firstTokenAt  time.Time
	firstPosition int
}

func (f *flow) now() time.Time { return f.generator.options.Clock.Now() }

// runAttempt makes one attempt: it reserves the engines, runs the prefill unless an earlier result is still valid, and
// runs the decode.
func (f *flow) runAttempt(ctx context.Context) error {
	reuse := f.transfer != nil && f.now().Before(f.transferEnd)
	route := &route{prefill: f.prefill, queueEntry: &reserver.QueueEntry{}, slot: &reserver.Slot{}}
	if !reuse {
		if err := f.choosePrefill(ctx, route); err != nil {
			return err
		}
	}
	if err := f.chooseDecode(ctx, route); err != nil {
		route.queueEntry.Cancel()
		return err
	}
	defer func() { route.slot.Release() }()
	if !reuse {
		if err := f.runPrefill(ctx, route.prefill); err != nil {
			route.queueEntry.Cancel()
			return err
		}
	}
	if !f.generator.options.Endpoints.IsUsable(route.decode.Name) {
		route.slot.Release()
		if err := f.chooseDecode(ctx, route); err != nil {
			f.releasePrefill()
			return err
		}
	}
	return f.runDecode(ctx, route.decode)
}

// candidates returns the usable endpoints of pool, without those that failed this request unless no others are left.
func (f *flow) candidates(pool string) []watcher.Endpoint {
	usable := f.generator.options.Endpoints.Usable(pool)
	untried := slices.DeleteFunc(slices.Clone(usable), func(e watcher.Endpoint) bool {
		return slices.Contains(f.failed, e.Name)
	})
	if len(untried) > 0 {
		return untried
	}
	return usable
}

func noEngineError(pool string) *RefusedError {
	return &RefusedError{
		Code: "no_engine", Status: http.StatusServiceUnavailable, RetryAfter: defaultRetryAfter,
		Reason: "pool " + pool + " has no usable engine",
	}
}

// releasePrefill lets the prefill engine free the result of the last prefill.
func (f *flow) releasePrefill() {
	if f.transfer != nil {
		f.generator.options.Canceller.Cancel(f.prefill, f.id, f.prefillAttempt)
	}
}

// recordFailure excludes e from further attempts where possible. If the engine crashed while it ran the request, the
// crash counts against the request.
func (f *flow) recordFailure(ctx context.Context, e watcher.Endpoint, cause error) error {
	g := f.generator
	g.options.Canceller.Cancel(e, f.id, f.attempt)
	if ctx.Err() != nil {
		f.releasePrefill()
		return ctx.Err()
	}
	f.failed = append(f.failed, e.Name)
	eventlogger.Warn(g.options.Logs, eventlogger.AttemptFailed, "engine", e.Name, "request", f.id, "attempt", f.attempt, "error", cause.Error())
	var unreachable *UnreachableError
	if errors.As(cause, &unreachable) {
		g.options.Endpoints.MarkDown(e.Name)
		return cause
	}
	if g.isDead(e) {
		g.options.Endpoints.MarkDown(e.Name)
		g.options.Isolator.RecordCrash(isolator.Endpoint{ID: e.Name + "/" + e.Load.Incarnation}, f.fingerprint)
	}
	return cause
}
