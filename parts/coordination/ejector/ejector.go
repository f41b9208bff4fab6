// Package ejector detects unhealthy endpoints passively, by the results of calls to them rather than their own reports.
package ejector

import "time"

const (
	// failureThreshold is the number of consecutive failures that ejects an endpoint; a single failure may be transient.
	failureThreshold = 2
	// minEjectionTime is the duration of the first ejection. It doubles with each further failure, up to maxEjectionTime.
	minEjectionTime = time.Second
	maxEjectionTime = 8 * time.Second
	// sampleWeight is the weight of the newest result in the exponential moving averages.
	sampleWeight = 0.15
	// errorRateExponent is the power of the success rate by which the cost of an endpoint is divided.
	errorRateExponent = 3
)

// Health tracks the results of calls to one endpoint. It is not safe for concurrent use; the zero value is healthy.
type Health struct {
	failures     int
	ejectionTime time.Duration
	ejectedUntil time.Time
	latency      time.Duration
	errorRate    float64
}

// RecordSuccess records a complete answer and ends an ejection.
func (h *Health) RecordSuccess(latency time.Duration) {
	h.ClearFailures()
	h.observeLatency(latency)
	h.errorRate -= sampleWeight * h.errorRate
}

// ClearFailures ends an ejection, such as after a call of another host has succeeded; the error rate is kept.
func (h *Health) ClearFailures() { h.failures, h.ejectionTime, h.ejectedUntil = 0, 0, time.Time{} }

// RecordErrorResponse records an error that the endpoint itself returned. It raises the cost but does not eject.
func (h *Health) RecordErrorResponse(latency time.Duration) {
	h.observeLatency(latency)
	h.errorRate += sampleWeight * (1 - h.errorRate)
}

// RecordFailure records a call that could not be made or that had no valid answer.
func (h *Health) RecordFailure(now time.Time) {
	h.errorRate += sampleWeight * (1 - h.errorRate)
	h.failures++
	if h.failures < failureThreshold {
		return
	}
	h.eject(now)
}

// RecordConnectFailure records that no connection could be made, which ejects the endpoint at once.
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

// IsEjected reports whether the endpoint should not be called at now.
func (h *Health) IsEjected(now time.Time) bool { return now.Before(h.ejectedUntil) }

// IsFailing reports whether enough calls have failed in a row that the endpoint may be down, also after its ejection.
func (h *Health) IsFailing() bool { return h.failures >= failureThreshold }

// Cost is the expected latency of one more call while inflight others are in progress, raised by the error rate. For an
// endpoint without a measured latency, unknown is used.
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

// Latency returns the moving average of response times, 0 if there were no responses.
func (h *Health) Latency() time.Duration { return h.latency }
