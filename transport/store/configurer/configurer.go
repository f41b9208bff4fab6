// Package configurer holds the newest route configuration received from the store or from another host.
package configurer

import (
	"math"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/hornbeamspan/hornbeamspan/internal/timekeeper"
	"github.com/hornbeamspan/hornbeamspan/parts/coordination/matcher"
	"github.com/hornbeamspan/hornbeamspan/parts/coordination/publisher"
	"github.com/hornbeamspan/hornbeamspan/transport/eventlogger"
	"github.com/hornbeamspan/hornbeamspan/transport/store/tailer"
)

// Sources of a configuration, as logged.
const (
	fromStore = "store"
	fromPeer  = "peer"
)

// Options configures a Configurer.
type Options struct {
	// Key is the key of the configuration records.
	Key string
	// Decode decodes the value of a record.
	Decode func(value []byte) (*matcher.Table, error)
	// Apply activates a table and returns false if a newer one is active.
	Apply func(*matcher.Table) bool
	// ConfirmedAt returns the latest time by Uptime at which the records so far were known to be the newest, 0 if that is not known; nil
	// if the age of the configuration does not matter.
	ConfirmedAt func() time.Duration
	Uptime      timekeeper.Clock
	Logs        hclog.Logger
}

// Configurer holds the active configuration. Its version never decreases.
type Configurer struct {
	options Options
	mu      sync.Mutex
	file    publisher.File
	// isInvalid is set while the newest record of the store could not be decoded.
	isInvalid bool
	// confirmedAt is the latest time by Uptime at which the active configuration was known to be the newest, 0 if it is not known.
	confirmedAt atomic.Int64
}

// New returns a Configurer without an active configuration.
func New(o Options) *Configurer { return &Configurer{options: o} }

// Version returns the active version, or 0 if there is none.
func (c *Configurer) Version() uint64 { return c.File().Version }

// File returns the active configuration as encoded by its author.
func (c *Configurer) File() publisher.File {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.file
}

// Offer activates a configuration received from another host if it is newer than the active one.
func (c *Configurer) Offer(f publisher.File) { c.update([]byte(f.Text), fromPeer, 0) }

// Age returns the time since the active configuration was known to be the newest.
func (c *Configurer) Age() time.Duration {
	confirmedAt := time.Duration(c.confirmedAt.Load())
	if confirmedAt == 0 {
		return math.MaxInt64
	}
	return c.options.Uptime.Now() - confirmedAt
}

// Record activates the configuration in a record of the store if it is newer than the active one.
func (c *Configurer) Record(r tailer.Record) {
	if r.Key == c.options.Key && len(r.Value) > 0 {
		c.isInvalid = !c.update(r.Value, fromStore, r.Offset)
	}
}

// update activates a configuration if it is newer than the active one. It returns false if it cannot be decoded.
func (c *Configurer) update(data []byte, source string, offset uint64) bool {
	table, err := c.options.Decode(data)
	if err != nil {
		eventlogger.Error(c.options.Logs, eventlogger.RulesNotEvaluated, "source", source, "offset", offset, "error", err.Error())
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	previous := c.file.Version
	if table.Version <= previous || !c.options.Apply(table) {
		return true
	}
	c.file = publisher.File{Version: table.Version, Text: string(data)}
	eventlogger.Info(c.options.Logs, eventlogger.RulesInForce, "version", table.Version, "before", previous, "source", source,
		"offset", offset, "routes", table.RouteCount())
	return true
}

// Listed does nothing: the newest configuration stays active even if its key is missing.
func (c *Configurer) Listed(map[string]bool, uint64) {}

// Lost does nothing: the active configuration stays active while the store is unreachable.
func (c *Configurer) Lost(error) {}

// Regained records as of when the active configuration is the newest. It is called after the records of each read.
func (c *Configurer) Regained() {
	if c.options.ConfirmedAt != nil && !c.isInvalid {
		c.confirmedAt.Store(int64(c.options.ConfirmedAt()))
	}
}
