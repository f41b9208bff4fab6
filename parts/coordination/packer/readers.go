package packer

import "time"

const (
	// firstTokens in firstBusy are the first guess of an engine's speed, which counts as a small prompt.
	initialTokens = 1000.0
	initialBusy   = 50 * time.Millisecond
	// fading is what a prompt's weight in the measured speed is multiplied by with each later one.
	decayFactor = 0.85
	// lostAfter is how long a prompt may be under way before it counts as lost.
	prefillTimeout = 3 * time.Second
)

type prompt struct {
	tokens     int
	assignedAt time.Time
}

type prefillEngine struct {
	// tokens read in a busy time, the newest prompts with the most weight. Prompts may be read together, so that one
	// prompt's own time tells little.
	tokens   float64
	busy     time.Duration
	lastDone time.Time
	pending  map[string]prompt
}

func (r *prefillEngine) speed() float64 { return r.tokens / r.busy.Seconds() }

// Readers counts the prompts under way at the engines that read prompts. It is not safe for concurrent use.
type PrefillLoad struct {
	engines        map[string]*prefillEngine
	engineByPrompt map[string]string
}

// NewReaders returns an empty count.
func NewPrefillLoad() *PrefillLoad {
	return &PrefillLoad{engines: make(map[string]*prefillEngine), engineByPrompt: make(map[string]string)}
}

func (s *PrefillLoad) engine(name string) *prefillEngine {
	r := s.engines[name]
	if r == nil {
		r = &prefillEngine{tokens: initialTokens, busy: initialBusy, pending: make(map[string]prompt)}
		s.engines[name] = r
	}
	return r
}

// Backlog returns how long an engine will be busy with the prompts it has.
func (s *PrefillLoad) Backlog(now time.Time, name string) time.Duration {
	r := s.engine(name)
	tokens := 0
	oldest := now
	for id, o := range r.pending {
		if now.Sub(o.assignedAt) > prefillTimeout {
			delete(r.pending, id)
			delete(s.engineByPrompt, id)
			continue
		}
		tokens += o.tokens
		if o.assignedAt.Before(oldest) {
			oldest = o.assignedAt
		}
	}
	if tokens == 0 {
		return 0
	}
	begun := r.lastDone
	if oldest.After(begun) {
		begun = oldest
	}
	left := time.Duration(float64(tokens)/r.speed()*float64(time.Second)) - now.Sub(begun)
	return max(left, 0)
}

// Time returns how long an engine takes to read a prompt.
func (s *PrefillLoad) PrefillTime(name string, tokens int) time.Duration {
	return time.Duration(float64(tokens) / s.engine(name).speed() * float64(time.Second))
}

// Speed returns the prompt tokens that an engine reads in a second.
func (s *PrefillLoad) Speed(name string) float64 { return s.engine(name).speed() }

// Measured returns the prompt tokens that an engine reads in a second, if it has read any.
func (s *PrefillLoad) MeasuredSpeed(name string) (float64, bool) {
	r := s.engines[name]
	if r == nil || r.lastDone.IsZero() {
		return 0, false
	}
	return r.speed(), true
}

// UsualSpeed returns the mean speed of all engines that have read prompts.
func (s *PrefillLoad) MeanSpeed() float64 {
	if len(s.engines) == 0 {
		return initialTokens / initialBusy.Seconds()
	}
	sum := 0.0
	for _, r := range s.engines {
		sum += r.speed()
	}
	return sum / float64(len(s.engines))
}

// UsualTime returns how long reading a prompt usually takes.
func (s *PrefillLoad) MeanPrefillTime(tokens int) time.Duration {
	return time.Duration(float64(tokens) / s.MeanSpeed() * float64(time.Second))
}

// Assign counts a prompt.
func (s *PrefillLoad) Assign(now time.Time, name, id string, tokens int) {
	s.engine(name).pending[id] = prompt{tokens: tokens, assignedAt: now}
	s.engineByPrompt[id] = name
}

// Done drops a prompt that was read and learns how fast.
func (s *PrefillLoad) Complete(now time.Time, id string) {
	name := s.engineByPrompt[id]
	r := s.engines[name]
	if r == nil {
		return
	}
	o, ok := r.pending[id]
	s.Drop(id)
	if !ok {
		return
	}
	begun := o.assignedAt
	if r.lastDone.After(begun) {
		begun = r.lastDone
	}
	r.lastDone = now
	r.tokens = decayFactor*r.tokens + float64(o.tokens)
	r.busy = time.Duration(decayFactor*float64(r.busy)) + max(0, now.Sub(begun))
}

// Clear forgets all prompts under way, not how fast engines read.
func (s *PrefillLoad) Clear() {
	clear(s.engineByPrompt)
	for _, r := range s.engines {
		clear(r.pending)
	}
}

// Drop forgets a prompt that was not read.
func (s *PrefillLoad) Drop(id string) {
	if r := s.engines[s.engineByPrompt[id]]; r != nil {
		delete(r.pending, id)
	}
	delete(s.engineByPrompt, id)
}
