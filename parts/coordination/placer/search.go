package placer

import (
	"slices"
	"time"
)

const (
	// ownFactor is how much longer a decode engine takes to read a prompt itself: it reads between the tokens of others.
	decodePrefillFactor = 2
	// farPenalty is the share of an engine's memory that another data centre counts for: bytes between them are dear.
	remotePenalty = 0.1
	// jitter is the share of an engine's memory by which equal engines are told apart.
	costJitter = 0.02
	// pauseShare is the part of the longest pause that events may take at the measured pace: it varies.
	maxPauseShare = 0.8
	// compared is the number of engines with room among which the least full is chosen. A few would nearly do; comparing
	// hundreds for each request takes a host's whole time.
	maxCandidates = 48
	// readerWindow is how much work a reading engine may have before others wait here, where they can be ordered.
	maxPrefillBacklog = 150 * time.Millisecond
	// farReader is the work that a reading engine of another data centre counts for: moving KV cache is dear.
	remotePrefillPenalty = 30 * time.Millisecond
)

// search places requests one after another at one moment. It remembers who found no room, so that a long queue costs no
// more than a short one while all engines are full.
type search struct {
	*Placer
	now time.Time
	// readingEngines and generatingEngines are those that take something at present.
	prefillEngines []Engine
	decodeEngines  []Engine
	unplaced       []Request
	// blocked is set once nobody at all can be placed.
	blocked bool
	// tried counts the requests for which engines were compared.
	comparisons int
}

func (p *Placer) newSearch(now time.Time) *search {
	s := &search{Placer: p, now: now}
	for _, e := range p.engines {
		switch {
		case p.isUnavailable(now, e):
		case e.IsPrefill:
			s.prefillEngines = append(s.prefillEngines, e)
		default:
			s.decodeEngines = append(s.decodeEngines, e)
		}
	}
	return s
}

// isInUse tells whether an engine works in its stage, if it takes nothing at this moment.
func (p *Placer) isActive(now time.Time, e Engine) bool {
	return !e.IsExcluded && !p.isChanging(now, e)
}

// isOut tells whether an engine takes nothing at present.
func (p *Placer) isUnavailable(now time.Time, e Engine) bool {
	return !p.isActive(now, e) || now.Before(p.backoffUntil[e.ID])
}

// hasReaders tells whether any engine reads prompts, if not at this moment.
func (p *Placer) hasPrefillEngines(now time.Time) bool {
	for _, e := range p.engines {
		if e.IsPrefill && p.isActive(now, e) {
			return true
		}
	}
	return false
}

func (s *search) hasUnplaced() bool { return s.blocked || len(s.unplaced) > 0 }

// place finds a place and counts it as taken.
func (s *search) place(r Request) (Placement, bool) {
	if s.blocked || s.isUnplaceable(r) {
		return Placement{}, false
	}
	if !s.hasFreePrefillEngine() && s.hasPrefillEngines(s.now) {
		s.blocked = true
		return Placement{}, false
	}
	s.comparisons++
	e, ok := s.pickDecodeEngine(r, func(Engine) bool { return true })
	if !ok {
		s.recordUnplaced(r)
		return Placement{}, false
	}
	reader, ok := s.pickPrefillEngine(e, r)
	if !ok {
		return s.placeWithoutPrefillEngine(r)
	}
	begins := s.now.Add(s.prefillLoad.Backlog(s.now, reader.ID) + s.prefillLoad.PrefillTime(reader.ID, r.Prompt))
	if !r.IsLate(s.now) && begins.Add(s.startDelay.margin()).After(r.FirstEventDeadline) {
		return Placement{}, false // late by now; those in time go first
	}
	s.startDelay.predicted[r.ID] = begins
	s.prefillLoad.Assign(s.now, reader.ID, r.ID, r.Prompt)
	s.packer.Add(e.ID, r.Job, begins)
	return Placement{ID: r.ID, DecodeEngine: e.ID, PrefillEngine: reader.ID}, true
}

// placeUnread finds an engine that reads the prompt itself, where no engine reads for others.
func (s *search) placeWithoutPrefillEngine(r Request) (Placement, bool) {
	e, ok := s.pickDecodeEngine(r, func(e Engine) bool { return s.mayPrefill(r, e) })
	if !ok {
		s.recordUnplaced(r)
		return Placement{}, false
	}
	s.prefillingUntil[e.ID] = s.now.Add(s.decodePrefillTime(r.Prompt) + 2*s.packer.OutputTime(s.now, e.ID, s.service.Stride))
	s.packer.Add(e.ID, r.Job, s.now)
	return Placement{ID: r.ID, DecodeEngine: e.ID}, true
}

// miss remembers that a request found no room. One that some engines turn away says nothing of others.
func (s *search) recordUnplaced(r Request) {
	if len(r.ExcludedEngines) == 0 {
		s.unplaced = append(s.unplaced, r)
	}
}

// isHopeless tells whether somebody who wants no more than r has found no room.
func (s *search) isUnplaceable(r Request) bool {
	for _, m := range s.unplaced {
		if m.Prompt <= r.Prompt && m.Hint <= r.Hint && m.MaxOutput <= r.MaxOutput &&
			(m.IsLate(s.now) || !r.IsLate(s.now)) && (m.MaxPause == 0 || r.MaxPause != 0 && r.MaxPause <= m.MaxPause) {
			return true
		}
	}
	return false
}

// pickGenerator returns the engine that the request fills least. An engine whose events come too slowly for an answer in
// time is left to requests that are late, and to times when all are slow.
func (s *search) pickDecodeEngine(r Request, isUsable func(Engine) bool) (Engine, bool) {
	var best, slow Engine
	var lowest, lowestSlow float64
	usable, dragging, fitting := 0, 0, 0
	for _, e := range s.shuffled() {
		if fitting >= maxCandidates && best.ID != "" {
			break
		}
		if r.excludes(e) || !isUsable(e) {
			continue
		}
		usable++
		isSlow := r.MaxPause > 0 && s.packer.OutputTime(s.now, e.ID, s.service.Stride) > fraction(maxPauseShare, r.MaxPause)
		if isSlow {
			dragging++
		}
		peak := s.packer.Peak(s.now, e.ID, r.Job, s.now)
		if peak > 1 {
			continue
		}
		fitting++
		cost := peak + costJitter*s.random.Float64()
		if e.DataCentre != r.DataCentre {
			cost += remotePenalty
		}
		switch {
		case isSlow && (slow.ID == "" || cost < lowestSlow):
			slow, lowestSlow = e, cost
		case !isSlow && (best.ID == "" || cost < lowest):
			best, lowest = e, cost
		}
	}
	if best.ID == "" && (r.IsLate(s.now) || dragging == usable) {
		best = slow
	}
	return best, best.ID != ""
}

// shuffled returns the generating engines, many of them from another one on each time.
func (s *search) shuffled() []Engine {
	list := s.decodeEngines
	if len(list) <= maxCandidates {
		return list
	}
	begin := s.random.IntN(len(list))
	return append(slices.Clone(list[begin:]), list[:begin]...)
}

func fraction(part float64, of time.Duration) time.Duration { return time.Duration(part * float64(of)) }

// hasFreeReader tells whether an engine takes one more prompt.
func (s *search) hasFreePrefillEngine() bool {
	return len(s.prefillEngines) > 0 && s.leastBacklog() <= maxPrefillBacklog
}

// pickReader returns the reading engine that has the prompt read soonest, if one has not enough to do.
func (s *search) pickPrefillEngine(generator Engine, r Request) (Engine, bool) {
	var best Engine
	var least time.Duration
	for _, e := range s.prefillEngines {
		backlog := s.prefillLoad.Backlog(s.now, e.ID)
		if backlog > maxPrefillBacklog || r.excludes(e) {
			continue
		}
		ready := backlog + s.prefillLoad.PrefillTime(e.ID, r.Prompt)
		if e.DataCentre != generator.DataCentre {
			ready += remotePrefillPenalty
		}
		if best.ID == "" || ready < least {
			best, least = e, ready
		}
	}
	return best, best.ID != ""
}

// ownTime returns how long a decode engine takes to read a prompt itself.
func (p *Placer) decodePrefillTime(prompt int) time.Duration {
	return decodePrefillFactor * p.prefillLoad.MeanPrefillTime(prompt)
}

// mayRead tells whether a decode engine may read a prompt itself while no engine reads: one at a time, and only if the
// generations there still make their events in time. Prompts that decode engines read while others wait for a reading
// engine hold up more than they help.
func (s *search) mayPrefill(r Request, e Engine) bool {
	if s.now.Before(s.prefillingUntil[e.ID]) {
		return false
	}
	pause := s.decodePrefillTime(r.Prompt) + s.packer.OutputTime(s.now, e.ID, s.service.Stride)
	return s.packer.Runs(e.ID) <= 1 || pause <= fraction(maxPauseShare, r.MaxPause)
}
