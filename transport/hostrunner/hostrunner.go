// Package hostrunner assembles the components of an entry host, runs them and drains the host.
package hostrunner

import (
	"context"
	"crypto/tls"
	"hash/fnv"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/jonboulle/clockwork"
	"github.com/zeromicro/go-zero/rest"

	"github.com/hornbeamspan/hornbeamspan/internal/version"
	"github.com/hornbeamspan/hornbeamspan/parts/coordination/enroller"
	"github.com/hornbeamspan/hornbeamspan/parts/coordination/parser"
	"github.com/hornbeamspan/hornbeamspan/parts/coordination/tracker"
	"github.com/hornbeamspan/hornbeamspan/transport/callers/administrator"
	"github.com/hornbeamspan/hornbeamspan/transport/callers/executor"
	"github.com/hornbeamspan/hornbeamspan/transport/callers/listener"
	"github.com/hornbeamspan/hornbeamspan/transport/callers/responder"
	"github.com/hornbeamspan/hornbeamspan/transport/callers/superseder"
	"github.com/hornbeamspan/hornbeamspan/transport/endpoints/canceller"
	"github.com/hornbeamspan/hornbeamspan/transport/endpoints/discoverer"
	"github.com/hornbeamspan/hornbeamspan/transport/endpoints/generator"
	"github.com/hornbeamspan/hornbeamspan/transport/endpoints/hostlistclient"
	"github.com/hornbeamspan/hornbeamspan/transport/endpoints/orphancanceller"
	"github.com/hornbeamspan/hornbeamspan/transport/endpoints/reserver"
	"github.com/hornbeamspan/hornbeamspan/transport/endpoints/sender"
	"github.com/hornbeamspan/hornbeamspan/transport/endpoints/watcher"
	"github.com/hornbeamspan/hornbeamspan/transport/eventlogger"
	"github.com/hornbeamspan/hornbeamspan/transport/hosts/gossiper"
	"github.com/hornbeamspan/hornbeamspan/transport/hosts/isolator"
	"github.com/hornbeamspan/hornbeamspan/transport/hosts/messenger"
	"github.com/hornbeamspan/hornbeamspan/transport/meter"
	"github.com/hornbeamspan/hornbeamspan/transport/store/auditor"
	"github.com/hornbeamspan/hornbeamspan/transport/store/keyowner"
	"github.com/hornbeamspan/hornbeamspan/transport/store/logclient"
	"github.com/hornbeamspan/hornbeamspan/transport/store/rulepublisher"
)

// Config is the validated configuration of an entry host.
type Config struct {
	Name               string
	DataCentre         string
	Callers            netip.AddrPort
	Operators          netip.AddrPort
	Peers              netip.AddrPort
	Seeds              []netip.AddrPort
	Log                netip.AddrPort
	Hosts              netip.AddrPort
	PeerKey            string
	OperatorKey        string
	TLS                *tls.Config
	Policy             generator.Policy
	OnceStreams        int
	OnceRetention      time.Duration
	OnceInterval       time.Duration
	CheckpointInterval time.Duration
	AddressLifetime    time.Duration
	DrainTimeout       time.Duration
	HostListInterval   time.Duration
	LoadInterval       time.Duration
	MeanSlotTime       time.Duration
	HeartbeatInterval  time.Duration
	SuspicionTimeout   time.Duration
	Seed               uint64
}

const (
	// answerTimeoutFraction is the fraction of the heartbeat period within which a ping must be answered.
	answerTimeoutFraction = 0.8
	// deadHostRetention is how long dead hosts stay in the member list.
	deadHostRetention = 2 * time.Minute
	// engineCrashLimit is the number of engines that a request may crash before it is refused.
	engineCrashLimit = 2
	// suspectRetention is how long the crash count of a request is kept after its last crash.
	suspectRetention = 10 * time.Minute
	// maxUpdates is the number of membership updates in one heartbeat.
	maxUpdates = 6
)

// serviceRetryBudget bounds the repeated sends of a host to a service: a tenth of the first sends, plus ten in ten seconds.
var serviceRetryBudget = sender.RetryBudget{Ratio: 0.1, Allowance: 10, Window: 10 * time.Second}

// Host is a running entry host that is configured by flags and the rule file.
type Host struct {
	cfg             Config
	clock           clockwork.Clock
	logs            hclog.Logger
	meter           *meter.Meter
	messenger       *messenger.Messenger
	rules           *rulepublisher.Publisher
	gossiper        *gossiper.Gossiper
	watcher         *watcher.Watcher
	endpoints       *discoverer.Discoverer
	isolator        *isolator.Isolator
	sender          *sender.Sender
	keyOwner        *keyowner.Owner
	reserver        *reserver.Reserver
	canceller       *canceller.Canceller
	auditor         *auditor.Auditor
	orphanCanceller *orphancanceller.Canceller
	responder       *responder.Responder
	callers         *listener.Listener
	operators       *listener.Listener
	peers           *listener.Listener
	// listingCount is the number of listings received from the host list, which orders them for the endpoint registry.
	listingCount uint64
	draining     atomic.Bool
	stop         context.CancelFunc
	wg           sync.WaitGroup
	done         chan struct{}
}

// Start assembles the components, opens the listeners and starts the background loops.
func Start(cfg Config, logs hclog.Logger) (*Host, error) {
	h := &Host{cfg: cfg, clock: clockwork.NewRealClock(), logs: logs, meter: meter.New("hornbeamspan"), done: make(chan struct{})}
	incarnation := uint64(h.clock.Now().UnixNano())
	log := logclient.New(cfg.Log)
	h.messenger = messenger.New(cfg.PeerKey, logs, h.meter.Scope)
	h.messenger.Identify(cfg.Name)
	h.rules = rulepublisher.New(rulepublisher.Options{Log: log, Logs: logs, CheckpointInterval: cfg.CheckpointInterval, Clock: h.clock, IsOwner: func() bool { return h.isOwner(rulepublisher.Stream) }})
	callers, err := bind(cfg.Callers)
	if err != nil {
		return nil, err
	}
	peers, err := bind(cfg.Peers)
	if err != nil {
		callers.close()
		return nil, err
	}
	h.buildHosts(incarnation, callers.AddrPort, peers.AddrPort)
	h.buildEndpoints()
	h.auditor = auditor.New(cfg.Name, log, h.clock, logs)
	h.keyOwner = keyowner.New(keyowner.Options{
		Log: log, Logs: logs, Streams: cfg.OnceStreams, Retention: cfg.OnceRetention, AppendInterval: cfg.OnceInterval,
		CheckpointInterval: cfg.CheckpointInterval, IsOwner: h.isOwner, Clock: h.clock,
	})
	h.buildResponder(incarnation)
	if err := h.listen(callers, peers); err != nil {
		callers.close()
		peers.close()
		return nil, err
	}
	h.run()
	eventlogger.Info(logs, eventlogger.Started, "host", cfg.Name, "version", version.Version,
		"callers", h.callers.Address(), "operators", h.operators.Address(), "peers", h.peers.Address())
	h.auditor.Record(cfg.Name, "host.start", cfg.Name, version.Version)
	return h, nil
}

// newRand returns a random source that is different for each host and component but reproducible for a seed.
func (h *Host) newRand(component string) *rand.Rand {
	f := fnv.New64a()
	_, _ = f.Write([]byte(h.cfg.Name + "/" + component))
	return rand.New(rand.NewPCG(h.cfg.Seed, f.Sum64()))
}

func (h *Host) isOwner(stream string) bool {
	_, own := h.gossiper.Owner(stream)
	return own
}

func (h *Host) buildHosts(incarnation uint64, callers, peers netip.AddrPort) {
	h.gossiper = gossiper.New(gossiper.Options{
		Self: tracker.Member{
			Name: h.cfg.Name, Address: peers, Callers: callers, DataCentre: h.cfg.DataCentre, Incarnation: incarnation,
		},
		Seeds: h.cfg.Seeds,
		Config: tracker.Config{
			Interval:         h.cfg.HeartbeatInterval,
			AnswerTimeout:    time.Duration(answerTimeoutFraction * float64(h.cfg.HeartbeatInterval)),
			SuspicionTimeout: h.cfg.SuspicionTimeout,
			Retention:        deadHostRetention,
			MaxUpdates:       maxUpdates,
		},
		Messenger: h.messenger, Rules: h.rules, Random: h.newRand("heartbeats"), Clock: h.clock, Logs: h.logs,
	})
}

func (h *Host) buildEndpoints() {
	h.watcher = watcher.New(watcher.Options{
		Hosts: hostlistclient.New(h.cfg.Hosts), ListInterval: h.cfg.HostListInterval, LoadInterval: h.cfg.LoadInterval,
		IsEngine: h.isEngine, IsOwned: h.isOwned, OnListing: h.applyListing, OnReport: func(e watcher.Endpoint) { h.reserver.Report(e) },
		Clock: h.clock, Logs: h.logs,
	})
	h.reserver = reserver.New(reserver.Options{
		Hosts: h.gossiper, Messenger: h.messenger, MeanServiceTime: h.cfg.MeanSlotTime, Clock: h.clock,
	})
	h.canceller = canceller.New(h.clock, h.logs)
	h.orphanCanceller = orphancanceller.New(h.gossiper, h.watcher, h.canceller, h.clock, h.logs)
	h.isolator = isolator.New(isolator.Options{
		RequestLimit: engineCrashLimit, PartLimit: engineCrashLimit, Retention: suspectRetention, ContactTime: h.cfg.SuspicionTimeout, Hosts: h.gossiper, Messenger: h.messenger,
		Clock: h.clock, Random: h.newRand("isolator"), Logs: h.logs,
	})
	h.endpoints = discoverer.New(nil, h.clock, h.logs)
	h.endpoints.OnRemoved(h.isolator.RecordEnd)
	h.sender = sender.New(sender.Options{
		DataCentre: h.cfg.DataCentre, Dialect: responder.Dialect{}, Endpoints: h.endpoints, Isolator: h.isolator,
		Hosts: func() int { return 1 }, Retry: serviceRetryBudget, Clock: h.clock, Random: h.newRand("services"), Logs: h.logs,
		Scope: h.meter.Scope,
	})
}

// applyListing registers the endpoints of plain services from the host list. It must be called by a single goroutine.
func (h *Host) applyListing(l hostlistclient.Listing) {
	h.listingCount++
	listed := make(map[string]bool, len(l.Endpoints))
	for _, e := range l.Endpoints {
		if h.isEngine(e.Pool) {
			continue
		}
		listed[e.Name] = true
		h.endpoints.Put(enroller.Endpoint{
			ID: e.Name, Service: e.Pool, Address: e.Address, DataCentre: e.DataCentre, Leaving: e.State == hostlistclient.Leaving,
		}, h.listingCount)
	}
	h.endpoints.Listed(listed, h.listingCount)
}

func (h *Host) isEngine(pool string) bool {
	current := h.rules.Current()
	if current == nil {
		return false
	}
	kind := current.Rules.Pools[pool].Kind
	return kind == parser.Prefill || kind == parser.Decode
}

// isOwned reports whether this host needs every load report of an engine. Policies other than booking rely on reports
// alone and need all of them.
func (h *Host) isOwned(engine string) bool {
	return h.cfg.Policy != generator.Reservation || h.isOwner("engine/"+engine)
}

func (h *Host) buildResponder(incarnation uint64) {
	h.responder = responder.New(responder.Options{
		Rules: h.rules, Hosts: h.gossiper, Sender: h.sender,
		Superseder: superseder.New(h.gossiper, h.messenger, h.clock, h.logs),
		Generator: generator.New(generator.Options{
			Host: h.cfg.Name, Incarnation: incarnation, Policy: h.cfg.Policy, Endpoints: h.watcher, Reserver: h.reserver,
			Canceller: h.canceller, Hosts: h.gossiper, Messenger: h.messenger,
			Isolator: h.isolator, Clock: h.clock, Random: h.newRand("engines"), Logs: h.logs,
		}),
		Executor: executor.New(executor.Options{
			Host: h.cfg.Name, Incarnation: incarnation, Hosts: h.gossiper, Messenger: h.messenger,
			KeyOwner: h.keyOwner, Sender: h.sender, Clock: h.clock, Logs: h.logs,
		}),
		Clock: h.clock, Scope: h.meter.Scope, Lifetime: h.cfg.AddressLifetime,
	})
}

// listen opens the listeners. It is called when every component is ready to serve.
func (h *Host) listen(callers, peers boundAddress) error {
	var err error
	h.peers, err = listener.Listen(listener.Options{
		Name: "peers", Address: peers.AddrPort, Socket: peers.socket,
		Routes: []rest.Route{{Method: http.MethodGet, Path: messenger.Path, Handler: h.messenger.Accept}},
	})
	if err != nil {
		return err
	}
	h.gossiper.Join(context.Background())
	h.operators, err = listener.Listen(listener.Options{
		Name: "operators", Address: h.cfg.Operators, TLS: h.cfg.TLS,
		Routes: administrator.New(administrator.Options{
			Key: h.cfg.OperatorKey, Rules: h.rules, Hosts: h.gossiper, Endpoints: h.watcher, KeyOwner: h.keyOwner,
			Responder: h.responder, Auditor: h.auditor, Messenger: h.messenger, Metrics: h.meter.Handler, Draining: h.draining.Load,
			Clock: h.clock,
		}).Routes(),
	})
	if err != nil {
		return err
	}
	h.callers, err = listener.Listen(listener.Options{
		Name: "callers", Address: callers.AddrPort, Socket: callers.socket, TLS: h.cfg.TLS, Routes: h.responder.Routes(),
		Subtrees: map[string]http.HandlerFunc{responder.ServicesPrefix: h.responder.Services()},
	})
	return err
}

func (h *Host) run() {
	ctx, stop := context.WithCancel(context.Background())
	h.stop = stop
	for _, run := range []func(context.Context){h.rules.Run, h.gossiper.Run, h.watcher.Run, h.auditor.Run, h.orphanCanceller.Run, h.isolator.Run, h.followStreams} {
		h.wg.Go(func() { run(ctx) })
	}
}

// followStreams reads the claim streams that this host owns in advance, so that claims do not wait for the stream to be
// read.
func (h *Host) followStreams(ctx context.Context) {
	ticker := h.clock.NewTicker(h.cfg.HeartbeatInterval)
	defer ticker.Stop()
	for {
		h.keyOwner.Follow()
		select {
		case <-ctx.Done():
			return
		case <-ticker.Chan():
		}
	}
}

// Drain removes the host from the addresses given to callers, serves until these have expired at the callers, completes
// the requests in flight and stops. It returns immediately if ctx ends.
func (h *Host) Drain(ctx context.Context) {
	h.draining.Store(true)
	eventlogger.Info(h.logs, eventlogger.Draining, "host", h.cfg.Name, "inflight", h.responder.InFlight())
	h.auditor.Record(h.cfg.Name, "host.drain", h.cfg.Name, "")
	h.gossiper.Leave(ctx)
	select {
	case <-h.clock.After(h.cfg.AddressLifetime):
	case <-ctx.Done():
		return
	}
	ctx, cancel := context.WithTimeout(ctx, h.cfg.DrainTimeout)
	defer cancel()
	_ = h.callers.Shutdown(ctx)
	h.Close(ctx)
}

// Close stops all components. It waits for pending releases and log appends until ctx ends.
func (h *Host) Close(ctx context.Context) {
	h.callers.Close()
	h.canceller.Wait(ctx)
	h.keyOwner.Close(ctx)
	h.stop()
	h.wg.Wait()
	h.messenger.Close()
	h.operators.Close()
	h.peers.Close()
	h.meter.Close()
	eventlogger.Info(h.logs, eventlogger.Stopped, "host", h.cfg.Name)
	close(h.done)
}

// Done returns a channel that is closed when the host has stopped.
func (h *Host) Done() <-chan struct{} { return h.done }

// Callers returns the address of the listener for callers.
func (h *Host) Callers() netip.AddrPort { return h.callers.Address() }

// Operators returns the address of the listener for operators.
func (h *Host) Operators() netip.AddrPort { return h.operators.Address() }

// Peers returns the address of the listener for other hosts.
func (h *Host) Peers() netip.AddrPort { return h.peers.Address() }
