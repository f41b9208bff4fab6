// Package registrar keeps the software versions that began streams, so that any host resumes a stream only at the version that
// began it, also after all hosts have ended.
//
// Versions are recorded in the log before streams begin at them. While more than one may have begun a stream, each host reports
// the origins of its streams to the owner of the service, which writes them to the log in batches. The package
// attributor decides what follows from both.
package registrar

import (
	"context"
	"encoding/binary"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/hashicorp/go-hclog"
	"github.com/jonboulle/clockwork"
	"github.com/uber-go/tally/v4"

	"github.com/hornbeamspan/hornbeamspan/parts/coordination/attributor"
	"github.com/hornbeamspan/hornbeamspan/parts/coordination/tracker"
	"github.com/hornbeamspan/hornbeamspan/transport/endpoints/discoverer"
	"github.com/hornbeamspan/hornbeamspan/transport/hosts/messenger"
	"github.com/hornbeamspan/hornbeamspan/transport/store/tailer"
)

const (
	kindOrigins = "origins"
	kindOrigin  = "origin"
	// unknownRetryAfter is when a caller may learn more if the log could not be read.
	unknownRetryAfter = time.Second
	// finalRetryAfter is the Retry-After of a refusal that a retry does not change.
	finalRetryAfter = time.Minute
)

// Store reads and writes the platform's log.
type Store interface {
	tailer.Log
	// Put appends a value under a key, if end is not nil only while the topic ends there.
	Put(ctx context.Context, topic, key string, value []byte, end *uint64) (uint64, error)
}

// Hosts is the membership that the owner of a service is chosen from.
type Hosts interface {
	StableOwner(key string, isUnresponsive func(name string) bool) (tracker.Member, bool)
	HasMajority() bool
}

// Options are the dependencies of a Registrar.
type Options struct {
	// VersionTopic is a keyed topic with the versions, OriginTopic a topic with the origins of streams.
	VersionTopic string
	OriginTopic  string
	// IsFirstStart is set if the whole system starts for the first time.
	IsFirstStart bool
	Hosts        Hosts
	Messenger    *messenger.Messenger
	Endpoints    *discoverer.Discoverer
	Store        Store
	// Services returns the services with streams.
	Services func() []string
	Clock    clockwork.Clock
	Logs     hclog.Logger
	Scope    tally.Scope
}

// Registrar registers the origins of streams. It is safe for concurrent use.
type Registrar struct {
	Options
	mu       sync.Mutex
	versions *attributor.Versions
	ledger   *attributor.Ledger
	// unreported and unstored are the streams whose origins are to be sent to the owner of their service, or written to the log.
	unreported map[attributor.Key]bool
	unstored   map[attributor.Key]bool
	services   map[string]*serviceState
	// originEnd is the position up to which the topic of origins was read.
	originEnd uint64
	// hasUnreported and hasUnstored signal that there is something to report, or to write to the log.
	hasUnreported chan struct{}
	hasUnstored   chan struct{}
	versionReads  batch
	originReads   batch
	unknown       tally.Counter
	// isReady is set once streams can begin at each service that has endpoints; it stays set.
	isReady atomic.Bool
	done    chan struct{}
}

// serviceState is the state of a service at the last check.
type serviceState struct {
	owner            string
	ownerIncarnation uint64
	isMixed          bool
	era              uint64
}

// UnknownOriginError reports a stream that cannot be resumed, as the version that began it is not known.
type UnknownOriginError struct {
	Reason     string
	RetryAfter time.Duration
}

func (e *UnknownOriginError) Error() string {
	return fmt.Sprintf("registrar: unable to resume the stream: %s", e.Reason)
}

// New returns a Registrar and registers its message handlers.
func New(o Options) *Registrar {
	r := &Registrar{
		Options: o, versions: attributor.NewVersions(), ledger: attributor.NewLedger(),
		unreported: make(map[attributor.Key]bool), unstored: make(map[attributor.Key]bool),
		services: make(map[string]*serviceState), hasUnreported: make(chan struct{}, 1), hasUnstored: make(chan struct{}, 1),
		unknown: o.Scope.Counter("streams_of_unknown_origin"), done: make(chan struct{}),
	}
	messenger.Handle(o.Messenger, kindOrigins, r.handleOrigins)
	messenger.Handle(o.Messenger, kindOrigin, r.handleOrigin)
	return r
}

// IsReady reports whether the versions have been read, and of each service with endpoints one has been recorded. A host that has
// been ready stays ready.
func (r *Registrar) IsReady() bool { return r.checkReady() }

// Done returns a channel that is closed once Run has returned.
func (r *Registrar) Done() <-chan struct{} { return r.done }

// Key returns the key of the stream that a request began, given the request's ID and a fingerprint of its content. A caller
// who names the ID of another caller's stream so names no stream.
func Key(fingerprint uint64, id string) attributor.Key {
	d := xxhash.New()
	_, _ = d.Write(binary.BigEndian.AppendUint64(nil, fingerprint))
	_, _ = d.WriteString(id)
	return attributor.Key(d.Sum64())
}

// Admits reports whether this host may begin streams of a service at a version.
func (r *Registrar) Admits(service, version string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	o := attributor.Origin{Service: service, Version: version}
	return r.versions.Admits(r.Clock.Now(), o, r.Hosts.HasMajority())
}

// Begin registers a stream that begins, before its caller receives any of it. isShared is set if requests for the same route
// may go to several services.
func (r *Registrar) Begin(k attributor.Key, o attributor.Origin, isShared bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.ledger.Add(r.Clock.Now(), k, o) && (isShared || r.isMixed(o.Service)) {
		r.unreported[k] = true
		signal(r.hasUnreported)
	}
}

// isMixed reports whether several versions may have begun streams of a service. The caller holds mu.
func (r *Registrar) isMixed(service string) bool {
	_, isSingle := r.versions.Single(service)
	return !isSingle
}

func signal(c chan<- struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// addUnstored marks a stream whose origin is to be written to the log. The caller holds mu.
func (r *Registrar) addUnstored(k attributor.Key) {
	r.unstored[k] = true
	signal(r.hasUnstored)
}

func (r *Registrar) find(k attributor.Key) (attributor.Origin, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.ledger.Find(k)
}
