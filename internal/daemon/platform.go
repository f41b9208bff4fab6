package daemon

import (
	"context"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/jonboulle/clockwork"
	"github.com/spf13/cobra"

	"github.com/hornbeamspan/hornbeamspan/internal/version"
	"github.com/hornbeamspan/hornbeamspan/parts/coordination/leaser"
	"github.com/hornbeamspan/hornbeamspan/platform"
	"github.com/hornbeamspan/hornbeamspan/transport/assembler"
	"github.com/hornbeamspan/hornbeamspan/transport/endpoints/sender"
	"github.com/hornbeamspan/hornbeamspan/transport/eventer"
)

// memoryShare is the part of the memory limit at which the garbage collector works harder.
const memoryLimitFraction = 0.7

// connectionShare is the part of the descriptors that callers' connections may take: each request needs one more to an
// endpoint, and hosts, engines and the store need theirs.
const connectionFraction = 0.4

// platformCommand runs a host by the users' platform.
func newPlatformCommand() *cobra.Command {
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
	debug.SetMemoryLimit(int64(memoryLimitFraction * float64(s.MemoryBytes)))
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
	settings := settingsWatcher{path: path, host: host, logs: logs}
	settings.hasChanged() // remembers the file as it was read
	ticker := clock.NewTicker(settingsPollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-reloads:
			settings.reload("signal")
		case <-ticker.Chan():
			if settings.hasChanged() {
				settings.reload("change")
			}
		case <-signals:
			host.Drain(context.Background())
			return nil
		}
	}
}

// settingsPeriod is how often the settings file is looked at: it may change without a signal.
const settingsPollInterval = time.Second

// watchedSettings is the settings file of a running host.
type settingsWatcher struct {
	path     string
	host     *assembler.RoutingHost
	logs     hclog.Logger
	lastInfo os.FileInfo
}

// changed tells whether the file is another one than at the last look.
func (w *settingsWatcher) hasChanged() bool {
	info, err := os.Stat(w.path)
	if err != nil {
		return false // the platform is about to replace it
	}
	old := w.lastInfo
	w.lastInfo = info
	return old != nil && (info.Size() != old.Size() || !info.ModTime().Equal(old.ModTime()))
}

// reload reads the settings again and puts the budget of extra sends in force. Addresses, names and times of a running
// host stay as they are.
func (w *settingsWatcher) reload(why string) {
	s, err := platform.Load(w.path)
	if err != nil {
		eventer.Error(w.logs, eventer.Reloaded, "path", w.path, "why", why, "error", err.Error())
		return
	}
	w.host.SetRetry(retryBudget(s))
	eventer.Info(w.logs, eventer.Reloaded, "path", w.path, "why", why, "retryratio", s.RetryRatio, "retryslack", s.RetryAllowance)
}

func retryBudget(s platform.Settings) sender.RetryBudget {
	return sender.RetryBudget{Ratio: s.RetryRatio, Allowance: s.RetryAllowance, Window: s.RetryWindow}
}

func routingConfig(s platform.Settings) assembler.RoutingConfig {
	return assembler.RoutingConfig{
		Name: s.Host, DataCentre: s.DataCentre, Callers: s.Callers, Ready: s.Ready, Directory: s.Directory, Peers: s.Peers,
		Operators: s.Operators, Power: s.Power, Seeds: s.Seeds, PeerKey: version.Version,
		Store: platform.NewStore(s.Store),
		Topics: assembler.Topics{
			Config: platform.ConfigTopic, ConfigKey: platform.ConfigKey, Endpoints: platform.EndpointTopic,
			Hosts: platform.HostTopic, Duties: platform.EngineLeaseTopic,
		},
		DecodeTable:    platform.DecodeTable,
		DecodeEndpoint: platform.DecodeEndpoint,
		Dialect:        platform.Dialect{},
		Engines:        platform.NewEngineClient(),
		ReadyRoute:     platform.ReadyRoute,
		DirectoryRoute: platform.DirectoryRoute,
		Grace:          s.GracePeriod, AddressLifetime: s.AddressLifetime, ApplyTime: s.MaxApplyTime, ContactTime: s.SuspicionTimeout,
		Lease:          leaser.Config{Lease: s.Lease, Margin: s.LeaseMargin},
		MemoryBytes:    s.MemoryBytes,
		Retry:          retryBudget(s),
		MaxConnections: int(connectionFraction * float64(s.MaxFiles)),
	}
}
