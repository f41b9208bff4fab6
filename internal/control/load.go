package control

import (
	"encoding/json"
	"os"
	"time"

	"github.com/spf13/cobra"

	"github.com/hornbeamspan/hornbeamspan/internal/settings"
	"github.com/hornbeamspan/hornbeamspan/lab/loadgenerator"
	"github.com/hornbeamspan/hornbeamspan/transport/endpoints/hostlistclient"
	"github.com/hornbeamspan/hornbeamspan/transport/eventlogger"
)

var loadOptions = []settings.Option{
	{Name: "callers", Default: "127.0.0.1:8100", Doc: "callers' addresses of some hosts, separated by commas"},
	{Name: "hosts", Default: "127.0.0.1:8201", Doc: "address of the host list, to read the engines' counts"},
	{Name: "token", Default: "lab-token", Doc: "bearer token of the organisation"},
	{Name: "model", Default: "writer", Doc: "model of generated requests"},
	{Name: "service", Default: "desk", Doc: "service of lookups and at-most-once calls"},
	{Name: "seed", Default: "1", Doc: "seed of arrival times, lengths and the mix of requests"},
	{Name: "duration", Default: "10s", Doc: "time over which requests arrive"},
	{Name: "summaries", Default: "10", Doc: "generated requests per second"},
	{Name: "lookups", Default: "10", Doc: "lookups per second"},
	{Name: "onces", Default: "2", Doc: "at-most-once calls per second"},
	{Name: "prompt", Default: "1000", Doc: "mean prompt tokens"},
	{Name: "output", Default: "50", Doc: "mean output tokens"},
	{Name: "prefixes", Default: "20", Doc: "shared prompt prefixes"},
	{Name: "prefix-size", Default: "256", Doc: "tokens of a shared prefix"},
	{Name: "cancel", Default: "0", Doc: "fraction of callers that disconnect after the first token"},
	{Name: "start", Default: "390ms", Doc: "target latency of the first token"},
	{Name: "finish", Default: "3s", Doc: "target latency of the last token"},
	{Name: "lookup-finish", Default: "200ms", Doc: "target latency of lookups and at-most-once calls"},
	{Name: "json", Default: "false", Doc: "print JSON after the table"},
}

func labLoad() *cobra.Command {
	cmd := &cobra.Command{Use: "load", Short: "Send a load generated from a seed and print its results", Args: cobra.NoArgs}
	r := settings.Add(cmd, envPrefix+"_LOAD", loadOptions)
	cmd.RunE = func(cmd *cobra.Command, _ []string) error {
		eventlogger.New("lab", "warn", false, os.Stderr)
		shape := loadgenerator.Workload{
			Seed: uint64(r.Integer("seed", 0, 1<<31)), Duration: r.Duration("duration", time.Millisecond),
			SummaryRate: r.Number("summaries", 0), LookupRate: r.Number("lookups", 0), OnceRate: r.Number("onces", 0),
			PromptTokens: r.Integer("prompt", 1, 1<<20), OutputTokens: r.Integer("output", 1, 1<<15),
			Prefixes: r.Integer("prefixes", 0, 1<<20), PrefixTokens: r.Integer("prefix-size", 0, 1<<20), CancelShare: r.Number("cancel", 0),
		}
		targets := loadgenerator.Targets{
			Start: r.Duration("start", 1), Finish: r.Duration("finish", 1), Lookup: r.Duration("lookup-finish", 1),
		}
		caller := loadgenerator.NewCaller(r.Addresses("callers"), r.Text("token"), r.Text("model"), r.Text("service"))
		hosts := hostlistclient.New(r.Address("hosts"))
		asJSON := r.Bool("json")
		if err := r.Err(); err != nil {
			return err
		}
		result := loadgenerator.Run(cmd.Context(), caller, shape, targets, hosts, os.Stderr)
		result.Write(cmd.OutOrStdout())
		if asJSON {
			return json.NewEncoder(cmd.OutOrStdout()).Encode(result)
		}
		return nil
	}
	return cmd
}
