// Package parser reads the rule file: one rule a line, `verb name key=value … # who: why`.
package parser

import (
	"time"
)

// PoolKind is what the endpoints of a pool do.
type PoolKind string

// The kinds of pools.
const (
	Prefill PoolKind = "prefill"
	Decode  PoolKind = "decode"
	Service PoolKind = "service"
)

// Pool is a set of equal endpoints. With Fence its endpoints refuse orders with an old fencing number.
type Pool struct {
	Name     string
	Kind     PoolKind
	IsFenced bool
}

// Model routes a model's requests to a prefill pool and a decode pool. Start and Finish are its latency targets,
// Priority orders its requests in the engines' queues, highest first.
type Model struct {
	Name     string
	Prefill  string
	Decode   string
	Start    time.Duration
	Finish   time.Duration
	Priority int
}

// Once marks the calls of a service with Method below Path as running at most once. Status is the service's path for
// asking what became of a call, or "".
type Once struct {
	Name    string
	Service string
	Method  string
	Path    string
	Status  string
}

// Lookup gives the time limit of a service's idempotent calls, and after how long a second one may be sent.
// Hedge 0 sends none.
type Lookup struct {
	Service string
	Finish  time.Duration
	Hedge   time.Duration
}

// Organisation is a caller of the system. Token is the SHA-256 of its bearer token in hex. Rate is in requests per second over
// all hosts and 0 for no limit; Burst is in requests.
type Organisation struct {
	Name  string
	Token string
	Rate  float64
	Burst int
}

// Rules is a parsed rule file. Each map is keyed by the rule's name.
type Rules struct {
	Pools         map[string]Pool
	Models        map[string]Model
	OnceCalls     map[string]Once
	Lookups       map[string]Lookup
	Organisations map[string]Organisation
	// ByToken finds the name of an organisation by its Token.
	ByToken map[string]string
}
