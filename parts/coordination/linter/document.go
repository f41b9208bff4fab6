package linter

import (
	"crypto/sha256"
	"time"
)

// Value is the value of a field and its place. A field that is not given has the place of the entry around it.
type Value[T any] struct {
	V     T
	Place Place
	IsSet bool
}

// Document is a configuration of the platform.
type Document struct {
	Version       Value[uint64]
	Routes        []Route
	Services      []Service
	Organisations []Organisation
	Limits        Limits
	// Repeated are fields that one entry contains twice, of which only the last one counts.
	Repeated []Place
	// Refused is why hosts do not take the configuration, nil if they do.
	Refused *RefusedError
}

// Kind is the kind of a route.
type Kind uint8

// The kinds of routes. An Unknown one is served like Once.
const (
	Unknown Kind = iota
	Idempotent
	Once
	Stream
)

// Route is an entry of the list of routes.
type Route struct {
	Place         Place
	Name          Value[string]
	Host          Value[string]
	Prefix        Value[string]
	KindName      Value[string]
	Kind          Kind
	Timeout       Value[time.Duration]
	TargetLatency Value[time.Duration]
	MaxPause      Value[time.Duration]
	Priority      Value[int]
	MaxAttempts   Value[int]
	// Service is used if Split is empty.
	Service   Value[string]
	Split     []Target
	Resumable Value[bool]
	HasPrompt Value[bool]
	IsPublic  Value[bool]
}

// Target is a service of a route with its weight.
type Target struct {
	Service Value[string]
	Weight  Value[int]
}

// targets returns the services that the route sends requests to.
func (r Route) targets() []Target {
	if len(r.Split) == 0 && r.Service.V != "" {
		return []Target{{Service: r.Service, Weight: Value[int]{V: 1, Place: r.Service.Place}}}
	}
	return r.Split
}

// Service is an entry of the list of services. Engine is nil for plain services.
type Service struct {
	Place  Place
	Name   Value[string]
	Engine *Engine
}

// Engine is the size of a service's model engines.
type Engine struct {
	Place      Place
	Slots      Value[int]
	Memory     Value[int]
	Stride     Value[int]
	SwitchTime Value[time.Duration]
	MaxHold    Value[time.Duration]
}

// Organisation is an entry of the list of organisations.
type Organisation struct {
	Place    Place
	Name     Value[string]
	Keys     []Key
	Priority Value[int]
	Rate     Value[float64]
	Burst    Value[float64]
	// IsInTokens is set if Rate and Burst are in tokens; otherwise they are in requests.
	IsInTokens Value[bool]
	// PlainAmount is what a request without a token count is charged.
	PlainAmount Value[float64]
}

// Key describes an API key without containing it.
type Key struct {
	Place  Place
	Hash   [sha256.Size]byte
	Length int
	// IsHeaderValue reports whether the key can be sent unchanged as the value of a header.
	IsHeaderValue bool
}

// Limits bound requests and connections. A limit of 0 stands for the host's default.
type Limits struct {
	HeaderBytes   Value[int]
	BodyBytes     Value[int64]
	HeaderTimeout Value[time.Duration]
	IdleTimeout   Value[time.Duration]
}
