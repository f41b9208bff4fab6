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
	tokens     int
	assignedAt time.Time
}

type prefillEngine struct {
	// tokens were processed in the time busy, the newest prompts with the most weight. Prompts may be processed in one
	// batch, so the time of a single prompt is no measure of the speed.
	tokens   float64
	busy     time.Duration
	lastDone time.Time
	pending  map[string]prompt
}

func (e *prefillEngine) speed() float64 { return e.tokens / e.busy.Seconds() }

// PrefillLoad tracks the pending prompts and the speed of prefill engines. It is not safe for concurrent use.
type PrefillLoad struct {
	engines        map[string]*prefillEngine
	engineByPrompt map[string]string
}

// NewPrefillLoad returns a PrefillLoad without engines; they are added on first use.
func NewPrefillLoad() *PrefillLoad {
	return &PrefillLoad{engines: make(map[string]*prefillEngine), engineByPrompt: make(map[string]string)}
}

func (l *PrefillLoad) engine(name string) *prefillEngine {
	e := l.engines[name]
	if e == nil {
		e = &prefillEngine{tokens: initialTokens, busy: initialBusy, pending: make(map[string]prompt)}
		l.engines[name] = e
	}
	return e
}

// Backlog returns the predicted time until an engine has processed its pending prompts. It drops those that timed out.
func (l *PrefillLoad) Backlog(now time.Time, name string) time.Duration {
	e := l.engine(name)
	tokens := 0
	oldest := now
	for id, p := range e.pending {
		if now.Sub(p.assignedAt) > prefillTimeout {
			delete(e.pending, id)
			delete(l.engineByPrompt, id)
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
func (l *PrefillLoad) PrefillTime(name string, tokens int) time.Duration {
	return time.Duration(float64(tokens) / l.engine(name).speed() * float64(time.Second))
}

// Speed returns the prompt tokens per second of an engine, the initial estimate if nothing was measured.
func (l *PrefillLoad) Speed(name string) float64 { return l.engine(name).speed() }

// MeasuredSpeed returns the prompt tokens per second of an engine, false if nothing was measured.
func (l *PrefillLoad) MeasuredSpeed(name string) (float64, bool) {
	e := l.engines[name]
	if e == nil || e.lastDone.IsZero() {
		return 0, false
	}
	return e.speed(), true
}

// MeanSpeed returns the mean speed of all known engines.
func (l *PrefillLoad) MeanSpeed() float64 {
	if len(l.engines) == 0 {
		return initialTokens / initialBusy.Seconds()
	}
	sum := 0.0
	for _, e := range l.engines {
		sum += e.speed()
	}
	return sum / float64(len(l.engines))
}

// MeanPrefillTime returns the time of a prefill at MeanSpeed.
func (l *PrefillLoad) MeanPrefillTime(tokens int) time.Duration {
	return time.Duration(float64(tokens) / l.MeanSpeed() * float64(time.Second))
}

// Assign adds a pending prompt to an engine.
func (l *PrefillLoad) Assign(now time.Time, name, id string, tokens int) {
	l.engine(name).pending[id] = prompt{tokens: tokens, assignedAt: now}
	l.engineByPrompt[id] = name
}

// Complete removes a processed prompt and updates the speed of its engine.
func (l *PrefillLoad) Complete(now time.Time, id string) {
	name := l.engineByPrompt[id]
	e := l.engines[name]
	if e == nil {
		return
	}
	p, ok := e.pending[id]
	l.Drop(id)
	if !ok {
		return
	}
	started := p.assignedAt
	if e.lastDone.After(started) {
		started = e.lastDone
	}
	e.lastDone = now
	e.tokens = decayFactor*e.tokens + float64(p.tokens)
	e.busy = time.Duration(decayFactor*float64(e.busy)) + max(0, now.Sub(started))
}

// Clear removes all pending prompts and keeps the measured speeds.
func (l *PrefillLoad) Clear() {
	clear(l.engineByPrompt)
	for _, e := range l.engines {
		clear(e.pending)
	}
}

// Drop removes a prompt that was not processed.
func (l *PrefillLoad) Drop(id string) {
	if e := l.engines[l.engineByPrompt[id]]; e != nil {
		delete(e.pending, id)
	}
	delete(l.engineByPrompt, id)
}
