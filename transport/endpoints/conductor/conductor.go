// Package conductor gives model engines orders to change their stage, under a fenced lease on the platform's log.
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

// Order is an order to change a stage. Expect is the number of orders that the engine has accepted before.
type Order struct {
	Engine string
	Stage  enroller.Stage
	Holder string
	Fence  uint64
	Expect int64
}

// Engines sends orders. The error is an *OrderError if the engine refused, and an *UnknownError without an answer.
type Engines interface {
	Order(ctx context.Context, at netip.AddrPort, o Order) error
}

// OrderError reports an order that an engine refused.
type OrderError struct {
	Engine string
	Reason string
}

func (e *OrderError) Error() string {
	return "conductor: unable to order " + e.Engine + ": " + e.Reason
}

// HeldError reports a duty that another host may still hold.
type HeldError struct {
	Duty   string
	Holder string
}

func (e *HeldError) Error() string { return "conductor: " + e.Duty + " is held by " + e.Holder }

// ExpiredError reports a token that was no longer good when the order was ready.
type ExpiredError struct {
	Duty string
}

func (e *ExpiredError) Error() string { return "conductor: the lease on " + e.Duty + " has run out" }

// Options are the settings of a Conductor.
type Options struct {
	// Holder is the name of this host.
	Holder string
	// Topic is the topic with the newest holder of each engine's orders.
	Topic   string
	Lease   leaser.Config
	Store   Store
	Engines Engines
	Clock   clockwork.Clock
	Logs    hclog.Logger
}

// Conductor gives orders.
type Conductor struct {
	options Options
	mu      sync.Mutex
	watch   *leaser.Watch
	// era is that of the log as last seen.
	era     uint64
	hasSeen bool
}

// New returns a Conductor.
func New(o Options) *Conductor { return &Conductor{options: o, watch: leaser.NewWatch(o.Lease)} }

// duty is the value of a record.
type duty struct {
	Holder string `json:"holder"`
}

// Order has an engine change its stage. expect is the number of orders that the engine has accepted.
func (c *Conductor) Order(ctx context.Context, e *enlister.Endpoint, stage enroller.Stage, expect int64) error {
	token, err := c.token(ctx, e.ID)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, c.options.Lease.Margin)
	defer cancel()
	if !token.IsGood(c.options.Clock.Now()) {
		return &ExpiredError{Duty: e.ID}
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

// SeeEra takes in the era of the log that a reading has shown.
func (c *Conductor) SeeEra(era uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.seeEra(era)
}

func (c *Conductor) seeEra(era uint64) {
	if c.hasSeen && era > c.era {
		c.watch.Returned(c.options.Clock.Now())
		eventer.Warn(c.options.Logs, eventer.LogRestored, "era", era, "before", c.era, "wait", c.options.Lease.Wait())
	}
	c.era, c.hasSeen = max(era, c.era), true
}

// token takes the duty of ordering one engine.
func (c *Conductor) token(ctx context.Context, engine string) (leaser.Token, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	end, err := c.look(ctx)
	if err != nil {
		return leaser.Token{}, err
	}
	start := c.options.Clock.Now()
	if !c.watch.MayTake(start, engine, c.options.Holder) {
		return leaser.Token{}, &HeldError{Duty: engine, Holder: c.watch.Holder(engine)}
	}
	value, err := json.Marshal(duty{Holder: c.options.Holder})
	if err != nil {
		return leaser.Token{}, errorx.Decorate(err, "conductor: unable to encode a duty")
	}
	offset, err := c.options.Store.Put(ctx, c.options.Topic, engine, value, &end)
	if err != nil {
		return leaser.Token{}, errorx.Decorate(err, "conductor: unable to take the duty of %s", engine)
	}
	eventer.Info(c.options.Logs, eventer.LeaseTaken, "endpoint", engine, "holder", c.options.Holder, "fence", offset)
	// A fence of 0 would not differ from none.
	return c.options.Lease.NewToken(start, offset+1), nil
}

// look reads the newest holder of every engine and returns the end of the topic.
func (c *Conductor) look(ctx context.Context) (uint64, error) {
	var records []tailer.Record
	end, err := tailer.List(ctx, c.options.Store, c.options.Topic, func(r tailer.Record) { records = append(records, r) })
	if err != nil {
		return 0, errorx.Decorate(err, "conductor: unable to read the duties")
	}
	c.seeEra(replicator.Era(end)) // which forgets what was seen before
	for _, r := range records {
		var d duty
		if err := json.Unmarshal(r.Value, &d); err != nil {
			eventer.Warn(c.options.Logs, eventer.RecordInvalid, "stream", c.options.Topic, "offset", r.Offset, "error", err.Error())
		}
		c.watch.Seen(c.options.Clock.Now(), r.Key, leaser.Record{Holder: d.Holder, Offset: r.Offset})
	}
	return end, nil
}

// UnknownError reports an order without an answer: it may be carried out, even later.
type UnknownError struct {
	Engine string
	Reason string
}

func (e *UnknownError) Error() string {
	return "conductor: the order to " + e.Engine + " has no answer: " + e.Reason
}

// IsUnsent tells whether an order is sure not to be carried out.
func IsUnsent(err error) bool {
	var unknown *UnknownError
	return err != nil && !errors.As(err, &unknown)
}

// Patience is how long an order without an answer may still be carried out.
const Patience = 15 * time.Second
