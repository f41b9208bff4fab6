// Package isolator blocks requests that crash the endpoints that run them, on all hosts.
package isolator

import (
	"context"
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
}

// New returns an Isolator and registers its message handler.
func New(o Options) *Isolator {
	i := &Isolator{options: o, quarantine: quarantiner.New(o.Retention, o.CrashLimit), pending: make(map[string][]brokenRequest)}
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

// RecordRemoval counts the removal of an endpoint as a crash against the requests that it interrupted within crashWindow.
func (i *Isolator) RecordRemoval(endpoint string) {
	now := i.options.Clock.Now()
	i.mu.Lock()
	list := i.pending[endpoint]
	delete(i.pending, endpoint)
	i.mu.Unlock()
	for _, b := range list {
		if now.Sub(b.at) <= crashWindow {
			i.RecordCrash(endpoint, b.fingerprint)
		}
	}
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
