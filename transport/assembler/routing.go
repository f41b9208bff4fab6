package assembler

import (
	"context"
	"hash/fnv"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/jonboulle/clockwork"
	"github.com/zeromicro/go-zero/rest"

	"github.com/hornbeamspan/hornbeamspan/internal/version"
	"github.com/hornbeamspan/hornbeamspan/parts/coordination/leaser"
	"github.com/hornbeamspan/hornbeamspan/parts/coordination/matcher"
	"github.com/hornbeamspan/hornbeamspan/parts/coordination/tracker"
	"github.com/hornbeamspan/hornbeamspan/transport/callers/listener"
	"github.com/hornbeamspan/hornbeamspan/transport/callers/router"
	"github.com/hornbeamspan/hornbeamspan/transport/endpoints/conductor"
	"github.com/hornbeamspan/hornbeamspan/transport/endpoints/dispatcher"
	"github.com/hornbeamspan/hornbeamspan/transport/endpoints/enlister"
	"github.com/hornbeamspan/hornbeamspan/transport/endpoints/sender"
	"github.com/hornbeamspan/hornbeamspan/transport/eventer"
	"github.com/hornbeamspan/hornbeamspan/transport/hosts/gossiper"
	"github.com/hornbeamspan/hornbeamspan/transport/hosts/isolator"
	"github.com/hornbeamspan/hornbeamspan/transport/hosts/messenger"
	"github.com/hornbeamspan/hornbeamspan/transport/hosts/relayer"
	"github.com/hornbeamspan/hornbeamspan/transport/meter"
	"github.com/hornbeamspan/hornbeamspan/transport/store/configurer"
	"github.com/hornbeamspan/hornbeamspan/transport/store/introducer"
	"github.com/hornbeamspan/hornbeamspan/transport/store/tailer"
)

// Topics names what a routing host follows in the platform's store.
type Topics struct {
	Config    string
	ConfigKey string
	Endpoints string
	// Hosts has the addresses of hosts for each other.
	Hosts string
	// Duties has the holders of engines' orders.
	Duties string
}

// Store is the platform's log.
type Store interface {
	tailer.Log
	conductor.Store
}

// Engines are the calls of model engines beside requests.
type Engines interface {
	dispatcher.Engines
	conductor.Engines
	// Listen has the list of endpoints told what engines say of themselves.
	SetEndpoints(l *enlister.Enlister)
}

// RoutingConfig is the checked configuration of a host whose routes come from the platform's store.
type RoutingConfig struct {
	Name       string
	DataCentre string
	// Power is the processor share in thousandths of a core: stronger hosts are the homes of services.
	Power     int
	Callers   netip.AddrPort
	Ready     netip.AddrPort
	Directory netip.AddrPort
	Peers     netip.AddrPort
	Operators netip.AddrPort
	Seeds     []netip.AddrPort
	PeerKey   string

	Store          Store
	Engines        Engines
	Topics         Topics
	DecodeTable    func([]byte) (*matcher.Table, error)
	DecodeEndpoint enlister.Decode
	Dialect        router.Dialect
	ReadyRoute     func(isReady func() bool) rest.Route
	DirectoryRoute func(choose func(dataCentre string) []netip.AddrPort, lifetime time.Duration) rest.Route

	// Grace is the time from a stop to the end of the process.
	Grace time.Duration
	// MemoryBytes is what the process may use, 0 if that is not known.
	MemoryBytes int64
	// AddressLifetime is the longest time that callers may be told to keep addresses.
	AddressLifetime time.Duration
	// ApplyTime is how soon a configuration or a leaving endpoint must be followed.
	ApplyTime time.Duration
	// ContactTime is how long a silent host may contradict before it is held for dead.
	ContactTime time.Duration
	// Lease bounds the duty of ordering engines.
	Lease leaser.Config
	Retry sender.RetryBudget
	// MaxConnections bounds the open connections of callers, 0 leaves them unbounded.
	MaxConnections int
}

const (
	// lifetimeShare is the part of the grace time that callers keep addresses; some keep them three times as long.
	lifetimeShare = 0.25
	// refuseShare is the part of the grace time after which new streams are refused: they would be cut off.
	refuseShare = 0.35
	// exitShare is the part of the grace time after which the host ends whatever is in flight.
	exitShare = 0.95
	// configWait is how long one read waits for a configuration.
	configWait = 10 * time.Second
	// routingPeriod is the time between heartbeats of a routing host.
	routingPeriod = 500 * time.Millisecond
	// blindAfter is how long the store may be out of reach before others are told: one slow answer is no outage.
	blindAfter = time.Second
	// endpointsLost is the number of endpoints that a request may crash before no host sends it on any more.
	endpointsLost = 3
	// bufferShare is the part of the memory that answers of endpoints may take together while they are read.
	bufferShare = 0.125
	// maxAddresses is how many addresses callers are told.
	maxAddresses = 64
	// drainPoll is the time between two looks at the requests in flight.
	drainPoll = 20 * time.Millisecond
)

// callersName is the name of the listener for callers.
const callersName = "callers"

// RoutingHost is a running host whose routes come from the platform's store.
type RoutingHost struct {
	cfg       RoutingConfig
	logs      hclog.Logger
	clock     clockwork.Clock
	meter     *meter.Meter
	messenger *messenger.Messenger
	config    *configurer.Configurer
	gossiper  *gossiper.Gossiper
	endpoints *enlister.Enlister
	places    *dispatcher.Dispatcher
	orders    *conductor.Conductor
	sender    *sender.Sender
	relay     *relayer.Relayer
	// configTopic and endpointTopic are the log as it is read here, often through another host.
	configTopic   *relayer.Topic
	endpointTopic *relayer.Topic
	router        *router.Router
	listeners     []*listener.Listener
	front         *listener.Listener
	draining      atomic.Bool
	mostHosts     atomic.Int64
	stop          context.CancelFunc
	wait          sync.WaitGroup
	done          chan struct{}
}

// StartRouting builds the parts, listens and runs.
func StartRouting(cfg RoutingConfig, clock clockwork.Clock, logs hclog.Logger) (*RoutingHost, error) {
	h := &RoutingHost{cfg: cfg, logs: logs, clock: clock, meter: meter.New("hornbeamspan"), done: make(chan struct{})}
	h.messenger = messenger.New(cfg.PeerKey, logs, h.meter.Scope)
	h.endpoints = enlister.New(cfg.DecodeEndpoint, clock, logs)
	incarnation := uint64(clock.Now().UnixNano())
	h.config = configurer.New(configurer.Options{
		Key: cfg.Topics.ConfigKey, Decode: cfg.DecodeTable, Apply: h.apply, Logs: logs,
	})
	h.gossiper = gossiper.New(gossiper.Options{
		Self: tracker.Member{
			Name: cfg.Name, Address: cfg.Peers, Callers: cfg.Callers, DataCentre: cfg.DataCentre, Incarnation: incarnation,
			Power: cfg.Power,
		},
		Seeds: cfg.Seeds,
		Config: tracker.Config{
			Period: routingPeriod, AnswerTimeout: time.Duration(answerTimeout * float64(routingPeriod)),
			SuspicionTimeout: cfg.ContactTime, Retention: retention, MaxUpdates: updates,
		},
		IsBlind:   func() bool { return max(h.endpoints.LostFor(), h.relay.LostFor()) > blindAfter },
		Messenger: h.messenger, Rules: h.config, Random: h.random("heartbeats", incarnation),
		Clock: clock, Logs: logs,
	})
	h.relay = relayer.New(relayer.Options{
		Log: cfg.Store, Hosts: h.gossiper, Messenger: h.messenger, ApplyTime: cfg.ApplyTime,
		HasSeeds: slices.ContainsFunc(cfg.Seeds, func(a netip.AddrPort) bool { return a != cfg.Peers }),
		Clock:    clock, Logs: logs, Scope: h.meter.Scope,
	})
	h.configTopic = h.relay.Topic(cfg.Topics.Config, func(string, []byte, []byte) bool { return true })
	h.endpointTopic = h.relay.Topic(cfg.Topics.Endpoints, h.isNews)
	isolate := isolator.New(isolator.Options{
		Deaths: endpointsLost, Keep: suspicionAge, Hosts: h.gossiper, Messenger: h.messenger, Clock: clock, Logs: logs,
	})
	h.endpoints.OnRemoved(isolate.Gone)
	h.endpoints.SetMetrics(h.meter.Scope)
	cfg.Engines.SetEndpoints(h.endpoints)
	h.orders = conductor.New(conductor.Options{
		Holder: cfg.Name, Topic: cfg.Topics.Duties, Lease: cfg.Lease, Store: cfg.Store, Engines: cfg.Engines,
		Clock: clock, Logs: logs,
	})
	h.places = dispatcher.New(dispatcher.Options{
		DataCentre: cfg.DataCentre, Hosts: h.gossiper, Messenger: h.messenger, Endpoints: h.endpoints, Engines: cfg.Engines,
		Orders: h.orders, Describe: h.describe, Clock: clock, Random: h.random("dispatcher", incarnation), Logs: logs,
	})
	h.endpoints.OnLeaving(h.places.ReportLeaving)
	h.sender = sender.New(sender.Options{
		DataCentre: cfg.DataCentre, Dialect: cfg.Dialect, Endpoints: h.endpoints, Isolator: isolate, Hosts: h.sharers, Retry: cfg.Retry,
		BufferBytes: int64(bufferShare * float64(cfg.MemoryBytes)),
		Clock:       clock, Random: h.random("sender", incarnation), Logs: logs, Scope: h.meter.Scope,
	})
	h.router = router.New(router.Options{
		Dialect: cfg.Dialect, Sender: h.sender, Engines: cfg.Engines, Places: h.places,
		Clock: clock, Logs: logs, Scope: h.meter.Scope,
	})
	if err := h.listen(); err != nil {
		return nil, err
	}
	h.run()
	eventer.Info(logs, eventer.Started, "host", cfg.Name, "version", version.Version, "callers", cfg.Callers, "peers", cfg.Peers,
		"operators", cfg.Operators, "zone", cfg.DataCentre)
	return h, nil
}

func (h *RoutingHost) random(part string, incarnation uint64) *rand.Rand {
	f := fnv.New64a()
	_, _ = f.Write([]byte(h.cfg.Name + "/" + part))
	return rand.New(rand.NewPCG(incarnation, f.Sum64()))
}

// apply puts a table in force unless a newer one is.
func (h *RoutingHost) apply(t *matcher.Table) bool {
	if !h.router.SetTable(t) {
		return false
	}
	h.front.SetLimits(listener.Limits{
		HeaderBytes: t.Limits.MaxHeaderBytes, HeaderTimeout: t.Limits.HeaderTimeout, IdleTimeout: t.Limits.IdleTimeout,
	})
	return true
}

// isNews tells whether an endpoint's announcement says more than that it is still there.
func (h *RoutingHost) isNews(id string, old, value []byte) bool {
	before, errBefore := h.cfg.DecodeEndpoint(id, old)
	now, err := h.cfg.DecodeEndpoint(id, value)
	before.Sequence = now.Sequence
	return errBefore != nil || err != nil || before != now
}

// describe returns what the configuration in force says of a service.
func (h *RoutingHost) describe(name string) (matcher.Service, bool) {
	t := h.router.Table()
	if t == nil {
		return matcher.Service{}, false
	}
	s, ok := t.Services[name]
	return s, ok
}

// sharers returns the most hosts that this one has ever seen serving at once: a host that is cut off must not take the
// budget of those it no longer sees.
func (h *RoutingHost) sharers() int {
	n := int64(len(h.gossiper.Serving()))
	for {
		most := h.mostHosts.Load()
		if n <= most || h.mostHosts.CompareAndSwap(most, n) {
			return int(max(n, most))
		}
	}
}

func (h *RoutingHost) listen() error {
	cfg := h.cfg
	for _, o := range []listener.Options{
		{Name: "operators", Address: cfg.Operators, Routes: []rest.Route{{Method: http.MethodGet, Path: "/metrics", Handler: h.meter.Handler.ServeHTTP}}},
		{Name: "ready", Address: cfg.Ready, Routes: []rest.Route{cfg.ReadyRoute(h.IsReady)}},
		{Name: "directory", Address: cfg.Directory, Routes: []rest.Route{cfg.DirectoryRoute(h.addresses, h.lifetime())}},
		{Name: callersName, Address: cfg.Callers, MaxConnections: cfg.MaxConnections, OnConnectionLimit: h.noteCrowd, Subtrees: map[string]http.HandlerFunc{"": h.router.ServeHTTP}},
		// Other hosts may offer a configuration, which needs the listener for callers.
		{Name: "peers", Address: cfg.Peers, Routes: []rest.Route{{Method: http.MethodGet, Path: messenger.Path, Handler: h.messenger.Accept}}},
	} {
		l, err := listener.Listen(o)
		if err != nil {
			return err
		}
		h.listeners = append(h.listeners, l)
		if o.Name == callersName {
			h.front = l
		}
	}
	return nil
}

// noteCrowd logs and counts a connection beyond the bound.
func (h *RoutingHost) noteCrowd(isClosed bool) {
	outcome := "another one made room"
	if isClosed {
		outcome = "closed"
	}
	h.meter.Scope.Tagged(map[string]string{"outcome": outcome}).Counter("crowded_connections").Inc(1)
	eventer.Warn(h.logs, eventer.Crowded, "bound", h.cfg.MaxConnections, "outcome", outcome)
}

func (h *RoutingHost) lifetime() time.Duration {
	return min(time.Duration(lifetimeShare*float64(h.cfg.Grace)), h.cfg.AddressLifetime)
}

// IsReady tells whether new callers are welcome.
func (h *RoutingHost) IsReady() bool {
	select {
	case <-h.endpoints.Ready():
	default:
		return false
	}
	return !h.draining.Load() && h.router.Table() != nil
}

// addresses returns the hosts that callers may use.
func (h *RoutingHost) addresses(string) []netip.AddrPort {
	var list []netip.AddrPort
	for _, m := range h.gossiper.Serving() {
		list = append(list, m.Callers)
	}
	rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	return list[:min(len(list), maxAddresses)]
}

func (h *RoutingHost) run() {
	ctx, stop := context.WithCancel(context.Background())
	h.stop = stop
	config := tailer.New(tailer.Options{
		Log: h.configTopic, Topic: h.cfg.Topics.Config, Sink: h.config, Wait: configWait, Clock: h.clock, Logs: h.logs,
	})
	introducing := introducer.New(introducer.Options{
		Topic: h.cfg.Topics.Hosts, Host: h.cfg.Name, Address: h.cfg.Peers, Store: h.cfg.Store, Hosts: h.gossiper,
		Clock: h.clock, Logs: h.logs,
	})
	endpoints := tailer.New(tailer.Options{
		Log: h.endpointTopic, Topic: h.cfg.Topics.Endpoints, Sink: h.endpoints, Clock: h.clock, Logs: h.logs,
		OnEra: func(era uint64) {
			h.orders.SeeEra(era)
			introducing.SeeEra(era)
		},
	})
	for _, part := range []func(context.Context){config.Run, endpoints.Run, h.endpoints.Run, h.gossiper.Run, introducing.Run} {
		h.wait.Go(func() { part(ctx) })
	}
}

// SetRetry puts another budget of extra sends in force.
func (h *RoutingHost) SetRetry(b sender.RetryBudget) { h.sender.SetRetry(b) }

// Drain leaves the addresses given to callers, serves those who still come, and stops within the grace time.
func (h *RoutingHost) Drain(ctx context.Context) {
	begun := h.clock.Now()
	h.draining.Store(true)
	h.router.Drain()
	eventer.Info(h.logs, eventer.Draining, "host", h.cfg.Name, "inflight", h.router.InFlight())
	h.gossiper.Leave(ctx)
	at := func(share float64) time.Time { return begun.Add(time.Duration(share * float64(h.cfg.Grace))) }
	h.sleepUntil(ctx, at(refuseShare))
	h.router.RefuseStreams()
	h.sleepUntil(ctx, at(3*lifetimeShare))
	for h.router.InFlight() > 0 && h.clock.Now().Before(at(exitShare)) && ctx.Err() == nil {
		h.sleepUntil(ctx, h.clock.Now().Add(drainPoll))
	}
	h.Close(ctx)
}

func (h *RoutingHost) sleepUntil(ctx context.Context, at time.Time) {
	select {
	case <-ctx.Done():
	case <-h.clock.After(at.Sub(h.clock.Now())):
	}
}

// Close stops all parts.
func (h *RoutingHost) Close(ctx context.Context) {
	shutdown, cancel := context.WithTimeout(ctx, drainPoll)
	_ = h.front.Shutdown(shutdown)
	cancel()
	h.stop()
	h.places.Close()
	for _, l := range h.listeners {
		l.Close()
	}
	h.messenger.Close()
	h.meter.Close()
	eventer.Info(h.logs, eventer.Stopped, "host", h.cfg.Name, "inflight", h.router.InFlight())
	close(h.done)
}

// Done is closed once the host has stopped.
func (h *RoutingHost) Done() <-chan struct{} { return h.done }
