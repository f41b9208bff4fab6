// Package stageswitcher orders model engines to change their stage, under a fenced lease per engine on the platform's log.
package stageswitcher

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
	"github.com/hornbeamspan/hornbeamspan/transport/endpoints/discoverer"
	"github.com/hornbeamspan/hornbeamspan/transport/eventlogger"
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
	return "stageswitcher: unable to change the stage of " + e.Engine + ": " + e.Reason
}

// HeldError reports a lease that another host may still hold.
type HeldError struct {
	EngineID string
	Holder   string
}

func (e *HeldError) Error() string {
	return "stageswitcher: unable to take the lease on " + e.EngineID + ": it is held by " + e.Holder
}

// ExpiredError reports a lease that expired before the order was sent.
type ExpiredError struct {
	EngineID string
}

func (e *ExpiredError) Error() string {
	return "stageswitcher: unable to send the order: the lease on " + e.EngineID + " has expired"
}

// Options are the settings of a Switcher.
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

// Switcher sends stage orders on behalf of one host. It is safe for concurrent use.
type Switcher struct {
	options  Options
	mu       sync.Mutex
	observer *leaser.Observer
	// era is the highest era of the log seen so far.
	era        uint64
	isEraKnown bool
}

// New returns a Switcher.
func New(o Options) *Switcher { return &Switcher{options: o, observer: leaser.NewObserver(o.Lease)} }

// leaseRecord is the value of a record in Topic; its key is the engine.
type leaseRecord struct {
	Holder string `json:"holder"`
}

// Order takes the lease on an engine and orders it to change its stage. expect is the number of orders that the engine has
// accepted.
func (s *Switcher) Order(ctx context.Context, e *discoverer.Endpoint, stage enroller.Stage, expect int64) error {
	token, err := s.takeLease(ctx, e.ID)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, s.options.Lease.Margin)
	defer cancel()
	if !token.IsValid(s.options.Clock.Now()) {
		return &ExpiredError{EngineID: e.ID}
	}
	err = s.options.Engines.Order(ctx, e.Address, Order{
		Engine: e.ID, Stage: stage, Holder: s.options.Holder, Fence: token.Fence, Expect: expect,
	})
	outcome := "accepted"
	if err != nil {
		outcome = err.Error()
	}
	eventlogger.Info(s.options.Logs, eventlogger.StageOrdered, "endpoint", e.ID, "stage", stage.String(), "fence", token.Fence,
		"expect", expect, "outcome", outcome)
	return err
}

// SetEra records the era that a read of the log returned. A new era means that the log may have lost lease records.
func (s *Switcher) SetEra(era uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.observeEra(era)
}

func (s *Switcher) observeEra(era uint64) {
	if s.isEraKnown && era > s.era {
		s.observer.RecordsLost(s.options.Clock.Now())
		eventlogger.Warn(s.options.Logs, eventlogger.LogRestored, "era", era, "before", s.era, "wait", s.options.Lease.TakeoverDelay())
	}
	s.era, s.isEraKnown = max(era, s.era), true
}

// takeLease appends a record that makes this host the holder of the lease on an engine.
func (s *Switcher) takeLease(ctx context.Context, engine string) (leaser.Token, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	end, err := s.readHolders(ctx)
	if err != nil {
		return leaser.Token{}, err
	}
	start := s.options.Clock.Now()
	if !s.observer.MayAcquire(start, engine, s.options.Holder) {
		return leaser.Token{}, &HeldError{EngineID: engine, Holder: s.observer.Holder(engine)}
	}
	value, err := json.Marshal(leaseRecord{Holder: s.options.Holder})
	if err != nil {
		return leaser.Token{}, errorx.Decorate(err, "stageswitcher: unable to encode a lease record")
	}
	offset, err := s.options.Store.Put(ctx, s.options.Topic, engine, value, &end)
	if err != nil {
		return leaser.Token{}, errorx.Decorate(err, "stageswitcher: unable to take the lease on %s", engine)
	}
	eventlogger.Info(s.options.Logs, eventlogger.LeaseTaken, "endpoint", engine, "holder", s.options.Holder, "fence", offset)
	// A fence of 0 would be indistinguishable from none.
	return s.options.Lease.NewToken(start, offset+1), nil
}

// readHolders reads the newest holder of every engine and returns the end of the topic.
func (s *Switcher) readHolders(ctx context.Context) (uint64, error) {
	var records []tailer.Record
	end, err := tailer.List(ctx, s.options.Store, s.options.Topic, func(r tailer.Record) { records = append(records, r) })
	if err != nil {
		return 0, errorx.Decorate(err, "stageswitcher: unable to read the lease records")
	}
	s.observeEra(replicator.Era(end)) // before the records, because a new era discards those seen earlier
	for _, r := range records {
		var lr leaseRecord
		if err := json.Unmarshal(r.Value, &lr); err != nil {
			eventlogger.Warn(s.options.Logs, eventlogger.RecordInvalid, "stream", s.options.Topic, "offset", r.Offset, "error", err.Error())
		}
		s.observer.Observe(s.options.Clock.Now(), r.Key, leaser.Record{Holder: lr.Holder, Offset: r.Offset})
	}
	return end, nil
}

// UnknownOutcomeError reports an order without an answer: the engine may execute it, even later.
type UnknownOutcomeError struct {
	Engine string
	Reason string
}

func (e *UnknownOutcomeError) Error() string {
	return "stageswitcher: unable to get an answer to the order from " + e.Engine + ": " + e.Reason
}

// IsNotExecuted reports whether the error proves that the engine did not and will not execute the order.
func IsNotExecuted(err error) bool {
	var unknown *UnknownOutcomeError
	return err != nil && !errors.As(err, &unknown)
}

// MaxOrderDelay is how long an order without an answer may still be executed.
const MaxOrderDelay = 15 * time.Second
