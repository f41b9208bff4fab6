// Package ejector judges endpoints by the results of calls to them, whatever they say of themselves.
package ejector

import "time"

const (
	// streak is the number of failures in a row that ejects an endpoint; one alone may be chance.
	failureThreshold = 2
	// firstRest is how long an endpoint is left alone at first; it doubles with each further failure up to maxRest.
	minEjectionTime = time.Second
	maxEjectionTime = 8 * time.Second
	// weight is the part that the newest result has in the moving averages.
	sampleWeight = 0.15
	// failurePenalty is the power by which a share of failures raises the cost of an endpoint.
	errorRateExponent = 3
)

// Health is what calls to one endpoint have shown. It is not safe for concurrent use; the zero value is healthy.
type Health struct {
	failures     int
	ejectionTime time.Duration
	ejectedUntil time.Time
	latency      time.Duration
	errorRate    float64
}

// Succeeded notes a whole answer after latency.
func (h *Health) RecordSuccess(latency time.Duration) {
	h.ClearFailures()
	h.observeLatency(latency)
	h.errorRate -= sampleWeight * h.errorRate
}

// Recovered notes that a call of another host succeeded: failures before it say no more.
func (h *Health) ClearFailures() { h.failures, h.ejectionTime, h.ejectedUntil = 0, 0, time.Time{} }

// Answered notes a failure that the endpoint itself reports, such as an internal error.
func (h *Health) RecordErrorResponse(latency time.Duration) {
	h.observeLatency(latency)
	h.errorRate += sampleWeight * (1 - h.errorRate)
}

// Failed notes a call that could not be made or brought no proper answer.
func (h *Health) RecordFailure(now time.Time) {
	h.errorRate += sampleWeight * (1 - h.errorRate)
	h.failures++
	if h.failures < failureThreshold {
		return
	}
	h.eject(now)
}

// Refused notes that no connection could be made, which needs no second proof.
func (h *Health) RecordConnectFailure(now time.Time) {
	h.failures = max(h.failures+1, failureThreshold)
	h.eject(now)
}

func (h *Health) eject(now time.Time) {
	h.ejectionTime = min(max(2*h.ejectionTime, minEjectionTime), maxEjectionTime)
	h.ejectedUntil = now.Add(h.ejectionTime)
}

func (h *Health) observeLatency(latency time.Duration) {
	if h.latency == 0 {
		h.latency = latency
		return
	}
	h.latency += time.Duration(sampleWeight * float64(latency-h.latency))
}

// IsEjected tells whether the endpoint is left alone at now.
func (h *Health) IsEjected(now time.Time) bool { return now.Before(h.ejectedUntil) }

// IsFailing tells whether calls have failed and none has succeeded since: it may be gone.
func (h *Health) IsFailing() bool { return h.failures >= failureThreshold }

// Cost is the expected time of one more call while inflight others are under way, raised by the share of failures.
// An endpoint that was never called costs as much as unknown.
func (h *Health) Cost(inflight int, unknown time.Duration) float64 {
	latency := h.latency
	if latency == 0 {
		latency = unknown
	}
	cost := latency.Seconds() * float64(1+inflight)
	for range errorRateExponent {
		cost /= max(0.05, 1-h.errorRate)
	}
	return cost
}

// Latency returns the moving average of answers' times, 0 if there was none.
func (h *Health) Latency() time.Duration { return h.latency }
