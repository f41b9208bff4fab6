// Package configurer keeps the newest configuration of routes that the store or another host has told.
package configurer

import (
	"sync"

	"github.com/hashicorp/go-hclog"

	"github.com/hornbeamspan/hornbeamspan/parts/coordination/matcher"
	"github.com/hornbeamspan/hornbeamspan/parts/coordination/publisher"
	"github.com/hornbeamspan/hornbeamspan/transport/eventer"
	"github.com/hornbeamspan/hornbeamspan/transport/store/tailer"
)

// The sources of a configuration.
const (
	fromStore = "store"
	fromPeer  = "peer"
)

// Options are the settings of a Configurer.
type Options struct {
	// Key is the one whose records are configurations.
	Key string
	// Decode turns a record into a table.
	Decode func(value []byte) (*matcher.Table, error)
	// Apply puts a table in force, and returns false if a newer one is.
	Apply func(*matcher.Table) bool
	Logs  hclog.Logger
}

// Configurer is the newest configuration. Its version only rises.
type Configurer struct {
	options Options
	mu      sync.Mutex
	file    publisher.File
}

// New returns a Configurer without a configuration.
func New(o Options) *Configurer { return &Configurer{options: o} }

// Version returns the version in force, 0 if there is none.
func (c *Configurer) Version() uint64 { return c.File().Version }

// File returns the configuration as it was written.
func (c *Configurer) File() publisher.File {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.file
}

// Offer takes a configuration from another host.
func (c *Configurer) Offer(f publisher.File) { c.take([]byte(f.Text), fromPeer, 0) }

// Record takes a record of the store.
func (c *Configurer) Record(r tailer.Record) {
	if r.Key == c.options.Key && len(r.Value) > 0 {
		c.take(r.Value, fromStore, r.Offset)
	}
}

func (c *Configurer) take(data []byte, source string, offset uint64) {
	table, err := c.options.Decode(data)
	if err != nil {
		eventer.Error(c.options.Logs, eventer.RulesNotEvaluated, "source", source, "offset", offset, "error", err.Error())
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	old := c.file.Version
	if table.Version <= old || !c.options.Apply(table) {
		return
	}
	c.file = publisher.File{Version: table.Version, Text: string(data)}
	eventer.Info(c.options.Logs, eventer.RulesInForce, "version", table.Version, "before", old, "source", source,
		"offset", offset, "routes", table.Routes())
}

// Listed does nothing: the newest configuration stays in force.
func (c *Configurer) Listed(map[string]bool, uint64) {}

// Lost does nothing: what is in force stays so.
func (c *Configurer) Lost(error) {}

// Regained does nothing.
func (c *Configurer) Regained() {}
