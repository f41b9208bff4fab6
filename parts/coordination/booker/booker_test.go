package booker

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

var epoch = time.Unix(1_000_000, 0)

func request(id string) Request {
	return Request{ID: id, Blocks: 1, Arrival: epoch, Latest: epoch, Until: epoch.Add(time.Minute)}
}

func full(slots int) *Reservations {
	r := New(time.Second)
	r.Report(Report{Slots: slots, Capacity: 1000, Incarnation: "a"})
	for i := range slots {
		r.Reserve(epoch, request(fmt.Sprint(i)))
	}
	return r
}

func TestNoMoreSlotsAreReservedThanTheEngineHas(t *testing.T) {
	r := full(20)
	assert.False(t, r.Reserve(epoch, request("more")))
	r.Release(epoch, "3")
	assert.True(t, r.Reserve(epoch, request("more")))
}

func TestPredictedDeparturesBeforeTheDeadlineFreeSlots(t *testing.T) {
	r := full(20)
	later := request("later")
	later.Latest = epoch.Add(200 * time.Millisecond)
	assert.True(t, r.Reserve(epoch, later))
}

func TestTheSameRequestIsReservedOnce(t *testing.T) {
	r := full(2)
	assert.True(t, r.Reserve(epoch, request("1")))
	assert.Equal(t, 2, r.Used())
}

func TestReservationsExpire(t *testing.T) {
	r := full(2)
	assert.True(t, r.Reserve(epoch.Add(2*time.Minute), Request{ID: "new", Until: epoch.Add(3 * time.Minute)}))
	assert.Equal(t, 1, r.Used())
}

func TestANewOwnerCountsTheRequestsThatTheEngineReports(t *testing.T) {
	r := New(time.Second)
	r.Report(Report{Running: 20, Slots: 20, Capacity: 1000})
	assert.False(t, r.Reserve(epoch, request("1")))
}

func TestARestartedEngineHasNoReservations(t *testing.T) {
	r := full(20)
	r.Report(Report{Slots: 20, Capacity: 1000, Incarnation: "b"})
	assert.Zero(t, r.Used())
}

func TestALaggingReportOfReservedRequestsIsNotCountedTwice(t *testing.T) {
	r := full(20)
	for i := range 10 {
		r.Release(epoch, fmt.Sprint(i))
	}
	r.Report(Report{Running: 20, Slots: 20, Capacity: 1000, Incarnation: "a"})
	assert.Equal(t, 10, r.Used())
	r.Report(Report{Running: 20, Waiting: 3, Slots: 20, Capacity: 1000, Incarnation: "a"})
	assert.Equal(t, 13, r.Used())
}

func TestQueueAddsWorkOnlyIfItEndsInTime(t *testing.T) {
	var q Queue
	wait, ok := q.Enqueue(epoch, 100*time.Millisecond, epoch.Add(150*time.Millisecond))
	assert.True(t, ok)
	assert.Zero(t, wait)
	wait, ok = q.Enqueue(epoch, 100*time.Millisecond, epoch.Add(150*time.Millisecond))
	assert.False(t, ok)
	assert.Equal(t, 100*time.Millisecond, wait)
	q.Remove(100 * time.Millisecond)
	wait, ok = q.Enqueue(epoch.Add(20*time.Millisecond), 100*time.Millisecond, epoch.Add(150*time.Millisecond))
	assert.True(t, ok)
	assert.Zero(t, wait)
}

func TestReservationsAreLimitedByMemory(t *testing.T) {
	r := New(time.Second)
	r.Report(Report{Slots: 20, Capacity: 10})
	large := request("large")
	large.Blocks = 11
	assert.False(t, r.Reserve(epoch, large))
}

func TestAnEngineRunsOneSuspectAtATime(t *testing.T) {
	r := full(2)
	r.Release(epoch, "0")
	r.Release(epoch, "1")
	first, second := request("first"), request("second")
	first.Suspect, second.Suspect = true, true
	assert.True(t, r.Reserve(epoch, first))
	assert.False(t, r.Reserve(epoch, second))
	r.Release(epoch, "first")
	assert.True(t, r.Reserve(epoch, second))
}

func BenchmarkReserveAndRelease(b *testing.B) {
	for _, slots := range []int{20, 100, 500, 2_500} {
		b.Run(fmt.Sprintf("slots=%d", slots), func(b *testing.B) {
			reservations := full(slots)
			reservations.Release(epoch, "0")
			r := request("bench")
			b.ReportAllocs()
			b.ResetTimer()
			for range b.N {
				reservations.Reserve(epoch, r)
				reservations.Release(epoch, r.ID)
			}
		})
	}
}
