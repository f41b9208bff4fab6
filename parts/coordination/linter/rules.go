package linter

import (
	"errors"
	"slices"
	"strings"

	"github.com/hornbeamspan/hornbeamspan/parts/coordination/parser"
)

// LintRules returns the findings of a rule file, sorted by place. If the parser rejects the file, these are its errors only.
func LintRules(text string) Findings {
	rules, err := parser.Parse(text)
	if err != nil {
		fs := syntaxErrors(text, err)
		fs.Sort()
		return fs
	}
	l := rulesLinter{rules: rules, usedPools: make(map[string]bool)}
	entries := scanRules(text)
	for _, e := range entries {
		l.lintRule(e)
	}
	for _, e := range entries {
		if e.kind == "pool" && !l.usedPools[e.name] {
			l.add(Warning, e.place, "no rule uses the pool %q", e.name)
		}
	}
	l.Sort()
	return l.Findings
}

// plainVerbs are the verbs of rules that contain neither keys nor tokens.
var plainVerbs = []string{"pool", "model", "once", "lookup"}

// tokenFields are the words of a rule with a token that may be reported.
var tokenFields = []string{"token", "rate", "burst", "comment"}

// syntaxErrors returns the errors of the parser. It leaves out words that can be tokens written in the wrong place.
func syntaxErrors(text string, err error) Findings {
	var fs Findings
	errs := []error{err}
	if joined, ok := err.(interface{ Unwrap() []error }); ok {
		errs = joined.Unwrap()
	}
	lines := strings.Split(text, "\n")
	for _, err := range errs {
		var syntax *parser.SyntaxError
		if !errors.As(err, &syntax) {
			fs.add(Error, Place{}, "the parser rejects the file")
			continue
		}
		place := Place{Field: syntax.Field, Line: syntax.Line, Column: syntax.Column}
		verb := ""
		if words := strings.Fields(lines[syntax.Line-1]); len(words) > 0 {
			verb = words[0]
		}
		if !slices.Contains(plainVerbs, verb) && place.Field != verb && !slices.Contains(tokenFields, place.Field) {
			place.Field = ""
		}
		fs.add(Error, place, "%s", syntax.Reason)
	}
	return fs
}

// DiffRules returns the differences of a rule file from the one in force. Both must be valid: tokens in the wrong place would be
// reported like other words.
func DiffRules(text, inForce string) Findings {
	var fs Findings
	fs.compare(scanRules(text), scanRules(inForce))
	fs.Sort()
	return fs
}

// rulesLinter is the state of one check of a rule file.
type rulesLinter struct {
	Findings
	rules     *parser.Rules
	usedPools map[string]bool
	once      []parser.Once
}

func (l *rulesLinter) lintRule(e entry) {
	switch e.kind {
	case "model":
		m := l.rules.Models[e.name]
		l.usedPools[m.Prefill], l.usedPools[m.Decode] = true, true
	case "once":
		l.lintOnce(e, l.rules.OnceCalls[e.name])
	case "lookup":
		r := l.rules.Lookups[e.name]
		l.usedPools[e.name] = true
		if r.Hedge >= r.Finish {
			l.add(Warning, e.fieldPlace("hedge"), "has no effect: a second call would be sent after %s, when the first has ended after %s",
				r.Hedge, r.Finish)
		}
	case "organisation":
		o := l.rules.Organisations[e.name]
		switch {
		case o.Rate == 0 && e.has("burst"):
			l.add(Warning, e.fieldPlace("burst"), "has no effect: without a rate, the organisation has no limit")
		case o.Rate > 0 && o.Burst < 1:
			l.add(Warning, e.fieldPlace("burst"), "the burst of %d is below a single request and counts as 1 on each host", o.Burst)
		}
	}
}

// lintOnce compares a rule with the earlier ones. The host applies any of the rules that match a call.
func (l *rulesLinter) lintOnce(e entry, r parser.Once) {
	l.usedPools[r.Service] = true
	for _, other := range l.once {
		if r.Service == other.Service && r.Method == other.Method && (isBelow(r.Path, other.Path) || isBelow(other.Path, r.Path)) {
			l.add(Warning, e.fieldPlace("path"), "calls match the rule %q, too; which of both applies is not defined", other.Name)
		}
	}
	l.once = append(l.once, r)
}

func isBelow(path, prefix string) bool {
	return path == prefix || strings.HasPrefix(path, strings.TrimSuffix(prefix, "/")+"/")
}

func (e entry) has(name string) bool { return e.fieldPlace(name) != e.place }

// fieldPlace returns the place of a field, or that of the entry if the field is not given.
func (e entry) fieldPlace(name string) Place {
	for _, f := range e.fields {
		if f.name == name {
			return f.place
		}
	}
	return e.place
}

// scanRules returns the rules of a file as entries. Lines that are not rules are left out.
func scanRules(text string) []entry {
	var list []entry
	for i, line := range strings.Split(text, "\n") {
		rule, _, _ := strings.Cut(strings.TrimRight(line, "\r"), "#")
		words := strings.FieldsFunc(rule, func(r rune) bool { return r == ' ' || r == '\t' })
		if len(words) < 2 {
			continue
		}
		e := entry{kind: words[0], name: words[1], isConfidential: words[0] == "organisation"}
		offset := 0
		for j, word := range words {
			offset += strings.Index(rule[offset:], word)
			key, value, _ := strings.Cut(word, "=")
			place := Place{Field: key, Line: i + 1, Column: offset + 1}
			switch {
			case j == 1:
				e.place = place
			case j > 1:
				e.fields = append(e.fields, field{name: key, place: place, text: value})
			}
			offset += len(word)
		}
		list = append(list, e)
	}
	return list
}
