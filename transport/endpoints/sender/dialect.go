package sender

import (
	"net/http"
	"net/netip"
	"time"

	"github.com/hornbeamspan/hornbeamspan/transport/endpoints/discoverer"
)

// Send holds the values that one send to an endpoint adds to the caller's headers.
type Send struct {
	Deadline time.Duration
	// Endpoint is the only one that may run the request.
	Endpoint string
	// LastEventID is the ID of the last event that was received; the stream resumes after it.
	LastEventID string
	// Prefill requests only the prefill of the prompt, without output.
	Prefill bool
	// Hold is a reservation at the endpoint.
	Hold string
	// PrefillSource is the engine that prefilled the prompt, CacheHandle the handle of its KV cache.
	PrefillSource netip.AddrPort
	CacheHandle   string
	// Organisation is the name of the caller's organisation, empty if it has none.
	Organisation string
	// IsPermitted is set if a permit for an endpoint with a rate limit was obtained before.
	IsPermitted bool
}

// Answer holds the values from the headers of an endpoint's answer.
type Answer struct {
	// IsForeign is set if the answer belongs to another request.
	IsForeign bool
	// NotRun promises that the endpoint did not run the request.
	NotRun bool
	// Notice holds what the endpoint announces about itself, such as a pause.
	Notice discoverer.Notice
}

// Dialect encodes and decodes the headers between routers and endpoints.
type Dialect interface {
	// IsOwn reports whether a header is reserved for routers; such headers of callers are removed.
	IsOwn(header string) bool
	Send(h http.Header, o Send)
	// Answer reads the headers of the answer to the request id.
	Answer(resp *http.Response, id string) Answer
}
