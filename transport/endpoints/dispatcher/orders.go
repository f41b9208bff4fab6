package dispatcher

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/hornbeamspan/hornbeamspan/parts/coordination/enroller"
	"github.com/hornbeamspan/hornbeamspan/parts/coordination/tracker"
	"github.com/hornbeamspan/hornbeamspan/protocol/wire"
	"github.com/hornbeamspan/hornbeamspan/transport/endpoints/discoverer"
	"github.com/hornbeamspan/hornbeamspan/transport/endpoints/stageswitcher"
	"github.com/hornbeamspan/hornbeamspan/transport/eventlogger"
	"github.com/hornbeamspan/hornbeamspan/transport/hosts/messenger"
)

const (
	kindOrder = "order"
	// orderTimeout bounds an order, including its calls to the log.
	orderTimeout = 500 * time.Millisecond
	// maxForwards is the number of other hosts that an order is forwarded to. More than one, because the membership flag
	// of a host without access to the log is a second old.
	maxForwards = 3
)

// Orders sends stage changes to engines. expect is the number of orders that the engine has accepted before.
type Orders interface {
	Order(ctx context.Context, e *discoverer.Endpoint, stage enroller.Stage, expect int64) error
}

// ForwardError reports that another host did not send an order.
type ForwardError struct {
	Host   string
	Reason string
}

func (e *ForwardError) Error() string {
	return fmt.Sprintf("dispatcher: unable to send the order through host %s: %s", e.Host, e.Reason)
}

// orderStage orders an engine to change its stage. Unless the order is known not to be executed, the engine stays out of
// use until its registry entry shows the outcome.
func (s *scheduler) orderStage(e *discoverer.Endpoint, target enroller.Stage) {
	d := s.dispatcher
	err := d.sendOrder(e, target)
	if err == nil {
		return
	}
	eventlogger.Warn(d.Logs, eventlogger.OrderFailed, "service", s.service, "endpoint", e.ID, "stage", target.String(), "error", err.Error())
	if stageswitcher.IsNotExecuted(err) {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.placer.RecordMoveFailure(d.Clock.Now(), e.ID)
	}
}

// sendOrder sends an order, or forwards it to another host if this one has no access to the log or another one still holds
// the lease.
func (d *Dispatcher) sendOrder(e *discoverer.Endpoint, stage enroller.Stage) error {
	ctx, cancel := context.WithTimeout(context.Background(), orderTimeout)
	defer cancel()
	report, err := d.Engines.Report(ctx, e.Address)
	if err != nil {
		return err
	}
	targets := d.forwardTargets()
	if !d.Hosts.Self().LogUnreachable || len(targets) == 0 {
		err = d.Orders.Order(ctx, e, stage, report.Orders)
		if err == nil || !mayForward(err) {
			return err
		}
		targets = restrictToHolder(targets, err)
	}
	for _, m := range targets[:min(len(targets), maxForwards)] {
		if err = d.forwardOrder(m, e, stage, report.Orders); err == nil || !stageswitcher.IsNotExecuted(err) {
			return err
		}
	}
	return err
}

// mayForward reports whether an order that failed here may succeed from another host.
func mayForward(err error) bool {
	var refused *stageswitcher.OrderError
	var expired *stageswitcher.ExpiredError
	return stageswitcher.IsNotExecuted(err) && !errors.As(err, &refused) && !errors.As(err, &expired)
}

// forwardTargets returns the other hosts with access to the log, in random order.
func (d *Dispatcher) forwardTargets() []tracker.Member {
	var list []tracker.Member
	self := d.Hosts.Self().Name
	for _, m := range d.Hosts.Serving() {
		if m.Name != self && !m.LogUnreachable && !d.isUnresponsive(m.Name) {
			list = append(list, m)
		}
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.Random.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	return list
}

// restrictToHolder returns only the holder of the lease if an order failed because of it: no other host may send the order
// yet.
func restrictToHolder(targets []tracker.Member, err error) []tracker.Member {
	var held *stageswitcher.HeldError
	if !errors.As(err, &held) {
		return targets
	}
	for _, m := range targets {
		if m.Name == held.Holder {
			return []tracker.Member{m}
		}
	}
	return nil
}

// forwardOrder has another host send an order. Without an answer the order counts as not sent: if it was sent after all, the
// engine's report shows it, and the engine rejects a second order with the same expect.
func (d *Dispatcher) forwardOrder(m tracker.Member, e *discoverer.Endpoint, stage enroller.Stage, expect int64) error {
	ctx, cancel := context.WithTimeout(context.Background(), orderTimeout+answerGrace)
	defer cancel()
	query := wire.OrderRequest{Service: e.Service, Engine: e.ID, IsPrefill: stage == enroller.Prefill, Expect: expect}
	answer, err := messenger.Call[wire.OrderRequest, wire.OrderResponse](ctx, d.Messenger, m.Address, kindOrder, query)
	switch {
	case err != nil:
		return &ForwardError{Host: m.Name, Reason: err.Error()}
	case answer.NotExecuted:
		return &ForwardError{Host: m.Name, Reason: answer.Reason}
	case answer.Reason != "":
		return &stageswitcher.UnknownOutcomeError{Engine: e.ID, Reason: answer.Reason}
	}
	return nil
}

// handleOrder sends an order on behalf of the owner of a service.
func (d *Dispatcher) handleOrder(ctx context.Context, m wire.OrderRequest) (wire.OrderResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	err := error(&UnlistedError{Engine: m.Engine})
	if e := d.Endpoints.Find(m.Service, m.Engine); e != nil {
		err = d.Orders.Order(ctx, e, stageFor(m.IsPrefill), m.Expect)
	}
	if err != nil {
		return wire.OrderResponse{NotExecuted: stageswitcher.IsNotExecuted(err), Reason: err.Error()}, nil
	}
	return wire.OrderResponse{}, nil
}
