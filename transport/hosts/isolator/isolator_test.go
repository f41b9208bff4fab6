package isolator

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/assert"
	"github.com/uber-go/tally/v4"

	"github.com/hornbeamspan/hornbeamspan/parts/coordination/tracker"
	"github.com/hornbeamspan/hornbeamspan/transport/hosts/messenger"
)

const fingerprint = 7

type noHosts struct{}

func (noHosts) Self() tracker.Member      { return tracker.Member{} }
func (noHosts) Serving() []tracker.Member { return nil }
func (noHosts) MaxServing() int           { return 1 }

func newIsolator() *Isolator {
	return New(Options{
		RequestLimit: 3, PartLimit: 3, Retention: time.Minute, Hosts: noHosts{}, Random: rand.New(rand.NewPCG(1, 1)), Messenger: messenger.New("key", hclog.NewNullLogger(), tally.NoopScope),
		Clock: clockwork.NewFakeClock(), Logs: hclog.NewNullLogger(),
	})
}

// interrupt records n equal requests that an endpoint interrupted.
func (i *Isolator) interrupt(endpoint string, n int) {
	for range n {
		i.RecordInterruption(Endpoint{ID: endpoint}, Work{Request: fingerprint})
	}
}

// Many callers send the same request. One crash interrupted several of them, and the request was refused from then on.
func TestACrashCountsOnceHoweverManyEqualRequestsItInterrupts(t *testing.T) {
	i := newIsolator()
	i.interrupt("e1", 20)
	i.RecordRemoval("e1")
	assert.True(t, i.IsSuspect(fingerprint))
	assert.False(t, i.IsConvicted(Work{Request: fingerprint}))
}

// An endpoint that accepts no connection for a while interrupts requests one after the other. Each failed attempt to connect
// counted as another crash.
func TestAnEndpointThatStaysUnreachableCountsAsOneCrash(t *testing.T) {
	i := newIsolator()
	for range 5 {
		i.interrupt("e1", 1)
		i.RecordRemoval("e1")
	}
	assert.False(t, i.IsConvicted(Work{Request: fingerprint}))
}

func TestARequestIsConvictedByThreeEndpointsOrByThreeStartsOfOne(t *testing.T) {
	for name, crash := range map[string]func(i *Isolator, n int){
		"endpoints": func(i *Isolator, n int) {
			endpoint := string(rune('a' + n))
			i.interrupt(endpoint, 2)
			i.RecordRemoval(endpoint)
		},
		"starts": func(i *Isolator, _ int) {
			i.interrupt("e1", 2)
			i.RecordRemoval("e1")
			i.RecordEnd("e1")
		},
	} {
		i := newIsolator()
		for n := range 3 {
			assert.False(t, i.IsConvicted(Work{Request: fingerprint}), name)
			crash(i, n)
		}
		assert.True(t, i.IsConvicted(Work{Request: fingerprint}), name)
	}
}
