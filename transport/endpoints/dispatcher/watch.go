package dispatcher

import (
	"context"
	"time"

	"github.com/hornbeamspan/hornbeamspan/parts/coordination/enroller"
	"github.com/hornbeamspan/hornbeamspan/parts/coordination/placer"
	"github.com/hornbeamspan/hornbeamspan/transport/endpoints/discoverer"
)

const (
	// defaultReportInterval is the interval at which engine reports are fetched while the service is in use.
	defaultReportInterval = 2 * time.Second
	// warmUpReportInterval replaces defaultReportInterval while an owner is new.
	warmUpReportInterval = 500 * time.Millisecond
	// maxReportsPerSecond keeps the reports of hundreds of engines from loading the owner.
	maxReportsPerSecond = 100
	// reportTimeout bounds the fetch of one report.
	reportTimeout = 500 * time.Millisecond
	// idleTimeout is how long after the last request reports are still fetched.
	idleTimeout = 6 * time.Second
)

// watch balances the stages while the service is in use, and fetches the engines' reports, so that runs placed by hosts
// without contact to the owner are counted.
func (s *scheduler) watch() {
	d := s.dispatcher
	var lastFetched time.Time
	for s.isInUse() {
		if now := d.Clock.Now(); now.Sub(lastFetched) >= s.reportInterval(now) {
			lastFetched = now
			go s.fetchReports(s.isWarmingUp(now))
		}
		s.balance()
		if !d.sleep(balanceInterval) {
			return
		}
	}
}

func (s *scheduler) reportInterval(now time.Time) time.Duration {
	engines := len(s.dispatcher.Endpoints.Service(s.service))
	minInterval := time.Duration(engines) * time.Second / maxReportsPerSecond
	if s.isWarmingUp(now) {
		return max(warmUpReportInterval, minInterval)
	}
	return max(defaultReportInterval, minInterval)
}

// isWarmingUp reports whether the host may not know yet what a former owner has placed.
func (s *scheduler) isWarmingUp(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return now.Sub(s.activeSince) < 2*placer.WarmUp
}

func (s *scheduler) isInUse() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.checkClock()
	s.placer.Expire(now)
	s.isWatching = now.Sub(s.lastUsed) < idleTimeout
	return s.isWatching
}

// fetchReports fetches the engines' reports one after another; those of prefill engines only during the warm-up.
func (s *scheduler) fetchReports(isWarmingUp bool) {
	for _, e := range s.dispatcher.Endpoints.Service(s.service) {
		if e.Stage == enroller.Prefill && !isWarmingUp {
			continue
		}
		go s.fetchReport(e)
		if !s.dispatcher.sleep(time.Second / maxReportsPerSecond) {
			return
		}
	}
}

func (s *scheduler) fetchReport(e *discoverer.Endpoint) {
	ctx, cancel := context.WithTimeout(context.Background(), reportTimeout)
	defer cancel()
	report, err := s.dispatcher.Engines.Report(ctx, e.Address)
	if err != nil {
		return // the next report or call shows whether the engine is still reachable
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.checkClock()
	if _, ok := s.updateEngines(now); ok {
		s.placer.Observe(now, placer.Report{
			Engine: e.ID, Runs: report.Runs, IsPrefill: report.Stage == enroller.Prefill, IsChangingStage: report.IsChangingStage,
		})
	}
}
