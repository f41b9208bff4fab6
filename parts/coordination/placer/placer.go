// Package placer assigns each request to a decode engine and a prefill engine, and decides which requests are refused.
//
// It tracks the requests to one service from all hosts. It is designed for bursts, in which the memory of the decode
// engines is the bottleneck, and for failures of either stage. It does no I/O and has no timers: the calling code passes
// in the time, the engines and the progress of runs, and carries out the decisions.
package placer

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/hornbeamspan/hornbeamspan/parts/coordination/cachetracker"
	"github.com/hornbeamspan/hornbeamspan/parts/coordination/matcher"
	"github.com/hornbeamspan/hornbeamspan/parts/coordination/packer"
	"github.com/hornbeamspan/hornbeamspan/parts/coordination/queuer"
	"github.com/hornbeamspan/hornbeamspan/parts/coordination/stager"
)

const (
	// confidence is the number of standard deviations of the predicted memory that are kept free. Too few cause
	// preemptions, which repeat the prefill and exceed the permitted pause between events; too many leave memory idle
	// while requests wait.
	confidence = 2.5
	// refusalBackoff is how long an engine is not used after it refused a run that had a hold there, or lost the KV cache
	// of a prompt: it is assumed not to serve its stage at present.
	refusalBackoff = time.Second
	// prefillRefusalBackoff is how long an engine is not used after it refused a prompt: it is overloaded, or has changed
	// its stage.
	prefillRefusalBackoff = 400 * time.Millisecond
	// fullBackoff is how long an engine is not used after it had no room for a hold.
	fullBackoff = 60 * time.Millisecond
	// holdMarginEvents is the output in events that is reserved beyond the prompt. Memory for the remaining output is
	// predicted, not reserved.
	holdMarginEvents = 2
)

// WarmUp is how long a new placer must not move engines or rely on its count of free memory: runs that started shortly
// before it are not in any engine's report yet.
const WarmUp = 1500 * time.Millisecond

// Engine describes an engine, without its load.
type Engine struct {
	ID         string
	DataCentre string
	// IncarnationStart is when the engine was started. A restarted engine has cached nothing.
	IncarnationStart time.Time
	// IsPrefill is set in the prefill stage, and unset in the decode stage.
	IsPrefill bool
	// IsExcluded is set while the engine must not get any work.
	IsExcluded bool
	// IsFailing is set if so many calls to the engine have failed in a row that it may have crashed.
	IsFailing bool
	// Version is the version of the engine's software. IsUnadmitted is set while no new stream may begin at it.
	Version      string
	IsUnadmitted bool
	// IsLimited is set if the engine accepts only PerSecond requests from all hosts, Allowance of them now.
	IsLimited bool
	PerSecond float64
	Allowance int
}

// Request is a run to be placed.
type Request struct {
	packer.Job
	queuer.Item
	DataCentre string
	// Fingerprint identifies a request that is retried after a refusal, 0 if it is not known.
	Fingerprint uint64
	// FirstEventDeadline is the latest time of the first event that meets the target. TargetStart is derived from it.
	FirstEventDeadline time.Time
	// MaxPause is the longest pause between two events that meets the target, 0 for any.
	MaxPause time.Duration
	// Version is the software version of the decode engine for a stream that is resumed, empty for a new stream.
	Version string
	// ExcludedEngines have requested a pause from the host that sent the request.
	ExcludedEngines []string
	// Parts are the parts of the prompt that other prompts may share, in order from its beginning.
	Parts []cachetracker.Part
	// cached is the number of prompt tokens that the prefill engine has probably cached, whichever it will be. Plan sets it.
	cached int
}

// mayDecode reports whether the software version of an engine may write the request's stream.
func (r Request) mayDecode(e Engine) bool {
	if r.Version == "" {
		return !e.IsUnadmitted
	}
	return e.Version == r.Version
}

// excludes reports whether an engine has requested a pause from the host that sent the request.
func (r Request) excludes(e Engine) bool { return slices.Contains(r.ExcludedEngines, e.ID) }

// Placement assigns a request to engines. PrefillEngine is empty if the decode engine prefills the prompt itself.
type Placement struct {
	ID            string
	DecodeEngine  string
	PrefillEngine string
	// Version is the software version of the decode engine.
	Version string
}

// Refusal is why a request is not placed, and the time after which the caller may retry.
type Refusal struct {
	ID         string
	Reason     string
	RetryAfter time.Duration
}

// Placer tracks the load of one service's engines. It is not safe for concurrent use.
type Placer struct {
	random      *rand.Rand
	service     matcher.Engine
	engines     []Engine
	packer      *packer.Packer
	prefillLoad *packer.PrefillLoad
	placements  queuer.RateEstimator
	// arrivals counts the requests that could meet their targets when they came.
	arrivals     queuer.RateCounter
	capacity     capacity
	tokenRate    packer.RateEstimator
	sizes        sizes
	stager       stager.Stager
	startDelay   startDelay
	stageChanges map[string]stageChange
	// backoffUntil holds, by engine, the time until which it is not used.
	backoffUntil map[string]time.Time
	// prefillingUntil holds, by decode engine, the time until which it prefills a prompt itself.
	prefillingUntil map[string]time.Time
	// refusals holds, by fingerprint, the refused requests that may be retried.
	refusals map[uint64]pastRefusal
	// prefixes is nil while prefix caching is disabled.
	prefixes *prefixes
}

// pastRefusal is kept of a refused request.
type pastRefusal struct {
	firstEventDeadline time.Time
	// expires is the time until which a request with the same fingerprint counts as a retry.
	expires time.Time
}

// New returns a Placer without engines.
func New(random *rand.Rand) *Placer {
	return &Placer{
		random: random, packer: packer.New(confidence), prefillLoad: packer.NewPrefillLoad(), startDelay: newStartDelay(), stageChanges: make(map[string]stageChange),
		backoffUntil: make(map[string]time.Time), prefillingUntil: make(map[string]time.Time), refusals: make(map[uint64]pastRefusal),
	}
}

// Update sets the present engines, all of the given size. The runs of decode engines that are not listed are dropped.
func (p *Placer) Update(service matcher.Engine, engines []Engine) {
	p.service, p.engines = service, engines
	p.prefixes.update(service, engines)
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

// RecordArrival updates the statistics with a new request, and returns it with IsRetry set if it was refused before. A
// retry keeps the deadline of the first attempt.
func (p *Placer) RecordArrival(now time.Time, r Request) Request {
	if r.IsResumption {
		p.arrivals.Record(now)
		return r
	}
	if refusal, ok := p.refusals[r.Fingerprint]; ok {
		r.IsRetry, r.FirstEventDeadline = true, refusal.firstEventDeadline
		delete(p.refusals, r.Fingerprint) // a later request with the same fingerprint is another caller's
	}
	if !r.IsRetry || now.Before(r.FirstEventDeadline) {
		p.arrivals.Record(now)
	}
	if !r.IsRetry { // a retry is already counted; large requests are retried most and would bias the mean
		p.sizes.record(r.Job)
		p.packer.RecordArrival(r.Job)
	}
	return r
}

// HoldTokens returns the tokens to reserve for a request at its decode engine.
func (p *Placer) HoldTokens(r Request) int {
	return r.Prompt + holdMarginEvents*p.service.Stride
}

// RecordHold records that a decode engine has reserved the memory for a placement.
func (p *Placer) RecordHold(now time.Time) { p.placements.Record(now) }

// RecordHoldFailure records that a decode engine has not reserved the memory for a placement. isFull is set if it has no
// room.
func (p *Placer) RecordHoldFailure(now time.Time, placement Placement, isFull bool) {
	p.RecordFailure(now, placement.ID)
	if isFull {
		p.backoffUntil[placement.DecodeEngine] = now.Add(fullBackoff)
	}
}

// RecordPrefill records that the prefill of a prompt has finished.
func (p *Placer) RecordPrefill(now time.Time, id string) {
	if processed, ok := p.prefixes.recordPrefill(now, id, p.prefillLoad.Took(now, id)); ok {
		p.prefillLoad.SetTokens(id, processed)
	}
	p.prefillLoad.Complete(now, id)
	p.sizes.prefills++
}

// RecordPrefillFailure records that an engine did not prefill a prompt. isRefused is set if the engine refused it
// explicitly.
func (p *Placer) RecordPrefillFailure(now time.Time, id, engine string, isRefused bool) {
	p.prefillLoad.Drop(id)
	p.prefixes.recordFailure(id)
	if isRefused {
		p.backoffUntil[engine] = now.Add(prefillRefusalBackoff)
	}
}

// RecordCacheLoss records that the KV cache of a finished prefill could not be fetched from an engine.
func (p *Placer) RecordCacheLoss(now time.Time, engine string) {
	p.backoffUntil[engine] = now.Add(refusalBackoff)
}

// RecordFirstEvent records that the first output of a request has arrived.
func (p *Placer) RecordFirstEvent(now time.Time, id string) {
	p.packer.RecordFirstEvent(id, now)
	p.startDelay.record(now, id)
}

// RecordOutput records how long a part of the output took.
func (p *Placer) RecordOutput(now time.Time, id string, output int, took time.Duration) {
	p.packer.RecordOutput(now, id, output, took)
	p.tokenRate.Record(now, p.packer.ConcurrentRuns(id), output, took)
}

// RecordCompletion records that the whole output has arrived.
func (p *Placer) RecordCompletion(now time.Time, id string, output int) {
	p.packer.Complete(now, id, output)
	delete(p.startDelay.predicted, id)
	p.sizes.completions++
}

// RecordDecodeRefusal records that an engine refused a run in spite of its hold.
func (p *Placer) RecordDecodeRefusal(now time.Time, id, engine string) {
	p.backoffUntil[engine] = now.Add(refusalBackoff)
	p.packer.Remove(now, id)
	delete(p.startDelay.predicted, id)
}

// RecordFailure drops a request that failed or was cancelled.
func (p *Placer) RecordFailure(now time.Time, id string) {
	p.prefillLoad.Drop(id)
	p.prefixes.recordFailure(id)
	p.packer.Remove(now, id)
	delete(p.startDelay.predicted, id)
}

// AddRun counts a run that was started by another placer.
func (p *Placer) AddRun(now time.Time, engine string, j packer.Job, started time.Time) {
	p.packer.Remove(now, j.ID)
	p.packer.Add(engine, j, started)
}

// DiscardPendingTimings drops the timings in progress after the host's process was suspended. Events reported next
// occurred during the suspension, so that their durations are unknown, and pending prefills have finished.
func (p *Placer) DiscardPendingTimings() {
	p.startDelay.reset()
	p.prefillLoad.Clear()
	p.prefixes.discardPending()
	p.placements = queuer.RateEstimator{}
}

// Report is an engine's report of its state, which arrives with some delay.
type Report struct {
	Engine string
	Runs   []packer.ReportedRun
	// IsPrefill is set in the prefill stage, IsChangingStage while the engine changes to the other stage.
	IsPrefill       bool
	IsChangingStage bool
}

// Observe processes an engine's report. Orders of other placers may have changed the engine's stage, too.
func (p *Placer) Observe(now time.Time, r Report) {
	p.reconcileStage(now, r)
	p.packer.Observe(now, r.Engine, p.service.Stride, r.Runs)
}

// Expire drops entries that must have ended without a report.
func (p *Placer) Expire(now time.Time) {
	p.packer.Expire(now)
	p.startDelay.expire(now)
	p.prefixes.expire(now)
	for _, m := range []map[string]time.Time{p.backoffUntil, p.prefillingUntil} {
		maps.DeleteFunc(m, func(_ string, until time.Time) bool { return now.After(until) })
	}
	maps.DeleteFunc(p.refusals, func(_ uint64, r pastRefusal) bool { return now.After(r.expires) })
}
