// Package dispatcher places generations at model engines on behalf of all hosts.
//
// One host is the home of a service. It knows the generations that all hosts have at the service's engines, orders those
// that wait and packs the engines' memory. What it knows is a hint: an engine itself grants each place, and a host whose
// home is out of reach places alone, by what engines prove to have free.
package dispatcher

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

	"github.com/hornbeamspan/hornbeamspan/parts/coordination/enroller"
	"github.com/hornbeamspan/hornbeamspan/parts/coordination/matcher"
	"github.com/hornbeamspan/hornbeamspan/parts/coordination/packer"
	"github.com/hornbeamspan/hornbeamspan/parts/coordination/placer"
	"github.com/hornbeamspan/hornbeamspan/parts/coordination/queuer"
	"github.com/hornbeamspan/hornbeamspan/parts/coordination/tracker"
	"github.com/hornbeamspan/hornbeamspan/protocol/wire"
	"github.com/hornbeamspan/hornbeamspan/transport/endpoints/enlister"
	"github.com/hornbeamspan/hornbeamspan/transport/hosts/messenger"
)

const (
	kindPlace = "place"
	kindTell  = "placed"
	kindRuns  = "runs"
	kindHere  = "here"
	// minPatience is how long a home keeps the first question about a request before it answers that it still waits; each
	// further question is kept twice as long, up to maxPatience: questions of a long queue would take much of its time.
	minPatience = 250 * time.Millisecond
	maxPatience = time.Second
	// answerSlack is how much later an answer may come before the home counts as silent.
	answerSlack = 250 * time.Millisecond
)

// The states of a request at its home.
const (
	stateWaiting = iota
	statePlaced
	stateRefused
	stateMoved
)

// Step is how far a generation is.
type Step int

// The steps that a home is told of.
const (
	// Read means that the prompt was read.
	Read Step = iota
	// Began means that the first output came.
	Began
	// Paced tells how fast a part of the output came.
	Paced
	// Ended means that the whole output came.
	Ended
	// Failed means that nothing more will come.
	Failed
	// Unread means that the reading engine refused the prompt.
	Unread
	// Unreachable means that an engine could not be reached, or broke off.
	Unreachable
	// Lost means that the KV cache of the read prompt could not be had.
	Lost
	// Refused means that the engine did not take the generation, in spite of its hold.
	Refused
	// Leaves means that the engine has said that it leaves.
	Leaves
)

// frees tells whether a step makes room for others.
func (s Step) frees() bool { return s == Read || s == Ended || s == Failed || s == Refused }

// Progress is news of a generation. Engine is the one that the news is about, where that is one engine alone.
type Progress struct {
	Service string
	ID      string
	Engine  string
	Step    Step
	// Output is the number of tokens made in Took.
	Output int
	Took   time.Duration
	// Born is the start of the engine's incarnation that leaves.
	Born time.Time
}

// Ask describes a generation that wants a place. Numbers are of tokens.
type Ask struct {
	Service   string
	ID        string
	Prompt    int
	Hint      int
	MaxOutput int
	Priority  int
	// Fingerprint is the same when a refused caller comes back.
	Fingerprint uint64
	// MaxPause is the longest pause between two events for an answer within the target.
	MaxPause time.Duration
	Arrived  time.Time
	// Avoid are the engines that want nothing from this host at present.
	Avoid []string
	// FirstBy is when the first event must come for an answer within the target, Latest the last moment to start at all.
	FirstBy time.Time
	Latest  time.Time
}

// request returns what the placing of an Ask from a data centre needs to know.
func (a Ask) request(dataCentre string) placer.Request {
	return placer.Request{
		Job:        packer.Job{ID: a.ID, Prompt: a.Prompt, Hint: a.Hint, MaxOutput: a.MaxOutput},
		Item:       queuer.Item{Priority: a.Priority, Arrived: a.Arrived, Latest: a.Latest},
		DataCentre: dataCentre, Fingerprint: a.Fingerprint, FirstBy: a.FirstBy, MaxPause: a.MaxPause, Avoid: a.Avoid,
	}
}

// Place is a place at a decode engine. Reader is the engine that is to read the prompt; nil has the engine read it.
type Place struct {
	Engine *enlister.Endpoint
	Reader *enlister.Endpoint
	Hold   string
	Until  time.Time
}

// RefusedError reports that no place can be had in time.
type RefusedError struct {
	Reason string
	Wait   time.Duration
}

func (e *RefusedError) Error() string {
	return fmt.Sprintf("dispatcher: %s, come back in %s", e.Reason, e.Wait)
}

// Load is a model engine's report of itself, some hundred milliseconds old.
type Load struct {
	Runs  []packer.Observed
	Stage enroller.Stage
	// Orders is the number of orders that the engine has accepted.
	Orders int64
	// Busy is set while the engine changes its stage.
	Busy bool
}

// FullError reports an engine without room for a reservation.
type FullError struct {
	Engine netip.AddrPort
}

func (e *FullError) Error() string { return "dispatcher: no room at " + e.Engine.String() }

// GoneError reports an engine that is no longer listed.
type GoneError struct {
	Engine string
}

func (e *GoneError) Error() string { return "dispatcher: " + e.Engine + " is no longer listed" }

// Engines are the calls of model engines that dispatching needs.
type Engines interface {
	// Hold reserves a slot and memory. The error is a *FullError if there is no room.
	Hold(ctx context.Context, at netip.AddrPort, tokens int, lifetime time.Duration) (string, error)
	Drop(ctx context.Context, at netip.AddrPort, hold string) error
	// Free gives up the KV cache of a prefill.
	Free(ctx context.Context, at netip.AddrPort, handle string) error
	Report(ctx context.Context, at netip.AddrPort) (Load, error)
}

// Hosts are the hosts that a home is chosen from.
type Hosts interface {
	// SteadyHome returns the home of a key among the hosts that are not silent, and whether it is the own one.
	SteadyHome(key string, isSilent func(name string) bool) (tracker.Member, bool)
	Serving() []tracker.Member
	Self() tracker.Member
	// HasMajority tells whether this host is in touch with most of the others. A host that is not may not be the only
	// one that takes itself for a home.
	HasMajority() bool
}

// Options are the parts of a Dispatcher.
type Options struct {
	DataCentre string
	Hosts      Hosts
	Messenger  *messenger.Messenger
	Endpoints  *enlister.Enlister
	Engines    Engines
	Orders     Orders
	// Describe returns what the configuration says of a service.
	Describe func(service string) (matcher.Service, bool)
	Clock    clockwork.Clock
	Random   *rand.Rand
	Logs     hclog.Logger
}

// Dispatcher finds places, as home of services and by asking other homes.
type Dispatcher struct {
	Options
	mu         sync.Mutex
	desks      map[string]*desk
	silent     map[string]bool
	redirected map[string]redirect
	// active are this host's generations under way, announced the homes that were told of them, by service.
	active     map[string]activeRun
	announced  map[string]string
	announcing bool
	closed     bool
	done       chan struct{}
}

// New returns a Dispatcher and takes the kinds of messages it answers as home.
func New(o Options) *Dispatcher {
	d := &Dispatcher{
		Options: o, desks: make(map[string]*desk), silent: make(map[string]bool),
		redirected: make(map[string]redirect), active: make(map[string]activeRun), announced: make(map[string]string),
		done: make(chan struct{}),
	}
	messenger.Handle(o.Messenger, kindPlace, d.answerPlace)
	messenger.Handle(o.Messenger, kindTell, d.answerTell)
	messenger.Handle(o.Messenger, kindRuns, d.answerRuns)
	messenger.Handle(o.Messenger, kindOrder, d.answerOrder)
	messenger.Handle(o.Messenger, kindHere, func(context.Context, wire.Empty) (wire.Empty, error) { return wire.Empty{}, nil })
	return d
}

// Done is closed once Close has been called.
func (d *Dispatcher) Done() <-chan struct{} { return d.done }

// Close has the asking for reports and the announcing end.
func (d *Dispatcher) Close() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.closed {
		d.closed = true
		close(d.done)
	}
}

// sleep waits for a time, or until the Dispatcher is closed; then it returns false.
func (d *Dispatcher) sleep(t time.Duration) bool {
	select {
	case <-d.done:
		return false
	case <-d.Clock.After(t):
		return true
	}
}

func (d *Dispatcher) desk(service string) *desk {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.desks[service] == nil {
		d.desks[service] = newDesk(d, service, rand.New(rand.NewPCG(d.Random.Uint64(), d.Random.Uint64())))
	}
	return d.desks[service]
}

// Place returns a place for a generation. The error is a *RefusedError, or that of ctx.
func (d *Dispatcher) Place(ctx context.Context, a Ask) (Place, error) {
	patience := minPatience
	for {
		var ends time.Time
		if a.Avoid, ends = d.Endpoints.Paused(a.Service); d.isRefusedByAll(a) {
			return Place{}, &RefusedError{Reason: "every engine asks for a pause", Wait: ends.Sub(d.Clock.Now())}
		}
		answer, err := d.ask(ctx, a, patience)
		if ctx.Err() != nil {
			go d.Tell(Progress{Service: a.Service, ID: a.ID, Step: Failed})
			return Place{}, ctx.Err()
		}
		if err != nil {
			continue
		}
		switch answer.State {
		case stateWaiting:
			patience = min(2*patience, maxPatience)
		case stateMoved:
			d.follow(a.Service, answer.Home)
		case stateRefused:
			return Place{}, &RefusedError{Reason: answer.Reason, Wait: milliseconds(answer.Wait)}
		case statePlaced:
			if p, ok := d.resolve(a, answer); ok {
				d.begin(a, p)
				return p, nil
			}
			go d.Tell(Progress{Service: a.Service, ID: a.ID, Step: Failed})
		}
	}
}

// isRefusedByAll tells whether every engine that generates wants nothing from this host.
func (d *Dispatcher) isRefusedByAll(a Ask) bool {
	if len(a.Avoid) == 0 {
		return false
	}
	return !slices.ContainsFunc(d.Endpoints.Service(a.Service), func(e *enlister.Endpoint) bool {
		return e.Stage != enroller.Prefill && !slices.Contains(a.Avoid, e.ID)
	})
}

// resolve finds the engines of an answer in the own list. An engine that is not in it cannot be used.
func (d *Dispatcher) resolve(a Ask, answer wire.PlacementResponse) (Place, bool) {
	p := Place{
		Engine: d.Endpoints.Find(a.Service, answer.Engine), Reader: d.Endpoints.Find(a.Service, answer.Reader),
		Hold: answer.Hold, Until: d.Clock.Now().Add(milliseconds(answer.Until)),
	}
	return p, p.Engine != nil
}

func milliseconds(n int) time.Duration { return time.Duration(n) * time.Millisecond }

// ask asks the home, or decides alone while the home is silent.
func (d *Dispatcher) ask(ctx context.Context, a Ask, patience time.Duration) (wire.PlacementResponse, error) {
	home, own := d.home(a.Service)
	if own || d.isSilent(home.Name) {
		return d.desk(a.Service).poll(ctx, a.request(d.DataCentre), patience, !own || !d.Hosts.HasMajority()), nil
	}
	ctx, cancel := context.WithTimeout(ctx, patience+answerSlack)
	defer cancel()
	ask := d.encode(a, home)
	ask.Wait = int(patience.Milliseconds())
	answer, err := messenger.Call[wire.PlacementRequest, wire.PlacementResponse](ctx, d.Messenger, home.Address, kindPlace, ask)
	if err != nil && ctx.Err() != context.Canceled {
		d.setSilent(home, err)
	}
	return answer, err
}

func (d *Dispatcher) encode(a Ask, home tracker.Member) wire.PlacementRequest {
	now := d.Clock.Now()
	left := func(t time.Time) int { return int(t.Sub(now).Milliseconds()) }
	return wire.PlacementRequest{
		Service: a.Service, ID: a.ID, Zone: d.DataCentre, Prompt: a.Prompt, Hint: a.Hint, Max: a.MaxOutput, Rank: a.Priority,
		Pause: int(a.MaxPause.Milliseconds()),
		Avoid: a.Avoid, Print: int(a.Fingerprint),
		Age: -left(a.Arrived), First: left(a.FirstBy), Latest: left(a.Latest),
		Sent: d.isRedirected(a.Service) || d.isStandIn(a.Service, home),
	}
}

func (d *Dispatcher) answerPlace(ctx context.Context, w wire.PlacementRequest) (wire.PlacementResponse, error) {
	if home, own := d.Hosts.SteadyHome(homeKey(w.Service), d.isSilent); !own && !w.Sent {
		return wire.PlacementResponse{State: stateMoved, Home: home.Name}, nil
	}
	now := d.Clock.Now()
	a := Ask{
		Service: w.Service, ID: w.ID, Prompt: w.Prompt, Hint: w.Hint, MaxOutput: w.Max, Priority: w.Rank, Fingerprint: uint64(w.Print),
		MaxPause: milliseconds(w.Pause), Avoid: w.Avoid,
		Arrived: now.Add(-milliseconds(w.Age)), FirstBy: now.Add(milliseconds(w.First)), Latest: now.Add(milliseconds(w.Latest)),
	}
	return d.desk(w.Service).poll(ctx, a.request(w.Zone), milliseconds(w.Wait), !d.Hosts.HasMajority()), nil
}

// Tell tells the home how far a generation is.
func (d *Dispatcher) Tell(p Progress) {
	d.note(p)
	home, own := d.home(p.Service)
	d.mu.Lock()
	local := d.desks[p.Service]
	d.mu.Unlock()
	if local != nil {
		local.tell(p)
	}
	if own || d.isSilent(home.Name) {
		return
	}
	t := wire.ProgressReport{
		Service: p.Service, ID: p.ID, Engine: p.Engine, Step: int(p.Step), Output: p.Output, Took: int(p.Took.Milliseconds()),
	}
	if p.Step == Leaves {
		t.Born = p.Born.UnixMilli()
	}
	ctx, cancel := context.WithTimeout(context.Background(), answerSlack)
	defer cancel()
	if err := messenger.Tell(ctx, d.Messenger, home.Address, kindTell, t); err != nil {
		d.setSilent(home, err)
	}
}

// TellLeaving tells the home of a service that an engine has said that it leaves: the store may be out of reach.
func (d *Dispatcher) TellLeaving(e *enlister.Endpoint) {
	go d.Tell(Progress{Service: e.Service, Engine: e.ID, Step: Leaves, Born: e.Born})
}

func (d *Dispatcher) answerTell(_ context.Context, w wire.ProgressReport) (wire.Empty, error) {
	if Step(w.Step) == Leaves {
		d.Endpoints.MarkLeaving(w.Engine, time.UnixMilli(w.Born), "peer")
		return wire.Empty{}, nil
	}
	d.desk(w.Service).tell(Progress{
		Service: w.Service, ID: w.ID, Engine: w.Engine, Step: Step(w.Step), Output: w.Output, Took: milliseconds(w.Took),
	})
	return wire.Empty{}, nil
}
