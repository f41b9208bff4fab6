// Package control is the command line of operators and of experiments.
package control

import (
	"fmt"

	"github.com/spf13/cobra"

	"github.com/hornbeamspan/hornbeamspan/internal/settings"
	"github.com/hornbeamspan/hornbeamspan/internal/version"
)

// envPrefix stands before the names of environment variables.
const envPrefix = "HORNBEAMCTL"

// Command returns the root command.
func Command() *cobra.Command {
	root := &cobra.Command{
		Use:           "hornbeamctl",
		Short:         "Operate a system of hornbeamspan hosts, or run one in the lab",
		Version:       version.Version,
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.AddCommand(rulesCommand(), statusCommand(), auditCommand(), labCommand(), &cobra.Command{
		Use:   "version",
		Short: "Print the version",
		Run:   func(cmd *cobra.Command, _ []string) { fmt.Fprintln(cmd.OutOrStdout(), version.Version) },
	})
	return root
}

// hostOptions are the settings of every command that asks a host.
var hostOptions = []settings.Option{
	{Name: "host", Default: "127.0.0.1:8101", Doc: "operators' address of any host"},
	{Name: "key", Default: "", Doc: "operator key"},
	{Name: "ca", Default: "", Doc: "certificate file of the hosts' authority; empty speaks plain HTTP"},
}

// hostCommand is a command that asks a host.
func hostCommand(use, short string, options []settings.Option, run func(cmd *cobra.Command, c *client, r *settings.Reader, args []string) error) *cobra.Command {
	cmd := &cobra.Command{Use: use, Short: short, Args: cobra.MaximumNArgs(1)}
	reader := settings.Add(cmd, envPrefix, append(append([]settings.Option{}, hostOptions...), options...))
	cmd.RunE = func(cmd *cobra.Command, args []string) error {
		address, key := reader.Address("host"), reader.Required("key")
		if err := reader.Err(); err != nil {
			return err
		}
		c, err := newClient(address, key, reader.Text("ca"))
		if err != nil {
			return err
		}
		return run(cmd, c, reader, args)
	}
	return cmd
}
