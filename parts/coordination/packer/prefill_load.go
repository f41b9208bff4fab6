package packer

import "time"

const (
	// initialTokens in initialBusy are the initial estimate of an engine's speed, with the weight of a small prompt.
	initialTokens = 1000.0
	initialBusy   = 50 * time.Millisecond
	// decayFactor reduces a prompt's weight in the measured speed with each later prompt.
	decayFactor = 0.85
	// prefillTimeout is how long a prompt may be pending before it counts as lost.
	prefillTimeout = 3 * time.Second
)

type prompt struct {
	// tokens is the number of tokens to process, total that with the cached ones.
	tokens     int
	total      int
	assignedAt time.Time
	// isOvertaken is set once a prompt that was assigned much later has been processed. Engines process prompts in their order, so only
	// the answer of this one is missing.
	isOvertaken bool
}

type prefillEngine struct {
	// tokens were processed in the time busy, the newest prompts with the most weight. Prompts may be processed in one
	// batch, so the time of a single prompt is no measure of the speed.
	tokens float64
	// total is tokens with the cached ones.
	total    float64
	busy     time.Duration
	lastDone time.Time
	pending  map[string]prompt
}

func (p *prefillEngine) speed() float64 { return p.tokens / p.busy.Seconds() }

// PrefillLoad tracks the pending prompts and the speed of prefill engines. It is not safe for concurrent use.
type PrefillLoad struct {
	engines        map[string]*prefillEngine
	engineByPrompt map[string]string
}

// NewPrefillLoad returns a PrefillLoad without engines; they are added on first use.
func NewPrefillLoad() *PrefillLoad {
	return &PrefillLoad{engines: make(map[string]*prefillEngine), engineByPrompt: make(map[string]string)}
}

func (pl *PrefillLoad) engine(name string) *prefillEngine {
	e := pl.engines[name]
	if e == nil {
		e = &prefillEngine{tokens: initialTokens, total: initialTokens, busy: initialBusy, pending: make(map[string]prompt)}
		pl.engines[name] = e
	}
	return e
}

// Backlog returns the predicted time until an engine has processed its pending prompts. It drops those that timed out.
func (pl *PrefillLoad) Backlog(now time.Time, name string) time.Duration {
	e := pl.engine(name)
	tokens := 0
	oldest := now
	for id, p := range e.pending {
		if now.Sub(p.assignedAt) > prefillTimeout {
			delete(e.pending, id)
			delete(pl.engineByPrompt, id)
			continue
		}
		if p.isOvertaken {
			continue
		}
		tokens += p.tokens
		if p.assignedAt.Before(oldest) {
			oldest = p.assignedAt
		}
	}
	if tokens == 0 {
		return 0
	}
	started := e.lastDone
	if oldest.After(started) {
		started = oldest
	}
	left := time.Duration(float64(tokens)/e.speed()*float64(time.Second)) - now.Sub(started)
	return max(left, 0)
}

// PrefillTime returns the predicted time of a prefill on an idle engine.
func (pl *PrefillLoad) PrefillTime(name string, tokens int) time.Duration {
	return time.Duration(float64(tokens) / pl.engine(name).speed() * float64(time.Second))
}

// Speed returns the prompt tokens per second of an engine, the initial estimate if nothing was measured.
func (pl *PrefillLoad) Speed(name string) float64 { return pl.engine(name).speed() }

// MeasuredSpeed returns the prompt tokens per second of an engine, cached tokens included, false if nothing was measured.
func (pl *PrefillLoad) MeasuredSpeed(name string) (float64, bool) {
	e := pl.engines[name]
	if e == nil || e.lastDone.IsZero() {
		return 0, false
	}
	return e.total / e.busy.Seconds(), true
}

// MeanSpeed returns the mean speed of all known engines.
func (pl *PrefillLoad) MeanSpeed() float64 {
	if len(pl.engines) == 0 {
		return initialTokens / initialBusy.Seconds()
	}
	sum := 0.0
	for _, e := range pl.engines {
		sum += e.speed()
	}
	return sum / float64(len(pl.engines))
}

// MeanPrefillTime returns the time of a prefill at MeanSpeed.
func (pl *PrefillLoad) MeanPrefillTime(tokens int) time.Duration {
	return time.Duration(float64(tokens) / pl.MeanSpeed() * float64(time.Second))
}

// Assign adds a pending prompt to an engine.
func (pl *PrefillLoad) Assign(now time.Time, name, id string, tokens int) {
	pl.AssignCached(now, name, id, tokens, 0)
}

// AssignCached adds a pending prompt of which the engine need not process the cached tokens.
func (pl *PrefillLoad) AssignCached(now time.Time, name, id string, tokens, cached int) {
	pl.engine(name).pending[id] = prompt{tokens: tokens - cached, total: tokens, assignedAt: now}
	pl.engineByPrompt[id] = name
}

// SetTokens sets the tokens that an engine had to process of a pending prompt, if they turn out to differ from those assigned.
func (pl *PrefillLoad) SetTokens(id string, tokens int) {
	e := pl.engines[pl.engineByPrompt[id]]
	if e == nil {
		return
	}
	if p, ok := e.pending[id]; ok {
		p.tokens = tokens
		e.pending[id] = p
	}
}

// Took returns how long an engine has been busy with a pending prompt, 0 if the prompt is not pending.
func (pl *PrefillLoad) Took(now time.Time, id string) time.Duration {
	e := pl.engines[pl.engineByPrompt[id]]
	if e == nil {
		return 0
	}
	p, ok := e.pending[id]
	if !ok {
		return 0
	}
	return e.took(now, p)
}

// took returns how long the engine has been busy with a prompt: since it was assigned, or the one before was processed.
func (p *prefillEngine) took(now time.Time, of prompt) time.Duration {
	started := of.assignedAt
	if p.lastDone.After(started) {
		started = p.lastDone
	}
	return max(0, now.Sub(started))
}

// Complete removes a processed prompt and updates the speed of its engine.
func (pl *PrefillLoad) Complete(now time.Time, id string) {
	name := pl.engineByPrompt[id]
	e := pl.engines[name]
	if e == nil {
		return
	}
	p, ok := e.pending[id]
	pl.Drop(id)
	if !ok {
		return
	}
	if p.isOvertaken {
		return // its answer was late, which says nothing about the speed
	}
	e.markOvertaken(p)
	took := e.took(now, p)
	e.lastDone = now
	e.tokens = decayFactor*e.tokens + float64(p.tokens)
	e.total = decayFactor*e.total + float64(p.total)
	e.busy = time.Duration(decayFactor*float64(e.busy)) + took
}

// markOvertaken marks the prompts that were assigned so long before done that the engine must have processed them first. Without this,
// answers that are lost on the way count as work until they time out, and keep new prompts from an idle engine.
func (p *prefillEngine) markOvertaken(done prompt) {
	for id, other := range p.pending {
		took := time.Duration(float64(other.tokens) / p.speed() * float64(time.Second))
		if done.assignedAt.Sub(other.assignedAt) > took {
			other.isOvertaken = true
			p.pending[id] = other
		}
	}
}

// Clear removes all pending prompts and keeps the measured speeds.
func (pl *PrefillLoad) Clear() {
	clear(pl.engineByPrompt)
	for _, e := range pl.engines {
		clear(e.pending)
	}
}

// Drop removes a prompt that was not processed.
func (pl *PrefillLoad) Drop(id string) {
	if e := pl.engines[pl.engineByPrompt[id]]; e != nil {
		delete(e.pending, id)
	}
	delete(pl.engineByPrompt, id)
}
