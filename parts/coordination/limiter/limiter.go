// Package limiter bounds rates: token buckets for organisations and a budget for retries.
package limiter

import "time"

// Bucket is a token bucket. It is not safe for concurrent use; the zero value is full at its first use.
type Bucket struct {
	tokens     float64
	refilledAt time.Time
}

// Rate is a refill in tokens per second and a size in tokens.
type Rate struct {
	PerSecond float64
	Burst     float64
}

// Share returns the part of r that one of n hosts may use.
func (r Rate) Share(n int) Rate {
	n = max(n, 1)
	return Rate{PerSecond: r.PerSecond / float64(n), Burst: max(1, r.Burst/float64(n))}
}

// Take takes one token at now. If there is none, it returns when one will be.
func (b *Bucket) Take(now time.Time, r Rate) (wait time.Duration, ok bool) {
	b.refill(now, r)
	if b.tokens >= 1 {
		b.tokens--
		return 0, true
	}
	return time.Duration((1 - b.tokens) / r.PerSecond * float64(time.Second)), false
}

func (b *Bucket) refill(now time.Time, r Rate) {
	if b.refilledAt.IsZero() {
		b.tokens = r.Burst
	} else if passed := now.Sub(b.refilledAt); passed > 0 {
		b.tokens = min(r.Burst, b.tokens+passed.Seconds()*r.PerSecond)
	}
	b.refilledAt = now
}

// Budget allows a number of retries in proportion to first attempts, so that retries cannot multiply an overload.
// It is not safe for concurrent use.
type Budget struct {
	// Ratio is the number of retries that each first attempt pays for.
	Ratio float64
	// Reserve is the largest number of retries saved up.
	MaxSaved float64
	saved    float64
	started  bool
}

// Attempt counts a first attempt.
func (b *Budget) CountAttempt() {
	b.start()
	b.saved = min(b.MaxSaved, b.saved+b.Ratio)
}

// Retry takes one retry from the budget.
func (b *Budget) AllowRetry() bool {
	b.start()
	if b.saved < 1 {
		return false
	}
	b.saved--
	return true
}

func (b *Budget) start() {
	if b.started {
		return
	}
	b.started = true
	b.saved = b.MaxSaved
}
