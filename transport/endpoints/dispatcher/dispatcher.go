// Package dispatcher places generations at model engines on behalf of all hosts.
//
// One host owns a service. It tracks the generations that all hosts run at the service's engines, orders the waiting ones
// and packs the engines' memory. Its state is a hint: the engine itself grants each reservation, and a host that cannot reach
// the owner places requests on its own.
package dispatcher

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/hornbeamspan/hornbeamspan/parts/coordination/cachetracker"
	"github.com/hornbeamspan/hornbeamspan/parts/coordination/enroller"
	"github.com/hornbeamspan/hornbeamspan/parts/coordination/packer"
	"github.com/hornbeamspan/hornbeamspan/parts/coordination/placer"
	"github.com/hornbeamspan/hornbeamspan/parts/coordination/queuer"
	"github.com/hornbeamspan/hornbeamspan/parts/coordination/tracker"
	"github.com/hornbeamspan/hornbeamspan/protocol/wire"
	"github.com/hornbeamspan/hornbeamspan/transport/endpoints/discoverer"
	"github.com/hornbeamspan/hornbeamspan/transport/endpoints/permitter"
	"github.com/hornbeamspan/hornbeamspan/transport/hosts/messenger"
)

const (
	kindPlace    = "place"
	kindProgress = "placed"
	kindRuns     = "runs"
	kindPing     = "here"
	// minPollTimeout is how long the owner holds the first poll for a request before it answers that the request still waits.
	// The time doubles with each further poll up to maxPollTimeout, because the polls of a long queue would load the owner.
	minPollTimeout = 250 * time.Millisecond
	maxPollTimeout = time.Second
	// unresolvedDelay is the time before a request is placed again that was placed at an engine which this host does not list.
	unresolvedDelay = 50 * time.Millisecond
	// answerGrace is the time beyond the poll timeout after which the owner counts as unresponsive.
	answerGrace = 250 * time.Millisecond
)

// The states of a request at the owner.
const (
	stateWaiting = iota
	statePlaced
	stateRefused
	stateMoved
)

// Step is the kind of a progress report.
type Step int

// The steps that are reported to the owner.
const (
	// PromptRead means that the prefill engine has prefilled the prompt.
	PromptRead Step = iota
	// OutputStarted means that the first output was received.
	OutputStarted
	// OutputPaced reports the time that a part of the output took.
	OutputPaced
	// OutputEnded means that the complete output was received.
	OutputEnded
	// Failed means that the request has ended without a complete output.
	Failed
	// PromptRefused means that the prefill engine refused the prompt.
	PromptRefused
	// Unreachable means that an engine did not accept the connection, or closed it before its answer was complete.
	Unreachable
	// CacheLost means that the KV cache of the prompt could not be fetched from the prefill engine.
	CacheLost
	// HoldRefused means that the engine refused the generation in spite of its hold.
	HoldRefused
	// EngineLeaving means that the engine has announced its shutdown.
	EngineLeaving
)

// freesCapacity reports whether a step leaves capacity for waiting requests.
func (s Step) freesCapacity() bool {
	return s == PromptRead || s == OutputEnded || s == Failed || s == HoldRefused
}

// Progress is a progress report of a generation. Engine is set if the report concerns one engine.
type Progress struct {
	Service string
	ID      string
	Engine  string
	Step    Step
	// Output is the number of tokens made in Took.
	Output int
	Took   time.Duration
	// IncarnationStart is the start of the incarnation that is leaving, which identifies it.
	IncarnationStart time.Time
}

// Request describes a generation to be placed. Prompt, Hint and MaxOutput are in tokens.
type Request struct {
	Service   string
	ID        string
	Prompt    int
	Hint      int
	MaxOutput int
	Priority  int
	// Fingerprint is the same when a caller retries after a refusal.
	Fingerprint uint64
	// MaxPause is the longest gap between two events of an answer that meets the latency target.
	MaxPause time.Duration
	Arrived  time.Time
	// Version is the software version of the decode engine, empty for any at which streams may begin.
	Version string
	// ExcludedEngines are the engines that have requested a pause from this host.
	ExcludedEngines []string
	// Parts are the parts of the prompt that other prompts may share, in their order. Only the first maxParts are used.
	Parts []cachetracker.Part
	// FirstEventDeadline is the time of the first event for an answer that meets the target; LatestStart is the time after
	// which the request must not start at all.
	FirstEventDeadline time.Time
	LatestStart        time.Time
}

// placerRequest converts r to the form of the placer. dataCentre is that of the host the request came to.
func (r Request) placerRequest(dataCentre string) placer.Request {
	return placer.Request{
		Job:        packer.Job{ID: r.ID, Prompt: r.Prompt, Hint: r.Hint, MaxOutput: r.MaxOutput},
		Item:       queuer.Item{Priority: r.Priority, Arrived: r.Arrived, LatestStart: r.LatestStart, IsResumption: r.Version != ""},
		DataCentre: dataCentre, Fingerprint: r.Fingerprint, FirstEventDeadline: r.FirstEventDeadline, MaxPause: r.MaxPause, Version: r.Version,
		ExcludedEngines: r.ExcludedEngines, Parts: r.Parts[:min(len(r.Parts), maxParts)],
	}
}

// Placement is a hold at a decode engine, which expires at Until. If PrefillEngine is nil, the decode engine prefills
// the prompt itself.
type Placement struct {
	DecodeEngine  *discoverer.Endpoint
	PrefillEngine *discoverer.Endpoint
	Hold          string
	Until         time.Time
	// IsDecodePermitted and IsPrefillPermitted are set if the placement includes a permit for an engine with a rate limit.
	IsDecodePermitted  bool
	IsPrefillPermitted bool
}

// RefusedError reports that no engine can serve the request in time. RetryAfter is the time before a retry.
type RefusedError struct {
	Reason     string
	RetryAfter time.Duration
}

func (e *RefusedError) Error() string {
	return fmt.Sprintf("dispatcher: unable to place the request: %s; retry after %s", e.Reason, e.RetryAfter)
}

// EngineReport is the state that a model engine reports, some hundred milliseconds old.
type EngineReport struct {
	Runs  []packer.ReportedRun
	Stage enroller.Stage
	// Orders is the number of stage orders that the engine has accepted.
	Orders int64
	// IsChangingStage is set while the engine changes its stage.
	IsChangingStage bool
}

// FullError reports an engine without a free slot or enough free memory for a reservation.
type FullError struct {
	Engine netip.AddrPort
}

func (e *FullError) Error() string {
	return "dispatcher: unable to take a hold: no free slot or memory at the engine " + e.Engine.String()
}

// UnlistedError reports an engine that was removed from the list of endpoints.
type UnlistedError struct {
	Engine string
}

func (e *UnlistedError) Error() string {
	return "dispatcher: unable to use the engine " + e.Engine + ": it is no longer listed"
}

// Dispatcher places generations, as the owner of services and by requests to other owners.
type Dispatcher struct {
	Options
	mu           sync.Mutex
	schedulers   map[string]*scheduler
	unresponsive map[string]bool
	redirects    map[string]redirect
	// activeRuns are the generations of this host by ID, announcedOwners the hosts they were last announced to by service.
	activeRuns      map[string]activeRun
	announcedOwners map[string]string
	isAnnouncing    bool
	isClosed        bool
	done            chan struct{}
}

// New returns a Dispatcher and registers its message handlers.
func New(o Options) *Dispatcher {
	d := &Dispatcher{
		Options: o, schedulers: make(map[string]*scheduler), unresponsive: make(map[string]bool),
		redirects: make(map[string]redirect), activeRuns: make(map[string]activeRun), announcedOwners: make(map[string]string),
		done: make(chan struct{}),
	}
	messenger.Handle(o.Messenger, kindPlace, d.handlePlace)
	messenger.Handle(o.Messenger, kindProgress, d.handleProgress)
	messenger.Handle(o.Messenger, kindRuns, d.handleRuns)
	messenger.Handle(o.Messenger, kindOrder, d.handleOrder)
	messenger.Handle(o.Messenger, kindPing, func(context.Context, wire.Empty) (wire.Empty, error) { return wire.Empty{}, nil })
	return d
}

// Done is closed once Close has been called.
func (d *Dispatcher) Done() <-chan struct{} { return d.done }

// Close stops the background work: scheduling, fetching of reports, announcements and pings.
func (d *Dispatcher) Close() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.isClosed {
		d.isClosed = true
		close(d.done)
	}
}

// sleep returns false if the Dispatcher is closed before the time has passed.
func (d *Dispatcher) sleep(t time.Duration) bool {
	select {
	case <-d.done:
		return false
	case <-d.Clock.After(t):
		return true
	}
}

func (d *Dispatcher) scheduler(service string) *scheduler {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.schedulers[service] == nil {
		d.schedulers[service] = newScheduler(d, service, rand.New(rand.NewPCG(d.Random.Uint64(), d.Random.Uint64())))
	}
	return d.schedulers[service]
}

// Place blocks until the generation is placed. The error is a *RefusedError, or that of ctx.
func (d *Dispatcher) Place(ctx context.Context, r Request) (Placement, error) {
	timeout := minPollTimeout
	for {
		var ends time.Time
		if r.ExcludedEngines, ends = d.Endpoints.Paused(r.Service); d.isPausedByAll(r) {
			return Placement{}, &RefusedError{Reason: "every engine has requested a pause", RetryAfter: ends.Sub(d.Clock.Now())}
		}
		answer, err := d.requestPlace(ctx, r, timeout)
		if ctx.Err() != nil {
			go d.ReportProgress(Progress{Service: r.Service, ID: r.ID, Step: Failed})
			return Placement{}, ctx.Err()
		}
		if err != nil {
			continue
		}
		switch answer.State {
		case stateWaiting:
			timeout = min(2*timeout, maxPollTimeout)
		case stateMoved:
			d.applyRedirect(r.Service, answer.Owner)
		case stateRefused:
			return Placement{}, &RefusedError{Reason: answer.Reason, RetryAfter: milliseconds(answer.RetryAfter)}
		case statePlaced:
			if p, ok := d.resolve(r, answer); ok {
				d.addRun(r, p)
				return p, nil
			}
			d.ReportProgress(Progress{Service: r.Service, ID: r.ID, Step: Failed})
			d.sleep(unresolvedDelay) // until the lists of both hosts agree
		}
	}
}

// isPausedByAll reports whether every decode engine has requested a pause.
func (d *Dispatcher) isPausedByAll(r Request) bool {
	if len(r.ExcludedEngines) == 0 {
		return false
	}
	return !slices.ContainsFunc(d.Endpoints.Service(r.Service), func(e *discoverer.Endpoint) bool {
		return e.Stage != enroller.Prefill && !slices.Contains(r.ExcludedEngines, e.ID)
	})
}

// resolve looks the engines of an answer up in the local list. It returns false if the decode engine is not listed, or with
// another software version than the owner knows: an engine may start again under its ID.
func (d *Dispatcher) resolve(r Request, answer wire.PlacementResponse) (Placement, bool) {
	p := Placement{
		DecodeEngine: d.Endpoints.Find(r.Service, answer.Engine), PrefillEngine: d.Endpoints.Find(r.Service, answer.PrefillEngine),
		Hold: answer.Hold, Until: d.Clock.Now().Add(milliseconds(answer.Until)),
		IsDecodePermitted: slices.Contains(answer.Permits, answer.Engine), IsPrefillPermitted: slices.Contains(answer.Permits, answer.PrefillEngine),
	}
	e := p.DecodeEngine
	if e == nil || r.Version != "" && e.Version != r.Version {
		return p, false
	}
	if answer.Version == "" { // from a host with older software, which does not check versions
		return p, r.Version != "" || d.Admits == nil || d.Admits(r.Service, e.Version)
	}
	return p, e.Version == answer.Version
}

func milliseconds(n int) time.Duration { return time.Duration(n) * time.Millisecond }

// requestPlace requests a place from the owner, or from the local scheduler if this host owns the service or the owner is
// unresponsive.
func (d *Dispatcher) requestPlace(ctx context.Context, r Request, timeout time.Duration) (wire.PlacementResponse, error) {
	owner, isOwn := d.owner(r.Service)
	if isOwn || d.isUnresponsive(owner.Name) {
		return d.scheduler(r.Service).poll(ctx, r.placerRequest(d.DataCentre), timeout), nil
	}
	ctx, cancel := context.WithTimeout(ctx, timeout+answerGrace)
	defer cancel()
	query := d.encode(r, owner)
	query.Wait = int(timeout.Milliseconds())
	answer, err := messenger.Call[wire.PlacementRequest, wire.PlacementResponse](ctx, d.Messenger, owner.Address, kindPlace, query)
	if err != nil && ctx.Err() != context.Canceled {
		d.markUnresponsive(owner, err)
	}
	return answer, err
}

func (d *Dispatcher) encode(r Request, owner tracker.Member) wire.PlacementRequest {
	now := d.Clock.Now()
	left := func(t time.Time) int { return int(t.Sub(now).Milliseconds()) }
	return wire.PlacementRequest{
		Service: r.Service, ID: r.ID, DataCentre: d.DataCentre, Prompt: r.Prompt, Hint: r.Hint, MaxOutput: r.MaxOutput, Priority: r.Priority,
		MaxPause: int(r.MaxPause.Milliseconds()),
		Version:  r.Version, ExcludedEngines: r.ExcludedEngines, Fingerprint: int(r.Fingerprint),
		Age: -left(r.Arrived), FirstEventDeadline: left(r.FirstEventDeadline), LatestStart: left(r.LatestStart),
		IsRedirected: d.isRedirected(r.Service) || d.isSubstitute(r.Service, owner), Parts: d.encodeParts(r.Parts),
	}
}

func (d *Dispatcher) handlePlace(ctx context.Context, m wire.PlacementRequest) (wire.PlacementResponse, error) {
	if owner, isOwn := d.Hosts.StableOwner(permitter.OwnerKey(m.Service), d.isUnresponsive); !isOwn && !m.IsRedirected {
		return wire.PlacementResponse{State: stateMoved, Owner: owner.Name}, nil
	}
	now := d.Clock.Now()
	r := Request{
		Service: m.Service, ID: m.ID, Prompt: m.Prompt, Hint: m.Hint, MaxOutput: m.MaxOutput, Priority: m.Priority, Fingerprint: uint64(m.Fingerprint),
		MaxPause: milliseconds(m.MaxPause), Version: m.Version, ExcludedEngines: m.ExcludedEngines, Parts: decodeParts(m.Parts),
		Arrived: now.Add(-milliseconds(m.Age)), FirstEventDeadline: now.Add(milliseconds(m.FirstEventDeadline)), LatestStart: now.Add(milliseconds(m.LatestStart)),
	}
	return d.scheduler(m.Service).poll(ctx, r.placerRequest(m.DataCentre), milliseconds(m.Wait)), nil
}

// ReportProgress sends a progress report to the owner, and applies it to the local scheduler if there is one.
func (d *Dispatcher) ReportProgress(p Progress) {
	d.updateRun(p)
	owner, isOwn := d.owner(p.Service)
	d.mu.Lock()
	local := d.schedulers[p.Service]
	d.mu.Unlock()
	if local != nil {
		local.applyProgress(p)
	}
	if isOwn || d.isUnresponsive(owner.Name) {
		return
	}
	report := wire.ProgressReport{
		Service: p.Service, ID: p.ID, Engine: p.Engine, Step: int(p.Step), Output: p.Output, Took: int(p.Took.Milliseconds()),
	}
	if p.Step == EngineLeaving {
		report.IncarnationStart = p.IncarnationStart.UnixMilli()
	}
	ctx, cancel := context.WithTimeout(context.Background(), answerGrace)
	defer cancel()
	if err := messenger.Notify(ctx, d.Messenger, owner.Address, kindProgress, report); err != nil {
		d.markUnresponsive(owner, err)
	}
}

// ReportLeaving reports a leaving engine to the owner directly, because the store may be unreachable.
func (d *Dispatcher) ReportLeaving(e *discoverer.Endpoint) {
	go d.ReportProgress(Progress{Service: e.Service, Engine: e.ID, Step: EngineLeaving, IncarnationStart: e.IncarnationStart})
}

func (d *Dispatcher) handleProgress(_ context.Context, m wire.ProgressReport) (wire.Empty, error) {
	if Step(m.Step) == EngineLeaving {
		d.Endpoints.MarkLeaving(m.Engine, time.UnixMilli(m.IncarnationStart), "peer")
		return wire.Empty{}, nil
	}
	d.scheduler(m.Service).applyProgress(Progress{
		Service: m.Service, ID: m.ID, Engine: m.Engine, Step: Step(m.Step), Output: m.Output, Took: milliseconds(m.Took),
	})
	return wire.Empty{}, nil
}
