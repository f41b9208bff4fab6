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
	b := New(time.Second)
	b.Report(Report{Slots: slots, Capacity: 1000, Incarnation: "a"})
	for i := range slots {
		b.Reserve(epoch, request(fmt.Sprint(i)))
	}
	return b
}

func TestNoMoreSlotsAreReservedThanTheEngineHas(t *testing.T) {
	b := full(20)
	assert.False(t, b.Reserve(epoch, request("more")))
	b.Release(epoch, "3")
	assert.True(t, b.Reserve(epoch, request("more")))
}

func TestPredictedDeparturesBeforeTheDeadlineFreeSlots(t *testing.T) {
	b := full(20)
	later := request("later")
	later.Latest = epoch.Add(200 * time.Millisecond)
	assert.True(t, b.Reserve(epoch, later))
}

func TestTheSameRequestIsReservedOnce(t *testing.T) {
	b := full(2)
	assert.True(t, b.Reserve(epoch, request("1")))
	assert.Equal(t, 2, b.Used())
}

func TestReservationsExpire(t *testing.T) {
	b := full(2)
	assert.True(t, b.Reserve(epoch.Add(2*time.Minute), Request{ID: "new", Until: epoch.Add(3 * time.Minute)}))
	assert.Equal(t, 1, b.Used())
}

func TestANewOwnerCountsTheRequestsThatTheEngineReports(t *testing.T) {
	b := New(time.Second)
	b.Report(Report{Running: 20, Slots: 20, Capacity: 1000})
	assert.False(t, b.Reserve(epoch, request("1")))
}

func TestARestartedEngineHasNoReservations(t *testing.T) {
	b := full(20)
	b.Report(Report{Slots: 20, Capacity: 1000, Incarnation: "b"})
	assert.Zero(t, b.Used())
}

func TestALaggingReportOfReservedRequestsIsNotCountedTwice(t *testing.T) {
	b := full(20)
	for i := range 10 {
		b.Release(epoch, fmt.Sprint(i))
	}
	b.Report(Report{Running: 20, Slots: 20, Capacity: 1000, Incarnation: "a"})
	assert.Equal(t, 10, b.Used())
	b.Report(Report{Running: 20, Waiting: 3, Slots: 20, Capacity: 1000, Incarnation: "a"})
	assert.Equal(t, 13, b.Used())
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
	b := New(time.Second)
	b.Report(Report{Slots: 20, Capacity: 10})
	large := request("large")
	large.Blocks = 11
	assert.False(t, b.Reserve(epoch, large))
}

func TestAnEngineRunsOneSuspectAtATime(t *testing.T) {
	b := full(2)
	b.Release(epoch, "0")
	b.Release(epoch, "1")
	first, second := request("first"), request("second")
	first.Suspect, second.Suspect = true, true
	assert.True(t, b.Reserve(epoch, first))
	assert.False(t, b.Reserve(epoch, second))
	b.Release(epoch, "first")
	assert.True(t, b.Reserve(epoch, second))
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
