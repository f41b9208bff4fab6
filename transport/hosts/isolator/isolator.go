// Package isolator blocks requests that crash the endpoints that run them, on all hosts.
package isolator

import (
	"context"
	"maps"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/jonboulle/clockwork"

	"github.com/hornbeamspan/hornbeamspan/parts/coordination/quarantiner"
	"github.com/hornbeamspan/hornbeamspan/parts/coordination/tracker"
	"github.com/hornbeamspan/hornbeamspan/protocol/wire"
	"github.com/hornbeamspan/hornbeamspan/transport/eventlogger"
	"github.com/hornbeamspan/hornbeamspan/transport/hosts/messenger"
)

const (
	// kindSuspect is the kind of messages that report requests during which endpoints crashed.
	kindSuspect = "suspect"
	// notifyTimeout bounds the notification of one host.
	notifyTimeout = time.Second
	// crashWindow is how soon after an interrupted request its endpoint must be removed for the request to count as the
	// cause of a crash. It allows for the heartbeats after which an endpoint's entry expires.
	crashWindow = 6 * time.Second
)

// Hosts lists the hosts that are notified of suspect requests.
type Hosts interface {
	Self() tracker.Member
	Serving() []tracker.Member
}

// Options configures an Isolator.
type Options struct {
	// CrashLimit is the number of endpoint crashes after which a request is convicted, Retention how long a request is
	// remembered.
	CrashLimit int
	Retention  time.Duration
	Hosts      Hosts
	Messenger  *messenger.Messenger
	Clock      clockwork.Clock
	Logs       hclog.Logger
}

// brokenRequest is a request that its endpoint interrupted.
type brokenRequest struct {
	fingerprint uint64
	at          time.Time
}

// Isolator counts endpoint crashes by request fingerprint.
type Isolator struct {
	options    Options
	mu         sync.Mutex
	quarantine *quarantiner.Quarantine
	pending    map[string][]brokenRequest
	// counted holds, by endpoint, the requests that its crash was counted against.
	counted map[string]*crash
}

// crash is the crash of one start of an endpoint.
type crash struct {
	lastCounted  time.Time
	fingerprints map[uint64]bool
}

// New returns an Isolator and registers its message handler.
func New(o Options) *Isolator {
	i := &Isolator{options: o, quarantine: quarantiner.New(o.Retention, o.CrashLimit), pending: make(map[string][]brokenRequest), counted: make(map[string]*crash)}
	messenger.Handle(o.Messenger, kindSuspect, i.handleSuspect)
	return i
}

// IsConvicted reports whether the request must not run again.
func (i *Isolator) IsConvicted(fingerprint uint64) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.quarantine.IsConvicted(fingerprint)
}

// IsSuspect reports whether an endpoint crashed while it ran the request.
func (i *Isolator) IsSuspect(fingerprint uint64) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.quarantine.IsSuspect(fingerprint)
}

// RecordCompletion clears the suspicion of a request that completed, unless it is convicted.
func (i *Isolator) RecordCompletion(fingerprint uint64) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.quarantine.RecordCompletion(fingerprint)
}

// RecordBrokenRequest records that an endpoint interrupted a request. If the endpoint is removed within crashWindow, this
// counts as a crash caused by the request.
func (i *Isolator) RecordBrokenRequest(endpoint string, fingerprint uint64) {
	now := i.options.Clock.Now()
	i.mu.Lock()
	defer i.mu.Unlock()
	for name, list := range i.pending {
		if now.Sub(list[len(list)-1].at) > crashWindow {
			delete(i.pending, name)
		}
	}
	i.pending[endpoint] = append(i.pending[endpoint], brokenRequest{fingerprint: fingerprint, at: now})
}

// RecordRemoval counts an endpoint that is unreachable as a crash against the requests that it interrupted within crashWindow.
// Until RecordEnd, one endpoint counts once against equal requests: it may have interrupted many of them, and be found
// unreachable many times.
func (i *Isolator) RecordRemoval(endpoint string) {
	for _, fingerprint := range i.takeCrashed(endpoint) {
		i.RecordCrash(endpoint, fingerprint)
	}
}

// RecordEnd is RecordRemoval for an endpoint that is known to have ended. What starts again under its name counts anew.
func (i *Isolator) RecordEnd(endpoint string) {
	i.RecordRemoval(endpoint)
	i.mu.Lock()
	defer i.mu.Unlock()
	delete(i.counted, endpoint)
}

// takeCrashed returns the fingerprints that the crash of an endpoint counts against, and counts them.
func (i *Isolator) takeCrashed(endpoint string) []uint64 {
	now := i.options.Clock.Now()
	i.mu.Lock()
	defer i.mu.Unlock()
	list := i.pending[endpoint]
	delete(i.pending, endpoint)
	maps.DeleteFunc(i.counted, func(_ string, c *crash) bool { return now.Sub(c.lastCounted) > crashWindow })
	var fingerprints []uint64
	for _, b := range list {
		if now.Sub(b.at) > crashWindow {
			continue
		}
		c := i.counted[endpoint]
		if c == nil {
			c = &crash{fingerprints: make(map[uint64]bool)}
			i.counted[endpoint] = c
		}
		c.lastCounted = now
		if !c.fingerprints[b.fingerprint] {
			c.fingerprints[b.fingerprint] = true
			fingerprints = append(fingerprints, b.fingerprint)
		}
	}
	return fingerprints
}

// RecordCrash counts the crash of an endpoint against a request and notifies the other hosts.
func (i *Isolator) RecordCrash(endpoint string, fingerprint uint64) {
	i.mu.Lock()
	s := i.quarantine.RecordCrash(i.options.Clock.Now(), fingerprint)
	convicted := i.quarantine.IsConvicted(fingerprint)
	i.mu.Unlock()
	eventlogger.Warn(i.options.Logs, eventlogger.EngineLost, "engine", endpoint, "fingerprint", fingerprint, "deaths", s.Crashes)
	if convicted {
		eventlogger.Warn(i.options.Logs, eventlogger.RequestConvicted, "fingerprint", fingerprint, "deaths", s.Crashes, "source", "own")
	}
	self := i.options.Hosts.Self().Name
	for _, m := range i.options.Hosts.Serving() {
		if m.Name != self {
			go i.notify(m, wire.SuspectReport{Fingerprint: fingerprint, Crashes: s.Crashes})
		}
	}
}

// notify makes one attempt and ignores errors: a host that is not notified detects crashes by itself.
func (i *Isolator) notify(m tracker.Member, report wire.SuspectReport) {
	ctx, cancel := context.WithTimeout(context.Background(), notifyTimeout)
	defer cancel()
	_ = messenger.Notify(ctx, i.options.Messenger, m.Address, kindSuspect, report)
}

func (i *Isolator) handleSuspect(_ context.Context, w wire.SuspectReport) (wire.Empty, error) {
	i.mu.Lock()
	known := i.quarantine.IsConvicted(w.Fingerprint)
	i.quarantine.MergeCount(i.options.Clock.Now(), w.Fingerprint, w.Crashes)
	convicted := i.quarantine.IsConvicted(w.Fingerprint)
	i.mu.Unlock()
	if convicted && !known {
		eventlogger.Warn(i.options.Logs, eventlogger.RequestConvicted, "fingerprint", w.Fingerprint, "deaths", w.Crashes, "source", "host")
	}
	return wire.Empty{}, nil
}
