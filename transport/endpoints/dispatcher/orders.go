package dispatcher

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/hornbeamspan/hornbeamspan/parts/coordination/enroller"
	"github.com/hornbeamspan/hornbeamspan/parts/coordination/tracker"
	"github.com/hornbeamspan/hornbeamspan/protocol/wire"
	"github.com/hornbeamspan/hornbeamspan/transport/endpoints/conductor"
	"github.com/hornbeamspan/hornbeamspan/transport/endpoints/enlister"
	"github.com/hornbeamspan/hornbeamspan/transport/eventer"
	"github.com/hornbeamspan/hornbeamspan/transport/hosts/messenger"
)

const (
	kindOrder = "order"
	// orderTimeout bounds an order with the calls to the log that it needs.
	orderTimeout = 500 * time.Millisecond
	// maxHelpers is how many other hosts are asked to give an order. The flag of a host that the log turns away is a
	// second old.
	maxHelpers = 3
)

// Orders has engines change their stage.
type Orders interface {
	Order(ctx context.Context, e *enlister.Endpoint, stage enroller.Stage, expect int64) error
}

// UnsentError reports an order that another host has not given.
type UnsentError struct {
	Host   string
	Reason string
}

func (e *UnsentError) Error() string {
	return fmt.Sprintf("dispatcher: %s has not given the order: %s", e.Host, e.Reason)
}

// order has an engine change its stage. Unless that is sure not to happen, the engine stays out of use until its entry
// tells.
func (k *desk) order(e *enlister.Endpoint, target enroller.Stage) {
	d := k.dispatcher
	err := d.give(e, target)
	if err == nil {
		return
	}
	eventer.Warn(d.Logs, eventer.OrderFailed, "service", k.service, "endpoint", e.ID, "stage", target.String(), "error", err.Error())
	if conductor.IsUnsent(err) {
		k.mu.Lock()
		defer k.mu.Unlock()
		k.placer.NotOrdered(d.Clock.Now(), e.ID)
	}
}

// give gives an order, or has another host give it where the log turns this one away or another one still holds the duty.
func (d *Dispatcher) give(e *enlister.Endpoint, stage enroller.Stage) error {
	ctx, cancel := context.WithTimeout(context.Background(), orderTimeout)
	defer cancel()
	load, err := d.Engines.Report(ctx, e.Address)
	if err != nil {
		return err
	}
	helpers := d.helpers()
	if !d.Hosts.Self().Blind || len(helpers) == 0 {
		err = d.Orders.Order(ctx, e, stage, load.Orders)
		if err == nil || !mayHelp(err) {
			return err
		}
		helpers = preferHolder(helpers, err)
	}
	for _, h := range helpers[:min(len(helpers), maxHelpers)] {
		if err = d.giveThrough(h, e, stage, load.Orders); err == nil || !conductor.IsUnsent(err) {
			return err
		}
	}
	return err
}

// mayHelp tells whether an order that failed here might be given by another host.
func mayHelp(err error) bool {
	var refused *conductor.OrderError
	var expired *conductor.ExpiredError
	return conductor.IsUnsent(err) && !errors.As(err, &refused) && !errors.As(err, &expired)
}

// helpers returns the other hosts that the log serves, in a random order.
func (d *Dispatcher) helpers() []tracker.Member {
	var list []tracker.Member
	self := d.Hosts.Self().Name
	for _, m := range d.Hosts.Serving() {
		if m.Name != self && !m.Blind && !d.isSilent(m.Name) {
			list = append(list, m)
		}
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.Random.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	return list
}

// preferHolder leaves only the holder of the duty, if that is why an order failed: nobody else may give it yet.
func preferHolder(helpers []tracker.Member, err error) []tracker.Member {
	var held *conductor.HeldError
	if !errors.As(err, &held) {
		return helpers
	}
	for _, h := range helpers {
		if h.Name == held.Holder {
			return []tracker.Member{h}
		}
	}
	return nil
}

// giveThrough has another host give an order. Without an answer it counts as not given: should it be given all the same,
// the engine tells, and takes no second one.
func (d *Dispatcher) giveThrough(h tracker.Member, e *enlister.Endpoint, stage enroller.Stage, expect int64) error {
	ctx, cancel := context.WithTimeout(context.Background(), orderTimeout+answerSlack)
	defer cancel()
	ask := wire.OrderRequest{Service: e.Service, Engine: e.ID, Reads: stage == enroller.Prefill, Expect: expect}
	answer, err := messenger.Call[wire.OrderRequest, wire.OrderResponse](ctx, d.Messenger, h.Address, kindOrder, ask)
	switch {
	case err != nil:
		return &UnsentError{Host: h.Name, Reason: err.Error()}
	case answer.Unsent:
		return &UnsentError{Host: h.Name, Reason: answer.Reason}
	case answer.Reason != "":
		return &conductor.UnknownError{Engine: e.ID, Reason: answer.Reason}
	}
	return nil
}

// answerOrder gives an order for the home of a service.
func (d *Dispatcher) answerOrder(ctx context.Context, w wire.OrderRequest) (wire.OrderResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	err := error(&GoneError{Engine: w.Engine})
	if e := d.Endpoints.Find(w.Service, w.Engine); e != nil {
		err = d.Orders.Order(ctx, e, stageFor(w.Reads), w.Expect)
	}
	if err != nil {
		return wire.OrderResponse{Unsent: conductor.IsUnsent(err), Reason: err.Error()}, nil
	}
	return wire.OrderResponse{}, nil
}
