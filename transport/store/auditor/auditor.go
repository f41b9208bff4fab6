// Package auditor appends an audit record of each change to the platform's log.
package auditor

import (
	"context"
	"errors"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/jonboulle/clockwork"

	"github.com/hornbeamspan/hornbeamspan/protocol/encoder"
	"github.com/hornbeamspan/hornbeamspan/protocol/wire"
	"github.com/hornbeamspan/hornbeamspan/transport/eventlogger"
	"github.com/hornbeamspan/hornbeamspan/transport/store/logclient"
)

const (
	// Stream is the name of the audit stream.
	Stream = "audit"
	// queueSize bounds the number of records that wait to be appended.
	queueSize = 1000
	// retryDelay is the delay before a failed append is retried.
	retryDelay = 500 * time.Millisecond
)

// Auditor appends records in the background and retries each until it succeeds. A record is appended twice if the answer to
// the first append was lost.
type Auditor struct {
	host  string
	log   *logclient.Client
	clock clockwork.Clock
	logs  hclog.Logger
	queue chan wire.AuditRecord
	done  chan struct{}
}

// New returns an Auditor that records changes made through host.
func New(host string, log *logclient.Client, clock clockwork.Clock, logs hclog.Logger) *Auditor {
	return &Auditor{host: host, log: log, clock: clock, logs: logs, queue: make(chan wire.AuditRecord, queueSize), done: make(chan struct{})}
}

// Record queues a record that actor performed action on subject. The record is dropped if the queue is full.
func (a *Auditor) Record(actor, action, subject, detail string) {
	r := wire.AuditRecord{Time: int(a.clock.Now().UnixNano()), Host: a.host, Actor: actor, Action: action, Subject: subject, Detail: detail}
	select {
	case a.queue <- r:
	default:
		eventlogger.Error(a.logs, eventlogger.AuditAppendFailed, "actor", actor, "action", action, "subject", subject)
	}
}

// Done returns a channel that is closed once Run has returned.
func (a *Auditor) Done() <-chan struct{} { return a.done }

// Run appends records until ctx is done, and then makes one attempt to append each record that is still queued.
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
			a.appendOnce(r)
		default:
			return
		}
	}
}

// appendOnce makes one attempt, even at a stop.
func (a *Auditor) appendOnce(r wire.AuditRecord) {
	if a.send(context.Background(), r) != nil {
		eventlogger.Error(a.logs, eventlogger.AuditAppendFailed, "actor", r.Actor, "action", r.Action, "subject", r.Subject)
	}
}

func (a *Auditor) append(ctx context.Context, r wire.AuditRecord) {
	for a.send(ctx, r) != nil {
		select {
		case <-a.clock.After(retryDelay):
		case <-ctx.Done():
			a.appendOnce(r)
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

// Read returns the audit records that the log still stores.
func (a *Auditor) Read(ctx context.Context) ([]wire.AuditRecord, error) {
	records := []wire.AuditRecord{}
	from := uint64(0)
	for {
		page, err := a.log.Read(ctx, Stream, from, 0)
		var expired *logclient.ExpiredError
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
