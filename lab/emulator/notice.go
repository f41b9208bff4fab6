package emulator

import "net/http"

// SetRetryAfter makes the endpoint answer every request with 503 and this Retry-After value; "" ends that.
func (e *Endpoint) SetRetryAfter(value string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.retryAfter = value
}

// rejectIfPaused counts an arrival and answers it with 503 if a Retry-After value is set.
func (e *Endpoint) rejectIfPaused(w http.ResponseWriter, r *http.Request) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.arrivals++
	if e.leaving {
		w.Header().Set("Server-Leaving", "1")
	}
	e.setLimitHeader(w)
	if e.retryAfter == "" {
		return false
	}
	w.Header().Set("Request-Id", r.Header.Get("Request-Id"))
	w.Header().Set("Retry-After", e.retryAfter)
	e.refuse(w, http.StatusServiceUnavailable)
	return true
}
