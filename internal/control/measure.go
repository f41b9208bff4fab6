package control

import (
	"context"
	"io"
	"os"
	"strconv"
	"strings"

	"github.com/joomcode/errorx"
	"github.com/spf13/cobra"

	"github.com/hornbeamspan/hornbeamspan/internal/settings"
	"github.com/hornbeamspan/hornbeamspan/lab/measurer"
	"github.com/hornbeamspan/hornbeamspan/transport/eventlogger"
)

func labMeasure() *cobra.Command {
	cmd := &cobra.Command{
		Use: "measure", Short: "Measure policies under load and faults, or the cost of idle hosts, on launched systems", Args: cobra.NoArgs,
	}
	r := settings.Add(cmd, envPrefix+"_MEASURE", []settings.Option{
		{Name: "what", Default: "load", Doc: "load, idle, spread, or draw to redraw the charts of the results in the folder"},
		{Name: "dir", Default: "out/measure", Doc: "folder for results and logs"},
		{Name: "deployment", Default: "both", Doc: "olfato, adaeze or both"},
		{Name: "seconds", Default: "10", Doc: "time over which requests arrive in each run"},
		{Name: "seeds", Default: "1,2,3", Doc: "seeds, separated by commas"},
		{Name: "loads", Default: "0.5,0.8,0.95,1,1.1,1.5", Doc: "offered loads as fractions of the capacity, separated by commas"},
		{Name: "policies", Default: strings.Join(measurer.Policies, ","), Doc: "policies, separated by commas"},
		{Name: "size", Default: "12", Doc: "number of hosts"},
		{Name: "faults", Default: "true", Doc: "also measure under faults"},
	})
	cmd.RunE = func(cmd *cobra.Command, _ []string) error { return measure(cmd.Context(), r, cmd.OutOrStdout()) }
	return cmd
}

func measure(ctx context.Context, r *settings.Reader, w io.Writer) error {
	eventlogger.New("lab", "warn", false, os.Stderr)
	bin, err := binDir()
	if err != nil {
		return err
	}
	what := r.OneOf("what", "load", "idle", "spread", "draw")
	deployment := r.OneOf("deployment", "olfato", "adaeze", "both")
	o := measurer.Options{
		Bin: bin, Dir: r.Text("dir"), Seconds: r.Integer("seconds", 1, 3600), Hosts: r.Integer("size", 1, 100),
		Faults: r.Bool("faults"), Policies: strings.Split(r.Text("policies"), ","),
	}
	for _, s := range strings.Split(r.Text("seeds"), ",") {
		seed, err := strconv.ParseUint(s, 10, 32)
		if err != nil {
			r.Reject("seeds", "integers separated by commas")
		}
		o.Seeds = append(o.Seeds, seed)
	}
	for _, s := range strings.Split(r.Text("loads"), ",") {
		load, err := strconv.ParseFloat(s, 64)
		if err != nil {
			r.Reject("loads", "numbers separated by commas")
		}
		o.Loads = append(o.Loads, load)
	}
	if err := r.Err(); err != nil {
		return err
	}
	if err := os.MkdirAll(o.Dir, 0o755); err != nil {
		return errorx.Decorate(err, "control: unable to create the folder for results")
	}
	switch what {
	case "idle":
		return measurer.Idle(ctx, o, w)
	case "draw":
		return measurer.DrawCharts(o.Dir)
	case "spread":
		return measurer.PublicationDelay(ctx, o, w)
	}
	deployments := map[string][]measurer.Deployment{
		"olfato": {measurer.Olfato}, "adaeze": {measurer.Adaeze}, "both": {measurer.Olfato, measurer.Adaeze},
	}
	return measurer.Run(ctx, o, deployments[deployment], w)
}
