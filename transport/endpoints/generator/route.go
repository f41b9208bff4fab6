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

// route is the pair of engines of one attempt and what is booked there.
type route struct {
	prefill  watcher.Endpoint
	decode   watcher.Endpoint
	place    *reserver.Place
	slot     *reserver.Slot
	estimate admitter.Estimate
}

func overloaded(code, reason string, after time.Duration) *RefusedError {
	return &RefusedError{Code: code, Status: http.StatusServiceUnavailable, RetryAfter: max(after, comeBack/10), Reason: reason}
}

// startBy is when the first token is due. A further attempt has as long as the first one had.
func (f *flow) startBy() time.Time {
	if f.tries > 0 {
		return f.now().Add(f.request.Model.Start)
	}
	return f.begin.Add(f.request.Model.Start)
}

// choosePrefill takes the engine that is likely to be done with the prompt first, and a place in its queue.
func (f *flow) choosePrefill(ctx context.Context, r *route) error {
	g := f.generator
	candidates := f.candidates(f.request.Model.Prefill)
	if len(candidates) == 0 {
		return noEngine(f.request.Model.Prefill)
	}
	if g.options.Policy != Book {
		r.prefill = g.pick(g.options.Policy, candidates)
		return nil
	}
	late := time.Duration(0)
	for range min(askedOwners, len(candidates)) {
		e := f.pickPrefill(candidates)
		candidates = slices.DeleteFunc(candidates, func(o watcher.Endpoint) bool { return o.Name == e.Name })
		r.prefill, r.estimate = e, f.estimate(e)
		handover := g.handover()
		r.place = g.options.Reserver.Place(ctx, e.Name, r.estimate.Prefill(), f.startBy().Add(-handover))
		if r.place.Asked {
			r.estimate.Wait = r.place.Wait
			g.options.Endpoints.SetFree(e.Name, f.now().Add(r.place.Wait+r.estimate.Prefill()))
		}
		r.estimate.Transfer = handover
		after, ok := admitter.Decide(r.estimate, admitter.Targets{Start: f.startBy().Sub(f.now()), Finish: f.request.Model.Finish})
		if r.place.Granted && (ok || f.tries > 0) {
			return nil
		}
		r.place.Give()
		late = after
	}
	return overloaded("prefill_full", fmt.Sprintf("the first token would come after %s", r.estimate.Start().Round(time.Millisecond)), late)
}

// pickPrefill takes the engine that is likely to have the prompt's prefix, unless another one is done sooner.
func (f *flow) pickPrefill(candidates []watcher.Endpoint) watcher.Endpoint {
	names := make([]string, len(candidates))
	for i, e := range candidates {
		names[i] = e.Name
	}
	home := ranker.Owner(strconv.FormatUint(f.prefix(), 16), names)
	best := candidates[slices.Index(names, home)]
	for _, e := range candidates {
		if f.done(e).Before(f.done(best)) {
			best = e
		}
	}
	return best
}

// done is when engine e would be done with the prompt by what is known here.
func (f *flow) done(e watcher.Endpoint) time.Time {
	begin := f.now()
	if e.Free.After(begin) {
		begin = e.Free
	}
	return begin.Add(f.estimate(e).Prefill())
}

// prefix names the first words of the prompt.
func (f *flow) prefix() uint64 {
	if f.prefixHash == 0 {
		words := strings.Fields(f.request.Prompt)
		f.prefixHash = xxhash.Sum64String(strings.Join(words[:min(len(words), prefixWords)], " "))
	}
	return f.prefixHash
}

// estimate predicts the way over prefill engine e without waiting.
func (f *flow) estimate(e watcher.Endpoint) admitter.Estimate {
	cached, _ := f.generator.prefixes.Get(cachedPrefix{engine: e.Name, prefix: f.prefix()})
	cached = min(cached, f.request.Tokens)
	return admitter.Estimate{
		Tokens: f.request.Tokens, CachedTokens: cached, Rate: e.Load.Rate, OutputTokens: f.request.Body.MaxTokens, StepTime: f.generator.step(),
	}
}

// chooseDecode takes a decode engine and a slot there.
func (f *flow) chooseDecode(ctx context.Context, r *route) error {
	g := f.generator
	if g.options.Policy != Book {
		candidates := f.candidates(f.request.Model.Decode)
		if len(candidates) == 0 {
			return noEngine(f.request.Model.Decode)
		}
		r.decode = g.pick(g.options.Policy, candidates)
		return nil
	}
	deadline := f.now().Add(f.patience())
	for {
		err := f.askDecode(ctx, r)
		if err != nil || r.slot.Granted {
			return err
		}
		if !f.now().Before(deadline) {
			return overloaded("decode_full", "every decode slot is booked", comeBack)
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-f.generator.options.Clock.After(suspectPause):
		}
	}
}

// patience is how long the request may wait for a slot: only a suspect, for an engine without another one, and a
// request whose first attempt failed.
func (f *flow) patience() time.Duration {
	if f.tries > 0 || f.generator.options.Isolator.IsSuspect(f.fingerprint) {
		return f.request.Model.Finish / 2
	}
	return 0
}

// askDecode asks for a slot at one engine after the other. The slot is not granted if all are full.
func (f *flow) askDecode(ctx context.Context, r *route) error {
	g := f.generator
	candidates := f.candidates(f.request.Model.Decode)
	if len(candidates) == 0 {
		return noEngine(f.request.Model.Decode)
	}
	now := f.now()
	arrival := now.Add(r.estimate.Wait + r.estimate.Prefill())
	for range min(askedOwners, len(candidates)) {
		e := g.pick(Book, candidates)
		candidates = slices.DeleteFunc(candidates, func(o watcher.Endpoint) bool { return o.Name == e.Name })
		r.decode = e
		r.slot = g.options.Reserver.Slot(ctx, e.Name, reserver.SlotRequest{
			Sequence: f.sequence,
			Blocks:   blocks(f.request.Tokens+f.request.Body.MaxTokens, e.Load.BlockTokens),
			Arrival:  arrival,
			Latest:   f.startBy(),
			Until:    now.Add(r.estimate.Finish() + bookingGrace),
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
