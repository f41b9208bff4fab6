// Package parser parses the rule file. Each line is one rule: `verb name key=value … # who: why`.
package parser

import (
	"time"
)

// PoolKind is the function of the endpoints of a pool.
type PoolKind string

// The pool kinds as they are written in the rule file.
const (
	Prefill PoolKind = "prefill"
	Decode  PoolKind = "decode"
	Service PoolKind = "service"
)

// Pool is a set of interchangeable endpoints. If IsFenced is set, its endpoints refuse orders with an outdated fencing
// token.
type Pool struct {
	Name     string
	Kind     PoolKind
	IsFenced bool
}

// Model routes a model's requests to a prefill pool and a decode pool. Start and Finish are its latency targets, for
// the first token and for the complete answer. Priority orders its requests in the engines' queues, highest first.
type Model struct {
	Name     string
	Prefill  string
	Decode   string
	Start    time.Duration
	Finish   time.Duration
	Priority int
}

// Once declares that calls of a service with Method below Path must run at most once. Status is the service's path
// for querying the outcome of a call, or "".
type Once struct {
	Name    string
	Service string
	Method  string
	Path    string
	Status  string
}

// Lookup holds the limits of a service's idempotent calls: Finish is the time limit, Hedge the delay after which a second
// call may be sent. Hedge 0 disables hedging.
type Lookup struct {
	Service string
	Finish  time.Duration
	Hedge   time.Duration
}

// Organisation is a caller of the system. Token is the SHA-256 of its bearer token in hex. Rate is in requests per second
// over all hosts, 0 for no limit; Burst is in requests.
type Organisation struct {
	Name  string
	Token string
	Rate  float64
	Burst int
}

// Rules is a parsed rule file. The maps are keyed by the name of the rule, except ByToken.
type Rules struct {
	Pools         map[string]Pool
	Models        map[string]Model
	OnceCalls     map[string]Once
	Lookups       map[string]Lookup
	Organisations map[string]Organisation
	// ByToken maps the Token of an organisation to its name.
	ByToken map[string]string
}
