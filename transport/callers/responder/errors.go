// Package responder answers callers.
package responder

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/hornbeamspan/hornbeamspan/transport/callers/executor"
)

// RequestIDHeader names a request. A request sent again with the same ID supersedes the older one.
const RequestIDHeader = "X-Request-Id"

// OutcomeHeader tells on every answer of a once call what became of it.
const OutcomeHeader = "X-Outcome"

// Failure is the content of an error answer. RetryAfter is in milliseconds, 0 if coming back is of no use.
type Failure struct {
	Code       string           `json:"code"`
	Message    string           `json:"message"`
	Field      string           `json:"field,omitempty"`
	Outcome    executor.Outcome `json:"outcome"`
	RetryAfter int64            `json:"retry_after_ms,omitempty"`
	RequestID  string           `json:"request_id,omitempty"`
}

// FailureBody is the one JSON shape of all error answers.
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

// fail writes f as the whole answer.
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
