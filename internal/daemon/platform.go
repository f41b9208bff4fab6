package daemon

import (
	"context"
	"net/netip"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/jonboulle/clockwork"
	"github.com/joomcode/errorx"
	"github.com/spf13/cobra"

	"github.com/hornbeamspan/hornbeamspan/internal/version"
	"github.com/hornbeamspan/hornbeamspan/parts/coordination/leaser"
	"github.com/hornbeamspan/hornbeamspan/platform"
	"github.com/hornbeamspan/hornbeamspan/transport/endpoints/sender"
	"github.com/hornbeamspan/hornbeamspan/transport/eventlogger"
	"github.com/hornbeamspan/hornbeamspan/transport/hostrunner"
)

// memoryLimitFraction is the fraction of the memory limit that is the soft limit of the garbage collector.
const memoryLimitFraction = 0.7

// connectionFraction is the fraction of the file descriptors that callers' connections may use. Each request needs
// another one for its endpoint, and peers, engines and the store need some as well.
const connectionFraction = 0.4

// newPlatformCommand returns the command that runs a host on the users' platform.
func newPlatformCommand() *cobra.Command {
	cmd := &cobra.Command{
		Use:   "platform",
		Short: "Serve on the users' platform, with the settings file that " + platform.SettingsVariable + " points to",
		Args:  cobra.NoArgs,
	}
	advertised := cmd.Flags().String("advertise", "", "address at which other hosts reach this one, if it is not the one that it listens on")
	cmd.RunE = func(*cobra.Command, []string) error {
		var address netip.AddrPort
		if *advertised != "" {
			var err error
			if address, err = netip.ParseAddrPort(*advertised); err != nil {
				return errorx.Decorate(err, "daemon: unable to use --advertise")
			}
		}
		return runPlatform(address)
	}
	return cmd
}

func runPlatform(advertised netip.AddrPort) error {
	path := os.Getenv(platform.SettingsVariable)
	s, err := platform.Load(path)
	if err != nil {
		return err
	}
	debug.SetMemoryLimit(int64(memoryLimitFraction * float64(s.MemoryBytes)))
	clock := clockwork.NewRealClock()
	out := eventlogger.NewWriter(os.Stdout, clock)
	logs := eventlogger.New(s.Host, hclog.Info.String(), true, out)
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	reloads := make(chan os.Signal, 1)
	signal.Notify(reloads, syscall.SIGHUP)
	cfg := routingConfig(s)
	cfg.Advertised = advertised
	host, err := hostrunner.StartRouting(cfg, clock, logs)
	if err != nil {
		out.Close()
		return err
	}
	settings := settingsWatcher{path: path, host: host, logs: logs}
	settings.hasChanged() // records the state of the file that was loaded
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
			out.CloseBy(host.Drain(context.Background()))
			return nil
		}
	}
}

// settingsPollInterval is how often the settings file is checked, as it can change without a signal.
const settingsPollInterval = time.Second

// settingsWatcher detects changes of the settings file and applies them to the running host.
type settingsWatcher struct {
	path     string
	host     *hostrunner.RoutingHost
	logs     hclog.Logger
	lastInfo os.FileInfo
}

// hasChanged reports whether size or modification time of the file differ from the previous check.
func (sw *settingsWatcher) hasChanged() bool {
	info, err := os.Stat(sw.path)
	if err != nil {
		return false // the platform is replacing the file
	}
	old := sw.lastInfo
	sw.lastInfo = info
	return old != nil && (info.Size() != old.Size() || !info.ModTime().Equal(old.ModTime()))
}

// reload reads the settings again and applies the retry budget. Changes of other settings need a restart. An invalid
// file leaves the old budget in force.
func (sw *settingsWatcher) reload(why string) {
	s, err := platform.Load(sw.path)
	if err != nil {
		eventlogger.Error(sw.logs, eventlogger.SettingsReloaded, "path", sw.path, "why", why, "error", err.Error())
		return
	}
	sw.host.SetRetry(retryBudget(s))
	eventlogger.Info(sw.logs, eventlogger.SettingsReloaded, "path", sw.path, "why", why, "retryratio", s.RetryRatio, "retryslack", s.RetryAllowance)
}

func retryBudget(s platform.Settings) sender.RetryBudget {
	return sender.RetryBudget{Ratio: s.RetryRatio, Allowance: s.RetryAllowance, Window: s.RetryWindow}
}

func routingConfig(s platform.Settings) hostrunner.RoutingConfig {
	return hostrunner.RoutingConfig{
		Name: s.Host, DataCentre: s.DataCentre, Callers: s.Callers, Ready: s.Ready, Directory: s.Directory, Peers: s.Peers,
		Operators: s.Operators, Power: s.Power, Seeds: s.Seeds, PeerKey: version.Version,
		Store: platform.NewStore(s.Store),
		Topics: hostrunner.Topics{
			Config: platform.ConfigTopic, ConfigKey: platform.ConfigKey, Endpoints: platform.EndpointTopic,
			Hosts: platform.HostTopic, EngineLeases: platform.EngineLeaseTopic, Versions: platform.VersionTopic, Origins: platform.OriginTopic,
		},
		IsFirstStart:   s.IsFirstStart,
		DecodeTable:    platform.ParseTable,
		DecodeEndpoint: platform.ParseEndpoint,
		Dialect:        platform.Dialect{},
		Engines:        platform.NewEngineClient(),
		ReadyRoute:     platform.ReadyRoute,
		DirectoryRoute: platform.DirectoryRoute,
		Grace:          s.Grace, AddressLifetime: s.AddressLifetime, ApplyTime: s.ApplyTime, RenewalInterval: s.RenewalInterval, ContactTime: s.ContactTime,
		Lease:          leaser.Config{Lease: s.Lease, Margin: s.LeaseMargin},
		MemoryBytes:    s.MemoryBytes,
		RevocationTime: s.RevocationTime, QuotaTolerance: s.Quotas,
		Retry:          retryBudget(s),
		MaxConnections: int(connectionFraction * float64(s.MaxFiles)),
	}
}
