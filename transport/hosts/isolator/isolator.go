// Package isolator keeps requests that crash the endpoints that run them away from endpoints, on all hosts.
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
	"github.com/hornbeamspan/hornbeamspan/transport/eventer"
	"github.com/hornbeamspan/hornbeamspan/transport/hosts/messenger"
)

const (
	// kindSuspect is the kind of messages that tell of requests under which endpoints died.
	kindSuspect = "suspect"
	// tellTimeout bounds the telling of one host.
	tellTimeout = time.Second
	// confirmWithin is how long after a broken request its endpoint must be found gone to count as crashed by it. An
	// endpoint's entry lapses after some heartbeats.
	confirmWithin = 6 * time.Second
)

// Hosts are the hosts that are told of suspects.
type Hosts interface {
	Self() tracker.Member
	Serving() []tracker.Member
}

// Options are the settings of an Isolator.
type Options struct {
	// Deaths is the number of crashed endpoints that convicts a request, Keep how long one is remembered.
	Deaths    int
	Keep      time.Duration
	Hosts     Hosts
	Messenger *messenger.Messenger
	Clock     clockwork.Clock
	Logs      hclog.Logger
}

// broken is a request whose endpoint broke off.
type broken struct {
	fingerprint uint64
	at          time.Time
}

// Isolator counts crashes by the fingerprints of requests.
type Isolator struct {
	options    Options
	mu         sync.Mutex
	quarantine *quarantiner.Quarantine
	pending    map[string][]broken
}

// New returns an Isolator and takes the kind of messages it answers.
func New(o Options) *Isolator {
	i := &Isolator{options: o, quarantine: quarantiner.New(o.Keep, o.Deaths), pending: make(map[string][]broken)}
	messenger.Handle(o.Messenger, kindSuspect, i.learn)
	return i
}

// IsConvicted tells whether the request may not run again.
func (i *Isolator) IsConvicted(fingerprint uint64) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.quarantine.IsConvicted(fingerprint)
}

// IsSuspect tells whether an endpoint died under the request.
func (i *Isolator) IsSuspect(fingerprint uint64) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.quarantine.IsSuspect(fingerprint)
}

// Finished clears a request that came to its end, unless it is convicted.
func (i *Isolator) Finished(fingerprint uint64) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.quarantine.RecordCompletion(fingerprint)
}

// Broke notes that an endpoint broke off a request. It counts as crashed by it if it is soon found gone.
func (i *Isolator) Broke(endpoint string, fingerprint uint64) {
	now := i.options.Clock.Now()
	i.mu.Lock()
	defer i.mu.Unlock()
	for name, list := range i.pending {
		if now.Sub(list[len(list)-1].at) > confirmWithin {
			delete(i.pending, name)
		}
	}
	i.pending[endpoint] = append(i.pending[endpoint], broken{fingerprint: fingerprint, at: now})
}

// Gone counts the crash of an endpoint against the requests that it broke off shortly before.
func (i *Isolator) Gone(endpoint string) {
	now := i.options.Clock.Now()
	i.mu.Lock()
	list := i.pending[endpoint]
	delete(i.pending, endpoint)
	i.mu.Unlock()
	for _, b := range list {
		if now.Sub(b.at) <= confirmWithin {
			i.Died(endpoint, b.fingerprint)
		}
	}
}

// Died counts the crash of an endpoint against a request and tells the other hosts.
func (i *Isolator) Died(endpoint string, fingerprint uint64) {
	i.mu.Lock()
	s := i.quarantine.RecordCrash(i.options.Clock.Now(), fingerprint)
	convicted := i.quarantine.IsConvicted(fingerprint)
	i.mu.Unlock()
	eventer.Warn(i.options.Logs, eventer.EngineLost, "engine", endpoint, "fingerprint", fingerprint, "deaths", s.Crashes)
	if convicted {
		eventer.Warn(i.options.Logs, eventer.RequestConvicted, "fingerprint", fingerprint, "deaths", s.Crashes, "source", "own")
	}
	self := i.options.Hosts.Self().Name
	for _, m := range i.options.Hosts.Serving() {
		if m.Name != self {
			go i.tell(m, wire.SuspectReport{Print: fingerprint, Deaths: s.Crashes})
		}
	}
}

// tell is a hint: a host that is not told finds out by itself.
func (i *Isolator) tell(m tracker.Member, t wire.SuspectReport) {
	ctx, cancel := context.WithTimeout(context.Background(), tellTimeout)
	defer cancel()
	_ = messenger.Tell(ctx, i.options.Messenger, m.Address, kindSuspect, t)
}

func (i *Isolator) learn(_ context.Context, w wire.SuspectReport) (wire.Empty, error) {
	i.mu.Lock()
	known := i.quarantine.IsConvicted(w.Print)
	i.quarantine.MergeCount(i.options.Clock.Now(), w.Print, w.Deaths)
	convicted := i.quarantine.IsConvicted(w.Print)
	i.mu.Unlock()
	if convicted && !known {
		eventer.Warn(i.options.Logs, eventer.RequestConvicted, "fingerprint", w.Print, "deaths", w.Deaths, "source", "host")
	}
	return wire.Empty{}, nil
}
