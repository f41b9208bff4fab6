package daemon

import (
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/hornbeamspan/hornbeamspan/lab/emulator"
)

// callUntilReached calls host i until each of the endpoints has received a request.
func (r *rig) callUntilReached(i int, path string, endpoints ...*emulator.Endpoint) {
	r.t.Helper()
	before := make([]int, len(endpoints))
	for j, e := range endpoints {
		before[j] = e.Arrivals()
	}
	r.await("requests at each endpoint", func() bool {
		r.call(i, http.MethodPost, path, "x")
		for j, e := range endpoints {
			if e.Arrivals() == before[j] {
				return false
			}
		}
		return true
	})
}

// currentEndpoint returns the endpoint to which host i sends the next request.
func (r *rig) currentEndpoint(i int, path string, endpoints []*emulator.Endpoint) *emulator.Endpoint {
	r.t.Helper()
	before := make([]int, len(endpoints))
	for j, e := range endpoints {
		before[j] = e.Arrivals()
	}
	r.call(i, http.MethodPost, path, "x")
	for j, e := range endpoints {
		if e.Arrivals() > before[j] {
			return e
		}
	}
	require.Fail(r.t, "no endpoint was called")
	return nil
}

func TestAnEndpointThatAnnouncesItsLeavingInAnAnswerGetsNoFurtherRequestsAlthoughItsEntryIsReady(t *testing.T) {
	r := newRig(t, sizes{hosts: 1, plain: 2})
	r.configureAndAwait()
	e := r.currentEndpoint(0, "/lookup/1", r.plain)
	e.MarkLeaving()
	r.callUntilReached(0, "/lookup/1", e)
	before := e.Arrivals()
	for i := range 30 {
		if i == 10 {
			e.Announce() // writes another entry with the state ready
			time.Sleep(400 * time.Millisecond)
		}
		if i == 20 {
			r.store.SetDown(true)
		}
		require.Equal(t, http.StatusOK, r.call(0, http.MethodGet, "/lookup/1", "").status)
	}
	assert.Equal(t, before, e.Arrivals())
	r.store.SetDown(false)
	e.Restart()
	for _, other := range r.plain {
		if other != e {
			other.Drain()
		}
	}
	r.callUntilReached(0, "/lookup/1", e)
}

func TestAnEngineThatAnnouncesItsLeavingInAStreamGetsNoGenerationPrefillOrHoldFromAnyHost(t *testing.T) {
	r := newRig(t, sizes{hosts: 2, prefill: 2, decode: 2})
	r.configureAndAwait()
	r.store.SetDown(true)
	decode, prefill := r.currentEndpoint(0, "/brief/1", r.decode), r.currentEndpoint(0, "/brief/1", r.prefill)
	decode.MarkLeaving()
	prefill.MarkLeaving()
	r.callUntilReached(0, "/brief/1", decode, prefill)
	time.Sleep(400 * time.Millisecond) // the settings' limit for leaving to take effect
	decoded, prefilled := decode.Arrivals(), prefill.Arrivals()
	for i := range 20 {
		require.Equal(t, http.StatusOK, r.call(i%2, http.MethodPost, "/brief/1", "x").status)
	}
	assert.Equal(t, decoded, decode.Arrivals())
	assert.Equal(t, prefilled, prefill.Arrivals())
}

func TestAnEndpointThatRequestsAPauseGetsNoRequestsUntilItsEnd(t *testing.T) {
	r := newRig(t, sizes{hosts: 1, plain: 2})
	r.configureAndAwait()
	e := r.currentEndpoint(0, "/lookup/1", r.plain)
	e.SetRetryAfter("1.5")
	r.callUntilReached(0, "/lookup/1", e)
	began, arrivals := time.Now(), e.Arrivals()
	for range 30 {
		require.Equal(t, http.StatusOK, r.call(0, http.MethodGet, "/lookup/1", "").status)
	}
	require.Less(t, time.Since(began), 1400*time.Millisecond)
	assert.Equal(t, arrivals, e.Arrivals())
	e.SetRetryAfter("")
	for _, other := range r.plain {
		if other != e {
			other.Drain()
		}
	}
	r.callUntilReached(0, "/lookup/1", e)
	assert.GreaterOrEqual(t, time.Since(began), 1400*time.Millisecond)
}

func TestWhileEveryEndpointIsPausedACallerIsRefusedAtOnceWithTheEarliestEnd(t *testing.T) {
	r := newRig(t, sizes{hosts: 1, plain: 2})
	r.configureAndAwait()
	r.plain[0].SetRetryAfter("3")
	r.plain[1].SetRetryAfter("9")
	r.callUntilReached(0, "/submit/1", r.plain...)
	began := time.Now()
	got := r.call(0, http.MethodPost, "/submit/1", "x")
	assert.Equal(t, http.StatusServiceUnavailable, got.status)
	assert.Less(t, time.Since(began), 500*time.Millisecond)
	wait, err := strconv.ParseFloat(got.header.Get("Retry-After"), 64)
	require.NoError(t, err)
	assert.Greater(t, wait, 1.0)
	assert.LessOrEqual(t, wait, 3.0)
	assert.Empty(t, runs(r.plain))
}

func TestAnEngineThatRequestsAPauseGetsNoGenerationPrefillOrHoldUntilItsEnd(t *testing.T) {
	r := newRig(t, sizes{hosts: 2, prefill: 2, decode: 2})
	r.configureAndAwait()
	for _, engines := range [][]*emulator.Endpoint{r.decode, r.prefill} {
		e := r.currentEndpoint(0, "/brief/1", engines)
		e.SetRetryAfter("3")
		r.callUntilReached(0, "/brief/1", e)
		time.Sleep(500 * time.Millisecond)
		arrivals := e.Arrivals()
		for i := range 10 {
			assert.Equal(t, http.StatusOK, r.call(i%2, http.MethodPost, "/brief/1", "x").status)
		}
		assert.LessOrEqual(t, e.Arrivals()-arrivals, 2*len(r.hosts), "at most two for each host")
		e.SetRetryAfter("")
	}
}

func TestAnInvalidPauseIsIgnored(t *testing.T) {
	for _, text := range []string{"soon", "-1", "NaN"} {
		r := newRig(t, sizes{hosts: 1, plain: 1})
		r.configureAndAwait()
		r.plain[0].SetRetryAfter(text)
		r.callUntilReached(0, "/lookup/1", r.plain[0])
		r.plain[0].SetRetryAfter("")
		assert.Equal(t, http.StatusOK, r.call(0, http.MethodGet, "/lookup/1", "").status, text)
	}
}
