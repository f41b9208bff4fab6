package linter

import (
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/hornbeamspan/hornbeamspan/parts/coordination/matcher"
)

// Lint returns the findings of a document, sorted by place.
func Lint(d *Document) Findings {
	l := &linter{document: d, services: make(map[string]Service), used: make(map[string]bool)}
	for _, p := range d.Repeated {
		l.add(Error, p, "the field is given more than once; only the last one counts")
	}
	for _, s := range d.Services {
		l.services[s.Name.V] = s
	}
	names := uniqueNames{findings: &l.Findings, entry: "route"}
	for _, r := range d.Routes {
		names.check(r.Name)
		l.lintRoute(r)
	}
	l.lintMatches()
	names = uniqueNames{findings: &l.Findings, entry: "service"}
	for _, s := range d.Services {
		names.check(s.Name)
		l.lintService(s)
	}
	l.lintOrganisations()
	l.lintLimits()
	if r := d.Refused; r != nil && !slices.ContainsFunc(l.Findings, func(f Finding) bool { return f.Severity == Error && f.Field == r.Field }) {
		l.Findings = append(l.Findings, r.Finding())
	}
	l.Sort()
	return l.Findings
}

// linter is the state of one check.
type linter struct {
	Findings
	document *Document
	services map[string]Service
	// used holds the names of services that routes send requests to.
	used map[string]bool
}

// uniqueNames checks the names of one list.
type uniqueNames struct {
	findings *Findings
	entry    string
	seen     map[string]Place
}

func (u *uniqueNames) check(name Value[string]) {
	if name.V == "" {
		u.findings.add(Error, name.Place, "the %s has no name", u.entry)
		return
	}
	if other, ok := u.seen[name.V]; ok {
		u.findings.add(Error, name.Place, "the name %q is already that of %s", name.V, other.Field)
		return
	}
	if u.seen == nil {
		u.seen = make(map[string]Place)
	}
	u.seen[name.V] = name.Place
}

func (l *linter) lintRoute(r Route) {
	if r.Kind == Unknown {
		l.add(Error, r.KindName.Place, "the kind %q is unknown; the route would be served as at-most-once", r.KindName.V)
	}
	if !strings.HasPrefix(r.Prefix.V, "/") || !strings.HasSuffix(r.Prefix.V, "/") {
		l.add(Error, r.Prefix.Place, "the prefix %q does not begin and end with a slash", r.Prefix.V)
	}
	if r.Host.V == "" {
		l.add(Warning, r.Host.Place, "the route has no host name, so that requests with one never match it")
	}
	l.lintTargets(r)
	l.lintTimes(r)
	if r.MaxAttempts.V < 0 {
		l.add(Warning, r.MaxAttempts.Place, "%d attempts count as 1", r.MaxAttempts.V)
	}
	if r.IsPublic.V && len(l.document.Organisations) == 0 {
		l.add(Warning, r.IsPublic.Place, "has no effect: without organisations, no route requires a key")
	}
}

func (l *linter) lintTargets(r Route) {
	total, isKnown, hasEngine := 0, true, false
	for _, t := range r.targets() {
		s, ok := l.services[t.Service.V]
		if !ok {
			l.add(Error, t.Service.Place, "there is no service %q", t.Service.V)
			isKnown = false
		}
		if t.Weight.V < 0 {
			l.add(Warning, t.Weight.Place, "the weight %d counts as 0", t.Weight.V)
		}
		if t.Weight.V > 0 {
			total += t.Weight.V
			l.used[t.Service.V] = true
			hasEngine = hasEngine || s.Engine != nil
		}
	}
	switch {
	case len(r.targets()) == 0:
		l.add(Error, r.Place, "the route has no service, so that all of its requests fail")
		return
	case total == 0:
		l.add(Error, r.Split[0].Weight.Place, "no weight of the route is above 0, so that all of its requests fail")
		return
	}
	if len(r.Split) > 0 && r.Service.V != "" {
		l.add(Warning, r.Service.Place, "has no effect: the route sends its requests to the services with weights only")
	}
	if r.Kind != Stream || !isKnown {
		return
	}
	if r.HasPrompt.V && !hasEngine {
		l.add(Warning, r.HasPrompt.Place, "has no effect: no service of the route has model engines")
	}
	// The deadline of the first event is the arrival plus the target, so that without a target every generation is late.
	if r.HasPrompt.V && hasEngine && r.TargetLatency.V <= 0 {
		l.add(Warning, r.TargetLatency.Place, "without a target latency, every generation of the route counts as late")
	}
}

func (l *linter) lintTimes(r Route) {
	for _, v := range []Value[time.Duration]{r.Timeout, r.TargetLatency, r.MaxPause} {
		l.notNegative(v)
	}
	switch {
	case r.Timeout.V <= 0:
		l.add(Warning, r.Timeout.Place, "without a timeout, requests that state no deadline of their own expire on arrival")
	case r.TargetLatency.V > r.Timeout.V:
		l.add(Warning, r.TargetLatency.Place, "the target latency of %s is above the timeout of %s", r.TargetLatency.V, r.Timeout.V)
	}
	if r.Timeout.V > 0 && r.MaxPause.V > r.Timeout.V {
		l.add(Warning, r.MaxPause.Place, "the longest pause of %s is above the timeout of %s", r.MaxPause.V, r.Timeout.V)
	}
	if r.Kind != Idempotent && r.Kind != Once {
		return
	}
	if r.MaxPause.V > 0 {
		l.add(Warning, r.MaxPause.Place, "has no effect: the answers of the route are not streams")
	}
	for _, v := range []Value[bool]{r.Resumable, r.HasPrompt} {
		if v.V {
			l.add(Warning, v.Place, "has no effect: the answers of the route are not streams")
		}
	}
}

func (l *linter) notNegative(v Value[time.Duration]) {
	if v.V < 0 {
		l.add(Warning, v.Place, "the negative time %s counts as 0", v.V)
	}
}

// lintMatches finds routes that are hidden by another one. It asks the router's own table, in which each route is named by its
// index.
func (l *linter) lintMatches() {
	routes := make([]matcher.Route, 0, len(l.document.Routes))
	for i, r := range l.document.Routes {
		routes = append(routes, matcher.Route{Name: strconv.Itoa(i), Host: r.Host.V, Prefix: r.Prefix.V})
	}
	table := matcher.New(0, matcher.Limits{}, routes, nil)
	for i, r := range l.document.Routes {
		winner := table.Match(r.Host.V, r.Prefix.V)
		if winner == nil || winner.Name == strconv.Itoa(i) {
			continue
		}
		other, _ := strconv.Atoi(winner.Name)
		l.add(Warning, r.Prefix.Place, "the route never matches: %s has the same host name and prefix", l.document.Routes[other].Place.Field)
	}
}

func (l *linter) lintService(s Service) {
	if s.Name.V != "" && !l.used[s.Name.V] {
		l.add(Warning, s.Place, "no route sends requests to the service %q", s.Name.V)
	}
	e := s.Engine
	if e == nil {
		return
	}
	if e.Slots.V <= 0 {
		l.add(Error, e.Slots.Place, "engines without slots run no request")
	}
	if e.Memory.V <= 0 {
		l.add(Error, e.Memory.Place, "engines without memory run no request")
	}
	if e.Memory.V > 0 && e.Stride.V > e.Memory.V {
		l.add(Warning, e.Stride.Place, "one event of %d tokens is larger than the memory of %d tokens", e.Stride.V, e.Memory.V)
	}
	l.notNegative(e.SwitchTime)
	l.notNegative(e.MaxHold)
	l.lintHold(s)
}

// lintHold compares the longest reservation of engine memory with the generations that it is made for.
func (l *linter) lintHold(s Service) {
	var longest time.Duration
	isGenerating := false
	for _, r := range l.document.Routes {
		if r.Kind != Stream || !r.HasPrompt.V {
			continue
		}
		for _, t := range r.targets() {
			if t.Service.V == s.Name.V && t.Weight.V > 0 {
				isGenerating = true
				longest = max(longest, r.Timeout.V)
			}
		}
	}
	hold := s.Engine.MaxHold
	switch {
	case !isGenerating:
	case hold.V <= 0:
		l.add(Warning, hold.Place, "a reservation of memory expires at once, before its generation arrives at the engine")
	case longest > 0 && hold.V > longest:
		l.add(Warning, hold.Place, "a reservation of %s outlives the timeout of %s of all generations that it can be for", hold.V, longest)
	}
}

func (l *linter) lintLimits() {
	limits := l.document.Limits
	if limits.HeaderBytes.V < 0 {
		l.add(Warning, limits.HeaderBytes.Place, "the limit of %d bytes is replaced by a default", limits.HeaderBytes.V)
	}
	if limits.BodyBytes.V < 0 {
		l.add(Warning, limits.BodyBytes.Place, "the limit of %d bytes is replaced by a default", limits.BodyBytes.V)
	}
	if limits.BodyBytes.V > 0 && int64(limits.HeaderBytes.V) > limits.BodyBytes.V {
		l.add(Warning, limits.HeaderBytes.Place, "the header limit of %d bytes is above the body limit of %d bytes",
			limits.HeaderBytes.V, limits.BodyBytes.V)
	}
	l.notNegative(limits.HeaderTimeout)
	l.notNegative(limits.IdleTimeout)
	if limits.IdleTimeout.V > 0 && limits.HeaderTimeout.V > limits.IdleTimeout.V {
		l.add(Warning, limits.HeaderTimeout.Place, "the header timeout of %s is above the idle timeout of %s",
			limits.HeaderTimeout.V, limits.IdleTimeout.V)
	}
	if l.document.Version.V == 0 {
		l.add(Error, l.document.Version.Place, "the version is missing or 0, so that it cannot replace one in force")
	}
}
