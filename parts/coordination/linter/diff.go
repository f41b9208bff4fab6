package linter

import (
	"fmt"
	"slices"
	"strings"
)

// limitsKind is the kind of the entry with the limits, of which there is one without a name.
const limitsKind = "limits"

// entry is a named part of a configuration in the form in which versions are compared.
type entry struct {
	kind   string
	name   string
	place  Place
	fields []field
	// isConfidential is set if the values of the fields must not be reported.
	isConfidential bool
}

// field is a field of an entry. Its text is empty if it is not given.
type field struct {
	name  string
	place Place
	text  string
}

func (e entry) String() string {
	if e.kind == limitsKind {
		return e.kind
	}
	return fmt.Sprintf("%s %q", e.kind, e.name)
}

// Diff returns the differences of d from the version in force. A version that is not higher is an error.
func Diff(d, inForce *Document) Findings {
	var fs Findings
	if d.Version.V <= inForce.Version.V {
		fs.add(Error, d.Version.Place, "the version %d is not above the version %d in force", d.Version.V, inForce.Version.V)
	}
	fs.compare(d.entries(), inForce.entries())
	fs.Sort()
	return fs
}

// compare adds the differences between two lists of entries, which are matched by kind and name.
func (fs *Findings) compare(entries, inForce []entry) {
	find := func(list []entry, e entry) int {
		return slices.IndexFunc(list, func(o entry) bool { return o.kind == e.kind && o.name == e.name })
	}
	for _, e := range entries {
		i := find(inForce, e)
		if i < 0 {
			fs.add(Info, e.place, "%s is added", e)
			continue
		}
		fs.compareFields(e, inForce[i])
	}
	for _, old := range inForce {
		if find(entries, old) < 0 {
			fs.add(Info, Place{Field: old.kind}, "%s is removed", old)
		}
	}
}

func (fs *Findings) compareFields(e, old entry) {
	var changed []string
	for i, f := range e.allFields(old) {
		before := ""
		if j := slices.IndexFunc(old.fields, func(o field) bool { return o.name == f.name }); j >= 0 {
			before = old.fields[j].text
		}
		switch {
		case before == f.text:
		case e.isConfidential:
			changed = append(changed, f.name)
		default:
			place := f.place
			if i >= len(e.fields) {
				place = e.place
			}
			fs.add(Info, place, "%s of %s is changed from %s to %s", f.name, e, orNone(before), orNone(f.text))
		}
	}
	if len(changed) > 0 {
		fs.add(Info, e.place, "%s is changed: %s", e, strings.Join(changed, ", "))
	}
}

// allFields returns the fields of e, followed by those that only old has, without text.
func (e entry) allFields(old entry) []field {
	all := slices.Clone(e.fields)
	for _, f := range old.fields {
		if !slices.ContainsFunc(e.fields, func(o field) bool { return o.name == f.name }) {
			all = append(all, field{name: f.name})
		}
	}
	return all
}

func orNone(text string) string {
	if text == "" {
		return "none"
	}
	return text
}

func (d *Document) entries() []entry {
	var list []entry
	for _, r := range d.Routes {
		e := entry{kind: "route", name: r.Name.V, place: r.Place, fields: []field{
			fieldOf(r.Host), fieldOf(r.Prefix), fieldOf(r.KindName), fieldOf(r.Timeout), fieldOf(r.TargetLatency), fieldOf(r.MaxPause),
			fieldOf(r.Priority), fieldOf(r.MaxAttempts), fieldOf(r.Resumable), fieldOf(r.HasPrompt), fieldOf(r.IsPublic),
		}}
		var targets []string
		for _, t := range r.targets() {
			targets = append(targets, fmt.Sprintf("%s:%d", t.Service.V, t.Weight.V))
		}
		// A single service has no weight worth telling, whichever way it is written.
		if len(targets) == 1 && r.targets()[0].Weight.V > 0 {
			targets[0] = r.targets()[0].Service.V
		}
		e.fields = append(e.fields, field{name: "services", place: r.Place, text: strings.Join(targets, " ")})
		list = append(list, e)
	}
	for _, s := range d.Services {
		e := entry{kind: "service", name: s.Name.V, place: s.Place}
		if g := s.Engine; g != nil {
			e.fields = []field{
				{name: "engine", place: g.Place, text: "given"},
				fieldOf(g.Slots), fieldOf(g.Memory), fieldOf(g.Stride), fieldOf(g.SwitchTime), fieldOf(g.MaxHold),
			}
		}
		list = append(list, e)
	}
	for _, o := range d.Organisations {
		keys := field{name: "keys"}
		for _, k := range o.Keys {
			keys.text += fmt.Sprintf("%x ", k.Hash)
		}
		list = append(list, entry{kind: "organisation", name: o.Name.V, place: o.Place, isConfidential: true, fields: []field{
			keys, fieldOf(o.Priority), fieldOf(o.Rate), fieldOf(o.Burst), fieldOf(o.IsInTokens), fieldOf(o.PlainAmount),
		}})
	}
	l := d.Limits
	return append(list, entry{kind: limitsKind, fields: []field{
		fieldOf(l.HeaderBytes), fieldOf(l.BodyBytes), fieldOf(l.HeaderTimeout), fieldOf(l.IdleTimeout),
	}})
}

// fieldOf returns a field by the last part of its path.
func fieldOf[T any](v Value[T]) field {
	f := field{name: v.Place.Field[strings.LastIndexByte(v.Place.Field, '.')+1:], place: v.Place}
	if v.IsSet {
		f.text = fmt.Sprint(v.V)
	}
	return f
}
