package control

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"os"

	"github.com/spf13/cobra"

	"github.com/hornbeamspan/hornbeamspan/internal/daemon"
	"github.com/hornbeamspan/hornbeamspan/internal/settings"
	"github.com/hornbeamspan/hornbeamspan/parts/coordination/linter"
	"github.com/hornbeamspan/hornbeamspan/transport/callers/administrator"
)

// Forms of a configuration.
const (
	formAuto     = "auto"
	formRules    = "rules"
	formPlatform = "platform"
)

// FindingsError reports a configuration with errors. They have been printed.
type FindingsError struct {
	Path   string
	Errors int
}

func (e *FindingsError) Error() string {
	return fmt.Sprintf("control: unable to accept %s: errors: %d", e.Path, e.Errors)
}

// InputError reports that a check could not be carried out.
type InputError struct {
	Path string
	Err  error
}

func (e *InputError) Error() string {
	return fmt.Sprintf("control: unable to check %s: %v", e.Path, e.Err)
}

func (e *InputError) Unwrap() error { return e.Err }

// ExitCode returns the exit code of the tool for an error of a command: 2 if the input of a check could not be read, otherwise 1.
func ExitCode(err error) int {
	var input *InputError
	switch {
	case err == nil:
		return 0
	case errors.As(err, &input):
		return 2
	}
	return 1
}

func checkCommand() *cobra.Command {
	cmd := &cobra.Command{
		Use: "check FILE", Short: "Check a rule file or a configuration of the platform before it is published", Args: cobra.ExactArgs(1),
		Long: "Checks a rule file, or a configuration of the platform in JSON, and prints its errors, warnings and differences from the " +
			"version in force, with their places.\nThe exit code is 0 without errors, 1 with errors, and 2 if the check could not be carried out.",
	}
	reader := settings.Add(cmd, envPrefix, append([]settings.Option{
		{Name: "form", Default: formAuto, Doc: "form of the files: rules, platform, or auto to detect it"},
		{Name: "against", Default: "", Doc: "file with the version in force, to print the differences from it"},
	}, hostOptions...))
	var asJSON, inForce bool
	cmd.Flags().BoolVar(&asJSON, "json", false, "print the findings as JSON")
	cmd.Flags().BoolVar(&inForce, "in-force", false, "print the differences from the rule file in force on the host")
	cmd.MarkFlagsMutuallyExclusive("against", "in-force")
	cmd.RunE = func(cmd *cobra.Command, args []string) error {
		findings, err := check(cmd.Context(), reader, args[0], inForce)
		if err != nil {
			return &InputError{Path: args[0], Err: err}
		}
		if err := printFindings(cmd, findings, asJSON); err != nil {
			return err
		}
		if n := findings.Errors(); n > 0 {
			return &FindingsError{Path: args[0], Errors: n}
		}
		return nil
	}
	return cmd
}

// check returns the findings of the file at path. An error means that the check could not be carried out.
func check(ctx context.Context, r *settings.Reader, path string, inForce bool) (linter.Findings, error) {
	form := r.OneOf("form", formAuto, formRules, formPlatform)
	if err := r.Err(); err != nil {
		return nil, err
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	if form == formAuto {
		form = detectForm(data)
	}
	if form == formRules && detectForm(data) == formPlatform {
		r.Reject("form", formPlatform+" for a file of JSON")
		return nil, r.Err()
	}
	if inForce && form == formPlatform {
		r.Reject("form", formRules+" with --in-force, because hosts show only rule files")
		return nil, r.Err()
	}
	var old []byte
	hasOld := inForce || r.Text("against") != ""
	if inForce {
		old, err = rulesInForce(ctx, r)
	} else if hasOld {
		old, err = os.ReadFile(r.Text("against"))
	}
	if err != nil {
		return nil, err
	}
	if hasOld && detectForm(old) != form {
		r.Reject("against", "a file of the form "+form)
		return nil, r.Err()
	}
	if form == formPlatform {
		return checkDocument(data, old, hasOld)
	}
	findings := linter.LintRules(string(data))
	if !hasOld {
		return findings, nil
	}
	if n := linter.LintRules(string(old)).Errors(); n > 0 {
		return nil, &FindingsError{Path: r.Text("against"), Errors: n}
	}
	if findings.Errors() == 0 {
		findings = append(findings, linter.DiffRules(string(data), string(old))...)
		findings.Sort()
	}
	return findings, nil
}

// detectForm returns the form of a file. No rule begins like JSON text, with or without a byte order mark. A file of JSON must not
// be taken for rules, because the errors of a rule file contain words of it, which can be keys.
func detectForm(data []byte) string {
	data = bytes.TrimSpace(data)
	if bytes.IndexAny(data, "{[\"\ufeff") == 0 {
		return formPlatform
	}
	return formRules
}

func checkDocument(data, old []byte, hasOld bool) (linter.Findings, error) {
	d, err := daemon.ParseConfiguration(data)
	if err != nil {
		var refused *linter.RefusedError
		if errors.As(err, &refused) {
			return linter.Findings{refused.Finding()}, nil
		}
		return nil, err
	}
	findings := linter.Lint(d)
	if hasOld {
		before, err := daemon.ParseConfiguration(old)
		if err != nil {
			return nil, err
		}
		findings = append(findings, linter.Diff(d, before)...)
	}
	findings.Sort()
	return findings, nil
}

func rulesInForce(ctx context.Context, r *settings.Reader) ([]byte, error) {
	address, key := r.Address("host"), r.Required("key")
	if err := r.Err(); err != nil {
		return nil, err
	}
	c, err := newClient(address, key, r.Text("ca"))
	if err != nil {
		return nil, err
	}
	file, err := do[administrator.RuleFile](ctx, c, http.MethodGet, "/v1/rules", nil)
	return []byte(file.Text), err
}

func printFindings(cmd *cobra.Command, findings linter.Findings, asJSON bool) error {
	if asJSON {
		encoder := json.NewEncoder(cmd.OutOrStdout())
		encoder.SetIndent("", "  ")
		return encoder.Encode(struct {
			Valid    bool            `json:"valid"`
			Findings linter.Findings `json:"findings"`
		}{findings.Errors() == 0, append(linter.Findings{}, findings...)})
	}
	for _, f := range findings {
		fmt.Fprintln(cmd.OutOrStdout(), f)
	}
	if findings.Errors() == 0 {
		fmt.Fprintln(cmd.OutOrStdout(), "valid")
	}
	return nil
}
