package generator

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/hornbeamspan/hornbeamspan/parts/coordination/admitter"
	"github.com/hornbeamspan/hornbeamspan/parts/coordination/booker"
	"github.com/hornbeamspan/hornbeamspan/parts/coordination/ranker"
	"github.com/hornbeamspan/hornbeamspan/protocol/completer"
	"github.com/hornbeamspan/hornbeamspan/transport/eventer"
	"github.com/hornbeamspan/hornbeamspan/transport/reserver"
	"github.com/hornbeamspan/hornbeamspan/transport/watcher"
)

const (
	// bookPause is the time between two rounds of asking for a slot.
	bookPause = 15 * time.Millisecond
	// slotWait is the part of the start target that a request may wait for a slot.
	slotWait = 0.25
	// askedOwners bounds the engines asked for a slot in one round.
	askedOwners = 3
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
	id          string
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
}

// try makes one attempt: book, prefill unless a result is still kept, decode.
func (f *flow) try(ctx context.Context) error {
	g := f.generator
	prefill, err := f.choosePrefill()
	if err != nil {
		return err
	}
	estimate, err := f.admit(prefill)
	if err != nil {
		return err
	}
	decode, booking, err := f.chooseDecode(ctx, estimate)
	if err != nil {
		return err
	}
	defer booking.Drop()
	if f.transfer == nil || time.Now().After(f.transferEnd) {
		if err := f.runPrefill(ctx, prefill); err != nil {
			return err
		}
	}
	if !g.options.Endpoints.IsUsable(decode.Name) {
		booking.Drop()
		decode, booking, err = f.chooseDecode(ctx, estimate)
		if err != nil {
			f.releasePrefill()
			return err
		}
		defer booking.Drop()
	}
	return f.runDecode(ctx, decode)
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

func noEngine(pool string) *RefusedError {
	return &RefusedError{
		Code: "no_engine", Status: http.StatusServiceUnavailable, RetryAfter: comeBack,
		Reason: "no engine of pool " + pool + " is live",
	}
}

// choosePrefill takes the engine that is likely to have the prompt's prefix, unless another one is done sooner.
func (f *flow) choosePrefill() (watcher.Endpoint, error) {
	g := f.generator
	candidates := f.candidates(f.request.Model.Prefill)
	if len(candidates) == 0 {
		return watcher.Endpoint{}, noEngine(f.request.Model.Prefill)
	}
	other := g.pick(g.options.Policy, candidates)
	if g.options.Policy != Book {
		return other, nil
	}
	names := make([]string, len(candidates))
	for i, e := range candidates {
		names[i] = e.Name
	}
	home := ranker.Home(strconv.FormatUint(f.prefix(), 16), names)
	for _, e := range candidates {
		if e.Name == home && f.estimate(e).Prefill() <= f.estimate(other).Prefill() {
			return e, nil
		}
	}
	return other, nil
}

// prefix names the first words of the prompt.
func (f *flow) prefix() uint64 {
	words := strings.Fields(f.request.Prompt)
	return xxhash.Sum64String(strings.Join(words[:min(len(words), prefixWords)], " "))
}

// estimate predicts the way over prefill engine e.
func (f *flow) estimate(e watcher.Endpoint) admitter.Estimate {
	cached := 0
	if last, ok := f.generator.prefixes.Get(f.prefix()); ok && last == e.Name {
		cached = min(f.request.Tokens, prefixWords)
	}
	return admitter.Estimate{
		Backlog: e.Load.Backlog + e.Tokens, Tokens: f.request.Tokens, Cached: cached, Rate: e.Load.Rate,
		Output: f.request.Body.MaxTokens,
	}
}

// admit refuses a request that cannot meet its targets any more.
func (f *flow) admit(prefill watcher.Endpoint) (admitter.Estimate, error) {
	e := f.estimate(prefill)
	for _, d := range f.candidates(f.request.Model.Decode) {
		e.Step = max(e.Step, time.Duration(d.Load.StepMillis*float64(time.Millisecond)))
	}
	if f.generator.options.Policy != Book || f.tries > 0 {
		return e, nil
	}
	after, ok := admitter.Decide(e, admitter.Targets{Start: f.request.Model.Start, Finish: f.request.Model.Finish})
	if ok {
		return e, nil
	}
	return e, &RefusedError{
		Code: "overloaded", Status: http.StatusServiceUnavailable, RetryAfter: after,
		Reason: fmt.Sprintf("first token predicted after %s, last after %s", e.Start().Round(time.Millisecond), e.Finish().Round(time.Millisecond)),
	}
}

// chooseDecode takes a decode engine, and a slot there for the predicted end of the prefill.
func (f *flow) chooseDecode(ctx context.Context, estimate admitter.Estimate) (watcher.Endpoint, *reserver.Booking, error) {
	g := f.generator
	if g.options.Policy != Book {
		candidates := f.candidates(f.request.Model.Decode)
		if len(candidates) == 0 {
			return watcher.Endpoint{}, nil, noEngine(f.request.Model.Decode)
		}
		return g.pick(g.options.Policy, candidates), &reserver.Booking{}, nil
	}
	deadline := time.Now().Add(f.patience())
	for {
		e, booking, err := f.askOwners(ctx, estimate)
		if err != nil || booking != nil {
			return e, booking, err
		}
		if time.Now().After(deadline) {
			return e, nil, &RefusedError{
				Code: "overloaded", Status: http.StatusServiceUnavailable, RetryAfter: comeBack,
				Reason: "every decode slot is booked",
			}
		}
		select {
		case <-ctx.Done():
			return e, nil, ctx.Err()
		case <-time.After(bookPause):
		}
	}
}

// patience is how long the request may wait for a slot. A suspect waits for an engine without another one.
func (f *flow) patience() time.Duration {
	if f.generator.isSuspect(f.fingerprint) || f.tries > 0 {
		return f.request.Model.Finish / 2
	}
	return time.Duration(slotWait * float64(f.request.Model.Start))
}

// askOwners asks for a slot at the engines that seem least used. It returns no booking if all are full.
func (f *flow) askOwners(ctx context.Context, estimate admitter.Estimate) (watcher.Endpoint, *reserver.Booking, error) {
	g := f.generator
	candidates := f.candidates(f.request.Model.Decode)
	if len(candidates) == 0 {
		return watcher.Endpoint{}, nil, noEngine(f.request.Model.Decode)
	}
	now := time.Now()
	for range min(askedOwners, len(candidates)) {
		e := g.pick(Choices, candidates)
		candidates = slices.DeleteFunc(candidates, func(o watcher.Endpoint) bool { return o.Name == e.Name })
		booking := g.options.Reserver.Book(ctx, e.Name, booker.Request{
			ID:      f.id,
			Blocks:  blocks(f.request.Tokens+f.request.Body.MaxTokens, e.Load.BlockTokens),
			Arrival: now.Add(estimate.Prefill() + estimate.Transfer),
			Until:   now.Add(estimate.Finish() + bookingGrace),
			Suspect: g.isSuspect(f.fingerprint),
		})
		if booking.Used >= 0 {
			g.options.Endpoints.SetUsed(e.Name, booking.Used)
		}
		if booking.Granted {
			return e, booking, nil
		}
	}
	return watcher.Endpoint{}, nil, nil
}

func blocks(tokens, blockTokens int) int {
	if blockTokens <= 0 {
		return 0
	}
	return (tokens + blockTokens - 1) / blockTokens
}

// releasePrefill gives up the result of the last prefill.
func (f *flow) releasePrefill() {
	if f.transfer != nil {
		f.generator.options.Releaser.Release(f.prefill, f.id, f.prefillAttempt)
	}
}

// fail notes a failed attempt at e and counts the engine's death against the request if it died.
func (f *flow) fail(ctx context.Context, e watcher.Endpoint, cause error) error {
	g := f.generator
	g.options.Releaser.Release(e, f.id, f.attempt)
	if ctx.Err() != nil {
		f.releasePrefill()
		return ctx.Err()
	}
	f.failed = append(f.failed, e.Name)
	eventer.Warn(g.options.Logs, eventer.AttemptFailed, "engine", e.Name, "request", f.id, "attempt", f.attempt, "error", cause.Error())
	if g.isDead(e) {
		g.options.Endpoints.Down(e.Name)
		g.died(e, f.fingerprint)
	}
	return cause
}
