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
	"github.com/hornbeamspan/hornbeamspan/transport/eventer"
)

const (
	// askedOwners bounds the engines whose owners are asked for one place.
	maxOwnerQueries = 5
	// suspectPause is the time between two rounds of asking for an engine without another suspect.
	slotPollInterval = 50 * time.Millisecond
	// holdMargin is taken off the time that a prefill engine promises to keep a result.
	holdMargin = 50 * time.Millisecond
	// bookingGrace is added to a booking's end before it lapses by itself.
	bookingGrace = 2 * time.Second
	// prefixWords is the number of words that name a prompt's prefix.
	prefixWords = 128
)

// flow is the way of one request through the engines.
type flow struct {
	generator   *Generator
	request     Request
	emit        func(string) error
	fingerprint uint64
	sequence    uint64
	id          string
	begin       time.Time
	tries       int
	attempt     uint64
	position    int
	// transfer is the result of the last prefill, good until transferEnd.
	transfer       *completer.Transfer
	transferEnd    time.Time
	prefill        watcher.Endpoint
	prefillAttempt uint64
	// ended tells that the engine has marked the last token.
	ended  bool
	failed []string
	// prefixHash names the prompt's prefix, 0 until it is needed.
	prefixHash uint64
	// handedOver is when the last prefill ended, zero once the first token has come.
	prefillEnd time.Time
	// firstToken is when the first token of the last attempt came, at firstPosition.
	firstTokenAt  time.Time
	firstPosition int
}

func (f *flow) now() time.Time { return f.generator.options.Clock.Now() }

// try makes one attempt: book, prefill unless a result is still kept, decode.
func (f *flow) runAttempt(ctx context.Context) error {
	kept := f.transfer != nil && f.now().Before(f.transferEnd)
	route := &route{prefill: f.prefill, queueEntry: &reserver.QueueEntry{}, slot: &reserver.Slot{}}
	if !kept {
		if err := f.choosePrefill(ctx, route); err != nil {
			return err
		}
	}
	if err := f.chooseDecode(ctx, route); err != nil {
		route.queueEntry.Cancel()
		return err
	}
	defer func() { route.slot.Release() }()
	if !kept {
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

// candidates returns the usable endpoints of pool, without those that failed this request if others are left.
func (f *flow) candidates(pool string) []watcher.Endpoint {
	usable := f.generator.options.Endpoints.Usable(pool)
	fresh := slices.DeleteFunc(slices.Clone(usable), func(e watcher.Endpoint) bool {
		return slices.Contains(f.failed, e.Name)
	})
	if len(fresh) > 0 {
		return fresh
	}
	return usable
}

func noEngineError(pool string) *RefusedError {
	return &RefusedError{
		Code: "no_engine", Status: http.StatusServiceUnavailable, RetryAfter: defaultRetryAfter,
		Reason: "no engine of pool " + pool + " is live",
	}
}

// releasePrefill gives up the result of the last prefill.
func (f *flow) releasePrefill() {
	if f.transfer != nil {
		f.generator.options.Releaser.Release(f.prefill, f.id, f.prefillAttempt)
	}
}

// fail notes a failed attempt at e and counts the engine's death against the request if it died while
// it ran it.
func (f *flow) recordFailure(ctx context.Context, e watcher.Endpoint, cause error) error {
	g := f.generator
	g.options.Releaser.Release(e, f.id, f.attempt)
	if ctx.Err() != nil {
		f.releasePrefill()
		return ctx.Err()
	}
	f.failed = append(f.failed, e.Name)
	eventer.Warn(g.options.Logs, eventer.AttemptFailed, "engine", e.Name, "request", f.id, "attempt", f.attempt, "error", cause.Error())
	var unreachable *UnreachableError
	if errors.As(cause, &unreachable) {
		g.options.Endpoints.MarkDown(e.Name)
		return cause
	}
	if g.isDead(e) {
		g.options.Endpoints.MarkDown(e.Name)
		g.options.Isolator.Died(e.Name, f.fingerprint)
	}
	return cause
}
