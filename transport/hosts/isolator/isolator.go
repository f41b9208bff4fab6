// Package isolator blocks requests that crash the endpoints that run them, on all hosts: whole requests, and all requests with
// a part in their prompts that crashes engines.
package isolator

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/jonboulle/clockwork"

	"github.com/hornbeamspan/hornbeamspan/parts/coordination/quarantiner"
	"github.com/hornbeamspan/hornbeamspan/parts/coordination/tracker"
	"github.com/hornbeamspan/hornbeamspan/transport/eventlogger"
	"github.com/hornbeamspan/hornbeamspan/transport/hosts/messenger"
)

const (
	// crashWindow is how soon after an interrupted request its endpoint must be found ended for the request to count as a
	// possible cause. It allows for the heartbeats after which an endpoint's entry expires.
	crashWindow = 6 * time.Second
	// burstTime is the time within which one cause beyond the requests, such as the loss of a rack, ends several engines.
	burstTime = 100 * time.Millisecond
	// burstLimit is the number of ends that convict a part in spite of that.
	burstLimit = 5
	// acquittalTime is how long output on a part protects it from being blamed for ends of engines.
	acquittalTime = 10 * time.Second
)

// ConvictedError is why a context of Guard has ended.
type ConvictedError struct {
	Work Work
}

func (e *ConvictedError) Error() string {
	return fmt.Sprintf("isolator: unable to run request %x with parts %x: endpoints crashed while they ran such requests", e.Work.Request, e.Work.Parts)
}

// Hosts lists the hosts that are notified of crashes.
type Hosts interface {
	Self() tracker.Member
	Serving() []tracker.Member
	// MaxServing returns the highest number of hosts seen, 0 if it is not known.
	MaxServing() int
}

// Options configures an Isolator.
type Options struct {
	// RequestLimit is the number of endpoint crashes after which a request is convicted, PartLimit that for a part of prompts.
	RequestLimit int
	PartLimit    int
	// Retention is how long crashes and verdicts are remembered.
	Retention time.Duration
	// ContactTime is the time within which a host that has contact to others again must know their verdicts.
	ContactTime time.Duration
	Hosts       Hosts
	Messenger   *messenger.Messenger
	Clock       clockwork.Clock
	Random      *rand.Rand
	Logs        hclog.Logger
}

// Endpoint is one incarnation of an endpoint.
type Endpoint struct {
	ID      string
	Start   time.Time
	Address netip.AddrPort
}

// Work names what may crash endpoints: a request by its fingerprint, and the shared parts of its prompt in their order.
type Work struct {
	Request uint64
	Parts   []uint64
}

// causes returns the request and the parts.
func (w Work) causes() []quarantiner.Cause {
	causes := []quarantiner.Cause{{Kind: quarantiner.Request, ID: w.Request}}
	for _, p := range w.Parts {
		causes = append(causes, quarantiner.Cause{Kind: quarantiner.Part, ID: p})
	}
	return causes
}

// brokenRequest is a request that its endpoint interrupted.
type brokenRequest struct {
	endpoint Endpoint
	blames   []quarantiner.Blame
	at       time.Time
}

// Isolator holds the evidence of one host, and exchanges it with the others.
type Isolator struct {
	options    Options
	mu         sync.Mutex
	quarantine *quarantiner.Quarantine
	pending    map[string][]brokenRequest
	// endings counts the ends of endpoints that interrupted requests and whose starts are not known, to tell their incarnations apart.
	endings map[string]int64
	// logged are the verdicts that were logged, guards the requests that wait and end with a verdict.
	logged map[quarantiner.Cause]bool
	guards map[*guard]bool
	// announced holds when the acquittal of a part was last sent or received.
	announced map[quarantiner.Cause]time.Time
	done      chan struct{}
	isClosed  bool
}

// New returns an Isolator and registers its message handlers.
func New(o Options) *Isolator {
	i := &Isolator{
		options: o, pending: make(map[string][]brokenRequest), endings: make(map[string]int64), logged: make(map[quarantiner.Cause]bool),
		guards: make(map[*guard]bool), announced: make(map[quarantiner.Cause]time.Time), done: make(chan struct{}),
		quarantine: quarantiner.New(quarantiner.Config{
			RequestLimit: o.RequestLimit, PartLimit: o.PartLimit, BurstLimit: burstLimit, BurstTime: burstTime, Retention: o.Retention,
			AcquittalTime: acquittalTime,
		}),
	}
	messenger.Handle(o.Messenger, kindEvidence, i.handleEvidence)
	messenger.Handle(o.Messenger, kindCompare, i.handleCompare)
	return i
}

// Done is closed once Close has been called.
func (i *Isolator) Done() <-chan struct{} { return i.done }

// Close stops the exchange of evidence.
func (i *Isolator) Close() {
	i.mu.Lock()
	defer i.mu.Unlock()
	if !i.isClosed {
		i.isClosed = true
		close(i.done)
	}
}

// IsConvicted reports whether a request must not run.
func (i *Isolator) IsConvicted(w Work) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.isConvicted(w)
}

// isConvicted is IsConvicted for callers that hold mu. Without evidence it costs no list of causes.
func (i *Isolator) isConvicted(w Work) bool {
	return !i.quarantine.IsEmpty() && i.quarantine.IsConvicted(i.options.Clock.Now(), w.causes()...)
}

// IsSuspect reports whether an endpoint crashed while it ran the request.
func (i *Isolator) IsSuspect(fingerprint uint64) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.quarantine.IsSuspect(quarantiner.Cause{Kind: quarantiner.Request, ID: fingerprint})
}

// RecordCompletion clears the suspicion of a request that completed, unless it is convicted.
func (i *Isolator) RecordCompletion(fingerprint uint64) {
	i.mu.Lock()
	contested := i.quarantine.RecordCompletion(i.options.Clock.Now(), quarantiner.Cause{Kind: quarantiner.Request, ID: fingerprint})
	i.mu.Unlock()
	i.announce(contested)
}

// RecordOutput clears the suspicion of the parts of a prompt, because an engine has written output on them.
func (i *Isolator) RecordOutput(parts []uint64) {
	i.mu.Lock()
	contested := i.quarantine.RecordOutput(i.options.Clock.Now(), Work{Parts: parts}.causes()[1:]...)
	i.mu.Unlock()
	i.announce(contested)
}

// RecordInterruption records that an endpoint interrupted a request, and checks whether it has ended. The parts of w are those that the
// endpoint may have begun to write output on. If it is found ended within crashWindow, the request and the parts may be the cause.
func (i *Isolator) RecordInterruption(e Endpoint, w Work) {
	b := brokenRequest{endpoint: e, at: i.options.Clock.Now()}
	for n, c := range w.causes() {
		b.blames = append(b.blames, quarantiner.Blame{Cause: c, Depth: max(0, n-1)})
	}
	i.mu.Lock()
	for id, list := range i.pending {
		if b.at.Sub(list[len(list)-1].at) > crashWindow {
			delete(i.pending, id)
		}
	}
	i.pending[e.ID] = append(i.pending[e.ID], b)
	i.mu.Unlock()
	if e.Address.IsValid() {
		go i.confirm(e)
	}
}

// RecordRemoval records that an endpoint is unreachable. However many requests it interrupted, and however often it is found
// unreachable, one incarnation counts once.
func (i *Isolator) RecordRemoval(id string) {
	i.mu.Lock()
	list := i.pending[id]
	delete(i.pending, id)
	i.mu.Unlock()
	for _, e := range i.endsOf(list) {
		i.report(e.end, e.address)
	}
}

// RecordEnd is RecordRemoval for an endpoint that is known to have ended. What starts again under its name counts anew.
func (i *Isolator) RecordEnd(id string) {
	i.RecordRemoval(id)
	i.mu.Lock()
	if _, ok := i.endings[id]; ok {
		i.endings[id]++
	}
	i.quarantine.Confirm(i.options.Clock.Now(), id, i.options.Hosts.Self().Name)
	i.mu.Unlock()
	i.enforce()
}

// RecordCrash records that an endpoint ended while it ran a request.
func (i *Isolator) RecordCrash(e Endpoint, fingerprint uint64) {
	now := i.options.Clock.Now()
	b := brokenRequest{endpoint: e, at: now, blames: []quarantiner.Blame{{Cause: quarantiner.Cause{Kind: quarantiner.Request, ID: fingerprint}}}}
	for _, e := range i.endsOf([]brokenRequest{b}) {
		i.report(e.end, e.address)
	}
}

// endOf is the end of an endpoint that other hosts can check at its address.
type endOf struct {
	end     quarantiner.End
	address netip.AddrPort
}

// endsOf returns the ends of the incarnations that interrupted requests lately.
func (i *Isolator) endsOf(list []brokenRequest) []endOf {
	now := i.options.Clock.Now()
	self := i.options.Hosts.Self().Name
	i.mu.Lock()
	defer i.mu.Unlock()
	var ends []endOf
	for _, b := range list {
		if now.Sub(b.at) > crashWindow {
			continue
		}
		engine := quarantiner.Engine{ID: b.endpoint.ID, Start: b.endpoint.Start.UnixMilli()}
		if b.endpoint.Start.IsZero() {
			engine.Start = i.endings[b.endpoint.ID]
			i.endings[b.endpoint.ID] = engine.Start
		}
		n := slices.IndexFunc(ends, func(e endOf) bool { return e.end.Engine == engine })
		if n < 0 {
			n = len(ends)
			ends = append(ends, endOf{end: quarantiner.End{Engine: engine, At: b.at, Witnesses: []string{self}}, address: b.endpoint.Address})
		}
		ends[n].end.Blames = append(ends[n].end.Blames, b.blames...)
	}
	return ends
}

// guard is a request that waits for an endpoint.
type guard struct {
	work   Work
	cancel context.CancelCauseFunc
}

// Guard returns a context that ends with a *ConvictedError as its cause when the request is convicted. The caller must call release.
func (i *Isolator) Guard(ctx context.Context, w Work) (guarded context.Context, release func()) {
	ctx, cancel := context.WithCancelCause(ctx)
	g := &guard{work: w, cancel: cancel}
	i.mu.Lock()
	i.guards[g] = true
	if i.isConvicted(w) {
		cancel(&ConvictedError{Work: w})
	}
	i.mu.Unlock()
	return ctx, func() {
		cancel(nil)
		i.mu.Lock()
		defer i.mu.Unlock()
		delete(i.guards, g)
	}
}

// enforce logs the verdicts that are new or have ended, and ends the wait of the requests that they concern.
func (i *Isolator) enforce() {
	now := i.options.Clock.Now()
	i.mu.Lock()
	defer i.mu.Unlock()
	verdicts := i.quarantine.Verdicts(now)
	isNew := false
	for _, c := range verdicts {
		if !i.logged[c] {
			isNew = true
			eventlogger.Warn(i.options.Logs, eventlogger.RequestConvicted, "kind", c.Kind.String(), "fingerprint", fmt.Sprintf("%x", c.ID), "deaths", i.quarantine.Crashes(c))
		}
	}
	for c := range i.logged {
		if !slices.Contains(verdicts, c) {
			eventlogger.Info(i.options.Logs, eventlogger.VerdictEnded, "kind", c.Kind.String(), "fingerprint", fmt.Sprintf("%x", c.ID))
		}
	}
	clear(i.logged)
	for _, c := range verdicts {
		i.logged[c] = true
	}
	if !isNew {
		return
	}
	for g := range i.guards {
		if i.isConvicted(g.work) {
			g.cancel(&ConvictedError{Work: g.work})
		}
	}
}
