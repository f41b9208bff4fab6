package throttler

import "time"

const (
	// burstTime is how long unused requests are saved, and the time within which requests without a permit count.
	burstTime = time.Second
	// maxDebtTime bounds how long requests without a permit can delay others.
	maxDebtTime = 3 * time.Second
)

// bucket holds the requests that may be sent now. It is negative after requests without a permit, or with one in the
// future.
type bucket struct {
	requests   float64
	refilledAt time.Time
}

func capacity(perSecond float64) float64 { return max(1, perSecond*burstTime.Seconds()) }

func (b *bucket) refill(now time.Time, perSecond float64) {
	if passed := now.Sub(b.refilledAt); passed > 0 {
		b.requests += passed.Seconds() * perSecond
		b.refilledAt = now
	}
	b.requests = min(b.requests, capacity(perSecond))
}

// take takes one request, to be sent after wait. If wait would exceed maxWait, it takes none.
func (b *bucket) take(now time.Time, perSecond float64, maxWait time.Duration) (wait time.Duration, ok bool) {
	b.refill(now, perSecond)
	if b.requests < 1 {
		wait = time.Duration((1 - b.requests) / perSecond * float64(time.Second))
	}
	if wait > maxWait {
		return wait, false
	}
	b.requests--
	return wait, true
}

// charge takes requests that were sent without a permit.
func (b *bucket) charge(now time.Time, perSecond float64, n int) {
	b.refill(now, perSecond)
	b.requests = max(b.requests-float64(n), min(b.requests, -perSecond*maxDebtTime.Seconds()))
}

// giveBack returns a request that was taken and not sent.
func (b *bucket) giveBack() { b.requests++ }

// Recent counts the requests of the last burstTime. The zero value is empty.
type Recent struct {
	counts [recentSteps]int
	step   int64
}

const recentSteps = 10

// advance clears the steps that have passed and returns the index of the present one.
func (r *Recent) advance(now time.Time) int {
	step := now.UnixNano() / int64(burstTime/recentSteps)
	for i := max(r.step+1, step-recentSteps+1); i <= step; i++ {
		r.counts[i%recentSteps] = 0
	}
	r.step = max(r.step, step)
	return int(r.step % recentSteps)
}

// Add counts a request.
func (r *Recent) Add(now time.Time) { r.counts[r.advance(now)]++ }

// Take returns the number of requests, and forgets them.
func (r *Recent) Take(now time.Time) int {
	r.advance(now)
	n := 0
	for i := range r.counts {
		n += r.counts[i]
		r.counts[i] = 0
	}
	return n
}
