// Package auditor appends a record of each change to the platform's log.
package auditor

import (
	"context"
	"errors"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/jonboulle/clockwork"

	"github.com/hornbeamspan/hornbeamspan/protocol/encoder"
	"github.com/hornbeamspan/hornbeamspan/protocol/wire"
	"github.com/hornbeamspan/hornbeamspan/transport/eventer"
	"github.com/hornbeamspan/hornbeamspan/transport/store/logger"
)

const (
	// Stream is the name of the audit stream.
	Stream = "audit"
	// queueSize bounds the records that wait for the log.
	queueSize = 1000
	// retryPause is the time between appends while the log fails.
	retryPause = 500 * time.Millisecond
)

// Auditor appends records in the background, each until the log has taken it. A record whose answer was lost may
// stand twice.
type Auditor struct {
	host  string
	log   *logger.Client
	clock clockwork.Clock
	logs  hclog.Logger
	queue chan wire.AuditRecord
	done  chan struct{}
}

// New returns an Auditor of a host.
func New(host string, log *logger.Client, clock clockwork.Clock, logs hclog.Logger) *Auditor {
	return &Auditor{host: host, log: log, clock: clock, logs: logs, queue: make(chan wire.AuditRecord, queueSize), done: make(chan struct{})}
}

// Record queues a record: actor did action to subject.
func (a *Auditor) Record(actor, action, subject, detail string) {
	r := wire.AuditRecord{Time: int(a.clock.Now().UnixNano()), Host: a.host, Actor: actor, Action: action, Subject: subject, Detail: detail}
	select {
	case a.queue <- r:
	default:
		eventer.Error(a.logs, eventer.AuditAppendFailed, "actor", actor, "action", action, "subject", subject)
	}
}

// Done is closed once Run has returned.
func (a *Auditor) Done() <-chan struct{} { return a.done }

// Run appends until ctx ends, and then what is queued as long as the log takes it.
func (a *Auditor) Run(ctx context.Context) {
	defer close(a.done)
	for {
		select {
		case r := <-a.queue:
			a.append(ctx, r)
		case <-ctx.Done():
			a.drain()
			return
		}
	}
}

func (a *Auditor) drain() {
	for {
		select {
		case r := <-a.queue:
			if a.send(context.Background(), r) != nil {
				eventer.Error(a.logs, eventer.AuditAppendFailed, "actor", r.Actor, "action", r.Action, "subject", r.Subject)
			}
		default:
			return
		}
	}
}

func (a *Auditor) append(ctx context.Context, r wire.AuditRecord) {
	for a.send(ctx, r) != nil {
		select {
		case <-a.clock.After(retryPause):
		case <-ctx.Done():
			a.queue <- r
			return
		}
	}
}

func (a *Auditor) send(ctx context.Context, r wire.AuditRecord) error {
	data, err := encoder.Encode(r)
	if err != nil {
		return err
	}
	_, err = a.log.Append(ctx, Stream, data)
	return err
}

// Read returns the records that the log still has.
func (a *Auditor) Read(ctx context.Context) ([]wire.AuditRecord, error) {
	records := []wire.AuditRecord{}
	from := uint64(0)
	for {
		page, err := a.log.Read(ctx, Stream, from, 0)
		var expired *logger.ExpiredError
		if errors.As(err, &expired) {
			from = expired.Oldest
			continue
		}
		if err != nil {
			return nil, err
		}
		if len(page.Records) == 0 {
			return records, nil
		}
		for _, p := range page.Records {
			if r, err := encoder.Decode[wire.AuditRecord](p.Data); err == nil {
				records = append(records, r)
			}
			from = p.Offset + 1
		}
	}
}
