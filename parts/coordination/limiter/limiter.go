// Package limiter bounds rates: token buckets for organisations, and budgets for retries and other additional sends.
package limiter

import "time"

// Bucket is a token bucket. It is not safe for concurrent use; the zero value is full on first use.
type Bucket struct {
	tokens     float64
	refilledAt time.Time
}

// Rate is the refill rate of a Bucket in tokens per second, and its size in tokens.
type Rate struct {
	PerSecond float64
	Burst     float64
}

// Share divides r by n hosts; the burst is at least 1, so that a Bucket can hold a whole token.
func (r Rate) Share(n int) Rate {
	n = max(n, 1)
	return Rate{PerSecond: r.PerSecond / float64(n), Burst: max(1, r.Burst/float64(n))}
}

// Take removes one token. If there is none, it returns the time until the next one.
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
	// Ratio is the number of retries that each first attempt adds to the budget.
	Ratio float64
	// MaxSaved is the upper limit of the budget, and its initial value.
	MaxSaved float64
	saved    float64
	started  bool
}

// CountAttempt adds Ratio to the budget for a first attempt.
func (b *Budget) CountAttempt() {
	b.start()
	b.saved = min(b.MaxSaved, b.saved+b.Ratio)
}

// AllowRetry reports whether a retry is allowed, and takes it from the budget.
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
