// Package placer decides which model engine generates for a request, which one reads its prompt, and who is refused.
//
// It knows the requests to one service at all hosts. It answers bursts, in which the memory of the generating engines
// binds, and failures of either stage. It neither waits nor sends: its caller tells it the time, the engines and how far
// generations are, and carries its decisions out.
package placer

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/hornbeamspan/hornbeamspan/parts/coordination/matcher"
	"github.com/hornbeamspan/hornbeamspan/parts/coordination/packer"
	"github.com/hornbeamspan/hornbeamspan/parts/coordination/queuer"
	"github.com/hornbeamspan/hornbeamspan/parts/coordination/stager"
)

const (
	// confidence is the number of standard deviations of the predicted memory that are kept free. A preemption has a
	// prompt read again and breaks the pause between events; idle memory has requests wait.
	confidence = 2.5
	// refusedPause is how long an engine is not used after it refused a generation that had a hold there, or lost the KV
	// cache of a prompt: it does not do its part at present.
	refusalBackoff = time.Second
	// unreadPause is how long an engine is not used after it refused a prompt: it has too many, or has changed its stage.
	prefillRefusalBackoff = 400 * time.Millisecond
	// fullPause is how long an engine is not asked after it had no room.
	fullBackoff = 60 * time.Millisecond
	// holdMargin is what is reserved beyond the prompt, in events of output: the rest is packed, not reserved.
	holdMarginEvents = 2
)

// WarmUp is how long a new placer knows too little to move engines, or to trust its count of free memory: runs that began
// shortly before are in no report yet.
const WarmUp = 1500 * time.Millisecond

// Engine is what is known of an engine beside its load.
type Engine struct {
	ID         string
	DataCentre string
	// Reads is set in the stage that reads prompts.
	IsPrefill bool
	// Out is set while the engine is to get nothing.
	IsExcluded bool
	// IsFailing is set if calls to it have failed and none has succeeded since: it may be gone.
	IsFailing bool
}

// Request is a generation that wants a place.
type Request struct {
	packer.Job
	queuer.Item
	DataCentre string
	// Fingerprint is the same when a refused caller comes back, 0 if it is not known.
	Fingerprint uint64
	// FirstBy is when the first event must come for an answer within the target. The last moment for a place in time
	// follows from it.
	FirstEventDeadline time.Time
	// MaxPause is the longest pause between two events for an answer within the target, 0 for any.
	MaxPause time.Duration
	// Avoid are engines that want nothing from the host that asks.
	ExcludedEngines []string
}

// avoids tells whether an engine wants nothing from the host that asks.
func (r Request) excludes(e Engine) bool { return slices.Contains(r.ExcludedEngines, e.ID) }

// Place is where a request goes. Reader is empty if the engine reads the prompt itself.
type Placement struct {
	ID            string
	DecodeEngine  string
	PrefillEngine string
}

// Refusal tells why a request gets no place, and when to come back.
type Refusal struct {
	ID         string
	Reason     string
	RetryAfter time.Duration
}

// Placer counts the load of one service's engines. It is not safe for concurrent use.
type Placer struct {
	random      *rand.Rand
	service     matcher.Engine
	engines     []Engine
	packer      *packer.Packer
	prefillLoad *packer.PrefillLoad
	placements  queuer.RateEstimator
	arrivals    queuer.RateEstimator
	// capacity is as last measured.
	capacity     capacity
	tokenRate    packer.RateEstimator
	sizes        sizes
	stager       stager.Stager
	startDelay   startDelay
	stageChanges map[string]stageChange
	// paused tells until when an engine is not used.
	backoffUntil map[string]time.Time
	// reading tells until when a decode engine reads a prompt itself, for want of a reading engine.
	prefillingUntil map[string]time.Time
	// rejected are refused requests whose callers may come back, by fingerprint.
	refusals map[uint64]pastRefusal
}

// rejection is what is remembered of a refused request.
type pastRefusal struct {
	firstEventDeadline time.Time
	// until is how long its caller counts as one who comes back.
	expires time.Time
}

// New returns a Placer without engines.
func New(random *rand.Rand) *Placer {
	return &Placer{
		random: random, packer: packer.New(confidence), prefillLoad: packer.NewPrefillLoad(), startDelay: newStartDelay(), stageChanges: make(map[string]stageChange),
		backoffUntil: make(map[string]time.Time), prefillingUntil: make(map[string]time.Time), refusals: make(map[uint64]pastRefusal),
	}
}

// Update takes the present engines, all of the given size. Engines that are not among them are forgotten.
func (p *Placer) Update(service matcher.Engine, engines []Engine) {
	p.service, p.engines = service, engines
	listed := make(map[string]bool, len(engines))
	for _, e := range engines {
		if !e.IsPrefill {
			listed[e.ID] = true
			p.packer.SetCapacity(e.ID, service.Memory, service.Slots)
		}
	}
	for _, id := range p.packer.Engines() {
		if !listed[id] {
			p.packer.RemoveEngine(id)
		}
	}
}

// Asked learns from a request that is new, and returns it with what is known of it. The answer to a caller who comes back
// after a refusal was due when the first one was.
func (p *Placer) RecordArrival(now time.Time, r Request) Request {
	if before, ok := p.refusals[r.Fingerprint]; ok {
		r.IsRetry, r.FirstEventDeadline = true, before.firstEventDeadline
		delete(p.refusals, r.Fingerprint) // the next one like it is another caller's
	}
	p.arrivals.Record(now)
	if !r.IsRetry { // its size is known; large ones come back most
		p.sizes.record(r.Job)
		p.packer.RecordArrival(r.Job)
	}
	return r
}

// Hold returns the tokens to reserve for a request at its engine.
func (p *Placer) HoldTokens(r Request) int { return r.Prompt + holdMarginEvents*p.service.Stride }

// Held takes in that the engine of a place has reserved it.
func (p *Placer) RecordHold(now time.Time) { p.placements.Record(now) }

// NotHeld takes in that the engine of a place has not reserved it. isFull tells that it has no room.
func (p *Placer) RecordHoldFailure(now time.Time, place Placement, isFull bool) {
	p.RecordFailure(now, place.ID)
	if isFull {
		p.backoffUntil[place.DecodeEngine] = now.Add(fullBackoff)
	}
}

// Read takes in that a prompt was read.
func (p *Placer) RecordPrefill(now time.Time, id string) {
	p.prefillLoad.Complete(now, id)
	p.sizes.prefills++
}

// Unread takes in that an engine did not read a prompt. isRefused tells that it answered so.
func (p *Placer) RecordPrefillFailure(now time.Time, id, engine string, isRefused bool) {
	p.prefillLoad.Drop(id)
	if isRefused {
		p.backoffUntil[engine] = now.Add(prefillRefusalBackoff)
	}
}

// Lost takes in that the KV cache that an engine has read could not be had.
func (p *Placer) RecordCacheLoss(now time.Time, engine string) {
	p.backoffUntil[engine] = now.Add(refusalBackoff)
}

// Began takes in that the first output came.
func (p *Placer) RecordFirstEvent(now time.Time, id string) {
	p.packer.RecordFirstEvent(id, now)
	p.startDelay.record(now, id)
}

// Paced takes in how long a part of the output took.
func (p *Placer) RecordOutput(now time.Time, id string, output int, took time.Duration) {
	p.packer.RecordOutput(now, id, output, took)
	p.tokenRate.Record(now, p.packer.ConcurrentRuns(id), output, took)
}

// Ended takes in that the whole output came.
func (p *Placer) RecordCompletion(now time.Time, id string, output int) {
	p.packer.Complete(now, id, output)
	delete(p.startDelay.predicted, id)
	p.sizes.completions++
}

// Refused takes in that an engine did not take a generation in spite of its hold.
func (p *Placer) RecordDecodeRefusal(now time.Time, id, engine string) {
	p.backoffUntil[engine] = now.Add(refusalBackoff)
	p.packer.Remove(now, id)
	delete(p.startDelay.predicted, id)
}

// Failed takes in that nothing more comes of a request.
func (p *Placer) RecordFailure(now time.Time, id string) {
	p.prefillLoad.Drop(id)
	p.packer.Remove(now, id)
	delete(p.startDelay.predicted, id)
}

// Learn counts a generation that another placer has begun.
func (p *Placer) AddRun(now time.Time, engine string, j packer.Job, begun time.Time) {
	p.packer.Remove(now, j.ID)
	p.packer.Add(engine, j, begun)
}

// StoodStill takes in that the host stood still. What it is told next happened meanwhile: how long that took is not
// known, and prompts that were being read have been.
func (p *Placer) DiscardPendingTimings() {
	p.startDelay.reset()
	p.prefillLoad.Clear()
	p.placements = queuer.RateEstimator{}
}

// Report is what an engine says of itself, somewhat later than it was so.
type Report struct {
	Engine string
	Runs   []packer.ReportedRun
	// Reads is set in the stage that reads prompts, IsChanging while the engine changes to the other one.
	IsPrefill       bool
	IsChangingStage bool
}

// Observe takes an engine's report. Engines change their stage by orders of other placers, too.
func (p *Placer) Observe(now time.Time, r Report) {
	p.reconcileStage(now, r)
	p.packer.Observe(now, r.Engine, p.service.Stride, r.Runs)
}

// Expire forgets what must have ended long ago.
func (p *Placer) Expire(now time.Time) {
	p.packer.Expire(now)
	p.startDelay.expire(now)
	for _, m := range []map[string]time.Time{p.backoffUntil, p.prefillingUntil} {
		maps.DeleteFunc(m, func(_ string, until time.Time) bool { return now.After(until) })
	}
	maps.DeleteFunc(p.refusals, func(_ uint64, r pastRefusal) bool { return now.After(r.expires) })
}
