// Package cachetracker estimates which prompt parts the engines hold in their prefix caches.
//
// The estimate is derived from the prompts that were sent to an engine and from the engine's cache events, which arrive
// late and with gaps. It is a hint: a wrong estimate costs time, never an answer. The package does no I/O.
package cachetracker

import (
	"container/list"
	"time"
)

const (
	// maxEntries is the number of parts and remainders that are kept of one engine. An entry takes some 100 bytes, so an
	// engine takes at most some 400 kB. Usual prompts reach the limit of tokens far earlier.
	maxEntries = 4096
	// initialAccuracy is the accuracy before any estimate has been checked: an unchecked estimate counts half.
	initialAccuracy = 0.5
	// accuracyWeight is the weight of the newest check in the moving average. The checks are noisy, as times of single
	// prefills vary.
	accuracyWeight = 0.1
)

// Part is a part of a prompt that other prompts may share.
type Part struct {
	ID     uint64
	Tokens int
}

// Tokens returns the tokens of all parts.
func Tokens(parts []Part) int {
	n := 0
	for _, p := range parts {
		n += p.Tokens
	}
	return n
}

// Incarnation identifies an engine between two starts. A restarted engine has an empty cache.
type Incarnation struct {
	Engine string
	Start  time.Time
}

// Events are changes of an engine's cache, in the order in which the engine reported them.
type Events struct {
	// Epoch changes when the engine drops its whole cache.
	Epoch uint64
	// AreLost is set if the engine no longer has all events since the last report.
	AreLost bool
	Changes []Change
}

// Change adds a part to an engine's cache, or removes it.
type Change struct {
	Part
	IsRemoved bool
}

// entry is a part, or the remainder of a prompt that no other prompt shares but that takes up memory.
type entry struct {
	Part
	isRemainder bool
}

// cache is the estimated content of one engine's cache, the most recently used entry first.
type cache struct {
	start    time.Time
	epoch    uint64
	hasEpoch bool
	tokens   int
	order    *list.List
	parts    map[uint64]*list.Element
	accuracy float64
}

func newCache(start time.Time) *cache {
	return &cache{start: start, order: list.New(), parts: make(map[uint64]*list.Element), accuracy: initialAccuracy}
}

func (c *cache) clear() {
	c.order.Init()
	clear(c.parts)
	c.tokens = 0
}

func (c *cache) remove(e *list.Element) {
	removed := c.order.Remove(e).(entry)
	c.tokens -= removed.Tokens
	if !removed.isRemainder {
		delete(c.parts, removed.ID)
	}
}

// use adds a part, or marks it as the most recently used one.
func (c *cache) use(p Part) {
	if e, ok := c.parts[p.ID]; ok {
		c.tokens += p.Tokens - e.Value.(entry).Tokens
		e.Value = entry{Part: p}
		c.order.MoveToFront(e)
		return
	}
	c.parts[p.ID] = c.order.PushFront(entry{Part: p})
	c.tokens += p.Tokens
}

func (c *cache) evict(maxTokens int) {
	for c.order.Len() > 0 && (c.tokens > maxTokens || c.order.Len() > maxEntries) {
		c.remove(c.order.Back())
	}
}

// Tracker holds the estimates for the engines of one service. It is not safe for concurrent use.
type Tracker struct {
	// maxTokens is the capacity of an engine's cache.
	maxTokens int
	caches    map[string]*cache
}

// New returns a Tracker for engines whose caches hold maxTokens tokens.
func New(maxTokens int) *Tracker {
	return &Tracker{maxTokens: maxTokens, caches: make(map[string]*cache)}
}

// SetCapacity sets the tokens that an engine's cache holds.
func (t *Tracker) SetCapacity(maxTokens int) {
	if t.maxTokens == maxTokens {
		return
	}
	t.maxTokens = maxTokens
	for _, c := range t.caches {
		c.evict(maxTokens)
	}
}

// Retain drops the state of all engines that are not listed.
func (t *Tracker) Retain(isListed func(engine string) bool) {
	for id := range t.caches {
		if !isListed(id) {
			delete(t.caches, id)
		}
	}
}

// find returns the state of an incarnation, nil if nothing is known of it.
func (t *Tracker) find(in Incarnation) *cache {
	c := t.caches[in.Engine]
	if c == nil || !c.start.Equal(in.Start) {
		return nil
	}
	return c
}

// cache returns the state of an incarnation. It replaces that of an older one, and is nil for one that a newer one replaced.
func (t *Tracker) cache(in Incarnation) *cache {
	c := t.caches[in.Engine]
	if c != nil && in.Start.Before(c.start) {
		return nil
	}
	if c == nil || !c.start.Equal(in.Start) {
		c = newCache(in.Start)
		t.caches[in.Engine] = c
	}
	return c
}

// Held returns the tokens of the leading parts that an engine is believed to hold. A part counts only if all parts before it
// are held, too.
func (t *Tracker) Held(in Incarnation, parts []Part) int {
	c := t.find(in)
	if c == nil {
		return 0
	}
	n := 0
	for _, p := range parts {
		if _, ok := c.parts[p.ID]; !ok {
			break
		}
		n += p.Tokens
	}
	return n
}

// Accuracy returns the share of the tokens of recent estimates for an engine that it really held.
func (t *Tracker) Accuracy(in Incarnation) float64 {
	if c := t.find(in); c != nil {
		return c.accuracy
	}
	return initialAccuracy
}

// RecordPrefill records a prompt that an engine prefills: its shared parts in their order, and the tokens after them. The
// remainder displaces older parts like any other.
func (t *Tracker) RecordPrefill(in Incarnation, parts []Part, remainder int) {
	c := t.cache(in)
	if c == nil {
		return
	}
	if remainder > 0 {
		c.order.PushFront(entry{Part: Part{Tokens: remainder}, isRemainder: true})
		c.tokens += remainder
	}
	for i := len(parts) - 1; i >= 0; i-- { // a later part is useless without the earlier ones, and is evicted first
		c.use(parts[i])
	}
	c.evict(t.maxTokens)
}

// RecordFailure records that an engine has not prefilled a prompt: its parts no longer count as held.
func (t *Tracker) RecordFailure(in Incarnation, parts []Part) {
	c := t.find(in)
	if c == nil {
		return
	}
	for _, p := range parts {
		if e, ok := c.parts[p.ID]; ok {
			c.remove(e)
		}
	}
}

// RecordCheck records how many tokens an engine really held of an estimate.
func (t *Tracker) RecordCheck(in Incarnation, estimated, actual int) {
	c := t.find(in)
	if c == nil || estimated <= 0 {
		return
	}
	share := min(max(float64(actual)/float64(estimated), 0), 1)
	c.accuracy += accuracyWeight * (share - c.accuracy)
}

// RecordEvents applies an engine's cache events. After a new epoch, or if events are lost, nothing older counts as held.
func (t *Tracker) RecordEvents(in Incarnation, events Events) {
	c := t.cache(in)
	if c == nil {
		return
	}
	if c.hasEpoch && events.Epoch != c.epoch || events.AreLost {
		c.clear()
	}
	c.epoch, c.hasEpoch = events.Epoch, true
	if events.AreLost {
		return // the changes may be older than the lost ones
	}
	for _, change := range events.Changes {
		e, ok := c.parts[change.ID]
		switch {
		case !change.IsRemoved:
			c.use(change.Part)
		case ok:
			c.remove(e)
		}
	}
	c.evict(t.maxTokens)
}
