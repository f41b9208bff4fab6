package control

import (
	"fmt"
	"net/http"
	"os"
	"text/tabwriter"

	"github.com/google/uuid"
	"github.com/joomcode/errorx"
	"github.com/spf13/cobra"

	"github.com/hornbeamspan/hornbeamspan/internal/settings"
	"github.com/hornbeamspan/hornbeamspan/parts/coordination/parser"
	"github.com/hornbeamspan/hornbeamspan/transport/callers/administrator"
)

func rulesCommand() *cobra.Command {
	cmd := &cobra.Command{Use: "rules", Short: "Check, publish and show the rule file"}
	cmd.AddCommand(
		checkCommand(),
		hostCommand("publish FILE", "Publish a rule file; prints accepted, refused, unknown or not_published", []settings.Option{
			{Name: "author", Default: os.Getenv("USER"), Doc: "author of the publication"},
			{Name: "base", Default: "-1", Doc: "version that the file is based on; -1 takes the one in force"},
			{Name: "id", Default: "", Doc: "ID of the publication; repeat it to retry after the verdict unknown"},
		}, publish),
		hostCommand("show", "Print the rule file in force", nil, show),
		hostCommand("history", "Print the publications of the last day", nil, history),
	)
	return cmd
}

// VerdictError reports a publication that was not accepted.
type VerdictError struct {
	ID      string
	Verdict string
	Reason  string
}

func (e *VerdictError) Error() string {
	return fmt.Sprintf("control: unable to publish %s: got the verdict %s: %s", e.ID, e.Verdict, e.Reason)
}

func publish(cmd *cobra.Command, c *client, r *settings.Reader, args []string) error {
	if len(args) != 1 {
		return errorx.IllegalArgument.New("control: unable to publish: expected the name of one rule file")
	}
	text, err := os.ReadFile(args[0])
	if err != nil {
		return errorx.Decorate(err, "control: unable to read the rule file")
	}
	if err := parser.Check(string(text)); err != nil {
		return errorx.Decorate(err, "control: unable to publish %s", args[0])
	}
	p := administrator.Publication{ID: r.Text("id"), Author: r.Required("author"), Text: string(text)}
	base := r.Integer("base", -1, 1<<40)
	if err := r.Err(); err != nil {
		return err
	}
	if p.ID == "" {
		p.ID = uuid.NewString()
	}
	p.Base = uint64(max(base, 0))
	if base < 0 {
		file, err := do[administrator.RuleFile](cmd.Context(), c, http.MethodGet, "/v1/rules", nil)
		if err != nil {
			return err
		}
		p.Base = file.Version
	}
	return submit(cmd, c, p)
}

func submit(cmd *cobra.Command, c *client, p administrator.Publication) error {
	v, err := do[administrator.Verdict](cmd.Context(), c, http.MethodPost, "/v1/rules", p)
	if err != nil {
		return &VerdictError{ID: p.ID, Verdict: administrator.Unknown, Reason: err.Error()}
	}
	if v.Verdict != administrator.Accepted {
		return &VerdictError{ID: v.ID, Verdict: v.Verdict, Reason: v.Reason}
	}
	fmt.Fprintf(cmd.OutOrStdout(), "accepted version %d, in force on %d hosts", v.Version, len(v.InForce))
	if len(v.Pending) > 0 {
		fmt.Fprintf(cmd.OutOrStdout(), ", not yet on %v", v.Pending)
	}
	fmt.Fprintln(cmd.OutOrStdout())
	return nil
}

func show(cmd *cobra.Command, c *client, _ *settings.Reader, _ []string) error {
	f, err := do[administrator.RuleFile](cmd.Context(), c, http.MethodGet, "/v1/rules", nil)
	if err != nil {
		return err
	}
	fmt.Fprintf(cmd.ErrOrStderr(), "version %d by %s\n", f.Version, f.Author)
	fmt.Fprint(cmd.OutOrStdout(), f.Text)
	return nil
}

func history(cmd *cobra.Command, c *client, _ *settings.Reader, _ []string) error {
	h, err := do[administrator.History](cmd.Context(), c, http.MethodGet, "/v1/rules/history", nil)
	if err != nil {
		return err
	}
	w := tabwriter.NewWriter(cmd.OutOrStdout(), 0, 0, 2, ' ', 0)
	for _, d := range h.Publications {
		verdict := administrator.Refused
		if d.Accepted {
			verdict = administrator.Accepted
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%s\t%s\n", d.Time.Format("2006-01-02T15:04:05Z07:00"), d.Author, verdict, d.Version, d.ID, d.Reason)
	}
	return w.Flush()
}
