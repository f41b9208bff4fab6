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
	refusedPause = time.Second
	// unreadPause is how long an engine is not used after it refused a prompt: it has too many, or has changed its stage.
	unreadPause = 400 * time.Millisecond
	// fullPause is how long an engine is not asked after it had no room.
	fullPause = 60 * time.Millisecond
	// holdMargin is what is reserved beyond the prompt, in events of output: the rest is packed, not reserved.
	holdMargin = 2
)

// WarmUp is how long a new placer knows too little to move engines, or to trust its count of free memory: runs that began
// shortly before are in no report yet.
const WarmUp = 1500 * time.Millisecond

// Engine is what is known of an engine beside its load.
type Engine struct {
	ID         string
	DataCentre string
	// Reads is set in the stage that reads prompts.
	Reads bool
	// Out is set while the engine is to get nothing.
	Out bool
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
	FirstBy time.Time
	// MaxPause is the longest pause between two events for an answer within the target, 0 for any.
	MaxPause time.Duration
	// Avoid are engines that want nothing from the host that asks.
	Avoid []string
}

// avoids tells whether an engine wants nothing from the host that asks.
func (r Request) avoids(e Engine) bool { return slices.Contains(r.Avoid, e.ID) }

// Place is where a request goes. Reader is empty if the engine reads the prompt itself.
type Place struct {
	ID     string
	Engine string
	Reader string
}

// Refusal tells why a request gets no place, and when to come back.
type Refusal struct {
	ID     string
	Reason string
	Wait   time.Duration
}

// Placer counts the load of one service's engines. It is not safe for concurrent use.
type Placer struct {
	random  *rand.Rand
	service matcher.Engine
	engines []Engine
	packer  *packer.Packer
	readers *packer.Readers
	placed  queuer.Pace
	arrived queuer.Pace
	// capacity is as last measured.
	capacity capacity
	pace     packer.Pace
	sizes    sizes
	stager   stager.Stager
	lead     lead
	changes  map[string]change
	// paused tells until when an engine is not used.
	paused map[string]time.Time
	// reading tells until when a decode engine reads a prompt itself, for want of a reading engine.
	reading map[string]time.Time
	// rejected are refused requests whose callers may come back, by fingerprint.
	rejected map[uint64]rejection
}

// rejection is what is remembered of a refused request.
type rejection struct {
	firstBy time.Time
	// until is how long its caller counts as one who comes back.
	until time.Time
}

// New returns a Placer without engines.
func New(random *rand.Rand) *Placer {
	return &Placer{
		random: random, packer: packer.New(confidence), readers: packer.NewReaders(), lead: newLead(), changes: make(map[string]change),
		paused: make(map[string]time.Time), reading: make(map[string]time.Time), rejected: make(map[uint64]rejection),
	}
}

// Update takes the present engines, all of the given size. Engines that are not among them are forgotten.
func (p *Placer) Update(service matcher.Engine, engines []Engine) {
	p.service, p.engines = service, engines
	listed := make(map[string]bool, len(engines))
	for _, e := range engines {
		if !e.Reads {
			listed[e.ID] = true
			p.packer.Resize(e.ID, service.Memory, service.Slots)
		}
	}
	for _, id := range p.packer.Engines() {
		if !listed[id] {
			p.packer.Forget(id)
		}
	}
}

// Asked learns from a request that is new, and returns it with what is known of it. The answer to a caller who comes back
// after a refusal was due when the first one was.
func (p *Placer) Asked(now time.Time, r Request) Request {
	if before, ok := p.rejected[r.Fingerprint]; ok {
		r.Returned, r.FirstBy = true, before.firstBy
		delete(p.rejected, r.Fingerprint) // the next one like it is another caller's
	}
	p.arrived.Note(now)
	if !r.Returned { // its size is known; large ones come back most
		p.sizes.asked(r.Job)
		p.packer.Asked(r.Job)
	}
	return r
}

// Hold returns the tokens to reserve for a request at its engine.
func (p *Placer) Hold(r Request) int { return r.Prompt + holdMargin*p.service.Stride }

// Held takes in that the engine of a place has reserved it.
func (p *Placer) Held(now time.Time) { p.placed.Note(now) }

// NotHeld takes in that the engine of a place has not reserved it. isFull tells that it has no room.
func (p *Placer) NotHeld(now time.Time, place Place, isFull bool) {
	p.Failed(now, place.ID)
	if isFull {
		p.paused[place.Engine] = now.Add(fullPause)
	}
}

// Read takes in that a prompt was read.
func (p *Placer) Read(now time.Time, id string) {
	p.readers.Done(now, id)
	p.sizes.read++
}

// Unread takes in that an engine did not read a prompt. isRefused tells that it answered so.
func (p *Placer) Unread(now time.Time, id, engine string, isRefused bool) {
	p.readers.Drop(id)
	if isRefused {
		p.paused[engine] = now.Add(unreadPause)
	}
}

// Lost takes in that the KV cache that an engine has read could not be had.
func (p *Placer) Lost(now time.Time, engine string) { p.paused[engine] = now.Add(refusedPause) }

// Began takes in that the first output came.
func (p *Placer) Began(now time.Time, id string) {
	p.packer.Began(id, now)
	p.lead.began(now, id)
}

// Paced takes in how long a part of the output took.
func (p *Placer) Paced(now time.Time, id string, output int, took time.Duration) {
	p.packer.Paced(now, id, output, took)
	p.pace.Measured(now, p.packer.Beside(id), output, took)
}

// Ended takes in that the whole output came.
func (p *Placer) Ended(now time.Time, id string, output int) {
	p.packer.Finished(now, id, output)
	delete(p.lead.predicted, id)
	p.sizes.ended++
}

// Refused takes in that an engine did not take a generation in spite of its hold.
func (p *Placer) Refused(now time.Time, id, engine string) {
	p.paused[engine] = now.Add(refusedPause)
	p.packer.Remove(now, id)
	delete(p.lead.predicted, id)
}

// Failed takes in that nothing more comes of a request.
func (p *Placer) Failed(now time.Time, id string) {
	p.readers.Drop(id)
	p.packer.Remove(now, id)
	delete(p.lead.predicted, id)
}

// Learn counts a generation that another placer has begun.
func (p *Placer) Learn(now time.Time, engine string, j packer.Job, begun time.Time) {
	p.packer.Remove(now, j.ID)
	p.packer.Add(engine, j, begun)
}

// StoodStill takes in that the host stood still. What it is told next happened meanwhile: how long that took is not
// known, and prompts that were being read have been.
func (p *Placer) StoodStill() {
	p.lead.forget()
	p.readers.Clear()
	p.placed = queuer.Pace{}
}

// Report is what an engine says of itself, somewhat later than it was so.
type Report struct {
	Engine string
	Runs   []packer.Observed
	// Reads is set in the stage that reads prompts, IsChanging while the engine changes to the other one.
	Reads      bool
	IsChanging bool
}

// Observe takes an engine's report. Engines change their stage by orders of other placers, too.
func (p *Placer) Observe(now time.Time, r Report) {
	p.noteStage(now, r)
	p.packer.Observe(now, r.Engine, p.service.Stride, r.Runs)
}

// Expire forgets what must have ended long ago.
func (p *Placer) Expire(now time.Time) {
	p.packer.Expire(now)
	p.lead.expire(now)
	for _, m := range []map[string]time.Time{p.paused, p.reading} {
		maps.DeleteFunc(m, func(_ string, until time.Time) bool { return now.After(until) })
	}
	maps.DeleteFunc(p.rejected, func(_ uint64, r rejection) bool { return now.After(r.until) })
}
