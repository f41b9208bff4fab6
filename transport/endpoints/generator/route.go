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
	"github.com/hornbeamspan/hornbeamspan/parts/coordination/ranker"
	"github.com/hornbeamspan/hornbeamspan/transport/endpoints/reserver"
	"github.com/hornbeamspan/hornbeamspan/transport/endpoints/watcher"
)

// route is the pair of engines of one attempt with the reservations made there.
type route struct {
	prefill    watcher.Endpoint
	decode     watcher.Endpoint
	queueEntry *reserver.QueueEntry
	slot       *reserver.Slot
	estimate   admitter.Estimate
}

func overloadedError(code, reason string, after time.Duration) *RefusedError {
	return &RefusedError{Code: code, Status: http.StatusServiceUnavailable, RetryAfter: max(after, defaultRetryAfter/10), Reason: reason}
}

// firstTokenDeadline returns when the first token is due. A retry gets as much time as the first attempt.
func (f *flow) firstTokenDeadline() time.Time {
	if f.tries > 0 {
		return f.now().Add(f.request.Model.Start)
	}
	return f.begin.Add(f.request.Model.Start)
}

// choosePrefill selects the engine with the earliest estimated prefill completion and reserves a place in its queue.
func (f *flow) choosePrefill(ctx context.Context, r *route) error {
	g := f.generator
	candidates := f.candidates(f.request.Model.Prefill)
	if len(candidates) == 0 {
		return noEngineError(f.request.Model.Prefill)
	}
	if g.options.Policy != Reservation {
		r.prefill = g.pick(g.options.Policy, candidates)
		return nil
	}
	retryAfter := time.Duration(0)
	for range min(maxOwnerQueries, len(candidates)) {
		e := f.pickPrefill(candidates)
		candidates = slices.DeleteFunc(candidates, func(o watcher.Endpoint) bool { return o.Name == e.Name })
		r.prefill, r.estimate = e, f.estimate(e)
		handover := g.handover()
		r.queueEntry = g.options.Reserver.Enqueue(ctx, e.Name, r.estimate.Prefill(), f.firstTokenDeadline().Add(-handover))
		if r.queueEntry.Answered {
			r.estimate.Wait = r.queueEntry.Wait
			g.options.Endpoints.SetFreeAt(e.Name, f.now().Add(r.queueEntry.Wait+r.estimate.Prefill()))
		}
		r.estimate.Transfer = handover
		after, ok := admitter.Decide(r.estimate, admitter.Targets{Start: f.firstTokenDeadline().Sub(f.now()), Finish: f.request.Model.Finish})
		if r.queueEntry.Granted && (ok || f.tries > 0) {
			return nil
		}
		r.queueEntry.Cancel()
		retryAfter = after
	}
	return overloadedError("prefill_full", fmt.Sprintf("the estimated time to the first token is %s", r.estimate.Start().Round(time.Millisecond)), retryAfter)
}

// pickPrefill prefers the engine that is likely to have the prompt's prefix cached, unless another one would complete
// sooner.
func (f *flow) pickPrefill(candidates []watcher.Endpoint) watcher.Endpoint {
	names := make([]string, len(candidates))
	for i, e := range candidates {
		names[i] = e.Name
	}
	preferred := ranker.Owner(strconv.FormatUint(f.prefix(), 16), names)
	best := candidates[slices.Index(names, preferred)]
	for _, e := range candidates {
		if f.prefillCompletion(e).Before(f.prefillCompletion(best)) {
			best = e
		}
	}
	return best
}

// prefillCompletion estimates from local information when e would complete the prefill.
func (f *flow) prefillCompletion(e watcher.Endpoint) time.Time {
	begin := f.now()
	if e.FreeAt.After(begin) {
		begin = e.FreeAt
	}
	return begin.Add(f.estimate(e).Prefill())
}

// prefix returns a hash of the first prefixWords words of the prompt.
func (f *flow) prefix() uint64 {
	if f.prefixHash == 0 {
		words := strings.Fields(f.request.Prompt)
		f.prefixHash = xxhash.Sum64String(strings.Join(words[:min(len(words), prefixWords)], " "))
	}
	return f.prefixHash
}

// estimate predicts the latencies of the request with prefill engine e, without the wait in its queue.
func (f *flow) estimate(e watcher.Endpoint) admitter.Estimate {
	cached, _ := f.generator.prefixes.Get(cachedPrefix{engine: e.Name, prefix: f.prefix()})
	cached = min(cached, f.request.Tokens)
	return admitter.Estimate{
		Tokens: f.request.Tokens, CachedTokens: cached, Rate: e.Load.Rate, OutputTokens: f.request.Body.MaxTokens, StepTime: f.generator.step(),
	}
}

// chooseDecode selects a decode engine and reserves a slot there.
func (f *flow) chooseDecode(ctx context.Context, r *route) error {
	g := f.generator
	if g.options.Policy != Reservation {
		candidates := f.candidates(f.request.Model.Decode)
		if len(candidates) == 0 {
			return noEngineError(f.request.Model.Decode)
		}
		r.decode = g.pick(g.options.Policy, candidates)
		return nil
	}
	deadline := f.now().Add(f.slotWaitLimit())
	for {
		err := f.tryDecodeEngines(ctx, r)
		if err != nil || r.slot.Granted {
			return err
		}
		if !f.now().Before(deadline) {
			return overloadedError("decode_full", "every decode slot is reserved", defaultRetryAfter)
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-f.generator.options.Clock.After(slotPollInterval):
		}
	}
}

// slotWaitLimit returns how long the request may wait for a slot. Only retries wait, and suspects, which need an engine
// that runs no other suspect.
func (f *flow) slotWaitLimit() time.Duration {
	if f.tries > 0 || f.generator.options.Isolator.IsSuspect(f.fingerprint) {
		return f.request.Model.Finish / 2
	}
	return 0
}

// tryDecodeEngines requests a slot at one engine after the other. The slot is not granted if all are full.
func (f *flow) tryDecodeEngines(ctx context.Context, r *route) error {
	g := f.generator
	candidates := f.candidates(f.request.Model.Decode)
	if len(candidates) == 0 {
		return noEngineError(f.request.Model.Decode)
	}
	now := f.now()
	arrival := now.Add(r.estimate.Wait + r.estimate.Prefill())
	for range min(maxOwnerQueries, len(candidates)) {
		e := g.pick(Reservation, candidates)
		candidates = slices.DeleteFunc(candidates, func(o watcher.Endpoint) bool { return o.Name == e.Name })
		r.decode = e
		r.slot = g.options.Reserver.Reserve(ctx, e.Name, reserver.SlotRequest{
			Sequence: f.sequence,
			Blocks:   blocks(f.request.Tokens+f.request.Body.MaxTokens, e.Load.BlockTokens),
			Arrival:  arrival,
			Latest:   f.firstTokenDeadline(),
			Until:    now.Add(r.estimate.Finish() + reservationGrace),
			Suspect:  g.options.Isolator.IsSuspect(f.fingerprint),
		})
		if r.slot.Granted {
			return nil
		}
	}
	return nil
}

func blocks(tokens, blockTokens int) int {
	if blockTokens <= 0 {
		return 0
	}
	return (tokens + blockTokens - 1) / blockTokens
}
