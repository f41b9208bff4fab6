package hostrunner

import (
	"context"
	"errors"
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

	"github.com/hornbeamspan/hornbeamspan/internal/timekeeper"
	"github.com/hornbeamspan/hornbeamspan/internal/version"
	"github.com/hornbeamspan/hornbeamspan/parts/coordination/authorizer"
	"github.com/hornbeamspan/hornbeamspan/parts/coordination/drainer"
	"github.com/hornbeamspan/hornbeamspan/parts/coordination/leaser"
	"github.com/hornbeamspan/hornbeamspan/parts/coordination/matcher"
	"github.com/hornbeamspan/hornbeamspan/parts/coordination/tracker"
	"github.com/hornbeamspan/hornbeamspan/transport/callers/listener"
	"github.com/hornbeamspan/hornbeamspan/transport/callers/router"
	"github.com/hornbeamspan/hornbeamspan/transport/endpoints/discoverer"
	"github.com/hornbeamspan/hornbeamspan/transport/endpoints/dispatcher"
	"github.com/hornbeamspan/hornbeamspan/transport/endpoints/permitter"
	"github.com/hornbeamspan/hornbeamspan/transport/endpoints/registrar"
	"github.com/hornbeamspan/hornbeamspan/transport/endpoints/sender"
	"github.com/hornbeamspan/hornbeamspan/transport/endpoints/stageswitcher"
	"github.com/hornbeamspan/hornbeamspan/transport/eventlogger"
	"github.com/hornbeamspan/hornbeamspan/transport/hosts/gossiper"
	"github.com/hornbeamspan/hornbeamspan/transport/hosts/isolator"
	"github.com/hornbeamspan/hornbeamspan/transport/hosts/messenger"
	"github.com/hornbeamspan/hornbeamspan/transport/hosts/relayer"
	"github.com/hornbeamspan/hornbeamspan/transport/meter"
	"github.com/hornbeamspan/hornbeamspan/transport/store/configurer"
	"github.com/hornbeamspan/hornbeamspan/transport/store/introducer"
	"github.com/hornbeamspan/hornbeamspan/transport/store/tailer"
)

// Topics are the names of the topics and keys that a routing host uses in the platform's store.
type Topics struct {
	Config    string
	ConfigKey string
	Endpoints string
	// Hosts holds the peer addresses of hosts, for their discovery of each other.
	Hosts string
	// EngineLeases holds the leases for sending orders to engines.
	EngineLeases string
	// Versions holds the software versions at which streams may begin, Origins those that began recent streams.
	Versions string
	Origins  string
}

// Store provides access to the platform's log.
type Store interface {
	tailer.Log
	stageswitcher.Store
}

// Engines provides the calls to model engines other than requests.
type Engines interface {
	dispatcher.Engines
	stageswitcher.Engines
	// SetEndpoints sets the endpoint registry that is notified of what engines report about themselves.
	SetEndpoints(d *discoverer.Discoverer)
}

// RoutingConfig is the validated configuration of a host whose routes come from the platform's store.
type RoutingConfig struct {
	Name       string
	DataCentre string
	// Power is the CPU share in thousandths of a core. Services are owned by hosts with a larger share.
	Power     int
	Callers   netip.AddrPort
	Ready     netip.AddrPort
	Directory netip.AddrPort
	Peers     netip.AddrPort
	// Advertised is the address that other hosts use instead of Peers, if set.
	Advertised netip.AddrPort
	Operators  netip.AddrPort
	Seeds      []netip.AddrPort
	PeerKey    string

	Store          Store
	Engines        Engines
	Topics         Topics
	DecodeTable    func([]byte) (*matcher.Table, error)
	DecodeEndpoint discoverer.Decode
	Dialect        router.Dialect
	ReadyRoute     func(isReady func() bool) rest.Route
	DirectoryRoute func(choose func(dataCentre string) []netip.AddrPort, lifetime time.Duration) rest.Route

	// IsFirstStart is set if the whole system starts for the first time.
	IsFirstStart bool
	// Grace is the time from the stop signal to the end of the process.
	Grace time.Duration
	// MemoryBytes is the memory limit of the process, 0 if unknown.
	MemoryBytes int64
	// AddressLifetime is the longest lifetime that callers are given for addresses.
	AddressLifetime time.Duration
	// ApplyTime is the time within which a new configuration or a leaving endpoint must take effect.
	ApplyTime time.Duration
	// RenewalInterval is how often endpoints renew their entries in the store, 0 if unknown.
	RenewalInterval time.Duration
	// RevocationTime is the time after which no host may run a request with a key that was taken away, 0 if that is not required.
	RevocationTime time.Duration
	// QuotaTolerance is what hosts may send beyond the quotas of organisations.
	QuotaTolerance permitter.Tolerance
	// ContactTime is how long a host that does not answer is suspected, and may refute it, before it is declared dead.
	ContactTime time.Duration
	// Lease configures the leases for sending orders to engines.
	Lease leaser.Config
	Retry sender.RetryBudget
	// MaxConnections is the maximum number of open connections of callers, 0 for no limit.
	MaxConnections int
}

const (
	// configPollTimeout is how long one read of the log waits for a new configuration.
	configPollTimeout = 10 * time.Second
	// confirmFraction is the fraction of the revocation time for which a read of the log waits for a new configuration. A host learns the
	// result after two such waits at most.
	confirmFraction = 0.2
	// routingHeartbeatPeriod is the time between heartbeats of a routing host.
	routingHeartbeatInterval = 500 * time.Millisecond
	// logUnreachableAfter is how long the log must be unreachable before the host announces it to others. A single slow
	// answer is not an outage.
	logUnreachableAfter = time.Second
	// lapseIntervals is the number of renewal intervals after which the first entries expire in an outage of the store: three
	// renewals are missing then, and one of them was due when the outage began.
	lapseIntervals = 2
	// endpointCrashLimit is the number of endpoints that a request, or requests with a part in common, may crash before all hosts
	// stop forwarding them.
	endpointCrashLimit = 3
	// bufferFraction is the fraction of the memory limit available to buffers for the answers of endpoints.
	bufferFraction = 0.125
	// bodiesFraction is the fraction of the memory limit available to the bodies of requests.
	bodiesFraction = 0.4
	// maxAddresses is the maximum number of addresses given to callers.
	maxAddresses = 64
	// drainPollInterval is the time between checks for requests in flight.
	drainPollInterval = 20 * time.Millisecond
	// closeTime is how long a host that does not drain waits for the answers to requests that it has aborted.
	closeTime = 100 * time.Millisecond
)

// callersListenerName identifies the listener whose limits follow the configuration.
const callersListenerName = "callers"

// RoutingHost is a running entry host whose routes come from the platform's store.
type RoutingHost struct {
	cfg           RoutingConfig
	logs          hclog.Logger
	clock         clockwork.Clock
	meter         *meter.Meter
	messenger     *messenger.Messenger
	configurer    *configurer.Configurer
	gossiper      *gossiper.Gossiper
	endpoints     *discoverer.Discoverer
	dispatcher    *dispatcher.Dispatcher
	permitter     *permitter.Permitter
	isolator      *isolator.Isolator
	stageSwitcher *stageswitcher.Switcher
	sender        *sender.Sender
	relayer       *relayer.Relayer
	// configTopic and endpointTopic read the log, often through another host.
	configTopic   *relayer.Topic
	endpointTopic *relayer.Topic
	versionTopic  *relayer.Topic
	registrar     *registrar.Registrar
	// streamServices are the services with streams of the routing table that was asked for last.
	streamServices  atomic.Pointer[streamServices]
	router          *router.Router
	listeners       []*listener.Listener
	callersListener *listener.Listener
	stop            context.CancelFunc
	wg              sync.WaitGroup
	done            chan struct{}
}

// peerAddress returns the address at which other hosts reach this one.
func (cfg RoutingConfig) peerAddress() netip.AddrPort {
	if cfg.Advertised.IsValid() {
		return cfg.Advertised
	}
	return cfg.Peers
}

// StartRouting assembles the components, opens the listeners and starts the background loops.
func StartRouting(cfg RoutingConfig, clock clockwork.Clock, logs hclog.Logger) (*RoutingHost, error) {
	rh := &RoutingHost{cfg: cfg, logs: logs, clock: clock, meter: meter.New("hornbeamspan"), done: make(chan struct{})}
	rh.messenger = messenger.New(cfg.PeerKey, logs, rh.meter.Scope)
	rh.messenger.Identify(cfg.Name)
	rh.endpoints = discoverer.New(cfg.DecodeEndpoint, clock, logs)
	incarnation := uint64(clock.Now().UnixNano())
	uptime := timekeeper.System{}
	rh.configurer = configurer.New(configurer.Options{
		Key: cfg.Topics.ConfigKey, Decode: cfg.DecodeTable, Apply: rh.apply, Uptime: uptime, Logs: logs,
		ConfirmedAt: func() time.Duration { return rh.configTopic.ConfirmedAt() },
	})
	rh.gossiper = gossiper.New(gossiper.Options{
		Self: tracker.Member{
			Name: cfg.Name, Address: cfg.peerAddress(), Callers: cfg.Callers, DataCentre: cfg.DataCentre, Incarnation: incarnation,
			Power: cfg.Power,
		},
		Seeds: cfg.Seeds,
		Config: tracker.Config{
			Interval: routingHeartbeatInterval, AnswerTimeout: time.Duration(answerTimeoutFraction * float64(routingHeartbeatInterval)),
			SuspicionTimeout: cfg.ContactTime, Retention: deadHostRetention, MaxUpdates: maxUpdates,
		},
		IsLogUnreachable: func() bool { return max(rh.endpoints.LostFor(), rh.relayer.LostFor()) > logUnreachableAfter },
		Messenger:        rh.messenger, Rules: rh.configurer, Random: rh.newRand("heartbeats", incarnation),
		Clock: clock, Logs: logs,
	})
	rh.relayer = relayer.New(relayer.Options{
		Log: cfg.Store, Hosts: rh.gossiper, Messenger: rh.messenger, ApplyTime: cfg.ApplyTime, LapseTime: lapseIntervals * cfg.RenewalInterval,
		HasSeeds: slices.ContainsFunc(cfg.Seeds, func(a netip.AddrPort) bool { return a != cfg.peerAddress() }),
		Clock:    clock, Logs: logs, Scope: rh.meter.Scope,
	})
	rh.configTopic = rh.relayer.Topic(cfg.Topics.Config, func(string, []byte, []byte) bool { return true })
	rh.endpointTopic = rh.relayer.Topic(cfg.Topics.Endpoints, rh.isChange)
	rh.versionTopic = rh.relayer.Topic(cfg.Topics.Versions, func(string, []byte, []byte) bool { return true })
	rh.registrar = registrar.New(registrar.Options{
		VersionTopic: cfg.Topics.Versions, OriginTopic: cfg.Topics.Origins, IsFirstStart: cfg.IsFirstStart, Hosts: rh.gossiper,
		Messenger: rh.messenger, Endpoints: rh.endpoints, Store: cfg.Store, Services: rh.servicesWithStreams,
		Clock: clock, Logs: logs, Scope: rh.meter.Scope,
	})
	rh.isolator = isolator.New(isolator.Options{
		RequestLimit: endpointCrashLimit, PartLimit: endpointCrashLimit, Retention: suspectRetention, ContactTime: cfg.ContactTime, Hosts: rh.gossiper, Messenger: rh.messenger,
		Clock: clock, Random: rh.newRand("isolator", incarnation), Logs: logs,
	})
	rh.endpoints.OnRemoved(func(id string) {
		rh.isolator.RecordEnd(id)
		rh.registrar.Forget(id)
	})
	rh.endpoints.OnVersionChanged(rh.registrar.Doubt)
	rh.endpoints.SetMetrics(rh.meter.Scope)
	cfg.Engines.SetEndpoints(rh.endpoints)
	rh.stageSwitcher = stageswitcher.New(stageswitcher.Options{
		Holder: cfg.Name, Topic: cfg.Topics.EngineLeases, Lease: cfg.Lease, Store: cfg.Store, Engines: cfg.Engines,
		Clock: clock, Logs: logs,
	})
	rh.permitter = permitter.New(permitter.Options{
		Host: cfg.Name, Hosts: rh.gossiper, Messenger: rh.messenger, Endpoints: rh.endpoints, MaxHosts: rh.gossiper.MaxServing,
		Quota: rh.quota, Tolerance: cfg.QuotaTolerance,
		TakeoverTime: cfg.ContactTime, Clock: clock, Logs: logs, Scope: rh.meter.Scope,
	})
	rh.endpoints.OnLimit(rh.permitter.ReportLimit)
	rh.dispatcher = dispatcher.New(dispatcher.Options{
		DataCentre: cfg.DataCentre, Hosts: rh.gossiper, Messenger: rh.messenger, Endpoints: rh.endpoints, Engines: cfg.Engines, Permits: rh.permitter,
		Admits: rh.registrar.Admits,
		Orders: rh.stageSwitcher, Describe: rh.service, Clock: clock, Random: rh.newRand("dispatcher", incarnation), Logs: logs,
	})
	rh.endpoints.OnLeaving(rh.dispatcher.ReportLeaving)
	rh.sender = sender.New(sender.Options{
		DataCentre: cfg.DataCentre, Dialect: cfg.Dialect, Endpoints: rh.endpoints, Isolator: rh.isolator, Hosts: rh.gossiper.MaxServing, Retry: cfg.Retry,
		Permits:     rh.permitter,
		BufferBytes: int64(bufferFraction * float64(cfg.MemoryBytes)),
		Clock:       clock, Random: rh.newRand("sender", incarnation), Logs: logs, Scope: rh.meter.Scope,
	})
	rh.router = router.New(router.Options{
		Dialect: cfg.Dialect, Sender: rh.sender, Engines: cfg.Engines, Dispatcher: rh.dispatcher, Origins: rh.registrar,
		Quotas: rh.permitter, Authorizer: authorizer.Authorizer{MaxAge: cfg.RevocationTime}, ConfigAge: rh.configurer.Age, Uptime: uptime,
		BodiesBytes: int64(bodiesFraction * float64(cfg.MemoryBytes)),
		Clock:       clock, Logs: logs, Scope: rh.meter.Scope,
	})
	if err := rh.listen(); err != nil {
		return nil, err
	}
	rh.run()
	eventlogger.Info(logs, eventlogger.Started, "host", cfg.Name, "version", version.Version, "callers", cfg.Callers, "peers", cfg.Peers,
		"operators", cfg.Operators, "zone", cfg.DataCentre)
	return rh, nil
}

func (rh *RoutingHost) newRand(component string, incarnation uint64) *rand.Rand {
	f := fnv.New64a()
	_, _ = f.Write([]byte(rh.cfg.Name + "/" + component))
	return rand.New(rand.NewPCG(incarnation, f.Sum64()))
}

// apply activates a routing table and its limits unless a newer table is active.
func (rh *RoutingHost) apply(t *matcher.Table) bool {
	if !rh.router.SetTable(t) {
		return false
	}
	rh.callersListener.SetLimits(listener.Limits{
		HeaderBytes: t.Limits.MaxHeaderBytes, HeaderTimeout: t.Limits.HeaderTimeout, IdleTimeout: t.Limits.IdleTimeout,
	})
	return true
}

// isChange reports whether the announcement of an endpoint differs from its previous one in more than the heartbeat.
func (rh *RoutingHost) isChange(id string, old, value []byte) bool {
	before, errBefore := rh.cfg.DecodeEndpoint(id, old)
	now, err := rh.cfg.DecodeEndpoint(id, value)
	before.Sequence = now.Sequence
	return errBefore != nil || err != nil || before != now
}

// streamServices are the services of a table's routes with streams.
type streamServices struct {
	table *matcher.Table
	names []string
}

func (rh *RoutingHost) servicesWithStreams() []string {
	t := rh.router.Table()
	if t == nil {
		return nil
	}
	services := rh.streamServices.Load()
	if services == nil || services.table != t {
		services = &streamServices{table: t, names: t.StreamServices()}
		rh.streamServices.Store(services)
	}
	return services.names
}

// service returns the configuration of a service, and false if there is none.
func (rh *RoutingHost) service(name string) (matcher.Service, bool) {
	t := rh.router.Table()
	if t == nil {
		return matcher.Service{}, false
	}
	s, ok := t.Services[name]
	return s, ok
}

// quota returns the quota of an organisation, which is not set if there is no such organisation.
func (rh *RoutingHost) quota(organisation string) matcher.Quota {
	if t := rh.router.Table(); t != nil {
		if o := t.Organisation(organisation); o != nil {
			return o.Quota
		}
	}
	return matcher.Quota{}
}

// configWait returns how long one read of the log waits for a new configuration.
func (rh *RoutingHost) configWait() time.Duration {
	if rh.cfg.RevocationTime <= 0 {
		return configPollTimeout
	}
	return min(configPollTimeout, time.Duration(confirmFraction*float64(rh.cfg.RevocationTime)))
}

func (rh *RoutingHost) listen() error {
	cfg := rh.cfg
	for _, o := range []listener.Options{
		{Name: "operators", Address: cfg.Operators, Routes: []rest.Route{{Method: http.MethodGet, Path: "/metrics", Handler: rh.meter.Handler.ServeHTTP}}},
		{Name: "ready", Address: cfg.Ready, Routes: []rest.Route{cfg.ReadyRoute(rh.IsReady)}},
		{Name: "directory", Address: cfg.Directory, Routes: []rest.Route{cfg.DirectoryRoute(rh.addresses, rh.lifetime())}},
		{Name: callersListenerName, Address: cfg.Callers, MaxConnections: cfg.MaxConnections, OnConnectionLimit: rh.onConnectionLimit, Subtrees: map[string]http.HandlerFunc{"": rh.router.ServeHTTP}},
		// The listener for peers comes last: another host may send a configuration, which sets limits on the listener for callers.
		{Name: "peers", Address: cfg.Peers, Routes: []rest.Route{{Method: http.MethodGet, Path: messenger.Path, Handler: rh.messenger.Accept}}},
	} {
		l, err := listener.Listen(o)
		if err != nil {
			return err
		}
		rh.listeners = append(rh.listeners, l)
		if o.Name == callersListenerName {
			rh.callersListener = l
		}
	}
	return nil
}

// IsReady reports whether the host has read the endpoint list, has a routing table, may begin streams and is not draining.
func (rh *RoutingHost) IsReady() bool {
	select {
	case <-rh.endpoints.Ready():
	default:
		return false
	}
	return !rh.router.IsDraining() && rh.router.Table() != nil && rh.registrar.IsReady()
}

func (rh *RoutingHost) run() {
	ctx, stop := context.WithCancel(context.Background())
	rh.stop = stop
	config := tailer.New(tailer.Options{
		Log: rh.configTopic, Topic: rh.cfg.Topics.Config, Sink: rh.configurer, Wait: rh.configWait(), Clock: rh.clock, Logs: rh.logs,
	})
	introducing := introducer.New(introducer.Options{
		Topic: rh.cfg.Topics.Hosts, Host: rh.cfg.Name, Address: rh.cfg.peerAddress(), Store: rh.cfg.Store, Hosts: rh.gossiper,
		Clock: rh.clock, Logs: rh.logs,
	})
	endpoints := tailer.New(tailer.Options{
		Log: rh.endpointTopic, Topic: rh.cfg.Topics.Endpoints, Sink: rh.endpoints, Clock: rh.clock, Logs: rh.logs,
		OnEra: func(era uint64) {
			rh.stageSwitcher.SetEra(era)
			introducing.SetEra(era)
		},
	})
	versions := tailer.New(tailer.Options{
		Log: rh.versionTopic, Topic: rh.cfg.Topics.Versions, Sink: rh.registrar, Wait: configPollTimeout, Clock: rh.clock, Logs: rh.logs,
	})
	for _, run := range []func(context.Context){config.Run, endpoints.Run, versions.Run, rh.registrar.Run, rh.endpoints.Run, rh.gossiper.Run, introducing.Run, rh.permitter.Run, rh.isolator.Run} {
		rh.wg.Go(func() { run(ctx) })
	}
}

// SetRetry replaces the budget for extra sends to endpoints.
func (rh *RoutingHost) SetRetry(b sender.RetryBudget) { rh.sender.SetRetry(b) }

// Drain removes the host from the addresses given to callers, serves callers that still use it, and stops within the
// grace time. Every request that it reads gets an answer. It returns when the last wait of the process must end.
func (rh *RoutingHost) Drain(ctx context.Context) (end time.Time) {
	schedule := drainer.New(rh.clock.Now(), rh.cfg.Grace)
	rh.router.Drain(schedule)
	eventlogger.Info(rh.logs, eventlogger.Draining, "host", rh.cfg.Name, "inflight", rh.router.InFlight())
	rh.gossiper.Leave(ctx)
	rh.sleepUntil(ctx, schedule.TakeUntil())
	rh.router.Refuse()
	rh.awaitAnswers(ctx, schedule.AbortAt())
	rh.router.Abort()
	rh.closeAt(ctx, schedule.CloseAt(), schedule.EndAt())
	return schedule.EndAt()
}

// awaitAnswers waits until no request is in flight, at most until end.
func (rh *RoutingHost) awaitAnswers(ctx context.Context, end time.Time) {
	for rh.router.InFlight() > 0 && rh.clock.Now().Before(end) && ctx.Err() == nil {
		rh.sleepUntil(ctx, rh.clock.Now().Add(drainPollInterval))
	}
}

func (rh *RoutingHost) sleepUntil(ctx context.Context, at time.Time) {
	select {
	case <-ctx.Done():
	case <-rh.clock.After(at.Sub(rh.clock.Now())):
	}
}

// Close aborts the requests in flight and stops all components.
func (rh *RoutingHost) Close(ctx context.Context) {
	rh.router.Refuse()
	rh.router.Abort()
	rh.closeAt(ctx, rh.clock.Now().Add(closeTime), rh.clock.Now().Add(2*closeTime))
}

// closeAt closes the connections of callers, at once those without a request and at the given time at the latest those that still get an
// answer. Then it stops all components, and waits for them until end.
func (rh *RoutingHost) closeAt(ctx context.Context, at, end time.Time) {
	shutdown, cancel := context.WithTimeout(ctx, at.Sub(rh.clock.Now()))
	err := rh.callersListener.Shutdown(shutdown)
	cancel()
	var open *listener.OpenConnectionsError
	unfinished := 0
	if errors.As(err, &open) {
		unfinished = open.Count
	}
	rh.stop()
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		rh.stopComponents()
	}()
	select {
	case <-stopped:
	case <-rh.clock.After(end.Sub(rh.clock.Now())):
	}
	eventlogger.Info(rh.logs, eventlogger.Stopped, "host", rh.cfg.Name, "inflight", rh.router.InFlight(),
		"aborted", rh.router.Aborted(), "unfinished", unfinished)
	close(rh.done)
}

// stopComponents ends the connections with callers and other hosts, and reports the last metrics.
func (rh *RoutingHost) stopComponents() {
	rh.dispatcher.Close()
	rh.isolator.Close()
	for _, l := range rh.listeners {
		l.Close()
	}
	rh.messenger.Close()
	rh.meter.Close()
}

// Done returns a channel that is closed when the host has stopped.
func (rh *RoutingHost) Done() <-chan struct{} { return rh.done }
