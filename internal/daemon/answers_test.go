package daemon

import (
	"context"
	"net/http"
	"runtime"
	"runtime/debug"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/hornbeamspan/hornbeamspan/lab/emulator"
)

func TestAnAnswerWithoutALengthIsCompleteWhenItsConnectionIsClosed(t *testing.T) {
	r := newRig(t, sizes{hosts: 1, prefill: 1, decode: 1, plain: 1})
	r.configureAndAwait()
	r.plain[0].SetFault(emulator.Unframed)
	r.decode[0].SetFault(emulator.Unframed)
	got := r.call(0, http.MethodPost, "/submit/", "one invoice")
	assert.Equal(t, http.StatusOK, got.status)
	assert.Equal(t, "answer of s0", got.body)
	got = r.call(0, http.MethodPost, "/brief/x", "b")
	assert.True(t, got.complete)
	assert.Equal(t, emulator.Events(streamEvents), got.body)
}

func TestAnAnswerWithoutALengthThatIsResetIsNotForwarded(t *testing.T) {
	r := newRig(t, sizes{hosts: 1, plain: 2})
	r.configureAndAwait()
	for _, e := range r.plain {
		e.SetFault(emulator.Reset)
	}
	got := r.call(0, http.MethodPost, "/submit/", "one invoice")
	assert.Equal(t, http.StatusBadGateway, got.status)
	assert.NotContains(t, got.body, "answer of")
	assert.Len(t, runs(r.plain), 1, "a non-idempotent request must not run twice")
}

func TestAStreamWithoutALengthThatIsResetDoesNotEndAsComplete(t *testing.T) {
	r := newRig(t, sizes{hosts: 1, prefill: 1, decode: 1})
	r.configureAndAwait()
	r.decode[0].SetFault(emulator.Reset)
	got := r.call(0, http.MethodPost, "/brief/x", "b")
	assert.False(t, got.complete)
	assert.Equal(t, emulator.Events(streamEvents/2), got.body, "only complete events")
}

// The end of the connection was taken for the end of the stream, and half an event for its last one.
func TestAStreamWithoutALengthThatEndsInsideAnEventIsBrokenOff(t *testing.T) {
	r := newRig(t, sizes{hosts: 1, prefill: 1, decode: 1})
	r.configureAndAwait()
	r.decode[0].SetFault(emulator.CutUnframed)
	got := r.call(0, http.MethodPost, "/brief/x", "b")
	assert.False(t, got.complete)
	assert.Equal(t, emulator.Events(2), got.body, "only complete events")
	r.awaitMemory()
}

func TestAStreamWithoutALengthThatEndsInsideAnEventIsResumedAtItsLastWholeEvent(t *testing.T) {
	for range 4 { // either engine may be picked first
		r := newRig(t, sizes{hosts: 1, prefill: 1, decode: 2})
		r.configureAndAwait()
		r.decode[0].SetFault(emulator.CutUnframed)
		got := r.call(0, http.MethodPost, "/scope/x", "b")
		assert.True(t, got.complete)
		assert.Equal(t, emulator.Events(streamEvents), got.body)
		if len(r.decode[0].Runs()) > 0 {
			require.Len(t, r.decode[1].Runs(), 1)
			assert.Equal(t, "2", r.decode[1].Runs()[0].LastEventID)
		}
		r.close()
	}
}

// A prefill that outlasts its placement because the engine hangs must not lower the rating of the other prefill engines.
func TestAPrefillEngineThatHangsDoesNotAffectTheUseOfTheOthers(t *testing.T) {
	r := newRig(t, sizes{hosts: 1, prefill: 3, decode: 2})
	r.configureAndAwait()
	r.prefill[0].SetFault(emulator.Hang)
	var wait sync.WaitGroup
	for range 6 {
		wait.Go(func() { r.call(0, http.MethodPost, "/brief/x", "b") })
	}
	r.await("a prompt at the hanging prefill engine", func() bool { return r.prefill[0].RequestCount() > 0 })
	wait.Wait()
	before := len(runs(r.decode))
	for range 4 {
		assert.True(t, r.call(0, http.MethodPost, "/brief/x", "b").complete)
	}
	for _, run := range runs(r.decode)[before:] {
		assert.NotEmpty(t, run.KVSource, "the other prefill engines are still used")
	}
}

func TestBytesThatAreNotAnHTTPAnswerAreNotForwarded(t *testing.T) {
	r := newRig(t, sizes{hosts: 1, prefill: 1, decode: 1, plain: 2})
	r.configureAndAwait()
	r.plain[0].SetFault(emulator.Garbage)
	for range 4 {
		got := r.call(0, http.MethodGet, "/lookup/1", "")
		assert.Equal(t, http.StatusOK, got.status, "the other endpoint answers")
	}
	r.plain[1].SetFault(emulator.Garbage)
	r.decode[0].SetFault(emulator.Garbage)
	for _, path := range []string{"/submit/", "/brief/x"} {
		got := r.call(0, http.MethodPost, path, "b")
		assert.Equal(t, http.StatusBadGateway, got.status, path)
		assert.NotContains(t, got.body, "wrong bytes")
	}
	assert.Len(t, runs(r.decode), 1, "the request must not run twice")
}

func TestALookupThatMayHaveRunIsNotReportedAsNotRunWhenNoOtherEndpointIsReachable(t *testing.T) {
	for range 4 { // the endpoint of the first attempt is random
		r := newRig(t, sizes{hosts: 1, plain: 2})
		r.configureAndAwait()
		r.plain[0].SetFault(emulator.LoseAnswer)
		r.plain[1].Close()
		got := r.call(0, http.MethodGet, "/lookup/1", "")
		assert.Equal(t, http.StatusBadGateway, got.status)
		assert.Len(t, r.plain[0].Runs(), 1)
		r.close()
	}
}

// hostMemory is the memory limit of a small host in bytes.
const hostMemory = 120 << 20

// peakMemory returns the peak heap use in bytes while f runs.
func peakMemory(f func()) uint64 {
	debug.FreeOSMemory()
	done := make(chan struct{})
	var sampling sync.WaitGroup
	var peak uint64
	sampling.Go(func() {
		for {
			var m runtime.MemStats
			runtime.ReadMemStats(&m)
			peak = max(peak, m.HeapInuse)
			select {
			case <-done:
				return
			case <-time.After(5 * time.Millisecond):
			}
		}
	})
	f()
	close(done)
	sampling.Wait()
	return peak
}

// A faulty server may send data without end until its client closes the connection. The host must abort such answers in
// bounded memory and serve other requests meanwhile.
func TestEndlessAnswersAreAbortedAndOtherRequestsAreServedMeanwhile(t *testing.T) {
	const atOnce = 200
	defer debug.SetMemoryLimit(debug.SetMemoryLimit(memoryLimitFraction * hostMemory))
	for _, fault := range []emulator.Fault{emulator.EndlessHeader, emulator.EndlessBody} {
		t.Run(string(fault), func(t *testing.T) {
			r := newRig(t, sizes{hosts: 1, plain: 1, prefill: 1, decode: 1})
			r.configureAndAwait()
			// A deadline that a busy machine does not reach, as its end is answered with another status.
			r.configure(emulator.Route("patient", "/patient/", "non_idempotent", "desk", map[string]any{"maxAttempts": 1, "timeoutMs": 60_000}))
			r.await("the route", func() bool { return r.call(0, http.MethodPost, "/patient/", "first").status == http.StatusOK })
			ranBefore := len(runs(r.plain))
			r.plain[0].SetFault(fault)
			peak := peakMemory(func() {
				var wait sync.WaitGroup
				for range atOnce {
					wait.Go(func() {
						q := r.request(context.Background(), 0, http.MethodPost, "/patient/", "one invoice")
						q.Header.Set("Deadline-Ms", "60000")
						got := r.send(q)
						assert.Equal(t, http.StatusBadGateway, got.status, "it may have run: %.200s", got.body)
					})
				}
				for range 5 {
					assert.True(t, r.call(0, http.MethodPost, "/brief/x", "b").complete)
				}
				wait.Wait()
			})
			assert.Less(t, peak, uint64(hostMemory), "including the simulated endpoints, which share the process")
			assert.Equal(t, atOnce, len(runs(r.plain))-ranBefore, "no request ran twice")
		})
	}
}

func TestAnEndlessEventIsAbortedAndNoPartOfItIsForwarded(t *testing.T) {
	r := newRig(t, sizes{hosts: 1, prefill: 1, decode: 1})
	r.configureAndAwait()
	r.decode[0].SetFault(emulator.EndlessEvent)
	got := r.call(0, http.MethodPost, "/brief/x", "b")
	assert.False(t, got.complete && got.status == http.StatusOK)
	assert.NotContains(t, got.body, "data: x")
	r.awaitMemory()
}

func TestAStreamThatSendsOccasionalBytesEndsAtTheTimeoutOfItsRoute(t *testing.T) {
	r := newRig(t, sizes{hosts: 1, prefill: 1, decode: 1})
	r.configureAndAwait()
	r.decode[0].SetFault(emulator.Drip)
	begun := time.Now()
	got := r.call(0, http.MethodPost, "/brief/x", "b")
	assert.False(t, got.complete && got.status == http.StatusOK)
	assert.NotContains(t, got.body, "data: x")
	const timeout = 3 * time.Second // of the rig's routes
	assert.InDelta(t, timeout.Seconds(), time.Since(begun).Seconds(), 0.5)
	r.awaitMemory()
}

func TestASlowButValidStreamIsNotInterrupted(t *testing.T) {
	r := newRig(t, sizes{hosts: 1, prefill: 1, decode: 1})
	r.configureAndAwait()
	r.decode[0].SetFault(emulator.Slow)
	got := r.call(0, http.MethodPost, "/brief/x", "b")
	assert.True(t, got.complete)
	assert.Equal(t, emulator.Events(streamEvents), got.body)
}

// The entry of an engine can be removed while the engine is still running, for instance if its announcements are late.
func TestARunOfAnEngineWhoseEntryIsRemovedIsNeitherInterruptedNorRepeated(t *testing.T) {
	r := newRig(t, sizes{hosts: 1, prefill: 1, decode: 2})
	r.configureAndAwait()
	for _, e := range r.decode {
		e.SetFault(emulator.Slow)
	}
	var got reply
	var wait sync.WaitGroup
	wait.Go(func() { got = r.call(0, http.MethodPost, "/scope/x", "b") })
	r.await("the run", func() bool { return len(runs(r.decode)) == 1 })
	for _, e := range r.decode {
		e.RemoveEntry()
	}
	wait.Wait()
	assert.True(t, got.complete)
	assert.Equal(t, emulator.Events(streamEvents), got.body)
	assert.Len(t, runs(r.decode), 1)
}
