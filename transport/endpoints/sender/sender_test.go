package sender

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"

	"github.com/hornbeamspan/hornbeamspan/parts/coordination/enroller"
	"github.com/hornbeamspan/hornbeamspan/parts/coordination/tracker"
	"github.com/hornbeamspan/hornbeamspan/transport/endpoints/enlister"
	"github.com/hornbeamspan/hornbeamspan/transport/hosts/isolator"
	"github.com/hornbeamspan/hornbeamspan/transport/hosts/messenger"
)

// plain has no headers of its own.
type plain struct{}

func (plain) IsOwn(string) bool                    { return false }
func (plain) Send(http.Header, Send)               {}
func (plain) Answer(*http.Response, string) Answer { return Answer{} }

type noHosts struct{}

func (noHosts) Self() tracker.Member      { return tracker.Member{} }
func (noHosts) Serving() []tracker.Member { return nil }

// newSender returns a sender with one endpoint of the service desk for each handler; nil stands for one that is gone.
func newSender(t *testing.T, handlers ...http.HandlerFunc) *Sender {
	clock, logs := clockwork.NewRealClock(), hclog.NewNullLogger()
	list := enlister.New(nil, clock, logs)
	for i, h := range handlers {
		server := httptest.NewServer(h)
		address := server.Listener.Addr().(*net.TCPAddr).AddrPort()
		if h == nil {
			server.Close()
		}
		t.Cleanup(func() {
			server.CloseClientConnections()
			server.Close()
		})
		list.Put(enroller.Endpoint{ID: fmt.Sprint(i), Service: "desk", Address: netip.AddrPortFrom(address.Addr(), address.Port())}, 1)
	}
	return New(Options{
		Dialect: plain{}, Endpoints: list, Hosts: func() int { return 1 }, Retry: RetryBudget{Ratio: 1, Slack: 10, Window: time.Minute},
		Isolator: isolator.New(isolator.Options{
			CrashLimit: 3, Retention: time.Minute, Hosts: noHosts{}, Messenger: messenger.New("key", logs, tally.NoopScope), Clock: clock, Logs: logs,
		}),
		Clock: clock, Random: rand.New(rand.NewPCG(1, 1)), Logs: logs, Scope: tally.NoopScope,
	})
}

// newJob returns a request without headers or a body.
func newJob() *Job {
	return &Job{ID: "1", Service: "desk", Method: http.MethodGet, Target: "/x?y=1", Expires: time.Now().Add(10 * time.Second), MaxAttempts: 2}
}

func answers(text string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) { _, _ = io.WriteString(w, text+r.URL.String()) }
}

func hangs(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }

func loses(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }

func TestALookupIsAskedOfASecondEndpointBesideASlowOne(t *testing.T) {
	for range 4 { // either may be the first
		x := newSender(t, hangs, answers("whole "))
		j := newJob()
		j.Hedge = 10 * time.Millisecond
		reply, err := x.Lookup(context.Background(), j)
		require.NoError(t, err)
		assert.Equal(t, "whole /x?y=1", string(reply.Body))
		assert.Equal(t, "1", reply.Endpoint.ID)
	}
}

func TestALookupWithoutAHedgeWaitsForItsEndpoint(t *testing.T) {
	var asked atomic.Int64
	slow := func(w http.ResponseWriter, r *http.Request) {
		asked.Add(1)
		time.Sleep(100 * time.Millisecond)
		answers("whole ")(w, r)
	}
	x := newSender(t, slow, slow)
	_, err := x.Lookup(context.Background(), newJob())
	require.NoError(t, err)
	assert.EqualValues(t, 1, asked.Load())
}

func TestACallThatMayHaveRunIsNotSentAgain(t *testing.T) {
	x := newSender(t, loses, loses)
	_, err := x.Once(context.Background(), newJob())
	var failed *SendError
	require.ErrorAs(t, err, &failed)
	assert.Equal(t, Unknown, failed.Outcome)
}

func TestACallGoesOnFromEndpointsThatAreGone(t *testing.T) {
	for range 4 {
		x := newSender(t, nil, nil, answers("whole "))
		reply, err := x.Once(context.Background(), newJob())
		require.NoError(t, err)
		assert.Equal(t, "2", reply.Endpoint.ID)
	}
	_, err := newSender(t, nil).Once(context.Background(), newJob())
	var failed *SendError
	require.ErrorAs(t, err, &failed)
	assert.Equal(t, NotSent, failed.Outcome)
}

func TestASendWithoutTimeLeftIsNotHeldAgainstItsEndpoint(t *testing.T) {
	x := newSender(t, answers(""))
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	e := x.Endpoints.Service("desk")[0]
	_, err := x.Open(ctx, newJob(), e, Send{})
	var failed *SendError
	require.ErrorAs(t, err, &failed)
	assert.Equal(t, NotSent, failed.Outcome)
	assert.False(t, e.IsEjected(x.Clock.Now()))
}

// Lookups of many callers are the same request: two endpoints that crashed days apart do not make it one that crashes them.
func TestARequestThatWasAnsweredIsNoLongerSuspect(t *testing.T) {
	for name, send := range map[string]func(*Sender, *Job) (*Reply, error){
		"lookup": func(x *Sender, j *Job) (*Reply, error) { return x.Lookup(context.Background(), j) },
		"once":   func(x *Sender, j *Job) (*Reply, error) { return x.Once(context.Background(), j) },
	} {
		x := newSender(t, answers(""))
		j := newJob()
		j.Fingerprint = Fingerprint(j)
		x.Isolator.RecordCrash("crashed", j.Fingerprint)
		require.True(t, x.Isolator.IsSuspect(j.Fingerprint))
		_, err := send(x, j)
		require.NoError(t, err)
		assert.False(t, x.Isolator.IsSuspect(j.Fingerprint), name)
	}
}
