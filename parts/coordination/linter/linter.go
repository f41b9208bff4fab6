// Package linter finds errors, entries without effect and contradictory limits in a configuration, and its differences from
// the version in force. It never reports an API key or a token.
package linter

import (
	"cmp"
	"fmt"
	"slices"
)

// Severity is the weight of a finding.
type Severity string

// A configuration with errors must not be published. Infos are the differences from the version in force.
const (
	Error   Severity = "error"
	Warning Severity = "warning"
	Info    Severity = "info"
)

// Place is a field of a configuration. Line and Column count from 1, Column in bytes; both are 0 if they are unknown.
type Place struct {
	Field  string `json:"field"`
	Line   int    `json:"line,omitempty"`
	Column int    `json:"column,omitempty"`
}

// String returns the place in the form "LINE:COLUMN: FIELD", without the parts that are not known.
func (p Place) String() string {
	switch {
	case p.Line == 0:
		return p.Field
	case p.Field == "":
		return fmt.Sprintf("%d:%d", p.Line, p.Column)
	}
	return fmt.Sprintf("%d:%d: %s", p.Line, p.Column, p.Field)
}

// Finding is one result of a check.
type Finding struct {
	Severity Severity `json:"severity"`
	Place
	Text string `json:"text"`
}

// String returns the finding as one line.
func (f Finding) String() string { return fmt.Sprintf("%s: %s: %s", f.Place, f.Severity, f.Text) }

// Findings are the results of a check.
type Findings []Finding

// Errors returns the number of errors.
func (fs Findings) Errors() int {
	n := 0
	for _, f := range fs {
		if f.Severity == Error {
			n++
		}
	}
	return n
}

// Sort sorts the findings by place.
func (fs Findings) Sort() {
	slices.SortStableFunc(fs, func(a, b Finding) int {
		return cmp.Or(cmp.Compare(a.Line, b.Line), cmp.Compare(a.Column, b.Column), cmp.Compare(a.Field, b.Field))
	})
}

func (fs *Findings) add(s Severity, p Place, format string, args ...any) {
	*fs = append(*fs, Finding{Severity: s, Place: p, Text: fmt.Sprintf(format, args...)})
}

// RefusedError reports a configuration that cannot be decoded.
type RefusedError struct {
	Place
	Reason string
}

func (e *RefusedError) Error() string {
	return fmt.Sprintf("linter: unable to decode the configuration: %s: %s", e.Place, e.Reason)
}

// Finding returns the error as a finding.
func (e *RefusedError) Finding() Finding {
	return Finding{Severity: Error, Place: e.Place, Text: e.Reason}
}
