package stageswitcher

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
	"github.com/hornbeamspan/hornbeamspan/transport/endpoints/discoverer"
	"github.com/hornbeamspan/hornbeamspan/transport/store/tailer"
)

var lease = leaser.Config{Lease: 3 * time.Second, Margin: 300 * time.Millisecond}

// fakeLog is a log in memory. afterAppend is called between the append of a record and the answer to it.
type fakeLog struct {
	records     []tailer.Record
	afterAppend func()
	era         uint64
}

// truncate simulates a log that was restored without its last n records.
func (f *fakeLog) truncate(n int) {
	f.records = f.records[:len(f.records)-n]
	f.era++
}

func (f *fakeLog) Newest(context.Context, string, string) (tailer.Page, error) {
	newest := make(map[string]tailer.Record)
	for _, r := range f.records {
		r.Offset = replicator.Position(f.era, r.Offset)
		newest[r.Key] = r
	}
	page := tailer.Page{End: replicator.Position(f.era, uint64(len(f.records)))}
	for _, r := range newest {
		page.Records = append(page.Records, r)
	}
	return page, nil
}

func (f *fakeLog) Put(_ context.Context, _, key string, value []byte, end *uint64) (uint64, error) {
	offset := uint64(len(f.records))
	if *end != replicator.Position(f.era, offset) {
		return 0, &HeldError{EngineID: key}
	}
	f.records = append(f.records, tailer.Record{Key: key, Value: value, Offset: offset})
	if f.afterAppend != nil {
		f.afterAppend()
	}
	return replicator.Position(f.era, offset), nil
}

// fakeEngine executes each order.
type fakeEngine struct {
	orders      []Order
	beforeOrder func()
}

func (f *fakeEngine) Order(_ context.Context, _ netip.AddrPort, o Order) error {
	if f.beforeOrder != nil {
		f.beforeOrder()
	}
	f.orders = append(f.orders, o)
	return nil
}

func newSwitcher(name string, log *fakeLog, fake *fakeEngine, clock clockwork.Clock) *Switcher {
	return New(Options{Holder: name, Topic: "duties", Lease: lease, Store: log, Engines: fake, Clock: clock, Logs: hclog.NewNullLogger()})
}

var engine = &discoverer.Endpoint{Endpoint: enroller.Endpoint{ID: "engine"}}

func TestAHostThatWasSuspendedBetweenTheLeaseAndTheOrderSendsNoOrder(t *testing.T) {
	clock := clockwork.NewFakeClock()
	log, fake := &fakeLog{}, &fakeEngine{}
	frozen := newSwitcher("frozen", log, fake, clock)
	log.afterAppend = func() { clock.Advance(lease.Lease) }

	err := frozen.Order(context.Background(), engine, enroller.Prefill, 0)

	var expired *ExpiredError
	require.ErrorAs(t, err, &expired)
	assert.Empty(t, fake.orders)
}

func TestTheLeaseOfASuspendedHostIsTakenByAnotherOnlyAfterTheWait(t *testing.T) {
	clock := clockwork.NewFakeClock()
	log, fake := &fakeLog{}, &fakeEngine{}
	frozen, next := newSwitcher("frozen", log, fake, clock), newSwitcher("next", log, fake, clock)
	log.afterAppend = func() {
		log.afterAppend = nil
		err := next.Order(context.Background(), engine, enroller.Decode, 0)
		var held *HeldError
		require.ErrorAs(t, err, &held)
		clock.Advance(lease.TakeoverDelay())
		require.NoError(t, next.Order(context.Background(), engine, enroller.Decode, 0))
	}

	err := frozen.Order(context.Background(), engine, enroller.Prefill, 0)

	var expired *ExpiredError
	require.ErrorAs(t, err, &expired, "the resumed host")
	require.Len(t, fake.orders, 1)
	assert.Equal(t, "next", fake.orders[0].Holder)
}

// The host is suspended after it has sent its order. The next holder of the lease has a greater fence, by which the engine
// detects the late order.
func TestAnOrderSentBeforeItsHostIsSuspendedHasTheLesserFence(t *testing.T) {
	clock := clockwork.NewFakeClock()
	log, fake := &fakeLog{}, &fakeEngine{}
	frozen, next := newSwitcher("frozen", log, fake, clock), newSwitcher("next", log, fake, clock)
	fake.beforeOrder = func() {
		fake.beforeOrder = nil
		err := next.Order(context.Background(), engine, enroller.Decode, 0)
		var held *HeldError
		require.ErrorAs(t, err, &held)
		clock.Advance(lease.TakeoverDelay())
		require.NoError(t, next.Order(context.Background(), engine, enroller.Decode, 0))
	}

	require.NoError(t, frozen.Order(context.Background(), engine, enroller.Prefill, 0))

	require.Len(t, fake.orders, 2)
	assert.Equal(t, "next", fake.orders[0].Holder)
	assert.Less(t, fake.orders[1].Fence, fake.orders[0].Fence, "the late order")
}

// The log is restored from a copy that is older than the first host's lease record, so that no record shows that this host
// may still send orders.
func TestALeaseWhoseRecordTheLogHasLostIsTakenByAnotherOnlyAfterTheWaitAndWithAGreaterFence(t *testing.T) {
	for name, hasOlderRecord := range map[string]bool{"the lease is new": false, "an older record is left": true} {
		t.Run(name, func(t *testing.T) {
			clock := clockwork.NewFakeClock()
			log, fake := &fakeLog{}, &fakeEngine{}
			holder, next := newSwitcher("holder", log, fake, clock), newSwitcher("next", log, fake, clock)
			if hasOlderRecord {
				require.NoError(t, newSwitcher("before", log, fake, clock).Order(context.Background(), engine, enroller.Decode, 0))
			}
			for _, s := range []*Switcher{holder, next} {
				_, err := s.readHolders(context.Background())
				require.NoError(t, err)
			}
			clock.Advance(lease.TakeoverDelay())
			require.NoError(t, holder.Order(context.Background(), engine, enroller.Prefill, 0))
			sent := len(fake.orders)

			log.truncate(1)

			var held *HeldError
			require.ErrorAs(t, next.Order(context.Background(), engine, enroller.Decode, 1), &held)
			clock.Advance(lease.TakeoverDelay() - 1)
			require.ErrorAs(t, next.Order(context.Background(), engine, enroller.Decode, 1), &held)
			clock.Advance(1)
			require.NoError(t, next.Order(context.Background(), engine, enroller.Decode, 1))
			assert.Greater(t, fake.orders[sent].Fence, fake.orders[sent-1].Fence)
		})
	}
}
