package linter

import (
	"crypto/sha256"
	"strings"
	"time"
	"unicode"
)

// quotaWindow is the window over which an organisation's quota is counted.
const quotaWindow = 8 * time.Second

func (l *linter) lintOrganisations() {
	d := l.document
	names := uniqueNames{findings: &l.Findings, entry: "organisation"}
	owners := make(map[[sha256.Size]byte]keyOwner)
	for i, o := range d.Organisations {
		names.check(o.Name)
		if strings.ContainsFunc(o.Name.V, unicode.IsControl) || strings.TrimSpace(o.Name.V) != o.Name.V {
			l.add(Error, o.Name.Place, "the name cannot be sent to endpoints in a header")
		}
		if len(o.Keys) == 0 {
			l.add(Error, o.Place, "the organisation has no key, so that it cannot send requests")
		}
		for _, k := range o.Keys {
			l.lintKey(k, i, owners)
		}
		l.lintQuota(o)
	}
	for _, r := range d.Routes {
		if !r.IsPublic.V {
			return
		}
	}
	if len(d.Organisations) > 0 && len(d.Routes) > 0 {
		l.add(Warning, d.Organisations[0].Place, "organisations have no effect: all routes are public, so that no key is ever required")
	}
}

// keyOwner is where a key was found first, and the index of its organisation.
type keyOwner struct {
	place        Place
	organisation int
}

func (l *linter) lintKey(k Key, organisation int, owners map[[sha256.Size]byte]keyOwner) {
	maxBytes := l.document.Limits.HeaderBytes.V
	switch {
	case k.Length == 0:
		l.add(Error, k.Place, "the key is empty")
		return
	case !k.IsHeaderValue:
		l.add(Error, k.Place, "the key cannot be sent in a header: it has control characters or surrounding blanks")
	case maxBytes > 0 && k.Length >= maxBytes:
		l.add(Error, k.Place, "the key is longer than the header limit of %d bytes", maxBytes)
	}
	owner, ok := owners[k.Hash]
	switch {
	case !ok:
		owners[k.Hash] = keyOwner{place: k.Place, organisation: organisation}
	case owner.organisation == organisation:
		l.add(Warning, k.Place, "the key is the same as %s", owner.place.Field)
	default:
		l.add(Error, k.Place, "the key is the same as %s, which is that of another organisation", owner.place.Field)
	}
}

func (l *linter) lintQuota(o Organisation) {
	for _, v := range []Value[float64]{o.Rate, o.Burst, o.PlainAmount} {
		if v.V < 0 {
			l.add(Error, v.Place, "the value %g is negative", v.V)
		}
	}
	amount := 1.0
	if o.IsInTokens.V {
		amount = o.PlainAmount.V
	} else if o.PlainAmount.V > 0 {
		l.add(Warning, o.PlainAmount.Place, "has no effect: the quota is in requests, each of which counts as 1")
	}
	if o.Rate.V <= 0 {
		if o.Burst.V > 0 {
			l.add(Warning, o.Burst.Place, "has no effect: without a rate, the organisation has no limit")
		}
		return
	}
	if total := o.Rate.V*quotaWindow.Seconds() + max(0, o.Burst.V); total < amount {
		l.add(Warning, o.Rate.Place, "the quota of %g in %s is below the %g of a single request without a token count",
			total, quotaWindow, amount)
	} else if o.Burst.V > 0 && o.Burst.V < amount {
		l.add(Warning, o.Burst.Place, "the burst of %g is below the %g of a single request without a token count", o.Burst.V, amount)
	}
}
