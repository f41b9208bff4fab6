package router

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/assert"
	"github.com/uber-go/tally/v4"

	"github.com/hornbeamspan/hornbeamspan/parts/coordination/attributor"
	"github.com/hornbeamspan/hornbeamspan/parts/coordination/enroller"
	"github.com/hornbeamspan/hornbeamspan/parts/coordination/matcher"
	"github.com/hornbeamspan/hornbeamspan/transport/endpoints/discoverer"
	"github.com/hornbeamspan/hornbeamspan/transport/endpoints/dispatcher"
	"github.com/hornbeamspan/hornbeamspan/transport/endpoints/registrar"
	"github.com/hornbeamspan/hornbeamspan/transport/endpoints/sender"
)

// noHeaders writes no headers.
type noHeaders struct{ Dialect }

func (noHeaders) RetryAfter(http.Header, time.Duration) {}

// newStream returns a stream that starts at the clock's time, of a route whose callers wait 3.6 s for the next event.
func newStream(clock clockwork.Clock) *relay {
	rt := New(Options{Clock: clock, Scope: tally.NoopScope, Logs: hclog.NewNullLogger(), Dialect: noHeaders{}})
	return rt.newRelay(httptest.NewRecorder(), &job{
		Job: sender.Job{Expires: clock.Now().Add(14 * time.Second)},

		started: clock.Now(),
		route:   &matcher.Route{TargetLatency: 900 * time.Millisecond, MaxPause: 300 * time.Millisecond, EventTimeout: 3600 * time.Millisecond},
		service: matcher.Service{Engine: &matcher.Engine{Stride: 64}},
		request: Request{Prompt: Prompt{Tokens: 5000, Hint: 2000, MaxOutput: 8000}},
	})
}

// Callers measure the time-out from the last event. An engine crashed 5 s into its streams and none was resumed, because
// the time-out was measured from the start of the request.
func TestAStreamInterruptedLateHasTimeToResume(t *testing.T) {
	clock := clockwork.NewFakeClock()
	rl := newStream(clock)
	clock.Advance(5 * time.Second)
	rl.count, rl.lastAt = 20, clock.Now()

	req := rl.placementRequest()

	assert.True(t, req.LatestStart.After(clock.Now().Add(time.Second)), "not before %s", req.LatestStart)
	assert.Equal(t, clock.Now().Add(300*time.Millisecond), req.FirstEventDeadline)
	assert.Equal(t, 5000+20*64, req.Prompt, "the output so far is part of the prompt")
	assert.Equal(t, 2000-20*64, req.Hint)
	assert.Equal(t, 8000-20*64, req.MaxOutput)
}

func TestAStreamWithoutEventsIsPlacedWithinItsCallersTimeout(t *testing.T) {
	clock := clockwork.NewFakeClock()
	rl := newStream(clock)
	clock.Advance(2 * time.Second)

	req := rl.placementRequest()

	assert.Equal(t, clock.Now().Add(-2*time.Second+3600*time.Millisecond-defaultFirstEventDelay), req.LatestStart)
	assert.Equal(t, clock.Now().Add(-1100*time.Millisecond), req.FirstEventDeadline)
	assert.Equal(t, 5000, req.Prompt)
}

func TestAStreamThatMayHaveRunIsNotReportedAsNotRunWhenNoEngineHasCapacity(t *testing.T) {
	refusal := result{status: http.StatusServiceUnavailable, reason: "no engine has room"}
	for _, mayHaveRun := range []bool{false, true} {
		rl := newStream(clockwork.NewFakeClock())
		rl.mayHaveRun = mayHaveRun
		rl.respond(context.Background(), refusal)
		got := rl.w.(*httptest.ResponseRecorder).Code
		assert.Equal(t, mayHaveRun, got == http.StatusBadGateway)
		assert.Equal(t, !mayHaveRun, got == http.StatusServiceUnavailable)
	}
}

// Streams that broke off within 0.2 s of their first event could not be resumed after the loss of all hosts: their origins were
// not in the log yet.
func TestTheOriginOfAStreamIsRegisteredBeforeItsPrefillAndNoOtherVersionBeginsIt(t *testing.T) {
	rl := newStream(clockwork.NewFakeClock())
	origins := &fakeOrigins{begun: make(map[attributor.Key]attributor.Origin)}
	rl.router.Origins, rl.isPlaced = origins, true
	endpoint := func(version string) *discoverer.Endpoint {
		return &discoverer.Endpoint{Endpoint: enroller.Endpoint{ID: version, Service: "writer", Version: version}}
	}

	rl.announceOrigin(endpoint("v1"))

	assert.Equal(t, map[attributor.Key]attributor.Origin{registrar.Key(0, ""): {Service: "writer", Version: "v1"}}, origins.begun)
	assert.True(t, rl.mayUse(endpoint("v1")))
	assert.False(t, rl.mayUse(endpoint("v2")))
	assert.Equal(t, "v1", rl.placementRequest().Version)
	refused := &dispatcher.RefusedError{RetryAfter: time.Minute}
	assert.Equal(t, time.Second, rl.retryAfter(refused), "it may begin at any version if it comes back")
	rl.j.request.LastEventID = "7"
	assert.Equal(t, time.Minute, rl.retryAfter(refused))
}

// Resumed streams were refused for want of room after 2.5 s, while runs from before the loss of all hosts still held memory.
func TestAResumedStreamWaitsLongerForAPlacementThanANewOne(t *testing.T) {
	clock := clockwork.NewFakeClock()
	rl := newStream(clock)
	rl.j.route.EventTimeout = 0
	fresh := rl.placementRequest().LatestStart
	rl.j.request.LastEventID = "7"
	assert.Equal(t, 2*fresh.Sub(clock.Now()), rl.placementRequest().LatestStart.Sub(clock.Now()))
}
