package control

import (
	"encoding/json"
	"fmt"
	"net/http"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"github.com/hornbeamspan/hornbeamspan/internal/settings"
	"github.com/hornbeamspan/hornbeamspan/transport/callers/administrator"
)

var jsonOption = []settings.Option{{Name: "json", Default: "false", Doc: "print JSON"}}

func statusCommand() *cobra.Command {
	return hostCommand("status", "Print the state of a host and its view of the other hosts and the endpoints", jsonOption, status)
}

func status(cmd *cobra.Command, c *client, r *settings.Reader, _ []string) error {
	s, err := do[administrator.Status](cmd.Context(), c, http.MethodGet, "/v1/status", nil)
	if err != nil {
		return err
	}
	if r.Bool("json") {
		return json.NewEncoder(cmd.OutOrStdout()).Encode(s)
	}
	w := tabwriter.NewWriter(cmd.OutOrStdout(), 0, 0, 2, ' ', 0)
	fmt.Fprintf(w, "host\t%s\t%s\nsoftware\t%s\nrules\t%d\nin flight\t%d\nkeys\t%d\n\n", s.Host, s.State, s.Software, s.Rules, s.InFlight, s.Keys)
	for _, h := range s.Hosts {
		fmt.Fprintf(w, "host\t%s\t%s\t%s\t%s\n", h.Name, h.DataCentre, h.Address, h.State)
	}
	for _, e := range s.Endpoints {
		state := "live"
		if e.Leaving {
			state = "leaving"
		}
		fmt.Fprintf(w, "endpoint\t%s\t%s\t%s\t%d/%d slots\t%d blocks\n", e.Name, e.Pool, state, e.Running, e.Slots, e.Held)
	}
	return w.Flush()
}

func auditCommand() *cobra.Command {
	return hostCommand("audit", "Print the audit records that the log still has", jsonOption, audit)
}

func audit(cmd *cobra.Command, c *client, r *settings.Reader, _ []string) error {
	a, err := do[administrator.Audit](cmd.Context(), c, http.MethodGet, "/v1/audit", nil)
	if err != nil {
		return err
	}
	if r.Bool("json") {
		return json.NewEncoder(cmd.OutOrStdout()).Encode(a)
	}
	w := tabwriter.NewWriter(cmd.OutOrStdout(), 0, 0, 2, ' ', 0)
	for _, e := range a.Records {
		at := time.Unix(0, int64(e.Time)).UTC().Format("2006-01-02T15:04:05.000Z")
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%s\n", at, e.Host, e.Actor, e.Action, e.Subject, e.Detail)
	}
	return w.Flush()
}
