package placer

import (
	"slices"
	"time"
)

const (
	// ownFactor is how much longer a decode engine takes to read a prompt itself: it reads between the tokens of others.
	ownFactor = 2
	// farPenalty is the share of an engine's memory that another data centre counts for: bytes between them are dear.
	farPenalty = 0.1
	// jitter is the share of an engine's memory by which equal engines are told apart.
	jitter = 0.02
	// pauseShare is the part of the longest pause that events may take at the measured pace: it varies.
	pauseShare = 0.8
	// compared is the number of engines with room among which the least full is chosen. A few would nearly do; comparing
	// hundreds for each request takes a host's whole time.
	compared = 48
	// readerWindow is how much work a reading engine may have before others wait here, where they can be ordered.
	readerWindow = 150 * time.Millisecond
	// farReader is the work that a reading engine of another data centre counts for: moving KV cache is dear.
	farReader = 30 * time.Millisecond
)

// search places requests one after another at one moment. It remembers who found no room, so that a long queue costs no
// more than a short one while all engines are full.
type search struct {
	*Placer
	now time.Time
	// readingEngines and generatingEngines are those that take something at present.
	readingEngines    []Engine
	generatingEngines []Engine
	missed            []Request
	// blocked is set once nobody at all can be placed.
	blocked bool
	// tried counts the requests for which engines were compared.
	tried int
}

func (p *Placer) newSearch(now time.Time) *search {
	s := &search{Placer: p, now: now}
	for _, e := range p.engines {
		switch {
		case p.isOut(now, e):
		case e.Reads:
			s.readingEngines = append(s.readingEngines, e)
		default:
			s.generatingEngines = append(s.generatingEngines, e)
		}
	}
	return s
}

// isInUse tells whether an engine works in its stage, if it takes nothing at this moment.
func (p *Placer) isInUse(now time.Time, e Engine) bool { return !e.Out && !p.isChanging(now, e) }

// isOut tells whether an engine takes nothing at present.
func (p *Placer) isOut(now time.Time, e Engine) bool {
	return !p.isInUse(now, e) || now.Before(p.paused[e.ID])
}

// hasReaders tells whether any engine reads prompts, if not at this moment.
func (p *Placer) hasReaders(now time.Time) bool {
	for _, e := range p.engines {
		if e.Reads && p.isInUse(now, e) {
			return true
		}
	}
	return false
}

func (s *search) hasMissed() bool { return s.blocked || len(s.missed) > 0 }

// place finds a place and counts it as taken.
func (s *search) place(r Request) (Place, bool) {
	if s.blocked || s.isHopeless(r) {
		return Place{}, false
	}
	if !s.hasFreeReader() && s.hasReaders(s.now) {
		s.blocked = true
		return Place{}, false
	}
	s.tried++
	e, ok := s.pickGenerator(r, func(Engine) bool { return true })
	if !ok {
		s.miss(r)
		return Place{}, false
	}
	reader, ok := s.pickReader(e, r)
	if !ok {
		return s.placeUnread(r)
	}
	begins := s.now.Add(s.readers.Backlog(s.now, reader.ID) + s.readers.Time(reader.ID, r.Prompt))
	if !r.IsLate(s.now) && begins.Add(s.lead.beyond()).After(r.FirstBy) {
		return Place{}, false // late by now; those in time go first
	}
	s.lead.predicted[r.ID] = begins
	s.readers.Assign(s.now, reader.ID, r.ID, r.Prompt)
	s.packer.Add(e.ID, r.Job, begins)
	return Place{ID: r.ID, Engine: e.ID, Reader: reader.ID}, true
}

// placeUnread finds an engine that reads the prompt itself, where no engine reads for others.
func (s *search) placeUnread(r Request) (Place, bool) {
	e, ok := s.pickGenerator(r, func(e Engine) bool { return s.mayRead(r, e) })
	if !ok {
		s.miss(r)
		return Place{}, false
	}
	s.reading[e.ID] = s.now.Add(s.ownTime(r.Prompt) + 2*s.packer.Pause(s.now, e.ID, s.service.Stride))
	s.packer.Add(e.ID, r.Job, s.now)
	return Place{ID: r.ID, Engine: e.ID}, true
}

// miss remembers that a request found no room. One that some engines turn away says nothing of others.
func (s *search) miss(r Request) {
	if len(r.Avoid) == 0 {
		s.missed = append(s.missed, r)
	}
}

// isHopeless tells whether somebody who wants no more than r has found no room.
func (s *search) isHopeless(r Request) bool {
	for _, m := range s.missed {
		if m.Prompt <= r.Prompt && m.Hint <= r.Hint && m.MaxOutput <= r.MaxOutput &&
			(m.IsLate(s.now) || !r.IsLate(s.now)) && (m.MaxPause == 0 || r.MaxPause != 0 && r.MaxPause <= m.MaxPause) {
			return true
		}
	}
	return false
}

// pickGenerator returns the engine that the request fills least. An engine whose events come too slowly for an answer in
// time is left to requests that are late, and to times when all are slow.
func (s *search) pickGenerator(r Request, isUsable func(Engine) bool) (Engine, bool) {
	var best, slow Engine
	var lowest, lowestSlow float64
	usable, dragging, fitting := 0, 0, 0
	for _, e := range s.shuffled() {
		if fitting >= compared && best.ID != "" {
			break
		}
		if r.avoids(e) || !isUsable(e) {
			continue
		}
		usable++
		isSlow := r.MaxPause > 0 && s.packer.Pause(s.now, e.ID, s.service.Stride) > share(pauseShare, r.MaxPause)
		if isSlow {
			dragging++
		}
		peak := s.packer.Peak(s.now, e.ID, r.Job, s.now)
		if peak > 1 {
			continue
		}
		fitting++
		cost := peak + jitter*s.random.Float64()
		if e.DataCentre != r.DataCentre {
			cost += farPenalty
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
	list := s.generatingEngines
	if len(list) <= compared {
		return list
	}
	begin := s.random.IntN(len(list))
	return append(slices.Clone(list[begin:]), list[:begin]...)
}

func share(part float64, of time.Duration) time.Duration { return time.Duration(part * float64(of)) }

// hasFreeReader tells whether an engine takes one more prompt.
func (s *search) hasFreeReader() bool {
	return len(s.readingEngines) > 0 && s.leastBacklog() <= readerWindow
}

// pickReader returns the reading engine that has the prompt read soonest, if one has not enough to do.
func (s *search) pickReader(generator Engine, r Request) (Engine, bool) {
	var best Engine
	var least time.Duration
	for _, e := range s.readingEngines {
		backlog := s.readers.Backlog(s.now, e.ID)
		if backlog > readerWindow || r.avoids(e) {
			continue
		}
		ready := backlog + s.readers.Time(e.ID, r.Prompt)
		if e.DataCentre != generator.DataCentre {
			ready += farReader
		}
		if best.ID == "" || ready < least {
			best, least = e, ready
		}
	}
	return best, best.ID != ""
}

// ownTime returns how long a decode engine takes to read a prompt itself.
func (p *Placer) ownTime(prompt int) time.Duration {
	return ownFactor * p.readers.UsualTime(prompt)
}

// mayRead tells whether a decode engine may read a prompt itself while no engine reads: one at a time, and only if the
// generations there still make their events in time. Prompts that decode engines read while others wait for a reading
// engine hold up more than they help.
func (s *search) mayRead(r Request, e Engine) bool {
	if s.now.Before(s.reading[e.ID]) {
		return false
	}
	pause := s.ownTime(r.Prompt) + s.packer.Pause(s.now, e.ID, s.service.Stride)
	return s.packer.Runs(e.ID) <= 1 || pause <= share(pauseShare, r.MaxPause)
}
