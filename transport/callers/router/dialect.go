package router

import (
	"context"
	"net/http"
	"net/netip"
	"time"

	"github.com/hornbeamspan/hornbeamspan/parts/coordination/attributor"
	"github.com/hornbeamspan/hornbeamspan/parts/coordination/cachetracker"
	"github.com/hornbeamspan/hornbeamspan/parts/coordination/enroller"
	"github.com/hornbeamspan/hornbeamspan/parts/coordination/matcher"
	"github.com/hornbeamspan/hornbeamspan/transport/endpoints/dispatcher"
	"github.com/hornbeamspan/hornbeamspan/transport/endpoints/sender"
)

// Prompt describes the work that a request causes at a model engine.
type Prompt struct {
	Tokens int
	// MaxOutput is the maximum number of tokens to generate.
	MaxOutput int
	// Hint is the caller's estimate of the output; 0 if there is none.
	Hint int
	// Parts are the prompt's parts in their order. Requests share parts; the last one is the request's or its session's.
	Parts []cachetracker.Part
}

// sharedParts returns the parts that other prompts may share: all but the last, which no other request shares, or only its
// session.
func (p Prompt) sharedParts() []cachetracker.Part {
	return p.Parts[:max(0, len(p.Parts)-1)]
}

// Request is the part of a caller's request that its headers carry.
type Request struct {
	ID string
	// Deadline is how long the caller waits; 0 if the caller sent no deadline.
	Deadline time.Duration
	// LastEventID is the ID of the last event that the caller received of a stream; empty for a new stream.
	LastEventID string
	// Resumes is the ID of the request that brought the first event of a stream that the caller resumes.
	Resumes string
	Prompt  Prompt
}

// Tokens returns the prompt and the most output in tokens, 0 if the request states none.
func (r Request) Tokens() int { return r.Prompt.Tokens + r.Prompt.MaxOutput }

// IsResumption reports whether the caller has received a part of the stream before.
func (r Request) IsResumption() bool { return r.LastEventID != "" || r.Resumes != "" }

// Dialect parses and writes the headers of requests and answers.
type Dialect interface {
	sender.Dialect
	Request(h http.Header) (Request, error)
	// Key returns the digest of the caller's key. The error is an *authorizer.KeyError.
	Key(h http.Header) (matcher.Digest, error)
	RetryAfter(h http.Header, wait time.Duration)
	// Handle returns the KV cache handle from the answer to a prefill.
	Handle(body []byte) (string, error)
}

// EngineClient makes the calls to model engines that are not requests of callers.
type EngineClient interface {
	Drop(ctx context.Context, at netip.AddrPort, hold string) error
	// Free releases the KV cache of a prefill.
	Free(ctx context.Context, at netip.AddrPort, handle string) error
}

// Origins holds the software versions that began streams.
type Origins interface {
	// Admits reports whether streams may begin at a software version of a service.
	Admits(service, version string) bool
	// MayResume reports whether streams may go on at other endpoints than those that began them.
	MayResume() bool
	// Announce registers a stream that is about to begin at an endpoint if several versions may begin it, and reports whether it did:
	// then it must begin at no other version.
	Announce(k attributor.Key, e enroller.Endpoint, isShared bool) bool
	// Begin registers a stream that begins at an endpoint, before its caller receives any of it. isShared is set if requests for the
	// same route may go to several services.
	Begin(k attributor.Key, e enroller.Endpoint, isShared bool)
	// Resolve returns the origin of a stream of one of some services. The error is a *registrar.UnknownOriginError.
	Resolve(ctx context.Context, services []string, k attributor.Key) (attributor.Origin, error)
}

// Quotas bounds what all hosts together send for organisations.
type Quotas interface {
	// Spend takes an amount of an organisation's quota, and blocks until the request may be sent, for maxWait at most. The error is a
	// *permitter.QuotaError or that of ctx.
	Spend(ctx context.Context, organisation string, amount int, maxWait time.Duration) error
	// Refund returns what was taken for a request that has not run.
	Refund(organisation string, amount int)
}

// Dispatcher assigns generations to decode engines and takes reports on their progress.
type Dispatcher interface {
	Place(ctx context.Context, req dispatcher.Request) (dispatcher.Placement, error)
	ReportProgress(p dispatcher.Progress)
}
