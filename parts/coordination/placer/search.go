package placer

import (
	"slices"
	"time"
)

const (
	// decodePrefillFactor is how much longer a prefill takes on a decode engine, where it is interleaved with the decode
	// steps of other runs.
	decodePrefillFactor = 2
	// remotePenalty is the cost of an engine in another data centre, as a share of its memory: transfers between data
	// centres are expensive.
	remotePenalty = 0.1
	// costJitter breaks ties between equal engines, as a share of an engine's memory.
	costJitter = 0.02
	// maxPauseShare is the share of the longest permitted pause that the predicted interval between events may take up;
	// the rest allows for its variance.
	maxPauseShare = 0.8
	// maxCandidates is the number of engines with room that are compared for one request. A few would nearly suffice;
	// comparing hundreds for each request saturates a host's processor.
	maxCandidates = 48
	// maxPrefillBacklog is the backlog above which a prefill engine gets no more prompts. Further requests wait in the
	// queue, where they can be reordered.
	maxPrefillBacklog = 150 * time.Millisecond
	// remotePrefillPenalty is added to the prefill time in another data centre: moving KV cache there is expensive.
	remotePrefillPenalty = 30 * time.Millisecond
)

// search places requests one after another at one point in time. It caches which requests found no room, so that a long
// queue costs no more than a short one while all engines are full.
type search struct {
	*Placer
	now time.Time
	// prefillEngines and decodeEngines are the engines that accept work at present.
	prefillEngines []Engine
	decodeEngines  []Engine
	unplaced       []Request
	// blocked is set once no request can be placed.
	blocked bool
	// comparisons counts the requests for which engines were compared.
	comparisons int
}

func (p *Placer) newSearch(now time.Time) *search {
	s := &search{Placer: p, now: now}
	for _, e := range p.engines {
		switch {
		case p.isUnavailable(now, e), e.IsLimited && e.Allowance <= 0:
		case e.IsPrefill:
			s.prefillEngines = append(s.prefillEngines, e)
		default:
			s.decodeEngines = append(s.decodeEngines, e)
		}
	}
	return s
}

// isActive reports whether an engine serves its stage, even if it accepts no work for the moment.
func (p *Placer) isActive(now time.Time, e Engine) bool {
	return !e.IsExcluded && !p.isChanging(now, e)
}

// isUnavailable reports whether an engine accepts no work at present.
func (p *Placer) isUnavailable(now time.Time, e Engine) bool {
	return !p.isActive(now, e) || now.Before(p.backoffUntil[e.ID])
}

// hasPrefillEngines reports whether any prefill engine is active, even if it accepts no work for the moment.
func (p *Placer) hasPrefillEngines(now time.Time) bool {
	for _, e := range p.engines {
		if e.IsPrefill && p.isActive(now, e) {
			return true
		}
	}
	return false
}

func (s *search) hasUnplaced() bool { return s.blocked || len(s.unplaced) > 0 }

// place assigns engines to a request and adds it to their load.
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
	prefill, cached, ok := s.pickPrefillEngine(e, r)
	if !ok {
		return s.placeWithoutPrefillEngine(r)
	}
	prefilled := s.now.Add(s.prefillLoad.Backlog(s.now, prefill.ID) + s.prefillLoad.PrefillTime(prefill.ID, r.Prompt-cached))
	if !r.IsResumption && !r.IsLate(s.now) && prefilled.Add(s.startDelay.margin()).After(r.FirstEventDeadline) {
		return Placement{}, false // already late; requests that can meet their target go first
	}
	s.startDelay.predicted[r.ID] = prefilled
	s.prefillLoad.AssignCached(s.now, prefill.ID, r.ID, r.Prompt, cached)
	s.sizes.recordPlacement(cached)
	s.prefixes.recordPlacement(s.now, prefill, r, cached)
	s.packer.Add(e.ID, r.Job, prefilled)
	s.decodeEngines = use(s.decodeEngines, e)
	s.prefillEngines = use(s.prefillEngines, prefill)
	return Placement{ID: r.ID, DecodeEngine: e.ID, PrefillEngine: prefill.ID, Version: e.Version}, true
}

// placeWithoutPrefillEngine picks a decode engine that prefills the prompt itself, as no prefill engine takes it.
func (s *search) placeWithoutPrefillEngine(r Request) (Placement, bool) {
	e, ok := s.pickDecodeEngine(r, func(e Engine) bool { return s.mayPrefill(r, e) })
	if !ok {
		s.recordUnplaced(r)
		return Placement{}, false
	}
	s.prefillingUntil[e.ID] = s.now.Add(s.decodePrefillTime(r.Prompt) + 2*s.packer.OutputTime(s.now, e.ID, s.service.Stride))
	s.packer.Add(e.ID, r.Job, s.now)
	s.decodeEngines = use(s.decodeEngines, e)
	return Placement{ID: r.ID, DecodeEngine: e.ID, Version: e.Version}, true
}

// use counts a placement at an engine with a rate limit, and removes the engine from the list if it accepts no more now.
func use(engines []Engine, e Engine) []Engine {
	if !e.IsLimited {
		return engines
	}
	i := slices.IndexFunc(engines, func(other Engine) bool { return other.ID == e.ID })
	if engines[i].Allowance--; engines[i].Allowance > 0 {
		return engines
	}
	return slices.Delete(engines, i, i+1)
}

// recordUnplaced caches that a request found no room. A request that cannot use some engines says nothing about others, so it
// is not cached.
func (s *search) recordUnplaced(r Request) {
	if len(r.ExcludedEngines) == 0 && r.Version == "" {
		s.unplaced = append(s.unplaced, r)
	}
}

// isUnplaceable reports whether a request that needs no more than r has found no room.
func (s *search) isUnplaceable(r Request) bool {
	for _, u := range s.unplaced {
		if u.Prompt <= r.Prompt && u.Hint <= r.Hint && u.MaxOutput <= r.MaxOutput &&
			(u.IsLate(s.now) || !r.IsLate(s.now)) && (u.MaxPause == 0 || r.MaxPause != 0 && r.MaxPause <= u.MaxPause) {
			return true
		}
	}
	return false
}

// pickDecodeEngine returns the engine with the lowest predicted peak memory. An engine too slow to meet the request's
// target is used only for late requests, or if all engines are slow.
func (s *search) pickDecodeEngine(r Request, isUsable func(Engine) bool) (Engine, bool) {
	var best, slow Engine
	var lowestCost, lowestSlowCost float64
	usable, slowEngines, fitting := 0, 0, 0
	for _, e := range s.shuffled() {
		if fitting >= maxCandidates && best.ID != "" {
			break
		}
		if r.excludes(e) || !r.mayDecode(e) || !isUsable(e) {
			continue
		}
		usable++
		isSlow := r.MaxPause > 0 && s.packer.OutputTime(s.now, e.ID, s.service.Stride) > fraction(maxPauseShare, r.MaxPause)
		if isSlow {
			slowEngines++
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
		case isSlow && (slow.ID == "" || cost < lowestSlowCost):
			slow, lowestSlowCost = e, cost
		case !isSlow && (best.ID == "" || cost < lowestCost):
			best, lowestCost = e, cost
		}
	}
	if best.ID == "" && (r.IsResumption || r.IsLate(s.now) || slowEngines == usable) {
		best = slow
	}
	return best, best.ID != ""
}

// shuffled returns the decode engines, rotated to a random start if there are more than maxCandidates.
func (s *search) shuffled() []Engine {
	list := s.decodeEngines
	if len(list) <= maxCandidates {
		return list
	}
	start := s.random.IntN(len(list))
	return append(slices.Clone(list[start:]), list[:start]...)
}

func fraction(share float64, total time.Duration) time.Duration {
	return time.Duration(share * float64(total))
}

// hasFreePrefillEngine reports whether a prefill engine accepts one more prompt.
func (s *search) hasFreePrefillEngine() bool {
	return len(s.prefillEngines) > 0 && s.leastBacklog() <= maxPrefillBacklog
}

// pickPrefillEngine returns the engine that finishes the prefill first, among those within maxPrefillBacklog, and the tokens of
// the prompt that it has probably cached. A cached prefix outweighs a longer backlog by the time that its prefill would take.
func (s *search) pickPrefillEngine(decode Engine, r Request) (best Engine, cached int, ok bool) {
	var earliest time.Duration
	for _, e := range s.prefillEngines {
		backlog := s.prefillLoad.Backlog(s.now, e.ID)
		if backlog > maxPrefillBacklog || r.excludes(e) {
			continue
		}
		expected := s.prefixes.expect(e, r)
		ready := backlog + s.prefillLoad.PrefillTime(e.ID, r.Prompt-expected)
		if e.DataCentre != decode.DataCentre {
			ready += remotePrefillPenalty
		}
		if best.ID == "" || ready < earliest {
			best, earliest, cached = e, ready, expected
		}
	}
	return best, cached, best.ID != ""
}

// decodePrefillTime returns the predicted prefill time of a prompt on a decode engine.
func (p *Placer) decodePrefillTime(prompt int) time.Duration {
	return decodePrefillFactor * p.prefillLoad.MeanPrefillTime(prompt)
}

// mayPrefill reports whether a decode engine may prefill a prompt itself while there is no prefill engine: one prompt at
// a time, and only if the runs there still produce their events in time. While requests wait for a prefill engine,
// prefills on decode engines delay more than they help.
func (s *search) mayPrefill(r Request, e Engine) bool {
	if s.now.Before(s.prefillingUntil[e.ID]) {
		return false
	}
	pause := s.decodePrefillTime(r.Prompt) + s.packer.OutputTime(s.now, e.ID, s.service.Stride)
	return s.packer.Runs(e.ID) <= 1 || pause <= fraction(maxPauseShare, r.MaxPause)
}
