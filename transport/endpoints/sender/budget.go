package sender

import (
	"time"

	"github.com/hornbeamspan/hornbeamspan/parts/coordination/limiter"
)

// RetryBudget bounds the sends beyond the first to a service, over all hosts: in each Window, Ratio for each request and
// Slack besides.
type RetryBudget struct {
	Ratio  float64
	Slack  float64
	Window time.Duration
}

// slack returns this host's part of the extra sends that all hosts share. The caller holds mu.
func (x *Sender) slack() float64 {
	n := x.Hosts()
	if n == 0 {
		return 0
	}
	return x.Retry.Slack / float64(n)
}

// SetRetry puts another budget in force. What was spent before is counted no more only if the window changes.
func (x *Sender) SetRetry(b RetryBudget) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if b.Window != x.Retry.Window {
		clear(x.budgets)
	}
	for _, w := range x.budgets {
		w.Ratio = b.Ratio
	}
	x.Retry = b
}

func (x *Sender) budget(service string) *limiter.Window {
	b := x.budgets[service]
	if b == nil {
		b = &limiter.Window{Span: x.Retry.Window, Ratio: x.Retry.Ratio}
		x.budgets[service] = b
	}
	return b
}

// CountRequest pays into the budget of a service.
func (x *Sender) CountRequest(service string) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.budget(service).AddRequest(x.Clock.Now())
}

// ChargeResend counts a send that an endpoint refused and that was not counted as extra before.
func (x *Sender) ChargeResend(service string) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.budget(service).AddExtra(x.Clock.Now())
}

// MayResend takes one extra send from the budget of a service.
func (x *Sender) MayResend(service string) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	ok := x.budget(service).TryExtra(x.Clock.Now(), x.slack())
	if !ok {
		x.noBudget.Inc(1)
	}
	return ok
}
