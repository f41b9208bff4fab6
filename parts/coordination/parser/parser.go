package parser

import (
	"encoding/hex"
	"errors"
	"fmt"
	"maps"
	"net/http"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"time"
)

// Version is the version of the validator that Check implements. It must change whenever Check accepts or rejects any text
// differently, because all hosts must agree on which rule files are valid.
const Version = 1

// SyntaxError is an error in the rule file. Line and Column start at 1; Field is the key or word in error.
type SyntaxError struct {
	Line   int
	Column int
	Field  string
	Reason string
}

func (e *SyntaxError) Error() string {
	return fmt.Sprintf("line %d, column %d: %s: %s", e.Line, e.Column, e.Field, e.Reason)
}

var (
	namePattern    = regexp.MustCompile(`^[a-z0-9][a-z0-9._-]*$`)
	commentPattern = regexp.MustCompile(`^\s*\S[^:]*:\s*\S`)
)

// Check is the validator for rule files of version Version.
func Check(text string) error {
	_, err := Parse(text)
	return err
}

// Parse parses a rule file. It returns all errors of the file joined; each is a *SyntaxError.
func Parse(text string) (*Rules, error) {
	p := &parseState{rules: &Rules{
		Pools:         make(map[string]Pool),
		Models:        make(map[string]Model),
		OnceCalls:     make(map[string]Once),
		Lookups:       make(map[string]Lookup),
		Organisations: make(map[string]Organisation),
		ByToken:       make(map[string]string),
	}}
	for i, l := range strings.Split(text, "\n") {
		p.line = i + 1
		p.parseLine(l)
	}
	for _, check := range p.referenceChecks {
		check()
	}
	if len(p.errs) > 0 {
		return nil, errors.Join(p.errs...)
	}
	return p.rules, nil
}

// parseState is the state while one file is parsed. References to pools are checked after the last line, because a pool
// may be defined below its uses.
type parseState struct {
	rules           *Rules
	line            int
	errs            []error
	referenceChecks []func()
}

// word is a blank-separated word of a line. Its column counts bytes from 1.
type word struct {
	text   string
	column int
}

func (p *parseState) addError(column int, field, reason string) {
	p.errs = append(p.errs, &SyntaxError{Line: p.line, Column: column, Field: field, Reason: reason})
}

func (p *parseState) parseLine(l string) {
	l = strings.TrimRight(l, "\r")
	rule, comment, found := strings.Cut(l, "#")
	words := splitWords(rule)
	if len(words) == 0 {
		return
	}
	if !found || !commentPattern.MatchString(comment) {
		p.addError(len(l)+1, "comment", "a rule ends with a comment: # who: why")
	}
	if len(words) < 2 {
		p.addError(len(rule)+1, words[0].text, "a rule needs a name after its verb")
		return
	}
	if !namePattern.MatchString(words[1].text) {
		p.addError(words[1].column, words[1].text, "a name has lower-case letters, digits, dots, dashes and underscores")
	}
	p.parseRule(words[0], words[1], p.parseFields(words[2:]))
}

func splitWords(s string) []word {
	var words []word
	start := -1
	for i, r := range s + " " {
		isBlank := r == ' ' || r == '\t'
		if !isBlank && start < 0 {
			start = i
		}
		if isBlank && start >= 0 {
			words = append(words, word{text: s[start:i], column: start + 1})
			start = -1
		}
	}
	return words
}

func (p *parseState) parseFields(words []word) *fields {
	f := &fields{state: p, values: make(map[string]word), line: p.line}
	for _, w := range words {
		key, value, ok := strings.Cut(w.text, "=")
		if !ok || value == "" {
			p.addError(w.column, w.text, "expected key=value")
			continue
		}
		if _, isDuplicate := f.values[key]; isDuplicate {
			p.addError(w.column, key, "given twice")
			continue
		}
		f.values[key] = word{text: value, column: w.column}
	}
	return f
}

func (p *parseState) parseRule(verb, name word, f *fields) {
	f.name = name
	switch verb.text {
	case "pool":
		p.parsePool(f)
	case "model":
		p.parseModel(f)
	case "once":
		p.parseOnce(f)
	case "lookup":
		p.parseLookup(f)
	case "organisation":
		p.parseOrganisation(f)
	default:
		p.addError(verb.column, verb.text, "unknown verb; known are pool, model, once, lookup, organisation")
		return
	}
	f.rejectUnknown()
}

func addRule[T any](p *parseState, rules map[string]T, f *fields, rule T) {
	if _, ok := rules[f.name.text]; ok {
		p.addError(f.name.column, f.name.text, "named twice")
		return
	}
	rules[f.name.text] = rule
}

func (p *parseState) parsePool(f *fields) {
	kind := PoolKind(f.oneOf("kind", string(Prefill), string(Decode), string(Service)))
	fence := f.optional("fence", "no")
	if fence != "yes" && fence != "no" {
		f.addFieldError("fence", "must be yes or no")
	}
	addRule(p, p.rules.Pools, f, Pool{Name: f.name.text, Kind: kind, IsFenced: fence == "yes"})
}

func (p *parseState) parseModel(f *fields) {
	m := Model{
		Name:     f.name.text,
		Prefill:  f.poolName("prefill", Prefill),
		Decode:   f.poolName("decode", Decode),
		Start:    f.duration("start", 0),
		Finish:   f.duration("finish", 0),
		Priority: f.integer("priority", 0),
	}
	if m.Start > m.Finish {
		f.addFieldError("start", "must not be more than finish")
	}
	addRule(p, p.rules.Models, f, m)
}

func (p *parseState) parseOnce(f *fields) {
	o := Once{
		Name:    f.name.text,
		Service: f.poolName("service", Service),
		Method:  f.oneOf("method", http.MethodPost, http.MethodPut, http.MethodPatch, http.MethodDelete),
		Path:    f.path("path", ""),
		Status:  f.path("status", "-"),
	}
	if o.Status == "-" {
		o.Status = ""
	}
	addRule(p, p.rules.OnceCalls, f, o)
}

func (p *parseState) parseLookup(f *fields) {
	l := Lookup{
		Service: f.name.text,
		Finish:  f.duration("finish", 0),
		Hedge:   f.duration("hedge", -1),
	}
	l.Hedge = max(l.Hedge, 0)
	f.requirePool(f.name, Service)
	addRule(p, p.rules.Lookups, f, l)
}

func (p *parseState) parseOrganisation(f *fields) {
	o := Organisation{
		Name:  f.name.text,
		Token: f.required("token"),
		Rate:  f.number("rate", 0),
		Burst: f.integer("burst", 1),
	}
	if raw, err := hex.DecodeString(o.Token); o.Token != "" && (err != nil || len(raw) != 32) {
		f.addFieldError("token", "must be a SHA-256 in hex, 64 digits")
	}
	o.Token = strings.ToLower(o.Token)
	if other, ok := p.rules.ByToken[o.Token]; ok && o.Token != "" {
		f.addFieldError("token", "is the token of "+other)
	}
	p.rules.ByToken[o.Token] = o.Name
	addRule(p, p.rules.Organisations, f, o)
}

// fields are the key=value words of one line. A key that the rule uses moves from values to consumed.
type fields struct {
	state    *parseState
	name     word
	line     int
	values   map[string]word
	consumed map[string]word
}

func (f *fields) consume(key string) (word, bool) {
	w, ok := f.values[key]
	if ok {
		if f.consumed == nil {
			f.consumed = make(map[string]word)
		}
		f.consumed[key] = w
		delete(f.values, key)
	}
	return w, ok
}

func (f *fields) addFieldError(key, reason string) {
	w, ok := f.consumed[key]
	if !ok {
		w = f.name
	}
	f.state.addError(w.column, key, reason)
}

func (f *fields) rejectUnknown() {
	for _, key := range slices.Sorted(maps.Keys(f.values)) {
		f.state.addError(f.values[key].column, key, "unknown key for this verb")
	}
}

func (f *fields) required(key string) string {
	w, ok := f.consume(key)
	if !ok {
		f.addFieldError(key, "is missing")
	}
	return w.text
}

func (f *fields) optional(key, value string) string {
	if w, ok := f.consume(key); ok {
		return w.text
	}
	return value
}

func (f *fields) oneOf(key string, allowed ...string) string {
	v := f.required(key)
	if v != "" && !slices.Contains(allowed, v) {
		f.addFieldError(key, "must be one of "+strings.Join(allowed, ", "))
	}
	return v
}

// poolName returns the value of key, which must name a pool of the given kind in the file.
func (f *fields) poolName(key string, kind PoolKind) string {
	v := f.required(key)
	if v != "" {
		f.requirePool(f.consumed[key], kind)
	}
	return v
}

func (f *fields) requirePool(name word, kind PoolKind) {
	p := f.state
	line := f.line
	text := name.text
	if i := strings.IndexByte(text, '='); i >= 0 {
		text = text[i+1:]
	}
	p.referenceChecks = append(p.referenceChecks, func() {
		if p.rules.Pools[text].Kind != kind {
			p.line = line
			p.addError(name.column, text, "no pool of that name with kind="+string(kind))
		}
	})
}

// duration returns a positive duration. The key is mandatory if fallback is 0.
func (f *fields) duration(key string, fallback time.Duration) time.Duration {
	v := f.valueOr(key, fallback == 0)
	if v == "" {
		return fallback
	}
	d, err := time.ParseDuration(v)
	if err != nil || d <= 0 {
		f.addFieldError(key, "must be a positive duration such as 390ms or 20s")
	}
	return d
}

func (f *fields) valueOr(key string, mandatory bool) string {
	if mandatory {
		return f.required(key)
	}
	return f.optional(key, "")
}

func (f *fields) integer(key string, fallback int) int {
	v := f.optional(key, strconv.Itoa(fallback))
	n, err := strconv.Atoi(v)
	if err != nil || n < 0 {
		f.addFieldError(key, "must be a whole number, 0 or more")
	}
	return n
}

func (f *fields) number(key string, fallback float64) float64 {
	v := f.optional(key, strconv.FormatFloat(fallback, 'g', -1, 64))
	n, err := strconv.ParseFloat(v, 64)
	if err != nil || !(n >= 0) || n > 1e9 {
		f.addFieldError(key, "must be a number from 0 to 1e9")
	}
	return n
}

func (f *fields) path(key, fallback string) string {
	v := f.valueOr(key, fallback == "")
	if v == "" {
		return fallback
	}
	if !strings.HasPrefix(v, "/") {
		f.addFieldError(key, "must start with /")
	}
	return v
}
