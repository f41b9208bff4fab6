package control

import (
	"context"
	"net/http"
	"net/netip"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/spf13/cobra"
	"github.com/zeromicro/go-zero/rest"

	"github.com/hornbeamspan/hornbeamspan/internal/settings"
	"github.com/hornbeamspan/hornbeamspan/lab/hostlistserver"
	"github.com/hornbeamspan/hornbeamspan/lab/logserver"
	"github.com/hornbeamspan/hornbeamspan/lab/modelserver"
	"github.com/hornbeamspan/hornbeamspan/lab/plainserver"
	"github.com/hornbeamspan/hornbeamspan/parts/coordination/limiter"
	"github.com/hornbeamspan/hornbeamspan/transport/callers/listener"
	"github.com/hornbeamspan/hornbeamspan/transport/endpoints/hostlistclient"
	"github.com/hornbeamspan/hornbeamspan/transport/eventlogger"
)

// drainPollInterval is the time between two checks whether a leaving endpoint is idle.
const drainPollInterval = 20 * time.Millisecond

func labCommand() *cobra.Command {
	cmd := &cobra.Command{Use: "lab", Short: "Run simulated platform services and endpoints, and generate load"}
	cmd.AddCommand(labLog(), labHosts(), labEngine(), labService(), labLoad(), labDemo(), labMeasure(), labReplay())
	return cmd
}

var listenOption = settings.Option{Name: "listen", Default: "127.0.0.1:0", Doc: "address to listen on"}

// serverCommand returns a command that runs a simulated service until SIGTERM or SIGINT.
func serverCommand(use, short string, options []settings.Option, run func(r *settings.Reader) error) *cobra.Command {
	cmd := &cobra.Command{Use: use, Short: short, Args: cobra.NoArgs}
	reader := settings.Add(cmd, envPrefix+"_LAB", append([]settings.Option{listenOption}, options...))
	cmd.RunE = func(*cobra.Command, []string) error {
		eventlogger.New("lab", "warn", false, os.Stderr)
		return run(reader)
	}
	return cmd
}

// serve serves routes until SIGTERM or SIGINT, and then calls leave before it closes the listener.
func serve(name string, address netip.AddrPort, routes []rest.Route, subtrees map[string]http.HandlerFunc, leave func()) error {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	l, err := listener.Listen(listener.Options{Name: name, Address: address, Routes: routes, Subtrees: subtrees})
	if err != nil {
		return err
	}
	<-signals
	leave()
	l.Close()
	return nil
}

func labLog() *cobra.Command {
	return serverCommand("log", "Run a simulated log service", []settings.Option{
		{Name: "retention", Default: "0s", Doc: "how long records are kept; 0 keeps them forever"},
		{Name: "rate", Default: "400", Doc: "appends per second"},
		{Name: "burst", Default: "100", Doc: "largest burst of appends"},
	}, func(r *settings.Reader) error {
		address := r.Address("listen")
		o := logserver.Options{
			Retention: r.Duration("retention", 0),
			Rate:      limiter.Rate{PerSecond: r.Number("rate", 0), Burst: r.Number("burst", 1)},
		}
		if err := r.Err(); err != nil {
			return err
		}
		return serve("log", address, logserver.New(o).Routes(), nil, func() {})
	})
}

func labHosts() *cobra.Command {
	return serverCommand("hosts", "Run a simulated host list", []settings.Option{
		{Name: "lag", Default: "1s", Doc: "delay after which changes become visible"},
	}, func(r *settings.Reader) error {
		address, lag := r.Address("listen"), r.Duration("lag", 0)
		if err := r.Err(); err != nil {
			return err
		}
		return serve("hosts", address, hostlistserver.New(lag).Routes(), nil, func() {})
	})
}

var endpointOptions = []settings.Option{
	{Name: "name", Default: "", Doc: "name of the endpoint"},
	{Name: "pool", Default: "", Doc: "pool of the endpoint"},
	{Name: "zone", Default: "default", Doc: "data centre of the endpoint"},
	{Name: "hosts", Default: "127.0.0.1:8201", Doc: "address of the host list"},
}

// newRegistration returns a function that writes an endpoint with the given state to the host list. Failed writes are
// ignored.
func newRegistration(r *settings.Reader, address netip.AddrPort) func(state string) {
	hosts := hostlistclient.New(r.Address("hosts"))
	e := hostlistclient.Endpoint{Name: r.Required("name"), Pool: r.Required("pool"), Address: address, DataCentre: r.Text("zone")}
	return func(state string) {
		e.State = state
		_ = hosts.Put(context.Background(), e)
	}
}

// drainer is an endpoint that can stop accepting requests.
type drainer interface {
	Drain()
	IsIdle() bool
}

// drainAndDeregister returns a function that marks an endpoint as leaving, waits until it is idle and marks it as gone.
func drainAndDeregister(setState func(string), d drainer) func() {
	return func() {
		setState(hostlistclient.Leaving)
		d.Drain()
		for !d.IsIdle() {
			time.Sleep(drainPollInterval)
		}
		setState(hostlistclient.Gone)
	}
}

func labEngine() *cobra.Command {
	return serverCommand("engine", "Run a simulated model engine", append(endpointOptions, []settings.Option{
		{Name: "role", Default: "prefill", Doc: "prefill or decode"},
		{Name: "slots", Default: "20", Doc: "requests decoded concurrently"},
		{Name: "blocks", Default: "2000", Doc: "KV cache size in blocks"},
		{Name: "block-tokens", Default: "64", Doc: "tokens in a block"},
		{Name: "rate", Default: "20000", Doc: "prefill speed in tokens per second"},
		{Name: "step", Default: "10ms", Doc: "time per output token"},
		{Name: "hold", Default: "800ms", Doc: "how long the result of a prefill is kept"},
		{Name: "link-rate", Default: "200000", Doc: "KV export speed in tokens per second"},
		{Name: "report-lag", Default: "1s", Doc: "age of the load report"},
		{Name: "cache", Default: "50000", Doc: "prefix cache in tokens"},
		{Name: "crash-word", Default: "", Doc: "a prompt that contains this word crashes the process"},
	}...), runEngine)
}

func runEngine(r *settings.Reader) error {
	address := r.Address("listen")
	o := modelserver.Options{
		Name: r.Required("name"), Role: r.OneOf("role", modelserver.RolePrefill, modelserver.RoleDecode), Address: address.String(),
		Slots: r.Integer("slots", 1, 1000), Blocks: r.Integer("blocks", 1, 1<<30), BlockTokens: r.Integer("block-tokens", 1, 1<<20),
		Rate: r.Number("rate", 1), StepTime: r.Duration("step", time.Millisecond), ResultRetention: r.Duration("hold", time.Millisecond),
		LinkRate: r.Number("link-rate", 1), ReportLag: r.Duration("report-lag", 0), CacheTokens: r.Integer("cache", 0, 1<<30),
		CrashWord: r.Text("crash-word"),
	}
	setState := newRegistration(r, address)
	if err := r.Err(); err != nil {
		return err
	}
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	e := modelserver.New(ctx, o)
	setState(hostlistclient.Live)
	return serve("engine", address, e.Routes(), nil, drainAndDeregister(setState, e))
}

func labService() *cobra.Command {
	return serverCommand("service", "Run a simulated plain service", append(endpointOptions, []settings.Option{
		{Name: "delay", Default: "10ms", Doc: "time to answer a call"},
	}...), func(r *settings.Reader) error {
		address, delay := r.Address("listen"), r.Duration("delay", 0)
		setState := newRegistration(r, address)
		if err := r.Err(); err != nil {
			return err
		}
		s := plainserver.New(delay)
		setState(hostlistclient.Live)
		routes := s.Routes()
		subtrees := map[string]http.HandlerFunc{"/": func(w http.ResponseWriter, r *http.Request) {
			for _, route := range routes {
				if route.Path == r.URL.Path && route.Method == r.Method {
					route.Handler(w, r)
					return
				}
			}
			s.Call(w, r)
		}}
		return serve("service", address, nil, subtrees, drainAndDeregister(setState, s))
	})
}
