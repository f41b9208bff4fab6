package dispatcher

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/hornbeamspan/hornbeamspan/parts/coordination/cachetracker"
	"github.com/hornbeamspan/hornbeamspan/parts/coordination/ejector"
	"github.com/hornbeamspan/hornbeamspan/parts/coordination/enroller"
	"github.com/hornbeamspan/hornbeamspan/parts/coordination/matcher"
	"github.com/hornbeamspan/hornbeamspan/parts/coordination/placer"
	"github.com/hornbeamspan/hornbeamspan/protocol/wire"
	"github.com/hornbeamspan/hornbeamspan/transport/endpoints/discoverer"
	"github.com/hornbeamspan/hornbeamspan/transport/eventlogger"
)

const (
	// scheduleInterval is the interval at which waiting requests are scheduled without a signal.
	scheduleInterval = 20 * time.Millisecond
	// maxClockGap is the idle time beyond which a watching scheduler takes its host to have been suspended: several balance
	// rounds were missed. A host that is only short of CPU time is late by less.
	maxClockGap = 3 * balanceInterval
)

// pendingRequest is a request that waits, or whose placement its host has not fetched yet.
type pendingRequest struct {
	request     placer.Request
	isReserving bool
	// lastPolled is the time of the last poll by the request's host, pollTimeout how long that poll waits.
	lastPolled  time.Time
	pollTimeout time.Duration
	answer      chan wire.PlacementResponse
	isRemoved   bool
}

// isExpired reports whether the request's host has stopped polling.
func (pr *pendingRequest) isExpired(now time.Time) bool {
	return now.Sub(pr.lastPolled) > 2*pr.pollTimeout+answerGrace
}

// scheduler places the generations of one service.
type scheduler struct {
	dispatcher   *Dispatcher
	service      string
	mu           sync.Mutex
	pending      map[string]*pendingRequest
	placer       *placer.Placer
	isScheduling bool
	isWatching   bool
	lastUsed     time.Time
	// activeSince is when this host started to place requests, as owner or on its own, after an idle time or a suspension.
	activeSince time.Time
	// lastActive is the time of the last operation. While the scheduler watches there is one at least every balanceInterval.
	lastActive time.Time
	wake       chan struct{}
}

func newScheduler(d *Dispatcher, service string, random *rand.Rand) *scheduler {
	s := &scheduler{
		dispatcher: d, service: service, pending: make(map[string]*pendingRequest), placer: placer.New(random),
		wake: make(chan struct{}, 1),
	}
	if d.PrefixCaching {
		s.placer.EnablePrefixCaching(cachetracker.New(0)) // the placer sets the capacity
	}
	return s
}

// checkClock returns the time and detects that the host was suspended. In that case queued updates are as old as the
// suspension and give no valid timings, and other hosts have placed requests meanwhile: the scheduler starts a new warm-up.
// The caller holds mu.
func (s *scheduler) checkClock() time.Time {
	now := s.dispatcher.Clock.Now()
	if gap := now.Sub(s.lastActive); s.isWatching && gap > maxClockGap {
		eventlogger.Warn(s.dispatcher.Logs, eventlogger.HostSuspended, "service", s.service, "ms", gap.Milliseconds())
		s.activeSince = now
		s.placer.DiscardPendingTimings()
	}
	s.lastActive = now
	return now
}

// poll admits a request, or continues to wait for its result if it is pending already.
func (s *scheduler) poll(ctx context.Context, r placer.Request, timeout time.Duration) wire.PlacementResponse {
	pr := s.admit(r, timeout)
	select {
	case answer := <-pr.answer:
		s.remove(pr)
		return answer
	case <-ctx.Done():
	case <-s.dispatcher.Clock.After(timeout):
	}
	return wire.PlacementResponse{State: stateWaiting}
}

func (s *scheduler) admit(r placer.Request, timeout time.Duration) *pendingRequest {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.checkClock()
	if now.Sub(s.lastUsed) > idleTimeout {
		s.activeSince = now
	}
	s.lastUsed = now
	pr := s.pending[r.ID]
	if pr == nil {
		r = s.placer.RecordArrival(now, r)
		pr = &pendingRequest{request: r, answer: make(chan wire.PlacementResponse, 1)}
		s.pending[r.ID] = pr
	}
	pr.lastPolled, pr.pollTimeout = now, timeout
	if !s.isWatching {
		s.isWatching = true
		go s.watch()
	}
	if !s.isScheduling {
		s.isScheduling = true
		go s.run()
		return pr
	}
	s.signal()
	return pr
}

// signal has the waiting requests scheduled without waiting for scheduleInterval.
func (s *scheduler) signal() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

func (s *scheduler) remove(pr *pendingRequest) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.pending[pr.request.ID] == pr {
		delete(s.pending, pr.request.ID)
	}
}

// applyProgress passes a progress report on to the placer and to the engine's health.
func (s *scheduler) applyProgress(p Progress) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.checkClock()
	switch p.Step {
	case PromptRead:
		s.placer.RecordPrefill(now, p.ID)
		s.updateHealth(p.Engine, (*ejector.Health).ClearFailures)
	case PromptRefused:
		s.placer.RecordPrefillFailure(now, p.ID, p.Engine, true)
	case Unreachable:
		s.placer.RecordPrefillFailure(now, p.ID, p.Engine, false)
		s.updateHealth(p.Engine, func(h *ejector.Health) { h.RecordFailure(now) })
	case CacheLost:
		s.placer.RecordCacheLoss(now, p.Engine)
	case OutputStarted:
		s.placer.RecordFirstEvent(now, p.ID)
		s.updateHealth(p.Engine, (*ejector.Health).ClearFailures)
	case OutputPaced:
		s.placer.RecordOutput(now, p.ID, p.Output, p.Took)
	case OutputEnded:
		s.placer.RecordCompletion(now, p.ID, p.Output)
	case HoldRefused:
		s.placer.RecordDecodeRefusal(now, p.ID, p.Engine)
	case Failed:
		s.placer.RecordFailure(now, p.ID)
		if pr := s.pending[p.ID]; pr != nil {
			s.abandon(pr)
		}
	}
	if p.Step.freesCapacity() {
		s.signal()
	}
}

// updateHealth applies another host's observation of an engine to the local health record.
func (s *scheduler) updateHealth(engine string, f func(*ejector.Health)) {
	if e := s.find(engine); e != nil {
		e.UpdateHealth(f)
	}
}

// abandon removes a request that its host no longer polls, and releases its placement. The caller holds mu.
func (s *scheduler) abandon(pr *pendingRequest) {
	pr.isRemoved = true
	delete(s.pending, pr.request.ID)
	select {
	case answer := <-pr.answer:
		s.placer.RecordFailure(s.dispatcher.Clock.Now(), pr.request.ID)
		if e := s.find(answer.Engine); e != nil && answer.Hold != "" {
			go s.releaseHold(e, answer.Hold)
		}
	default:
	}
}

func (s *scheduler) find(id string) *discoverer.Endpoint {
	return s.dispatcher.Endpoints.Find(s.service, id)
}

// run schedules pending requests until none is left.
func (s *scheduler) run() {
	for s.schedule() {
		select {
		case <-s.wake:
		case <-s.dispatcher.done:
			return
		case <-s.dispatcher.Clock.After(scheduleInterval):
		}
	}
}

// schedule starts the reservations for requests that can be placed, and refuses those that cannot. It returns false if no
// request is pending.
func (s *scheduler) schedule() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.checkClock()
	waiting := s.waitingRequests(now)
	if len(s.pending) == 0 {
		s.isScheduling = false
		return false
	}
	engine, ok := s.updateEngines(now)
	if !ok {
		return true
	}
	plan := s.placer.Plan(now, waiting)
	for _, r := range plan.Refusals {
		s.pending[r.ID].answer <- wire.PlacementResponse{State: stateRefused, Reason: r.Reason, RetryAfter: int(r.RetryAfter.Milliseconds())}
	}
	for _, p := range plan.Placements {
		permits, ok := s.takePermits(p)
		if !ok {
			s.placer.RecordHoldFailure(now, p, false)
			continue
		}
		pr := s.pending[p.ID]
		pr.isReserving = true
		go s.reserve(pr, p, s.placer.HoldTokens(pr.request), engine.MaxHold, permits)
	}
	return true
}

func (s *scheduler) isLimited(e *discoverer.Endpoint) bool {
	return s.dispatcher.Permits != nil && e.Limit().IsSet
}

// takePermits takes the permits for the engines of a placement that have rate limits. It returns false if one of them has
// none.
func (s *scheduler) takePermits(p placer.Placement) ([]*discoverer.Endpoint, bool) {
	var taken []*discoverer.Endpoint
	for _, id := range []string{p.DecodeEngine, p.PrefillEngine} {
		e := s.find(id)
		if e == nil || !s.isLimited(e) {
			continue
		}
		if !s.dispatcher.Permits.Take(e) {
			s.giveBack(taken)
			return nil, false
		}
		taken = append(taken, e)
	}
	return taken, true
}

func (s *scheduler) giveBack(permits []*discoverer.Endpoint) {
	for _, e := range permits {
		s.dispatcher.Permits.GiveBack(e)
	}
}

// waitingRequests returns the requests without a placement and abandons the expired ones. The caller holds mu.
func (s *scheduler) waitingRequests(now time.Time) []placer.Request {
	var list []placer.Request
	for _, pr := range s.pending {
		switch {
		case pr.isExpired(now):
			s.abandon(pr)
		case pr.isReserving || len(pr.answer) > 0:
		default:
			list = append(list, pr.request)
		}
	}
	return list
}

// admittedVersions returns the software versions of engines at which streams may begin.
func (s *scheduler) admittedVersions(engines []*discoverer.Endpoint) map[string]bool {
	admitted := make(map[string]bool)
	for _, e := range engines {
		if _, ok := admitted[e.Version]; !ok {
			admitted[e.Version] = s.dispatcher.Admits == nil || s.dispatcher.Admits(s.service, e.Version)
		}
	}
	return admitted
}

// updateEngines passes the listed engines on to the placer. It returns false for services without engines. The caller
// holds mu.
func (s *scheduler) updateEngines(now time.Time) (matcher.Engine, bool) {
	service, ok := s.dispatcher.Describe(s.service)
	if !ok || service.Engine == nil {
		return matcher.Engine{}, false
	}
	listed := s.dispatcher.Endpoints.Service(s.service)
	admitted := s.admittedVersions(listed)
	engines := make([]placer.Engine, 0, len(listed))
	for _, e := range listed {
		engine := placer.Engine{
			ID: e.ID, DataCentre: e.DataCentre, IncarnationStart: e.IncarnationStart, IsPrefill: e.Stage == enroller.Prefill, IsExcluded: e.IsEjected(now) || e.IsPaused(now),
			IsFailing: e.IsFailing(), Version: e.Version, IsUnadmitted: !admitted[e.Version],
		}
		if s.isLimited(e) {
			allowance, limit := s.dispatcher.Permits.Allowance(e)
			engine.IsLimited, engine.PerSecond, engine.Allowance = limit.IsSet, limit.PerSecond, allowance
		}
		engines = append(engines, engine)
	}
	s.placer.Update(*service.Engine, engines)
	return *service.Engine, true
}
