package daemon

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/hornbeamspan/hornbeamspan/lab/emulator"
)

// listEachOther reports whether the given hosts are ready and the directory of each lists exactly these hosts.
func (r *rig) listEachOther(hosts ...int) bool {
	for _, i := range hosts {
		listed := r.addresses(i)
		if !r.hosts[i].IsReady() || len(listed) != len(hosts) {
			return false
		}
		for _, k := range hosts {
			if !slices.Contains(listed, fmt.Sprintf("%q", r.settings[k].Callers)) {
				return false
			}
		}
	}
	return true
}

// servesAllKinds reports whether host i gives a complete answer to a request of each kind.
func (r *rig) servesAllKinds(i int) bool {
	brief := r.call(i, http.MethodPost, "/brief/x", "b")
	submit := r.call(i, http.MethodPost, "/submit/", "one invoice")
	lookup := r.call(i, http.MethodGet, "/lookup/1", "")
	return brief.body == emulator.Events(streamEvents) && brief.complete && submit.status == http.StatusOK && lookup.status == http.StatusOK
}

func TestAHostRestartedAtAnotherAddressReplacesTheOldOne(t *testing.T) {
	r := newRig(t, sizes{hosts: 3, prefill: 1, decode: 2, plain: 1})
	r.configureAndAwait()
	for i := range 3 {
		assert.True(t, r.servesAllKinds(i))
	}
	r.hosts[0].Close(context.Background())
	r.startHost("front-0")
	r.await("the new host instead of the old one", func() bool { return r.listEachOther(1, 2, 3) })
	for _, i := range []int{1, 2, 3} {
		assert.True(t, r.servesAllKinds(i))
	}
}

func TestTheRemainingHostsServeAfterMostHostsWereKilledAtOnce(t *testing.T) {
	r := newRig(t, sizes{hosts: 5, prefill: 1, decode: 2, plain: 1})
	r.configureAndAwait()
	for i := range 5 {
		assert.True(t, r.servesAllKinds(i))
	}
	var killed sync.WaitGroup
	for i := range 3 {
		killed.Go(func() { r.hosts[i].Close(context.Background()) })
	}
	killed.Wait()
	for _, i := range []int{3, 4} {
		assert.True(t, r.servesAllKinds(i), "the remaining hosts serve at once")
	}
	r.await("the directory without the killed hosts", func() bool { return r.listEachOther(3, 4) })
	assert.True(t, r.servesAllKinds(3))
	assert.True(t, r.servesAllKinds(4))
}

func TestAllRequestsAreServedCompletelyDuringARollingReplacementOfHosts(t *testing.T) {
	r := newRig(t, sizes{hosts: 3, prefill: 1, decode: 2, plain: 2})
	r.configureAndAwait()
	// first is the index of the oldest host that still accepts requests.
	var first atomic.Int64
	done := make(chan struct{})
	var served, failed atomic.Int64
	var callers sync.WaitGroup
	for range 2 {
		callers.Go(func() {
			for {
				select {
				case <-done:
					return
				default:
				}
				if r.servesAllKinds(int(first.Load())) {
					served.Add(1)
				} else {
					failed.Add(1)
				}
			}
		})
	}
	for i := range 3 {
		next := len(r.hosts)
		r.addHost()
		r.await("the new host", r.hosts[next].IsReady)
		first.Store(int64(i + 1))
		r.hosts[i].Drain(context.Background())
	}
	close(done)
	callers.Wait()
	assert.Zero(t, failed.Load())
	assert.Positive(t, served.Load())
	r.await("the directory of the new hosts", func() bool { return r.listEachOther(3, 4, 5) })
}

func TestOrdersAreSentThroughAnotherHostIfTheOwnerCannotReachTheStore(t *testing.T) {
	const withStore = 0 // the owner of the service is front-1
	for _, mode := range []emulator.FrontendMode{emulator.Unavailable, emulator.Busy, emulator.Broken, emulator.Unresponsive} {
		r := newRig(t, sizes{hosts: 3, prefill: 0, decode: 3})
		r.configureAndAwait()
		for k, frontend := range r.frontends {
			if k != withStore {
				frontend.SetMode(mode)
			}
		}
		r.call(withStore, http.MethodPost, "/brief/x", "b")
		r.await("an order, "+string(mode), func() bool { return len(r.orders()) > 0 })
		time.Sleep(300 * time.Millisecond) // the stage change and the owner's next load report
		orders := r.orders()
		assert.Len(t, orders, 1, mode)
		assert.Contains(t, orders[0], fmt.Sprintf("front-%d", withStore), mode)
		r.close()
	}
}

func TestAHostThatCannotReachTheStoreGetsNewConfigurationsFromOtherHosts(t *testing.T) {
	for _, mode := range []emulator.FrontendMode{emulator.Unavailable, emulator.Busy, emulator.Broken, emulator.Unresponsive} {
		r := newRig(t, sizes{hosts: 2, plain: 1})
		r.configureAndAwait()
		r.frontends[0].SetMode(mode)
		r.configure(emulator.Route("added", "/added/", "idempotent", "desk", nil))
		r.await("the new route, "+string(mode), func() bool {
			return r.call(0, http.MethodGet, "/added/", "").status == http.StatusOK
		})
		r.close()
	}
}

// After the store is restored from a copy, later records are lost and their offsets are assigned again. Hosts must keep
// the newer state that they know, and continue to read new records.
func TestAStoreRestoredFromAnOlderCopyRevertsNoStateAndIsReadOn(t *testing.T) {
	r := newRig(t, sizes{hosts: 3, plain: 3})
	r.configureAndAwait()
	r.store.Snapshot()
	added := emulator.Route("added", "/added/", "idempotent", "desk", nil)
	r.configure(added)
	r.plain[0].Drain()
	hasAdded := func() bool {
		for i := range r.hosts {
			if r.call(i, http.MethodGet, "/added/", "").status != http.StatusOK {
				return false
			}
		}
		return true
	}
	r.await("the new route on all hosts", hasAdded)
	r.await("no requests to the leaving endpoint", func() bool {
		before := r.plain[0].RequestCount()
		return hasAdded() && r.plain[0].RequestCount() == before
	})
	before := r.plain[0].RequestCount()
	for range 2 {
		r.store.RestoreSnapshot()
		r.plain[1].Announce()
		r.plain[2].Announce()
		for range 20 {
			require.True(t, hasAdded(), "an accepted configuration stays in force")
			time.Sleep(20 * time.Millisecond)
		}
	}
	assert.Equal(t, before, r.plain[0].RequestCount(), "an endpoint that has left gets no requests")
	r.configure(added, emulator.Route("read", "/read/", "idempotent", "desk", nil))
	r.await("all hosts to read new records", func() bool {
		return !slices.ContainsFunc([]int{0, 1, 2}, func(i int) bool {
			return r.call(i, http.MethodGet, "/read/", "").status != http.StatusOK
		})
	})
	r.store.SetDown(true)
	r.store.RestoreSnapshot()
	r.configure(added, emulator.Route("later", "/later/", "idempotent", "desk", nil))
	for range 10 { // the topic ends after its end before the restore
		r.store.Put("keyed.op", "other", []byte("x"))
	}
	r.store.SetDown(false)
	r.await("the route written in the new era", func() bool {
		for i := range r.hosts {
			if r.call(i, http.MethodGet, "/later/", "").status != http.StatusOK {
				return false
			}
		}
		return true
	})
}
