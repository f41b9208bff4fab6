package sender

import (
	"time"

	"github.com/hornbeamspan/hornbeamspan/parts/coordination/limiter"
)

// RetryBudget bounds the extra sends to a service, over all hosts. In each Window, Ratio extra sends are allowed per request,
// and Allowance in addition.
type RetryBudget struct {
	Ratio     float64
	Allowance float64
	Window    time.Duration
}

// hostAllowance returns this host's share of the allowance, or 0 if the number of hosts is not known. The caller holds mu.
func (s *Sender) hostAllowance() float64 {
	n := s.Hosts()
	if n == 0 {
		return 0
	}
	return s.Retry.Allowance / float64(n)
}

// SetRetry replaces the budget. Earlier sends still count, unless the window changes.
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

// CountRequest credits the budget of a service with one request.
func (s *Sender) CountRequest(service string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.budget(service).AddRequest(s.Clock.Now())
}

// ChargeResend charges the budget with a send that an endpoint refused and that MayResend did not count.
func (s *Sender) ChargeResend(service string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.budget(service).AddExtra(s.Clock.Now())
}

// MayResend charges the budget of a service with one extra send, if the budget allows it.
func (s *Sender) MayResend(service string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	ok := s.budget(service).TryExtra(s.Clock.Now(), s.hostAllowance())
	if !ok {
		s.resendsDenied.Inc(1)
	}
	return ok
}
