package dispatcher

import (
	"context"
	"errors"
	"time"

	"github.com/hornbeamspan/hornbeamspan/parts/coordination/ejector"
	"github.com/hornbeamspan/hornbeamspan/parts/coordination/enroller"
	"github.com/hornbeamspan/hornbeamspan/parts/coordination/estimator"
	"github.com/hornbeamspan/hornbeamspan/protocol/wire"
	"github.com/hornbeamspan/hornbeamspan/transport/endpoints/enlister"
	"github.com/hornbeamspan/hornbeamspan/transport/eventer"
)

const (
	// holdMargin is what a home reserves beyond the prompt, in events of output: the rest is packed, not reserved.
	holdMargin = 2
	// holdTimeout bounds a call for a hold; engines answer it without work.
	holdTimeout = 200 * time.Millisecond
	// fullPause is how long an engine is not asked after it had no room.
	fullPause = 60 * time.Millisecond
	// readerWindow is how much work a reading engine may have before others wait here, where they can be ordered.
	readerWindow = 150 * time.Millisecond
	// ownFactor is how much longer a decode engine takes to read a prompt itself: it reads between the tokens of others.
	ownFactor = 2
	// farPenalty is the share of an engine's memory that another data centre counts for: bytes between them are dear.
	farPenalty = 0.1
	// pauseShare is the part of the longest pause that events may take at the measured pace: it varies.
	pauseShare = 0.8
	// farReader is the work that a reading engine of another data centre counts for: moving KV cache is dear.
	farReader = 30 * time.Millisecond
)

// place finds a place for t and has it taken. The caller holds mu.
func (k *desk) place(now time.Time, t *ticket) bool {
	service, ok := k.dispatcher.Describe(k.service)
	if !ok || service.Engine == nil {
		return false
	}
	stride := service.Engine.Stride
	e := k.pickEngine(now, t, stride, func(*enlister.Endpoint) bool { return true })
	if e == nil {
		return false
	}
	r := k.pickReader(now, e, t.ask.Prompt)
	if r == nil && k.hasReaders(now) {
		return false
	}
	if r == nil {
		e = k.pickEngine(now, t, stride, func(e *enlister.Endpoint) bool { return k.mayRead(now, t, e, stride) })
	}
	if e == nil {
		return false
	}
	job := t.ask.job()
	begins := now
	if r != nil {
		begins = now.Add(k.readers.Backlog(now, r.ID) + k.readers.Time(r.ID, t.ask.Prompt))
		k.readers.Assign(now, r.ID, t.ask.ID, t.ask.Prompt)
	} else {
		k.reading[e.ID] = now.Add(k.ownTime(t.ask.Prompt) + 2*k.packer.Pause(now, e.ID, stride))
	}
	k.packer.Add(e.ID, job, begins)
	t.taking = true
	w := want{tokens: t.ask.Prompt + holdMargin*service.Engine.Stride, lifetime: service.Engine.MaxHold}
	if t.alone || now.Sub(k.since) < warmUp {
		w.proof = estimator.Need(estimator.Demand{Prompt: t.ask.Prompt, Hint: t.ask.Hint, MaxOutput: t.ask.MaxOutput})
	}
	go k.take(t, e, r, w)
	return true
}

// want is a hold to be taken.
type want struct {
	tokens   int
	lifetime time.Duration
	// proof is the memory that must be free at that moment, 0 if the home knows enough to do without the question. It is
	// not kept: what is reserved and unused has the generations of others preempted.
	proof int
}

// hold takes a hold at an engine.
func (k *desk) hold(e *enlister.Endpoint, w want) (string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), holdTimeout)
	defer cancel()
	engines := k.dispatcher.Engines
	if w.proof > w.tokens {
		proof, err := engines.Hold(ctx, e.Address, w.proof, w.lifetime)
		if err != nil {
			return "", err
		}
		if err := engines.Drop(ctx, e.Address, proof); err != nil {
			return "", err
		}
	}
	return engines.Hold(ctx, e.Address, w.tokens, w.lifetime)
}

// isOut tells whether an engine takes nothing at present. The caller holds mu.
func (k *desk) isOut(now time.Time, e *enlister.Endpoint) bool {
	return e.IsEjected(now) || now.Before(k.full[e.ID]) || k.isChanging(now, e)
}

// pickEngine returns the decode engine that the request fills least, nil if none has room. An engine whose events come
// too slowly for an answer in time is left to requests that are late, and to times when all are slow. The caller holds mu.
func (k *desk) pickEngine(now time.Time, t *ticket, stride int, isUsable func(*enlister.Endpoint) bool) *enlister.Endpoint {
	job := t.ask.job()
	random := k.dispatcher.random()
	var best, slow *enlister.Endpoint
	var lowest, lowestSlow float64
	usable, dragging := 0, 0
	for _, e := range k.dispatcher.Endpoints.Service(k.service) {
		if e.Stage == enroller.Prefill || k.isOut(now, e) || !isUsable(e) {
			continue
		}
		usable++
		isSlow := t.ask.MaxPause > 0 && k.packer.Pause(now, e.ID, stride) > time.Duration(pauseShare*float64(t.ask.MaxPause))
		if isSlow {
			dragging++
		}
		peak := k.packer.Peak(now, e.ID, job, now)
		if peak > 1 {
			continue
		}
		cost := peak + 0.02*random.Float64()
		if e.DataCentre != t.zone {
			cost += farPenalty
		}
		switch {
		case isSlow && (slow == nil || cost < lowestSlow):
			slow, lowestSlow = e, cost
		case !isSlow && (best == nil || cost < lowest):
			best, lowest = e, cost
		}
	}
	if best == nil && (t.IsLate(now) || dragging == usable) {
		return slow
	}
	return best
}

// pickReader returns the reading engine that has the prompt read soonest, nil if there is none or all have enough to do.
// The caller holds mu.
func (k *desk) pickReader(now time.Time, decode *enlister.Endpoint, prompt int) *enlister.Endpoint {
	var best *enlister.Endpoint
	var least time.Duration
	for _, e := range k.dispatcher.Endpoints.Service(k.service) {
		if e.Stage != enroller.Prefill || k.isOut(now, e) {
			continue
		}
		backlog := k.readers.Backlog(now, e.ID)
		if backlog > readerWindow {
			continue
		}
		ready := backlog + k.readers.Time(e.ID, prompt)
		if e.DataCentre != decode.DataCentre {
			ready += farReader
		}
		if best == nil || ready < least {
			best, least = e, ready
		}
	}
	return best
}

// ownTime returns how long a decode engine takes to read a prompt itself.
func (k *desk) ownTime(prompt int) time.Duration {
	return time.Duration(ownFactor * float64(prompt) / k.readers.UsualSpeed() * float64(time.Second))
}

// hasReaders tells whether any engine reads prompts. The caller holds mu.
func (k *desk) hasReaders(now time.Time) bool {
	for _, e := range k.dispatcher.Endpoints.Service(k.service) {
		if e.Stage == enroller.Prefill && !e.IsEjected(now) && !k.isChanging(now, e) {
			return true
		}
	}
	return false
}

// mayRead tells whether a decode engine may read a prompt itself while no engine reads: one at a time, and only if the
// generations there still make their events in time. Prompts that decode engines read while others wait for a reading
// engine hold up more than they help. The caller holds mu.
func (k *desk) mayRead(now time.Time, t *ticket, e *enlister.Endpoint, stride int) bool {
	if now.Before(k.reading[e.ID]) {
		return false
	}
	pause := k.ownTime(t.ask.Prompt) + k.packer.Pause(now, e.ID, stride)
	return k.packer.Runs(e.ID) <= 1 || pause <= time.Duration(pauseShare*float64(t.ask.MaxPause))
}

// take gets the hold for a placed request; without one the request waits on.
func (k *desk) take(t *ticket, e, r *enlister.Endpoint, w want) {
	d := k.dispatcher
	begun := d.Clock.Now()
	hold, err := k.hold(e, w)
	now := d.Clock.Now()
	k.mu.Lock()
	defer k.mu.Unlock()
	t.taking = false
	if err != nil {
		k.packer.Remove(now, t.ask.ID)
		k.readers.Drop(t.ask.ID)
		k.noteFailure(now, t, e, err)
		k.nudge()
		return
	}
	if t.done {
		k.packer.Remove(now, t.ask.ID)
		k.readers.Drop(t.ask.ID)
		go k.release(e, hold)
		return
	}
	k.placed = append(k.placed, now)
	if len(k.placed) > placings {
		k.placed = k.placed[1:]
	}
	answer := wire.PlaceAnswer{State: statePlaced, Engine: e.ID, Hold: hold, Until: int(begun.Add(w.lifetime).Sub(now).Milliseconds())}
	if r != nil {
		answer.Reader = r.ID
	}
	t.answer <- answer
}

func (k *desk) noteFailure(now time.Time, t *ticket, e *enlister.Endpoint, err error) {
	var full *FullError
	if errors.As(err, &full) {
		k.full[e.ID] = now.Add(fullPause)
		return
	}
	eventer.Warn(k.dispatcher.Logs, eventer.SendFailed, "request", t.ask.ID, "endpoint", e.ID, "service", k.service,
		"stage", e.Stage.String(), "outcome", "no hold", "reason", err.Error())
	e.Judge(func(h *ejector.Health) { h.Refused(now) })
}
