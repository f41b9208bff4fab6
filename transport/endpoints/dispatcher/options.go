package dispatcher

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/jonboulle/clockwork"

	"github.com/hornbeamspan/hornbeamspan/parts/coordination/matcher"
	"github.com/hornbeamspan/hornbeamspan/parts/coordination/throttler"
	"github.com/hornbeamspan/hornbeamspan/parts/coordination/tracker"
	"github.com/hornbeamspan/hornbeamspan/transport/endpoints/discoverer"
	"github.com/hornbeamspan/hornbeamspan/transport/hosts/messenger"
)

// Engines is the client of the model engines.
type Engines interface {
	// Hold reserves a slot and memory. The error is a *FullError if the engine has too little of either.
	Hold(ctx context.Context, at netip.AddrPort, tokens int, lifetime time.Duration) (string, error)
	Drop(ctx context.Context, at netip.AddrPort, hold string) error
	// Free releases the KV cache of a prefill.
	Free(ctx context.Context, at netip.AddrPort, handle string) error
	Report(ctx context.Context, at netip.AddrPort) (EngineReport, error)
}

// Permits limits the placements at engines with rate limits.
type Permits interface {
	// Allowance returns the number of requests that an engine with a rate limit accepts now, and the limit.
	Allowance(e *discoverer.Endpoint) (n int, l throttler.Limit)
	// Take takes a permit for a request to an engine. It returns false if there is none.
	Take(e *discoverer.Endpoint) bool
	// GiveBack returns a permit that was not used.
	GiveBack(e *discoverer.Endpoint)
}

// Hosts is the membership that the owner of a service is chosen from.
type Hosts interface {
	// StableOwner returns the owner of a key among the responsive hosts, and whether it is this host.
	StableOwner(key string, isUnresponsive func(name string) bool) (tracker.Member, bool)
	Serving() []tracker.Member
	Self() tracker.Member
	// HasMajority reports whether this host is connected to most of the others. Without a majority, another host may
	// consider itself the owner at the same time.
	HasMajority() bool
}

// Options are the dependencies of a Dispatcher.
type Options struct {
	DataCentre string
	Hosts      Hosts
	Messenger  *messenger.Messenger
	Endpoints  *discoverer.Discoverer
	Engines    Engines
	// Permits limits the placements at engines with rate limits; nil if engines have none.
	Permits Permits
	Orders  Orders
	// Admits reports whether streams may begin at a software version of a service; nil means at any.
	Admits func(service, version string) bool
	// Describe returns the configuration of a service; false if there is none.
	Describe func(service string) (matcher.Service, bool)
	// PrefixCaching has prompts prefilled where their first parts are probably cached. Without it, this host neither sends
	// the parts of prompts to owners nor uses those that it receives.
	PrefixCaching bool
	Clock         clockwork.Clock
	Random        *rand.Rand
	Logs          hclog.Logger
}
