package matcher

import "crypto/sha256"

// Digest identifies a key of an organisation. Keys themselves are not kept.
type Digest [sha256.Size]byte

// DigestOf returns the digest of a key.
func DigestOf(key string) Digest { return sha256.Sum256([]byte(key)) }

// Organisation is a group of callers with keys of its own.
type Organisation struct {
	Name string
	// Priority 0 is served first. It takes precedence over that of the route.
	Priority int
	Quota    Quota
	Keys     []Digest
}

// Quota bounds what all hosts together send for an organisation. Without a rate there is no bound.
type Quota struct {
	// PerSecond and Burst are in tokens if CountsTokens is set, otherwise in requests.
	PerSecond    float64
	Burst        float64
	CountsTokens bool
	// PlainTokens is the amount of a request that states no number of tokens.
	PlainTokens int
}

// IsSet reports whether the quota bounds anything.
func (q Quota) IsSet() bool { return q.PerSecond > 0 }

// Amount returns what a request counts for that states a number of tokens, 0 for none.
func (q Quota) Amount(tokens int) int {
	switch {
	case !q.CountsTokens:
		return 1
	case tokens > 0:
		return tokens
	}
	return q.PlainTokens
}

// SetOrganisations adds the organisations to a table that is not in use yet. From then on, requests need a key unless their route is
// public.
func (t *Table) SetOrganisations(list []Organisation) {
	t.organisations = make(map[string]*Organisation, len(list))
	t.organisationsByKey = make(map[Digest]*Organisation)
	for i := range list {
		o := &list[i]
		t.organisations[o.Name] = o
		for _, k := range o.Keys {
			t.organisationsByKey[k] = o
		}
	}
}

// HasOrganisations reports whether requests need a key unless their route is public.
func (t *Table) HasOrganisations() bool { return t.organisations != nil }

// Organisation returns the organisation with the given name, nil if there is none.
func (t *Table) Organisation(name string) *Organisation { return t.organisations[name] }

// KeyOwner returns the organisation that a key belongs to, nil if there is none.
func (t *Table) KeyOwner(key Digest) *Organisation { return t.organisationsByKey[key] }
