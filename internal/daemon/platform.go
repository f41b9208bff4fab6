package daemon

import (
	"context"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/hashicorp/go-hclog"
	"github.com/jonboulle/clockwork"
	"github.com/spf13/cobra"

	"github.com/hornbeamspan/hornbeamspan/internal/version"
	"github.com/hornbeamspan/hornbeamspan/parts/coordination/leaser"
	"github.com/hornbeamspan/hornbeamspan/platform"
	"github.com/hornbeamspan/hornbeamspan/transport/assembler"
	"github.com/hornbeamspan/hornbeamspan/transport/eventer"
)

// memoryShare is the part of the memory limit at which the garbage collector works harder.
const memoryShare = 0.7

// platformCommand runs a host by the users' platform.
func platformCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "platform",
		Short: "Serve on the users' platform, by the settings file that " + platform.SettingsVariable + " names",
		Args:  cobra.NoArgs,
		RunE:  func(*cobra.Command, []string) error { return runPlatform() },
	}
}

func runPlatform() error {
	path := os.Getenv(platform.SettingsVariable)
	s, err := platform.Load(path)
	if err != nil {
		return err
	}
	debug.SetMemoryLimit(int64(memoryShare * float64(s.MemoryBytes)))
	clock := clockwork.NewRealClock()
	out := eventer.NewWriter(os.Stdout, clock)
	defer out.Close()
	logs := eventer.New(s.Host, hclog.Info.String(), true, out)
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	reloads := make(chan os.Signal, 1)
	signal.Notify(reloads, syscall.SIGHUP)
	host, err := assembler.StartRouting(routingConfig(s), clock, logs)
	if err != nil {
		return err
	}
	for {
		select {
		case <-reloads:
			reload(path, logs)
		case <-signals:
			host.Drain(context.Background())
			return nil
		}
	}
}

// reload checks the settings again. Addresses and limits of a running host stay as they are.
func reload(path string, logs hclog.Logger) {
	if _, err := platform.Load(path); err != nil {
		eventer.Error(logs, eventer.Reloaded, "path", path, "error", err.Error())
		return
	}
	eventer.Info(logs, eventer.Reloaded, "path", path)
}

func routingConfig(s platform.Settings) assembler.RoutingConfig {
	return assembler.RoutingConfig{
		Name: s.Host, DataCentre: s.DataCentre, Callers: s.Callers, Ready: s.Ready, Directory: s.Directory, Peers: s.Peers,
		Operators: s.Operators, Seeds: s.Seeds, PeerKey: version.Version,
		Store: platform.NewStore(s.Store),
		Topics: assembler.Topics{
			Config: platform.ConfigTopic, ConfigKey: platform.ConfigKey, Endpoints: platform.EndpointTopic, Duties: platform.DutyTopic,
		},
		DecodeTable:    platform.Table,
		DecodeEndpoint: platform.Endpoint,
		Dialect:        platform.Dialect{},
		Engines:        platform.NewEngines(),
		ReadyRoute:     platform.ReadyRoute,
		DirectoryRoute: platform.DirectoryRoute,
		Grace:          s.Grace, ApplyTime: s.ApplyTime, ContactTime: s.ContactTime,
		Lease:      leaser.Config{Lease: s.Lease, Margin: s.Thaw},
		RetryRatio: s.RetryRatio, RetrySlack: s.RetrySlack, RetryWindow: s.RetryWindow,
	}
}
