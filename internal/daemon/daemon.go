package daemon

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/hashicorp/go-hclog"
	"github.com/spf13/cobra"

	"github.com/hornbeamspan/hornbeamspan/internal/settings"
	"github.com/hornbeamspan/hornbeamspan/internal/version"
	"github.com/hornbeamspan/hornbeamspan/transport/eventlogger"
	"github.com/hornbeamspan/hornbeamspan/transport/hostrunner"
)

// Command returns the root command of the daemon.
func Command() *cobra.Command {
	root := &cobra.Command{
		Use:   "hornbeamspan",
		Short: "Entry host of a router for prefill and decode pools and plain services",
		Long: `hornbeamspan serves callers on one entry host. All hosts are equal; start any number of them with each other's
addresses in --seeds. Each option can be set by its flag or by the environment variable shown after it.

SIGTERM drains: the host is removed from the addresses given to callers, keeps serving until cached addresses have
expired, finishes the requests in flight and exits. A second SIGTERM exits at once.`,
		Version:       version.Version,
		SilenceUsage:  true,
		SilenceErrors: true,
		Args:          cobra.NoArgs,
	}
	reader := addOptions(root)
	root.RunE = func(*cobra.Command, []string) error { return run(reader) }
	root.AddCommand(newPlatformCommand())
	root.AddCommand(&cobra.Command{
		Use:   "version",
		Short: "Print the version",
		Run:   func(cmd *cobra.Command, _ []string) { fmt.Fprintln(cmd.OutOrStdout(), version.Version) },
	})
	return root
}

func run(r *settings.Reader) error {
	cfg, err := readConfig(r)
	if err != nil {
		return err
	}
	logs := eventlogger.New("hornbeamspan", r.Text("log-level"), r.Text("log-format") == "json", os.Stderr)
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	host, err := hostrunner.Start(cfg, logs)
	if err != nil {
		return err
	}
	<-signals
	return drain(host, signals, logs)
}

// drain returns when the host is drained, or at once on a second signal.
func drain(host *hostrunner.Host, signals <-chan os.Signal, logs hclog.Logger) error {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go host.Drain(ctx)
	select {
	case <-host.Done():
	case <-signals:
		eventlogger.Warn(logs, eventlogger.Stopped, "reason", "second signal")
	}
	return nil
}
