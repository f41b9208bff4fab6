package sender

import (
	"net/http"
	"net/netip"
	"time"

	"github.com/hornbeamspan/hornbeamspan/transport/endpoints/enlister"
)

// Send is what one send to an endpoint carries beside the caller's own headers.
type Send struct {
	Deadline time.Duration
	// Endpoint is the only one that may run the request.
	Endpoint string
	// LastEvent is the last event that need not be sent again.
	LastEventID string
	// Prefill asks only for the prompt to be read.
	Prefill bool
	// Hold is a reservation at the endpoint.
	Hold string
	// Source is the engine that read the prompt, with the handle of its KV cache.
	PrefillSource netip.AddrPort
	CacheHandle   string
}

// Answer is what the headers of an endpoint's answer tell.
type Answer struct {
	// IsForeign tells that the answer belongs to another request.
	IsForeign bool
	// NotRun promises that the endpoint did not run the request.
	NotRun bool
	// Notice is what the endpoint says of itself.
	Notice enlister.Notice
}

// Dialect reads and writes the headers between routers and endpoints.
type Dialect interface {
	// IsOwn tells whether a header is for routers to set, whatever a caller sent.
	IsOwn(header string) bool
	Send(h http.Header, o Send)
	// Answer reads the headers of the answer to the request id.
	Answer(resp *http.Response, id string) Answer
}
