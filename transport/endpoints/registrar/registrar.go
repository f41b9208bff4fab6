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
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/hashicorp/go-hclog"
	"github.com/jonboulle/clockwork"
	"github.com/uber-go/tally/v4"

	"github.com/hornbeamspan/hornbeamspan/parts/coordination/attributor"
	"github.com/hornbeamspan/hornbeamspan/parts/coordination/enroller"
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
	// listDelay is how long after an endpoint's start its entry may arrive here.
	listDelay = 30 * time.Second
	// clockSkew is the largest expected difference between the clocks of an endpoint and of this host.
	clockSkew = 2 * time.Second
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
	// recent holds, by endpoint, the streams that have begun there since its newest entry may have been written.
	recent map[string][]beginning
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

// beginning is a stream that this host has begun.
type beginning struct {
	key attributor.Key
	at  time.Time
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
		services: make(map[string]*serviceState), recent: make(map[string][]beginning), hasUnreported: make(chan struct{}, 1), hasUnstored: make(chan struct{}, 1),
		unknown: o.Scope.Counter("streams_of_unknown_origin"), done: make(chan struct{}),
	}
	messenger.Handle(o.Messenger, kindOrigins, r.handleOrigins)
	messenger.Handle(o.Messenger, kindOrigin, r.handleOrigin)
	return r
}

// IsReady reports whether the versions have been read, and of each service with endpoints one has been recorded. A host that has
// been ready stays ready.
func (r *Registrar) IsReady() bool {
	if r.isReady.Load() {
		return true
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.versions.IsListed() {
		return false
	}
	for _, service := range r.Services() {
		if len(r.Endpoints.Service(service)) > 0 && len(r.versions.Possible(service)) == 0 {
			return false
		}
	}
	r.isReady.Store(true)
	return true
}

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

// Begin registers a stream that begins at an endpoint, before its caller receives any of it. isShared is set if requests for the
// same route may go to several services.
func (r *Registrar) Begin(k attributor.Key, e enroller.Endpoint, isShared bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.begin(k, e, isShared)
}

// begin registers a stream that begins at an endpoint. The caller holds mu.
func (r *Registrar) begin(k attributor.Key, e enroller.Endpoint, isShared bool) {
	now := r.Clock.Now()
	recent := slices.DeleteFunc(r.recent[e.ID], func(b beginning) bool { return now.Sub(b.at) > listDelay })
	r.recent[e.ID] = append(recent, beginning{key: k, at: now})
	r.add(k, attributor.Origin{Service: e.Service, Version: e.Version}, isShared)
}

// Announce registers a stream that is about to begin at an endpoint if several versions may begin it, so that its origin is in
// the log by its first event. It reports whether it did: then it must begin at no other version, as other hosts may know of this
// one only.
func (r *Registrar) Announce(k attributor.Key, e enroller.Endpoint, isShared bool) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !isShared && !r.isMixed(e.Service) {
		return false
	}
	r.begin(k, e, isShared)
	return true
}

// add registers an origin, and has it reported if others need it. The caller holds mu.
func (r *Registrar) add(k attributor.Key, o attributor.Origin, isShared bool) {
	if r.ledger.Add(r.Clock.Now(), k, o) && (isShared || r.isMixed(o.Service)) {
		r.unreported[k] = true
		signal(r.hasUnreported)
	}
}

// Doubt makes the origins unknown of the streams that began at an endpoint about when it started again, with another version
// under its ID: they may have begun at either.
func (r *Registrar) Doubt(e enroller.Endpoint) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, b := range r.recent[e.ID] {
		if b.at.After(e.IncarnationStart.Add(-clockSkew)) {
			r.add(b.key, attributor.Origin{Service: e.Service, Version: e.Version}, true)
		}
	}
	delete(r.recent, e.ID)
}

// Forget drops what is kept of an endpoint that has left.
func (r *Registrar) Forget(id string) {
	if r.Endpoints.Incarnation(id).IsZero() {
		r.mu.Lock()
		defer r.mu.Unlock()
		delete(r.recent, id)
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
