package control

import (
	"io"
	"os"

	"github.com/joomcode/errorx"
	"github.com/spf13/cobra"

	"github.com/hornbeamspan/hornbeamspan/internal/settings"
	"github.com/hornbeamspan/hornbeamspan/lab/simulator"
)

// maxDrawnDeployments is the largest number of random scenarios in one replay; each takes some seconds.
const maxDrawnDeployments = 1000

func labReplay() *cobra.Command {
	cmd := &cobra.Command{
		Use: "replay", Short: "Replay loads against model engines in simulated time, with the scheduler of the owner and with other policies", Args: cobra.NoArgs,
	}
	r := settings.Add(cmd, envPrefix+"_REPLAY", []settings.Option{
		{Name: "dir", Default: "out/replay", Doc: "folder for the results and the chart"},
		{Name: "drawn", Default: "0", Doc: "number of random scenarios to replay; 0 replays the fixed scenarios"},
		{Name: "prefixes", Default: "false", Doc: "replay the scenarios with shared prompt parts, without and with prefix caching and with an oracle"},
	})
	cmd.RunE = func(cmd *cobra.Command, _ []string) error { return replay(r, cmd.OutOrStdout()) }
	return cmd
}

func replay(r *settings.Reader, w io.Writer) error {
	dir, drawn, prefixes := r.Text("dir"), r.Integer("drawn", 0, maxDrawnDeployments), r.Bool("prefixes")
	if err := r.Err(); err != nil {
		return err
	}
	if prefixes {
		return simulator.ReportPrefixCaching(w)
	}
	if drawn > 0 {
		return simulator.SimulateRandom(drawn).Print(w)
	}
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return errorx.Decorate(err, "control: unable to create the folder for results")
	}
	return simulator.Report(simulator.Compare(simulator.Scenarios(), simulator.Policies()), dir, w)
}
