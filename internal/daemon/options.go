// Package daemon implements the command line of the entry host's daemon.
package daemon

import (
	"crypto/tls"
	"os"
	"runtime/debug"
	"time"

	"github.com/spf13/cobra"

	"github.com/hornbeamspan/hornbeamspan/internal/settings"
	"github.com/hornbeamspan/hornbeamspan/transport/endpoints/generator"
	"github.com/hornbeamspan/hornbeamspan/transport/hostrunner"
)

// envPrefix is the prefix of the daemon's environment variables.
const envPrefix = "HORNBEAMSPAN"

// maxStreams is the largest allowed number of log streams for at-most-once calls.
const maxStreams = 1024

// Options lists all settings of the daemon.
var Options = []settings.Option{
	{Name: "name", Default: "", Doc: "unique name of this host; empty takes the machine's host name"},
	{Name: "zone", Default: "default", Doc: "data centre of this host"},
	{Name: "callers", Default: "127.0.0.1:8100", Doc: "address for callers; port 0 takes a free one"},
	{Name: "operators", Default: "127.0.0.1:8101", Doc: "address for operators, health and metrics"},
	{Name: "peers", Default: "127.0.0.1:8102", Doc: "address for other hosts"},
	{Name: "seeds", Default: "", Doc: "peer addresses of some other hosts, separated by commas"},
	{Name: "log", Default: "127.0.0.1:8200", Doc: "address of the platform's log service"},
	{Name: "hosts", Default: "127.0.0.1:8201", Doc: "address of the platform's host list"},
	{Name: "peer-key", Default: "", Doc: "shared key that hosts authenticate to each other with"},
	{Name: "operator-key", Default: "", Doc: "key that operators authenticate with"},
	{Name: "tls-cert", Default: "", Doc: "certificate file for callers and operators; empty serves plain HTTP"},
	{Name: "tls-key", Default: "", Doc: "key file of the certificate"},
	{Name: "policy", Default: "book", Doc: "policy for choosing engines: book, choices, robin or random"},
	{Name: "once-streams", Default: "64", Doc: "number of log streams for once calls; never change it while the log has records"},
	{Name: "once-horizon", Default: "24h", Doc: "how long idempotency keys are kept"},
	{Name: "once-interval", Default: "170ms", Doc: "minimum time between two appends to a stream of once calls"},
	{Name: "carry", Default: "5m", Doc: "time between checkpoints on the log, below a third of its retention; 0 writes none"},
	{Name: "address-lifetime", Default: "5s", Doc: "how long callers cache a list of host addresses"},
	{Name: "drain-timeout", Default: "2m", Doc: "time limit for requests in flight after SIGTERM"},
	{Name: "host-period", Default: "500ms", Doc: "time between polls of the host list"},
	{Name: "load-period", Default: "1s", Doc: "time between polls of an engine's load"},
	{Name: "slot-time", Default: "1s", Doc: "mean time that a request holds a decode slot"},
	{Name: "heartbeat", Default: "1s", Doc: "time between heartbeats"},
	{Name: "suspicion", Default: "3s", Doc: "how long an unresponsive host may refute a suspicion before it is declared dead"},
	{Name: "seed", Default: "1", Doc: "seed of random choices"},
	{Name: "gc-percent", Default: "50", Doc: "growth of the heap between garbage collections, in percent; smaller saves memory"},
	{Name: "log-level", Default: "info", Doc: "trace, debug, info, warn or error"},
	{Name: "log-format", Default: "text", Doc: "text or json"},
}

func addOptions(cmd *cobra.Command) *settings.Reader {
	return settings.Add(cmd, envPrefix, Options)
}

// readConfig returns the configuration, or an error that joins all invalid settings.
func readConfig(r *settings.Reader) (hostrunner.Config, error) {
	cfg := hostrunner.Config{
		Name:               hostName(r),
		DataCentre:         r.Required("zone"),
		Callers:            r.Address("callers"),
		Operators:          r.Address("operators"),
		Peers:              r.Address("peers"),
		Seeds:              r.Addresses("seeds"),
		Log:                r.Address("log"),
		Hosts:              r.Address("hosts"),
		PeerKey:            r.Required("peer-key"),
		OperatorKey:        r.Required("operator-key"),
		Policy:             generator.Policy(r.OneOf("policy", "book", "choices", "robin", "random")),
		OnceStreams:        r.Integer("once-streams", 1, maxStreams),
		OnceRetention:      r.Duration("once-horizon", time.Second),
		OnceInterval:       r.Duration("once-interval", 0),
		CheckpointInterval: r.Duration("carry", 0),
		AddressLifetime:    r.Duration("address-lifetime", 0),
		DrainTimeout:       r.Duration("drain-timeout", time.Second),
		HostListInterval:   r.Duration("host-period", 10*time.Millisecond),
		LoadInterval:       r.Duration("load-period", 10*time.Millisecond),
		MeanSlotTime:       r.Duration("slot-time", time.Millisecond),
		HeartbeatInterval:  r.Duration("heartbeat", 10*time.Millisecond),
		SuspicionTimeout:   r.Duration("suspicion", 10*time.Millisecond),
		Seed:               uint64(r.Integer("seed", 0, 1<<31)),
	}
	debug.SetGCPercent(r.Integer("gc-percent", 10, 1000))
	r.OneOf("log-level", "trace", "debug", "info", "warn", "error")
	r.OneOf("log-format", "text", "json")
	cfg.TLS = readTLS(r)
	return cfg, r.Err()
}

func hostName(r *settings.Reader) string {
	if name := r.Text("name"); name != "" {
		return name
	}
	name, err := os.Hostname()
	if err != nil {
		return r.Required("name")
	}
	return name
}

func readTLS(r *settings.Reader) *tls.Config {
	cert, key := r.Text("tls-cert"), r.Text("tls-key")
	if cert == "" && key == "" {
		return nil
	}
	pair, err := tls.LoadX509KeyPair(cert, key)
	if err != nil {
		r.Reject("tls-cert", "a certificate file that matches the key in --tls-key ("+err.Error()+")")
		return nil
	}
	return &tls.Config{Certificates: []tls.Certificate{pair}, MinVersion: tls.VersionTLS12}
}
