package router

import (
	"context"
	"net/http"
	"net/netip"
	"time"

	"github.com/hornbeamspan/hornbeamspan/transport/endpoints/dispatcher"
	"github.com/hornbeamspan/hornbeamspan/transport/endpoints/sender"
)

// Prompt is what a request says of the work for a model engine.
type Prompt struct {
	// Tokens is the length of the prompt.
	Tokens int
	// MaxOutput is the most tokens that may be generated.
	MaxOutput int
	// Hint is the caller's estimate of the output; 0 if there is none.
	Hint int
}

// Request is a caller's request as far as its headers tell.
type Request struct {
	ID string
	// Deadline is how long the caller waits; 0 if it does not say.
	Deadline time.Duration
	// LastEvent is the last event of a stream that the caller has; empty for a new stream.
	LastEvent string
	Prompt    Prompt
}

// Dialect reads and writes the headers of requests and answers.
type Dialect interface {
	sender.Dialect
	Request(h http.Header) (Request, error)
	RetryAfter(h http.Header, wait time.Duration)
	// Handle decodes the answer to a send that asked for prefill.
	Handle(body []byte) (string, error)
}

// Engines are the calls of model engines beside requests.
type EngineClient interface {
	Drop(ctx context.Context, at netip.AddrPort, hold string) error
	// Free gives up the KV cache of a prefill.
	Free(ctx context.Context, at netip.AddrPort, handle string) error
}

// Places finds places for generations.
type Places interface {
	Place(ctx context.Context, a dispatcher.Request) (dispatcher.Place, error)
	ReportProgress(p dispatcher.Progress)
}
