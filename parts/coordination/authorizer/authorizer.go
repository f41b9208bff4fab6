// Package authorizer decides which organisation a request belongs to, and whether its key may still be in force.
//
// It is designed for the revocation of keys while hosts are cut off from the store or suspended: a host that cannot show that its
// configuration was the newest a short time ago accepts no key.
package authorizer

import (
	"fmt"
	"time"

	"github.com/hornbeamspan/hornbeamspan/parts/coordination/matcher"
)

// MaxKeyBytes is the length of the longest key.
const MaxKeyBytes = 256

// KeyError reports a request without a valid key.
type KeyError struct {
	Reason string
}

func (e *KeyError) Error() string { return "authorizer: unable to accept the key: " + e.Reason }

// StaleError reports a configuration that is too old to accept keys.
type StaleError struct {
	// Age is the time since the configuration was known to be the newest, Limit the longest time for which it is used.
	Age   time.Duration
	Limit time.Duration
}

func (e *StaleError) Error() string {
	return fmt.Sprintf("authorizer: unable to accept keys: the configuration was confirmed %s ago, the limit is %s", e.Age.Round(time.Millisecond), e.Limit)
}

// Parse returns the digest of the key in the values of a request's header. The error is a *KeyError.
func Parse(values []string) (matcher.Digest, error) {
	switch {
	case len(values) == 0 || len(values) == 1 && values[0] == "":
		return matcher.Digest{}, &KeyError{Reason: "the request has none"}
	case len(values) > 1:
		return matcher.Digest{}, &KeyError{Reason: "the request has more than one"}
	case len(values[0]) > MaxKeyBytes:
		return matcher.Digest{}, &KeyError{Reason: fmt.Sprintf("it is longer than %d bytes", MaxKeyBytes)}
	}
	return matcher.DigestOf(values[0]), nil
}

// Authorizer checks the keys of requests.
type Authorizer struct {
	// MaxAge is the longest time since the configuration was confirmed; 0 for any.
	MaxAge time.Duration
}

// Check returns the organisation of a key. age is the time since the table was known to be the newest. The error is a *StaleError or
// a *KeyError.
func (a Authorizer) Check(t *matcher.Table, key matcher.Digest, age time.Duration) (*matcher.Organisation, error) {
	// A newer configuration may have added the key, so that a host with an old one must not call it unknown.
	if a.MaxAge > 0 && age >= a.MaxAge {
		return nil, &StaleError{Age: age, Limit: a.MaxAge}
	}
	o := t.KeyOwner(key)
	if o == nil {
		return nil, &KeyError{Reason: "it belongs to no organisation"}
	}
	return o, nil
}
