package sender

import (
	"time"

	"github.com/hornbeamspan/hornbeamspan/parts/coordination/limiter"
)

// RetryBudget bounds the sends beyond the first to a service, over all hosts: in each Window, Ratio for each request and
// Slack besides.
type RetryBudget struct {
	Ratio     float64
	Allowance float64
	Window    time.Duration
}

// slack returns this host's part of the extra sends that all hosts share. The caller holds mu.
func (s *Sender) hostAllowance() float64 {
	n := s.Hosts()
	if n == 0 {
		return 0
	}
	return s.Retry.Allowance / float64(n)
}

// SetRetry puts another budget in force. What was spent before is counted no more only if the window changes.
func (s *Sender) SetRetry(b RetryBudget) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if b.Window != s.Retry.Window {
		clear(s.budgets)
	}
	for _, w := range s.budgets {
		w.Ratio = b.Ratio
	}
	s.Retry = b
}

func (s *Sender) budget(service string) *limiter.Window {
	b := s.budgets[service]
	if b == nil {
		b = &limiter.Window{Span: s.Retry.Window, Ratio: s.Retry.Ratio}
		s.budgets[service] = b
	}
	return b
}

// CountRequest pays into the budget of a service.
func (s *Sender) CountRequest(service string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.budget(service).Request(s.Clock.Now())
}

// ChargeResend counts a send that an endpoint refused and that was not counted as extra before.
func (s *Sender) ChargeResend(service string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.budget(service).Charge(s.Clock.Now())
}

// MayResend takes one extra send from the budget of a service.
func (s *Sender) MayResend(service string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	ok := s.budget(service).Extra(s.Clock.Now(), s.hostAllowance())
	if !ok {
		s.resendsDenied.Inc(1)
	}
	return ok
}
