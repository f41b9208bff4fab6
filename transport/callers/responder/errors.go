// Package responder serves the HTTP API for callers.
package responder

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/hornbeamspan/hornbeamspan/transport/callers/executor"
)

// RequestIDHeader carries the request ID. A request sent again with the same ID supersedes the older one.
const RequestIDHeader = "X-Request-Id"

// OutcomeHeader carries the outcome of an at-most-once call, and of every request that failed.
const OutcomeHeader = "X-Outcome"

// Failure is the content of an error answer. RetryAfter is in milliseconds, 0 if a retry cannot succeed.
type Failure struct {
	Code       string           `json:"code"`
	Message    string           `json:"message"`
	Field      string           `json:"field,omitempty"`
	Outcome    executor.Outcome `json:"outcome"`
	RetryAfter int64            `json:"retry_after_ms,omitempty"`
	RequestID  string           `json:"request_id,omitempty"`
}

// FailureBody is the JSON body of every error answer.
type FailureBody struct {
	Error Failure `json:"error"`
}

func notRun(code, message string) Failure {
	return Failure{Code: code, Message: message, Outcome: executor.OutcomeNotRun}
}

func badRequest(field, message string) Failure {
	return Failure{Code: "bad_request", Message: field + ": " + message, Field: field, Outcome: executor.OutcomeNotRun}
}

func (f Failure) withRetryAfter(d time.Duration) Failure {
	f.RetryAfter = max(1, d.Milliseconds())
	return f
}

// writeFailure writes f as the complete answer.
func writeFailure(w http.ResponseWriter, status int, f Failure) {
	f.RequestID = w.Header().Get(RequestIDHeader)
	if f.RetryAfter > 0 {
		seconds := math.Ceil(float64(f.RetryAfter) / 1000)
		w.Header().Set("Retry-After", strconv.Itoa(int(seconds)))
	}
	w.Header().Set(OutcomeHeader, string(f.Outcome))
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(FailureBody{Error: f})
}
