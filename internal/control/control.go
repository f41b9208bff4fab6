// Package control implements the command line for operators, simulations and load tests.
package control

import (
	"fmt"

	"github.com/spf13/cobra"

	"github.com/hornbeamspan/hornbeamspan/internal/settings"
	"github.com/hornbeamspan/hornbeamspan/internal/version"
)

// envPrefix is the prefix of the tool's environment variables.
const envPrefix = "HORNBEAMCTL"

// Command returns the root command of the tool.
func Command() *cobra.Command {
	root := &cobra.Command{
		Use:           "hornbeamctl",
		Short:         "Operate a system of hornbeamspan hosts, or run a simulated one",
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

// hostOptions are the settings of all commands that send a request to a host.
var hostOptions = []settings.Option{
	{Name: "host", Default: "127.0.0.1:8101", Doc: "operators' address of any host"},
	{Name: "key", Default: "", Doc: "operator key"},
	{Name: "ca", Default: "", Doc: "CA certificate file of the hosts; empty uses plain HTTP"},
}

// hostCommand returns a command that sends requests to a host.
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
