package conductor

import (
	"context"
	"net/netip"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/hornbeamspan/hornbeamspan/parts/coordination/enroller"
	"github.com/hornbeamspan/hornbeamspan/parts/coordination/leaser"
	"github.com/hornbeamspan/hornbeamspan/parts/state/replicator"
	"github.com/hornbeamspan/hornbeamspan/transport/endpoints/enlister"
	"github.com/hornbeamspan/hornbeamspan/transport/store/tailer"
)

var lease = leaser.Config{Lease: 3 * time.Second, Margin: 300 * time.Millisecond}

// duties is a log of duties. after is called once an append has taken effect and before it is answered.
type duties struct {
	records []tailer.Record
	after   func()
	era     uint64
}

// forget has the log come back without its last n records.
func (d *duties) forget(n int) {
	d.records = d.records[:len(d.records)-n]
	d.era++
}

func (d *duties) Newest(context.Context, string, string) (tailer.Page, error) {
	newest := make(map[string]tailer.Record)
	for _, r := range d.records {
		r.Offset = replicator.Position(d.era, r.Offset)
		newest[r.Key] = r
	}
	page := tailer.Page{End: replicator.Position(d.era, uint64(len(d.records)))}
	for _, r := range newest {
		page.Records = append(page.Records, r)
	}
	return page, nil
}

func (d *duties) Put(_ context.Context, _, key string, value []byte, end *uint64) (uint64, error) {
	offset := uint64(len(d.records))
	if *end != replicator.Position(d.era, offset) {
		return 0, &HeldError{Duty: key}
	}
	d.records = append(d.records, tailer.Record{Key: key, Value: value, Offset: offset})
	if d.after != nil {
		d.after()
	}
	return replicator.Position(d.era, offset), nil
}

// worker is an engine that carries out each order.
type worker struct {
	orders []Order
	before func()
}

func (w *worker) Order(_ context.Context, _ netip.AddrPort, o Order) error {
	if w.before != nil {
		w.before()
	}
	w.orders = append(w.orders, o)
	return nil
}

func newConductor(name string, log *duties, w *worker, clock clockwork.Clock) *Conductor {
	return New(Options{Holder: name, Topic: "duties", Lease: lease, Store: log, Engines: w, Clock: clock, Logs: hclog.NewNullLogger()})
}

var engine = &enlister.Endpoint{Endpoint: enroller.Endpoint{ID: "engine"}}

func TestAHostThatStoodStillBetweenTheDutyAndTheOrderGivesNone(t *testing.T) {
	clock := clockwork.NewFakeClock()
	log, w := &duties{}, &worker{}
	frozen := newConductor("frozen", log, w, clock)
	log.after = func() { clock.Advance(lease.Lease) }

	err := frozen.Order(context.Background(), engine, enroller.Prefill, 0)

	var expired *ExpiredError
	require.ErrorAs(t, err, &expired)
	assert.Empty(t, w.orders)
}

func TestTheDutyOfAHostThatStandsStillIsTakenByAnotherOnlyAfterTheWait(t *testing.T) {
	clock := clockwork.NewFakeClock()
	log, w := &duties{}, &worker{}
	frozen, next := newConductor("frozen", log, w, clock), newConductor("next", log, w, clock)
	log.after = func() {
		log.after = nil
		err := next.Order(context.Background(), engine, enroller.Decode, 0)
		var held *HeldError
		require.ErrorAs(t, err, &held)
		clock.Advance(lease.TakeoverDelay())
		require.NoError(t, next.Order(context.Background(), engine, enroller.Decode, 0))
	}

	err := frozen.Order(context.Background(), engine, enroller.Prefill, 0)

	var expired *ExpiredError
	require.ErrorAs(t, err, &expired, "the thawed host")
	require.Len(t, w.orders, 1)
	assert.Equal(t, "next", w.orders[0].Holder)
}

// The host stands still once its order is under way. Whoever takes the duty then has a greater fence, by which the engine
// tells the late order.
func TestAnOrderUnderWayWhenItsHostStandsStillHasTheLesserFence(t *testing.T) {
	clock := clockwork.NewFakeClock()
	log, w := &duties{}, &worker{}
	frozen, next := newConductor("frozen", log, w, clock), newConductor("next", log, w, clock)
	w.before = func() {
		w.before = nil
		err := next.Order(context.Background(), engine, enroller.Decode, 0)
		var held *HeldError
		require.ErrorAs(t, err, &held)
		clock.Advance(lease.TakeoverDelay())
		require.NoError(t, next.Order(context.Background(), engine, enroller.Decode, 0))
	}

	require.NoError(t, frozen.Order(context.Background(), engine, enroller.Prefill, 0))

	require.Len(t, w.orders, 2)
	assert.Equal(t, "next", w.orders[0].Holder)
	assert.Less(t, w.orders[1].Fence, w.orders[0].Fence, "the late one")
}

// The log comes back from a copy that is older than the record by which the first host took the duty: nothing in it tells
// that this host may still give orders.
func TestADutyWhoseRecordTheLogHasLostIsTakenByAnotherOnlyAfterTheWaitAndWithAGreaterFence(t *testing.T) {
	for name, hasSeenDuty := range map[string]bool{"the duty is new": false, "an older record is left": true} {
		t.Run(name, func(t *testing.T) {
			clock := clockwork.NewFakeClock()
			log, w := &duties{}, &worker{}
			holder, next := newConductor("holder", log, w, clock), newConductor("next", log, w, clock)
			if hasSeenDuty {
				require.NoError(t, newConductor("before", log, w, clock).Order(context.Background(), engine, enroller.Decode, 0))
			}
			for _, c := range []*Conductor{holder, next} {
				_, err := c.look(context.Background())
				require.NoError(t, err)
			}
			clock.Advance(lease.TakeoverDelay())
			require.NoError(t, holder.Order(context.Background(), engine, enroller.Prefill, 0))
			given := len(w.orders)

			log.forget(1)

			var held *HeldError
			require.ErrorAs(t, next.Order(context.Background(), engine, enroller.Decode, 1), &held)
			clock.Advance(lease.TakeoverDelay() - 1)
			require.ErrorAs(t, next.Order(context.Background(), engine, enroller.Decode, 1), &held)
			clock.Advance(1)
			require.NoError(t, next.Order(context.Background(), engine, enroller.Decode, 1))
			assert.Greater(t, w.orders[given].Fence, w.orders[given-1].Fence)
		})
	}
}
