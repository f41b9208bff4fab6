// Package conductor orders model engines to change their stage, under a fenced lease per engine on the platform's log.
package conductor

import (
	"context"
	"encoding/json"
	"errors"
	"net/netip"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/jonboulle/clockwork"
	"github.com/joomcode/errorx"

	"github.com/hornbeamspan/hornbeamspan/parts/coordination/enroller"
	"github.com/hornbeamspan/hornbeamspan/parts/coordination/leaser"
	"github.com/hornbeamspan/hornbeamspan/parts/state/replicator"
	"github.com/hornbeamspan/hornbeamspan/transport/endpoints/enlister"
	"github.com/hornbeamspan/hornbeamspan/transport/eventer"
	"github.com/hornbeamspan/hornbeamspan/transport/store/tailer"
)

// Store is a log with conditional appends.
type Store interface {
	Newest(ctx context.Context, topic, after string) (tailer.Page, error)
	// Put appends the value of a key if the topic ends at *end, and returns the record's offset.
	Put(ctx context.Context, topic, key string, value []byte, end *uint64) (uint64, error)
}

// Order is a stage change. Expect is the number of orders that the engine has accepted before.
type Order struct {
	Engine string
	Stage  enroller.Stage
	Holder string
	Fence  uint64
	Expect int64
}

// Engines sends orders. The error is an *OrderError if the engine refused, and an *UnknownOutcomeError without an answer.
type Engines interface {
	Order(ctx context.Context, at netip.AddrPort, o Order) error
}

// OrderError reports an order that an engine refused.
type OrderError struct {
	Engine string
	Reason string
}

func (e *OrderError) Error() string {
	return "conductor: unable to change the stage of " + e.Engine + ": " + e.Reason
}

// HeldError reports a lease that another host may still hold.
type HeldError struct {
	EngineID string
	Holder   string
}

func (e *HeldError) Error() string {
	return "conductor: unable to take the lease on " + e.EngineID + ": it is held by " + e.Holder
}

// ExpiredError reports a lease that expired before the order was sent.
type ExpiredError struct {
	EngineID string
}

func (e *ExpiredError) Error() string {
	return "conductor: unable to send the order: the lease on " + e.EngineID + " has expired"
}

// Options are the settings of a Conductor.
type Options struct {
	// Holder is the name of this host.
	Holder string
	// Topic is the topic with one lease record per engine.
	Topic   string
	Lease   leaser.Config
	Store   Store
	Engines Engines
	Clock   clockwork.Clock
	Logs    hclog.Logger
}

// Conductor sends stage orders on behalf of one host. It is safe for concurrent use.
type Conductor struct {
	options Options
	mu      sync.Mutex
	watch   *leaser.Observer
	// era is the highest era of the log seen so far.
	era        uint64
	isEraKnown bool
}

// New returns a Conductor.
func New(o Options) *Conductor { return &Conductor{options: o, watch: leaser.NewObserver(o.Lease)} }

// leaseRecord is the value of a record in Topic; its key is the engine.
type leaseRecord struct {
	Holder string `json:"holder"`
}

// Order takes the lease on an engine and orders it to change its stage. expect is the number of orders that the engine has
// accepted.
func (c *Conductor) Order(ctx context.Context, e *enlister.Endpoint, stage enroller.Stage, expect int64) error {
	token, err := c.takeLease(ctx, e.ID)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, c.options.Lease.Margin)
	defer cancel()
	if !token.IsValid(c.options.Clock.Now()) {
		return &ExpiredError{EngineID: e.ID}
	}
	err = c.options.Engines.Order(ctx, e.Address, Order{
		Engine: e.ID, Stage: stage, Holder: c.options.Holder, Fence: token.Fence, Expect: expect,
	})
	outcome := "accepted"
	if err != nil {
		outcome = err.Error()
	}
	eventer.Info(c.options.Logs, eventer.StageOrdered, "endpoint", e.ID, "stage", stage.String(), "fence", token.Fence,
		"expect", expect, "outcome", outcome)
	return err
}

// SeeEra records the era that a read of the log returned. A new era means that the log may have lost lease records.
func (c *Conductor) SeeEra(era uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.observeEra(era)
}

func (c *Conductor) observeEra(era uint64) {
	if c.isEraKnown && era > c.era {
		c.watch.RecordsLost(c.options.Clock.Now())
		eventer.Warn(c.options.Logs, eventer.LogRestored, "era", era, "before", c.era, "wait", c.options.Lease.TakeoverDelay())
	}
	c.era, c.isEraKnown = max(era, c.era), true
}

// takeLease appends a record that makes this host the holder of the lease on an engine.
func (c *Conductor) takeLease(ctx context.Context, engine string) (leaser.Token, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	end, err := c.readHolders(ctx)
	if err != nil {
		return leaser.Token{}, err
	}
	start := c.options.Clock.Now()
	if !c.watch.MayAcquire(start, engine, c.options.Holder) {
		return leaser.Token{}, &HeldError{EngineID: engine, Holder: c.watch.Holder(engine)}
	}
	value, err := json.Marshal(leaseRecord{Holder: c.options.Holder})
	if err != nil {
		return leaser.Token{}, errorx.Decorate(err, "conductor: unable to encode a lease record")
	}
	offset, err := c.options.Store.Put(ctx, c.options.Topic, engine, value, &end)
	if err != nil {
		return leaser.Token{}, errorx.Decorate(err, "conductor: unable to take the lease on %s", engine)
	}
	eventer.Info(c.options.Logs, eventer.LeaseTaken, "endpoint", engine, "holder", c.options.Holder, "fence", offset)
	// A fence of 0 would be indistinguishable from none.
	return c.options.Lease.NewToken(start, offset+1), nil
}

// readHolders reads the newest holder of every engine and returns the end of the topic.
func (c *Conductor) readHolders(ctx context.Context) (uint64, error) {
	var records []tailer.Record
	end, err := tailer.List(ctx, c.options.Store, c.options.Topic, func(r tailer.Record) { records = append(records, r) })
	if err != nil {
		return 0, errorx.Decorate(err, "conductor: unable to read the lease records")
	}
	c.observeEra(replicator.Era(end)) // before the records, because a new era discards those seen earlier
	for _, r := range records {
		var lr leaseRecord
		if err := json.Unmarshal(r.Value, &lr); err != nil {
			eventer.Warn(c.options.Logs, eventer.RecordInvalid, "stream", c.options.Topic, "offset", r.Offset, "error", err.Error())
		}
		c.watch.Observe(c.options.Clock.Now(), r.Key, leaser.Record{Holder: lr.Holder, Offset: r.Offset})
	}
	return end, nil
}

// UnknownOutcomeError reports an order without an answer: the engine may execute it, even later.
type UnknownOutcomeError struct {
	Engine string
	Reason string
}

func (e *UnknownOutcomeError) Error() string {
	return "conductor: unable to get an answer to the order from " + e.Engine + ": " + e.Reason
}

// IsNotExecuted reports whether the error proves that the engine did not and will not execute the order.
func IsNotExecuted(err error) bool {
	var unknown *UnknownOutcomeError
	return err != nil && !errors.As(err, &unknown)
}

// MaxOrderDelay is how long an order without an answer may still be executed.
const MaxOrderDelay = 15 * time.Second
