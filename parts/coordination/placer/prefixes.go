package placer

import (
	"maps"
	"time"

	"github.com/hornbeamspan/hornbeamspan/parts/coordination/cachetracker"
	"github.com/hornbeamspan/hornbeamspan/parts/coordination/matcher"
)

const (
	// minCheckedShare is the share of a prompt that has to be cached for its prefill time to show whether the estimate was
	// right. The times of prompts of equal size vary by about as much.
	minCheckedShare = 0.1
	// referenceWeight is the weight of the newest prompt in an engine's time per token without cached parts.
	referenceWeight = 0.1
	// referenceLifetime is how long a time per token is used for checks. An engine that has become slower since would
	// otherwise look like one with an empty cache.
	referenceLifetime = 30 * time.Second
	// shareWeight is the weight of the newest placement in the mean share of shared tokens that are cached.
	shareWeight = 0.05
	// pendingLifetime is how long after its placement the end of a prefill is still expected.
	pendingLifetime = 3 * time.Second
)

// CacheView knows which parts of prompts the prefill engines hold. *cachetracker.Tracker is the one in use.
type CacheView interface {
	// Held returns the tokens of the leading parts that an engine holds, Accuracy the share of such tokens that was right lately.
	Held(in cachetracker.Incarnation, parts []cachetracker.Part) int
	Accuracy(in cachetracker.Incarnation) float64
	RecordPrefill(in cachetracker.Incarnation, parts []cachetracker.Part, remainder int)
	RecordFailure(in cachetracker.Incarnation, parts []cachetracker.Part)
	RecordCheck(in cachetracker.Incarnation, estimated, actual int)
	SetCapacity(maxTokens int)
	Retain(isListed func(engine string) bool)
}

var _ CacheView = (*cachetracker.Tracker)(nil)

// EnablePrefixCaching has prompts prefilled where their first parts are cached, if that is earlier.
func (p *Placer) EnablePrefixCaching(view CacheView) {
	p.prefixes = &prefixes{view: view, pending: make(map[string]pendingPrefill), references: make(map[string]reference)}
}

// RecordCacheEvents applies the cache events of an engine.
func (p *Placer) RecordCacheEvents(in cachetracker.Incarnation, events cachetracker.Events) {
	if p.prefixes == nil {
		return
	}
	if t, ok := p.prefixes.view.(*cachetracker.Tracker); ok {
		t.RecordEvents(in, events)
	}
}

// pendingPrefill is a prompt whose prefill has not been reported yet. held is the estimate of the tracker, without discount.
type pendingPrefill struct {
	in       cachetracker.Incarnation
	parts    []cachetracker.Part
	prompt   int
	held     int
	placedAt time.Time
}

// reference is the time per token of prompts that were not cached at an engine, since the engine's start.
type reference struct {
	start      time.Time
	perToken   float64 // in seconds
	measuredAt time.Time
}

// prefixes predicts the tokens that prefill engines need not process, and checks the predictions by the time that prefills
// take. A nil *prefixes predicts nothing.
type prefixes struct {
	view    CacheView
	pending map[string]pendingPrefill
	// references holds the time per token by engine.
	references map[string]reference
	// share is the mean share of the tokens of shared parts that were expected to be cached at the engine chosen.
	share float64
}

func incarnation(e Engine) cachetracker.Incarnation {
	return cachetracker.Incarnation{Engine: e.ID, Start: e.IncarnationStart}
}

func (c *prefixes) update(service matcher.Engine, engines []Engine) {
	if c == nil {
		return
	}
	c.view.SetCapacity(service.Memory)
	listed := make(map[string]bool, len(engines))
	for _, e := range engines {
		listed[e.ID] = e.IsPrefill // an engine in the decode stage needs the memory for its runs
	}
	c.view.Retain(func(engine string) bool { return listed[engine] })
	maps.DeleteFunc(c.references, func(engine string, _ reference) bool { return !listed[engine] })
}

// expect returns the tokens of a prompt that an engine is expected to have cached: the estimate, discounted by how often it
// has been right.
func (c *prefixes) expect(e Engine, r Request) int {
	if c == nil || len(r.Parts) == 0 {
		return 0
	}
	in := incarnation(e)
	held := min(c.view.Held(in, r.Parts), r.Prompt)
	if held == 0 {
		return 0
	}
	return int(c.view.Accuracy(in) * float64(held))
}

// expectMean returns the tokens of a prompt that are expected to be cached at the engine that will be chosen. It compares no
// engines: it is computed for every waiting request in every plan.
func (c *prefixes) expectMean(r Request) int {
	if c == nil {
		return 0
	}
	return min(int(c.share*float64(cachetracker.Tokens(r.Parts))), r.Prompt)
}

// recordPlacement counts a prompt as cached at its engine: the next one with the same parts waits behind it.
func (c *prefixes) recordPlacement(now time.Time, e Engine, r Request, expected int) {
	if c == nil {
		return
	}
	tokens := cachetracker.Tokens(r.Parts)
	if tokens > 0 {
		c.share += shareWeight * (min(1, float64(expected)/float64(tokens)) - c.share)
	}
	in := incarnation(e)
	c.pending[r.ID] = pendingPrefill{in: in, parts: r.Parts, prompt: r.Prompt, held: min(c.view.Held(in, r.Parts), r.Prompt), placedAt: now}
	c.view.RecordPrefill(in, r.Parts, max(0, r.Prompt-tokens))
}

// recordPrefill compares the time that a prefill took with that of prompts that were not cached. It returns the tokens that the
// engine has processed according to that time, false if it does not tell. Otherwise a wrong estimate would look like a slow
// engine.
func (c *prefixes) recordPrefill(now time.Time, id string, took time.Duration) (processed int, ok bool) {
	if c == nil {
		return 0, false
	}
	p, ok := c.pending[id]
	delete(c.pending, id)
	if !ok || took <= 0 || p.prompt <= 0 {
		return 0, false
	}
	ref, isKnown := c.references[p.in.Engine]
	isKnown = isKnown && ref.start.Equal(p.in.Start) && now.Sub(ref.measuredAt) <= referenceLifetime
	switch {
	case p.held == 0:
		perToken := took.Seconds() / float64(p.prompt)
		if isKnown {
			perToken = ref.perToken + referenceWeight*(perToken-ref.perToken)
		}
		c.references[p.in.Engine] = reference{start: p.in.Start, perToken: perToken, measuredAt: now}
	case isKnown && float64(p.held) >= minCheckedShare*float64(p.prompt):
		processed = min(max(int(took.Seconds()/ref.perToken), p.prompt-p.held), p.prompt)
		c.view.RecordCheck(p.in, p.held, p.prompt-processed)
		return processed, true
	}
	return 0, false
}

// recordFailure drops a prompt whose prefill failed or was cancelled. Whether its parts are cached is unknown, so they do not
// count.
func (c *prefixes) recordFailure(id string) {
	if c == nil {
		return
	}
	if p, ok := c.pending[id]; ok {
		delete(c.pending, id)
		c.view.RecordFailure(p.in, p.parts)
	}
}

// discardPending drops the prefills whose times are unknown because the host was suspended.
func (c *prefixes) discardPending() {
	if c != nil {
		clear(c.pending)
	}
}

// expire drops the prefills whose hosts have stopped reporting. Their parts count as not cached.
func (c *prefixes) expire(now time.Time) {
	if c == nil {
		return
	}
	for id, p := range c.pending {
		if now.Sub(p.placedAt) > pendingLifetime {
			c.recordFailure(id)
		}
	}
}
